package policy

// Event is an input to Aggregator.Step: one of the types of this file that have an event method.
type Event interface{ event() }

// EndpointState is the state of an endpoint in the endpoint list.
type EndpointState uint8

// The states of an endpoint. An endpoint that is missing from the list counts as Removed.
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

	// StartedAt is the time at which the server's process started; 0 if long ago.
	StartedAt Micros
}

// LoadReport is a server's report of its own load. A negative value means that the server did not report the field.
type LoadReport struct {
	InFlight    float64 // requests at the server
	Queued      float64 // the queued ones among these requests
	Utilization float64 // of its cores, 0 to 1
	Latency     Micros  // recent service time
	RequestRate float64 // requests per second
	ErrorRate   float64 // errors per second
}

// NoLoadReport is a load report without any values.
var NoLoadReport = LoadReport{
	InFlight:    -1,
	Queued:      -1,
	Utilization: -1,
	Latency:     -1,
	RequestRate: -1,
	ErrorRate:   -1,
}

// EndpointList delivers the complete endpoint list, which replaces the previous one.
type EndpointList struct{ Endpoints []Endpoint }

// EndpointListFailed reports that a poll of the endpoint list failed or that its watch ended. It applies if
// Settings.PollEndpoints is set.
type EndpointListFailed struct{}

// Reconfigure replaces the settings. Open queries keep the settings of their classes. The statistics of servers and,
// by name, of classes stay, and so do attempts in flight. Invalid settings change nothing and produce a Log action.
type Reconfigure struct{ Settings Settings }

// Query is a new query. Its parts follow in the same step. A query of an unknown class is rejected at once; an
// unknown tenant is ignored.
type Query struct {
	ID uint64

	// Number identifies the query in the QueryNumber of its parts.
	Number uint64

	// Class and Tenant are indices into Settings.Classes and Settings.Tenants.
	Class  int
	Tenant int

	// RequestKey identifies what the query asks for, so that similar queries can be recognized; 0 if there is none.
	RequestKey uint64

	// Deadline is the time at which the client stops waiting for this try.
	Deadline Micros

	// PartCount is the number of Part events that follow.
	PartCount int

	// Retry indicates that the client has tried the query before.
	Retry bool
}

// Part adds a part to a query: to the first phase or, after the first Answer, to the fetch phase.
type Part struct {
	ID uint64

	// QueryNumber is the Query.Number of the part's query.
	QueryNumber uint64

	Shard int

	// AffinityKey is equal for parts that should use the same replica, which may have cached the key; 0 if there is
	// none. The decisions do not use it.
	AffinityKey uint64

	// Weight is the part's share of the answer, 0 to 1. The weights of a phase's parts add up to 1.
	Weight float64

	// CostHint is a rough estimate of the part's work; 0 or less if unknown.
	CostHint Micros
}

// Status is the outcome of an attempt or a health check.
type Status uint8

// The outcomes. After Rejected, ConnectFailed or Withdrawn it is certain that the part did not run.
const (
	OK               Status = iota
	ServerError             // the server answered with an error
	Rejected                // the server had no capacity
	TimedOut                // no answer came within the timeout
	ConnectFailed           // no connection could be opened
	ConnectionBroken        // the connection ended before an answer
	Canceled                // ended by CancelAttempt
	Withdrawn               // ended before anything was sent
)

// neverRan reports whether it is certain that a server did not execute the part.
func (s Status) neverRan() bool {
	return s == Rejected || s == ConnectFailed || s == Withdrawn
}

// AttemptResult reports the end of an attempt. Exactly one follows each SendAttempt.
type AttemptResult struct {
	PartID uint64

	// AttemptIndex is the attempt's index among the part's attempts, from 0 in the order of their SendAttempt.
	AttemptIndex int

	ServerID uint32
	Status   Status
	Elapsed  Micros // since SendAttempt
	Report   LoadReport
}

// HealthCheckResult reports the end of a health check.
type HealthCheckResult struct {
	ServerID uint32
	Status   Status
	Elapsed  Micros // since HealthCheck
	Report   LoadReport
}

// TimerFired reports that the time of a SetTimer has passed.
type TimerFired struct{}

// ClientCanceled reports that the client no longer waits for a query, which is then closed without an answer.
type ClientCanceled struct {
	QueryID uint64
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
