package policy

import (
	"math"
	"slices"
)

// admit refuses a query whose slowest needed shard can't answer by its aim, and sooner the less it is worth.
// Those that full servers made late let ever fewer of their class in, until the jam has drained.
func (a *Aggregator) admit(q *query) {
	q.awaitsAdmission = false
	c := q.class
	c.meanFanOut += 0.1 * (float64(len(q.parts)) - c.meanFanOut)
	worth := a.priorityPerWork(c)
	q.dispatchAt = q.arrivedAt - Micros(priorityHeadStart*worth*float64(c.LatencyObjective))
	waits := make([]float64, 0, len(q.parts))
	for _, p := range q.parts {
		waits = append(waits, a.predictShardWait(p))
	}
	slices.Sort(waits)
	if n := int(math.Ceil(c.RequiredCoverage*float64(len(waits)) - coverageTolerance)); n > 0 {
		q.predictedWait = waits[n-1]
	}
	left := float64(min(q.objectiveAt, q.Deadline) - a.now)
	hopeless := q.predictedWait > left*(lowestPriorityWaitShare+(1-lowestPriorityWaitShare)*worth) || q.predictedWait*c.latencyRatio > left || c.overloadCount > 0
	known := c.answers >= minAnswersForAdmission && a.now-c.lastAdmittedAt < Micros(a.meanObjective)<<min(c.overloadCount, maxBackoffDoublings) // else one is let in
	if len(q.parts) == 0 || math.IsInf(q.predictedWait, 1) || known && hopeless && a.isSaturated(q) {
		a.rejectOrFail(q)
		return
	}
	c.lastAdmittedAt = a.now
	q.canaryFirst = a.now < a.crashSuspectUntil && (q.Retry || q.Key != 0 && q.Key == a.crashSuspectKey)
	a.requestParts(q)
}

// isSaturated tells whether a part finds no room, or so many share the servers that own room says nothing.
func (a *Aggregator) isSaturated(q *query) bool {
	full := func(p *part) bool { return !slices.ContainsFunc(a.replicas[p.Shard], a.hasCapacity) }
	return minConcurrencyLimit*float64(a.settings.InstanceCount) > 2*fleetConcurrencyLimit || slices.ContainsFunc(q.parts, full)
}

// priorityPerWork is a class's worth for the work it needs, against the best class's.
func (a *Aggregator) priorityPerWork(c *class) float64 {
	value := func(c *class) float64 {
		return c.PriorityWeight / (c.referenceLatency * c.meanFanOut * c.RequiredCoverage)
	}
	top := 0.0
	for _, o := range a.classes {
		top = max(top, value(o))
	}
	return value(c) / max(top, math.SmallestNonzeroFloat64)
}

// predictShardWait predicts how long a part would take behind those that wait. Cold replicas have room in turns.
func (a *Aggregator) predictShardWait(p *part) float64 {
	best := math.Inf(1)
	for _, s := range a.replicas[p.Shard] {
		full := float64(max(0, s.backoffUntil-a.now))
		// What fails is asked for again: that takes time, but far less than the charge by which it ranks.
		again := a.predictLatency(s, p) * a.latencyRatio(s) / a.slowness(s) / (1 - min(a.decayedFailureRate(s), maxPredictedFailureRate))
		best = min(best, again+full+a.slowStartWait(s))
	}
	return best * (1 + a.queuedParts[p.Shard]/(a.concurrencyLimit()*float64(a.settings.ReplicationFactor)))
}
