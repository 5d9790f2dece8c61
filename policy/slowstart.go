package policy

import "math"

// slowStartUtilization is the share of what a warming server can do, 0 to 1, that all aggregators together use when
// each of them may send it less than one part within the overload duration.
const slowStartUtilization = 0.4

// slowStartEnd returns from when on a server's slow start no longer matters.
func (a *Aggregator) slowStartEnd(s *server) Micros {
	return s.StartedAt + a.settings.SlowStartDuration + a.settings.OverloadDuration
}

// slowStartAllowance returns the work, in microseconds, that this aggregator may send a server within the overload
// duration: an equal share of what the server can do. It is infinite for a warm server.
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

// slowStartWait returns the expected wait, in microseconds, until a part may be sent to a warming server.
func (a *Aggregator) slowStartWait(s *server) float64 {
	allowance := a.slowStartAllowance(s)
	if allowance < a.fleet.baseLatency {
		return float64(max(0, a.slowStartNextSend(s, allowance)-a.now))
	}
	return float64(a.settings.OverloadDuration) * a.fleet.baseLatency / allowance / 2
}

// slowStartAllows reports whether a part may be sent to a server without exceeding the allowance while it warms up.
func (a *Aggregator) slowStartAllows(s *server, p *part) bool {
	allowance := a.slowStartAllowance(s)
	if allowance < a.fleet.baseLatency {
		return a.now >= a.slowStartNextSend(s, allowance)
	}
	work := p.query.class.referenceLatency
	for _, entry := range dropBefore(s.slowStartSends, a.slowStartWindowStart()) {
		work += entry.amount
	}
	return work <= allowance
}

// slowStartNextSend returns from when on this aggregator may send a part to a warming server if its allowance is
// less than one part. Fixed time slots would mostly pass unused, since an aggregator with little traffic seldom has
// a part at its slot. Instead, the pause after a part and the mean time until the next one arrives add up to the
// interval that the allowance permits.
func (a *Aggregator) slowStartNextSend(s *server, allowance float64) Micros {
	interval := a.fleet.baseLatency / allowance / slowStartUtilization * float64(a.settings.OverloadDuration)
	pause := Micros(interval - a.meanArrivalInterval(s))
	if sent := len(s.slowStartSends); sent > 0 {
		return s.slowStartSends[sent-1].at + max(pause, a.settings.OverloadDuration+a.settings.Tick)
	}
	instances := uint64(a.settings.InstanceCount)
	slot := (uint64(a.settings.InstanceIndex) + uint64(s.ID)) % instances
	return s.StartedAt + pause - Micros(interval*float64(slot)/float64(instances))
}

// meanArrivalInterval returns the mean time, in microseconds, between two parts of a server's shards that this
// aggregator accepts. One arrival more than seen is assumed, since there may have been few so far.
func (a *Aggregator) meanArrivalInterval(s *server) float64 {
	duration := float64(a.settings.SlowStartDuration)
	arrivals := 1.0
	size := a.settings.RingSize
	for offset := range a.settings.ReplicationFactor {
		for shard := (s.RingPosition - offset + size) % size; shard < a.settings.Shards; shard += size {
			arrivals += a.decayedArrivals(shard, duration)
		}
	}
	return duration * (1 - math.Exp(-float64(a.now-a.startedAt)/duration)) / arrivals
}

// recordArrival counts a part of a shard that was accepted.
func (a *Aggregator) recordArrival(shard int) {
	arrivals := a.decayedArrivals(shard, float64(max(a.settings.SlowStartDuration, 1)))
	a.shardArrivals[shard] = timedAmount{a.now, 1 + arrivals}
}

// decayedArrivals returns the number of a shard's accepted parts, decaying exponentially over a duration in
// microseconds.
func (a *Aggregator) decayedArrivals(shard int, duration float64) float64 {
	newest := a.shardArrivals[shard]
	return newest.amount * math.Exp(-float64(a.now-newest.at)/duration)
}

// recordSlowStartSend records work, in microseconds, that is sent to a server that warms up.
func (a *Aggregator) recordSlowStartSend(s *server, work float64) {
	if a.now >= a.slowStartEnd(s) {
		s.slowStartSends = nil
		return
	}
	s.slowStartSends = append(dropBefore(s.slowStartSends, a.slowStartWindowStart()), timedAmount{a.now, work})
}

// slowStartWindowStart returns since when sent work counts toward the allowance, one tick to the careful side.
func (a *Aggregator) slowStartWindowStart() Micros {
	return a.now - a.settings.OverloadDuration - a.settings.Tick
}
