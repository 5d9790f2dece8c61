package httpwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// readBody reads a body that has a length or is chunked. If it is neither, it reads up to the end of the stream if untilEOF is
// set, and returns no body otherwise. limit is the maximum size of the body in bytes.
func (h *head) readBody(r *bufio.Reader, limit int, untilEOF bool) ([]byte, error) {
	length, coding, err := h.framing()
	switch {
	case err != nil:
		return nil, err
	case coding != "" && (length != "" || !strings.EqualFold(coding, "chunked")):
		return nil, fmt.Errorf("%w: transfer coding", ErrMalformed)
	case coding != "":
		return h.readChunks(r, limit)
	case length != "":
		return h.readBodyOfLength(r, length, limit)
	case untilEOF:
		return readBodyToEnd(r, limit)
	}
	return nil, nil
}

// framing returns the values of Content-Length and Transfer-Encoding, or empty strings for headers that the message lacks. It
// rejects differing lengths, since peers that use different ones would see different messages.
func (h *head) framing() (length, coding string, err error) {
	for _, f := range h.Header {
		switch {
		case strings.EqualFold(f.Name, "Content-Length"):
			if length != "" && length != f.Value {
				return "", "", fmt.Errorf("%w: two lengths", ErrMalformed)
			}
			length = f.Value
			if length == "" {
				return "", "", fmt.Errorf("%w: empty length", ErrMalformed)
			}
		case strings.EqualFold(f.Name, "Transfer-Encoding"):
			if coding != "" {
				return "", "", fmt.Errorf("%w: two codings", ErrMalformed)
			}
			coding = f.Value
		}
	}
	return length, coding, nil
}

func (h *head) readBodyOfLength(r *bufio.Reader, length string, limit int) ([]byte, error) {
	n, err := strconv.ParseUint(length, 10, 63)
	if errors.Is(err, strconv.ErrRange) || err == nil && n > uint64(limit) {
		return nil, bodyTooLarge(limit)
	}
	if err != nil || length[0] == '+' {
		return nil, fmt.Errorf("%w: length", ErrMalformed)
	}
	body := bodyBuffer{limit: int(n), memory: h.memory}
	err = body.readN(r, int64(n))
	return body.bytes, err
}

func readBodyToEnd(r *bufio.Reader, limit int) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err == nil && len(body) > limit {
		err = bodyTooLarge(limit)
	}
	return body, err
}

func bodyTooLarge(limit int) error {
	return fmt.Errorf("%w: body over %d bytes", ErrTooLarge, limit)
}

// ReadN reads the next n bytes of a stream. It allocates memory as bytes arrive, since a peer may announce a length that it
// never sends. If the stream ends early, it returns io.ErrUnexpectedEOF.
func ReadN(r io.Reader, n int64) ([]byte, error) {
	buffer := bodyBuffer{limit: int(n)}
	if err := buffer.readN(r, n); err != nil {
		return nil, err
	}
	return buffer.bytes, nil
}

// unexpectedEOF returns io.ErrUnexpectedEOF for io.EOF, and any other error unchanged.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// chunkOverhead is the number of bytes that the lines around chunks may have for each byte that the body may have, beside MaxHead.
// Chunks of one byte have six or fewer.
const chunkOverhead = 8

// readChunks reads a chunked body, and discards its trailers. The lines around the chunks are not kept, so that they count
// neither towards MaxHead nor towards the memory of the message.
func (h *head) readChunks(r *bufio.Reader, limit int) ([]byte, error) {
	body := bodyBuffer{limit: limit, memory: h.memory}
	lines := head{remainingBytes: MaxHead + chunkOverhead*limit}
	for {
		size, err := lines.readChunkSize(r, limit-len(body.bytes), limit)
		if err != nil {
			return nil, err
		}
		if size == 0 {
			return body.bytes, h.skipTrailers(r)
		}
		if err := body.readN(r, size); err != nil {
			return nil, err
		}
		text, err := lines.readLine(r)
		if err != nil {
			return nil, unexpectedEOF(err)
		}
		if text != "" {
			return nil, fmt.Errorf("%w: end of chunk", ErrMalformed)
		}
	}
}

// readChunkSize reads the size line of a chunk, and rejects a chunk of more than remaining bytes. limit is the limit on the
// whole body, for the error.
func (h *head) readChunkSize(r *bufio.Reader, remaining, limit int) (int64, error) {
	text, err := h.readLine(r)
	if err != nil {
		return 0, unexpectedEOF(err)
	}
	size, _, _ := strings.Cut(text, ";")
	n, err := strconv.ParseUint(strings.TrimRight(size, " \t"), 16, 63)
	if errors.Is(err, strconv.ErrRange) || err == nil && n > uint64(remaining) {
		return 0, bodyTooLarge(limit)
	}
	if err != nil || size[0] == '+' {
		return 0, fmt.Errorf("%w: chunk size", ErrMalformed)
	}
	return int64(n), nil
}

func (h *head) skipTrailers(r *bufio.Reader) error {
	for {
		text, err := h.readLine(r)
		if err != nil {
			return unexpectedEOF(err)
		}
		if text == "" {
			return nil
		}
	}
}
