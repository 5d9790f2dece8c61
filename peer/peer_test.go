package peer

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"alderproxy/internal/testserver"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const callEcho, callStream, callFailing = 0x10, 0x11, 0x12

func listenEndpoint(t *testing.T, id, group, key string) *Endpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	n := Listen(Config{ID: id, Group: func() string { return group }, Key: []byte(key), Log: testserver.Log()}, l, map[byte]Handler{
		callEcho: func(from string, body []byte, _ io.Reader) ([]byte, error) {
			return fmt.Appendf(nil, "%s:%s", from, body), nil
		},
		callStream: func(_ string, _ []byte, r io.Reader) ([]byte, error) {
			n, err := io.Copy(io.Discard, r)
			return fmt.Append(nil, n), err
		},
		callFailing: func(string, []byte, io.Reader) ([]byte, error) { return nil, errors.New("no") },
	})
	t.Cleanup(n.Close)
	return n
}

func TestCalls(t *testing.T) {
	a, b := listenEndpoint(t, "a", "g", "k"), listenEndpoint(t, "b", "g", "k")
	to := Target{"b", b.Addr()}
	for range 3 {
		got, err := a.Call(to, callEcho, []byte("x"), nil, time.Second)
		require.NoError(t, err)
		assert.Equal(t, "a:x", string(got))
	}
	got, err := a.Call(to, callStream, nil, io.LimitReader(endlessReader{}, 3*streamChunkSize+5), 5*time.Second)
	require.NoError(t, err)
	assert.Equal(t, fmt.Sprint(3*streamChunkSize+5), string(got))
	_, err = a.Call(to, callFailing, nil, nil, time.Second)
	assert.ErrorIs(t, err, ErrRemote)
	_, err = a.Call(to, 0x77, nil, nil, time.Second)
	assert.Error(t, err)
	_, err = a.Call(Target{"b", "127.0.0.1:1"}, callEcho, nil, nil, time.Second)
	assert.ErrorIs(t, err, ErrNotSent)
	h, err := a.Identify(b.Addr(), time.Second)
	require.NoError(t, err)
	assert.Equal(t, "b", h.From)
}

type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

func TestHandshakeRefuses(t *testing.T) {
	b := listenEndpoint(t, "b", "g", "k")
	for name, c := range map[string]struct{ id, group, key, to string }{
		"somebody else is meant": {"a", "g", "k", "c"},
		"another group":          {"a", "h", "k", "b"},
		"another key":            {"a", "g", "wrong", "b"},
		"no key":                 {"a", "g", "", "b"},
	} {
		a := listenEndpoint(t, c.id, c.group, c.key)
		_, err := a.Call(Target{c.to, b.Addr()}, callEcho, nil, nil, time.Second)
		assert.Error(t, err, name)
	}
	joining := listenEndpoint(t, "j", "", "k") // of no group yet
	_, err := joining.Call(Target{"b", b.Addr()}, callEcho, nil, nil, time.Second)
	assert.NoError(t, err)
}

// What comes twice is answered for the call it belongs to, and what is missing in a stream is no end of it.
func TestStreamsAreWholeOrNotAtAll(t *testing.T) {
	piece := func(n byte, text string) Frame {
		return Frame{Kind: frameStreamChunk, Call: 7, Body: append([]byte{0, 0, 0, 0, 0, 0, 0, n}, text...)}
	}
	for name, c := range map[string]struct {
		frames []Frame
		want   string
		err    bool
	}{
		"whole":      {[]Frame{piece(0, "ab"), piece(1, "c"), piece(2, "")}, "abc", false},
		"twice":      {[]Frame{piece(0, "ab"), piece(0, "ab"), piece(1, "c"), piece(1, "c"), piece(2, "")}, "abc", false},
		"missing":    {[]Frame{piece(0, "ab"), piece(2, "")}, "ab", true},
		"cut":        {[]Frame{piece(0, "ab")}, "ab", true},
		"other call": {[]Frame{{Kind: frameStreamChunk, Call: 8, Body: make([]byte, 9)}}, "", true},
		"short":      {[]Frame{{Kind: frameStreamChunk, Call: 7}}, "", true},
	} {
		var wire []byte
		for _, f := range c.frames {
			wire = f.Append(wire)
		}
		got, err := io.ReadAll(&streamReader{r: bytes.NewReader(wire), call: 7})
		assert.Equal(t, c.want, string(got), name)
		assert.Equal(t, c.err, err != nil, name)
	}
}

func TestBadBytesEndTheConnectionOnly(t *testing.T) {
	b := listenEndpoint(t, "b", "g", "k")
	for _, bytes := range []string{"GET / HTTP/1.0\r\n\r\n", "\x00\x00\x00\x02\x01\x00\x00\x00\x00\x00\x00\x00\x00{}", "\xff\xff\xff\xff\x01\x00\x00\x00\x00\x00\x00\x00\x00"} {
		c, err := net.Dial("tcp", b.Addr())
		require.NoError(t, err)
		c.SetDeadline(time.Now().Add(5 * time.Second))
		io.WriteString(c, bytes)
		io.Copy(io.Discard, c)
		c.Close()
	}
	a := listenEndpoint(t, "a", "g", "k")
	_, err := a.Call(Target{"b", b.Addr()}, callEcho, nil, nil, time.Second)
	assert.NoError(t, err)
}

func FuzzReadFrame(f *testing.F) {
	f.Add(Frame{frameHello, 1, []byte("x")}.Append(nil))
	f.Add([]byte("\x00\x7f\xff\xff\x01"))
	f.Fuzz(func(t *testing.T, b []byte) {
		r := strings.NewReader(string(b))
		for {
			got, err := ReadFrame(r)
			if err != nil {
				return
			}
			if len(got.Body) > len(b) {
				t.Fatal("longer than what came")
			}
		}
	})
}

// A fleet's thousand that follow may all have one voter left, and what the few say must still come through.
func TestThousandFollowersLeaveRoomForTheFew(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	n := Listen(Config{
		ID: "v", Group: func() string { return "g" }, Log: testserver.Log(),
		Guest: func(id string) bool { return strings.HasPrefix(id, "f") },
	}, l, map[byte]Handler{
		callEcho: func(string, []byte, io.Reader) ([]byte, error) { return nil, nil },
	})
	t.Cleanup(n.Close)
	to := Target{"v", n.Addr()}
	ask := func(id string) error {
		f := New(Config{ID: id, Group: func() string { return "g" }, Log: testserver.Log()})
		t.Cleanup(f.Close)
		_, err := f.Call(to, callEcho, nil, nil, 10*time.Second)
		return err
	}
	for i := range 1024 {
		require.NoError(t, ask(fmt.Sprint("f", i)))
	}
	n.mu.Lock()
	assert.Equal(t, 1024, n.nonMemberConns)
	n.nonMemberConns = maxNonMemberConns // as if each had its second connection
	n.mu.Unlock()
	assert.Error(t, ask("f-one-more"))
	assert.NoError(t, ask("w"))
}
