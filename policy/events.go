package policy

// EndpointState is the state of a server on the list.
type EndpointState uint8

// The states of a server. Servers missing from a list count as Gone.
const (
	Removed EndpointState = iota
	Ready
	Draining
)

// Endpoint is one line of the server list.
type Endpoint struct {
	ID           uint32
	State        EndpointState
	RingPosition int
	Zone         int
	Capacity     float64 // as registered; 0: unknown
	StartedAt    Micros  // moment of the newest start; 0: long ago
}

// LoadReport is a server's account of its own load. A field below zero was not told.
type LoadReport struct {
	Inflight    float64 // requests it holds
	Queue       float64 // of these, waiting
	Utilization float64 // how busy its cores are, 0 to 1
	Latency     Micros  // its recent service time
	Rate        float64 // requests a second
	Errors      float64 // errors a second
}

// NoLoadReport is the report of a server that told nothing.
var NoLoadReport = LoadReport{-1, -1, -1, -1, -1, -1}

// Event is something that happened. It is one of the types below that name themselves so.
type Event interface{ event() }

// EndpointList is the whole server list as now known; each replaces the one before.
type EndpointList struct{ Endpoints []Endpoint }

// EndpointListFailed says that the list could not be had or its subscription ended (AskForList only).
type EndpointListFailed struct{}

// Reconfigure replaces the settings between two turns. Queries taken before keep their classes' terms; what is known
// of servers, of classes by name, and of what is out stays. Settings that fail Check change nothing and are logged.
type Reconfigure struct{ Settings Settings }

// Query is a new query; its parts follow in the same turn. A class out of range is refused at
// once; a tenant out of range is of no matter.
type Query struct {
	ID       uint64
	Number   uint64 // shared with its parts
	Class    int
	Tenant   int
	Key      uint64 // 0: none
	Deadline Micros // the client of this try leaves then
	Parts    int
	Retry    bool // the client said that it tries again
}

// Part is a part of a query, of its first step or, after a first Answer, of the second.
type Part struct {
	ID       uint64
	Number   uint64 // of the query it belongs to
	Shard    int
	Key      uint64
	Weight   float64 // a step's weights sum to 1
	CostHint Micros  // expected work, roughly; 0 or less: not told
}

// Status is the way an attempt or a probe ended.
type Status uint8

// The ways to end. Rejected, Unconnected and Moot prove that the part never ran.
const (
	OK Status = iota
	ServerError
	Rejected
	TimedOut
	ConnectFailed
	ConnectionBroken
	Canceled
	Withdrawn
)

// AttemptResult ends one attempt. There is exactly one for each Send.
type AttemptResult struct {
	Part    uint64
	Attempt int // attempts of a part count from 0 in the order of their Send
	Server  uint32
	Status  Status
	Elapsed Micros
	Report  LoadReport
}

// HealthCheckResult ends one Probe.
type HealthCheckResult struct {
	Server  uint32
	Status  Status
	Elapsed Micros
	Report  LoadReport
}

// Timer answers a Wake.
type Timer struct{}

// ClientCanceled says that the client of a query left: the query is over, no answer is owed.
type ClientCanceled struct{ Query uint64 }

func (EndpointList) event()       {}
func (Reconfigure) event()        {}
func (EndpointListFailed) event() {}
func (Query) event()              {}
func (Part) event()               {}
func (AttemptResult) event()      {}
func (HealthCheckResult) event()  {}
func (Timer) event()              {}
func (ClientCanceled) event()     {}
