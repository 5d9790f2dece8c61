package broker

import (
	"sync/atomic"
	"time"

	"alderproxy/policy"
)

// Attempt is one try to have a part answered by a store.
type Attempt struct {
	// Query is the query of the part.
	Query *Query
	// Shard is the number of the part's shard.
	Shard int
	// ServerID is the number of the store's endpoint.
	ServerID uint32
	// Deadline is when nobody waits for the attempt any longer.
	Deadline time.Time
	// RetryDeadline is when the attempt must have been started at the latest. It is set for a retry of a part that is
	// idempotent by key and may have run before, since stores recognize duplicates for a limited time only. The zero
	// time sets no limit.
	RetryDeadline time.Time

	broker *Broker
	part   *activePart
	// index is the attempt's index in its part.
	index int
	// sentAt is when the decisions had the attempt sent.
	sentAt        time.Time
	deadlineTimer *timer
	// state is shared by the event loop and the transport.
	state atomic.Int32

	// finished and status belong to the event loop: whether the decisions know the outcome, and which it is.
	finished bool
	status   policy.Status
}

// The states of an attempt. It leaves attemptQueued once, for one of the others.
const (
	attemptQueued int32 = iota
	attemptStarted
	attemptWithdrawn
)

// Start must be called before the first byte of the attempt is written. If it returns false, nothing may be written: the
// attempt was withdrawn, its client has left, or its Deadline or RetryDeadline has passed. An attempt that was not started
// has never run, whatever its status.
func (a *Attempt) Start() bool {
	now := time.Now()
	if a.Query.canceled.Load() || !now.Before(a.Deadline) {
		return false
	}
	if !a.RetryDeadline.IsZero() && !now.Before(a.RetryDeadline) {
		return false
	}
	return a.state.CompareAndSwap(attemptQueued, attemptStarted)
}

// Withdraw prevents an attempt from being started and reports whether that succeeded, now or earlier. If it returns false,
// the attempt was started and may have run.
func (a *Attempt) Withdraw() (neverStarted bool) {
	return a.state.CompareAndSwap(attemptQueued, attemptWithdrawn) || a.state.Load() == attemptWithdrawn
}

// Finish reports the attempt's outcome. Every call after the first is ignored.
func (a *Attempt) Finish(result AttemptResult) { a.broker.post(attemptFinished{a, result}) }

// started reports whether the transport has begun to write the attempt.
func (a *Attempt) started() bool { return a.state.Load() == attemptStarted }

// neverRan reports whether no store can have run the attempt.
func (a *Attempt) neverRan() bool {
	if a.state.Load() == attemptWithdrawn {
		return true
	}
	if !a.finished {
		return false
	}
	switch a.status {
	case policy.Rejected, policy.ConnectFailed, policy.Withdrawn:
		return true
	default:
		return false
	}
}
