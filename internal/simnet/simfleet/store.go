package simfleet

import (
	"math"
	"math/rand/v2"

	"alderproxy/internal/simnet"
	"alderproxy/policy"
)

// overloadTolerance is the factor by which arriving work must exceed the limit of slow start to count as overload.
const overloadTolerance = 1.05

// Machine describes the machine of a store.
type Machine struct {
	Cores int
	// MaxRunning is the maximum number of requests that run at a time, and MaxQueued the maximum number that wait.
	MaxRunning int
	MaxQueued  int
	// Speed is the work that a core does per unit of time.
	Speed float64
	// PauseInterval is the mean time between the starts of two pauses, and PauseDuration their duration. There are no pauses
	// if PauseInterval is 0.
	PauseInterval Micros
	PauseDuration Micros
	// ReportInterval is the minimum time between two updates of the load report.
	ReportInterval Micros
	// HandshakeWork is the work of a new connection, and HealthCheckWork the duration of a health check.
	HandshakeWork   Micros
	HealthCheckWork Micros
	// ErrorRate is the fraction of the requests that fail at once.
	ErrorRate float64
}

// Store is a simulated store with cores, a bounded queue and a load report that is updated periodically. It completes
// requests even if their attempts have finished and nobody waits for the response.
type Store struct {
	Machine
	Endpoint policy.Endpoint
	Stats    StoreStats

	network       *simnet.Network
	node          simnet.NodeID
	rng           *rand.Rand
	settings      *policy.Settings
	running       int
	queued        []job
	report        policy.LoadReport
	reportedAt    Micros // 0: never
	pausedUntil   Micros
	arrivalRate   float64 // smoothed, per second
	arrivalRateAt Micros  // the time of the last update of arrivalRate
	// recentArrivals contains the arrivals within the last OverloadDuration of the settings, during slow start only.
	recentArrivals []arrival
	meanPartWork   float64
}

// StoreStats contains the statistics of a store. Work is in microseconds of a core of speed 1.
type StoreStats struct {
	Accepted, QueueFull, HealthChecks, Connections int
	// Wasted is the work on requests for whose response nobody waited.
	Work, Wasted float64
	// Overloaded is true if, during slow start, the work that arrived within OverloadDuration exceeded the limit of the
	// settings by more than the factor overloadTolerance.
	Overloaded bool
	// PeakOverload is the maximum, during slow start, of the work that arrived within OverloadDuration, relative to the
	// capacity.
	PeakOverload float64
	// ExcessParts is the maximum, during slow start, of the number of parts of mean work that arrived within
	// OverloadDuration in excess of random variation: in excess of N + 2*sqrt(N) + 2, where N is the number that the
	// settings allow. It is negative or 0 if there was no excess.
	ExcessParts float64
}

// arrival is the arrival of a request.
type arrival struct {
	at   Micros
	work float64
}

// job is a request at a store.
type job struct {
	work float64
	// nominalWork is the mean work of a part of the query's class, or the work of a handshake. Overload is determined by it.
	nominalWork float64
	// respond sends the response and reports whether an aggregator still waited for it.
	respond func(policy.Status, policy.LoadReport) bool
}

// capacityFraction returns the fraction of the full capacity that the store has. It grows linearly during slow start.
func (s *Store) capacityFraction(now Micros) float64 {
	if s.Endpoint.StartedAt <= 0 || s.settings.SlowStartDuration <= 0 {
		return 1
	}
	progress := float64(now-s.Endpoint.StartedAt) / float64(s.settings.SlowStartDuration)
	return min(1, s.settings.SlowStartFraction+(1-s.settings.SlowStartFraction)*max(0, progress))
}

// recordArrival updates the overload statistics if the store is in slow start.
func (s *Store) recordArrival(work float64) {
	now := s.network.Now()
	fraction := s.capacityFraction(now)
	if fraction >= 1 || s.settings.OverloadDuration <= 0 {
		s.recentArrivals = nil
		return
	}
	s.recentArrivals = append(s.recentArrivals, arrival{now, work})
	for s.recentArrivals[0].at <= now-s.settings.OverloadDuration {
		s.recentArrivals = s.recentArrivals[1:]
	}
	arrived := 0.0
	for _, recent := range s.recentArrivals {
		arrived += recent.work
	}
	capacity := fraction * float64(s.Cores) * s.Speed * float64(s.settings.OverloadDuration)
	s.Stats.PeakOverload = max(s.Stats.PeakOverload, arrived/capacity)
	if arrived > s.settings.OverloadFactor*capacity*overloadTolerance {
		s.Stats.Overloaded = true
	}
	allowedParts := s.settings.OverloadFactor * capacity / s.meanPartWork
	s.Stats.ExcessParts = max(s.Stats.ExcessParts, arrived/s.meanPartWork-(allowedParts+2*math.Sqrt(allowedParts)+2))
}

// accept runs, queues, fails or rejects an arriving request.
func (s *Store) accept(request job) {
	s.recordArrival(request.nominalWork)
	s.updateArrivalRate()
	switch {
	case s.rng.Float64() < s.ErrorRate:
		request.respond(policy.ServerError, s.loadReport())
	case s.running < s.MaxRunning:
		s.Stats.Accepted++
		s.start(request)
	case len(s.queued) < s.MaxQueued:
		s.Stats.Accepted++
		s.queued = append(s.queued, request)
	default:
		s.Stats.QueueFull++
		request.respond(policy.Rejected, s.loadReport())
	}
}

// start runs a request. If more requests run than there are cores, they share the cores.
func (s *Store) start(request job) {
	s.running++
	now := s.network.Now()
	sharing := max(1, float64(s.running)/float64(s.Cores))
	duration := Micros(request.work * sharing / (s.Speed * s.capacityFraction(now)))
	duration += s.remainingPause()
	s.network.Schedule(s.node, duration, func() { s.finish(request) })
}

// finish responds to a request and starts the next one in the queue. During a pause, it does so after the pause.
func (s *Store) finish(request job) {
	if pause := s.remainingPause(); pause > 0 {
		s.network.Schedule(s.node, pause, func() { s.finish(request) })
		return
	}
	s.running--
	s.Stats.Work += request.work
	if !request.respond(policy.OK, s.loadReport()) {
		s.Stats.Wasted += request.work
	}
	if len(s.queued) > 0 {
		next := s.queued[0]
		s.queued = s.queued[1:]
		s.start(next)
	}
}

// updateArrivalRate adds an arrival to the exponentially smoothed rate.
func (s *Store) updateArrivalRate() {
	now := s.network.Now()
	s.arrivalRate = s.decayedArrivalRate(now) + 1
	s.arrivalRateAt = now
}

func (s *Store) decayedArrivalRate(now Micros) float64 {
	return s.arrivalRate * math.Exp(-float64(now-s.arrivalRateAt)/microsPerSecond)
}

// loadReport returns the load report, which is updated at most once per ReportInterval.
func (s *Store) loadReport() policy.LoadReport {
	now := s.network.Now()
	if s.reportedAt == 0 || now-s.reportedAt >= s.ReportInterval {
		s.reportedAt = now
		s.report = policy.NoLoadReport
		s.report.Queued = float64(len(s.queued))
		s.report.RequestRate = s.decayedArrivalRate(now)
	}
	return s.report
}

// connect accepts a new connection, whose handshake is a request as well.
func (s *Store) connect() {
	s.Stats.Connections++
	handshake := float64(s.HandshakeWork)
	s.accept(job{
		work:        handshake,
		nominalWork: handshake,
		respond:     func(policy.Status, policy.LoadReport) bool { return true },
	})
}

// checkHealth calls respond with the load report after the current pause and the duration of a health check.
func (s *Store) checkHealth(respond func(policy.LoadReport)) {
	s.Stats.HealthChecks++
	s.network.Schedule(s.node, s.remainingPause()+s.HealthCheckWork, func() { respond(s.loadReport()) })
}

// remainingPause returns the remaining time of the current pause, or 0 if there is none.
func (s *Store) remainingPause() Micros { return max(0, s.pausedUntil-s.network.Now()) }

// PauseFor pauses the store for a duration, in which it accepts requests but completes none.
func (s *Store) PauseFor(duration Micros) {
	s.pausedUntil = max(s.pausedUntil, s.network.Now()+duration)
}

// SlowDown divides the store's speed by a factor for a duration.
func (s *Store) SlowDown(factor float64, duration Micros) {
	s.Speed /= factor
	s.network.Schedule(s.node, duration, func() { s.Speed *= factor })
}

// schedulePauses schedules the store's next pause and, after it, the following ones.
func (s *Store) schedulePauses() {
	if s.PauseInterval <= 0 {
		return
	}
	delay := s.PauseInterval/2 + s.rng.Int64N(s.PauseInterval)
	s.network.Schedule(s.node, delay, func() {
		s.PauseFor(s.PauseDuration)
		s.schedulePauses()
	})
}
