package policy

import "math"

const (
	// improvementGain is the gain, 0 to 1, of a server's latency ratio when it falls.
	improvementGain = 0.15

	// degradationGain is the gain, 0 to 1, of a server's latency ratio when it rises.
	degradationGain = 0.40

	// fleetGain is the gain, 0 to 1, of averages over all servers or over a class.
	fleetGain = 0.05

	// failureGain is the gain, 0 to 1, of a server's failure rate when an attempt fails.
	failureGain = 0.33

	// recoveryGain is the gain, 0 to 1, of a server's failure rate when an attempt is answered.
	recoveryGain = 0.15

	// objectivePriorWeight is the weight, in answers, of the latency objective as the first latency estimate.
	objectivePriorWeight = 0.2

	// maxSampleLatencyRatio is the maximum latency ratio of a sample; higher ones are reduced to it.
	maxSampleLatencyRatio = 8.0

	// rejectionLatencyRatio is the minimum latency ratio of the sample that a rejection adds.
	rejectionLatencyRatio = 2.0

	// failurePenalty is the latency ratio charged for a failed attempt, for the time of the attempt and of its retry.
	failurePenalty = 6.0

	// loadSensitivity is the increase of the latency per request at the server, as a share of the idle latency: 0 for a
	// server that executes all requests concurrently, 1 for one that executes one at a time.
	loadSensitivity = 0.5

	// penaltyHalfLife is the time without samples, in mean latency objectives, in which a server's excess latency and
	// failure rate decay by half.
	penaltyHalfLife = 4.0
)

// predictLatency returns the predicted latency of a part at a server in microseconds, the inverse of its utility.
func (a *Aggregator) predictLatency(s *server, p *part) float64 {
	idleLatency := p.query.class.referenceLatency * p.relativeCost * a.slowness(s)
	return idleLatency*loadFactor(a.estimateLoad(s)) + float64(a.backlog(s))
}

// loadFactor returns the factor by which requests at a server raise its latency.
func loadFactor(load float64) float64 { return 1 + loadSensitivity*load }

// slowness returns a server's latency ratio plus a penalty for its failure rate.
func (a *Aggregator) slowness(s *server) float64 {
	return a.currentLatencyRatio(s) + failurePenalty*a.decayedFailureRate(s)
}

// currentLatencyRatio returns a server's latency as a multiple of the reference latency. Excess latency decays while
// there are no samples. The oldest attempt in flight, and those sent since the server last responded, count by their
// age.
func (a *Aggregator) currentLatencyRatio(s *server) float64 {
	ratio := s.latencyRatio
	if ratio > 1 {
		ratio = 1 + (ratio-1)*a.penaltyDecay(s)
	}
	for i, attempt := range s.inFlight {
		if i == 0 || attempt.sentAt >= s.respondedAt-1 {
			ratio = max(ratio, a.ageRatio(attempt))
		}
	}
	return ratio
}

// ageRatio returns the age of an attempt as a multiple of the latency expected of an average server.
func (a *Aggregator) ageRatio(attempt *attempt) float64 {
	p := attempt.part
	expected := p.query.class.referenceLatency * p.relativeCost * loadFactor(attempt.estimatedLoad)
	return float64(a.now-attempt.sentAt) / expected
}

// decayedFailureRate returns the share of attempts at a server, 0 to 1, that are expected to fail.
func (a *Aggregator) decayedFailureRate(s *server) float64 { return s.failureRate * a.penaltyDecay(s) }

// penaltyDecay returns the share, 0 to 1, of a server's past excess latency and failure rate that still counts.
func (a *Aggregator) penaltyDecay(s *server) float64 {
	return math.Exp2(-float64(a.now-s.sampledAt) / (penaltyHalfLife * a.meanLatencyObjective))
}

// recordAttemptResult updates the statistics of the server, the class and all servers with the result of an attempt.
func (a *Aggregator) recordAttemptResult(attempt *attempt, status Status) {
	s, c := attempt.server, attempt.part.query.class
	if status != TimedOut && status != Canceled {
		s.connectionUsedAt = a.now
	}
	a.recordConnectionResult(attempt, status)
	latency := a.idleLatency(attempt)
	switch status {
	case OK:
		a.recordAnswer(s, c, latency)
	case Canceled:
		a.recordLatencyRatio(s, max(latency/c.referenceLatency, a.slowness(s)))
	case Rejected:
		attempt.part.query.hadRejectedAttempt = true
		a.backOffFrom(s, c)
		a.recordLatencyRatio(s, max(latency/c.referenceLatency, rejectionLatencyRatio))
	case ServerError, ConnectionBroken:
		// The server was reached, so only this attempt is lost.
		smooth(&s.failureRate, 1, failureGain)
		a.recordLatencyRatio(s, max(latency/c.referenceLatency, s.latencyRatio))
	case TimedOut, ConnectFailed:
		a.recordLatencyRatio(s, max(latency/c.referenceLatency, failurePenalty))
	case Withdrawn:
		// Nothing was sent, so the result carries no information about the server.
	}
}

// idleLatency returns the time since an attempt was sent, in microseconds, converted to the latency of a part of mean
// cost at an idle server.
func (a *Aggregator) idleLatency(attempt *attempt) float64 {
	c := attempt.part.query.class
	latency := float64(a.now-attempt.sentAt) / loadFactor(attempt.estimatedLoad) / attempt.part.relativeCost
	return min(latency, maxSampleLatencyRatio*c.referenceLatency)
}

// recordAnswer adds the latency of an answer, in microseconds, to the statistics.
func (a *Aggregator) recordAnswer(s *server, c *class, latency float64) {
	c.answerCount++
	a.fleet.answerCount++
	smooth(&a.fleet.meanLatency, latency, max(fleetGain, 1/(a.fleet.answerCount+objectivePriorWeight)))
	smooth(&c.referenceLatency, latency, max(fleetGain, 1/(c.answerCount+objectivePriorWeight)))
	a.fleet.baseLatency = min(a.fleet.baseLatency, a.fleet.meanLatency)
	s.respondedAt = a.now
	s.consecutiveRejections = 0
	smooth(&s.failureRate, 0, recoveryGain)
	a.recordLatencyRatio(s, latency/c.referenceLatency)
}

// backOffFrom suspends sending to a server that rejected a part. The time doubles with each consecutive rejection, up to
// maxBackoffDoublings times and the latency objective.
func (a *Aggregator) backOffFrom(s *server, c *class) {
	s.consecutiveRejections = min(s.consecutiveRejections+1, maxBackoffDoublings)
	s.backoffUntil = a.now + min(Micros(c.referenceLatency)<<s.consecutiveRejections/2, c.LatencyObjective)
}

// recordLatencyRatio adds a sample to a server's latency ratio, which rises faster than it falls.
func (a *Aggregator) recordLatencyRatio(s *server, ratio float64) {
	ratio = min(ratio, maxSampleLatencyRatio)
	gain := improvementGain
	if ratio > s.latencyRatio {
		gain = degradationGain
	}
	smooth(&s.latencyRatio, ratio, gain)
	s.sampledAt = a.now
}
