package policy

import (
	"cmp"
	"slices"
)

// dispatch sends waiting parts by arrival, with a head start for worth; queries past their aim come last.
func (a *Aggregator) dispatch() {
	clear(a.queuedParts)
	slices.SortStableFunc(a.openQueries, func(x, y *query) int { return cmp.Compare(x.dispatchAt, y.dispatchAt) })
	for _, late := range []bool{false, true} {
		for _, q := range a.openQueries {
			for _, p := range q.parts {
				if p.state != partQueued || q.closed || (q.objectiveAt <= a.now) != late || a.awaitsHealthChecks(p) {
					continue
				}
				if s := a.chooseReplica(p); s != nil {
					a.send(p, s)
				} else if !late {
					a.queuedParts[p.Shard]++
				}
			}
		}
	}
}

// maySend tells whether every rule and guard lets a part go to a server now. send asks it again.
func (a *Aggregator) maySend(s *server, p *part, sound bool) bool {
	switch {
	case s.State != Ready || !a.holdsShard(s, p.Shard), // drains
		p.query.closed || a.parts[p.ID] != p || p.state == partAnswered, // queries that are over
		!a.mayRetry(p) || p.attempts > 0 && !a.withinRetryBudget(),      // effects, budget
		!a.slowStartAllows(s, p) || !a.hasCapacity(s) || a.now < s.backoffUntil:
		return false
	case sound && a.isBusy(s):
		return false
	case sound && a.isOutlier(s): // one trial now and then, of a part that can be asked again
		rested := float64(a.now-s.sampledAt) > penaltyHalfLife*a.meanObjective && len(s.inFlight) == 0
		return rested && p.query.class.Idempotency == Idempotent && p.attempts == 0
	}
	return true
}

// mayRetry holds the effect rule: no repeat of what may have run, but for safe parts and keyed ones in time.
func (a *Aggregator) mayRetry(p *part) bool {
	if a.settings.MaxAttempts > 0 && p.attempts >= a.settings.MaxAttempts ||
		len(p.inFlight) > 0 && (!a.settings.AllowHedging || p.query.class.Idempotency == NonIdempotent) {
		return false
	}
	switch p.query.class.Idempotency {
	case NonIdempotent:
		return !p.mayHaveRun
	case IdempotentByKey:
		return !(p.mayHaveRun || len(p.inFlight) > 0) || a.now < p.firstSentAt+p.query.class.DeduplicationWindow
	}
	return true
}

// send is the one place from which attempts leave.
func (a *Aggregator) send(p *part, s *server) bool {
	if !a.maySend(s, p, false) {
		return false
	}
	q := p.query
	t := &attempt{part: p, server: s, index: p.attempts, sentAt: a.now, predictedLatency: a.predictLatency(s, p), assumedLoad: a.estimateLoad(s)}
	if len(s.inFlight) == 0 { // else it may leave on another connection than the one that was idle
		t.connectionIdle = a.now - s.connectionUsedAt
	}
	test := s.suspect && (a.freshConnectionSuccess >= 0.5 || a.now-a.freshConnectionAt > Micros(a.meanObjective))
	if test || a.freshConnectionSuccess > staleConnectionThreshold && float64(t.connectionIdle) >= a.idleLimit() {
		a.emit(CloseIdleConnections{Server: s.ID})
		t.connectionIdle, t.freshConnection, s.connectionUsedAt, s.suspect, a.freshConnectionAt = 0, true, a.now, false, a.now
	}
	if p.attempts > 0 {
		a.recordForBudget(&a.retryHistory)
	}
	if len(p.inFlight) == 0 && !p.mayHaveRun {
		p.firstSentAt = a.now
	}
	if a.now < s.StartedAt+a.settings.SlowStartDuration+a.settings.OverloadDuration {
		s.sendHistory = append(dropBefore(s.sendHistory, a.now-a.settings.OverloadDuration-a.settings.Tick), historyEntry{a.now, q.class.referenceLatency})
	} else {
		s.sendHistory = nil
	}
	s.inFlight, p.inFlight = append(s.inFlight, t), append(p.inFlight, t)
	p.attempts++
	p.state, p.lastServer = partInFlight, s.ID
	if !a.joinsBatch(s) {
		s.batchAt, s.batchSize = a.now, 0
	}
	s.batchSize++
	q.usedServers = append(q.usedServers, s.ID)
	a.emit(SendAttempt{Part: p.ID, Server: s.ID, Timeout: max(a.queryDeadline(q)-a.now, a.settings.Tick)})
	return true
}
