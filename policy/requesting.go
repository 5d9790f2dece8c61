package policy

import (
	"cmp"
	"slices"
)

const (
	// busyUtilization is the mean utilization of the servers' cores, 0 to 1, above which they count as busy.
	busyUtilization = 0.5

	// busyLatencyRatio is the multiple of the base latency above which the mean latency shows that servers are busy.
	busyLatencyRatio = 3.0
)

// requestParts queues deferred parts until those requested suffice for a complete answer, the heaviest first and
// among equals those with the shortest predicted wait. Where a partial answer is allowed and the servers are busy,
// a light part beyond the minimum coverage is queued only for each quick answer.
func (a *Aggregator) requestParts(q *query) {
	if q.canaryFirst {
		q.parts[0].state = max(q.parts[0].state, partQueued)
		return
	}
	deferred, requested := a.deferredParts(q)
	if len(deferred) == 0 {
		return
	}
	partial := q.allowsPartialAnswer()
	lightest := deferred[len(deferred)-1]
	hasLightParts := lightest.Weight*float64(len(q.parts)) < 1-coverageTolerance
	isBusy := a.serversAreBusy()
	for _, p := range deferred {
		if requested >= q.class.RequiredCoverage-coverageTolerance {
			return
		}
		suffices := partial && requested >= q.class.MinCoverage-coverageTolerance
		if suffices && hasLightParts && isBusy && q.lightPartCredits <= 0 {
			return
		}
		p.state = partQueued
		requested += p.Weight
		if suffices {
			q.lightPartCredits--
		}
	}
}

// deferredParts returns the deferred parts of a query in the order in which to request them, and the weight of
// the parts requested before. Late parts don't count unless a partial answer is allowed.
func (a *Aggregator) deferredParts(q *query) (deferred []*part, requested float64) {
	partial := q.allowsPartialAnswer()
	for _, p := range q.parts {
		switch {
		case p.state == partDeferred:
			deferred = append(deferred, p)
		case p.state != partUnavailable && (partial || !a.isLate(p, substituteLateThreshold)):
			requested += p.Weight
		}
	}
	slices.SortStableFunc(deferred, func(x, y *part) int {
		return cmp.Or(
			cmp.Compare(y.Weight, x.Weight),
			cmp.Compare(a.predictPartResponseTime(x), a.predictPartResponseTime(y)),
		)
	})
	return deferred, requested
}

func (a *Aggregator) serversAreBusy() bool {
	return a.fleet.meanUtilization > busyUtilization || a.fleet.meanLatency > busyLatencyRatio*a.fleet.baseLatency
}
