package policy

import "math"

// slowStartUtilization is the share of a warming server's limit, 0 to 1, that all aggregators together use if each of
// them may send it less than one part per overload duration.
const slowStartUtilization = 0.4

// slowStartEnd returns the time from which a server's slow start no longer limits the work that may be sent to it.
func (a *Aggregator) slowStartEnd(s *server) Micros {
	return s.StartedAt + a.settings.SlowStartDuration + a.settings.OverloadDuration
}

// slowStartAllowance returns the work, in microseconds, that this aggregator may send to a server per overload
// duration: its equal share of the server's limit. The allowance is infinite for a warm server.
func (a *Aggregator) slowStartAllowance(s *server) float64 {
	if s.StartedAt <= 0 || a.settings.OverloadFactor <= 0 || a.now >= a.slowStartEnd(s) {
		return math.Inf(1)
	}
	overloadDuration := a.settings.OverloadDuration
	progress := max(0, float64(a.now-overloadDuration-s.StartedAt)/float64(a.settings.SlowStartDuration))
	fraction := min(1, a.settings.SlowStartFraction+(1-a.settings.SlowStartFraction)*progress)
	fleetAllowance := a.settings.OverloadFactor * fraction * a.fleet.sustainedWorkRate * float64(overloadDuration)
	return fleetAllowance / float64(a.settings.InstanceCount)
}

// slowStartWait returns the expected time, in microseconds, until a part may be sent to a warming server.
func (a *Aggregator) slowStartWait(s *server) float64 {
	allowance := a.slowStartAllowance(s)
	if allowance < a.fleet.baseLatency {
		return float64(max(0, a.slowStartNextSend(s, allowance)-a.now))
	}
	return float64(a.settings.OverloadDuration) * a.fleet.baseLatency / allowance / 2
}

// slowStartAllows reports whether the slow start allowance permits a part to be sent to a server now.
func (a *Aggregator) slowStartAllows(s *server, p *part) bool {
	allowance := a.slowStartAllowance(s)
	if allowance < a.fleet.baseLatency {
		return a.now >= a.slowStartNextSend(s, allowance)
	}
	work := p.query.class.referenceLatency
	for _, sent := range dropBefore(s.slowStartSends, a.slowStartWindowStart()) {
		work += sent.amount
	}
	return work <= allowance
}

// slowStartNextSend returns the time from which this aggregator may send a part to a warming server if its allowance
// is less than one part. Fixed time slots would mostly go unused, since an aggregator with little traffic seldom has a
// part to send in its slot. Instead, the pause after a part plus the mean time until the next part arrives equals the
// interval that the allowance permits.
func (a *Aggregator) slowStartNextSend(s *server, allowance float64) Micros {
	interval := a.fleet.baseLatency / allowance / slowStartUtilization * float64(a.settings.OverloadDuration)
	pause := Micros(interval - a.meanArrivalInterval(s))
	if sends := len(s.slowStartSends); sends > 0 {
		return s.slowStartSends[sends-1].at + max(pause, a.settings.OverloadDuration+a.settings.Tick)
	}
	instances := uint64(a.settings.InstanceCount)
	slot := (uint64(a.settings.InstanceIndex) + uint64(s.ID)) % instances
	return s.StartedAt + pause - Micros(interval*float64(slot)/float64(instances))
}

// meanArrivalInterval returns the mean time, in microseconds, between parts that this aggregator accepts for a server's
// shards. It assumes one more arrival than there were, since there may have been few so far.
func (a *Aggregator) meanArrivalInterval(s *server) float64 {
	duration := float64(a.settings.SlowStartDuration)
	arrivals := 1.0
	ringSize := a.settings.RingSize
	for offset := range a.settings.ReplicationFactor {
		for shard := (s.RingPosition - offset + ringSize) % ringSize; shard < a.settings.Shards; shard += ringSize {
			arrivals += a.decayedArrivals(shard, duration)
		}
	}
	return duration * (1 - math.Exp(-float64(a.now-a.startedAt)/duration)) / arrivals
}

// recordArrival counts an accepted part of a shard.
func (a *Aggregator) recordArrival(shard int) {
	arrivals := a.decayedArrivals(shard, float64(max(a.settings.SlowStartDuration, 1)))
	a.shardArrivals[shard] = timedAmount{a.now, 1 + arrivals}
}

// decayedArrivals returns the number of a shard's accepted parts, decayed exponentially with a time constant in
// microseconds.
func (a *Aggregator) decayedArrivals(shard int, timeConstant float64) float64 {
	arrivals := a.shardArrivals[shard]
	return arrivals.amount * math.Exp(-float64(a.now-arrivals.at)/timeConstant)
}

// recordSlowStartSend records work, in microseconds, that is sent to a server during its slow start.
func (a *Aggregator) recordSlowStartSend(s *server, work float64) {
	if a.now >= a.slowStartEnd(s) {
		s.slowStartSends = nil
		return
	}
	s.slowStartSends = append(dropBefore(s.slowStartSends, a.slowStartWindowStart()), timedAmount{a.now, work})
}

// slowStartWindowStart returns the time from which sent work counts toward the allowance. The window is one tick longer
// than the overload duration as a safety margin.
func (a *Aggregator) slowStartWindowStart() Micros {
	return a.now - a.settings.OverloadDuration - a.settings.Tick
}
