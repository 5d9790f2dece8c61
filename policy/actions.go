package policy

// Action is something to do, in the order given. It is one of the types below that name themselves so.
type Action interface{ action() }

// SendAttempt asks a server for a part. An attempt without an outcome after Timeout ends as TimedOut.
type SendAttempt struct {
	Part    uint64
	Server  uint32
	Timeout Micros
}

// CancelAttempt ends the wait for an attempt. Its outcome still comes.
type CancelAttempt struct {
	Part    uint64
	Attempt int
}

// Answer answers a query from the parts that are in: finally, or, in a class with FetchParts,
// first to bring the second step's parts and then finally.
type Answer struct {
	Query    uint64
	Complete bool
}

// Reject turns a query away: nothing of it ran twice or unknown, and it may be tried again.
type Reject struct {
	Query      uint64
	RetryAfter Micros // how long the client ought to wait; 0: no advice
}

// Fail ends a query without any promise.
type Fail struct{ Query uint64 }

// CloseIdleConnections closes the idle connections to a server, so that the next Send opens a new one.
type CloseIdleConnections struct{ Server uint32 }

// HealthCheck asks a server how it is.
type HealthCheck struct{ Server uint32 }

// SetTimer asks for a Timer after the given time.
type SetTimer struct{ After Micros }

// PollEndpoints asks for the server list and its changes (AskForList only).
type PollEndpoints struct{}

// Log is a line for the people on call.
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
