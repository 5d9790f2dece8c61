package simfleet

import (
	"math"

	"alderproxy/internal/simnet"
)

// minOffered avoids divisions by zero where nothing was offered.
const minOffered = 1e-9

// Result sums up a run. Asked, Served, Rejected, Failed and Late are sums of the queries' priority weights.
type Result struct {
	Offered, Served, Rejected, Failed float64
	// Late is what was answered after the latency objective.
	Late float64
	// Queries and Parts were offered; Sends are the attempts, and Cancellations those that were canceled.
	Queries, Parts, Attempts, Cancellations int
	// HealthChecks, Connections and QueueFull are the sums of the stores' statistics.
	HealthChecks, Connections, QueueFull int
	Work, Wasted                         float64
	// OverloadedStores is the number of stores that were overloaded during their slow start.
	OverloadedStores int
	// PeakOverload and ExcessParts are the maxima of StoreStats.PeakOverload and StoreStats.ExcessParts.
	PeakOverload, ExcessParts float64
	// Seconds are the seconds of the run, by the arrival of the queries.
	Seconds []Second
	// ServedFractionByClass is the fraction of the offered weight that was served, by class.
	ServedFractionByClass []float64
	Digest                uint64
}

// Second is one second of a run, in sums of priority weights.
type Second struct {
	Offered  float64
	Served   float64
	Rejected float64
	Failed   float64
}

// ServedFraction returns the fraction of the offered weight that was served.
func (r Result) ServedFraction() float64 { return r.Served / math.Max(r.Offered, minOffered) }

// second returns the second of a result in which a time lies.
func (r *Result) second(at Micros) *Second {
	index := int((at - simnet.StartTime) / microsPerSecond)
	for len(r.Seconds) <= index {
		r.Seconds = append(r.Seconds, Second{})
	}
	return &r.Seconds[index]
}

// addStore adds the statistics of a store.
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

// queryOutcome is how a query ended.
type queryOutcome int

const (
	outcomeServed queryOutcome = iota
	outcomeFailed
	outcomeRejected
)
