package httpwire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"unsafe"
)

// fieldSize is the size in bytes of a header line's Field, without its text.
const fieldSize = int(unsafe.Sizeof(Field{}))

// head is the start line and the header lines of a message.
type head struct {
	Header

	startLine      string
	remainingBytes int          // the part of MaxHead, or of another limit, that is left for further lines
	memory         *reservation // of the message; nil: nothing is reserved
}

// readLine reads one line and returns it without its line ending. It counts the line against the limit.
func (h *head) readLine(r *bufio.Reader) (string, error) {
	var long []byte // what has been read of a line that is longer than the buffer
	for {
		piece, err := r.ReadSlice('\n')
		if h.remainingBytes -= len(piece); h.remainingBytes < 0 {
			return "", fmt.Errorf("%w: too many bytes in lines", ErrTooLarge)
		}
		if err == nil && long == nil {
			return h.lineText(piece)
		}
		long = append(long, piece...)
		if err == nil {
			return h.lineText(long)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			if len(long) > 0 && errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return "", err
		}
	}
}

// lineText returns a line without its line ending, and reserves memory for it.
func (h *head) lineText(line []byte) (string, error) {
	line = bytes.TrimSuffix(line, []byte("\n"))
	line = bytes.TrimSuffix(line, []byte("\r"))
	if err := h.memory.reserve(len(line)); err != nil {
		return "", err
	}
	return string(line), nil
}

// readHead reads the start line and the header lines up to the empty line behind them.
func readHead(r *bufio.Reader, memory *reservation) (*head, error) {
	h := &head{remainingBytes: MaxHead, memory: memory}
	var err error
	for empty := 0; h.startLine == ""; empty++ { // one empty line before the start line is accepted
		if h.startLine, err = h.readLine(r); err != nil {
			return nil, err
		}
		if h.startLine == "" && empty > 0 {
			return nil, fmt.Errorf("%w: no first line", ErrMalformed)
		}
	}
	for {
		text, err := h.readLine(r)
		if err != nil {
			return nil, unexpectedEOF(err)
		}
		if text == "" {
			return h, nil
		}
		name, value, ok := strings.Cut(text, ":")
		if !ok || !isToken(name) || !isFieldValue(value) {
			return nil, fmt.Errorf("%w: header line", ErrMalformed)
		}
		if len(h.Header) == MaxHeaderLines {
			return nil, fmt.Errorf("%w: over %d header lines", ErrTooLarge, MaxHeaderLines)
		}
		if err := h.memory.reserve(fieldSize); err != nil {
			return nil, err
		}
		h.Header = append(h.Header, Field{name, strings.Trim(value, " \t")})
	}
}

func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alphanumeric && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return s != ""
}

func isFieldValue(s string) bool {
	for i := range len(s) {
		if s[i] < 0x20 && s[i] != '\t' || s[i] == 0x7f {
			return false
		}
	}
	return true
}

func isSupportedVersion(s string) bool { return s == "HTTP/1.1" || s == "HTTP/1.0" }

// closesConnection reports whether the connection closes after the message, by its Connection headers or else by its version.
func (h *head) closesConnection(version string) bool {
	for _, f := range h.Header {
		if strings.EqualFold(f.Name, "Connection") {
			for _, option := range strings.Split(f.Value, ",") {
				switch option = strings.TrimSpace(option); {
				case strings.EqualFold(option, "close"):
					return true
				case strings.EqualFold(option, "keep-alive"):
					return false
				}
			}
		}
	}
	return version == "HTTP/1.0"
}
