package policy

// Event is something that happened: one of the types of this file with an event method.
type Event interface{ event() }

// EndpointState is the state of an endpoint on the list.
type EndpointState uint8

// The states of an endpoint. Endpoints missing from a list count as Removed.
const (
	Removed EndpointState = iota
	Ready
	Draining
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	ID    uint32
	State EndpointState

	// RingPosition is the server's position on the ring, from 0 to Settings.RingSize-1.
	RingPosition int

	// Zone is the index of the server's zone.
	Zone int

	// Capacity is the capacity that the server has registered; 0 if unknown. The decisions do not use it.
	Capacity float64

	// StartedAt is when the server's process started; 0 if long ago.
	StartedAt Micros
}

// LoadReport is a server's report of its own load. A negative field was not reported.
type LoadReport struct {
	InFlight    float64 // requests at the server
	Queued      float64 // of these, the queued ones
	Utilization float64 // of its cores, 0 to 1
	Latency     Micros  // recent service time
	RequestRate float64 // requests per second
	ErrorRate   float64 // errors per second
}

// NoLoadReport is the load report of a server that reported nothing.
var NoLoadReport = LoadReport{
	InFlight:    -1,
	Queued:      -1,
	Utilization: -1,
	Latency:     -1,
	RequestRate: -1,
	ErrorRate:   -1,
}

// EndpointList is the complete endpoint list; each replaces the one before.
type EndpointList struct{ Endpoints []Endpoint }

// EndpointListFailed says that a poll of the endpoint list failed or its watch ended. It applies to
// Settings.PollEndpoints.
type EndpointListFailed struct{}

// Reconfigure replaces the settings. Open queries keep the settings of their classes. The statistics of servers and,
// by name, of classes stay, and so do attempts in flight. Settings that fail Settings.Check change nothing and
// return a Log.
type Reconfigure struct{ Settings Settings }

// Query is a new query. Its parts follow in the same step. A query of an unknown class is rejected at once; an
// unknown tenant is ignored.
type Query struct {
	ID uint64

	// Number is what Part.Number refers to.
	Number uint64

	// Class and Tenant are indices into Settings.Classes and Settings.Tenants.
	Class  int
	Tenant int

	// RequestKey identifies what the query asks for, so that queries alike can be recognized; 0 if there is none.
	RequestKey uint64

	// Deadline is when the client stops waiting for this try.
	Deadline Micros

	// PartCount is the number of the parts that follow.
	PartCount int

	// Retry says that the client has tried the query before.
	Retry bool
}

// Part is a part of a query: of the first phase, or, after the first Answer, of the fetch phase.
type Part struct {
	ID uint64

	// QueryNumber is the Query.Number of the part's query.
	QueryNumber uint64

	Shard int

	// AffinityKey is the part's affinity key; 0 if there is none. The decisions do not use it.
	AffinityKey uint64

	// Weight is the part's share of the answer, 0 to 1. The weights of a phase's parts add up to 1.
	Weight float64

	// CostHint is the expected work, roughly; 0 or less if unknown.
	CostHint Micros
}

// Status says how an attempt or a health check ended.
type Status uint8

// The ways to end. After Rejected, ConnectFailed and Withdrawn it is certain that the part never ran.
const (
	OK               Status = iota
	ServerError             // the server answered with an error
	Rejected                // the server had no capacity
	TimedOut                // no answer came within the timeout
	ConnectFailed           // no connection could be made
	ConnectionBroken        // the connection ended before an answer
	Canceled                // by CancelAttempt
	Withdrawn               // before anything was sent
)

// neverRan reports whether it is certain that a server did not execute the part.
func (s Status) neverRan() bool {
	return s == Rejected || s == ConnectFailed || s == Withdrawn
}

// AttemptResult ends an attempt. There is exactly one for each SendAttempt.
type AttemptResult struct {
	PartID uint64 // ID

	// AttemptIndex counts a part's attempts from 0 in the order of their SendAttempt.
	AttemptIndex int

	ServerID uint32 // ID
	Status   Status
	Elapsed  Micros // since SendAttempt
	Report   LoadReport
}

// HealthCheckResult ends a health check.
type HealthCheckResult struct {
	ServerID uint32 // ID
	Status   Status
	Elapsed  Micros // since HealthCheck
	Report   LoadReport
}

// TimerFired says that the time of a SetTimer has passed.
type TimerFired struct{}

// ClientCanceled says that the client of a query has left: the query is closed without an answer.
type ClientCanceled struct {
	QueryID uint64 // ID
}

func (EndpointList) event()       {}
func (EndpointListFailed) event() {}
func (Reconfigure) event()        {}
func (Query) event()              {}
func (Part) event()               {}
func (AttemptResult) event()      {}
func (HealthCheckResult) event()  {}
func (TimerFired) event()         {}
func (ClientCanceled) event()     {}
