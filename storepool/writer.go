package storepool

import (
	"fmt"
	"net"
	"time"

	"alderproxy/broker"
	"alderproxy/policy"
)

// staleEndpointsPollInterval is how often a connection checks whether the endpoint list has become reliable.
const staleEndpointsPollInterval = time.Millisecond

// writeRequest is a message to write: a call, a health check, or the cancellation of a part.
type writeRequest struct {
	attempts    []*broker.Attempt
	healthCheck *healthCheck
	cancelID    string
}

// maxWriteQueueLength limits the requests that wait on one connection: its calls and their cancellations, twice over.
func (c *connection) maxWriteQueueLength() int { return 4*c.pool.limits.Load().MaxInFlight + 16 }

// enqueueLocked has a request written. It returns false if the queue is full, which means that the store does not read.
func (c *connection) enqueueLocked(request writeRequest) bool {
	if len(c.writeQueue) >= c.maxWriteQueueLength() {
		return false
	}
	c.writeQueue = append(c.writeQueue, request)
	select {
	case c.writeReady <- struct{}{}:
	default: // the writer has been notified already
	}
	return true
}

// dequeue removes the next request to write.
func (c *connection) dequeue() (request writeRequest, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.writeQueue) == 0 {
		c.writeQueue = nil // releases the memory of a burst
		return request, false
	}
	request = c.writeQueue[0]
	c.writeQueue[0] = writeRequest{}
	c.writeQueue = c.writeQueue[1:]
	return request, true
}

// run establishes the connection and writes the queued requests until it is closed.
func (c *connection) run(dial Dial) {
	// A dial can't be interrupted, so the descriptor counts until the dial has returned.
	defer c.pool.connectionReleased()
	netConn, ok := c.connect(dial)
	if !ok {
		return
	}
	go c.readLoop(netConn)
	c.writeLoop(netConn)
}

// connect dials the store. It returns false if that failed or if the connection was closed meanwhile.
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

// awaitRequest waits for the next request to write. It returns false once the connection is closed, which it does itself if
// the connection is retired and has nothing left to do.
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

// awaitReliableEndpoints delays a call while the endpoint list must not be relied on. It returns false if the connection is
// closed meanwhile.
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

// write writes one request and returns the buffer that it used. Attempts whose last byte was not written have never run.
func (c *connection) write(netConn net.Conn, request writeRequest, buffer []byte) ([]byte, error) {
	now := time.Now()
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
	// A machine that has vanished reads nothing, so that a write could block forever once the send buffer is full.
	netConn.SetWriteDeadline(now.Add(c.pool.connectTimeout()))
	written, err := netConn.Write(buffer)
	c.recordWritten(started, written == len(buffer))
	return buffer, err
}

// startHealthCheck records that a health check is written. It returns false if the connection must not be used for that.
func (c *connection) startHealthCheck(check *healthCheck) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeCause != nil || c.fenced {
		return false
	}
	c.healthChecks = append(c.healthChecks, check)
	return true
}

// startAttempts starts the attempts of a call and returns those that may be written.
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

// finishWithdrawn ends an attempt that was queued and must not be written any more.
func (c *connection) finishWithdrawn(a *broker.Attempt) {
	c.mu.Lock()
	s := c.inFlight[WirePartID(a)]
	present := s != nil && s.Attempt == a
	if present {
		c.removeInFlightLocked(WirePartID(a))
	}
	c.mu.Unlock()
	if present {
		a.Finish(broker.Unanswered(policy.Withdrawn))
	}
}

// expectAnswer records that an answer is due from now on.
func (c *connection) expectAnswer(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitingAnswerSince.IsZero() {
		c.awaitingAnswerSince = now
	}
}

// recordWritten records whether the attempts of a call were written completely. It ends those that were not, or whose
// connection was closed during the write.
func (c *connection) recordWritten(started []*broker.Attempt, complete bool) {
	var lost []*broker.Attempt
	c.mu.Lock()
	for _, a := range started {
		id := WirePartID(a)
		s := c.inFlight[id]
		if s == nil || s.Attempt != a {
			continue // answered or canceled meanwhile
		}
		s.written = complete
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
