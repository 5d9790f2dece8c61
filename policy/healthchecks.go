package policy

import "slices"

const (
	// healthCheckBudget is the share of a part's value, 0 to 1, that may be spent on health checks.
	healthCheckBudget = 0.015

	// healthCheckWaitTicks is the maximum number of ticks that a part waits for health checks.
	healthCheckWaitTicks = 2

	// busyBacklogTicks is the backlog, in ticks, from which a server is busy.
	busyBacklogTicks = 2

	// failedCheckDelayRatio is the minimum delay assumed for a failed health check, in mean latencies.
	failedCheckDelayRatio = 3.0
)

// requestHealthChecks adds a part's share of the health check budget and, within the budget, checks those of its
// replicas whose load report is missing or old. It delays the part if health checks of its replicas are in flight.
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

// mayCheckHealth reports whether a health check of a server is allowed, within the budget and due.
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

// awaitsHealthChecks reports whether a part is delayed until the health checks of its replicas end. If batches have
// overhead, the part is delayed for the full time, so that the parts of a query are sent in the same step.
func (a *Aggregator) awaitsHealthChecks(p *part) bool {
	if a.now >= p.notBefore {
		return false
	}
	return slices.ContainsFunc(a.replicas[p.Shard], func(s *server) bool {
		return s.healthCheckInFlight || a.settings.BatchOverhead > 0
	})
}

// handleHealthCheckResult records the result of a health check. It ignores results of checks that are not in flight.
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

// backlog returns the estimated wait at a server: the delay of its latest health check less the time since the check
// ended. While a check is in flight, it is the age of the check.
func (a *Aggregator) backlog(s *server) Micros {
	if s.healthCheckInFlight {
		return a.now - s.healthCheckSentAt
	}
	endedAt := s.healthCheckSentAt + s.healthCheckDelay
	return max(0, endedAt+s.healthCheckDelay-a.now)
}

func (a *Aggregator) isBusy(s *server) bool { return a.backlog(s) >= busyBacklogTicks*a.settings.Tick }
