// Package storepool is the transport to stores that the fronts share. It keeps pools of connections with their time limits,
// stops writing to stores that are draining, and records which attempts were written and may have run. A Codec knows the
// wire protocol.
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

// Pool holds the connections to every store and opens them as needed. It implements broker.Transport.
type Pool struct {
	// ConnectionAllowance returns how many connections to all stores may be open now. Beyond it, the least recently used
	// idle ones are closed. Nil sets no limit. It must be set before the first UpdateEndpoints.
	ConnectionAllowance func() int
	// EndpointsStale reports that the endpoint list must not be relied on now. Calls then wait, within their deadline. Nil
	// stands for a list that is always reliable. It must be set before the first UpdateEndpoints.
	EndpointsStale func() bool

	limits atomic.Pointer[Limits]
	codec  Codec
	log    *logrus.Entry

	// mu guards everything below. It is locked before the lock of a connection.
	mu     sync.Mutex
	dial   Dial
	stores map[uint32]*storeConnections
	// retiring are the connections to stores that were removed from the list or have been replaced. They accept nothing
	// new and end once nothing is in flight on them.
	retiring []*connection
	// openConnections also counts connections whose descriptor is not released yet.
	openConnections int
	closed          bool
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

// SetDialer replaces the function that opens connections, plain TCP at first, from now on.
func (p *Pool) SetDialer(dial Dial) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dial = dial
}

// Cancel cancels an attempt at its store, or withdraws it if it was not started.
func (p *Pool) Cancel(a *broker.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if st := p.stores[a.Server]; st != nil && cancelOnAny(st.connections, a) {
		return
	}
	cancelOnAny(p.retiring, a)
}

// cancelOnAny cancels an attempt if it is on one of the connections, and reports whether it is.
func cancelOnAny(connections []*connection, a *broker.Attempt) bool {
	return slices.ContainsFunc(connections, func(c *connection) bool { return c.cancel(a) })
}

// CloseIdleConnections closes the idle connections to a store.
func (p *Pool) CloseIdleConnections(server uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.stores[server]
	if st == nil {
		return
	}
	for _, c := range st.connections {
		c.retireIdle()
	}
}

// Close closes every connection. Nothing can be sent afterwards.
func (p *Pool) Close() {
	for _, c := range p.markClosed() {
		c.close(errClosed)
	}
}

// markClosed prevents new connections and returns all there are.
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

// remove takes a closed connection out of the pool. broken reports that attempts in flight were lost. It returns the log
// line for closed connections to the store, which is limited in rate, or nil if the store is no longer listed.
func (p *Pool) remove(closed *connection, broken bool) *ratelog.Limiter {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.retiring, closed); i >= 0 {
		p.retiring = slices.Delete(p.retiring, i, i+1)
	}
	st := p.stores[closed.store.ID]
	if st == nil {
		return nil
	}
	if broken {
		st.brokenAt = time.Now()
	}
	if i := slices.Index(st.connections, closed); i >= 0 {
		st.connections = append(st.connections[:i:i], st.connections[i+1:]...)
	}
	return &st.closeLog
}

// connectionReleased records that a connection has released its descriptor.
func (p *Pool) connectionReleased() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openConnections--
}
