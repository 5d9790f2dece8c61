package simfleet

import (
	"math"
	"math/rand/v2"

	"alderproxy/internal/simnet"
	"alderproxy/policy"
)

// Machine is what a store's machine can do.
type Machine struct {
	Cores, Slots, Queue int     // cores; requests in work at once; waiting ones
	Speed               float64 // work done in a second of a core
	PauseEvery, Pause   Micros  // it stands still now and then; 0: never
	Report              Micros  // age at which its load report is made anew
	Handshake           Micros  // work that a new connection costs
	ProbeWork           Micros
	Errors              float64 // share of parts answered with an error at once
}

// Store is a stand-in store: so many cores, a waiting room, a load report that is made now and then. It does not
// stop work that nobody waits for any more.
type Store struct {
	Machine
	Server policy.Endpoint

	net     *simnet.Net
	me      simnet.Party
	rng     *rand.Rand
	set     *policy.Settings
	running int
	waiting []job
	report  policy.LoadReport
	told    Micros
	stuck   Micros // it stands still until then
	recent  float64
	mark    Micros
	conns   map[simnet.Party]bool
	arrived []arrival // of the last FallAfter, of which Fell is judged
	mean    float64   // work of a part

	Stats StoreStats
}

// StoreStats is what a store has seen.
type StoreStats struct {
	Taken, Full, Probes, Conns int
	Work, Wasted               float64 // in microseconds of a core of speed 1; the latter for answers nobody took
	Fell                       bool    // it was sent more than a cold store bears
	Peak                       float64 // most that was sent within the rule's span, over what it bears in it
	// Excess is the most that came within the rule's span while it was cold beyond N + 2 x root of N + 2 parts of mean
	// work, N being what the settings allow then: chance does not account for more. Below 0: it never came to that.
	Excess float64
}

type arrival struct {
	at   Micros
	work float64
}

type job struct {
	work   float64
	counts float64                                     // by its class's mean, as the rule on cold stores has it
	done   func(policy.Status, policy.LoadReport) bool // tells whether anybody waited
}

// share is the part of its capacity that a store has: it warms evenly.
func (s *Store) share(now Micros) float64 {
	if s.Server.StartedAt <= 0 || s.set.SlowStartDuration <= 0 {
		return 1
	}
	age := float64(now-s.Server.StartedAt) / float64(s.set.SlowStartDuration)
	return min(1, s.set.SlowStartFraction+(1-s.set.SlowStartFraction)*max(0, age))
}

// pressure keeps account of what reaches a store: within any span of the rule's length that is bounded while it is cold.
func (s *Store) pressure(work float64) {
	now := s.net.Now()
	if s.share(now) >= 1 || s.set.OverloadDuration <= 0 {
		s.arrived = nil
		return
	}
	s.arrived = append(s.arrived, arrival{now, work})
	for s.arrived[0].at <= now-s.set.OverloadDuration {
		s.arrived = s.arrived[1:]
	}
	sum := 0.0
	for _, a := range s.arrived {
		sum += a.work
	}
	bears := s.share(now) * float64(s.Cores) * s.Speed * float64(s.set.OverloadDuration)
	s.Stats.Peak = max(s.Stats.Peak, sum/bears)
	s.Stats.Fell = s.Stats.Fell || sum > s.set.OverloadFactor*bears*1.05
	n := s.set.OverloadFactor * bears / s.mean
	s.Stats.Excess = max(s.Stats.Excess, sum/s.mean-(n+2*math.Sqrt(n)+2))
}

// take is called as a part arrives.
func (s *Store) take(j job) {
	s.pressure(j.counts)
	s.rate()
	switch {
	case s.rng.Float64() < s.Errors:
		j.done(policy.ServerError, s.load())
	case s.running < s.Slots:
		s.Stats.Taken++
		s.start(j)
	case len(s.waiting) < s.Queue:
		s.Stats.Taken++
		s.waiting = append(s.waiting, j)
	default:
		s.Stats.Full++
		j.done(policy.Rejected, s.load())
	}
}

// start works on a part. More parts than cores share these.
func (s *Store) start(j job) {
	s.running++
	crowd := max(1, float64(s.running)/float64(s.Cores))
	span := Micros(j.work * crowd / (s.Speed * s.share(s.net.Now())))
	if now := s.net.Now(); s.stuck > now {
		span += s.stuck - now
	}
	s.net.After(s.me, span, func() { s.finish(j) })
}

func (s *Store) finish(j job) {
	if now := s.net.Now(); s.stuck > now { // what stands still finishes nothing
		s.net.After(s.me, s.stuck-now, func() { s.finish(j) })
		return
	}
	s.running--
	s.Stats.Work += j.work
	if !j.done(policy.OK, s.load()) {
		s.Stats.Wasted += j.work
	}
	if len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.start(next)
	}
}

// rate smooths the parts a second that the report names, over a second.
func (s *Store) rate() {
	now := s.net.Now()
	s.recent = s.recent*math.Exp(-float64(now-s.mark)/1e6) + 1
	s.mark = now
}

// load is the report as it was last made.
func (s *Store) load() policy.LoadReport {
	if now := s.net.Now(); s.told == 0 || now-s.told >= s.Report {
		s.told, s.report = now, policy.NoLoadReport
		s.report.Queue = float64(len(s.waiting))
		s.report.Rate = s.recent * math.Exp(-float64(now-s.mark)/1e6)
	}
	return s.report
}

// connect is called as a gatherer opens a connection.
func (s *Store) connect(from simnet.Party) {
	s.conns[from] = true
	s.Stats.Conns++
	s.take(job{work: float64(s.Handshake), counts: float64(s.Handshake), done: func(policy.Status, policy.LoadReport) bool { return true }})
}

// Freeze has the store stand still for a span: it takes parts and answers none.
func (s *Store) Freeze(span Micros) { s.stuck = max(s.stuck, s.net.Now()+span) }

// Slow has the store work so many times slower for a span.
func (s *Store) Slow(times float64, span Micros) {
	s.Speed /= times
	s.net.After(s.me, span, func() { s.Speed *= times })
}

// pauses has the store stand still now and then.
func (s *Store) pauses() {
	if s.PauseEvery <= 0 {
		return
	}
	s.net.After(s.me, s.PauseEvery/2+s.rng.Int64N(s.PauseEvery), func() {
		s.Freeze(s.Pause)
		s.pauses()
	})
}
