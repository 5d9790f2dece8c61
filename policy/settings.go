package policy

import "fmt"

// maxShards is the largest number of shards that an aggregator keeps state for.
const maxShards = 1 << 20

// Micros is a duration or a point in time in microseconds; see the package comment.
type Micros = int64

// Idempotency says whether a server may execute a part more than once.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may be executed any number of times
	IdempotentByKey                    // servers drop duplicates within Class.DeduplicationWindow
	NonIdempotent                      // must not be executed twice
)

// Class describes one class of queries.
type Class struct {
	Name string

	// LatencyObjective is the time from a query's arrival within which an answer earns the full weight.
	LatencyObjective Micros

	// Timeout is how long a client waits in all, over all its tries.
	Timeout Micros

	// PriorityWeight is the value of a complete answer within the latency objective.
	PriorityWeight float64

	// LateWeight is the share of the value, 0 to 1, that an answer past the latency objective earns.
	LateWeight float64

	// Idempotency is that of the class's parts.
	Idempotency Idempotency

	// DeduplicationWindow is how long servers drop duplicates, from the first attempt that may have run. It applies
	// to IdempotentByKey.
	DeduplicationWindow Micros

	// MinCoverage is the share of the parts' weight, 0 to 1, that any answer needs.
	MinCoverage float64

	// RequiredCoverage is the share of the parts' weight, 0 to 1, that a complete answer needs.
	RequiredCoverage float64

	// PartialWeight is the value of a partial answer: this times its coverage over RequiredCoverage.
	PartialWeight float64

	// FetchParts is the number of parts of the fetch phase, which follows the first answer, at most; 0 if there is
	// no such phase.
	FetchParts int
}

// Tenant is one of the customers that share the servers.
type Tenant struct {
	Name string

	// QueriesPerSecond is the tenant's quota over all aggregators; 0 if it is unlimited.
	QueriesPerSecond float64
}

// Settings is what an aggregator knows from the start; New checks it.
//
// The decisions do not use Tenants, OverQuotaWeight, Zone, ServersCacheKeys, MaxOpen, SendRetryAfter,
// LoadReportsOnHealthChecksOnly, AnswerSlack, DrainGrace, PriceCrossZone and Class.PartialWeight: they are stricter
// than the slack and the grace period, leave MaxOpen and SendRetryAfter to the owner, and take every replica at its
// measured latency.
type Settings struct {
	// InstanceIndex is this aggregator's index among the InstanceCount ones that share the servers.
	InstanceIndex int
	InstanceCount int

	// Tick is the resolution of the owner's timers.
	Tick Micros

	Classes []Class
	Tenants []Tenant

	// OverQuotaWeight is the share of its value, 0 to 1, that a query beyond its tenant's quota earns.
	OverQuotaWeight float64

	// Zone is the index of this aggregator's zone.
	Zone int

	// Shards is the number of shards. Shard s is held by the servers at the ring positions (s+i) mod RingSize for i
	// from 0 to ReplicationFactor-1.
	Shards            int
	RingSize          int
	ReplicationFactor int

	// MaxBatchSize is the number of parts that may share one call to a server.
	MaxBatchSize int

	// BatchOverhead is the work that a call costs beside its parts.
	BatchOverhead Micros

	// ServersCacheKeys says that a server does less work for a key that it has met recently.
	ServersCacheKeys bool

	// MaxAttempts limits the attempts at a part; 0 if they are unlimited.
	MaxAttempts int

	// MaxOpen limits the open queries and parts; 0 if they are unlimited. The owner rejects queries beyond it.
	MaxOpen int

	// AllowHedging permits a second attempt at a part while the first one is in flight.
	AllowHedging bool

	AllowCancel       bool
	AllowHealthChecks bool

	// SendRetryAfter says that Reject.RetryAfter reaches the client.
	SendRetryAfter bool

	// MaxRetryAfter is the longest such time that clients honor.
	MaxRetryAfter Micros

	// LoadReportsOnHealthChecksOnly says that servers send load reports only with the results of health checks.
	LoadReportsOnHealthChecksOnly bool

	// PollEndpoints says that the endpoint list arrives only after a PollEndpoints action.
	PollEndpoints bool

	// MaxPollInterval is the time since its last poll, failed ones included, after which an aggregator counts as
	// knowing the endpoint list. It limits the backoff of polls; 0 if there is no limit.
	MaxPollInterval Micros

	// AnswerSlack is the time past a query's deadline that its final action may come at the latest.
	AnswerSlack Micros

	// DrainGrace is the time for which attempts may still be sent to a server that drains.
	DrainGrace Micros

	// SlowStartFraction is the share of its capacity, 0 to 1, that a server has at least when it starts, and
	// SlowStartDuration is when it has all of it at the latest.
	SlowStartFraction float64
	SlowStartDuration Micros

	// OverloadFactor is the multiple of its capacity that crashes a warming server if it is exceeded for
	// OverloadDuration; 0 if servers bear any load.
	OverloadFactor   float64
	OverloadDuration Micros

	// RetryBudgetWindow is the time over which retries are limited; 0 if there is no retry budget. Within it, the
	// retries may be RetryBudgetMinimum plus the share RetryBudgetRatio of the accepted queries and parts.
	RetryBudgetWindow  Micros
	RetryBudgetMinimum float64
	RetryBudgetRatio   float64

	// CrossZonePrice and PriceHealthCheck are the prices of a part sent to another zone and of a health check, in
	// units of the value that a part earns.
	CrossZonePrice   float64
	HealthCheckPrice float64
}

// InvalidSettingError says that an aggregator can't work with its settings.
type InvalidSettingError struct {
	// Field is the first invalid field of Settings, for example "Classes[0].LatencyObjective".
	Field string

	// Problem says what is wrong, for example "is 0".
	Problem string
}

// Error returns a line that names the field.
func (e *InvalidSettingError) Error() string { return "settings: " + e.Field + " " + e.Problem }

func invalidSetting(field, format string, values ...any) error {
	return &InvalidSettingError{Field: field, Problem: fmt.Sprintf(format, values...)}
}

// Validate returns an *InvalidSettingError if an aggregator can't work with the settings.
func (s Settings) Validate() error {
	switch {
	case len(s.Classes) == 0:
		return invalidSetting("Classes", "is empty")
	case s.Shards <= 0 || s.Shards > maxShards:
		return invalidSetting("Shards", "is %d", s.Shards)
	case s.RingSize <= 0 || s.ReplicationFactor <= 0 || s.ReplicationFactor > s.RingSize:
		return invalidSetting("ReplicationFactor", "is %d at a RingSize of %d", s.ReplicationFactor, s.RingSize)
	case s.Tick <= 0:
		return invalidSetting("Tick", "is %d", s.Tick)
	case s.InstanceCount <= 0:
		return invalidSetting("InstanceCount", "is %d", s.InstanceCount)
	case s.InstanceIndex < 0 || s.InstanceIndex >= s.InstanceCount:
		return invalidSetting("InstanceIndex", "is %d at an InstanceCount of %d", s.InstanceIndex, s.InstanceCount)
	}
	for i, class := range s.Classes {
		if err := class.validate(fmt.Sprintf("Classes[%d].", i)); err != nil {
			return err
		}
	}
	return nil
}

// validate returns an *InvalidSettingError whose field begins with the prefix.
func (c Class) validate(prefix string) error {
	if c.LatencyObjective <= 0 || c.Timeout < c.LatencyObjective {
		return invalidSetting(prefix+"LatencyObjective", "is %d at a Timeout of %d", c.LatencyObjective, c.Timeout)
	}
	isRequiredValid := c.RequiredCoverage > 0 && c.RequiredCoverage <= 1
	isMinimumValid := c.MinCoverage > 0 && c.MinCoverage <= c.RequiredCoverage
	if !isRequiredValid || !isMinimumValid {
		return invalidSetting(prefix+"MinCoverage", "is %v at a RequiredCoverage of %v", c.MinCoverage, c.RequiredCoverage)
	}
	return nil
}
