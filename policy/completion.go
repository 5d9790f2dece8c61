package policy

import "slices"

const (
	// coverageTolerance is the amount by which a sum of weights may fall short because of rounding.
	coverageTolerance = 5e-5

	// deadlineMarginTicks is the number of ticks before the client's deadline at which a query is ended.
	deadlineMarginTicks = 2

	// partialAnswerMarginTicks is the number of ticks before the latency objective at which a partial answer is sent.
	partialAnswerMarginTicks = 3

	// fetchReserveRatio is the time reserved for the fetch phase as a multiple of the class's reference latency.
	fetchReserveRatio = 2.0

	// fetchReserveTicks is the number of ticks added to that time.
	fetchReserveTicks = 2

	// responseTimeRatioGain is the gain, 0 to 1, of a class's ratio of actual to predicted response time.
	responseTimeRatioGain = 0.15
)

// advanceQuery ends a query that can be answered or that has no prospect of a better answer. Otherwise it replaces the
// query's late parts.
func (a *Aggregator) advanceQuery(q *query) {
	if q.closed || a.awaitsFetchParts(q) {
		return
	}
	coverage, attainable := q.computeCoverage()
	q.coverage = coverage
	required := q.class.RequiredCoverage - coverageTolerance
	if q.phase == fetchPhase {
		required = 1 - coverageTolerance
	}
	minimum := q.class.MinCoverage - coverageTolerance
	mustEnd := attainable < minimum || a.now >= a.queryDeadline(q)
	isExhausted := attainable < required && coverage >= attainable-coverageTolerance
	isPartialAnswerDue := q.allowsPartialAnswer() && coverage >= minimum && a.now >= a.partialAnswerDeadline(q)
	switch {
	case coverage >= required:
		a.answerQuery(q, true)
	case !mustEnd && !isExhausted && !isPartialAnswerDue:
		a.replaceLateParts(q)
	case coverage >= minimum && coverage > 0:
		a.answerQuery(q, false)
	default:
		a.rejectOrFail(q)
	}
}

// awaitsFetchParts reports whether parts of the fetch phase have yet to arrive as events.
func (a *Aggregator) awaitsFetchParts(q *query) bool {
	return q.phase == fetchPhase && len(q.parts) < q.expectedFetchParts && a.now < a.queryDeadline(q)
}

// computeCoverage returns the total weight of a query's answered parts, and that of all its parts that are answered or
// may still be.
func (q *query) computeCoverage() (answered, attainable float64) {
	for _, p := range q.parts {
		if p.state == partAnswered {
			answered += p.Weight
		}
		if p.state != partUnavailable {
			attainable += p.Weight
		}
	}
	return answered, attainable
}

// partialAnswerDeadline returns the time from which a query gets a partial answer if its coverage permits one. The time
// lies before the latency objective and leaves room for a fetch phase that follows.
func (a *Aggregator) partialAnswerDeadline(q *query) Micros {
	if q.class.MaxFetchParts > 0 && q.phase == firstPhase {
		fetchTime := Micros(fetchReserveRatio * q.class.referenceLatency)
		return q.objectiveDeadline - fetchTime - fetchReserveTicks*a.settings.Tick
	}
	return q.objectiveDeadline - partialAnswerMarginTicks*a.settings.Tick
}

// queryDeadline returns the time at which a query is ended at the latest: shortly before the client's deadline, and no
// later than the latency objective if the class assigns no value to late answers.
func (a *Aggregator) queryDeadline(q *query) Micros {
	deadline := q.Deadline - deadlineMarginTicks*a.settings.Tick
	if q.class.LateWeight <= 0 {
		deadline = min(deadline, q.objectiveDeadline)
	}
	return deadline
}

// answerQuery answers a query from its answered parts. It closes the query unless a fetch phase follows.
func (a *Aggregator) answerQuery(q *query, complete bool) {
	isComplete := complete && (q.phase == firstPhase || q.firstPhaseComplete)
	a.emit(Answer{QueryID: q.ID, Complete: isComplete})
	if q.phase == firstPhase {
		ratio := float64(a.now-q.arrivedAt) / max(q.predictedResponseTime, 1)
		smooth(&q.class.responseTimeRatio, ratio, responseTimeRatioGain)
	}
	if q.phase == fetchPhase || q.class.MaxFetchParts == 0 {
		a.closeQuery(q)
		return
	}
	a.startFetchPhase(q, complete)
}

// startFetchPhase removes the parts of the first phase. Those of the fetch phase arrive as events.
func (a *Aggregator) startFetchPhase(q *query, firstPhaseComplete bool) {
	a.dropParts(q)
	answered := 0
	for _, p := range q.parts {
		if p.state == partAnswered {
			answered++
		}
	}
	q.phase = fetchPhase
	q.firstPhaseComplete = firstPhaseComplete
	q.expectedFetchParts = min(answered, q.class.MaxFetchParts)
	q.parts = nil
	q.usedServerIDs = nil
}

// rejectOrFail ends a query without an answer. The query is rejected, which allows the client to retry it, unless its
// first phase was answered or a part that is not idempotent may have run.
func (a *Aggregator) rejectOrFail(q *query) {
	mayHaveEffect := func(p *part) bool { return !p.isIdempotent() && (p.mayHaveRun || len(p.inFlight) > 0) }
	if q.phase == fetchPhase || slices.ContainsFunc(q.parts, mayHaveEffect) {
		a.emit(Fail{QueryID: q.ID})
	} else {
		a.emit(Reject{QueryID: q.ID, RetryAfter: a.settings.MaxRetryAfter})
	}
	a.closeQuery(q)
}

// closeQuery removes a query and cancels its attempts in flight.
func (a *Aggregator) closeQuery(q *query) {
	q.closed = true
	a.updateOverloadCount(q)
	a.dropParts(q)
	delete(a.queriesByID, q.ID)
	if a.queriesByNumber[q.Number] == q {
		delete(a.queriesByNumber, q.Number)
	}
}

// updateOverloadCount updates the overload count of a closed query's class. An answer in time halves the count. A query
// that is late or unanswered after a server rejected one of its attempts increments it.
func (a *Aggregator) updateOverloadCount(q *query) {
	isInTime := a.now <= q.objectiveDeadline && q.coverage >= q.class.MinCoverage-coverageTolerance
	switch {
	case isInTime:
		q.class.overloadCount /= 2
	case q.hadRejectedAttempt:
		q.class.overloadCount++
	}
}

// dropParts removes a query's parts and cancels their attempts in flight.
func (a *Aggregator) dropParts(q *query) {
	for _, p := range q.parts {
		for _, attempt := range p.inFlight {
			a.cancelAttempt(attempt)
		}
		delete(a.partsByID, p.ID)
	}
}
