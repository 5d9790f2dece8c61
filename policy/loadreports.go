package policy

// estimateLoad is what a server is held to have in hand: own attempts, or its report where that says more.
func (a *Aggregator) estimateLoad(s *server) float64 {
	own, told := float64(len(s.inFlight)), max(s.loadReport.Inflight, s.loadReport.Queue)
	if told < 0 {
		return own
	}
	fresh := max(0, 1-float64(a.now-s.loadReportAt)/(reportLifetime*a.meanObjective))
	return max(own, fresh*(told+own-float64(s.inFlightAtReport))+(1-fresh)*own)
}

// recordLoad takes a load report.
func (a *Aggregator) recordLoad(s *server, r LoadReport) {
	if r == NoLoadReport {
		return
	}
	s.loadReport, s.loadReportAt, s.inFlightAtReport = r, a.now, len(s.inFlight)
	if r.Queue >= 0 {
		a.queuedReportRate += referenceGain * (min(r.Queue, 1) - a.queuedReportRate)
	}
	if r.Rate > 0 && a.now > s.StartedAt+a.settings.SlowStartDuration {
		s.sustainedRate += improvementGain * (r.Rate*a.meanLatency/1e6 - s.sustainedRate)
		a.sustainedRate = max(a.sustainedRate, s.sustainedRate)
	}
}
