package httpwire_test

import (
	"errors"
	"net"
	"os"
	"sync"
	"testing"
	"time"
)

// hooks are functions that run before or around calls on a connection, and can delay them. Each may be nil.
type hooks struct {
	aroundSetReadDeadline func(at time.Time, set func()) // in place of SetReadDeadline; set makes the call
	beforeRead            func()
	beforeClose           func() // before the first CloseWrite or Close
	closeOnce             sync.Once
}

// hookedConn is a connection accepted by the server whose calls run hooks.
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

// hookedListener is a listener whose first connection has the given hooks, and whose others have none.
type hookedListener struct {
	*net.TCPListener
	beforeAccept       func()
	afterAcceptTimeout func() // after an Accept that reached its deadline
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

func newHookedListener(t *testing.T, firstHooks *hooks) *hookedListener {
	t.Helper()
	return &hookedListener{TCPListener: listen(t).(*net.TCPListener), firstHooks: firstHooks}
}
