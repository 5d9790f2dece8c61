// Package storepool implements broker.Transport for all fronts. It pools the connections to stores and enforces their
// limits, stops writing to stores that are draining or removed, and records which attempts were written and may have run.
// A Codec implements the wire protocol.
package storepool

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"alderproxy/broker"
	"alderproxy/internal/ratelog"
)

// Dial opens a connection to an address within a time limit.
type Dial func(addr string, limit time.Duration) (net.Conn, error)

// Pool holds the connections to all stores and opens them as needed. It implements broker.Transport.
type Pool struct {
	// ConnectionAllowance returns the maximum number of connections to all stores that may be open now. While more are
	// open, each new request closes the least recently used idle one. If it is nil, there is no limit. It must be set
	// before the first UpdateEndpoints.
	ConnectionAllowance func() int
	// EndpointsStale reports whether the endpoint list must not be relied on now. Calls then wait, within their deadline.
	// If it is nil, the list is always reliable. It must be set before the first UpdateEndpoints.
	EndpointsStale func() bool

	limits atomic.Pointer[Limits]
	codec  Codec
	log    *logrus.Entry

	// mu guards everything below. It is locked before the lock of a connection.
	mu     sync.Mutex
	dial   Dial
	stores map[uint32]*storeConnections
	// retiring holds the connections to store processes that were removed from the endpoint list or replaced. They
	// accept no new requests and are closed once nothing is in flight on them.
	retiring []*connection
	// openConnections is the number of connections, including closed ones whose descriptor may not be released yet.
	openConnections int
	// evictedConnections is the number of those that were evicted. They make room for others before they are released.
	evictedConnections int
	closed             bool
}

// New returns a pool without stores.
func New(limits Limits, codec Codec, log *logrus.Entry) *Pool {
	p := &Pool{
		codec:  codec,
		log:    log,
		stores: map[uint32]*storeConnections{},
		dial:   dialTCP,
	}
	p.limits.Store(&limits)
	return p
}

func dialTCP(addr string, limit time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: limit}
	return dialer.DialContext(context.Background(), "tcp", addr)
}

// SetDialer replaces the function that opens new connections. The initial one opens plain TCP connections.
func (p *Pool) SetDialer(dial Dial) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dial = dial
}

// Cancel cancels an attempt at its store, or withdraws the attempt if it was not started.
func (p *Pool) Cancel(a *broker.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if st := p.stores[a.ServerID]; st != nil && cancelOnAny(st.connections, a) {
		return
	}
	cancelOnAny(p.retiring, a)
}

// cancelOnAny cancels an attempt if it is on one of the connections. It reports whether it is.
func cancelOnAny(connections []*connection, a *broker.Attempt) bool {
	return slices.ContainsFunc(connections, func(c *connection) bool { return c.cancel(a) })
}

// CloseIdleConnections closes the idle connections to a store.
func (p *Pool) CloseIdleConnections(serverID uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.stores[serverID]
	if st == nil {
		return
	}
	for _, c := range st.connections {
		c.retireIdle()
	}
}

// Close closes all connections. Afterwards nothing can be sent.
func (p *Pool) Close() {
	for _, c := range p.markClosed() {
		c.close(errClosed)
	}
}

// markClosed prevents new connections and returns the existing ones.
func (p *Pool) markClosed() []*connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	all := slices.Clone(p.retiring)
	for _, st := range p.stores {
		all = append(all, st.connections...)
	}
	return all
}

// removeConnection removes a closed connection from the pool. attemptsLost reports whether the connection failed with
// attempts in flight. The result is the rate-limited log line for failed connections to the store, or nil if the store is
// not listed.
func (p *Pool) removeConnection(closed *connection, attemptsLost bool) *ratelog.Limiter {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.retiring, closed); i >= 0 {
		p.retiring = slices.Delete(p.retiring, i, i+1)
	}
	st := p.stores[closed.store.ID]
	if st == nil {
		return nil
	}
	if attemptsLost {
		st.brokenAt = time.Now()
	}
	if i := slices.Index(st.connections, closed); i >= 0 {
		st.connections = append(st.connections[:i:i], st.connections[i+1:]...)
	}
	return &st.closeLog
}

// connectionReleased records that a connection has released its descriptor.
func (p *Pool) connectionReleased(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openConnections--
	if c.evicted {
		p.evictedConnections--
	}
}
