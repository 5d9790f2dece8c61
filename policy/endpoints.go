package policy

import (
	"cmp"
	"math"
	"slices"
)

// minPollBackoffFactor is the factor on the polling backoff of the first instance; the last one's is nearly 1 more.
const minPollBackoffFactor = 0.5

// endpointPolling is the state of the polls of the endpoint list.
type endpointPolling struct {
	nextAt              Micros // when the next poll is due
	consecutiveFailures int    // failed polls since the last list, up to maxBackoffDoublings
}

// server is the state of an endpoint.
type server struct {
	Endpoint

	// latencyRatio is the smoothed latency as a multiple of the class's reference latency, load accounted for.
	latencyRatio float64

	// failureRate is the smoothed share of attempts, 0 to 1, that failed at the server once it was reached.
	failureRate float64

	// sustainedWorkRate is the smoothed rate of work that it reports, in seconds per second.
	sustainedWorkRate float64

	sampledAt   Micros // when latencyRatio was last updated
	respondedAt Micros // when it last answered an attempt or a health check

	loadReport       LoadReport
	loadReportAt     Micros // when the load report arrived, or a health check ended without one
	inFlightAtReport int    // own attempts in flight when the load report arrived

	inFlight []*attempt

	// slowStartSends is the work sent to the server while it warms up.
	slowStartSends []timedAmount

	// deficits are the parts of each shard, by index, that the server is due by its share of utility.
	deficits map[int]float64

	// loggedAsOutlier is whether the server was an outlier when that was last logged.
	loggedAsOutlier bool

	// idleConnectionsSuspect is set if an attempt on an idle connection was late and nothing was answered on one since.
	idleConnectionsSuspect bool

	// connectionUsedAt is when a connection was opened or last brought an answer.
	connectionUsedAt Micros

	healthCheckInFlight bool
	healthCheckSentAt   Micros // when the latest health check was sent
	healthCheckDelay    Micros // how long the latest health check took

	batchSentAt Micros // when the latest batch was sent
	batchSize   int    // parts in the latest batch

	backoffUntil          Micros // until when no part is sent after a rejection
	consecutiveRejections int    // attempts rejected since the last answer, up to maxBackoffDoublings
}

// reset forgets what is known of a server whose process was restarted. Attempts in flight stay.
func (s *server) reset(now Micros) {
	s.latencyRatio = 1
	s.failureRate = 0
	s.loadReport = NoLoadReport
	s.loggedAsOutlier = false
	s.slowStartSends = nil
	s.connectionUsedAt = now
	s.idleConnectionsSuspect = false
}

// pollEndpoints asks for the endpoint list when a poll is due. The next poll follows a failed one.
func (a *Aggregator) pollEndpoints() {
	if a.settings.PollEndpoints && a.now >= a.polling.nextAt {
		a.emit(PollEndpoints{})
		a.polling.nextAt = math.MaxInt64
	}
}

// backOffPolling schedules the next poll after a failed one. The instances spread their polls by index, since
// polls of all at once could keep the discovery service from answering any.
func (a *Aggregator) backOffPolling() {
	if !a.settings.PollEndpoints {
		return
	}
	a.polling.consecutiveFailures = min(a.polling.consecutiveFailures+1, maxBackoffDoublings)
	spread := minPollBackoffFactor + float64(a.settings.InstanceIndex)/float64(a.settings.InstanceCount)
	longest := cmp.Or(a.settings.MaxPollInterval, math.MaxInt64)
	wait := min(Micros(a.meanLatencyObjective*spread)<<a.polling.consecutiveFailures, longest)
	a.polling.nextAt = a.now + wait
	a.emit(SetTimer{Delay: wait})
}

// applyEndpoints replaces the endpoint list. Servers that are no longer listed stay as Removed while attempts are
// in flight there.
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

// rebuildReplicas drops removed servers without attempts in flight and finds each shard's replicas.
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

// holdsShard reports whether a server's ring position is among the ReplicationFactor ones from the shard's on.
func (a *Aggregator) holdsShard(s *server, shard int) bool {
	size := a.settings.RingSize
	if s.RingPosition < 0 || s.RingPosition >= size {
		return false
	}
	distance := ((s.RingPosition-shard)%size + size) % size
	return distance < a.settings.ReplicationFactor
}
