package policy

import (
	"math"
	"slices"
)

const (
	// fanOutGain is the gain of a class's mean fan-out, 0 to 1.
	fanOutGain = 0.1

	// priorityHeadStartFraction is the share of its latency objective that a query of the highest priority is dispatched
	// ahead of its arrival.
	priorityHeadStartFraction = 0.2

	// lowestPriorityTimeFraction is the share of the time to its objective that a query of the lowest priority may be
	// predicted to wait. A query of the highest priority may wait all of it.
	lowestPriorityTimeFraction = 0.4

	// minAnswersForRejection is the number of answers before a class's statistics may reject its queries.
	minAnswersForRejection = 10.0

	// maxPredictedFailureRate is the failure rate, 0 to 1, that a predicted wait assumes at most.
	maxPredictedFailureRate = 0.8
)

// admit requests the parts of a new query, or rejects it if the replicas are saturated and an answer in time is
// unlikely. Classes of low priority are rejected earlier. A class whose queries overload made late is paced: fewer
// of its queries are admitted with each of them, until answers come in time again.
func (a *Aggregator) admit(q *query) {
	q.awaitsAdmission = false
	c := q.class
	smooth(&c.meanFanOut, float64(len(q.parts)), fanOutGain)
	priority := a.relativePriority(c)
	q.dispatchAt = q.arrivedAt - Micros(priorityHeadStartFraction*priority*float64(c.LatencyObjective))
	q.predictedResponseTime = a.predictResponseTime(q)
	if len(q.parts) == 0 || math.IsInf(q.predictedResponseTime, 1) || a.shouldShed(q, priority) {
		a.rejectOrFail(q)
		return
	}
	c.lastAdmittedAt = a.now
	q.canaryFirst = a.mayCrashServers(q)
	a.requestParts(q)
}

// shouldShed reports whether a query is unlikely to be answered in time because its replicas are saturated. Once
// in a while it reports false for a class all the same, so that the class's statistics are renewed.
func (a *Aggregator) shouldShed(q *query, priority float64) bool {
	c := q.class
	trialInterval := Micros(a.meanLatencyObjective) << min(c.overloadCount, maxBackoffDoublings)
	if c.answerCount < minAnswersForRejection || a.now-c.lastAdmittedAt >= trialInterval {
		return false
	}
	remaining := float64(min(q.objectiveDeadline, q.Deadline) - a.now)
	acceptableWait := remaining * (lowestPriorityTimeFraction + (1-lowestPriorityTimeFraction)*priority)
	isLate := q.predictedResponseTime > acceptableWait || q.predictedResponseTime*c.responseTimeRatio > remaining
	return (isLate || c.overloadCount > 0) && a.mayBeSaturated(q)
}

// mayBeSaturated reports whether a part of the query finds no capacity, or own capacity says nothing about that.
func (a *Aggregator) mayBeSaturated(q *query) bool {
	hasNoCapacity := func(p *part) bool { return !slices.ContainsFunc(a.replicas[p.Shard], a.hasCapacity) }
	return a.concurrencyIsOversubscribed() || slices.ContainsFunc(q.parts, hasNoCapacity)
}

// relativePriority returns a class's priority per unit of work, as a share of the highest one among the classes.
func (a *Aggregator) relativePriority(c *class) float64 {
	highest := 0.0
	for _, other := range a.classes {
		highest = max(highest, other.priorityPerWork())
	}
	return c.priorityPerWork() / max(highest, math.SmallestNonzeroFloat64)
}

func (c *class) priorityPerWork() float64 {
	return c.PriorityWeight / (c.referenceLatency * c.meanFanOut * c.RequiredCoverage)
}

// predictResponseTime returns the predicted wait, in microseconds, for the slowest of the parts that a complete answer
// needs at least.
func (a *Aggregator) predictResponseTime(q *query) float64 {
	waits := make([]float64, 0, len(q.parts))
	for _, p := range q.parts {
		waits = append(waits, a.predictPartResponseTime(p))
	}
	slices.Sort(waits)
	required := int(math.Ceil(q.class.RequiredCoverage*float64(len(waits)) - coverageTolerance))
	if required <= 0 {
		return 0
	}
	return waits[required-1]
}

// predictPartResponseTime returns the time in microseconds that a part is predicted to take at its best replica, behind
// the parts that are queued for its shard. It is infinite without a replica.
func (a *Aggregator) predictPartResponseTime(p *part) float64 {
	best := math.Inf(1)
	for _, s := range a.replicas[p.Shard] {
		backoff := float64(max(0, s.backoffUntil-a.now))
		best = min(best, a.predictLatencyWithRetries(s, p)+backoff+a.slowStartWait(s))
	}
	return best * (1 + a.queuedParts[p.Shard]/(a.concurrencyLimit()*float64(a.settings.ReplicationFactor)))
}

// predictLatencyWithRetries returns the predicted latency of a part, in microseconds, if it is retried until it
// succeeds. In place of the penalty that failures cost in the ranking it counts the time of the retries.
func (a *Aggregator) predictLatencyWithRetries(s *server, p *part) float64 {
	failureRate := min(a.decayedFailureRate(s), maxPredictedFailureRate)
	return a.predictLatency(s, p) * a.currentLatencyRatio(s) / a.slowness(s) / (1 - failureRate)
}
