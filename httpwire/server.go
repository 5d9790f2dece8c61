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

// Defaults for the timeouts that a Server leaves at 0. A client that stops in the middle of a request must have an error or a close
// within 3 s, and some usual clients need 2 s to write one.
const (
	defaultFirstRequestTimeout = 2200 * time.Millisecond
	defaultIdleTimeout         = time.Minute
	defaultReadTimeout         = 2500 * time.Millisecond
	defaultWriteTimeout        = 2 * time.Second
)

// pipelinePause is the pause between two requests that a client has sent without waiting for the response to the first.
const pipelinePause = time.Millisecond

// memoryRetryAfter is the Retry-After in seconds of a request that was rejected at the limit on memory.
const memoryRetryAfter = "1"

var (
	errTooManyConnections = errors.New("too many connections")
	errConnectionEnds     = errors.New("the connection ends")
)

// Server serves HTTP with one goroutine per connection. Its exported fields must not be changed after Serve was called.
type Server struct {
	// Handle answers a request. If it returns nil, because the client has disconnected, the connection is closed without a
	// response.
	Handle func(*Exchange) *Reply
	// RejectionBody returns the body of a response that the server sends without calling Handle: to a request that could not
	// be read, or on a connection that is rejected or closed before its first request. nil means an empty JSON object.
	RejectionBody func(status int, err error) []byte
	Log           *logrus.Entry
	// MaxConnections is the maximum number of open connections; 0 means no limit. From half of it on, each new connection
	// evicts one that has been idle for idleEvictionAge, if there is one. At the limit it evicts one that has no open request;
	// if all have one, the new connection is rejected with a 503. Connections that were evicted or rejected don't count towards
	// the limit while they close, and are closed at once if too many of them are closing; see maxClosingConnections.
	MaxConnections int
	// MaxIdleConnections is the maximum number of connections between requests; 0 means no limit but MaxConnections. Beyond it
	// the connection that has been idle longest is closed at once: clients limit their connections too, and idle ones count
	// towards their limits.
	MaxIdleConnections int
	// FirstRequestTimeout limits the time from accepting a connection until its first request has been read completely; 0 means
	// 2.2 s.
	FirstRequestTimeout time.Duration
	// IdleTimeout limits the time from a response to the first byte of the next request; 0 means one minute.
	IdleTimeout time.Duration
	// ReadTimeout limits the time from the first byte of a later request until it has been read completely; 0 means 2.5 s.
	ReadTimeout time.Duration
	// WriteTimeout limits the time that writing a response takes; 0 means 2 s.
	WriteTimeout time.Duration
	// Memory limits the memory that requests hold together. At the limit, the requests that have been read for the longest time
	// are rejected with a 429. nil means no limit.
	Memory *RequestMemory

	mu           sync.Mutex
	connections  map[*Exchange]struct{}
	closingCount int // rejected or evicted connections that are still closing; they are not in connections
	idleCount    int // the number of connections in stateIdle
	warningLimit ratelog.Limiter
	listener     net.Listener

	keepAliveDisabled atomic.Bool // each connection closes after its next response
	stopping          atomic.Bool // Close was called
	active            sync.WaitGroup
}

// Reply is the response that a handler returns.
type Reply struct {
	Status int
	Header Header
	Body   []byte
}

// Connections returns the number of open connections, including those that are about to close.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections) + s.closingCount
}

// serveRequests answers the requests on a connection one after the other, and then closes it. It pauses before a request that has
// arrived already: other goroutines wait up to a time slice of the scheduler each time that they are woken while one that never
// waits uses the processor.
func (s *Server) serveRequests(x *Exchange) {
	defer x.conn.Close()
	for s.awaitRequest(x) {
		if keep := s.serveRequest(x); !keep {
			return
		}
		if x.reader.Buffered() > 0 {
			time.Sleep(pipelinePause)
		}
	}
}

// serveRequest reads and answers one request, and reports whether the connection stays open for another one.
func (s *Server) serveRequest(x *Exchange) (keep bool) {
	x.Start = x.arrivals.first(time.Now())
	x.ResetWait()
	x.memory.requestBytes = 0
	defer func() {
		x.Request = nil // the connection may be idle for long
		x.memory.release()
	}()
	if err := s.readRequest(x); err != nil {
		x.memory.release() // the client may take long to read the response
		if status := StatusOf(err); status != 0 {
			s.enterState(x, stateClosing)
			s.respondAndClose(x, s.rejectionReply(status, err))
		}
		return false
	}
	s.enterState(x, stateOpen)
	reply := s.handle(x)
	if reply == nil {
		return false
	}
	closeAfter := s.closesAfterResponse(x)
	response := AppendResponse(nil, reply.Status, reply.Header, reply.Body, closeAfter)
	x.conn.SetWriteDeadline(deadlineAfter(s.WriteTimeout, defaultWriteTimeout))
	if _, err := x.conn.Write(response); err != nil {
		return false
	}
	if closeAfter {
		s.enterState(x, stateClosing)
		linger(x)
	}
	return !closeAfter
}

// readRequest reads a request into the exchange. It returns errMemoryExhausted if the request was evicted meanwhile.
func (s *Server) readRequest(x *Exchange) (err error) {
	before := x.reader.Buffered()
	x.Request, err = readRequest(x.reader, &x.memory)
	x.arrivals.consume(before, x.reader.Buffered(), time.Now())
	if evicted := x.memory.finishReading(); evicted != nil {
		x.Request = nil
		err = evicted
	}
	if errors.Is(err, errMemoryExhausted) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.logRateLimited("client request rejected", err)
	}
	return err
}

// awaitRequest waits for the first byte of a request, sets the deadline for reading the rest and returns true. It returns false
// if the connection must be closed; what arrives from then on is not read as a request.
func (s *Server) awaitRequest(x *Exchange) bool {
	first := s.setIdleDeadline(x)
	_, err := x.reader.Peek(1)
	x.waitExpired = errors.Is(err, os.ErrDeadlineExceeded)
	if x.waitExpired {
		x.conn.SetReadDeadline(time.Now().Add(finalReadTimeout))
		_, err = x.reader.Peek(1)
	}
	closedByServer := s.enterReading(x, first, err == nil)
	switch {
	case err == nil:
		return true
	case !errors.Is(err, os.ErrDeadlineExceeded): // the client has disconnected
	case first && closedByServer: // the client may be sending its first request, which must get a response
		s.respondAndClose(x, s.rejectionReply(http.StatusServiceUnavailable, errConnectionEnds))
	default:
		linger(x)
	}
	return false
}

// setIdleDeadline sets the deadline for the first byte of the next request, and marks the connection as idle if it has had a
// request before. It reports whether the next request is the connection's first.
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

// enterReading changes the state of a connection after the wait for a request. If a request has arrived, it sets the deadline
// for reading the rest. It reports whether the server has stopped or has evicted the connection.
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

// handle calls the handler. If it panics, its client receives a 500 and the server continues.
func (s *Server) handle(x *Exchange) (reply *Reply) {
	defer func() {
		if cause := recover(); cause != nil {
			s.Log.Errorf("handler panicked: %v", cause)
			reply = &Reply{Status: http.StatusInternalServerError, Body: []byte("{}")}
		}
	}()
	return s.Handle(x)
}

// rejectionReply returns a response that the server sends without calling the handler.
func (s *Server) rejectionReply(status int, err error) *Reply {
	body := []byte("{}")
	if s.RejectionBody != nil {
		body = s.RejectionBody(status, err)
	}
	reply := &Reply{Status: status, Body: body}
	if status == http.StatusTooManyRequests {
		reply.Header = Header{{Name: "Retry-After", Value: memoryRetryAfter}}
	}
	return reply
}

// logRateLimited logs a warning that clients can cause. At most one such warning a second is written, whatever its message. The
// caller holds the lock.
func (s *Server) logRateLimited(message string, err error) {
	if omitted, due := s.warningLimit.Due(time.Now()); due {
		s.Log.WithError(err).WithFields(logrus.Fields{"connections": len(s.connections), "more": omitted}).Warn(message)
	}
}

// deadlineAfter returns the time after a timeout from now, or after the default if the timeout is not set.
func deadlineAfter(timeout, defaultTimeout time.Duration) time.Time {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return time.Now().Add(timeout)
}
