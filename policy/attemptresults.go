package policy

import "slices"

// quickAnswerRatio is the multiple of the base latency, scaled by the part's relative cost, below which an attempt
// counts as answered quickly.
const quickAnswerRatio = 2.0

// handleAttemptResult ends an attempt and decides whether its part is retried. It ignores results of attempts that
// are not in flight.
func (a *Aggregator) handleAttemptResult(result AttemptResult) {
	s := a.serversByID[result.ServerID]
	if s == nil {
		return
	}
	matches := func(t *attempt) bool { return t.part.ID == result.PartID && t.index == result.AttemptIndex }
	index := slices.IndexFunc(s.inFlight, matches)
	if index < 0 {
		return
	}
	finished := s.inFlight[index]
	p := finished.part
	s.inFlight = slices.DeleteFunc(s.inFlight, matches)
	p.inFlight = slices.DeleteFunc(p.inFlight, matches)
	p.mayHaveRun = p.mayHaveRun || !result.Status.neverRan()
	a.recordLoad(s, result.Report)
	a.recordAttemptResult(finished, result.Status)
	if p.query.closed || a.partsByID[p.ID] != p || p.state != partInFlight {
		return
	}
	if result.Status == OK {
		a.handleAnsweredAttempt(finished)
		return
	}
	if result.Status == ConnectionBroken {
		a.handleBrokenConnection(p.query, s)
	}
	if len(p.inFlight) > 0 {
		return
	}
	p.state = partUnavailable
	if a.mayAttempt(p) {
		p.state = partQueued
	}
}

// handleAnsweredAttempt marks the part of an attempt as answered and cancels the part's other attempts. If the part was
// sent ahead of the query's others, they may be requested from then on. A quick answer adds a light-part credit.
func (a *Aggregator) handleAnsweredAttempt(answered *attempt) {
	p := answered.part
	p.state = partAnswered
	p.query.canaryFirst = false
	if float64(a.now-answered.sentAt) < quickAnswerRatio*a.fleet.baseLatency*p.relativeCost {
		p.query.lightPartCredits++
	}
	for _, other := range p.inFlight {
		a.cancelAttempt(other)
	}
}
