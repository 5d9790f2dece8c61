package policy

import (
	"cmp"
	"slices"
)

// requestParts lets enough parts wait: all, or if fewer make a whole, those whose shards answer soonest. Where busy,
// light parts of a query that may be answered in part leave one for each quick answer.
func (a *Aggregator) requestParts(q *query) {
	if q.canaryFirst { // one part ahead
		q.parts[0].state = max(q.parts[0].state, partQueued)
		return
	}
	asked := 0.0
	partial := q.class.MinCoverage < q.class.RequiredCoverage
	var left []*part
	for _, p := range q.parts {
		if p.state == partDeferred {
			left = append(left, p)
		} else if p.state != partUnavailable && (partial || !a.isLate(p, replacementThreshold)) {
			asked += p.Weight
		}
	}
	slices.SortStableFunc(left, func(x, y *part) int {
		return cmp.Or(cmp.Compare(y.Weight, x.Weight), cmp.Compare(a.predictShardWait(x), a.predictShardWait(y)))
	})
	busy := a.meanUtilization > busyUtilization || a.meanLatency > lateThreshold*a.baseLatency
	for _, p := range left {
		ample := partial && asked >= q.class.MinCoverage-coverageTolerance
		light := left[len(left)-1].Weight*float64(len(q.parts)) < 1-coverageTolerance
		if asked >= q.class.RequiredCoverage-coverageTolerance || ample && light && busy && q.lightPartCredits <= 0 {
			return
		}
		p.state = partQueued
		asked += p.Weight
		if ample {
			q.lightPartCredits--
		}
	}
}
