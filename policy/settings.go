package policy

import "fmt"

// maxShards is the maximum number of shards that an aggregator keeps state for.
const maxShards = 1 << 20

// Micros is a duration or a point in time in microseconds; see the package comment.
type Micros = int64

// Idempotency specifies whether a server may execute a part more than once.
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

	// LatencyObjective is the time from a query's arrival within which an answer earns its full value.
	LatencyObjective Micros

	// Timeout is the total time that a client waits for an answer, over all its tries.
	Timeout Micros

	// PriorityWeight is the value of a complete answer within the latency objective.
	PriorityWeight float64

	// LateWeight is the share of the value, 0 to 1, that an answer past the latency objective earns.
	LateWeight float64

	// Idempotency applies to each part of the class's queries.
	Idempotency Idempotency

	// DeduplicationWindow is the time for which servers drop duplicates, from the first attempt that may have run. It
	// applies to IdempotentByKey.
	DeduplicationWindow Micros

	// MinCoverage is the minimum coverage of any answer. Coverage is the share of the parts' weight, 0 to 1, that is
	// answered.
	MinCoverage float64

	// RequiredCoverage is the minimum coverage of a complete answer.
	RequiredCoverage float64

	// PartialWeight determines the value of a partial answer, which is PartialWeight * coverage / RequiredCoverage.
	PartialWeight float64

	// MaxFetchParts is the maximum number of parts in the fetch phase, which follows the first Answer; 0 if there is no
	// fetch phase.
	MaxFetchParts int
}

// Tenant is one of the customers that share the servers.
type Tenant struct {
	Name string

	// QueriesPerSecond is the tenant's quota over all aggregators; 0 if it is unlimited.
	QueriesPerSecond float64
}

// Settings configures an aggregator. New and Reconfigure validate it.
//
// The decisions do not depend on Tenants, OverQuotaWeight, Zone, ServersCacheKeys, MaxOpen, SendRetryAfter,
// LoadReportsOnHealthChecksOnly, AnswerSlack, DrainGrace, CrossZonePrice and Class.PartialWeight: they are stricter than
// AnswerSlack and DrainGrace require, leave MaxOpen and SendRetryAfter to the owner, and judge each replica by its
// measured latency.
type Settings struct {
	// InstanceIndex is this aggregator's index among the InstanceCount aggregators that share the servers.
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

	// Shards is the number of shards. The servers at the ring positions (s+i) mod RingSize, for i from 0 to
	// ReplicationFactor-1, hold shard s.
	Shards            int
	RingSize          int
	ReplicationFactor int

	// MaxBatchSize is the maximum number of parts in one call to a server.
	MaxBatchSize int

	// BatchOverhead is the work that a call costs in addition to its parts.
	BatchOverhead Micros

	// ServersCacheKeys indicates that a server does less work for a part whose affinity key it has seen recently.
	ServersCacheKeys bool

	// MaxAttempts is the maximum number of attempts at a part; 0 if unlimited.
	MaxAttempts int

	// MaxOpen is the maximum number of open queries and parts, counted together; 0 if unlimited. The owner rejects
	// queries beyond it.
	MaxOpen int

	// AllowHedging permits hedged requests: a second attempt at a part while the first one is in flight.
	AllowHedging bool

	AllowCancel       bool
	AllowHealthChecks bool

	// SendRetryAfter indicates that the owner sends Reject.RetryAfter to the client.
	SendRetryAfter bool

	// MaxRetryAfter is the maximum Reject.RetryAfter that clients honor.
	MaxRetryAfter Micros

	// LoadReportsOnHealthChecksOnly indicates that servers send load reports only with the results of health checks.
	LoadReportsOnHealthChecksOnly bool

	// PollEndpoints indicates that the endpoint list arrives only after a PollEndpoints action.
	PollEndpoints bool

	// MaxPollInterval is the time after its last poll, failed polls included, from which an aggregator is expected to
	// know the endpoint list. It limits the backoff between polls; 0 if there is no limit.
	MaxPollInterval Micros

	// AnswerSlack is the maximum time after a query's deadline at which its final action may come.
	AnswerSlack Micros

	// DrainGrace is the time for which attempts may still be sent to a draining server.
	DrainGrace Micros

	// SlowStartFraction is the minimum share of its capacity, 0 to 1, that a server has when it starts, and
	// SlowStartDuration the maximum time until it has all of it.
	SlowStartFraction float64
	SlowStartDuration Micros

	// OverloadFactor is the multiple of its current capacity that crashes a warming server if the load exceeds it for
	// OverloadDuration; 0 if no load crashes servers.
	OverloadFactor   float64
	OverloadDuration Micros

	// RetryBudgetWindow is the length of the sliding window in which retries are limited; 0 if there is no retry
	// budget. The maximum number of retries in the window is RetryBudgetMinimum plus RetryBudgetRatio times the number
	// of accepted queries and parts.
	RetryBudgetWindow  Micros
	RetryBudgetMinimum float64
	RetryBudgetRatio   float64

	// CrossZonePrice and HealthCheckPrice are the costs of a part sent to another zone and of a health check, in units
	// of the value that a part earns.
	CrossZonePrice   float64
	HealthCheckPrice float64
}

// InvalidSettingError reports a field of Settings that is missing or out of range.
type InvalidSettingError struct {
	// Field is the first invalid field of Settings, for example "Classes[0].LatencyObjective".
	Field string

	// Problem describes the invalid value, for example "is 0, must be positive".
	Problem string
}

// Error returns a message of one line that names the field.
func (e *InvalidSettingError) Error() string { return "settings: " + e.Field + " " + e.Problem }

func invalidSetting(field, format string, args ...any) error {
	return &InvalidSettingError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// Validate returns an *InvalidSettingError for the first invalid field, or nil if there is none.
func (s Settings) Validate() error {
	switch {
	case len(s.Classes) == 0:
		return invalidSetting("Classes", "is empty")
	case s.Shards <= 0 || s.Shards > maxShards:
		return invalidSetting("Shards", "is %d, must be from 1 to %d", s.Shards, maxShards)
	case s.RingSize <= 0 || s.ReplicationFactor <= 0 || s.ReplicationFactor > s.RingSize:
		return invalidSetting("ReplicationFactor", "is %d with RingSize %d, must be from 1 to RingSize",
			s.ReplicationFactor, s.RingSize)
	case s.Tick <= 0:
		return invalidSetting("Tick", "is %d, must be positive", s.Tick)
	case s.InstanceCount <= 0:
		return invalidSetting("InstanceCount", "is %d, must be positive", s.InstanceCount)
	case s.InstanceIndex < 0 || s.InstanceIndex >= s.InstanceCount:
		return invalidSetting("InstanceIndex", "is %d with InstanceCount %d, must be from 0 to InstanceCount-1",
			s.InstanceIndex, s.InstanceCount)
	}
	for i, class := range s.Classes {
		if err := class.validate(fmt.Sprintf("Classes[%d].", i)); err != nil {
			return err
		}
	}
	return nil
}

// validate returns an *InvalidSettingError, whose Field begins with the prefix, if the class is invalid.
func (c Class) validate(prefix string) error {
	if c.LatencyObjective <= 0 || c.Timeout < c.LatencyObjective {
		return invalidSetting(prefix+"LatencyObjective", "is %d with Timeout %d, must be from 1 to Timeout",
			c.LatencyObjective, c.Timeout)
	}
	isRequiredValid := c.RequiredCoverage > 0 && c.RequiredCoverage <= 1
	isMinimumValid := c.MinCoverage > 0 && c.MinCoverage <= c.RequiredCoverage
	if !isRequiredValid || !isMinimumValid {
		return invalidSetting(prefix+"MinCoverage",
			"is %v with RequiredCoverage %v, must be 0 < MinCoverage <= RequiredCoverage <= 1",
			c.MinCoverage, c.RequiredCoverage)
	}
	return nil
}
