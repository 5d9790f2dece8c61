package testserver

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
)

// The kinds of frames that a store receives or sends.
const (
	callFrame      = '1'
	loadCheckFrame = '4'
	resultFrame    = '5'
)

const (
	frameLengthBytes = 4
	// largeAnswerBytes is the size of a value that does not fit into the read buffers of its receiver.
	largeAnswerBytes = 20 << 10
)

// NewFrameStore starts a store that uses the platform's frames. Its value for a part is "v" followed by the shard.
func NewFrameStore(t *testing.T) *Store {
	t.Helper()
	return startStore(t, func(s *Store, c net.Conn) {
		connection := &frameConnection{store: s, conn: c, reader: bufio.NewReader(c)}
		for connection.serveFrame() == nil {
			continue
		}
	})
}

// frameConnection is a connection to a store that uses the platform's frames.
type frameConnection struct {
	store  *Store
	conn   net.Conn
	reader *bufio.Reader
	mu     sync.Mutex // held while a frame is written
}

// serveFrame reads one frame and answers it. After an error, the connection is closed.
func (f *frameConnection) serveFrame() error {
	kind, text, err := readFrame(f.reader)
	if err != nil {
		return err
	}
	f.store.Requests <- string(kind) + text
	switch kind {
	case loadCheckFrame:
		f.send(loadCheckFrame, "qps=12.5,queue=3")
	case callFrame:
		return f.answerCall(text)
	}
	return nil
}

func (f *frameConnection) answerCall(text string) error {
	words := strings.Fields(text)
	part, shard := words[0], words[1]
	fault, hold := f.store.behavior(shard)
	switch fault {
	case ServerError, Partial, TimedOut:
		f.send(resultFrame, part+" E 0 -\n")
	case Rejecting:
		f.send(resultFrame, part+" B 0 -\n")
	case Malformed:
		f.send(resultFrame, "nonsense")
	case NotUTF8:
		f.send(resultFrame, part+" S 1840277719 -\n"+noiseBytes)
		return f.discardRequests()
	case Stalled:
		return f.discardRequests()
	case Reset:
		return io.EOF
	case Unresponsive, Down:
	case NoiseBehind:
		answer := appendFrame(nil, resultFrame, part+" S 1840277719 -\n"+strings.Repeat("v", largeAnswerBytes))
		f.write(append(answer, 0, 0, 0, 9, resultFrame))
	case None:
		go func() {
			if hold != nil {
				<-hold
			}
			f.send(resultFrame, part+" S 1840277719 qps=12.5,queue=0\nv"+shard)
		}()
	}
	return nil
}

// discardRequests reads requests without answering them until the other side closes the connection.
func (f *frameConnection) discardRequests() error {
	_, _ = io.Copy(io.Discard, f.reader)
	return io.EOF
}

// send writes a frame.
func (f *frameConnection) send(kind byte, text string) { f.write(appendFrame(nil, kind, text)) }

// write writes bytes. It ignores errors, which the other side notices when it reads.
func (f *frameConnection) write(b []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = f.conn.Write(b)
}

func appendFrame(to []byte, kind byte, text string) []byte {
	to = binary.BigEndian.AppendUint32(to, uint32(len(text)+1))
	to = append(to, kind)
	return append(to, text...)
}

func readFrame(r io.Reader) (kind byte, text string, err error) {
	var head [frameLengthBytes + 1]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, "", err
	}
	rest := make([]byte, binary.BigEndian.Uint32(head[:frameLengthBytes])-1)
	if _, err := io.ReadFull(r, rest); err != nil {
		return 0, "", err
	}
	return head[frameLengthBytes], string(rest), nil
}
