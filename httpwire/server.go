package httpwire

import (
	"cmp"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"alderproxy/internal/ratelog"
)

// The timeouts of a server that sets none.
const (
	defaultFirstRequestTimeout = 10 * time.Second
	defaultIdleTimeout         = time.Minute
	defaultReadTimeout         = 10 * time.Second
	defaultWriteTimeout        = 2 * time.Second
)

var (
	errTooManyConnections = errors.New("too many connections")
	errConnectionEnds     = errors.New("the connection ends")
)

// Server serves HTTP with one goroutine a connection. Its exported fields are set before Serve.
type Server struct {
	// Handle answers a request. A nil reply means that the client has gone: the connection closes.
	Handle func(*Exchange) *Reply
	// RejectionBody returns the body of the response to a request that could not be read; nil: an empty JSON object.
	RejectionBody func(status int, err error) []byte
	Log           *logrus.Entry
	// MaxConnections bounds the open connections; 0: there is no bound. Beyond half of it connections that have been idle for
	// a while are closed for new ones, at the bound any without an open request. Where there is none, the new connection is
	// answered with 503.
	MaxConnections int
	// MaxIdleConnections bounds the connections between requests; 0: only MaxConnections does. Beyond it the one that has
	// been idle longest is closed at once: clients have limits of their own, which connections that are kept use up.
	MaxIdleConnections int
	// FirstRequestTimeout is the time from connecting until the first request has been read completely; 0: 10 s.
	FirstRequestTimeout time.Duration
	// IdleTimeout is the time from a response to the first byte of the next request; 0: a minute.
	IdleTimeout time.Duration
	// ReadTimeout is the time from the first byte of a later request until it has been read completely; 0: 10 s.
	ReadTimeout time.Duration
	// WriteTimeout is the time that writing a response may take; 0: 2 s.
	WriteTimeout time.Duration

	mu          sync.Mutex
	connections map[*Exchange]struct{}
	closing     int // connections beyond these that are rejected or were evicted
	idleCount   int // of connections, those between requests
	warnings    ratelog.Limiter
	listener    net.Listener

	keepAliveDisabled atomic.Bool // each response closes its connection
	stopping          atomic.Bool // idle connections close at once
	active            sync.WaitGroup
}

// Reply is the response that a handler gives.
type Reply struct {
	Status int
	Header Header
	Body   []byte
}

// Connections returns the number of open connections, including those that are about to close.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections) + s.closing
}

// serve answers the requests on a connection until it closes.
func (s *Server) serve(x *Exchange) {
	defer x.conn.Close()
	for s.awaitRequest(x) {
		if keep := s.serveRequest(x); !keep {
			return
		}
	}
}

// serveRequest reads and answers one request, and reports whether another one may follow on the connection.
func (s *Server) serveRequest(x *Exchange) (keep bool) {
	x.Start = time.Now()
	x.ResetWait()
	var err error
	if x.Request, err = ReadRequest(x.reader); err != nil {
		if status := StatusOf(err); status != 0 {
			s.enterState(x, stateClosing)
			s.respondAndClose(x, s.rejection(status, err))
		}
		return false
	}
	s.enterState(x, stateOpen)
	reply := s.handle(x)
	if reply == nil {
		return false
	}
	closing := s.closesAfterResponse(x)
	response := AppendResponse(nil, reply.Status, reply.Header, reply.Body, closing)
	x.conn.SetWriteDeadline(deadlineAfter(s.WriteTimeout, defaultWriteTimeout))
	if _, err := x.conn.Write(response); err != nil {
		return false
	}
	if closing {
		s.enterState(x, stateClosing)
		linger(x)
	}
	return !closing
}

// awaitRequest waits for the first byte of a request and sets the deadline for reading the rest. False means that the
// connection closes, and that nothing that arrives on it is read as a request any more.
func (s *Server) awaitRequest(x *Exchange) bool {
	first := s.setIdleDeadline(x)
	_, err := x.reader.Peek(1)
	x.expired = errors.Is(err, os.ErrDeadlineExceeded)
	if x.expired {
		x.conn.SetReadDeadline(time.Now().Add(finalReadTimeout))
		_, err = x.reader.Peek(1)
	}
	closedByServer := s.enterReading(x, first, err == nil)
	switch {
	case err == nil:
		return true
	case !errors.Is(err, os.ErrDeadlineExceeded): // the client has closed the connection
	case first && closedByServer: // a first request may be on its way, and must get an answer
		s.respondAndClose(x, s.rejection(http.StatusServiceUnavailable, errConnectionEnds))
	default:
		linger(x)
	}
	return false
}

// setIdleDeadline sets the deadline for the first byte of the next request, and reports whether it is the first one of the
// connection.
func (s *Server) setIdleDeadline(x *Exchange) (first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first = x.state == stateNew
	deadline := deadlineAfter(s.IdleTimeout, defaultIdleTimeout)
	if first {
		deadline = x.connectedAt.Add(cmp.Or(s.FirstRequestTimeout, defaultFirstRequestTimeout))
	} else {
		s.setIdle(x)
	}
	if s.stopping.Load() || x.evicted {
		deadline = pastDeadline
	}
	x.conn.SetReadDeadline(deadline)
	return first
}

// enterReading changes the state after the wait for a request, sets the deadline for reading the rest of one that has
// arrived, and reports whether the server closes the connection.
func (s *Server) enterReading(x *Exchange, first, arrived bool) (closedByServer bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	closedByServer = s.stopping.Load() || x.evicted
	if !arrived {
		s.setState(x, stateClosing)
		return closedByServer
	}
	s.setState(x, stateReading)
	switch {
	case x.evicted:
		x.conn.SetReadDeadline(time.Now().Add(incompleteEvictionAge))
	case !first || closedByServer:
		x.conn.SetReadDeadline(deadlineAfter(s.ReadTimeout, defaultReadTimeout))
	}
	return closedByServer
}

// handle calls the handler. One that panics costs its own client a 500 and does not affect others.
func (s *Server) handle(x *Exchange) (reply *Reply) {
	defer func() {
		if cause := recover(); cause != nil {
			s.Log.Errorf("handler panicked: %v", cause)
			reply = &Reply{Status: http.StatusInternalServerError, Body: []byte("{}")}
		}
	}()
	return s.Handle(x)
}

func (s *Server) rejection(status int, err error) *Reply {
	body := []byte("{}")
	if s.RejectionBody != nil {
		body = s.RejectionBody(status, err)
	}
	return &Reply{Status: status, Body: body}
}

// warnLimited logs what clients can cause at most once a second. The caller holds the lock.
func (s *Server) warnLimited(message string, err error) {
	if more, due := s.warnings.Due(time.Now()); due {
		s.Log.WithError(err).WithFields(logrus.Fields{"connections": len(s.connections), "more": more}).Warn(message)
	}
}

func deadlineAfter(timeout, otherwise time.Duration) time.Time {
	if timeout <= 0 {
		timeout = otherwise
	}
	return time.Now().Add(timeout)
}
