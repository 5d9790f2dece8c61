package httpwire

import (
	"errors"
	"io"
	"net"
	"syscall"
)

// errNoData is returned by a non-blocking read if no data has arrived.
var errNoData = errors.New("no data has arrived")

// pollConn is a connection whose reads can be made non-blocking.
type pollConn struct {
	net.Conn

	raw         syscall.RawConn // nil if the connection gives no access to its descriptor
	nonBlocking bool
}

func newPollConn(conn net.Conn) *pollConn {
	s := &pollConn{Conn: conn}
	if sysConn, ok := conn.(syscall.Conn); ok {
		s.raw, _ = sysConn.SyscallConn()
	}
	return s
}

// Read reads from the connection. If nonBlocking is set and no data has arrived, it returns errNoData.
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
		return true // don't wait for the descriptor to become readable
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

// readOnce calls read on a descriptor, and repeats the call if a signal interrupted it.
func readOnce(fd int, b []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, b)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}
