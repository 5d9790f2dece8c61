package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"
)

const (
	streamChunkSize    = 256 << 10 // maximum bytes of the stream in one chunk
	streamSequenceSize = 8         // bytes of the sequence number at the start of a chunk
)

// writeStream sends a call's stream in chunks, with an empty one at the end.
func writeStream(w io.Writer, callID uint64, stream io.Reader) error {
	buffer := make([]byte, streamSequenceSize+streamChunkSize)
	for sequence := uint64(0); ; sequence++ {
		length, err := io.ReadFull(stream, buffer[streamSequenceSize:])
		if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return err
		}
		binary.BigEndian.PutUint64(buffer, sequence)
		chunk := Frame{Kind: frameStreamChunk, CallID: callID, Body: buffer[:streamSequenceSize+length]}
		if _, err := w.Write(chunk.Append(nil)); err != nil {
			return err
		}
		if length == 0 {
			return nil
		}
	}
}

// errHandlerReturned is the error of a read from a stream after the handler of the call has returned.
var errHandlerReturned = errors.New("the handler of the call has returned")

// streamReader is an io.Reader of a call's stream. It skips duplicates of earlier chunks and fails if a chunk is missing.
// Once detach has returned, it reads nothing more from the connection.
type streamReader struct {
	mu           sync.Mutex // held during a read
	detached     bool
	frames       io.Reader
	callID       uint64
	nextSequence uint64 // sequence number of the next chunk
	unread       []byte // rest of the current chunk
	err          error  // permanent; returned once unread is empty
}

// detach makes later reads fail. If a read is in progress, it calls interrupt, which must end that read, and waits for its
// end. It reports whether a read was in progress, so that an unknown part of a frame has been read.
func (s *streamReader) detach(interrupt func()) (interrupted bool) {
	if !s.mu.TryLock() {
		interrupted = true
		interrupt()
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	s.detached = true
	return interrupted
}

// Read implements io.Reader.
func (s *streamReader) Read(buffer []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.detached {
		return 0, errHandlerReturned
	}
	for len(s.unread) == 0 {
		if s.err != nil {
			return 0, s.err
		}
		s.unread, s.err = s.nextChunk()
	}
	n := copy(buffer, s.unread)
	s.unread = s.unread[n:]
	return n, nil
}

// nextChunk reads a chunk and returns its bytes. For a duplicate it returns none; for the empty chunk that ends the
// stream it returns io.EOF.
func (s *streamReader) nextChunk() ([]byte, error) {
	frame, err := ReadFrame(s.frames)
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF // the connection ended before the stream
	}
	if err != nil {
		return nil, err
	}
	if frame.Kind != frameStreamChunk || frame.CallID != s.callID || len(frame.Body) < streamSequenceSize {
		return nil, fmt.Errorf("%w: expected a stream chunk of call %d, got %d bytes of kind %d for call %d", ErrInvalidFrame, s.callID, len(frame.Body), frame.Kind, frame.CallID)
	}
	sequence, chunk := binary.BigEndian.Uint64(frame.Body), frame.Body[streamSequenceSize:]
	switch {
	case sequence > s.nextSequence:
		return nil, fmt.Errorf("%w: stream of call %d continues with chunk %d, chunk %d is missing", ErrInvalidFrame, s.callID, sequence, s.nextSequence)
	case sequence < s.nextSequence:
		return nil, nil
	case len(chunk) == 0:
		return nil, io.EOF
	}
	s.nextSequence++
	return chunk, nil
}
