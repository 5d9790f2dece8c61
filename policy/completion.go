package policy

import "slices"

const (
	// coverageTolerance is the amount by which sums of weights may fall short because of rounding.
	coverageTolerance = 5e-5

	// deadlineMarginTicks is the number of ticks before the client's deadline at which a query is ended.
	deadlineMarginTicks = 2

	// partialAnswerMarginTicks is the number of ticks before the latency objective at which a partial answer is sent.
	partialAnswerMarginTicks = 3

	// fetchReserveRatio is the time reserved for the fetch phase, in reference latencies.
	fetchReserveRatio = 2.0

	// fetchReserveTicks is added to that time, in ticks.
	fetchReserveTicks = 2

	// responseTimeRatioGain is the gain, 0 to 1, of a class's ratio of actual to predicted wait.
	responseTimeRatioGain = 0.15
)

// advanceQuery ends a query if it can be answered or is hopeless; otherwise it replaces the query's late parts.
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
	isHopeless := attainable < minimum || a.now >= a.queryDeadline(q)
	isExhausted := attainable < required && coverage >= attainable-coverageTolerance
	isPartialDue := q.allowsPartialAnswer() && coverage >= minimum && a.now >= a.partialAnswerDeadline(q)
	switch {
	case coverage >= required:
		a.answerQuery(q, true)
	case !isHopeless && !isExhausted && !isPartialDue:
		a.replaceLateParts(q)
	case coverage >= minimum && coverage > 0:
		a.answerQuery(q, false)
	default:
		a.rejectOrFail(q)
	}
}

// awaitsFetchParts reports whether parts of the fetch phase have yet to arrive.
func (a *Aggregator) awaitsFetchParts(q *query) bool {
	return q.phase == fetchPhase && len(q.parts) < q.expectedFetchParts && a.now < a.queryDeadline(q)
}

// computeCoverage returns the weight of a query's answered parts, and of those that are or may yet be answered.
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

// partialAnswerDeadline returns when a query is answered in part if it can be: before the latency objective, with time for
// a fetch phase that follows.
func (a *Aggregator) partialAnswerDeadline(q *query) Micros {
	if q.class.FetchParts > 0 && q.phase == firstPhase {
		fetchTime := Micros(fetchReserveRatio * q.class.referenceLatency)
		return q.objectiveDeadline - fetchTime - fetchReserveTicks*a.settings.Tick
	}
	return q.objectiveDeadline - partialAnswerMarginTicks*a.settings.Tick
}

// queryDeadline returns when a query is ended at the latest: before the client's deadline, and at the latency
// objective if later answers are worth nothing.
func (a *Aggregator) queryDeadline(q *query) Micros {
	deadline := q.Deadline - deadlineMarginTicks*a.settings.Tick
	if q.class.LateWeight <= 0 {
		deadline = min(deadline, q.objectiveDeadline)
	}
	return deadline
}

// answerQuery answers a query from its answered parts, and closes it unless the fetch phase follows.
func (a *Aggregator) answerQuery(q *query, complete bool) {
	isComplete := complete && (q.phase == firstPhase || q.firstPhaseComplete)
	a.emit(Answer{QueryID: q.ID, Complete: isComplete})
	if q.phase == firstPhase {
		waitRatio := float64(a.now-q.arrivedAt) / max(q.predictedResponseTime, 1)
		smooth(&q.class.responseTimeRatio, waitRatio, responseTimeRatioGain)
	}
	if q.phase == fetchPhase || q.class.FetchParts == 0 {
		a.closeQuery(q)
		return
	}
	a.startFetchPhase(q, complete)
}

// startFetchPhase drops the parts of the first phase; those of the fetch phase arrive as events.
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
	q.expectedFetchParts = min(answered, q.class.FetchParts)
	q.parts = nil
	q.usedServerIDs = nil
}

// rejectOrFail ends a query without an answer. It is rejected, so that the client may retry it, unless the first
// phase was answered or a part that is not idempotent may have run.
func (a *Aggregator) rejectOrFail(q *query) {
	hasEffect := func(p *part) bool { return !p.isIdempotent() && (p.mayHaveRun || len(p.inFlight) > 0) }
	if q.phase == fetchPhase || slices.ContainsFunc(q.parts, hasEffect) {
		a.emit(Fail{QueryID: q.ID})
	} else {
		a.emit(Reject{QueryID: q.ID, RetryAfter: a.settings.MaxRetryAfter})
	}
	a.closeQuery(q)
}

// closeQuery forgets a query and cancels its attempts in flight.
func (a *Aggregator) closeQuery(q *query) {
	q.closed = true
	a.updateOverloadCount(q)
	a.dropParts(q)
	delete(a.queriesByID, q.ID)
	if a.queriesByNumber[q.Number] == q {
		delete(a.queriesByNumber, q.Number)
	}
}

// updateOverloadCount counts a closed query for its class: answered in time, or late or unanswered after a rejection.
func (a *Aggregator) updateOverloadCount(q *query) {
	isInTime := a.now <= q.objectiveDeadline && q.coverage >= q.class.MinCoverage-coverageTolerance
	switch {
	case isInTime:
		q.class.overloadCount /= 2
	case q.hadRejectedAttempt:
		q.class.overloadCount++
	}
}

// dropParts cancels the attempts at a query's parts and forgets the parts.
func (a *Aggregator) dropParts(q *query) {
	for _, p := range q.parts {
		for _, attempt := range p.inFlight {
			a.cancelAttempt(attempt)
		}
		delete(a.partsByID, p.ID)
	}
}
