package policy

const (
	// loadReportLifetime is the age, in mean latency objectives, from which a load report is ignored.
	loadReportLifetime = 0.5

	// sustainedWorkRateGain is the gain, 0 to 1, of a server's sustainedWorkRate.
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

// recordLoadReport records a server's load report and adds it to the statistics over all servers, unless the report is
// empty. Outside the slow start, it estimates the server's work rate as the request rate times the reference latency over
// all classes.
func (a *Aggregator) recordLoadReport(s *server, report LoadReport) {
	if report == NoLoadReport {
		return
	}
	s.loadReport = report
	s.loadReportAt = a.now
	s.inFlightAtReport = len(s.inFlight)
	if report.Queued >= 0 {
		smooth(&a.fleet.queuedReportRate, min(report.Queued, 1), averageGain)
	}
	if report.RequestRate > 0 && a.now > s.StartedAt+a.settings.SlowStartDuration {
		smooth(&s.sustainedWorkRate, report.RequestRate*a.fleet.referenceLatency/microsPerSecond, sustainedWorkRateGain)
		a.fleet.peakWorkRate = max(a.fleet.peakWorkRate, s.sustainedWorkRate)
	}
}
