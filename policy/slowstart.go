package policy

import "math"

// slowStartShare is the work that this aggregator may send a server within the rule's span: an equal part.
func (a *Aggregator) slowStartShare(s *server) float64 {
	if s.StartedAt <= 0 || a.settings.OverloadFactor <= 0 || a.now >= s.StartedAt+a.settings.SlowStartDuration+a.settings.OverloadDuration {
		return math.Inf(1)
	}
	age := max(0, float64(a.now-a.settings.OverloadDuration-s.StartedAt)/float64(a.settings.SlowStartDuration))
	share := min(1, a.settings.SlowStartFraction+(1-a.settings.SlowStartFraction)*age)
	return a.settings.OverloadFactor * share * a.sustainedRate * float64(a.settings.OverloadDuration) / float64(a.settings.InstanceCount)
}

// slowStartWait is how long a part waits for its turn at a cold server.
func (a *Aggregator) slowStartWait(s *server) float64 {
	own := a.slowStartShare(s)
	if own < a.baseLatency {
		return float64(max(0, a.slowStartTurn(s, own)-a.now))
	}
	return float64(a.settings.OverloadDuration) * a.baseLatency / own / 2
}

// slowStartAllows keeps a cold server from being pushed over by all: each keeps to its share, or to its turns.
func (a *Aggregator) slowStartAllows(s *server, p *part) bool {
	own := a.slowStartShare(s)
	if own < a.baseLatency {
		return a.now >= a.slowStartTurn(s, own)
	}
	sum := p.query.class.referenceLatency
	for _, e := range dropBefore(s.sendHistory, a.now-a.settings.OverloadDuration-a.settings.Tick) {
		sum += e.work
	}
	return sum <= own
}

// slowStartTurn is from when on this aggregator may send a part to a cold server of which its share is less than
// one. Many that see little traffic seldom have one for it, and fixed turns would mostly lapse: the pause
// after the newest one and the time until there is a next make up the interval that is due to each.
func (a *Aggregator) slowStartTurn(s *server, own float64) Micros {
	due, fleet := a.baseLatency/own/slowStartUtilization*float64(a.settings.OverloadDuration), uint64(a.settings.InstanceCount)
	pause := Micros(due - a.meanArrivalInterval(s))
	if len(s.sendHistory) > 0 {
		return s.sendHistory[len(s.sendHistory)-1].at + max(pause, a.settings.OverloadDuration+a.settings.Tick)
	}
	return s.StartedAt + pause - Micros(due*float64((uint64(a.settings.InstanceIndex)+uint64(s.ID))%fleet)/float64(fleet))
}

// meanArrivalInterval is the mean time between two parts that this aggregator takes for a server's shards: so little has
// been seen of these that one part more than came is counted.
func (a *Aggregator) meanArrivalInterval(s *server) float64 {
	n := 1.0
	for j := range a.settings.ReplicationFactor {
		for i := (s.RingPosition - j + a.settings.RingSize) % a.settings.RingSize; i < a.settings.Shards; i += a.settings.RingSize {
			n += a.shardArrivals[i].work * math.Exp(-float64(a.now-a.shardArrivals[i].at)/float64(a.settings.SlowStartDuration))
		}
	}
	return float64(a.settings.SlowStartDuration) * (1 - math.Exp(-float64(a.now-a.startedAt)/float64(a.settings.SlowStartDuration))) / n
}
