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

// gatedListener is a listener whose connections call a function before each read, with its number from 1.
type gatedListener struct {
	*net.TCPListener

	beforeRead func(c *net.TCPConn, readNumber int)
}

// Accept accepts a connection.
func (l gatedListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &gatedConn{TCPConn: c, listener: l}, nil
}

type gatedConn struct {
	*net.TCPConn

	listener gatedListener
	reads    int
}

// Read calls the listener's function and reads.
func (c *gatedConn) Read(b []byte) (int, error) {
	c.reads++
	c.listener.beforeRead(c.TCPConn, c.reads)
	return c.TCPConn.Read(b)
}

// PeerClosed reports whether the other side has closed its side of a connection, whether or not what it sent was read.
func PeerClosed(c *net.TCPConn) (closed bool) {
	const closeWait = 8 // TCP_CLOSE_WAIT of Linux
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) {
		state, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO) // its first byte
		closed = err == nil && state&0xff == closeWait
	})
	return err == nil && closed
}

// SendAndDisconnect has a server with a handler read a request only once its client has closed the connection, as a process
// does that was held up. It returns when the handler has returned, or waits for the client; further reads wait until release
// is called.
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
	gated := gatedListener{listener.(*net.TCPListener), func(c *net.TCPConn, read int) {
		if read == 1 {
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
		require.Fail(t, "the request was not read")
	}
	return release
}

// awaitPeerClosed waits until the other side has closed its side, up to five seconds.
func awaitPeerClosed(c *net.TCPConn) {
	deadline := time.Now().Add(requestTimeout)
	for !PeerClosed(c) && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
}
