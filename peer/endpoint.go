// Package peer carries RPCs between the instances of a group over TCP. A connection starts with a handshake: both sides
// state their ids and groups, the client names the instance that it wants to reach, and each side proves that it knows
// the group's key if there is one. Frames with requests and responses follow.
package peer

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"alderproxy/internal/ratelog"
)

// Handler handles a call of one kind and returns the body of the response. clientID is the caller's id. stream returns
// the bytes that the caller sends after the request. Reads after the handler has returned fail; one that is in progress then
// is interrupted, and the connection is closed. It must not be read for kinds of calls without a stream. The caller receives the text of an error, wrapped in ErrRemote.
type Handler func(clientID string, body []byte, stream io.Reader) ([]byte, error)

// Config configures an Endpoint.
type Config struct {
	ID    string        // id of this instance
	Group func() string // returns the group of this instance; empty before it has joined one
	Key   []byte        // shared secret of the group; empty if the group has none
	Log   *logrus.Entry
	// IsMember reports whether an instance that has completed the handshake is a member of the group. Connections from
	// other instances have a separate limit, which leaves capacity for members. If IsMember is nil, every instance is
	// treated as a member.
	IsMember func(id string) bool
}

// Endpoint makes calls to other instances and serves calls from them. It is safe for concurrent use.
type Endpoint struct {
	config   Config
	listener net.Listener // nil if the endpoint serves no calls
	handlers map[byte]Handler
	warnings ratelog.Limiter

	mu             sync.Mutex
	idleConns      map[Target][]*clientConn // most recently used last
	acceptedConns  map[net.Conn]bool
	nonMemberConns int // accepted connections from instances that are not members
	closed         bool
	goroutines     sync.WaitGroup
}

// New returns an endpoint that makes calls and serves none.
func New(config Config) *Endpoint {
	return &Endpoint{
		config:        config,
		idleConns:     map[Target][]*clientConn{},
		acceptedConns: map[net.Conn]bool{},
	}
}

// Listen returns an endpoint that makes calls and serves the calls that arrive at the listener, with the handler of
// their kind. The endpoint takes ownership of the listener.
func Listen(config Config, listener net.Listener, handlers map[byte]Handler) *Endpoint {
	e := New(config)
	e.listener = listener
	e.handlers = handlers
	e.goroutines.Add(1)
	go e.accept()
	return e
}

// Addr returns the address of the listener. The endpoint must have been created by Listen.
func (e *Endpoint) Addr() string { return e.listener.Addr().String() }

// Close closes the listener and all accepted and idle connections, and waits until all handlers have returned. It does
// not interrupt calls of this instance that are in progress; their connections are closed when they end.
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

// warn logs an error that a peer can cause, at a limited rate. It logs nothing once the endpoint is closed.
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
