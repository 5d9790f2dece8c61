package storepool

import (
	"net"
	"sync"
	"time"

	"alderproxy/broker"
)

// maxCanceledIDs is the maximum number of IDs of canceled parts that a connection remembers. At that number, it is
// retired.
const maxCanceledIDs = 512

// connection is a connection to a store. One goroutine dials and writes and another one reads, since answers may arrive
// while a write blocks because the store does not read.
type connection struct {
	pool      *Pool
	store     Store
	createdAt time.Time
	// writeReady notifies the writer of new requests. It holds at most one notification.
	writeReady chan struct{}
	// closed is closed when the connection is.
	closed chan struct{}
	// evicted is set once the pool has chosen the connection to make room for another. The pool's lock guards it.
	evicted bool

	// mu guards everything below.
	mu         sync.Mutex
	writeQueue []writeRequest
	// netConn is nil until the connection is established. Until then, nothing arrives at input.
	netConn net.Conn
	input   *input
	// receiving is set while bytes have arrived that were not handled as messages yet.
	receiving bool
	// closeCause is the reason for which the connection was closed; nil while it is open.
	closeCause error
	// retired is set once no new requests other than cancellations are accepted.
	retired bool
	// fenced is set once queued requests other than cancellations must not be written either.
	fenced bool
	// inFlight holds the attempts that are queued or written, by WirePartID.
	inFlight map[string]*inFlightAttempt
	// inFlightCount is the number of attempts that are queued or written.
	inFlightCount int
	// canceledIDs holds the IDs of parts that were canceled after their start and not answered. They are not sent again
	// on this connection, as a late answer to the canceled attempt could be mistaken for one to the new attempt.
	canceledIDs map[string]bool
	// healthChecks holds the written health checks that are not answered, the oldest first.
	healthChecks []*healthCheck
	// lastUsed is the time at which a call or health check was last queued or an attempt last answered.
	lastUsed time.Time
	// awaitingAnswerSince is the time since which an answer has been awaited and no message received; zero if no answer
	// is awaited. Cancellations leave it unchanged.
	awaitingAnswerSince time.Time
}

// inFlightAttempt is an attempt that is queued or written on a connection.
type inFlightAttempt struct {
	*broker.Attempt
	// begun is set before the first byte is written. What arrived before cannot be its answer.
	begun bool
	// written is set once the last byte was written, so that the store may have run the attempt.
	written bool
}

// newConnection returns a connection that is not established yet.
func newConnection(p *Pool, store Store) *connection {
	now := time.Now()
	return &connection{
		pool:        p,
		store:       store,
		createdAt:   now,
		lastUsed:    now,
		writeReady:  make(chan struct{}, 1),
		closed:      make(chan struct{}),
		input:       &input{},
		inFlight:    map[string]*inFlightAttempt{},
		canceledIDs: map[string]bool{},
	}
}

// unresponsiveLocked reports whether an answer has been awaited for more than half the connect timeout. The network path
// may be broken, which TCP may not detect for a long time. Anything written to the connection would then be lost.
func (c *connection) unresponsiveLocked() bool {
	return !c.awaitingAnswerSince.IsZero() && time.Since(c.awaitingAnswerSince) > c.pool.connectTimeout()/2
}

// tryEnqueue queues a request if the connection accepts it now and meets the requirement. It reports whether it did.
func (c *connection) tryEnqueue(request writeRequest, required requirement) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.acceptsLocked(request, required) {
		return false
	}
	if request.attempts != nil && c.idleTooLongLocked() {
		c.retired = true
		go c.close(errIdle)
		return false
	}
	for _, a := range request.attempts {
		if id := WirePartID(a); c.canceledIDs[id] || c.inFlight[id] != nil {
			return false
		}
	}
	if !c.enqueueLocked(request) {
		return false
	}
	c.lastUsed = time.Now()
	c.inFlightCount += len(request.attempts)
	for _, a := range request.attempts {
		c.inFlight[WirePartID(a)] = &inFlightAttempt{Attempt: a}
	}
	return true
}

// acceptsLocked reports whether the connection accepts the request and meets the requirement.
func (c *connection) acceptsLocked(request writeRequest, required requirement) bool {
	if c.closeCause != nil || c.retired || c.hasUnexpectedBytesLocked() {
		return false
	}
	if request.attempts != nil && c.inFlightCount >= c.pool.limits.Load().MaxInFlight {
		return false
	}
	if required >= requireResponsive && c.unresponsiveLocked() {
		return false
	}
	return required < requireNoAttempts || c.inFlightCount == 0
}

// idleTooLongLocked reports whether the connection has been idle for the idle limit or longer, for example because this
// process was suspended. The store may have closed it already.
func (c *connection) idleTooLongLocked() bool {
	return c.netConn != nil && c.inFlightCount == 0 && time.Since(c.lastUsed) >= c.pool.idleLimit()
}

// cancel removes an attempt and cancels it at the store. It reports whether the attempt is on this connection.
func (c *connection) cancel(a *broker.Attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := WirePartID(a)
	if attempt := c.inFlight[id]; attempt == nil || attempt.Attempt != a {
		return false
	}
	c.removeInFlightLocked(id)
	if a.Withdraw() { // the store has not received it
		return true
	}
	c.canceledIDs[id] = true
	if len(c.canceledIDs) >= maxCanceledIDs {
		c.retired = true
	}
	// Another goroutine closes the connection: close may wait for the event loop, which called this method.
	if c.inFlightCount == 0 && (c.retired || c.unresponsiveLocked()) {
		go c.close(errIdle) // the store may never answer
		return true
	}
	if len(c.pool.codec.AppendCancel(nil, id)) == 0 {
		c.retired = true
		go c.close(errClosed)
		return true
	}
	c.enqueueLocked(writeRequest{cancelID: id}) // if the queue is full, the store does not read, so the cancellation is dropped
	return true
}

// removeInFlightLocked removes an attempt from the connection.
func (c *connection) removeInFlightLocked(id string) {
	delete(c.inFlight, id)
	c.inFlightCount--
}
