package peer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// MaxBodySize is the maximum size of a frame's body, in bytes.
const MaxBodySize = 8 << 20

// Sizes of the fields of a frame's header, in bytes: body length, kind and call id, in this order.
const (
	frameLengthSize = 4
	frameKindSize   = 1
	frameCallIDSize = 8
	frameHeaderSize = frameLengthSize + frameKindSize + frameCallIDSize
)

// Frame kinds that the protocol itself uses. The kinds between frameStreamChunk and frameResult identify the kinds of
// calls.
const (
	frameHello byte = 0x01
	// frameStreamChunk carries one chunk of a call's stream: a sequence number, which starts at 0, and the bytes of the
	// chunk. A chunk without bytes ends the stream.
	frameStreamChunk byte = 0x02
	frameResult      byte = 0x80
	frameError       byte = 0x81
)

// Frame is the unit of data on a connection: a handshake message, a request, a chunk of a stream or a response.
type Frame struct {
	Kind   byte
	CallID uint64 // id of the call that the frame belongs to; 0 in a handshake
	Body   []byte
}

// ErrInvalidFrame is wrapped by the errors about frames that violate the protocol.
var ErrInvalidFrame = errors.New("invalid frame")

// Append appends the encoded frame to a buffer.
func (f Frame) Append(buffer []byte) []byte {
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(f.Body)))
	buffer = append(buffer, f.Kind)
	buffer = binary.BigEndian.AppendUint64(buffer, f.CallID)
	return append(buffer, f.Body...)
}

// ReadFrame reads one frame. It allocates memory as the body arrives and not by the length in the header, which is not
// trusted. It returns io.EOF only if r ends before the first byte of the frame.
func ReadFrame(r io.Reader) (Frame, error) {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Frame{}, err
	}
	length := binary.BigEndian.Uint32(header[:frameLengthSize])
	if length > MaxBodySize {
		return Frame{}, fmt.Errorf("%w: body of %d bytes exceeds the maximum of %d", ErrInvalidFrame, length, MaxBodySize)
	}
	var body bytes.Buffer
	if _, err := io.CopyN(&body, r, int64(length)); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return Frame{}, err
	}
	return Frame{
		Kind:   header[frameLengthSize],
		CallID: binary.BigEndian.Uint64(header[frameLengthSize+frameKindSize:]),
		Body:   body.Bytes(),
	}, nil
}
