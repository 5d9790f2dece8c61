package policy

// replaceLateParts replaces what is late: by a spare part, or by a further attempt at a better replica.
func (a *Aggregator) replaceLateParts(q *query) {
	a.requestParts(q)
	for _, p := range q.parts {
		if p.state == partInFlight && a.isLate(p, a.lateRatio) && !p.inFlight[0].canceled {
			a.retryElsewhere(p)
		}
	}
}

// isLate tells whether a part is out longer than predicted by a multiple, or among the last near the aim.
func (a *Aggregator) isLate(p *part, multiple float64) bool {
	if p.state != partInFlight || len(p.inFlight) == 0 {
		return false
	}
	t := p.inFlight[len(p.inFlight)-1]
	age, left := float64(a.now-t.sentAt), float64(p.query.objectiveAt-a.now)
	last := p.query.coverage >= stragglerCoverage*p.query.class.RequiredCoverage && age > p.query.class.referenceLatency && left < multiple*p.query.class.referenceLatency
	return last && a.settings.AllowHedging && p.query.class.MinCoverage == p.query.class.RequiredCoverage || age > multiple*t.predictedLatency
}

// retryElsewhere asks a better replica, if any, for a late part: as a second copy if permitted, else in its place.
// Where parts wait all over the fleet, all are late and a copy makes others wait: many aggregators that each
// save their own queries jam the servers for all.
func (a *Aggregator) retryElsewhere(p *part) {
	t := p.inFlight[len(p.inFlight)-1]
	a.classifyConnection(t, TimedOut)
	spent := a.settings.MaxAttempts > 0 && p.attempts >= a.settings.MaxAttempts || !a.withinRetryBudget()
	if p.query.class.Idempotency != Idempotent || spent || a.queuedReportRate > maxQueuedReportRate {
		return
	}
	for _, c := range a.rankReplicas(p) {
		inTime := a.now+Micros(c.latency) <= p.query.objectiveAt || p.query.class.LateWeight > 0
		better := c.server != t.server && !a.isOutlier(c.server) && !a.isBusy(c.server) && c.latency <= float64(a.now-t.sentAt)
		if better && inTime && a.settings.AllowHedging && len(p.inFlight) == 1 {
			a.send(p, c.server)
			return
		} else if better && inTime {
			a.cancelAttempt(p.inFlight[0])
			return
		}
	}
}

func (a *Aggregator) cancelAttempt(t *attempt) {
	if a.settings.AllowCancel && !t.canceled {
		t.canceled = true
		a.emit(CancelAttempt{Part: t.part.ID, Attempt: t.index})
	}
}
