package peer

import (
	"strings"
	"testing"
)

func FuzzReadFrame(f *testing.F) {
	f.Add(Frame{frameHello, 1, []byte("x")}.Append(nil))
	f.Add([]byte("\x00\x7f\xff\xff\x01"))
	f.Fuzz(func(t *testing.T, input []byte) {
		r := strings.NewReader(string(input))
		for {
			frame, err := ReadFrame(r)
			if err != nil {
				return
			}
			if len(frame.Body) > len(input) {
				t.Fatal("the frame is longer than the input")
			}
		}
	})
}
