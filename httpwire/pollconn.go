package httpwire

import (
	"errors"
	"io"
	"net"
	"syscall"
)

// errNoData is the error of a read that does not block where nothing has arrived.
var errNoData = errors.New("nothing has come yet")

// pollConn is a connection whose reads can be made not to block.
type pollConn struct {
	net.Conn

	raw         syscall.RawConn // nil: the connection has none
	nonBlocking bool
}

func newPollConn(conn net.Conn) *pollConn {
	s := &pollConn{Conn: conn}
	if sysConn, ok := conn.(syscall.Conn); ok {
		s.raw, _ = sysConn.SyscallConn()
	}
	return s
}

// Read reads from the connection. In the mode that does not block its error is errNoData where nothing has arrived.
func (s *pollConn) Read(b []byte) (int, error) {
	if !s.nonBlocking {
		return s.Conn.Read(b)
	}
	if s.raw == nil {
		return 0, errNoData
	}
	var n int
	var err error
	closed := s.raw.Read(func(fd uintptr) bool {
		n, err = readOnce(int(fd), b)
		return true // don't wait until the descriptor is readable
	})
	switch {
	case closed != nil:
		return 0, closed
	case errors.Is(err, syscall.EAGAIN):
		return 0, errNoData
	case err != nil:
		return 0, err
	case n == 0 && len(b) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// readOnce reads a descriptor, again where a signal interrupted the call.
func readOnce(fd int, b []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, b)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}
