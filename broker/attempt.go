package broker

import (
	"sync/atomic"
	"time"

	"alderproxy/policy"
)

// Attempt is an attempt to have a part answered by a store.
type Attempt struct {
	// Query is the query of the part.
	Query *Query
	// Shard is the number of the part's shard.
	Shard int
	// ServerID is the number of the store's endpoint.
	ServerID uint32
	// Deadline is the time at which the attempt times out.
	Deadline time.Time
	// RetryDeadline is the time before which the attempt must be started; zero if there is no such limit. It is set if
	// the part is idempotent by key and may have run before, since stores recognize duplicates for a limited time only.
	RetryDeadline time.Time

	broker *Broker
	part   *activePart
	// index is the attempt's index among the attempts at its part.
	index int
	// sentAt is the time at which the aggregator ordered the attempt.
	sentAt        time.Time
	deadlineTimer *timer
	// state is one of the constants below. The event loop and the transport share it.
	state atomic.Int32

	// finished is set once the outcome was reported to the aggregator, and status is that outcome. Only the event loop
	// uses them.
	finished bool
	status   policy.Status
}

// The states of an attempt. An attempt leaves attemptQueued at most once, for one of the others.
const (
	attemptQueued int32 = iota
	attemptStarted
	attemptWithdrawn
)

// Start must be called before the first byte of the attempt is written. If it returns false, nothing may be written: the
// attempt was withdrawn or already started, its query was canceled, or its Deadline or RetryDeadline has passed. An
// attempt that was not started has never run, whatever its status.
func (a *Attempt) Start() bool {
	now := time.Now()
	if !now.Before(a.Deadline) {
		return false
	}
	if !a.RetryDeadline.IsZero() && !now.Before(a.RetryDeadline) {
		return false
	}
	a.Query.started.Store(true) // before the check, so that either it fails or the caller of Cancel sees this
	if a.Query.canceled.Load() {
		return false
	}
	return a.state.CompareAndSwap(attemptQueued, attemptStarted)
}

// Withdraw prevents an attempt from being started. It reports whether the attempt is withdrawn, by this call or an
// earlier one. If it returns false, the attempt was started and may have run.
func (a *Attempt) Withdraw() (neverStarted bool) {
	return a.state.CompareAndSwap(attemptQueued, attemptWithdrawn) || a.state.Load() == attemptWithdrawn
}

// Finish reports the attempt's outcome. It is ignored if the attempt already has an outcome.
func (a *Attempt) Finish(result AttemptResult) { a.broker.post(attemptFinished{a, result}) }

// started reports whether Start has returned true, so that the attempt may have run.
func (a *Attempt) started() bool { return a.state.Load() == attemptStarted }

// neverRan reports whether it is certain that no store runs the attempt or has run it.
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
