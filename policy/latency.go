package policy

import "math"

// slowness is a server's latency against its peers, and a charge for what fails there.
func (a *Aggregator) slowness(s *server) float64 {
	return a.latencyRatio(s) + failurePenalty*a.decayedFailureRate(s)
}

func (a *Aggregator) decayedFailureRate(s *server) float64 { return s.failureRate * a.penaltyDecay(s) }

// penaltyDecay is how much of a bad past still counts: it heals while the server is left alone.
func (a *Aggregator) penaltyDecay(s *server) float64 {
	return math.Exp2(-float64(a.now-s.sampledAt) / (penaltyHalfLife * a.meanObjective))
}

// latencyRatio is a server's latency alone: its past, healing, or the age of what is unanswered.
func (a *Aggregator) latencyRatio(s *server) float64 {
	f := s.latencyRatio
	if f > 1 {
		f = 1 + (f-1)*a.penaltyDecay(s)
	}
	for _, t := range s.inFlight {
		if t.sentAt >= s.respondedAt-1 || t == s.inFlight[0] {
			f = max(f, float64(a.now-t.sentAt)/(t.part.query.class.referenceLatency*t.part.relativeCost*(1+loadSensitivity*t.assumedLoad)))
		}
	}
	return f
}

// predictLatency is the latency expected of a server for a part, the inverse of its utility.
func (a *Aggregator) predictLatency(s *server, p *part) float64 {
	return p.query.class.referenceLatency*p.relativeCost*a.slowness(s)*(1+loadSensitivity*a.estimateLoad(s)) + float64(a.backlog(s))
}

// recordResult feeds an attempt's end into the server's latency, the class's reference and the window.
func (a *Aggregator) recordResult(t *attempt, status Status) {
	s, c := t.server, t.part.query.class
	if status != TimedOut && status != Canceled {
		s.connectionUsedAt = a.now
	}
	a.classifyConnection(t, status)
	y := min(float64(a.now-t.sentAt)/(1+loadSensitivity*t.assumedLoad)/t.part.relativeCost, maxSampleRatio*c.referenceLatency)
	switch status {
	case OK:
		c.answers++
		a.answers++
		a.meanLatency += max(referenceGain, 1/(a.answers+objectivePriorWeight)) * (y - a.meanLatency)
		c.referenceLatency += max(referenceGain, 1/(c.answers+objectivePriorWeight)) * (y - c.referenceLatency)
		a.baseLatency = min(a.baseLatency, a.meanLatency)
		s.respondedAt, s.rejections = a.now, 0
		s.failureRate -= improvementGain * s.failureRate
		a.recordLatencyRatio(s, y/c.referenceLatency)
	case Canceled:
		a.recordLatencyRatio(s, max(y/c.referenceLatency, a.slowness(s)))
	case Rejected: // a full queue: further parts back off, ever longer, and wait here
		t.part.query.wasRejected = true
		s.rejections = min(s.rejections+1, maxBackoffDoublings)
		s.backoffUntil = a.now + min(Micros(c.referenceLatency)<<s.rejections/2, c.LatencyObjective)
		a.recordLatencyRatio(s, max(y/c.referenceLatency, 2))
	case ServerError, ConnectionBroken: // it can be reached: what is lost is this attempt
		s.failureRate += failureGain * (1 - s.failureRate)
		a.recordLatencyRatio(s, max(y/c.referenceLatency, s.latencyRatio))
	case TimedOut, ConnectFailed:
		a.recordLatencyRatio(s, max(y/c.referenceLatency, failurePenalty))
	}
}

// recordLatencyRatio moves a server's smoothed latency, faster for the worse.
func (a *Aggregator) recordLatencyRatio(s *server, x float64) {
	x = min(x, maxSampleRatio)
	gain := improvementGain
	if x > s.latencyRatio {
		gain = degradationGain
	}
	s.latencyRatio += gain * (x - s.latencyRatio)
	s.sampledAt = a.now
}
