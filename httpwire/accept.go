package httpwire

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
)

const (
	// acceptRetryInterval is the pause after an accept that failed.
	acceptRetryInterval = 10 * time.Millisecond
	// readBufferSize is a connection's buffer at first, in bytes.
	readBufferSize = 4 << 10
)

type deadlineSetter interface{ SetDeadline(t time.Time) error }

// Serve accepts connections until the listener or the server closes, and then closes the listener. Its error is always nil.
func (s *Server) Serve(l net.Listener) error {
	defer l.Close()
	if !s.startServing(l) {
		return nil
	}
	defer s.active.Done()
	finalAccept := false
	for {
		conn, err := l.Accept()
		switch stopped := errors.Is(err, os.ErrDeadlineExceeded) && s.stopping.Load(); {
		case err == nil:
			s.startConnection(conn)
		case stopped && !finalAccept:
			// Closing the listener resets connections in the accept queue, together with their requests.
			finalAccept = true
			_ = l.(deadlineSetter).SetDeadline(time.Now().Add(finalReadTimeout))
		case stopped:
			// More may have come since that deadline if this process had to wait for a processor.
			pending := acceptPending(l)
			l.Close()
			for _, conn := range pending {
				s.startConnection(conn)
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return nil
		default:
			s.handleAcceptError(err)
		}
	}
}

func (s *Server) startServing(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping.Load() {
		return false
	}
	s.listener = l
	s.connections = map[*Exchange]struct{}{}
	s.active.Add(1)
	return true
}

// handleAcceptError handles errors that are no reason to stop serving: descriptors have run out, or a connection ended early.
func (s *Server) handleAcceptError(err error) {
	s.mu.Lock()
	s.evictForNewConnection(0)
	s.logRateLimited("accept failed", err)
	s.mu.Unlock()
	time.Sleep(acceptRetryInterval)
}

// startConnection serves a connection in a goroutine of its own, or rejects it where the bound is reached.
func (s *Server) startConnection(conn net.Conn) {
	now := time.Now()
	pollConn := newPollConn(conn)
	x := &Exchange{
		conn:        conn,
		pollConn:    pollConn,
		reader:      bufio.NewReaderSize(pollConn, readBufferSize),
		connectedAt: now,
		stateSince:  now,
	}
	s.mu.Lock()
	atLimit := s.MaxConnections > 0 && !s.evictForNewConnection(s.MaxConnections)
	closeNow := atLimit && s.closingCount >= s.maxClosingConnections()
	if atLimit {
		s.logRateLimited("client rejected", errTooManyConnections)
		if !closeNow {
			s.closingCount++
		}
	} else {
		s.connections[x] = struct{}{}
	}
	s.mu.Unlock()
	switch {
	case closeNow:
		conn.Close()
	case atLimit:
		go s.reject(x)
	default:
		s.active.Add(1)
		go s.serveConnection(x)
	}
}

// reject answers a connection beyond the bound.
func (s *Server) reject(x *Exchange) {
	s.respondAndClose(x, s.rejectionReply(http.StatusServiceUnavailable, errTooManyConnections))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closingCount--
}

// serveConnection serves a connection to its end.
func (s *Server) serveConnection(x *Exchange) {
	defer s.active.Done()
	s.serveRequests(x)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeConnection(x)
	if x.evicted {
		s.closingCount--
	}
}

// acceptPending returns, without blocking, the connections in the accept queue of a listener.
func acceptPending(l net.Listener) (pending []net.Conn) {
	sysConn, ok := l.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return nil
	}
	_ = raw.Control(func(fd uintptr) { // it fails where the listener is closed: nothing is pending then
		for {
			accepted, _, err := syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			switch {
			case errors.Is(err, syscall.EINTR), errors.Is(err, syscall.ECONNABORTED):
				continue
			case err != nil: // the queue is empty
				return
			}
			file := os.NewFile(uintptr(accepted), "")
			if conn, err := net.FileConn(file); err == nil {
				pending = append(pending, conn)
			}
			_ = file.Close() // FileConn has a descriptor of its own
		}
	})
	return pending
}
