package storepool

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"alderproxy/broker"
	"alderproxy/policy"
)

// The reasons for which a call cannot be sent.
var (
	// ErrNotReady means that the store is draining, unknown, or that the pool was closed.
	ErrNotReady = errors.New("store accepts no new calls")
	// ErrConnectionsBusy means that every connection that may be open to the store is at its limit.
	ErrConnectionsBusy = errors.New("all connections are busy")
	// ErrConnectionAllowance means that as many connections are open as the process may have.
	ErrConnectionAllowance = errors.New("no capacity for another connection")
	// ErrCallNotAccepted means that not even a new connection can carry the call.
	ErrCallNotAccepted = errors.New("call exceeds the limits of a connection")
)

const (
	// isolationDuration is how long after a connection broke with attempts in flight the calls to that store use
	// connections of their own: a reset ends everything on a connection, and another may follow.
	isolationDuration = 10 * time.Second
	// maxIsolatedConnections is how many connections to one store are opened to isolate calls or to avoid unresponsive
	// connections. With that many, calls share the existing ones.
	maxIsolatedConnections = 8
)

// requirement is what a connection must fulfill to carry a request. Each includes those before it.
type requirement uint8

const (
	requireCapacity   requirement = iota // fewer attempts in flight than the limit
	requireResponsive                    // and no answer is overdue
	requireNoAttempts                    // and no attempts are in flight
)

// Send queues a call on a connection with capacity or on a new one.
func (p *Pool) Send(serverID uint32, call []*broker.Attempt) error {
	return p.enqueue(serverID, writeRequest{attempts: call})
}

// enqueue queues a request on an existing connection if one fits, else on a new one.
func (p *Pool) enqueue(serverID uint32, request writeRequest) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.stores[serverID]
	if st == nil || st.State != policy.Ready || p.closed {
		return fmt.Errorf("store %d: %w", serverID, ErrNotReady)
	}
	allowance := 1 // connections that may still be opened
	if p.ConnectionAllowance != nil {
		allowance = p.ConnectionAllowance() - p.openConnections
	}
	if allowance < 0 {
		p.evictIdleLocked(nil)
	}
	if st.enqueueOnExisting(request) {
		return nil
	}
	if limit := p.limits.Load().MaxConnections; limit > 0 && len(st.connections) >= limit {
		return fmt.Errorf("store %s: %w: %d of %d", st.Name, ErrConnectionsBusy, len(st.connections), limit)
	}
	if allowance <= 0 && !p.evictIdleLocked(st) {
		return fmt.Errorf("store %s: %w beside %d", st.Name, ErrConnectionAllowance, p.openConnections)
	}
	return p.enqueueOnNewLocked(st, request)
}

// enqueueOnExisting queues a request on a connection to the store that is open already, if one fits. The pool's lock is
// held.
func (st *storeConnections) enqueueOnExisting(request writeRequest) bool {
	required := requireResponsive
	if request.attempts != nil && time.Since(st.brokenAt) < isolationDuration {
		required = requireNoAttempts
	}
	if st.enqueueOnAny(request, required) {
		return true
	}
	return len(st.connections) >= maxIsolatedConnections && st.enqueueOnAny(request, requireCapacity)
}

func (st *storeConnections) enqueueOnAny(request writeRequest, required requirement) bool {
	return slices.ContainsFunc(st.connections, func(c *connection) bool { return c.tryEnqueue(request, required) })
}

// enqueueOnNewLocked opens a connection for a request.
func (p *Pool) enqueueOnNewLocked(st *storeConnections, request writeRequest) error {
	c := newConnection(p, st.Store)
	if !c.tryEnqueue(request, requireCapacity) {
		return fmt.Errorf("store %s: %w: %d parts", st.Name, ErrCallNotAccepted, len(request.attempts))
	}
	st.connections = append(st.connections, c)
	p.openConnections++
	go c.run(p.dial)
	return nil
}

// evictIdleLocked retires the least recently used idle connection to any store but one, and reports whether there was one.
func (p *Pool) evictIdleLocked(except *storeConnections) bool {
	var oldest *connection
	var oldestUse time.Time
	for _, st := range p.stores {
		if st == except {
			continue
		}
		for _, c := range st.connections {
			if lastUsed, idle := c.idleSince(); idle && (oldest == nil || lastUsed.Before(oldestUse)) {
				oldest = c
				oldestUse = lastUsed
			}
		}
	}
	if oldest == nil {
		return false
	}
	oldest.retireIdle()
	return true
}
