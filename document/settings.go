package document

import (
	"time"

	"alderproxy/inifile"
	"alderproxy/policy"
)

const (
	tickInterval = 5 * time.Millisecond   // resolution of the broker's timers
	answerSlack  = 4 * tickInterval       // maximum time after its deadline at which a query is answered
	drainGrace   = 500 * time.Millisecond // time for which attempts may still be sent to a store that drains
	maxBatchSize = 1                      // maximum number of parts in a call to a store
)

// Settings returns the settings of package policy for the instance with the given index among count instances that
// share the load.
func (d *Document) Settings(index, count int) policy.Settings {
	limits := d.Limits
	settings := policy.Settings{
		InstanceIndex:     index,
		InstanceCount:     count,
		Tick:              toMicros(tickInterval),
		Classes:           d.Classes,
		Tenants:           d.policyTenants(),
		Shards:            d.Layout.Shards,
		RingSize:          d.Layout.RingSize,
		ReplicationFactor: d.Layout.ReplicationFactor,
		MaxBatchSize:      maxBatchSize,
		MaxAttempts:       limits.MaxAttempts,
		MaxOpen:           limits.MaxOpen,
		AllowHedging:      limits.AllowHedging,
		AllowCancel:       limits.AllowCancel,
		SendRetryAfter:    limits.MaxRetryAfter > 0,
		MaxRetryAfter:     toMicros(limits.MaxRetryAfter),
		AnswerSlack:       toMicros(answerSlack),
		DrainGrace:        toMicros(drainGrace),
	}
	if limits.SlowStartDuration > 0 {
		settings.SlowStartDuration = toMicros(limits.SlowStartDuration)
		settings.SlowStartFraction = limits.SlowStartFraction
		settings.OverloadFactor = limits.OverloadFactor
		settings.OverloadDuration = toMicros(limits.OverloadDuration)
	}
	if ratio := d.retryBudgetRatio(); ratio > 0 {
		settings.RetryBudgetWindow = toMicros(limits.RetryBudgetWindow)
		settings.RetryBudgetRatio = ratio
		settings.RetryBudgetMinimum = limits.RetryBudgetMinimum
	}
	return settings
}

func (d *Document) policyTenants() []policy.Tenant {
	var tenants []policy.Tenant
	for _, t := range d.Tenants {
		tenants = append(tenants, policy.Tenant{Name: t.Name, QueriesPerSecond: t.QueriesPerSecond})
	}
	return tenants
}

// retryBudgetRatio returns the ratio of the one retry budget that package policy keeps: the limits' own ratio, or else
// the mean of the tenants' ratios, weighted by their quotas. A tenant without a quota, or with one below 1 query/s, has
// weight 1.
func (d *Document) retryBudgetRatio() float64 {
	if d.Limits.RetryBudgetRatio > 0 {
		return d.Limits.RetryBudgetRatio
	}
	sum, weights := 0.0, 0.0
	for _, t := range d.Tenants {
		weight := max(t.QueriesPerSecond, 1)
		sum += weight * t.RetryRatio
		weights += weight
	}
	if weights == 0 {
		return 0
	}
	return sum / weights
}

// Overlay returns base with its classes replaced by the document's classes of the same names. MaxFetchParts stays that
// of base. It fails with an inifile.Fault if the document gives one of these classes another idempotency than base.
func (d *Document) Overlay(base policy.Settings) (policy.Settings, error) {
	classes := make([]policy.Class, len(base.Classes))
	for i, baseClass := range base.Classes {
		classes[i] = baseClass
		documentClass, found := d.Class(baseClass.Name)
		if !found {
			continue
		}
		if documentClass.Idempotency != baseClass.Idempotency {
			return base, inifile.Fault{
				File:     "agreed document",
				Location: "class " + baseClass.Name + ".effect",
				Message:  "differs from the effect in the platform's configuration: the two must be equal",
			}
		}
		documentClass.MaxFetchParts = baseClass.MaxFetchParts
		classes[i] = documentClass
	}
	base.Classes = classes
	return base, nil
}
