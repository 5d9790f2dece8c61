package httpwire

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"alderproxy/internal/ratelog"
)

// Server serves HTTP with one goroutine a connection.
type Server struct {
	// Handle answers a request. A nil reply means that the client has left: the connection ends.
	Handle func(*Exchange) *Reply
	// Refuse words the answer to what could not be read; nil: an empty JSON object.
	Refuse func(status int, err error) []byte
	Log    *logrus.Entry
	// MaxConns bounds the connections held. Beyond half of it connections that have lain idle for a while yield to
	// new ones, at the bound any on which no request is open. If there is none, the new one is turned away with 503.
	MaxConns int
	// MaxIdle bounds the connections between requests; 0: only MaxConns does. Beyond it the one idle longest yields
	// at once: clients have limits of their own, and those that ask once and stay use theirs up.
	MaxIdle int
	// FirstLimit is how long a new connection may take until its first request has come in whole, IdleLimit how long
	// one may lie idle later, ReadLimit how long a later request may take to come in, and WriteLimit how long an
	// answer may take to go out. Zero: a default.
	FirstLimit, IdleLimit, ReadLimit, WriteLimit time.Duration

	mu       sync.Mutex
	conns    map[*Exchange]struct{}
	extra    int // connections being turned away, and those that yield
	idles    int // of conns, those between requests
	warned   ratelog.Line
	listener net.Listener
	leaving  atomic.Bool // answers say that the connection ends
	closed   atomic.Bool // idle connections end at once
	active   sync.WaitGroup
}

const (
	firstLimit = 10 * time.Second
	idleLimit  = time.Minute
	readLimit  = 10 * time.Second
	writeLimit = 2 * time.Second
	// idleYields is how long a connection lies idle before it yields to new ones while there is room left.
	idleYields = 2200 * time.Millisecond
	// silentYields is how long a client may say nothing, or break off in a request, before it yields at the bound:
	// one that means to ask does so at once.
	silentYields = 250 * time.Millisecond
)

// state is what a connection is at.
type state uint8

const (
	silent  state = iota // new, nothing has come
	reading              // a request comes in
	open                 // a request is open: the connection never yields
	idle                 // between requests
	ending               // its last answer is out
)

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

	nc      net.Conn
	in      *source
	r       *bufio.Reader
	began   time.Time // when the client connected
	state   state     // guarded by the server's lock, as are the next two
	since   time.Time // when it came into that state
	yielded bool      // it makes room for others: what it is at is its last request
	ends    bool      // its time is up, and what it is at came in the last look. Its goroutine's
	wake    chan struct{}
	woken   chan struct{} // closed once Wake leaves the connection's deadline alone
	once    *sync.Once
}

// Wake ends Wait. Any goroutine may call it, more than once; it never blocks.
func (x *Exchange) Wake() {
	x.once.Do(func() {
		close(x.wake)
		x.nc.SetReadDeadline(longAgo)
		close(x.woken)
	})
}

// Rearm readies the exchange for another Wait after one that Wake has ended.
func (x *Exchange) Rearm() {
	x.wake, x.woken, x.once = make(chan struct{}), make(chan struct{}), &sync.Once{}
}

// source reads a connection for its buffer, and may be told to take only what has come.
type source struct {
	net.Conn
	raw    syscall.RawConn // nil: there is none
	atOnce bool
}

// errNothingYet is that nothing has come where reads do not wait.
var errNothingYet = errors.New("nothing has come yet")

func newSource(nc net.Conn) *source {
	s := &source{Conn: nc}
	if sys, ok := nc.(syscall.Conn); ok {
		s.raw, _ = sys.SyscallConn()
	}
	return s
}

func (s *source) Read(b []byte) (n int, err error) {
	if !s.atOnce {
		return s.Conn.Read(b)
	}
	if s.raw == nil {
		return 0, errNothingYet
	}
	look := func(fd uintptr) bool {
		for n, err = syscall.Read(int(fd), b); errors.Is(err, syscall.EINTR); n, err = syscall.Read(int(fd), b) {
		}
		return true
	}
	switch closed := s.raw.Read(look); {
	case closed != nil:
		return 0, closed
	case errors.Is(err, syscall.EAGAIN):
		return 0, errNothingYet
	case err != nil:
		return 0, err
	case n == 0 && len(b) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// Left tells, without waiting, that the client has left already. A process that was held up comes late to requests, and one
// is not to be begun for whoever has gone. Behind more than a buffer that was sent ahead it may be hidden: Wait looks past
// that.
func (x *Exchange) Left() bool {
	x.nc.SetReadDeadline(time.Now().Add(time.Minute))
	x.in.atOnce = true
	defer func() { x.in.atOnce = false }()
	var err error
	for err == nil {
		_, err = x.r.Peek(x.r.Buffered() + 1)
	}
	return !errors.Is(err, errNothingYet) && !errors.Is(err, bufio.ErrBufferFull)
}

// mostAhead is how much a client may send ahead of the answer to its open request and still have it read as requests.
const mostAhead = 16 << 10

// skimPiece is how much beyond that is passed over between two pauses. What two systems' buffers hold (10 MB where they are
// set as usual) has to be read within some 50 ms for a client to be seen to leave behind it, and a flood that goes on has
// to leave the core to others.
const skimPiece = 512 << 10

// lookAhead reads on past what the client has sent already: that must not hide that it leaves behind it. An error is the
// connection's own.
func (x *Exchange) lookAhead() error {
	_, err := x.r.Peek(x.r.Buffered() + 1)
	switch {
	case !errors.Is(err, bufio.ErrBufferFull):
		return err
	case x.r.Size() < mostAhead:
		x.r = bufio.NewReaderSize(x.r, mostAhead)
		return nil
	}
	x.Close = true // no requests any more: the connection ends with the open one's answer
	_, err = io.CopyN(io.Discard, x.r, skimPiece)
	time.Sleep(lingerEvery)
	return err
}

// Wait returns false once Wake was called, or true when the client has left before.
func (x *Exchange) Wait() (gone bool) {
	for {
		x.nc.SetReadDeadline(time.Now().Add(time.Minute))
		select {
		case <-x.wake: // Wake's deadline may have come before ours, or be still to come
			<-x.woken
			return false
		default:
		}
		err := x.lookAhead()
		if err == nil {
			continue
		}
		select {
		case <-x.wake:
			<-x.woken
			return false
		default:
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return true
		}
	}
}

// Conns is how many connections are held, those that are about to end included.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) + s.extra
}

// Serve accepts connections until the listener or the server closes, and then closes the listener.
func (s *Server) Serve(l net.Listener) error {
	defer l.Close()
	s.mu.Lock()
	if s.closed.Load() {
		s.mu.Unlock()
		return nil
	}
	s.listener, s.conns = l, map[*Exchange]struct{}{}
	s.active.Add(1)
	defer s.active.Done()
	s.mu.Unlock()
	looked := false
	for {
		nc, err := l.Accept()
		if closed := errors.Is(err, os.ErrDeadlineExceeded) && s.closed.Load(); closed && !looked {
			// What the machine has accepted and we have not: to close on it would reset it, with its request.
			looked = true
			l.(deadliner).SetDeadline(time.Now().Add(lastLook))
			continue
		} else if closed {
			// From the end of that wait on this process may have waited for a processor, and more may have come.
			rest := acceptRest(l)
			l.Close()
			for _, nc := range rest {
				s.begin(nc)
			}
			return nil
		} else if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Out of descriptors or a connection that ended early: neither is a reason to stop serving.
			s.mu.Lock()
			s.makeRoom(0)
			s.warn("accept failed", err)
			s.mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.begin(nc)
	}
}

// begin serves a connection, or turns it away.
func (s *Server) begin(nc net.Conn) {
	now := time.Now()
	in := newSource(nc)
	x := &Exchange{nc: nc, in: in, r: bufio.NewReaderSize(in, 4<<10), began: now, since: now}
	s.mu.Lock()
	full := s.MaxConns > 0 && !s.makeRoom(s.MaxConns)
	drop := full && s.extra >= max(1, s.MaxConns/8)
	if full {
		s.warn("client turned away", errTooMany)
		if !drop {
			s.extra++
		}
	} else {
		s.conns[x] = struct{}{}
	}
	s.mu.Unlock()
	switch {
	case drop: // even words to those turned away are bounded: each holds a descriptor
		nc.Close()
	case full:
		go func() {
			s.end(x, s.refusal(503, errTooMany))
			s.mu.Lock()
			s.extra--
			s.mu.Unlock()
		}()
	default:
		s.active.Add(1)
		go func() {
			defer s.active.Done()
			s.serve(x)
			s.mu.Lock()
			if s.forget(x); x.yielded {
				s.extra--
			}
			s.mu.Unlock()
		}()
	}
}

var (
	errTooMany = errors.New("too many connections")
	errEnding  = errors.New("the connection ends")
)

// warn logs what any client can cause, once a second at most. The lock is held.
func (s *Server) warn(what string, err error) {
	if more, due := s.warned.Due(time.Now()); due {
		s.Log.WithError(err).WithFields(logrus.Fields{"connections": len(s.conns), "more": more}).Warn(what)
	}
}

// makeRoom has connections without an open request yield to a new one, so that clients that keep theirs for good or
// say nothing crowd out nobody, and tells whether fewer than bound are held then. The lock is held.
func (s *Server) makeRoom(bound int) bool {
	if len(s.conns) < bound/2 {
		return true
	}
	var worst *Exchange
	rank := func(x *Exchange) int { // who yields first has the lowest
		switch age := time.Since(x.since); {
		case x.state == idle && age >= idleYields:
			return 0
		case len(s.conns) < bound || x.state == open:
			return 9
		case x.state == ending:
			return 1
		case (x.state == silent || x.state == reading) && age >= silentYields:
			return 2
		case x.state == idle:
			return 3
		}
		return 4
	}
	for x := range s.conns {
		if r := rank(x); r < 9 && (worst == nil || r < rank(worst) || r == rank(worst) && x.since.Before(worst.since)) {
			worst = x
		}
	}
	s.yield(worst)
	return len(s.conns) < bound
}

// yield has a connection, if any, make room, from another one's goroutine. Its own has a last look: a request that is
// there already is answered, and to close on what was not read would reset the connection, and with it an answer that is
// still on its way. Where too many are at that, it is closed at once. The lock is held, here and in the next two.
func (s *Server) yield(x *Exchange) {
	if x == nil {
		return
	}
	s.forget(x)
	if s.MaxConns > 0 && s.extra >= max(1, s.MaxConns/8) {
		x.nc.Close()
		return
	}
	x.yielded = true
	s.extra++
	if x.state == reading { // what was read of it can't be looked at again, and its goroutine may be held up
		x.nc.SetReadDeadline(time.Now().Add(silentYields))
	} else {
		x.nc.SetReadDeadline(longAgo)
	}
}

func (s *Server) forget(x *Exchange) {
	if _, held := s.conns[x]; held {
		delete(s.conns, x)
		if x.state == idle {
			s.idles--
		}
	}
}

func (s *Server) set(x *Exchange, st state) {
	if _, held := s.conns[x]; held {
		if x.state == idle {
			s.idles--
		}
		if st == idle {
			s.idles++
		}
	}
	x.state, x.since = st, time.Now()
}

// rest notes that a connection is between requests, and ends the one that has been so longest if there are too many.
func (s *Server) rest(x *Exchange) {
	if s.set(x, idle); s.MaxIdle <= 0 || s.idles <= s.MaxIdle {
		return
	}
	var oldest *Exchange
	for o := range s.conns {
		if o.state == idle && (oldest == nil || o.since.Before(oldest.since)) {
			oldest = o
		}
	}
	s.yield(oldest)
}

// enter notes what a connection is at now.
func (s *Server) enter(x *Exchange, st state) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(x, st)
}

// last tells that a connection ends with the answer to its open request.
func (s *Server) last(x *Exchange) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return x.Close || x.ends || x.yielded || s.leaving.Load()
}

// Leave makes every answer the last on its connection.
func (s *Server) Leave() { s.leaving.Store(true) }

// Close stops listening and ends each connection as soon as it is idle. Wait waits for that.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving.Store(true)
	s.closed.Store(true)
	if l, ok := s.listener.(deadliner); ok {
		l.SetDeadline(longAgo) // Serve has a last look
	} else if s.listener != nil {
		s.listener.Close()
	}
	for x := range s.conns {
		if x.state == idle || x.state == silent {
			x.nc.SetReadDeadline(longAgo)
		}
	}
}

type deadliner interface{ SetDeadline(time.Time) error }

// acceptRest takes, without waiting, the connections that the system has accepted for a listener.
func acceptRest(l net.Listener) (all []net.Conn) {
	sys, ok := l.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return nil
	}
	raw.Control(func(fd uintptr) {
		for {
			got, _, err := syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			switch err {
			case nil:
			case syscall.EINTR, syscall.ECONNABORTED:
				continue
			default: // none is left
				return
			}
			f := os.NewFile(uintptr(got), "")
			if nc, err := net.FileConn(f); err == nil {
				all = append(all, nc)
			}
			f.Close() // FileConn has its own
		}
	})
	return all
}

// longAgo as a deadline ends a wait at once.
var longAgo = time.Unix(1, 0)

// lastLook is how long a connection about to be closed is still read, from when its goroutine comes to that: a request
// whose bytes are there already was taken, and is answered.
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

func after(set, otherwise time.Duration) time.Time {
	if set <= 0 {
		set = otherwise
	}
	return time.Now().Add(set)
}

// await waits for the first byte of a request and sets the time by which the request must be in. False: the
// connection is to end, and nothing that comes on it is a request any more.
func (s *Server) await(x *Exchange) bool {
	s.mu.Lock()
	first, until := x.state == silent, after(s.IdleLimit, idleLimit)
	if first {
		until = x.began.Add(cmp.Or(s.FirstLimit, firstLimit))
	} else {
		s.rest(x)
	}
	if s.closed.Load() || x.yielded {
		until = longAgo
	}
	x.nc.SetReadDeadline(until)
	s.mu.Unlock()
	_, err := x.r.Peek(1)
	if x.ends = errors.Is(err, os.ErrDeadlineExceeded); x.ends {
		x.nc.SetReadDeadline(time.Now().Add(lastLook))
		_, err = x.r.Peek(1)
	}
	s.mu.Lock()
	ours := s.closed.Load() || x.yielded // we end it, whatever it was at
	if err == nil {
		s.set(x, reading)
		switch {
		case x.yielded:
			x.nc.SetReadDeadline(time.Now().Add(silentYields))
		case !first || ours:
			x.nc.SetReadDeadline(after(s.ReadLimit, readLimit))
		}
	} else {
		s.set(x, ending)
	}
	s.mu.Unlock()
	switch {
	case err == nil:
		return true
	case !errors.Is(err, os.ErrDeadlineExceeded): // the client has closed it
	case first && ours: // a first request may be on its way, and is owed an answer
		s.end(x, s.refusal(503, errEnding))
	default:
		linger(x)
	}
	return false
}

func (s *Server) serve(x *Exchange) {
	defer x.nc.Close()
	for s.await(x) {
		x.Start = time.Now()
		x.Rearm()
		var err error
		if x.Request, err = ReadRequest(x.r); err != nil {
			if status := StatusOf(err); status != 0 {
				s.enter(x, ending)
				s.end(x, s.refusal(status, err))
			}
			return
		}
		s.enter(x, open)
		reply := s.handle(x)
		if reply == nil {
			return
		}
		closing := s.last(x)
		out := AppendResponse(nil, reply.Status, reply.Header, reply.Body, closing)
		x.nc.SetWriteDeadline(after(s.WriteLimit, writeLimit))
		if _, err := x.nc.Write(out); err != nil {
			return
		}
		if closing {
			s.enter(x, ending)
			linger(x)
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
	x.nc.SetWriteDeadline(after(s.WriteLimit, writeLimit))
	if _, err := x.nc.Write(AppendResponse(nil, reply.Status, reply.Header, reply.Body, true)); err == nil {
		linger(x)
	}
	x.nc.Close()
}

// How long a client may go on sending after its last answer, how long it may pause, and how much is taken of it in
// which time: a body of 60 MB is read in about two seconds, and many of them leave the core to others.
const (
	lingerFor   = 3 * time.Second
	lingerPause = 250 * time.Millisecond
	lingerPiece = 64 << 10
	lingerEvery = 2 * time.Millisecond
)

// linger ends our side of a connection and reads on until the client has ended its own: to close on bytes that were not
// read would reset the connection, and could take with it an answer that the client has yet to read. What comes now is
// passed over: it could not be answered any more.
func linger(x *Exchange) {
	tcp, ok := x.nc.(interface{ CloseWrite() error })
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	until := time.Now().Add(lingerFor)
	for now := time.Now(); now.Before(until); now = time.Now() {
		x.nc.SetReadDeadline(now.Add(lingerPause))
		if n, err := io.CopyN(io.Discard, x.r, lingerPiece); err != nil || n == 0 {
			return
		}
		time.Sleep(lingerEvery)
	}
}

// ErrorBody is a JSON object that names an error.
func ErrorBody(err error) []byte { return fmt.Appendf(nil, "{\"error\":%q}", err.Error()) }
