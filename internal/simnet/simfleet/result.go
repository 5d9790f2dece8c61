package simfleet

import (
	"math"

	"alderproxy/internal/simnet"
)

// minOffered avoids a division by zero if nothing was offered.
const minOffered = 1e-9

// Result is the result of a run. Offered, Served, Rejected, Failed and Late are sums of the queries' priority weights; in
// Served, the weight of a late query is multiplied by its class's LateWeight.
type Result struct {
	Offered, Served, Rejected, Failed float64
	// Late is the weight of the queries that were answered after the latency objective.
	Late float64
	// Queries and Parts count the queries and parts that were offered, Attempts the attempts, and Cancellations the policy's
	// CancelAttempt actions.
	Queries, Parts, Attempts, Cancellations int
	// HealthChecks, Connections, QueueFull, Work and Wasted are the sums of the stores' statistics.
	HealthChecks, Connections, QueueFull int
	Work, Wasted                         float64
	// OverloadedStores is the number of stores with StoreStats.Overloaded.
	OverloadedStores int
	// PeakOverload and ExcessParts are the maxima of StoreStats.PeakOverload and StoreStats.ExcessParts.
	PeakOverload, ExcessParts float64
	// Seconds contains a summary for each second of the run, to which a query belongs by its arrival.
	Seconds []Second
	// ServedFractionByClass is the served fraction of the offered weight, by class.
	ServedFractionByClass []float64
	Digest                uint64
}

// Second is the summary of one second of a run. Its fields are sums of priority weights, as in Result.
type Second struct {
	Offered  float64
	Served   float64
	Rejected float64
	Failed   float64
}

// ServedFraction returns the fraction of the offered weight that was served.
func (r Result) ServedFraction() float64 { return r.Served / math.Max(r.Offered, minOffered) }

// second returns the summary of the second that contains a time, which it adds if needed.
func (r *Result) second(at Micros) *Second {
	index := int((at - simnet.StartTime) / microsPerSecond)
	for len(r.Seconds) <= index {
		r.Seconds = append(r.Seconds, Second{})
	}
	return &r.Seconds[index]
}

// addStore adds the statistics of a store to the result.
func (r *Result) addStore(stats StoreStats) {
	r.HealthChecks += stats.HealthChecks
	r.Connections += stats.Connections
	r.QueueFull += stats.QueueFull
	r.Work += stats.Work
	r.Wasted += stats.Wasted
	r.PeakOverload = max(r.PeakOverload, stats.PeakOverload)
	r.ExcessParts = max(r.ExcessParts, stats.ExcessParts)
	if stats.Overloaded {
		r.OverloadedStores++
	}
}

// queryOutcome is the outcome of a query.
type queryOutcome int

const (
	outcomeServed queryOutcome = iota
	outcomeFailed
	outcomeRejected
)
