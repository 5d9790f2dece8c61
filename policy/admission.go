package policy

import (
	"math"
	"slices"
)

const (
	// fanOutGain is the gain, 0 to 1, of a class's mean fan-out.
	fanOutGain = 0.1

	// priorityHeadStartFraction is the head start in the order of dispatch that a query of relative priority 1 gets, as a
	// fraction of its class's latency objective. Others get a head start in proportion to their relative priority.
	priorityHeadStartFraction = 0.2

	// lowestPriorityTimeFraction is the fraction of the remaining time that the predicted response time of a query of
	// relative priority 0 may take. At relative priority 1 it may take all of that time. The remaining time ends with the
	// latency objective or with the client's deadline, whichever comes first.
	lowestPriorityTimeFraction = 0.4

	// minAnswersForRejection is the number of answers that the statistics of a class must be based on before queries
	// are rejected because of them.
	minAnswersForRejection = 10.0

	// maxPredictedFailureRate is the maximum failure rate, 0 to 1, that predictions of response times assume.
	maxPredictedFailureRate = 0.8
)

// admit requests the parts of a new query or rejects the query. A query is rejected if it has no parts, if too few of
// its parts have a replica for a complete answer, or if shouldShed reports true.
func (a *Aggregator) admit(q *query) {
	q.awaitsAdmission = false
	c := q.class
	smooth(&c.meanFanOut, float64(len(q.parts)), fanOutGain)
	priority := a.relativePriority(c)
	q.dispatchSortKey = q.arrivedAt - Micros(priorityHeadStartFraction*priority*float64(c.LatencyObjective))
	q.predictedResponseTime = a.predictResponseTime(q)
	if len(q.parts) == 0 || math.IsInf(q.predictedResponseTime, 1) || a.shouldShed(q, priority) {
		a.rejectOrFail(q)
		return
	}
	c.lastAdmittedAt = a.now
	q.canaryFirst = a.mayCrashServers(q)
	a.requestParts(q)
}

// shouldShed reports whether a query should be rejected because of overload: its replicas may be saturated, and either
// an answer in time is unlikely or the overload count of its class is not 0. Queries of low priority are rejected
// earlier. Each query that is late because of overload reduces the admissions of its class, and each answer in time
// raises them again.
//
// If no query of the class was admitted for a trial interval, the next one is not rejected, so that the class's
// statistics are refreshed. The interval is the mean latency objective, doubled for each query in the overload count up
// to maxBackoffDoublings times.
func (a *Aggregator) shouldShed(q *query, priority float64) bool {
	c := q.class
	trialInterval := Micros(a.meanLatencyObjective) << min(c.overloadCount, maxBackoffDoublings)
	if c.answerCount < minAnswersForRejection || a.now-c.lastAdmittedAt >= trialInterval {
		return false
	}
	remaining := float64(min(q.objectiveDeadline, q.Deadline) - a.now)
	acceptableTime := remaining * (lowestPriorityTimeFraction + (1-lowestPriorityTimeFraction)*priority)
	isLate := q.predictedResponseTime > acceptableTime || q.predictedResponseTime*c.responseTimeRatio > remaining
	return (isLate || c.overloadCount > 0) && a.mayBeSaturated(q)
}

// mayBeSaturated reports whether the shard of at least one of the query's parts has no replica with capacity. It also
// reports true if the aggregator's own attempts in flight say nothing about the servers' load.
func (a *Aggregator) mayBeSaturated(q *query) bool {
	hasNoCapacity := func(p *part) bool { return !slices.ContainsFunc(a.replicas[p.Shard], a.hasCapacity) }
	return a.concurrencyIsOversubscribed() || slices.ContainsFunc(q.parts, hasNoCapacity)
}

// relativePriority returns a class's priority per unit of work relative to the highest one among the classes, 0 to 1.
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

// predictResponseTime returns the predicted time, in microseconds, until enough parts of a query are answered for a
// complete answer. It assumes that the parts have equal weights. The time is infinite if too few parts have a replica.
func (a *Aggregator) predictResponseTime(q *query) float64 {
	times := make([]float64, 0, len(q.parts))
	for _, p := range q.parts {
		times = append(times, a.predictPartResponseTime(p))
	}
	slices.Sort(times)
	required := int(math.Ceil(q.class.RequiredCoverage*float64(len(times)) - coverageTolerance))
	if required <= 0 {
		return 0
	}
	return times[required-1]
}

// predictPartResponseTime returns the predicted time, in microseconds, until the best replica answers a part,
// including the time in the queue of the part's shard. It is infinite if the shard has no replica.
func (a *Aggregator) predictPartResponseTime(p *part) float64 {
	best := math.Inf(1)
	for _, s := range a.replicas[p.Shard] {
		backoff := float64(max(0, s.backoffUntil-a.now))
		best = min(best, a.predictLatencyWithRetries(s, p)+backoff+a.slowStartWait(s))
	}
	return best * (1 + a.queuedParts[p.Shard]/(a.concurrencyLimit()*float64(a.settings.ReplicationFactor)))
}

// predictLatencyWithRetries returns the predicted latency of a part, in microseconds, if it is retried until it
// succeeds. It replaces the penalty for failures, by which replicas are ranked, with the time that the retries take.
func (a *Aggregator) predictLatencyWithRetries(s *server, p *part) float64 {
	failureRate := min(a.decayedFailureRate(s), maxPredictedFailureRate)
	return a.predictLatency(s, p) * a.currentLatencyRatio(s) / a.slowness(s) / (1 - failureRate)
}
