package broker

import "alderproxy/policy"

// Transport sends attempts to stores. The event loop calls its methods, so none may block. For every attempt that Send
// accepted and that was not canceled, the transport calls Attempt.Finish once. Finish and the done function of
// CheckHealth may wait for the event loop, so the methods of a transport must not call them synchronously.
type Transport interface {
	// Send queues attempts that share one call to a server. If it returns an error, none of them is sent.
	Send(serverID uint32, call []*Attempt) error
	// Cancel cancels an attempt whose result is no longer needed.
	Cancel(a *Attempt)
	// CloseIdleConnections closes the idle connections to a server.
	CloseIdleConnections(serverID uint32)
	// CheckHealth requests a server's load report and calls done once.
	CheckHealth(serverID uint32, done func(AttemptResult))
}

// AttemptResult is the outcome of an attempt or of a health check.
type AttemptResult struct {
	// Status is the outcome.
	Status policy.Status
	// Report is the load report that came with the answer, or policy.NoLoadReport.
	Report policy.LoadReport
	// Body is the body of the answer to an attempt.
	Body []byte
}

// Unanswered returns the result, with the given status, of an attempt or health check that no store has answered.
func Unanswered(status policy.Status) AttemptResult {
	return AttemptResult{Status: status, Report: policy.NoLoadReport}
}
