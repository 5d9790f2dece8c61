package policy

const (
	// loadReportLifetime is the age, in mean latency objectives, from which a load report is ignored.
	loadReportLifetime = 0.5

	// sustainedWorkRateGain is the gain, 0 to 1, of the work rate that a server reports.
	sustainedWorkRateGain = 0.15

	microsPerSecond = 1e6
)

// estimateLoad returns the estimated number of requests at a server: the aggregator's own attempts in flight, or more
// if the server's load report shows more. The weight of the report falls with its age.
func (a *Aggregator) estimateLoad(s *server) float64 {
	own := float64(len(s.inFlight))
	reported := max(s.loadReport.InFlight, s.loadReport.Queued)
	if reported < 0 {
		return own
	}
	freshness := max(0, 1-float64(a.now-s.loadReportAt)/(loadReportLifetime*a.meanLatencyObjective))
	return max(own, freshness*(reported+own-float64(s.inFlightAtReport))+(1-freshness)*own)
}

// recordLoad records a server's load report, unless the report is empty.
func (a *Aggregator) recordLoad(s *server, report LoadReport) {
	if report == NoLoadReport {
		return
	}
	s.loadReport = report
	s.loadReportAt = a.now
	s.inFlightAtReport = len(s.inFlight)
	if report.Queued >= 0 {
		smooth(&a.fleet.queuedReportRate, min(report.Queued, 1), fleetGain)
	}
	if report.RequestRate > 0 && a.now > s.StartedAt+a.settings.SlowStartDuration {
		smooth(&s.sustainedWorkRate, report.RequestRate*a.fleet.meanLatency/microsPerSecond, sustainedWorkRateGain)
		a.fleet.sustainedWorkRate = max(a.fleet.sustainedWorkRate, s.sustainedWorkRate)
	}
}
