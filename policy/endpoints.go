package policy

import (
	"cmp"
	"math"
	"slices"
)

// minPollBackoffFactor is the factor on the polling backoff of the first instance. The factor grows with the instance
// index, to almost 1 more for the last instance, so that the instances do not poll at the same time.
const minPollBackoffFactor = 0.5

// endpointPolling is the polling state of the endpoint list.
type endpointPolling struct {
	nextAt              Micros // time of the next poll
	consecutiveFailures int    // failed polls since the last list, up to maxBackoffDoublings
}

// server is the state of an endpoint.
type server struct {
	Endpoint

	// latencyRatio is the smoothed latency as a multiple of the class's reference latency, corrected for load.
	latencyRatio float64

	// failureRate is the smoothed share of attempts, 0 to 1, that reached the server and failed.
	failureRate float64

	// sustainedWorkRate is the smoothed rate of work that the server reports, in seconds of work per second.
	sustainedWorkRate float64

	sampledAt   Micros // time of the last update of latencyRatio
	respondedAt Micros // time of the last answer to an attempt or a health check

	loadReport       LoadReport
	loadReportAt     Micros // arrival of the load report, or end of a health check without one
	inFlightAtReport int    // own attempts in flight when the load report arrived

	inFlight []*attempt

	// slowStartSends are the amounts of work sent to the server during its slow start, in order of time.
	slowStartSends []timedAmount

	// deficits maps the index of a shard to the number of its parts that the server has yet to receive for its share.
	deficits map[int]float64

	// loggedAsOutlier is the outlier status that was last logged.
	loggedAsOutlier bool

	// idleConnectionsSuspect is set if an attempt on an idle connection was late, until one is answered on a connection
	// that is not fresh or the idle connections are closed.
	idleConnectionsSuspect bool

	// connectionUsedAt is the time at which a fresh connection was last requested or an attempt last ended other than as
	// TimedOut or Canceled.
	connectionUsedAt Micros

	healthCheckInFlight bool
	healthCheckSentAt   Micros // time at which the latest health check was sent
	healthCheckDelay    Micros // duration of the latest health check

	batchSentAt Micros // time at which the latest batch was sent
	batchSize   int    // parts in the latest batch

	backoffUntil          Micros // end of the backoff after a rejection
	consecutiveRejections int    // attempts rejected since the last answer, up to maxBackoffDoublings
}

// reset discards the statistics that are outdated once the server's process was restarted. Attempts in flight stay.
func (s *server) reset(now Micros) {
	s.latencyRatio = 1
	s.failureRate = 0
	s.loadReport = NoLoadReport
	s.loggedAsOutlier = false
	s.slowStartSends = nil
	s.connectionUsedAt = now
	s.idleConnectionsSuspect = false
}

// pollEndpoints polls the endpoint list if a poll is due. It schedules no further poll: backOffPolling does, if this
// one fails.
func (a *Aggregator) pollEndpoints() {
	if a.settings.PollEndpoints && a.now >= a.polling.nextAt {
		a.emit(PollEndpoints{})
		a.polling.nextAt = math.MaxInt64
	}
}

// backOffPolling schedules the next poll after a failed one. The delay depends on the instance index, since polls of
// all instances at once could overload the discovery service so that it answers none.
func (a *Aggregator) backOffPolling() {
	if !a.settings.PollEndpoints {
		return
	}
	a.polling.consecutiveFailures = min(a.polling.consecutiveFailures+1, maxBackoffDoublings)
	factor := minPollBackoffFactor + float64(a.settings.InstanceIndex)/float64(a.settings.InstanceCount)
	maxWait := cmp.Or(a.settings.MaxPollInterval, math.MaxInt64)
	wait := min(Micros(a.meanLatencyObjective*factor)<<a.polling.consecutiveFailures, maxWait)
	a.polling.nextAt = a.now + wait
	a.emit(SetTimer{Delay: wait})
}

// applyEndpoints replaces the endpoint list. Servers that are no longer listed are kept as Removed while they have
// attempts in flight.
func (a *Aggregator) applyEndpoints(list []Endpoint) {
	for _, s := range a.sortedServers {
		s.State = Removed
	}
	for _, endpoint := range list {
		s := a.serversByID[endpoint.ID]
		if s == nil {
			s = a.addServer(endpoint.ID)
		} else if endpoint.StartedAt != s.StartedAt {
			s.reset(a.now)
		}
		s.Endpoint = endpoint
	}
	slices.SortFunc(a.sortedServers, func(x, y *server) int { return cmp.Compare(x.ID, y.ID) })
	a.rebuildReplicas()
}

func (a *Aggregator) addServer(id uint32) *server {
	s := &server{
		latencyRatio:     1,
		loadReport:       NoLoadReport,
		respondedAt:      a.now,
		connectionUsedAt: a.now,
		deficits:         map[int]float64{},
	}
	a.serversByID[id] = s
	a.sortedServers = append(a.sortedServers, s)
	return s
}

// rebuildReplicas deletes removed servers without attempts in flight and rebuilds the lists of each shard's replicas.
func (a *Aggregator) rebuildReplicas() {
	a.sortedServers = slices.DeleteFunc(a.sortedServers, func(s *server) bool {
		return s.State == Removed && len(s.inFlight) == 0
	})
	clear(a.serversByID)
	clear(a.replicas)
	for _, s := range a.sortedServers {
		a.serversByID[s.ID] = s
		for shard := range a.replicas {
			if s.State == Ready && a.holdsShard(s, shard) {
				a.replicas[shard] = append(a.replicas[shard], s)
			}
		}
	}
}

// holdsShard reports whether a server's ring position is one of the ReplicationFactor positions that hold the shard.
func (a *Aggregator) holdsShard(s *server, shard int) bool {
	ringSize := a.settings.RingSize
	if s.RingPosition < 0 || s.RingPosition >= ringSize {
		return false
	}
	distance := ((s.RingPosition-shard)%ringSize + ringSize) % ringSize
	return distance < a.settings.ReplicationFactor
}
