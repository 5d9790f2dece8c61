package broker

import (
	"sync/atomic"
	"time"

	"alderproxy/policy"
)

// Part is a part of a query. A single store answers it.
type Part struct {
	// Shard is the number of the shard that the part reads.
	Shard int
	// Weight is the part's share of a complete answer, from 0 to 1.
	Weight float64
	// CostHint is the client's estimate of the work in microseconds; 0 if there is none.
	CostHint policy.Micros
	// AffinityKey is equal for parts that should use the same replica; 0 if there is none. Package policy does not use
	// it.
	AffinityKey uint64
}

// Query is a client's query. It must not be changed after it has been submitted.
type Query struct {
	// ID differs for every request, including a client's retries.
	ID string
	// Class is the index of the query's class in the settings.
	Class int
	// IdempotencyKey is the client's key for classes that are idempotent by key.
	IdempotencyKey string
	// Payload is sent with every part, byte for byte.
	Payload []byte
	// Deadline is the time at which the client stops waiting.
	Deadline time.Time
	// Retry reports that the client marked the query as a retry.
	Retry bool
	// Parts are the parts whose answers make up the query's answer.
	Parts []Part
	// Responder receives the final answer.
	Responder Responder
	// FrontData is data of the front for its transport. The broker does not use it.
	FrontData any
	// Terms are the terms by which the query was parsed. The query is rejected as stale if they are not in force at its
	// admission. If Terms is nil, any terms are accepted.
	Terms *Terms

	// canceled is set immediately when the query is canceled, so that an attempt that waits for a connection is not
	// started before the event loop handles the cancellation.
	canceled atomic.Bool
	// started is set before the first attempt at a part is started.
	started atomic.Bool
}

// MayHaveRun reports whether a store may run or have run a part of the query. If it is false once Cancel has returned, no store
// has run one or will.
func (q *Query) MayHaveRun() bool { return q.started.Load() }

// Responder receives the final answer of a query. Respond is called by the event loop and must not block.
type Responder interface{ Respond(Response) }

// Status is the outcome of a query.
type Status uint8

// The outcomes of a query.
const (
	// Served means that the response carries an answer.
	Served Status = iota
	// Rejected means that the query had no effect or may be run again, so that the client may retry it.
	Rejected
	// Failed means that the query failed and may have had an effect.
	Failed
)

// Response is the final answer to a query.
type Response struct {
	// Status is the outcome of the query.
	Status Status
	// Complete reports that a served answer has the coverage that its class requires.
	Complete bool
	// Parts are the answered parts of a served query, in the order of Query.Parts.
	Parts []PartResult
	// RetryAfter is the time that the client of a rejected query should wait before it retries; 0 if unspecified.
	RetryAfter time.Duration
	// DeadlineExceeded reports that a query was rejected or failed because no time was left to answer it.
	DeadlineExceeded bool
	// PartsFailed reports that the aggregator rejected or failed a query of which a part has no answer and an attempt
	// that ended with another status than Rejected.
	PartsFailed bool
	// StaleTerms reports that a query was rejected because its terms are not in force. It must be parsed again.
	StaleTerms bool
	// GateClosed reports that a query was rejected because the gate is closed.
	GateClosed bool
	// Version is the version of the terms by which the query was admitted; 0 if it was not admitted.
	Version uint64
}

// PartResult is a store's answer to a part.
type PartResult struct {
	// Shard is the number of the part's shard.
	Shard int
	// Body is the answer as it was received.
	Body []byte
}
