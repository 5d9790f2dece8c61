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
	// acceptRetryInterval is the delay after a failed accept.
	acceptRetryInterval = 10 * time.Millisecond
	// maxAcceptQueue is the number of connections that a listener's accept queue may hold with usual settings of the system.
	maxAcceptQueue = 4096
	// readBufferSize is the initial size of a connection's read buffer, in bytes.
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
			// Closing the listener would reset the connections in the accept queue, whose requests may have arrived already.
			finalAccept = true
			_ = l.(deadlineSetter).SetDeadline(time.Now().Add(finalReadTimeout))
		case stopped:
			// More connections may have arrived after that deadline, while this goroutine waited to be scheduled.
			s.startPending(l)
			return nil
		case errors.Is(err, net.ErrClosed):
			return nil
		default:
			s.handleAcceptError(err)
		}
	}
}

// startServing registers the listener, and reports false if the server was closed before.
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

// handleAcceptError handles an error after which the server goes on accepting: the process is out of file descriptors, or the
// connection was aborted before it was accepted. It evicts a connection to free a descriptor.
func (s *Server) handleAcceptError(err error) {
	s.mu.Lock()
	s.evictForNewConnection(0)
	s.logRateLimited("accept failed", err)
	s.mu.Unlock()
	time.Sleep(acceptRetryInterval)
}

// startConnection serves a connection in a goroutine of its own, or rejects it if the limit is reached and none can be evicted.
// If too many connections are closing already, it closes a rejected one without a response.
func (s *Server) startConnection(conn net.Conn) {
	now := time.Now()
	pollConn := newPollConn(conn)
	x := &Exchange{
		conn:        conn,
		pollConn:    pollConn,
		reader:      bufio.NewReaderSize(pollConn, readBufferSize),
		connectedAt: now,
		stateSince:  now,
		memory: reservation{
			memory:    s.Memory,
			interrupt: func() { conn.SetReadDeadline(pastDeadline) },
		},
	}
	s.mu.Lock()
	atLimit := s.MaxConnections > 0 && !s.evictForNewConnection(s.MaxConnections)
	closeNow := atLimit && s.closingCount >= s.maxClosingConnections()
	if atLimit {
		s.logRateLimited("client connection rejected", errTooManyConnections)
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

// reject responds to a connection beyond the limit with a 503 and closes it.
func (s *Server) reject(x *Exchange) {
	s.respondAndClose(x, s.rejectionReply(http.StatusServiceUnavailable, errTooManyConnections))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closingCount--
}

// serveConnection serves a connection until it is closed, and then removes it from the server's connections.
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

// startPending starts the connections in a listener's accept queue, one by one, so that the limit on connections applies to each.
// It does not wait for further ones, and takes at most maxAcceptQueue: clients that are rejected may come again without end.
func (s *Server) startPending(l net.Listener) {
	sysConn, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return
	}
	for range maxAcceptQueue {
		conn := acceptNow(raw)
		if conn == nil {
			return
		}
		s.startConnection(conn)
	}
}

// acceptNow accepts a connection without waiting. It returns nil if there is none.
func acceptNow(raw syscall.RawConn) (conn net.Conn) {
	_ = raw.Control(func(fd uintptr) { // it fails if the listener is closed, when nothing is pending
		for conn == nil {
			accepted, _, err := syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			switch {
			case errors.Is(err, syscall.EINTR), errors.Is(err, syscall.ECONNABORTED):
				continue
			case err != nil: // the queue is empty
				return
			}
			file := os.NewFile(uintptr(accepted), "")
			if conn, err = net.FileConn(file); err != nil {
				conn = nil
			}
			_ = file.Close() // FileConn has duplicated the descriptor
		}
	})
	return conn
}
