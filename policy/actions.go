package policy

// Action is an instruction to the owner: one of the types in this file that have an action method. The owner carries
// out actions in the order in which Step returns them.
type Action interface{ action() }

// SendAttempt sends a part to a server. If no answer arrives within Timeout, the attempt ends with the status TimedOut.
type SendAttempt struct {
	PartID   uint64
	ServerID uint32
	Timeout  Micros
}

// CancelAttempt cancels an attempt. Its AttemptResult still follows.
type CancelAttempt struct {
	PartID uint64

	// AttemptIndex is the index of the attempt among the part's attempts, from 0 in the order of their SendAttempt.
	AttemptIndex int
}

// Answer answers a query from the parts that are answered. If the query's class has a fetch phase, the first Answer
// starts that phase, which ends with a second Answer or a Fail. Otherwise the first Answer is final.
type Answer struct {
	QueryID uint64

	// Complete is set if the coverage of the first phase reached Class.RequiredCoverage and, in the Answer that ends a
	// fetch phase, if all parts of that phase were answered as well.
	Complete bool
}

// Reject ends a query without an answer. Its parts did not run or may be run again, so the client may retry it.
type Reject struct {
	QueryID uint64

	// RetryAfter is the time that the client should wait before it retries; 0 if unspecified.
	RetryAfter Micros
}

// Fail ends a query without a final answer if a Reject is not possible: the first Answer of the query was already
// returned, or a part that is not Idempotent may have run or may still run, so that the query may have had an effect.
type Fail struct {
	QueryID uint64
}

// CloseIdleConnections closes the idle connections to a server, so that the next SendAttempt opens a new one.
type CloseIdleConnections struct {
	ServerID uint32
}

// HealthCheck sends a health check to a server. A HealthCheckResult follows.
type HealthCheck struct {
	ServerID uint32
}

// SetTimer requests a TimerFired event after a delay.
type SetTimer struct{ Delay Micros }

// PollEndpoints requests the endpoint list and its changes, which follow as EndpointList events. It is returned again
// only after an EndpointListFailed, and only if Settings.PollEndpoints is set.
type PollEndpoints struct{}

// Log writes a line to the operators' log.
type Log struct{ Text string }

func (SendAttempt) action()          {}
func (CancelAttempt) action()        {}
func (Answer) action()               {}
func (Reject) action()               {}
func (Fail) action()                 {}
func (CloseIdleConnections) action() {}
func (HealthCheck) action()          {}
func (SetTimer) action()             {}
func (PollEndpoints) action()        {}
func (Log) action()                  {}
