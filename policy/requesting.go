package policy

import (
	"cmp"
	"slices"
)

const (
	// highLoadUtilization is the mean utilization of the servers' cores, 0 to 1, above which the fleet is under load.
	highLoadUtilization = 0.5

	// highLoadLatencyRatio is the multiple of the base latency above which the mean latency shows that the fleet is under
	// load.
	highLoadLatencyRatio = 3.0
)

// requestParts queues deferred parts until the requested parts suffice for a complete answer. It queues parts in
// descending order of weight, and those of equal weight in ascending order of predicted response time.
//
// If the query may crash servers, only its first part is queued until a part is answered. If the class accepts partial
// answers, the fleet is under load and a deferred part is light, parts beyond the minimum coverage are queued only while
// the query has light-part credits. A part is light if its weight is below the mean of the query's parts.
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
	isUnderLoad := a.fleetIsUnderLoad()
	for _, p := range deferred {
		if requested >= q.class.RequiredCoverage-coverageTolerance {
			return
		}
		minimumReached := allowsPartial && requested >= q.class.MinCoverage-coverageTolerance
		if minimumReached && hasLightParts && isUnderLoad && q.lightPartCredits <= 0 {
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

func (a *Aggregator) fleetIsUnderLoad() bool {
	return a.fleet.meanUtilization > highLoadUtilization || a.fleet.meanLatency > highLoadLatencyRatio*a.fleet.baseLatency
}
