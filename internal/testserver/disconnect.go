package testserver

import (
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"alderproxy/httpwire"
)

// gatedListener is a listener whose connections call beforeRead before each read. Reads are numbered from 1.
type gatedListener struct {
	*net.TCPListener

	beforeRead func(c *net.TCPConn, readNumber int)
}

// Accept implements net.Listener.
func (l gatedListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &gatedConn{TCPConn: c, listener: l}, nil
}

// gatedConn is a connection of a gatedListener.
type gatedConn struct {
	*net.TCPConn

	listener gatedListener
	reads    int
}

// Read calls the listener's beforeRead and then reads.
func (c *gatedConn) Read(b []byte) (int, error) {
	c.reads++
	c.listener.beforeRead(c.TCPConn, c.reads)
	return c.TCPConn.Read(b)
}

// PeerClosed reports whether the other side has closed its side of a connection, even if data that it sent before is unread.
func PeerClosed(c *net.TCPConn) (closed bool) {
	const closeWait = 8 // TCP_CLOSE_WAIT of Linux
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) {
		// The state is the first byte of tcp_info.
		state, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
		closed = err == nil && state&0xff == closeWait
	})
	return err == nil && closed
}

// SendAndDisconnect sends a request to a server with a handler and closes the connection before the server reads the request,
// as can happen with a process that was paused. It returns when the handler has returned or the server reads from the
// connection again. Such further reads block until release is called.
func SendAndDisconnect(t *testing.T, handle func(*httpwire.Exchange) *httpwire.Reply, send func(*Client)) (release func()) {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	handled, released := make(chan struct{}), make(chan struct{})
	markHandled := sync.OnceFunc(func() { close(handled) })
	s := &httpwire.Server{Log: DiscardLog(), Handle: func(x *httpwire.Exchange) *httpwire.Reply {
		defer markHandled()
		return handle(x)
	}}
	gated := gatedListener{listener.(*net.TCPListener), func(c *net.TCPConn, readNumber int) {
		if readNumber == 1 {
			awaitPeerClosed(c)
			return
		}
		markHandled()
		<-released
	}}
	go func() { _ = s.Serve(gated) }()
	release = sync.OnceFunc(func() { close(released) })
	t.Cleanup(func() {
		release()
		s.Close()
	})
	c := Dial(t, listener.Addr().String())
	send(c)
	c.Close()
	select {
	case <-handled:
	case <-time.After(clientTimeout):
		require.Fail(t, "the server did not handle the request within the timeout")
	}
	return release
}

// awaitPeerClosed waits until the other side has closed its side of a connection, for at most five seconds.
func awaitPeerClosed(c *net.TCPConn) {
	deadline := time.Now().Add(requestTimeout)
	for !PeerClosed(c) && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
}
