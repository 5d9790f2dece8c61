package policy

import "fmt"

// This file holds the types through which an aggregator talks to the module: the settings it
// hands over once, the events it reports and the actions it gets back. Nothing is decided here.
//
// All times are microseconds: Micros for spans, and for moments on the owner's own clock, which
// may start anywhere and must not run backwards (a moment earlier than the last counts as the last).
//
// Bad input never panics and never breaks a rule. Events about ids that are unknown or over, a
// second outcome of one attempt, parts of shards that do not exist, reports with values that are
// not numbers and servers without a place on the shard map are ignored. A query of a class out of range is
// refused at once; see Query.

// Micros is a span or a moment in microseconds.
type Micros = int64

// Idempotency says what repeating a part of a class does.
type Idempotency uint8

// The kinds of effect.
const (
	Idempotent      Idempotency = iota // may be repeated freely
	IdempotentByKey                    // repeats are dropped by the servers for Class.Window
	NonIdempotent                      // must not run twice
)

// Class describes one class of query.
type Class struct {
	Name                string
	LatencyObjective    Micros  // answers within it earn the full worth
	Timeout             Micros  // the client's whole patience, over all its tries
	PriorityWeight      float64 // of a whole answer
	LateWeight          float64 // share of the worth that an answer past the aim earns
	Idempotency         Idempotency
	DeduplicationWindow Micros  // Keyed: how long repeats are dropped, from the first attempt that may have run
	MinCoverage         float64 // least share of the parts' weight for any answer
	RequiredCoverage    float64 // share of the weight that makes an answer whole
	PartialWeight       float64 // an answer not whole earns this x share / Need
	FetchParts          int     // parts of a second step after the first answer; 0: none
}

// Tenant is one of the customers that share the fleet.
type Tenant struct {
	Name             string
	QueriesPerSecond float64 // queries a second, over all aggregators, that count in full; 0: unlimited
}

// Settings is what an aggregator knows from the start. New checks it. The present decisions use neither Tenants,
// OverWorth, Zone, MaxOpen, WarmKeys, ProbeToHear, AnswerSlack, DrainGrace, MayAdvise nor PriceCrossZone: they
// keep stricter than the slacks, leave MaxOpen to the owner and take every replica at its measured latency.
type Settings struct {
	InstanceIndex, InstanceCount int // this aggregator's index and how many there are in all
	Tick                         Micros
	Classes                      []Class
	Tenants                      []Tenant
	OverQuotaWeight              float64 // worth, as a share, of what a tenant sends beyond its allowance
	Zone                         int     // of this aggregator

	Shards, RingSize, ReplicationFactor int    // shard s is held by cells (s+j) mod Cells, j from 0 to Reach-1
	MaxBatchSize                        int    // parts that may share one call
	BatchOverhead                       Micros // work that a call costs beside its parts
	ServersCacheKeys                    bool   // a server that met a key lately does less work for it

	MaxAttempts           int  // of a part; 0: as many as the rules allow
	MaxOpen               int  // queries and parts held; the owner turns further queries away by itself; 0: unlimited
	AllowHedging          bool // a part may have two attempts out at once
	AllowCancel           bool
	AllowHealthChecks     bool
	SendRetryAfter        bool   // a refusal's come-back time reaches the client
	MaxRetryAfter         Micros // longest such time that clients honour
	LoadByHealthCheckOnly bool   // servers report their load only when probed
	PollEndpoints         bool   // the server list comes only after Subscribe

	PollInterval       Micros // AskForList: who has not asked for so long is held to know the list; failed calls count
	AnswerSlack        Micros
	DrainGrace         Micros
	SlowStartFraction  float64 // a server starts at no less than this share of its capacity
	SlowStartDuration  Micros  // and is warm no later than this
	OverloadFactor     float64 // more than this multiple of what it can do ...
	OverloadDuration   Micros  // ... for this long fells a cold server
	RetryBudgetWindow  Micros  // further attempts are budgeted over it; 0: no budget
	RetryBudgetMinimum float64
	RetryBudgetRatio   float64 // of queries and parts taken within the span

	PriceCrossZone, PriceHealthCheck float64 // each per part, against a worth of 1
}

// Check names the first field that no aggregator can work with.
func (s Settings) Check() error {
	switch {
	case len(s.Classes) == 0:
		return fmt.Errorf("settings: Classes is empty")
	case s.Shards <= 0 || s.Shards > 1<<20:
		return fmt.Errorf("settings: Shards is %d", s.Shards)
	case s.RingSize <= 0 || s.ReplicationFactor <= 0 || s.ReplicationFactor > s.RingSize:
		return fmt.Errorf("settings: Cells is %d and Reach %d", s.RingSize, s.ReplicationFactor)
	case s.Tick <= 0:
		return fmt.Errorf("settings: Tick is %d", s.Tick)
	case s.InstanceCount <= 0:
		return fmt.Errorf("settings: Fleet is %d", s.InstanceCount)
	case s.InstanceIndex < 0 || s.InstanceIndex >= s.InstanceCount:
		return fmt.Errorf("settings: Number is %d in a Fleet of %d", s.InstanceIndex, s.InstanceCount)
	}
	for i, c := range s.Classes {
		if c.LatencyObjective <= 0 || c.Timeout < c.LatencyObjective {
			return fmt.Errorf("settings: Classes[%d].Aim is %d and GiveUp %d", i, c.LatencyObjective, c.Timeout)
		}
		if !(c.RequiredCoverage > 0 && c.RequiredCoverage <= 1 && c.MinCoverage > 0 && c.MinCoverage <= c.RequiredCoverage) {
			return fmt.Errorf("settings: Classes[%d].Need is %v and Least %v", i, c.RequiredCoverage, c.MinCoverage)
		}
	}
	return nil
}

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
