package storepool

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"alderproxy/broker"
	"alderproxy/policy"
)

// The causes for which the pool closes a connection itself.
var (
	errClosed = errors.New("connection closed by the pool")
	errIdle   = errors.New("connection idle")
)

// fence withdraws the attempts that are not started. Nothing but cancellations is written to the connection afterwards.
func (c *connection) fence() {
	c.mu.Lock()
	c.retired = true
	c.fenced = true
	var withdrawn []*broker.Attempt
	for id, s := range c.inFlight {
		if !s.written && s.Withdraw() { // the writer cannot start it any more
			withdrawn = append(withdrawn, s.Attempt)
			c.removeInFlightLocked(id)
		}
	}
	c.mu.Unlock()
	for _, a := range withdrawn {
		a.Finish(broker.Unanswered(policy.Withdrawn))
	}
}

// retire makes the connection accept nothing new and end once nothing is in flight.
func (c *connection) retire() {
	c.mu.Lock()
	c.retired = true
	c.mu.Unlock()
	c.closeIfIdle(0)
}

// retireIdle retires an idle connection before it returns: the next Send, which must open another connection, may follow
// before a close by another goroutine takes effect. A health check that is pending gets the time to end.
func (c *connection) retireIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeCause != nil || c.inFlightCount > 0 && !c.unresponsiveLocked() {
		return
	}
	c.retired = true
	if c.inFlightCount > 0 {
		return // unresponsive: the attempts in flight end in their time
	}
	if len(c.healthChecks) == 0 && len(c.writeQueue) == 0 {
		go c.close(errIdle)
		return
	}
	time.AfterFunc(c.pool.connectTimeout(), func() { c.close(errIdle) })
}

// isRetiredAndIdle reports that the connection is retired and has nothing left to do.
func (c *connection) isRetiredAndIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retired && c.nothingPendingLocked()
}

// idleSince returns when an idle connection was last used, and whether it is idle.
func (c *connection) idleSince() (lastUsed time.Time, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle = c.closeCause == nil && !c.retired && c.netConn != nil && c.nothingPendingLocked()
	return c.lastUsed, idle
}

// nothingPendingLocked reports that nothing is queued, in flight or to be answered.
func (c *connection) nothingPendingLocked() bool {
	return c.inFlightCount == 0 && len(c.writeQueue) == 0 && len(c.healthChecks) == 0
}

// closeIfIdle closes the connection if no attempts are in flight and it is retired, unresponsive, or was not used for the
// given time.
func (c *connection) closeIfIdle(minIdleTime time.Duration) {
	c.mu.Lock()
	obsolete := c.retired || time.Since(c.lastUsed) >= minIdleTime || c.unresponsiveLocked()
	idle := c.inFlightCount == 0 && len(c.writeQueue) == 0 && obsolete
	if idle {
		c.retired = true // before the lock is released, so that no call is added meanwhile
	}
	c.mu.Unlock()
	if idle {
		c.close(errIdle)
	}
}

// close closes the connection and finishes everything on it. An attempt that was not written completely has never run.
func (c *connection) close(cause error) {
	pending, closed := c.markClosed(cause)
	if !closed {
		return
	}
	byPool := errors.Is(cause, errIdle) || errors.Is(cause, errClosed)
	closeLog := c.pool.removeConnection(c, len(pending.attempts) > 0 && !byPool)
	if closeLog != nil && !byPool {
		if suppressed, due := closeLog.Due(time.Now()); due {
			c.pool.log.WithFields(logrus.Fields{
				"store": c.store.Name,
				"out":   len(pending.attempts),
				"more":  suppressed,
			}).WithError(cause).Info("store connection ended")
		}
	}
	for _, e := range pending.attempts {
		e.attempt.Finish(broker.Unanswered(e.status))
	}
	for _, check := range pending.healthChecks {
		check.Finish(broker.Unanswered(pending.healthCheckStatus))
	}
}

// unfinishedRequests are the attempts and health checks that end with a connection.
type unfinishedRequests struct {
	attempts          []attemptOutcome
	healthChecks      []*healthCheck
	healthCheckStatus policy.Status
}

// attemptOutcome is an attempt that ends with its connection.
type attemptOutcome struct {
	attempt *broker.Attempt
	status  policy.Status
}

// markClosed closes the connection's socket and takes over what is pending on it. It returns false if the connection was
// closed before.
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
		c.netConn.Close()
	}
	close(c.closed)
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

// takeAttemptsLocked removes the attempts that end with the connection. One that is being written stays: its writer gets the
// error and decides.
func (c *connection) takeAttemptsLocked() []attemptOutcome {
	var outcomes []attemptOutcome
	for id, s := range c.inFlight {
		switch {
		case s.written:
			outcomes = append(outcomes, attemptOutcome{s.Attempt, policy.ConnectionBroken})
		case s.Withdraw():
			outcomes = append(outcomes, attemptOutcome{s.Attempt, policy.ConnectFailed})
		default:
			continue
		}
		delete(c.inFlight, id)
	}
	return outcomes
}
