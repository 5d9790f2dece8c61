package policy

import "slices"

// reviewQuery looks at what a query has and can still get, and ends or moves it on.
func (a *Aggregator) reviewQuery(q *query) {
	if q.closed || len(q.parts) < q.expectedParts && q.step == 2 && a.now < a.queryDeadline(q) {
		return
	}
	got, can := 0.0, 0.0
	for _, p := range q.parts {
		if p.state == partAnswered {
			got += p.Weight
		}
		if p.state != partUnavailable {
			can += p.Weight
		}
	}
	q.coverage = got
	need, least := q.class.RequiredCoverage-coverageTolerance, q.class.MinCoverage-coverageTolerance
	if q.step == 2 {
		need = 1 - coverageTolerance
	}
	switch {
	case got >= need:
		a.answerQuery(q, true)
	case can < least, a.now >= a.queryDeadline(q), can < need && got >= can-coverageTolerance,
		q.class.MinCoverage < q.class.RequiredCoverage && got >= least && a.now >= a.answerDeadline(q):
		if got >= least && got > 0 {
			a.answerQuery(q, false)
		} else {
			a.rejectOrFail(q)
		}
	default:
		a.replaceLateParts(q)
	}
}

// answerDeadline is when a partial answer in hand beats waiting: before the aim, with time for a second step.
func (a *Aggregator) answerDeadline(q *query) Micros {
	if q.class.FetchParts > 0 && q.step == 1 {
		return q.objectiveAt - Micros(replacementThreshold*q.class.referenceLatency) - 2*a.settings.Tick
	}
	return q.objectiveAt - 3*a.settings.Tick
}

// queryDeadline is when a query must be over: before the client leaves, at its aim if nothing is earned later.
func (a *Aggregator) queryDeadline(q *query) Micros {
	end := q.Deadline - 2*a.settings.Tick
	if q.class.LateWeight <= 0 {
		end = min(end, q.objectiveAt)
	}
	return end
}

// answerQuery gives what is in. In a class with a second step the first answer brings its parts.
func (a *Aggregator) answerQuery(q *query, whole bool) {
	a.emit(Answer{Query: q.ID, Complete: whole && (q.step == 1 || q.firstStepComplete)})
	if q.step == 1 {
		q.class.latencyRatio += improvementGain * (float64(a.now-q.arrivedAt)/max(q.predictedWait, 1) - q.class.latencyRatio)
	}
	if q.step == 2 || q.class.FetchParts == 0 {
		a.closeQuery(q)
		return
	}
	a.dropParts(q)
	asked := slices.DeleteFunc(q.parts, func(p *part) bool { return p.state != partAnswered })
	q.step, q.firstStepComplete, q.expectedParts, q.parts, q.usedServers = 2, whole, min(len(asked), q.class.FetchParts), nil, nil
}

// rejectOrFail is the one place where a query is given up: refused, with word when to come back, if that is harmless.
func (a *Aggregator) rejectOrFail(q *query) {
	mayRan := func(p *part) bool { return q.class.Idempotency != Idempotent && (p.mayHaveRun || len(p.inFlight) > 0) }
	if q.step == 2 || slices.ContainsFunc(q.parts, mayRan) {
		a.emit(Fail{Query: q.ID})
	} else {
		a.emit(Reject{Query: q.ID, RetryAfter: a.settings.MaxRetryAfter})
	}
	a.closeQuery(q)
}

func (a *Aggregator) closeQuery(q *query) {
	q.closed = true
	if a.now <= q.objectiveAt && q.coverage >= q.class.MinCoverage-coverageTolerance {
		q.class.overloadCount /= 2
	} else if q.wasRejected { // late or lost
		q.class.overloadCount++
	}
	a.dropParts(q)
	delete(a.queries, q.ID)
	if a.queriesByNumber[q.Number] == q {
		delete(a.queriesByNumber, q.Number)
	}
}

func (a *Aggregator) dropParts(q *query) {
	for _, p := range q.parts {
		for _, t := range p.inFlight {
			a.cancelAttempt(t)
		}
		delete(a.parts, p.ID)
	}
}
