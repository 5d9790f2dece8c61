package broker

import (
	"sync/atomic"
	"time"

	"alderproxy/policy"
)

// Part is the share of a query that a single store answers.
type Part struct {
	// Shard is the number of the shard that the part reads.
	Shard int
	// Weight is the part's share of a complete answer, from 0 to 1.
	Weight float64
	// CostHint is the client's estimate of the work in microseconds; 0 means none.
	CostHint policy.Micros
	// AffinityKey directs parts with the same key to the same replica; 0 means none.
	AffinityKey uint64
}

// Query is a client's query. It must not be changed after it was submitted.
type Query struct {
	// ID differs for every request, including a client's retries.
	ID string
	// Class is the index of the query's class in the settings.
	Class int
	// IdempotencyKey is set for classes that are idempotent by key.
	IdempotencyKey string
	// Payload is sent with every part, byte for byte as it was received.
	Payload []byte
	// Deadline is when the client stops waiting.
	Deadline time.Time
	// Retry reports that the client marked the query as a retry.
	Retry bool
	// Parts are the parts whose answers make up the query's answer.
	Parts []Part
	// Responder receives the final answer.
	Responder Responder
	// FrontData belongs to the front and its transport.
	FrontData any
	// Terms are those the query was parsed by; nil accepts whichever are in force at admission.
	Terms *Terms

	// canceled is set as soon as the client has left, so that an attempt that waits for its connection isn't started
	// while the cancellation still waits for the event loop.
	canceled atomic.Bool
}

// Responder receives the final answer of a query. Respond is called by the event loop and must not block.
type Responder interface{ Respond(Response) }

// Status is the outcome of a query.
type Status uint8

// The outcomes of a query.
const (
	// Served means that the response carries an answer.
	Served Status = iota
	// Rejected means that the query can be retried without risk of running twice.
	Rejected
	// Failed means that the query failed and may have run.
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
	// RetryAfter is how long the client of a rejected query should wait before it retries; 0 gives no advice.
	RetryAfter time.Duration
	// DeadlineExceeded reports that a query was rejected or failed because its time was up.
	DeadlineExceeded bool
	// PartsFailed reports that attempts of a rejected or failed query ended in other ways than by rejection.
	PartsFailed bool
	// StaleTerms reports that a query was rejected because its terms are no longer in force: parse it again.
	StaleTerms bool
	// GateClosed reports that a query was rejected because the gate is closed.
	GateClosed bool
	// Version is that of the terms by which the query was admitted.
	Version uint64
}

// PartResult is a store's answer to a part.
type PartResult struct {
	// Shard is the number of the part's shard.
	Shard int
	// Body is the answer as it was received.
	Body []byte
}
