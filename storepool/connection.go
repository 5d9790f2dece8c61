package storepool

import (
	"net"
	"sync"
	"time"

	"alderproxy/broker"
)

// maxCanceledIDs is how many ids of canceled parts one connection remembers. With that many it accepts nothing new.
const maxCanceledIDs = 512

// connection is a connection to a store. One goroutine dials and writes and another reads, since an answer may arrive while
// a write waits for a store that does not read.
type connection struct {
	pool      *Pool
	store     Store
	createdAt time.Time
	// writeReady holds a value while the writer has yet to look at a new request.
	writeReady chan struct{}
	// closed is closed with the connection.
	closed chan struct{}

	// mu guards everything below.
	mu         sync.Mutex
	writeQueue []writeRequest
	// netConn is nil until the connection is established.
	netConn net.Conn
	// closeCause is why the connection was closed; nil while it is open.
	closeCause error
	// retired means that nothing new is accepted, except cancellations.
	retired bool
	// fenced means that nothing in the write queue may be written either, except cancellations.
	fenced bool
	// inFlight holds the attempts that are queued or written, by the id of their part.
	inFlight map[string]*inFlightAttempt
	// inFlightCount is the number of attempts that are queued or written.
	inFlightCount int
	// canceledIDs are those of parts canceled after they were started. A late answer to one could be mistaken for that of
	// another attempt with the same id.
	canceledIDs map[string]bool
	// healthChecks are those that were written, in that order.
	healthChecks []*healthCheck
	// lastUsed is when something was last queued or answered.
	lastUsed time.Time
	// awaitingAnswerSince is since when an answer is due and nothing has been received; zero if none is due.
	awaitingAnswerSince time.Time
}

// inFlightAttempt is an attempt on a connection.
type inFlightAttempt struct {
	*broker.Attempt
	// written means that the last byte was sent, so that the store may have run the attempt.
	written bool
}

func newConnection(p *Pool, store Store) *connection {
	now := time.Now()
	return &connection{
		pool:        p,
		store:       store,
		createdAt:   now,
		lastUsed:    now,
		writeReady:  make(chan struct{}, 1),
		closed:      make(chan struct{}),
		inFlight:    map[string]*inFlightAttempt{},
		canceledIDs: map[string]bool{},
	}
}

// unresponsiveLocked reports that an answer is overdue. A broken network path looks like that, which TCP may not report for
// long, and whatever else is written to such a connection is lost.
func (c *connection) unresponsiveLocked() bool {
	return !c.awaitingAnswerSince.IsZero() && time.Since(c.awaitingAnswerSince) > c.pool.connectTimeout()/2
}

// tryEnqueue queues a request if the connection accepts it now and fulfills the requirement.
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

// acceptsLocked reports whether the connection accepts new requests and fulfills the requirement.
func (c *connection) acceptsLocked(request writeRequest, required requirement) bool {
	if c.closeCause != nil || c.retired {
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

// idleTooLongLocked reports that the store may have closed the connection by now although nobody has noticed yet, as after
// the process was suspended.
func (c *connection) idleTooLongLocked() bool {
	return c.netConn != nil && c.inFlightCount == 0 && time.Since(c.lastUsed) >= c.pool.idleLimit()
}

// cancel removes an attempt and cancels it at the store. It reports whether the attempt is on this connection.
func (c *connection) cancel(a *broker.Attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := WirePartID(a)
	if s := c.inFlight[id]; s == nil || s.Attempt != a {
		return false
	}
	c.removeInFlightLocked(id)
	if a.Withdraw() { // the store knows nothing of it
		return true
	}
	c.canceledIDs[id] = true
	if len(c.canceledIDs) >= maxCanceledIDs {
		c.retired = true
	}
	// Closing goes to another goroutine, since finishing other attempts may wait for the event loop that called this.
	if c.inFlightCount == 0 && (c.retired || c.unresponsiveLocked()) {
		go c.close(errIdle) // the store may never answer
		return true
	}
	if len(c.pool.codec.AppendCancel(nil, id)) == 0 {
		c.retired = true
		go c.close(errClosed)
		return true
	}
	c.enqueueLocked(writeRequest{cancelID: id}) // if the queue is full, the store doesn't read cancellations either
	return true
}

// removeInFlightLocked forgets an attempt on the connection.
func (c *connection) removeInFlightLocked(id string) {
	delete(c.inFlight, id)
	c.inFlightCount--
}
