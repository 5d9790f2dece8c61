package httpwire

import (
	"errors"
	"net/http"
	"os"
	"strings"

	"alderproxy/internal/jsonscan"
)

// Limits on a message, in bytes: MaxBody on its body, MaxHead on its start line, header lines and trailers together. The lines
// around the chunks of a body have a limit of their own; see chunkOverhead. MaxHeaderLines limits the number of header lines, since a line takes more
// memory than its text.
const (
	MaxBody        = 64 << 10
	MaxHead        = 16 << 10
	MaxHeaderLines = 256
)

// Errors that a peer causes by what it sends. Any other error comes from the stream.
var (
	ErrMalformed = errors.New("malformed HTTP message")
	ErrTooLarge  = errors.New("HTTP message too large")
)

// StatusOf returns the status of the response to a request that could not be read, or 0 if there is no response to send.
func StatusOf(err error) int {
	switch {
	case errors.Is(err, ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrMalformed):
		return http.StatusBadRequest
	case errors.Is(err, errMemoryExhausted):
		return http.StatusTooManyRequests
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	}
	return 0
}

// Field is one header line.
type Field struct{ Name, Value string }

// Header is the header lines of a message in their order.
type Header []Field

// Get returns the value of the first line with the given name, or an empty string if there is none. Names are compared without
// regard to case.
func (h Header) Get(name string) string {
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// Request is a request as received. A chunked body is decoded.
type Request struct {
	Method string
	Target string
	Header Header
	Body   []byte
	Close  bool // the connection closes after the response
}

// Path returns the target without its query.
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.Target, "?")
	return path
}

// Response is a response as received. A chunked body is decoded.
type Response struct {
	Status int
	Header Header
	Body   []byte
	Close  bool // the connection closes after the response
}

// ErrorBody returns a JSON object that holds the text of an error.
func ErrorBody(err error) []byte {
	body := jsonscan.AppendString([]byte(`{"error":`), []byte(strings.ToValidUTF8(err.Error(), "\uFFFD")))
	return append(body, '}')
}
