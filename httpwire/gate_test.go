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
	deadline func(at time.Time, set func()) // around SetReadDeadline
	read     func()                         // before Read
	end      func()                         // before CloseWrite or Close, whichever comes first
	once     sync.Once
}

// gated is a connection of the server's with hooks before and after what the server does to it.
type gated struct {
	*net.TCPConn
	*hooks
}

func (g gated) SetReadDeadline(at time.Time) error {
	if g.deadline == nil {
		return g.TCPConn.SetReadDeadline(at)
	}
	g.deadline(at, func() { _ = g.TCPConn.SetReadDeadline(at) })
	return nil
}

func (g gated) Read(b []byte) (int, error) {
	if g.read != nil {
		g.read()
	}
	return g.TCPConn.Read(b)
}

func (g gated) CloseWrite() error { g.ending(); return g.TCPConn.CloseWrite() }

func (g gated) Close() error { g.ending(); return g.TCPConn.Close() }

// gate is a listener whose connections have hooks, the first of them its own.
type gate struct {
	*net.TCPListener
	accept func() // before Accept
	none   func() // after an Accept that found nothing in its time
	first  *hooks
}

func (g *gate) Accept() (net.Conn, error) {
	if g.accept != nil {
		g.accept()
	}
	c, err := g.TCPListener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) && g.none != nil {
		g.none()
	}
	if err != nil {
		return nil, err
	}
	h := g.first
	if g.first = nil; h == nil {
		h = &hooks{}
	}
	return gated{c.(*net.TCPConn), h}, nil
}

func newGate(t *testing.T, first *hooks) *gate {
	t.Helper()
	return &gate{TCPListener: listen(t).(*net.TCPListener), first: first}
}
