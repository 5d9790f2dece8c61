package httpwire

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
)

// The limits on a message, in bytes: MaxBody on its body, MaxHead on its start line and header lines together.
const (
	MaxBody = 64 << 10
	MaxHead = 16 << 10
)

// Errors that a peer can cause by what it sends. Any other error is that of the stream.
var (
	ErrMalformed = errors.New("malformed HTTP message")
	ErrTooLarge  = errors.New("HTTP message too large")
)

// StatusOf returns the status of the response to a message that could not be read, or 0 where none is due.
func StatusOf(err error) int {
	switch {
	case errors.Is(err, ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrMalformed):
		return http.StatusBadRequest
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	}
	return 0
}

// Field is one header line.
type Field struct{ Name, Value string }

// Header holds header lines in the order in which they came.
type Header []Field

// Get returns the value of the first line with a name, in any case of letters; empty: there is none.
func (h Header) Get(name string) string {
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// Request is a request as it came.
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

// Response is a response as it came.
type Response struct {
	Status int
	Header Header
	Body   []byte
	Close  bool // the connection closes after it
}

// ErrorBody returns a JSON object with the text of an error.
func ErrorBody(err error) []byte { return fmt.Appendf(nil, "{\"error\":%q}", err.Error()) }
