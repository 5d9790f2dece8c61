package peer

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
)

// A duplicate chunk must not repeat its bytes in the stream. A missing chunk must be an error: if it were taken for the
// end of the stream, a truncated stream would be accepted as complete.
func TestStreamReader(t *testing.T) {
	const callID = 7
	chunk := func(sequence byte, text string) Frame {
		return Frame{Kind: frameStreamChunk, CallID: callID, Body: append([]byte{0, 0, 0, 0, 0, 0, 0, sequence}, text...)}
	}
	for name, test := range map[string]struct {
		frames  []Frame
		want    string
		wantErr bool
	}{
		"complete":   {[]Frame{chunk(0, "ab"), chunk(1, "c"), chunk(2, "")}, "abc", false},
		"duplicates": {[]Frame{chunk(0, "ab"), chunk(0, "ab"), chunk(1, "c"), chunk(1, "c"), chunk(2, "")}, "abc", false},
		"missing":    {[]Frame{chunk(0, "ab"), chunk(2, "")}, "ab", true},
		"truncated":  {[]Frame{chunk(0, "ab")}, "ab", true},
		"other call": {[]Frame{{Kind: frameStreamChunk, CallID: callID + 1, Body: make([]byte, 9)}}, "", true},
		"too short":  {[]Frame{{Kind: frameStreamChunk, CallID: callID}}, "", true},
	} {
		var wire []byte
		for _, frame := range test.frames {
			wire = frame.Append(wire)
		}
		got, err := io.ReadAll(&streamReader{frames: bytes.NewReader(wire), callID: callID})
		assert.Equal(t, test.want, string(got), name)
		assert.Equal(t, test.wantErr, err != nil, name)
	}
}
