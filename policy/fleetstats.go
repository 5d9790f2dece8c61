package policy

const (
	// initialPeakWorkRate is the assumed work rate of a warm server, in seconds of work per second, until load reports
	// show a higher one.
	initialPeakWorkRate = 1.0

	// initialUtilization is the assumed utilization of the servers' cores, 0 to 1, until servers report theirs.
	initialUtilization = 1.0
)

// fleetStats are statistics over all classes and servers.
type fleetStats struct {
	// referenceLatency is the smoothed latency of a part of any class at an idle server, in microseconds.
	referenceLatency float64

	// baseLatency is the lowest referenceLatency so far, in microseconds. It estimates the work of a part.
	baseLatency float64

	// answerCount is the number of answered attempts that referenceLatency is based on.
	answerCount float64

	// peakWorkRate is the highest sustainedWorkRate of any server so far, in seconds of work per second.
	peakWorkRate float64

	// meanUtilization is the smoothed utilization of the servers' cores, 0 to 1, as reported with health checks.
	meanUtilization float64

	// queuedReportRate is the smoothed share, 0 to 1, of load reports with queued requests.
	queuedReportRate float64
}
