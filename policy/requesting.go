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

// requestParts queues deferred parts until the requested parts suffice for a complete answer. It queues parts in
// descending order of weight, and those of equal weight in ascending order of predicted response time. If the class
// accepts partial answers, the servers are busy and some parts are light, parts beyond the minimum coverage are queued
// only one for each quick answer.
func (a *Aggregator) requestParts(q *query) {
	if q.canaryFirst {
		q.parts[0].state = max(q.parts[0].state, partQueued)
		return
	}
	deferred, requested := a.deferredParts(q)
	if len(deferred) == 0 {
		return
	}
	allowsPartial := q.allowsPartialAnswer()
	lightest := deferred[len(deferred)-1]
	hasLightParts := lightest.Weight*float64(len(q.parts)) < 1-coverageTolerance
	isBusy := a.serversAreBusy()
	for _, p := range deferred {
		if requested >= q.class.RequiredCoverage-coverageTolerance {
			return
		}
		minimumReached := allowsPartial && requested >= q.class.MinCoverage-coverageTolerance
		if minimumReached && hasLightParts && isBusy && q.lightPartCredits <= 0 {
			return
		}
		p.state = partQueued
		requested += p.Weight
		if minimumReached {
			q.lightPartCredits--
		}
	}
}

// deferredParts returns the deferred parts of a query in the order in which to request them, and the total weight of
// the parts already requested. Late parts count toward that weight only if the class accepts partial answers.
func (a *Aggregator) deferredParts(q *query) (deferred []*part, requested float64) {
	allowsPartial := q.allowsPartialAnswer()
	for _, p := range q.parts {
		switch {
		case p.state == partDeferred:
			deferred = append(deferred, p)
		case p.state != partUnavailable && (allowsPartial || !a.isLate(p, substituteLateThreshold)):
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
	return a.fleet.meanUtilization > busyUtilization || a.fleet.referenceLatency > busyLatencyRatio*a.fleet.baseLatency
}
