package storepool

import (
	"fmt"
	"net"
	"time"

	"alderproxy/broker"
	"alderproxy/policy"
)

// staleEndpointsPollInterval is the interval at which a connection checks whether the endpoint list is reliable again.
const staleEndpointsPollInterval = time.Millisecond

// writeRequest is a message to write: a call, a health check, or the cancellation of a part.
type writeRequest struct {
	attempts    []*broker.Attempt
	healthCheck *healthCheck
	cancelID    string
}

// maxWriteQueueLength returns the maximum number of requests that wait on a connection: two calls and two cancellations
// for each attempt that may be in flight, and 16 more.
func (c *connection) maxWriteQueueLength() int { return 4*c.pool.limits.Load().MaxInFlight + 16 }

// enqueueLocked queues a request to be written. It returns false if the queue is full, which means that the store does
// not read.
func (c *connection) enqueueLocked(request writeRequest) bool {
	if len(c.writeQueue) >= c.maxWriteQueueLength() {
		return false
	}
	c.writeQueue = append(c.writeQueue, request)
	select {
	case c.writeReady <- struct{}{}:
	default: // a notification is pending
	}
	return true
}

// dequeue removes and returns the next request to write, if there is one.
func (c *connection) dequeue() (request writeRequest, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.writeQueue) == 0 {
		c.writeQueue = nil // releases the memory that a burst took
		return request, false
	}
	request = c.writeQueue[0]
	c.writeQueue[0] = writeRequest{}
	c.writeQueue = c.writeQueue[1:]
	return request, true
}

// run establishes the connection and writes the queued requests until it is closed.
func (c *connection) run(dial Dial) {
	// A dial cannot be interrupted, so the connection counts as open until the dial has returned.
	defer c.pool.connectionReleased(c)
	netConn, ok := c.connect(dial)
	if !ok {
		return
	}
	go c.readLoop(netConn, c.input)
	c.writeLoop(netConn)
}

// connect dials the store. It returns false if the dial fails or the connection is closed in the meantime.
func (c *connection) connect(dial Dial) (net.Conn, bool) {
	netConn, err := dial(c.store.Addr, c.pool.connectTimeout())
	if err != nil {
		c.close(fmt.Errorf("connect: %w", err))
		return nil, false
	}
	c.mu.Lock()
	open := c.closeCause == nil
	if open {
		c.netConn = netConn
		c.input = newInput(netConn)
	}
	c.mu.Unlock()
	if !open {
		netConn.Close()
	}
	return netConn, open
}

// writeLoop writes the queued requests until the connection is closed.
func (c *connection) writeLoop(netConn net.Conn) {
	var buffer []byte
	for {
		request, ok := c.awaitRequest()
		if !ok || !c.awaitReliableEndpoints(request) {
			return
		}
		var err error
		if buffer, err = c.write(netConn, request, buffer[:0]); err != nil {
			c.close(fmt.Errorf("write: %w", err))
			return
		}
	}
}

// awaitRequest waits for the next request to write. It returns false once the connection is closed. If the
// connection is retired and nothing is pending on it, awaitRequest closes it.
func (c *connection) awaitRequest() (writeRequest, bool) {
	for {
		if request, ok := c.dequeue(); ok {
			return request, true
		}
		if c.isRetiredAndIdle() {
			c.close(errIdle)
			return writeRequest{}, false
		}
		select {
		case <-c.closed:
			return writeRequest{}, false
		case <-c.writeReady:
		}
	}
}

// awaitReliableEndpoints waits until the endpoint list may be relied on if the request is a call. It returns false if the
// connection is closed in the meantime.
func (c *connection) awaitReliableEndpoints(request writeRequest) bool {
	if request.attempts == nil || c.pool.EndpointsStale == nil {
		return true
	}
	for c.pool.EndpointsStale() {
		select {
		case <-c.closed:
			return false
		case <-time.After(staleEndpointsPollInterval):
		}
	}
	return true
}

// write encodes a request into the buffer, writes it and returns the buffer for reuse. Attempts whose last byte was not
// written have never run.
func (c *connection) write(netConn net.Conn, request writeRequest, buffer []byte) ([]byte, error) {
	now := time.Now()
	if !c.begin(request) {
		c.fence()
		if request.healthCheck != nil {
			request.healthCheck.Finish(broker.Unanswered(policy.ConnectFailed))
		}
		return buffer, errUnexpectedInput
	}
	var started []*broker.Attempt
	switch {
	case request.cancelID != "":
		buffer = c.pool.codec.AppendCancel(buffer, request.cancelID)
	case request.healthCheck != nil:
		if !c.startHealthCheck(request.healthCheck) {
			request.healthCheck.Finish(broker.Unanswered(policy.ConnectFailed))
			return buffer, nil
		}
		buffer = c.pool.codec.AppendHealthCheck(buffer)
	default:
		started = c.startAttempts(request.attempts)
		if len(started) == 0 {
			return buffer, nil
		}
		buffer = c.pool.codec.AppendCall(buffer, c.store, started, now)
	}
	if request.cancelID == "" {
		c.expectAnswer(now)
	}
	// If the machine of the store has vanished, a write could block forever once the send buffer is full.
	netConn.SetWriteDeadline(now.Add(c.pool.connectTimeout()))
	written, err := netConn.Write(buffer)
	c.recordWritten(started, written == len(buffer))
	return buffer, err
}

// begin records that a call is about to be written. It returns false if a call or health check must not be written because
// something has arrived that no earlier request awaits: bytes that could be mistaken for the answer, or the end of the stream.
func (c *connection) begin(request writeRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if request.cancelID == "" && !c.awaitsMessageLocked() && (c.receiving || c.input.hasArrived()) {
		return false
	}
	for _, a := range request.attempts {
		if attempt := c.inFlight[WirePartID(a)]; attempt != nil && attempt.Attempt == a {
			attempt.begun = true
		}
	}
	return true
}

// startHealthCheck records that a health check is about to be written. It returns false if the connection is closed or
// fenced, so that the check must not be written.
func (c *connection) startHealthCheck(check *healthCheck) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeCause != nil || c.fenced {
		return false
	}
	c.healthChecks = append(c.healthChecks, check)
	return true
}

// startAttempts starts the attempts of a call and returns those that may be written. It withdraws and finishes the
// others.
func (c *connection) startAttempts(call []*broker.Attempt) []*broker.Attempt {
	var started []*broker.Attempt
	for _, a := range call {
		if a.Start() {
			started = append(started, a)
		} else if a.Withdraw() {
			c.finishWithdrawn(a)
		}
	}
	return started
}

// finishWithdrawn finishes a withdrawn attempt if it is still on the connection.
func (c *connection) finishWithdrawn(a *broker.Attempt) {
	c.mu.Lock()
	attempt := c.inFlight[WirePartID(a)]
	present := attempt != nil && attempt.Attempt == a
	if present {
		c.removeInFlightLocked(WirePartID(a))
	}
	c.mu.Unlock()
	if present {
		a.Finish(broker.Unanswered(policy.Withdrawn))
	}
}

// expectAnswer records that an answer is awaited from now on, unless one is awaited already.
func (c *connection) expectAnswer(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitingAnswerSince.IsZero() {
		c.awaitingAnswerSince = now
	}
}

// recordWritten records whether the attempts of a call were written completely. It finishes the attempts if they were
// not, or if the connection was closed during the write.
func (c *connection) recordWritten(started []*broker.Attempt, complete bool) {
	var lost []*broker.Attempt
	c.mu.Lock()
	for _, a := range started {
		id := WirePartID(a)
		attempt := c.inFlight[id]
		if attempt == nil || attempt.Attempt != a {
			continue // answered or canceled in the meantime
		}
		attempt.written = complete
		if !complete || c.closeCause != nil {
			delete(c.inFlight, id)
			lost = append(lost, a)
		}
	}
	c.mu.Unlock()
	status := policy.ConnectionBroken
	if !complete {
		status = policy.ConnectFailed
	}
	for _, a := range lost {
		a.Finish(broker.Unanswered(status))
	}
}
