package httpwire_test

import (
	"errors"
	"net"
	"os"
	"sync"
	"testing"
	"time"
)

// hooks tell of calls on a connection, and hold them up. Each may be nil.
type hooks struct {
	aroundSetReadDeadline func(at time.Time, set func()) // around SetReadDeadline
	beforeRead            func()                         // before Read
	beforeClose           func()                         // before CloseWrite or Close, whichever comes first
	closeOnce             sync.Once
}

// hookedConn is a connection of the server's with hooks before and after what the server does to it.
type hookedConn struct {
	*net.TCPConn
	*hooks
}

func (c hookedConn) SetReadDeadline(at time.Time) error {
	if c.aroundSetReadDeadline == nil {
		return c.TCPConn.SetReadDeadline(at)
	}
	c.aroundSetReadDeadline(at, func() { _ = c.TCPConn.SetReadDeadline(at) })
	return nil
}

func (c hookedConn) Read(b []byte) (int, error) {
	if c.beforeRead != nil {
		c.beforeRead()
	}
	return c.TCPConn.Read(b)
}

func (c hookedConn) CloseWrite() error { c.runBeforeClose(); return c.TCPConn.CloseWrite() }

func (c hookedConn) Close() error { c.runBeforeClose(); return c.TCPConn.Close() }

// hookedListener is a listener whose connections have hooks, the first of them its own.
type hookedListener struct {
	*net.TCPListener
	beforeAccept       func() // before Accept
	afterAcceptTimeout func() // after an Accept that found nothing in its time
	firstHooks         *hooks
}

func (g *hookedListener) Accept() (net.Conn, error) {
	if g.beforeAccept != nil {
		g.beforeAccept()
	}
	c, err := g.TCPListener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) && g.afterAcceptTimeout != nil {
		g.afterAcceptTimeout()
	}
	if err != nil {
		return nil, err
	}
	h := g.firstHooks
	if g.firstHooks = nil; h == nil {
		h = &hooks{}
	}
	return hookedConn{c.(*net.TCPConn), h}, nil
}

func newHookedListener(t *testing.T, first *hooks) *hookedListener {
	t.Helper()
	return &hookedListener{TCPListener: listen(t).(*net.TCPListener), firstHooks: first}
}
