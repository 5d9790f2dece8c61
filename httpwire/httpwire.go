// Package httpwire reads and writes HTTP/1.1 messages on buffered streams: bodies with a length or in chunks,
// connections that stay alive. It knows no routes and keeps bodies as the bytes that came.
package httpwire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
)

// MaxBody is the most bytes that a body may hold, MaxHead those of the lines before it.
const (
	MaxBody = 64 << 10
	MaxHead = 16 << 10
)

// The kinds of error that a peer can cause. Anything else is the stream's own error.
var (
	ErrMalformed = errors.New("malformed HTTP message")
	ErrTooLarge  = errors.New("HTTP message too large")
)

// StatusOf is the status that answers a message which could not be read, or 0 where no answer is due.
func StatusOf(err error) int {
	switch {
	case errors.Is(err, ErrTooLarge):
		return 413
	case errors.Is(err, ErrMalformed):
		return 400
	case errors.Is(err, os.ErrDeadlineExceeded):
		return 408
	}
	return 0
}

// Field is one header line.
type Field struct{ Name, Value string }

// Header holds header lines in their order.
type Header []Field

// Get returns the value of the first line of that name.
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
	Method, Target string
	Header         Header
	Body           []byte
	Close          bool // the connection ends with the answer
}

// Path is the target without its query.
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.Target, "?")
	return path
}

// Response is a response as it came.
type Response struct {
	Status int
	Header Header
	Body   []byte
	Close  bool
}

type head struct {
	first string
	Header
	left int
}

// line reads one line of the head and takes it off what the head may still hold.
func (h *head) line(r *bufio.Reader) (string, error) {
	var text []byte
	for {
		piece, err := r.ReadSlice('\n')
		if h.left -= len(piece); h.left < 0 {
			return "", fmt.Errorf("%w: head over %d bytes", ErrTooLarge, MaxHead)
		}
		text = append(text, piece...)
		if err == nil {
			break
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			if len(text) > 0 && errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return "", err
		}
	}
	return string(bytes.TrimSuffix(bytes.TrimSuffix(text, []byte("\n")), []byte("\r"))), nil
}

func readHead(r *bufio.Reader) (*head, error) {
	h := &head{left: MaxHead}
	var err error
	for empty := 0; h.first == ""; empty++ { // a stray empty line before a message is forgiven once
		if h.first, err = h.line(r); err != nil {
			return nil, err
		}
		if h.first == "" && empty > 0 {
			return nil, fmt.Errorf("%w: no first line", ErrMalformed)
		}
	}
	for {
		text, err := h.line(r)
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if text == "" {
			return h, nil
		}
		name, value, ok := strings.Cut(text, ":")
		if !ok || !isToken(name) || !isValue(value) {
			return nil, fmt.Errorf("%w: header line", ErrMalformed)
		}
		h.Header = append(h.Header, Field{name, strings.Trim(value, " \t")})
	}
}

func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return s != ""
}

func isValue(s string) bool {
	for i := range len(s) {
		if s[i] < 0x20 && s[i] != '\t' || s[i] == 0x7f {
			return false
		}
	}
	return true
}

// ReadRequest reads one request. io.EOF means that the peer closed between requests.
func ReadRequest(r *bufio.Reader) (*Request, error) {
	h, err := readHead(r)
	if err != nil {
		return nil, err
	}
	words := strings.Split(h.first, " ")
	if len(words) != 3 || !isToken(words[0]) || words[1] == "" || !isValue(words[1]) || !isVersion(words[2]) {
		return nil, fmt.Errorf("%w: request line", ErrMalformed)
	}
	req := &Request{Method: words[0], Target: words[1], Header: h.Header, Close: h.closes(words[2])}
	if req.Body, err = h.body(r, MaxBody, false); err != nil {
		return nil, err
	}
	return req, nil
}

// ReadResponse reads one response to a request that was no HEAD.
func ReadResponse(r *bufio.Reader) (*Response, error) { return ReadResponseUpTo(r, MaxBody) }

// ReadResponseUpTo is ReadResponse with a limit of its own on the body.
func ReadResponseUpTo(r *bufio.Reader, limit int) (*Response, error) {
	h, err := readHead(r)
	if err != nil {
		return nil, err
	}
	version, rest, _ := strings.Cut(h.first, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 || !isVersion(version) {
		return nil, fmt.Errorf("%w: status line", ErrMalformed)
	}
	resp := &Response{Status: status, Header: h.Header, Close: h.closes(version)}
	if status < 200 || status == 204 || status == 304 {
		return resp, nil
	}
	framed := h.Get("Content-Length") != "" || h.Get("Transfer-Encoding") != ""
	if resp.Body, err = h.body(r, limit, !framed); err != nil {
		return nil, err
	}
	resp.Close = resp.Close || !framed
	return resp, nil
}

func isVersion(s string) bool { return s == "HTTP/1.1" || s == "HTTP/1.0" }

func (h *head) closes(version string) bool {
	for _, f := range h.Header {
		if strings.EqualFold(f.Name, "Connection") {
			for _, word := range strings.Split(f.Value, ",") {
				switch word = strings.TrimSpace(word); {
				case strings.EqualFold(word, "close"):
					return true
				case strings.EqualFold(word, "keep-alive"):
					return false
				}
			}
		}
	}
	return version == "HTTP/1.0"
}

// body reads a body by its length, in chunks, or, where a response has neither, up to the end.
func (h *head) body(r *bufio.Reader, limit int, toEnd bool) ([]byte, error) {
	var length, coding string
	for _, f := range h.Header {
		switch {
		case strings.EqualFold(f.Name, "Content-Length"):
			if length != "" && length != f.Value { // a peer that sees another length would see another request
				return nil, fmt.Errorf("%w: two lengths", ErrMalformed)
			}
			length = f.Value
			if length == "" {
				return nil, fmt.Errorf("%w: empty length", ErrMalformed)
			}
		case strings.EqualFold(f.Name, "Transfer-Encoding"):
			if coding != "" {
				return nil, fmt.Errorf("%w: two codings", ErrMalformed)
			}
			coding = f.Value
		}
	}
	switch {
	case coding != "" && (length != "" || !strings.EqualFold(coding, "chunked")):
		return nil, fmt.Errorf("%w: transfer coding", ErrMalformed)
	case coding != "":
		return h.chunks(r, limit)
	case length != "":
		n, err := strconv.ParseUint(length, 10, 63)
		if errors.Is(err, strconv.ErrRange) || err == nil && n > uint64(limit) {
			return nil, fmt.Errorf("%w: body over %d bytes", ErrTooLarge, limit)
		}
		if err != nil || length[0] == '+' {
			return nil, fmt.Errorf("%w: length", ErrMalformed)
		}
		return ReadN(r, nil, int64(n))
	case toEnd:
		body, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
		if err == nil && len(body) > limit {
			err = fmt.Errorf("%w: body over %d bytes", ErrTooLarge, limit)
		}
		return body, err
	}
	return nil, nil
}

// ReadN appends the next n bytes. Room is made as they come: what a peer only announces takes no memory.
func ReadN(r io.Reader, to []byte, n int64) ([]byte, error) {
	buf := bytes.NewBuffer(to)
	if _, err := io.CopyN(buf, r, n); err != nil {
		return nil, unfinished(err)
	}
	return buf.Bytes(), nil
}

func unfinished(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (h *head) chunks(r *bufio.Reader, limit int) ([]byte, error) {
	var body []byte
	for {
		text, err := h.line(r)
		if err != nil {
			return nil, unfinished(err)
		}
		size, _, _ := strings.Cut(text, ";")
		n, err := strconv.ParseUint(strings.TrimRight(size, " \t"), 16, 63)
		if errors.Is(err, strconv.ErrRange) || err == nil && n > uint64(limit-len(body)) {
			return nil, fmt.Errorf("%w: body over %d bytes", ErrTooLarge, limit)
		}
		if err != nil || size[0] == '+' {
			return nil, fmt.Errorf("%w: chunk size", ErrMalformed)
		}
		if n == 0 {
			break
		}
		if body, err = ReadN(r, body, int64(n)); err != nil {
			return nil, err
		}
		if text, err := h.line(r); err != nil || text != "" {
			return nil, cmpErr(unfinished(err), fmt.Errorf("%w: end of chunk", ErrMalformed))
		}
	}
	for { // trailers are read and dropped
		text, err := h.line(r)
		if err != nil {
			return nil, unfinished(err)
		}
		if text == "" {
			return body, nil
		}
	}
}

func cmpErr(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

var reasons = map[int]string{
	200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict",
	413: "Content Too Large", 429: "Too Many Requests", 500: "Internal Server Error", 502: "Bad Gateway",
	503: "Service Unavailable", 504: "Gateway Timeout",
}

// AppendResponse appends a response with a JSON body. closing says that the connection ends with it.
func AppendResponse(to []byte, status int, extra Header, body []byte, closing bool) []byte {
	reason := reasons[status]
	if reason == "" {
		reason = "Status"
	}
	to = fmt.Appendf(to, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n", status, reason)
	return appendRest(to, extra, body, closing)
}

// AppendRequest appends a request. A body that is not nil is sent as JSON.
func AppendRequest(to []byte, method, target, host string, extra Header, body []byte) []byte {
	to = fmt.Appendf(to, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, target, host)
	if body == nil && method == "GET" {
		for _, f := range extra {
			to = fmt.Appendf(to, "%s: %s\r\n", f.Name, f.Value)
		}
		return append(to, "\r\n"...)
	}
	to = append(to, "Content-Type: application/json\r\n"...)
	return appendRest(to, extra, body, false)
}

func appendRest(to []byte, extra Header, body []byte, closing bool) []byte {
	for _, f := range extra {
		to = fmt.Appendf(to, "%s: %s\r\n", f.Name, f.Value)
	}
	if closing {
		to = append(to, "Connection: close\r\n"...)
	}
	to = fmt.Appendf(to, "Content-Length: %d\r\n\r\n", len(body))
	return append(to, body...)
}
