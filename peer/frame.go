// Package peer carries calls between the instances of a group over TCP: frames on connections that begin with a
// handshake, in which each side names itself, its group and whom it means, and proves the group's key.
package peer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// MaxFrame bounds a frame's payload, in bytes.
const MaxFrame = 8 << 20

// frameHeaderSize is a frame's head: length of the payload, kind, number of the call.
const frameHeaderSize = 4 + 1 + 8

// Kinds of frames that are no calls. Those of calls lie between.
const (
	frameHello       byte = 0x01
	frameStreamChunk byte = 0x02 // a piece of a stream; its payload begins with its number, an empty rest ends it
	frameResult      byte = 0x80
	frameError       byte = 0x81
)

// Frame is one message.
type Frame struct {
	Kind byte
	Call uint64
	Body []byte
}

// ErrFrame is behind the errors about what is no frame.
var ErrFrame = errors.New("malformed frame")

// Append appends a frame to what is to be written.
func (f Frame) Append(to []byte) []byte {
	to = binary.BigEndian.AppendUint32(to, uint32(len(f.Body)))
	to = append(to, f.Kind)
	to = binary.BigEndian.AppendUint64(to, f.Call)
	return append(to, f.Body...)
}

// ReadFrame reads a frame. Memory is taken as its bytes come, and not as its head announces.
func ReadFrame(r io.Reader) (Frame, error) {
	var head [frameHeaderSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return Frame{}, err
	}
	n := binary.BigEndian.Uint32(head[:4])
	if n > MaxFrame {
		return Frame{}, fmt.Errorf("%w: %d bytes", ErrFrame, n)
	}
	f := Frame{Kind: head[4], Call: binary.BigEndian.Uint64(head[5:])}
	var body bytes.Buffer
	if _, err := io.CopyN(&body, r, int64(n)); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return Frame{}, err
	}
	f.Body = body.Bytes()
	return f, nil
}
