// Package peer carries calls between the instances of a group over TCP. Frames follow a handshake, in which each side
// gives its id and its group, names the instance that it wants and proves that it knows the group's key.
package peer

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"alderproxy/internal/ratelog"
)

// Handler answers a call of one kind. clientID is the caller's id, stream is what the caller sent behind the body; it
// must not be read after the handler has returned. The caller gets the text of an error as an ErrRemote.
type Handler func(clientID string, body []byte, stream io.Reader) ([]byte, error)

// Config configures an Endpoint.
type Config struct {
	ID    string        // of this instance
	Group func() string // this instance's current group; empty: a member of no group yet
	Key   []byte        // shared by the group; empty: the group has no key
	Log   *logrus.Entry
	// IsMember reports whether an instance with a valid handshake is a member of the group. Connections of other instances
	// have a limit of their own, so that members always find a free connection. Nil: every instance counts as a member.
	IsMember func(id string) bool
}

// Endpoint makes calls to other instances and answers theirs. It is safe for concurrent use.
type Endpoint struct {
	config   Config
	listener net.Listener // nil: answers no calls
	handlers map[byte]Handler
	warnings ratelog.Limiter

	mu             sync.Mutex
	idleConns      map[Target][]*clientConn // most recently used last
	acceptedConns  map[net.Conn]bool
	nonMemberConns int // accepted connections of instances that are no members
	closed         bool
	goroutines     sync.WaitGroup
}

// New returns an endpoint that makes calls and answers none.
func New(config Config) *Endpoint {
	return &Endpoint{
		config:        config,
		idleConns:     map[Target][]*clientConn{},
		acceptedConns: map[net.Conn]bool{},
	}
}

// Listen returns an endpoint that makes calls and answers those that arrive at a listener. handlers has the handler of
// each kind of call. The endpoint closes the listener.
func Listen(config Config, listener net.Listener, handlers map[byte]Handler) *Endpoint {
	e := New(config)
	e.listener = listener
	e.handlers = handlers
	e.goroutines.Add(1)
	go e.accept()
	return e
}

// Addr returns the address of the listener.
func (e *Endpoint) Addr() string { return e.listener.Addr().String() }

// Close closes all connections and waits until all handlers have returned.
func (e *Endpoint) Close() {
	e.closeConnections()
	e.goroutines.Wait()
}

func (e *Endpoint) closeConnections() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	if e.listener != nil {
		e.listener.Close()
	}
	for conn := range e.acceptedConns {
		conn.Close()
	}
	for _, conns := range e.idleConns {
		for _, conn := range conns {
			conn.Close()
		}
	}
	e.idleConns = map[Target][]*clientConn{}
}

// warn logs what any peer can cause, with a bounded rate.
func (e *Endpoint) warn(message string, err error) {
	e.mu.Lock()
	closed := e.closed
	e.mu.Unlock()
	if closed {
		return
	}
	if _, due := e.warnings.Due(time.Now()); due {
		e.config.Log.WithError(err).Warn(message)
	}
}
