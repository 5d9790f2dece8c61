package storepool

import (
	"errors"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"alderproxy/broker"
	"alderproxy/policy"
)

// The causes for which the pool itself closes a connection. They are not logged.
var (
	errClosed = errors.New("connection closed by the pool")
	errIdle   = errors.New("connection idle or retired")
)

// errUnexpectedInput is the cause for which a connection is closed on which something has arrived that no request awaits.
var errUnexpectedInput = errors.New("bytes or the end of the stream have arrived without a request")

// fence withdraws the attempts that are not started. Queued or new requests other than cancellations are not written to
// the connection any more.
func (c *connection) fence() {
	c.mu.Lock()
	c.retired = true
	c.fenced = true
	var withdrawn []*broker.Attempt
	for id, attempt := range c.inFlight {
		if !attempt.written && attempt.Withdraw() { // the writer can no longer start it
			withdrawn = append(withdrawn, attempt.Attempt)
			c.removeInFlightLocked(id)
		}
	}
	c.mu.Unlock()
	for _, a := range withdrawn {
		a.Finish(broker.Unanswered(policy.Withdrawn))
	}
}

// retire makes the connection accept no new requests. The connection is closed once no attempts are in flight.
func (c *connection) retire() {
	c.mu.Lock()
	c.retired = true
	c.mu.Unlock()
	c.closeIfIdle(0)
}

// retireIdle retires and closes the connection unless attempts are in flight. If they are and the connection is
// unresponsive, it is only retired. It is retired before retireIdle returns, since the next Send must open another
// connection and may come before another goroutine has closed this one. Pending health checks and cancellations are given
// the connect timeout to finish.
func (c *connection) retireIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeCause != nil || c.inFlightCount > 0 && !c.unresponsiveLocked() {
		return
	}
	c.retired = true
	if c.inFlightCount > 0 {
		return // unresponsive: the attempts in flight end by their deadlines
	}
	if len(c.healthChecks) == 0 && len(c.writeQueue) == 0 {
		go c.close(errIdle)
		return
	}
	time.AfterFunc(c.pool.connectTimeout(), func() { c.close(errIdle) })
}

// isRetiredAndIdle reports whether the connection is retired and nothing is pending on it.
func (c *connection) isRetiredAndIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retired && c.nothingPendingLocked()
}

// idleSince returns the time at which the connection was last used, and whether it is open and idle.
func (c *connection) idleSince() (lastUsed time.Time, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle = c.closeCause == nil && !c.retired && c.netConn != nil && c.nothingPendingLocked()
	return c.lastUsed, idle
}

// nothingPendingLocked reports whether no request is queued or awaits an answer.
func (c *connection) nothingPendingLocked() bool {
	return c.inFlightCount == 0 && len(c.writeQueue) == 0 && len(c.healthChecks) == 0
}

// closeIfIdle closes the connection if no attempts are in flight, no requests are queued, and it is retired,
// unresponsive, or has not been used for minIdleTime. Pending health checks do not prevent that.
func (c *connection) closeIfIdle(minIdleTime time.Duration) {
	c.mu.Lock()
	mayClose := c.retired || time.Since(c.lastUsed) >= minIdleTime || c.unresponsiveLocked()
	mustClose := c.inFlightCount == 0 && len(c.writeQueue) == 0 && mayClose
	if mustClose {
		c.retired = true // no call can be added once the lock is released
	}
	c.mu.Unlock()
	if mustClose {
		c.close(errIdle)
	}
}

// close closes the connection and finishes the requests on it, except attempts that the writer is writing. An attempt
// that was not written completely has never run.
func (c *connection) close(cause error) {
	pending, closed := c.markClosed(cause)
	if !closed {
		return
	}
	if pending.netConn != nil {
		pending.netConn.Close() // it waits for the reader, which may wait for the lock
	}
	byPool := errors.Is(cause, errIdle) || errors.Is(cause, errClosed)
	closeLog := c.pool.removeConnection(c, len(pending.attempts) > 0 && !byPool)
	if closeLog != nil && !byPool {
		if suppressed, due := closeLog.Due(time.Now()); due {
			c.pool.log.WithFields(logrus.Fields{
				"store": c.store.Name,
				"out":   len(pending.attempts),
				"more":  suppressed,
			}).WithError(cause).Info("store connection failed")
		}
	}
	for _, outcome := range pending.attempts {
		outcome.attempt.Finish(broker.Unanswered(outcome.status))
	}
	for _, check := range pending.healthChecks {
		check.Finish(broker.Unanswered(pending.healthCheckStatus))
	}
}

// unfinishedRequests are the attempts and health checks that end when their connection is closed.
type unfinishedRequests struct {
	netConn           net.Conn // to be closed; nil if the connection was not established
	attempts          []attemptOutcome
	healthChecks      []*healthCheck
	healthCheckStatus policy.Status
}

// attemptOutcome is an attempt and the status with which it ends when its connection is closed.
type attemptOutcome struct {
	attempt *broker.Attempt
	status  policy.Status
}

// markClosed marks the connection as closed, and removes and returns the requests that end with it. It returns false if the
// connection was closed before.
func (c *connection) markClosed(cause error) (pending unfinishedRequests, closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeCause != nil {
		return pending, false
	}
	c.closeCause = cause
	c.retired = true
	pending.healthCheckStatus = policy.ConnectFailed
	if c.netConn != nil {
		pending.healthCheckStatus = policy.ConnectionBroken
	}
	close(c.closed)
	pending.netConn = c.netConn
	pending.attempts = c.takeAttemptsLocked()
	pending.healthChecks = c.healthChecks
	for _, request := range c.writeQueue {
		if request.healthCheck != nil {
			pending.healthChecks = append(pending.healthChecks, request.healthCheck)
		}
	}
	c.healthChecks = nil
	c.writeQueue = nil
	return pending, true
}

// takeAttemptsLocked removes and returns the attempts that end with the connection. It leaves attempts that are being
// written to the writer, which finishes them when the write returns.
func (c *connection) takeAttemptsLocked() []attemptOutcome {
	var outcomes []attemptOutcome
	for id, attempt := range c.inFlight {
		switch {
		case attempt.written:
			outcomes = append(outcomes, attemptOutcome{attempt.Attempt, policy.ConnectionBroken})
		case attempt.Withdraw():
			outcomes = append(outcomes, attemptOutcome{attempt.Attempt, policy.ConnectFailed})
		default:
			continue
		}
		delete(c.inFlight, id)
	}
	return outcomes
}
