package httpwire

import "io"

// minBodyBuffer is the size in bytes up to which a body's buffer is allocated before the body has arrived.
const minBodyBuffer = 1 << 10

// bodyBuffer collects a body. It grows as bytes arrive, to at most twice their number, and not beyond limit.
type bodyBuffer struct {
	bytes  []byte
	limit  int          // the maximum size of the body in bytes
	memory *reservation // of the message; nil: nothing is reserved
}

// readN appends the next n bytes of a stream, by which the body must not exceed its limit. If the stream ends early, it returns
// io.ErrUnexpectedEOF.
func (b *bodyBuffer) readN(r io.Reader, n int64) error {
	for n > 0 {
		size := min(int(n), max(minBodyBuffer, len(b.bytes)))
		if err := b.ensureFree(size); err != nil {
			return err
		}
		start := len(b.bytes)
		if _, err := io.ReadFull(r, b.bytes[start:start+size]); err != nil {
			return unexpectedEOF(err)
		}
		b.bytes = b.bytes[:start+size]
		n -= int64(size)
	}
	return nil
}

// ensureFree grows the buffer so that size bytes fit behind those that it holds. Its capacity is at least doubled, within the
// limit, so that many small chunks are not copied each time.
func (b *bodyBuffer) ensureFree(size int) error {
	needed := len(b.bytes) + size
	if needed <= cap(b.bytes) {
		return nil
	}
	capacity := max(needed, min(2*cap(b.bytes), b.limit))
	if err := b.memory.reserve(capacity - cap(b.bytes)); err != nil {
		return err
	}
	grown := make([]byte, len(b.bytes), capacity)
	copy(grown, b.bytes)
	b.bytes = grown
	return nil
}
