package policy

import "slices"

// quickAnswerRatio is the multiple of the base latency below which an answer is quick.
const quickAnswerRatio = 2.0

// handleAttemptResult ends an attempt and ignores results of attempts that are not in flight.
func (a *Aggregator) handleAttemptResult(result AttemptResult) {
	s := a.serversByID[result.ServerID]
	if s == nil {
		return
	}
	isSame := func(t *attempt) bool { return t.part.ID == result.PartID && t.index == result.AttemptIndex }
	index := slices.IndexFunc(s.inFlight, isSame)
	if index < 0 {
		return
	}
	ended := s.inFlight[index]
	p := ended.part
	s.inFlight = slices.DeleteFunc(s.inFlight, isSame)
	p.inFlight = slices.DeleteFunc(p.inFlight, isSame)
	p.mayHaveRun = p.mayHaveRun || !result.Status.neverRan()
	a.recordLoad(s, result.Report)
	a.recordAttemptResult(ended, result.Status)
	if p.query.closed || a.partsByID[p.ID] != p || p.state != partInFlight {
		return
	}
	if result.Status == OK {
		a.handleAnswer(ended)
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

// handleAnswer marks a part as answered and cancels its other attempts.
func (a *Aggregator) handleAnswer(answered *attempt) {
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
