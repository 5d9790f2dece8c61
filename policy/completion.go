package policy

import "slices"

const (
	// coverageTolerance is the amount by which a sum of weights may fall short because of rounding.
	coverageTolerance = 5e-5

	// deadlineMarginTicks is the number of ticks before the client's deadline at which a query is ended at the latest.
	deadlineMarginTicks = 2

	// partialAnswerMarginTicks is the number of ticks before the latency objective at which a partial answer is due if no
	// fetch phase follows.
	partialAnswerMarginTicks = 3

	// fetchReserveRatio is the time reserved for the fetch phase as a multiple of the class's reference latency.
	fetchReserveRatio = 2.0

	// fetchReserveTicks is the number of ticks added to the time reserved for the fetch phase.
	fetchReserveTicks = 2

	// responseTimeRatioGain is the gain, 0 to 1, of a class's ratio of actual to predicted response time.
	responseTimeRatioGain = 0.15
)

// advanceQuery answers, rejects or fails a query once its coverage reaches the required one, can no longer improve or
// can no longer reach the minimum, or once its time is up. Otherwise it requests further parts and replaces late ones.
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
	isPartialAnswerDue := q.allowsPartialAnswer() && coverage >= minimum && a.now >= a.partialAnswerDueAt(q)
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

// partialAnswerDueAt returns the earliest time at which a query gets a partial answer if its coverage may still
// improve. The time lies before the latency objective and leaves room for a fetch phase that follows.
func (a *Aggregator) partialAnswerDueAt(q *query) Micros {
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

// answerQuery answers a query from its answered parts. It closes the query unless a fetch phase follows. phaseComplete
// reports whether the coverage of the current phase is the required one.
func (a *Aggregator) answerQuery(q *query, phaseComplete bool) {
	complete := phaseComplete && (q.phase == firstPhase || q.firstPhaseComplete)
	a.emit(Answer{QueryID: q.ID, Complete: complete})
	if q.phase == firstPhase {
		ratio := float64(a.now-q.arrivedAt) / max(q.predictedResponseTime, 1)
		smooth(&q.class.responseTimeRatio, ratio, responseTimeRatioGain)
	}
	if q.phase == fetchPhase || q.class.MaxFetchParts == 0 {
		a.closeQuery(q)
		return
	}
	a.startFetchPhase(q, phaseComplete)
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

// rejectOrFail ends a query without a final answer. The query is rejected, which allows the client to retry it, unless
// its first phase was answered, or its class is NonIdempotent or IdempotentByKey and a part may have run or may still
// run.
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
