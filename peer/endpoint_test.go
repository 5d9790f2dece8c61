package peer

import (
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

// Kinds of calls in these tests. The endpoints of newTestEndpoint have handlers for all but callUnknown.
const (
	callEcho        = 0x10
	callCountStream = 0x11
	callFailing     = 0x12
	callUnknown     = 0x77
)

func listenTCP(t *testing.T) net.Listener {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return listener
}

// newTestEndpoint starts an endpoint that serves all kinds of calls but callUnknown. It is closed when the test ends.
func newTestEndpoint(t *testing.T, id, group, key string) *Endpoint {
	t.Helper()
	config := Config{
		ID:    id,
		Group: func() string { return group },
		Key:   []byte(key),
		Log:   testserver.DiscardLog(),
	}
	endpoint := Listen(config, listenTCP(t), map[byte]Handler{
		callEcho: func(clientID string, body []byte, _ io.Reader) ([]byte, error) {
			return fmt.Appendf(nil, "%s:%s", clientID, body), nil
		},
		callCountStream: func(_ string, _ []byte, stream io.Reader) ([]byte, error) {
			n, err := io.Copy(io.Discard, stream)
			return fmt.Append(nil, n), err
		},
		callFailing: func(string, []byte, io.Reader) ([]byte, error) { return nil, errors.New("no") },
	})
	t.Cleanup(endpoint.Close)
	return endpoint
}

// endlessReader is a stream without an end.
type endlessReader struct{}

func (endlessReader) Read(buffer []byte) (int, error) { return len(buffer), nil }

// A connection must remain usable after a call, with and without a stream, and after a handler's error. Callers must be
// able to distinguish the error of a handler from a request that was not sent.
func TestCalls(t *testing.T) {
	a, b := newTestEndpoint(t, "a", "g", "k"), newTestEndpoint(t, "b", "g", "k")
	target := Target{ID: "b", Addr: b.Addr()}
	for range 3 {
		result, err := a.Call(target, callEcho, []byte("x"), nil, time.Second)
		require.NoError(t, err)
		assert.Equal(t, "a:x", string(result))
	}
	const streamLength = 3*streamChunkSize + 5
	result, err := a.Call(target, callCountStream, nil, io.LimitReader(endlessReader{}, streamLength), 5*time.Second)
	require.NoError(t, err)
	assert.Equal(t, fmt.Sprint(streamLength), string(result))
	_, err = a.Call(target, callFailing, nil, nil, time.Second)
	require.ErrorIs(t, err, ErrRemote)
	_, err = a.Call(target, callUnknown, nil, nil, time.Second)
	require.Error(t, err)
	_, err = a.Call(Target{ID: "b", Addr: "127.0.0.1:1"}, callEcho, nil, nil, time.Second)
	require.ErrorIs(t, err, ErrNotSent)
	hello, err := a.Identify(b.Addr(), time.Second)
	require.NoError(t, err)
	assert.Equal(t, "b", hello.From)
}

// A client with an outdated address, or the group or key of another group, must not reach the instance that it has
// dialed. An instance without a group must be accepted, as it could not join one otherwise.
func TestHandshakeRejects(t *testing.T) {
	b := newTestEndpoint(t, "b", "g", "k")
	for name, client := range map[string]struct{ id, group, key, target string }{
		"another target instance": {"a", "g", "k", "c"},
		"another group":           {"a", "h", "k", "b"},
		"another key":             {"a", "g", "wrong", "b"},
		"no key":                  {"a", "g", "", "b"},
	} {
		a := newTestEndpoint(t, client.id, client.group, client.key)
		_, err := a.Call(Target{ID: client.target, Addr: b.Addr()}, callEcho, nil, nil, time.Second)
		require.Error(t, err, name)
	}
	const noGroup = ""
	joining := newTestEndpoint(t, "j", noGroup, "k")
	_, err := joining.Call(Target{ID: "b", Addr: b.Addr()}, callEcho, nil, nil, time.Second)
	assert.NoError(t, err)
}

// Input that violates the protocol (an HTTP request, a handshake message without a version, a body length of 4 GiB)
// must end its own connection and have no effect on others.
func TestMalformedInputClosesOnlyItsConnection(t *testing.T) {
	b := newTestEndpoint(t, "b", "g", "k")
	for _, input := range []string{
		"GET / HTTP/1.0\r\n\r\n",
		"\x00\x00\x00\x02\x01\x00\x00\x00\x00\x00\x00\x00\x00{}",
		"\xff\xff\xff\xff\x01\x00\x00\x00\x00\x00\x00\x00\x00",
	} {
		var dialer net.Dialer
		conn, err := dialer.DialContext(t.Context(), "tcp", b.Addr())
		require.NoError(t, err)
		conn.SetDeadline(time.Now().Add(5 * time.Second))
		_, err = io.WriteString(conn, input)
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, conn) // returns when the endpoint closes the connection, possibly with a reset
		conn.Close()
	}
	a := newTestEndpoint(t, "a", "g", "k")
	_, err := a.Call(Target{ID: "b", Addr: b.Addr()}, callEcho, nil, nil, time.Second)
	assert.NoError(t, err)
}

// If all followers of a large group depend on one voter, their connections must not use up those that the other members
// need to reach it.
func TestNonMemberLimitKeepsCapacityForMembers(t *testing.T) {
	const followers = 1024
	group := func() string { return "g" }
	config := Config{
		ID:       "voter",
		Group:    group,
		Log:      testserver.DiscardLog(),
		IsMember: func(id string) bool { return !strings.HasPrefix(id, "follower") },
	}
	endpoint := Listen(config, listenTCP(t), map[byte]Handler{
		callEcho: func(string, []byte, io.Reader) ([]byte, error) { return nil, nil },
	})
	t.Cleanup(endpoint.Close)
	target := Target{ID: "voter", Addr: endpoint.Addr()}
	callFrom := func(id string) error {
		client := New(Config{ID: id, Group: group, Log: testserver.DiscardLog()})
		t.Cleanup(client.Close)
		_, err := client.Call(target, callEcho, nil, nil, 10*time.Second)
		return err
	}
	for i := range followers {
		require.NoError(t, callFrom(fmt.Sprint("follower", i)))
	}
	endpoint.mu.Lock()
	assert.Equal(t, followers, endpoint.nonMemberConns)
	endpoint.nonMemberConns = maxNonMemberConns // as if each follower had a second connection
	endpoint.mu.Unlock()
	require.Error(t, callFrom("follower-beyond-the-limit"))
	assert.NoError(t, callFrom("member"))
}

// Guards against a data race: a handler that returns while another goroutine still reads the call's stream, as Raft does with a
// snapshot while the instance stops, must not leave that goroutine reading the connection beside the server.
func TestStreamIsNotReadAfterItsHandlerHasReturned(t *testing.T) {
	reads := make(chan error, 1)
	config := Config{ID: "b", Group: func() string { return "g" }, Log: testserver.DiscardLog()}
	server := Listen(config, listenTCP(t), map[byte]Handler{
		callCountStream: func(_ string, _ []byte, stream io.Reader) ([]byte, error) {
			_, err := io.ReadFull(stream, make([]byte, streamChunkSize)) // the next read waits for a chunk
			go func() {
				_, err := io.Copy(io.Discard, stream)
				reads <- err
			}()
			return nil, err
		},
	})
	t.Cleanup(server.Close)
	client := newTestEndpoint(t, "a", "g", "")
	stream, source := io.Pipe()
	t.Cleanup(func() { _ = source.Close() })
	go func() { _, _ = source.Write(make([]byte, streamChunkSize)) }()
	go func() {
		_, _ = client.Call(Target{ID: "b", Addr: server.Addr()}, callCountStream, nil, stream, 5*time.Second)
	}()
	select {
	case err := <-reads:
		require.Error(t, err, "the stream ended without an error")
	case <-time.After(time.Second):
		assert.Fail(t, "the stream is still read")
	}
}
