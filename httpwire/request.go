package httpwire

import (
	"bufio"
	"fmt"
	"strings"
)

// ReadRequest reads one request. Its error is io.EOF if the peer has closed the connection before the request, or else wraps
// ErrMalformed, ErrTooLarge or the error of the stream; io.ErrUnexpectedEOF means that the stream ended within the request.
func ReadRequest(r *bufio.Reader) (*Request, error) { return readRequest(r, nil) }

// readRequest is ReadRequest with a reservation for the memory of the request.
func readRequest(r *bufio.Reader, memory *reservation) (*Request, error) {
	h, err := readHead(r, memory)
	if err != nil {
		return nil, err
	}
	words := strings.Split(h.startLine, " ")
	if len(words) != 3 || !isToken(words[0]) || words[1] == "" || !isFieldValue(words[1]) || !isSupportedVersion(words[2]) {
		return nil, fmt.Errorf("%w: request line", ErrMalformed)
	}
	req := &Request{Method: words[0], Target: words[1], Header: h.Header, Close: h.closesConnection(words[2])}
	if req.Body, err = h.readBody(r, MaxBody, false); err != nil {
		return nil, err
	}
	return req, nil
}
