package policy

// Action is something to do: one of the types of this file. Actions are carried out in the order given.
type Action interface{ action() }

// SendAttempt sends a part to a server. An attempt without an answer within the timeout ends as TimedOut.
type SendAttempt struct {
	PartID   uint64 // ID
	ServerID uint32 // ID
	Timeout  Micros
}

// CancelAttempt cancels an attempt. Its AttemptResult still follows.
type CancelAttempt struct {
	PartID uint64 // ID

	// AttemptIndex counts a part's attempts from 0 in the order of their SendAttempt.
	AttemptIndex int
}

// Answer answers a query from its answered parts. In a class with FetchParts the first Answer starts the fetch
// phase and the second one is final; otherwise the first one is.
type Answer struct {
	QueryID  uint64 // ID
	Complete bool
}

// Reject ends a query without an answer. Its parts did not run or may run again, so the client may retry it.
type Reject struct {
	QueryID uint64 // ID

	// RetryAfter is how long the client should wait before it retries; 0 if unspecified.
	RetryAfter Micros
}

// Fail ends a query without an answer and without a statement about its effects.
type Fail struct {
	QueryID uint64 // ID
}

// CloseIdleConnections closes the idle connections to a server, so that the next SendAttempt opens a new one.
type CloseIdleConnections struct {
	ServerID uint32 // ID
}

// HealthCheck checks the health of a server.
type HealthCheck struct {
	ServerID uint32 // ID
}

// SetTimer asks for a Timer event after a time.
type SetTimer struct{ Delay Micros }

// PollEndpoints polls the endpoint list. It applies to Settings.PollEndpoints.
type PollEndpoints struct{}

// Log is a line for the operators' log.
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
