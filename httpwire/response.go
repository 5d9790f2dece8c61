package httpwire

import (
	"bufio"
	"fmt"
	"strconv"
	"strings"
)

// ReadResponse reads one response to a request whose method is not HEAD. Its errors are those of ReadRequest.
func ReadResponse(r *bufio.Reader) (*Response, error) { return ReadResponseUpTo(r, MaxBody) }

// ReadResponseUpTo is ReadResponse with the given limit on the body, in bytes, instead of MaxBody.
func ReadResponseUpTo(r *bufio.Reader, limit int) (*Response, error) {
	h, err := readHead(r, nil)
	if err != nil {
		return nil, err
	}
	version, rest, _ := strings.Cut(h.startLine, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 || !isSupportedVersion(version) {
		return nil, fmt.Errorf("%w: status line", ErrMalformed)
	}
	resp := &Response{Status: status, Header: h.Header, Close: h.closesConnection(version)}
	if status < 200 || status == 204 || status == 304 {
		return resp, nil
	}
	framed := h.Get("Content-Length") != "" || h.Get("Transfer-Encoding") != ""
	if resp.Body, err = h.readBody(r, limit, !framed); err != nil {
		return nil, err
	}
	resp.Close = resp.Close || !framed
	return resp, nil
}
