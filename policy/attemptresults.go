package policy

import "slices"

// handleBrokenConnection gives up a query that broke two servers and had no answer. Until these can be warm its key's queries
// and retries send one part ahead. It covers requests that crash servers, not resets that spare some parts.
func (a *Aggregator) handleBrokenConnection(q *query, s *server) {
	if !slices.Contains(q.brokenServers, s.ID) { // one that resets a connection under several parts is no second one
		q.brokenServers = append(q.brokenServers, s.ID)
	}
	if q.step == 1 && q.coverage == 0 && (len(q.brokenServers) >= 2 || q.canaryFirst) {
		a.crashSuspectKey, a.crashSuspectUntil = q.Key, a.now+a.settings.SlowStartDuration
		a.rejectOrFail(q)
	}
}

func (a *Aggregator) handleAttemptResult(e AttemptResult) {
	s := a.servers[e.Server]
	same := func(t *attempt) bool { return t.part.ID == e.Part && t.index == e.Attempt }
	if s == nil || !slices.ContainsFunc(s.inFlight, same) {
		return
	}
	t := s.inFlight[slices.IndexFunc(s.inFlight, same)]
	p := t.part
	s.inFlight = slices.DeleteFunc(s.inFlight, same)
	p.inFlight = slices.DeleteFunc(p.inFlight, same)
	p.mayHaveRun = p.mayHaveRun || e.Status != Rejected && e.Status != ConnectFailed && e.Status != Withdrawn
	a.recordLoad(s, e.Report)
	a.recordResult(t, e.Status)
	if p.query.closed || a.parts[p.ID] != p || p.state != partInFlight {
		return
	}
	if e.Status == OK {
		p.state, p.query.canaryFirst = partAnswered, false
		if float64(a.now-t.sentAt) < replacementThreshold*a.baseLatency*p.relativeCost {
			p.query.lightPartCredits++
		}
		for _, t := range p.inFlight {
			a.cancelAttempt(t)
		}
		return
	}
	if e.Status == ConnectionBroken {
		a.handleBrokenConnection(p.query, s)
	}
	if len(p.inFlight) == 0 && a.mayRetry(p) {
		p.state = partQueued
	} else if len(p.inFlight) == 0 {
		p.state = partUnavailable
	}
}
