package httpwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// Server serves HTTP with one goroutine a connection.
type Server struct {
	// Handle answers a request. A nil reply means that the client has left: the connection ends.
	Handle func(*Exchange) *Reply
	// Refuse words the answer to what could not be read; nil: an empty JSON object.
	Refuse func(status int, err error) []byte
	Log    *logrus.Entry
	// MaxConns bounds the connections held. Beyond it one is turned away with 503.
	MaxConns int
	// IdleLimit is how long a connection may lie idle, ReadLimit how long a request may take to come in, and
	// WriteLimit how long an answer may take to go out. Zero: a default.
	IdleLimit, ReadLimit, WriteLimit time.Duration

	mu       sync.Mutex
	conns    map[*Exchange]struct{}
	listener net.Listener
	leaving  atomic.Bool // answers say that the connection ends
	closed   atomic.Bool // idle connections end at once
	active   sync.WaitGroup
}

// Reply is an answer.
type Reply struct {
	Status int
	Header Header
	Body   []byte
}

// Exchange is one connection with the request that it is at.
type Exchange struct {
	*Request
	Start time.Time // when the request's first byte had come

	nc   net.Conn
	r    *bufio.Reader
	idle bool // guarded by the server's lock
	wake chan struct{}
	once *sync.Once
}

// Wake ends Wait. Any goroutine may call it, more than once; it never blocks.
func (x *Exchange) Wake() {
	x.once.Do(func() {
		close(x.wake)
		x.nc.SetReadDeadline(time.Unix(1, 0))
	})
}

// Wait returns false once Wake was called, or true when the client has left before.
func (x *Exchange) Wait() (gone bool) {
	for {
		x.nc.SetReadDeadline(time.Now().Add(time.Minute))
		select {
		case <-x.wake: // Wake's deadline may have come before ours
			return false
		default:
		}
		_, err := x.r.Peek(1)
		if err == nil { // the next request is there already: the client can't be seen to leave
			<-x.wake
			return false
		}
		select {
		case <-x.wake:
			return false
		default:
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return true
		}
	}
}

// Serve accepts connections until the listener closes.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener, s.conns = l, map[*Exchange]struct{}{}
	s.mu.Unlock()
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Out of descriptors or a connection that ended early: neither is a reason to stop serving.
			s.Log.WithError(err).Warn("accept failed")
			time.Sleep(10 * time.Millisecond)
			continue
		}
		x := &Exchange{nc: nc, r: bufio.NewReaderSize(nc, 4<<10), idle: true}
		s.mu.Lock()
		full := s.MaxConns > 0 && len(s.conns) >= s.MaxConns
		if !full {
			s.conns[x] = struct{}{}
		}
		s.mu.Unlock()
		if full {
			go s.end(x, s.refusal(503, errors.New("too many connections")))
			continue
		}
		s.active.Add(1)
		go func() {
			defer s.active.Done()
			s.serve(x)
			s.mu.Lock()
			delete(s.conns, x)
			s.mu.Unlock()
		}()
	}
}

// Leave makes every answer the last on its connection.
func (s *Server) Leave() { s.leaving.Store(true) }

// Close stops listening and ends each connection as soon as it is idle. Wait waits for that.
func (s *Server) Close() {
	s.leaving.Store(true)
	s.closed.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		s.listener.Close()
	}
	for x := range s.conns {
		if x.idle {
			x.nc.SetReadDeadline(time.Now().Add(lastLook))
		}
	}
}

// lastLook is how long a connection about to be closed is still read: a request whose bytes are there already is
// served, since to close on it would make its client send it again.
const lastLook = 20 * time.Millisecond

// Wait returns once every connection has ended, or after limit.
func (s *Server) Wait(limit time.Duration) bool {
	done := make(chan struct{})
	go func() { s.active.Wait(); close(done) }()
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

func (s *Server) limit(set, otherwise time.Duration) time.Time {
	if set <= 0 {
		set = otherwise
	}
	return time.Now().Add(set)
}

// await waits for the first byte of a request. False: the connection is to end.
func (s *Server) await(x *Exchange) bool {
	s.mu.Lock()
	x.idle = true
	if s.closed.Load() {
		x.nc.SetReadDeadline(time.Now().Add(lastLook))
	} else {
		x.nc.SetReadDeadline(s.limit(s.IdleLimit, time.Minute))
	}
	s.mu.Unlock()
	_, err := x.r.Peek(1)
	s.mu.Lock()
	x.idle = false
	s.mu.Unlock()
	return err == nil
}

func (s *Server) serve(x *Exchange) {
	for {
		if !s.await(x) {
			x.nc.Close()
			return
		}
		x.Start, x.wake, x.once = time.Now(), make(chan struct{}), &sync.Once{}
		x.nc.SetReadDeadline(s.limit(s.ReadLimit, 10*time.Second))
		var err error
		if x.Request, err = ReadRequest(x.r); err != nil {
			if status := StatusOf(err); status != 0 {
				s.end(x, s.refusal(status, err))
			}
			x.nc.Close()
			return
		}
		reply := s.handle(x)
		if reply == nil {
			x.nc.Close()
			return
		}
		closing := x.Close || s.leaving.Load()
		out := AppendResponse(nil, reply.Status, reply.Header, reply.Body, closing)
		x.nc.SetWriteDeadline(s.limit(s.WriteLimit, 2*time.Second))
		if _, err := x.nc.Write(out); err != nil || closing {
			if err == nil {
				linger(x)
			}
			x.nc.Close()
			return
		}
	}
}

// handle answers a request. A handler that panics costs its own client a 500 and nobody else anything.
func (s *Server) handle(x *Exchange) (reply *Reply) {
	defer func() {
		if r := recover(); r != nil {
			s.Log.Errorf("handler panicked: %v", r)
			reply = &Reply{Status: 500, Body: []byte("{}")}
		}
	}()
	return s.Handle(x)
}

func (s *Server) refusal(status int, err error) *Reply {
	body := []byte("{}")
	if s.Refuse != nil {
		body = s.Refuse(status, err)
	}
	return &Reply{Status: status, Body: body}
}

// end writes a last answer.
func (s *Server) end(x *Exchange, reply *Reply) {
	x.nc.SetWriteDeadline(s.limit(s.WriteLimit, 2*time.Second))
	if _, err := x.nc.Write(AppendResponse(nil, reply.Status, reply.Header, reply.Body, true)); err == nil {
		linger(x)
	}
	x.nc.Close()
}

// linger lets the client read a last answer: to close on bytes that were not read would reset the connection
// and could take the answer with it.
func linger(x *Exchange) {
	if tcp, ok := x.nc.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		x.nc.SetReadDeadline(time.Now().Add(250 * time.Millisecond))
		io.CopyN(io.Discard, x.r, 4*MaxBody) // what comes now is of no matter
	}
}

// ErrorBody is a JSON object that names an error.
func ErrorBody(err error) []byte { return fmt.Appendf(nil, "{\"error\":%q}", err.Error()) }
