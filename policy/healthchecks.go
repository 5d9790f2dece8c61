package policy

import "slices"

const (
	// healthCheckBudget is the share of a part's value, 0 to 1, that may be spent on health checks.
	healthCheckBudget = 0.015

	// healthCheckWaitTicks is the number of ticks that a part waits for health checks at most.
	healthCheckWaitTicks = 2

	// busyBacklogTicks is the backlog in ticks from which a server is busy.
	busyBacklogTicks = 2

	// failedCheckDelayRatio is the delay that a failed health check counts for at least, in mean latencies.
	failedCheckDelayRatio = 3.0
)

// requestHealthChecks checks those of a part's replicas whose load is not known, as far as the parts so far have
// paid for it, and holds the part back while health checks are in flight there.
func (a *Aggregator) requestHealthChecks(p *part) {
	price := max(a.settings.HealthCheckPrice, healthCheckBudget/float64(a.settings.ReplicationFactor))
	a.healthCheckCredits = min(a.healthCheckCredits+healthCheckBudget/price, float64(len(a.sortedServers)))
	for _, s := range a.replicas[p.Shard] {
		if a.mayCheckHealth(s) {
			a.sendHealthCheck(s)
		}
		if s.healthCheckInFlight {
			p.notBefore = a.now + healthCheckWaitTicks*a.settings.Tick
		}
	}
}

func (a *Aggregator) mayCheckHealth(s *server) bool {
	if !a.settings.AllowHealthChecks || a.healthCheckCredits < 1 || s.healthCheckInFlight {
		return false
	}
	return s.loadReportAt <= a.now-Micros(loadReportLifetime*a.meanLatencyObjective/2)
}

func (a *Aggregator) sendHealthCheck(s *server) {
	s.healthCheckInFlight = true
	s.healthCheckSentAt = a.now
	a.healthCheckCredits--
	a.emit(HealthCheck{ServerID: s.ID})
}

// awaitsHealthChecks reports whether a part is held back for the health checks of its replicas. Where batches have
// overhead it is held back for the full time, so that the parts of a query leave in one step.
func (a *Aggregator) awaitsHealthChecks(p *part) bool {
	if a.now >= p.notBefore {
		return false
	}
	return slices.ContainsFunc(a.replicas[p.Shard], func(s *server) bool {
		return s.healthCheckInFlight || a.settings.BatchOverhead > 0
	})
}

// handleHealthCheckResult ends a health check and ignores results of health checks that are not in flight.
func (a *Aggregator) handleHealthCheckResult(result HealthCheckResult) {
	s := a.serversByID[result.ServerID]
	if s == nil || !s.healthCheckInFlight {
		return
	}
	s.healthCheckInFlight = false
	s.loadReportAt = a.now
	s.healthCheckDelay = a.now - s.healthCheckSentAt
	if result.Status != OK {
		s.loadReport = NoLoadReport
		s.healthCheckDelay = max(s.healthCheckDelay, Micros(failedCheckDelayRatio*a.fleet.meanLatency))
		return
	}
	s.respondedAt = a.now
	if result.Report.Utilization >= 0 {
		smooth(&a.fleet.meanUtilization, result.Report.Utilization, fleetGain)
	}
	a.recordLoad(s, result.Report)
}

// backlog returns the wait at a server that its latest health check has shown, less the time since. A check in
// flight counts by its age.
func (a *Aggregator) backlog(s *server) Micros {
	if s.healthCheckInFlight {
		return a.now - s.healthCheckSentAt
	}
	endedAt := s.healthCheckSentAt + s.healthCheckDelay
	return max(0, endedAt+s.healthCheckDelay-a.now)
}

func (a *Aggregator) isBusy(s *server) bool { return a.backlog(s) >= busyBacklogTicks*a.settings.Tick }
