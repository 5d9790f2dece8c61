package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

const (
	streamChunkSize    = 256 << 10 // bytes of the stream in one chunk, at most
	streamSequenceSize = 8         // bytes of the sequence number before them
)

// writeStream sends a call's stream in chunks.
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

// streamReader reads a call's stream from its chunks. Duplicates of earlier chunks are skipped; a missing chunk is an
// error.
type streamReader struct {
	frames       io.Reader
	callID       uint64
	nextSequence uint64 // of the next chunk
	unread       []byte // of the current chunk
	err          error  // sticky
}

// Read implements io.Reader.
func (s *streamReader) Read(buffer []byte) (int, error) {
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

// nextChunk returns the bytes of the next chunk, none for a duplicate, and io.EOF at the chunk that ends the stream.
func (s *streamReader) nextChunk() ([]byte, error) {
	frame, err := ReadFrame(s.frames)
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF // the connection ended, and not the stream
	}
	if err != nil {
		return nil, err
	}
	if frame.Kind != frameStreamChunk || frame.CallID != s.callID || len(frame.Body) < streamSequenceSize {
		return nil, fmt.Errorf("%w: a piece of the stream is missing", ErrInvalidFrame)
	}
	sequence, chunk := binary.BigEndian.Uint64(frame.Body), frame.Body[streamSequenceSize:]
	switch {
	case sequence > s.nextSequence:
		return nil, fmt.Errorf("%w: a piece of the stream is missing", ErrInvalidFrame)
	case sequence < s.nextSequence:
		return nil, nil
	case len(chunk) == 0:
		return nil, io.EOF
	}
	s.nextSequence++
	return chunk, nil
}
