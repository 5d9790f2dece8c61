package policy

import "fmt"

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
