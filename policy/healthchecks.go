package policy

import "slices"

// awaitsHealthChecks tells whether a part waits a moment for word of its replicas.
func (a *Aggregator) awaitsHealthChecks(p *part) bool {
	probing := func(s *server) bool { return s.healthCheckInFlight || a.settings.BatchOverhead > 0 } // parts leave in one turn
	return a.now < p.notBefore && slices.ContainsFunc(a.replicas[p.Shard], probing)
}

// checkHealth probes a part's replicas that were not heard of lately, before it is dealt. Parts pay for it.
func (a *Aggregator) checkHealth(p *part) {
	earn := healthCheckBudget / max(a.settings.PriceHealthCheck, healthCheckBudget/float64(a.settings.ReplicationFactor))
	a.healthCheckCredits = min(a.healthCheckCredits+earn, float64(len(a.serversByID)))
	for _, s := range a.replicas[p.Shard] {
		if a.settings.AllowHealthChecks && a.healthCheckCredits >= 1 && !s.healthCheckInFlight && s.loadReportAt <= a.now-Micros(reportLifetime*a.meanObjective/2) {
			s.healthCheckInFlight, s.healthCheckAt = true, a.now
			a.healthCheckCredits--
			a.emit(HealthCheck{Server: s.ID})
		}
		if s.healthCheckInFlight {
			p.notBefore = a.now + 2*a.settings.Tick
		}
	}
}

func (a *Aggregator) handleHealthCheckResult(e HealthCheckResult) {
	s := a.servers[e.Server]
	if s == nil || !s.healthCheckInFlight {
		return
	}
	s.healthCheckInFlight, s.loadReportAt, s.healthCheckDelay = false, a.now, a.now-s.healthCheckAt
	if e.Status == OK {
		s.respondedAt = a.now
		if e.Report.Utilization >= 0 {
			a.meanUtilization += referenceGain * (e.Report.Utilization - a.meanUtilization)
		}
		a.recordLoad(s, e.Report)
	} else {
		s.loadReport = NoLoadReport
		s.healthCheckDelay = max(s.healthCheckDelay, Micros(lateThreshold*a.meanLatency))
	}
}

// backlog is the wait that a server's newest probe showed, answered or not, less the time gone by since.
func (a *Aggregator) backlog(s *server) Micros {
	if s.healthCheckInFlight {
		return a.now - s.healthCheckAt
	}
	return max(0, s.healthCheckAt+2*s.healthCheckDelay-a.now)
}

func (a *Aggregator) isBusy(s *server) bool { return a.backlog(s) >= 2*a.settings.Tick }
