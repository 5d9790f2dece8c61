package policy

import (
	"cmp"
	"slices"
)

type server struct {
	Endpoint
	latencyRatio, sustainedRate                 float64 // smoothed latency, in references at no load; work a second it reports
	failureRate                                 float64 // smoothed share of its attempts that failed though it can be reached
	loadReport                                  LoadReport
	sampledAt, respondedAt, loadReportAt        Micros // of the newest sample; answer or probe result; report
	inFlightAtReport                            int    // own attempts out when the report came
	inFlight                                    []*attempt
	sendHistory                                 []historyEntry  // what it was sent
	deficits                                    map[int]float64 // parts of each shard that it is due
	outlierLogged, healthCheckInFlight, suspect bool            // a probe is out; silent on an idle connection
	healthCheckAt, healthCheckDelay             Micros          // when the newest probe left, how long it took
	connectionUsedAt                            Micros          // when its connection was opened or last brought an answer
	batchAt, backoffUntil                       Micros          // when its newest call left; until when it is taken for full
	batchSize, rejections                       int             // of that call; attempts turned away since the last answer
}

// applyEndpoints takes the list as it now is. Servers that left are kept as gone while attempts are out.
func (a *Aggregator) applyEndpoints(list []Endpoint) {
	for _, s := range a.serversByID {
		s.State = Removed
	}
	for _, line := range list {
		s := a.servers[line.ID]
		if s == nil {
			s = &server{latencyRatio: 1, loadReport: NoLoadReport, respondedAt: a.now, connectionUsedAt: a.now, deficits: map[int]float64{}}
			a.servers[line.ID] = s
			a.serversByID = append(a.serversByID, s)
		} else if line.StartedAt != s.StartedAt { // a fresh process: what was known of the old one is void
			s.latencyRatio, s.failureRate, s.loadReport, s.outlierLogged = 1, 0, NoLoadReport, false
			s.sendHistory, s.connectionUsedAt, s.suspect = nil, a.now, false
		}
		s.Endpoint = line
	}
	slices.SortFunc(a.serversByID, func(x, y *server) int { return cmp.Compare(x.ID, y.ID) })
	a.rebuildReplicas()
}

// rebuildReplicas finds each shard's replicas anew, by id.
func (a *Aggregator) rebuildReplicas() {
	left := func(s *server) bool { return s.State == Removed && len(s.inFlight) == 0 }
	a.serversByID = slices.DeleteFunc(a.serversByID, left)
	clear(a.servers)
	clear(a.replicas)
	for _, s := range a.serversByID {
		a.servers[s.ID] = s
		for i := range a.replicas {
			if s.State == Ready && a.holdsShard(s, i) {
				a.replicas[i] = append(a.replicas[i], s)
			}
		}
	}
}

func (a *Aggregator) holdsShard(s *server, shard int) bool {
	n := a.settings.RingSize
	return s.RingPosition >= 0 && s.RingPosition < n && ((s.RingPosition-shard)%n+n)%n < a.settings.ReplicationFactor
}
