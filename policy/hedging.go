package policy

const (
	// lateThreshold is the multiple of its predicted latency above which an attempt is late.
	lateThreshold = 3.0

	// substituteLateThreshold is the multiple above which another part is requested in place of a late one, which uses no
	// retry budget.
	substituteLateThreshold = 2.0

	// noHedgingLateFactor is the factor on lateThreshold if hedging is not allowed, since a retry then cancels the
	// attempt that it replaces.
	noHedgingLateFactor = 2.0

	// stragglerCoverage is the share of the required coverage, 0 to 1, from which a query's unanswered parts are
	// stragglers. Below it, parts are more likely to be late because of overload.
	stragglerCoverage = 0.6

	// maxQueuedReportRate is the maximum queuedReportRate at which the servers are assumed to have capacity for hedged
	// requests and for retries of late parts.
	maxQueuedReportRate = 0.1
)

// replaceLateParts requests other parts of the query in place of late ones, and hedges or retries late parts.
func (a *Aggregator) replaceLateParts(q *query) {
	a.requestParts(q)
	for _, p := range q.parts {
		if a.isLate(p, a.effectiveLateThreshold) && !p.inFlight[0].canceled {
			a.hedgeOrRetry(p)
		}
	}
}

// isLate reports whether a part's latest attempt has taken longer than the given multiple of its predicted latency, or
// the part is a straggler.
func (a *Aggregator) isLate(p *part, multiple float64) bool {
	if p.state != partInFlight || len(p.inFlight) == 0 {
		return false
	}
	latest := p.latestAttempt()
	if a.isStraggler(p, multiple) {
		return true
	}
	return float64(a.now-latest.sentAt) > multiple*latest.predictedLatency
}

// isStraggler reports whether a part is one of the last of its query and has taken longer than the reference latency
// while the latency objective is near. It reports false if hedging is not allowed or a partial answer is.
func (a *Aggregator) isStraggler(p *part, multiple float64) bool {
	c := p.query.class
	if !a.settings.AllowHedging || p.query.allowsPartialAnswer() {
		return false
	}
	age := float64(a.now - p.latestAttempt().sentAt)
	remaining := float64(p.query.objectiveDeadline - a.now)
	return p.query.coverage >= stragglerCoverage*c.RequiredCoverage &&
		age > c.referenceLatency &&
		remaining < multiple*c.referenceLatency
}

// hedgeOrRetry acts on a late part if there is a better replica: it sends a hedged request if that is allowed and only
// one attempt is in flight; otherwise it cancels the first attempt so that the part is retried. While requests queue at
// the servers it does neither, since all parts are late then and hedged requests of many aggregators would keep the
// servers overloaded.
func (a *Aggregator) hedgeOrRetry(p *part) {
	late := p.latestAttempt()
	a.recordConnectionResult(late, TimedOut)
	if !a.mayHedgeOrRetry(p) {
		return
	}
	for _, c := range a.rankReplicas(p) {
		if !a.improvesOn(late, c) {
			continue
		}
		if a.settings.AllowHedging && len(p.inFlight) == 1 {
			a.sendPart(p, c.server)
		} else {
			a.cancelAttempt(p.inFlight[0])
		}
		return
	}
}

// mayHedgeOrRetry reports whether the limit on attempts, the retry budget, the part's idempotency and the load of the
// servers permit another attempt at a late part.
func (a *Aggregator) mayHedgeOrRetry(p *part) bool {
	return !a.attemptsExhausted(p) && a.withinRetryBudget() &&
		p.isIdempotent() && a.fleet.queuedReportRate <= maxQueuedReportRate
}

// improvesOn reports whether a candidate is another, healthy server that is predicted to answer the part of a late
// attempt in no more time than the attempt has already taken, and soon enough for the answer to have a value.
func (a *Aggregator) improvesOn(late *attempt, c candidate) bool {
	if c.server == late.server || a.isOutlier(c.server) || a.isBusy(c.server) {
		return false
	}
	q := late.part.query
	isInTime := a.now+Micros(c.predictedLatency) <= q.objectiveDeadline || q.class.LateWeight > 0
	return isInTime && c.predictedLatency <= float64(a.now-late.sentAt)
}

// cancelAttempt cancels an attempt if that is allowed and was not done before.
func (a *Aggregator) cancelAttempt(attempt *attempt) {
	if !a.settings.AllowCancel || attempt.canceled {
		return
	}
	attempt.canceled = true
	a.emit(CancelAttempt{PartID: attempt.part.ID, AttemptIndex: attempt.index})
}
