package policy

import (
	"cmp"
	"slices"
)

// dispatch sends queued parts in ascending order of their queries' dispatchSortKey. Queries past their latency
// objective come last.
func (a *Aggregator) dispatch() {
	clear(a.queuedParts)
	slices.SortStableFunc(a.openQueries, func(x, y *query) int {
		return cmp.Compare(x.dispatchSortKey, y.dispatchSortKey)
	})
	for _, pastObjective := range []bool{false, true} {
		for _, q := range a.openQueries {
			a.dispatchQuery(q, pastObjective)
		}
	}
}

// dispatchQuery sends the queued parts of an open query, except those that await health checks. pastObjective selects
// the queries past their latency objective, or those before it; dispatchQuery does nothing for the others. Parts that
// find no server stay queued, and those of queries before their latency objective are counted in queuedParts.
func (a *Aggregator) dispatchQuery(q *query, pastObjective bool) {
	if isPast := q.objectiveDeadline <= a.now; q.closed || isPast != pastObjective {
		return
	}
	for _, p := range q.parts {
		if p.state != partQueued || a.awaitsHealthChecks(p) {
			continue
		}
		if s := a.chooseReplica(p); s != nil {
			a.sendPart(p, s)
		} else if !pastObjective {
			a.queuedParts[p.Shard]++
		}
	}
}

// maySend reports whether the constraints and limits permit sending a part to a server now. If hasHealthyReplica is
// set, busy servers and outliers are excluded as well, except for an outlier that mayTryOutlier permits.
func (a *Aggregator) maySend(s *server, p *part, hasHealthyReplica bool) bool {
	if s.State != Ready || !a.holdsShard(s, p.Shard) {
		return false
	}
	if p.query.closed || a.partsByID[p.ID] != p || p.state == partAnswered {
		return false
	}
	if !a.mayAttempt(p) || p.attemptCount > 0 && !a.withinRetryBudget() {
		return false
	}
	if !a.slowStartAllows(s, p) || !a.hasCapacity(s) || a.now < s.backoffUntil {
		return false
	}
	if !hasHealthyReplica {
		return true
	}
	if a.isBusy(s) {
		return false
	}
	return !a.isOutlier(s) || a.mayTryOutlier(s, p)
}

// mayAttempt reports whether a first or further attempt at a part is permitted by the limit on attempts, by the class's
// idempotency and, while an attempt is in flight, by Settings.AllowHedging.
func (a *Aggregator) mayAttempt(p *part) bool {
	if a.attemptsExhausted(p) {
		return false
	}
	idempotency := p.query.class.Idempotency
	isInFlight := len(p.inFlight) > 0
	if isInFlight && (!a.settings.AllowHedging || idempotency == NonIdempotent) {
		return false
	}
	switch idempotency {
	case NonIdempotent:
		return !p.mayHaveRun
	case IdempotentByKey:
		hasNotRun := !p.mayHaveRun && !isInFlight
		return hasNotRun || a.now < p.firstSentAt+p.query.class.DeduplicationWindow
	default:
		return true
	}
}

func (a *Aggregator) attemptsExhausted(p *part) bool {
	return a.settings.MaxAttempts > 0 && p.attemptCount >= a.settings.MaxAttempts
}

// sendPart sends a part to a server and reports whether it did. Every attempt is sent here, so the constraints are
// checked once more.
func (a *Aggregator) sendPart(p *part, s *server) bool {
	if !a.maySend(s, p, false) {
		return false
	}
	sent := &attempt{
		part:             p,
		server:           s,
		index:            p.attemptCount,
		sentAt:           a.now,
		predictedLatency: a.predictLatency(s, p),
		estimatedLoad:    a.estimateLoad(s),
	}
	a.prepareConnection(sent)
	if p.attemptCount > 0 {
		a.recordForBudget(&a.retryBudget.retries)
	}
	if len(p.inFlight) == 0 && !p.mayHaveRun {
		p.firstSentAt = a.now
	}
	a.recordSlowStartSend(s, p.query.class.referenceLatency)
	s.inFlight = append(s.inFlight, sent)
	p.inFlight = append(p.inFlight, sent)
	p.attemptCount++
	p.state = partInFlight
	p.lastServerID = s.ID
	a.addToBatch(s)
	p.query.usedServerIDs = append(p.query.usedServerIDs, s.ID)
	timeout := max(a.queryDeadline(p.query)-a.now, a.settings.Tick)
	a.emit(SendAttempt{PartID: p.ID, ServerID: s.ID, Timeout: timeout})
	return true
}
