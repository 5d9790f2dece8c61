package storepool

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"alderproxy/broker"
	"alderproxy/policy"
)

// The reasons for which a request cannot be sent.
var (
	// ErrNotReady means that the store is not ready or not listed, or that the pool is closed.
	ErrNotReady = errors.New("not ready or not listed, or the pool is closed")
	// ErrConnectionsBusy means that no connection to the store accepts the request and that no more may be opened.
	ErrConnectionsBusy = errors.New("no connection accepts the request and the connection limit is reached")
	// ErrConnectionAllowance means that Pool.ConnectionAllowance permits no further connection.
	ErrConnectionAllowance = errors.New("connection limit of the process is reached")
	// ErrCallNotAccepted means that not even a new connection accepts the call, for example because MaxInFlight is 0.
	ErrCallNotAccepted = errors.New("new connection does not accept the call")
)

const (
	// isolationDuration is the time, after a connection to a store failed with attempts in flight, during which each call
	// to the store uses a connection without other attempts: a reset ends all requests on a connection and may recur.
	isolationDuration = 10 * time.Second
	// maxIsolatedConnections is the number of connections to one store up to which connections are opened to isolate
	// calls or to avoid unresponsive connections. At that number, requests use any existing connection with capacity.
	maxIsolatedConnections = 8
)

// requirement is a condition that a connection must meet to carry a request. Each one includes those before it.
type requirement uint8

const (
	requireCapacity   requirement = iota // for a call: fewer attempts in flight than the limit
	requireResponsive                    // and no answer is overdue
	requireNoAttempts                    // and no attempts are in flight
)

// Send queues a call on an existing connection or on a new one.
func (p *Pool) Send(serverID uint32, call []*broker.Attempt) error {
	return p.enqueue(serverID, writeRequest{attempts: call})
}

// enqueue queues a request on an existing connection if one accepts it, else on a new one.
func (p *Pool) enqueue(serverID uint32, request writeRequest) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.stores[serverID]
	if st == nil || st.State != policy.Ready || p.closed {
		return fmt.Errorf("store %d: %w", serverID, ErrNotReady)
	}
	remaining := 1 // connections that may still be opened
	if p.ConnectionAllowance != nil {
		remaining = p.ConnectionAllowance() - (p.openConnections - p.evictedConnections)
	}
	if remaining < 0 {
		p.evictIdleLocked(nil)
	}
	if st.enqueueOnExisting(request) {
		return nil
	}
	if limit := p.limits.Load().MaxConnections; limit > 0 && len(st.connections) >= limit {
		return fmt.Errorf("store %s: %w: %d of %d are open", st.Name, ErrConnectionsBusy, len(st.connections), limit)
	}
	if remaining <= 0 && !p.evictIdleLocked(st) {
		return fmt.Errorf("store %s: %w: %d are open", st.Name, ErrConnectionAllowance, p.openConnections)
	}
	return p.enqueueOnNewLocked(st, request)
}

// enqueueOnExisting queues a request on an existing connection to the store if one accepts it. It reports whether it did.
// The caller holds the pool's lock.
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

// enqueueOnAny queues a request on the first connection that accepts it and meets the requirement.
func (st *storeConnections) enqueueOnAny(request writeRequest, required requirement) bool {
	return slices.ContainsFunc(st.connections, func(c *connection) bool { return c.tryEnqueue(request, required) })
}

// enqueueOnNewLocked queues a request on a new connection and starts the goroutine that dials it.
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

// evictIdleLocked closes the least recently used idle connection to any store other than the given one. It reports
// whether there was one.
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
	oldest.evicted = true
	p.evictedConnections++
	oldest.retireIdle()
	return true
}
