package policy

const (
	// initialSustainedWorkRate is the assumed work rate of a warm server, in seconds of work per second, until servers
	// report a higher one.
	initialSustainedWorkRate = 1.0

	// initialUtilization is the assumed utilization of the servers' cores, 0 to 1, until servers report theirs.
	initialUtilization = 1.0
)

// fleetStats are statistics over all classes and servers.
type fleetStats struct {
	// meanLatency is the smoothed latency of a part at an idle server, in microseconds.
	meanLatency float64

	// baseLatency is the lowest meanLatency so far, in microseconds. It estimates the work of a part.
	baseLatency float64

	// answerCount is the number of answered attempts that meanLatency is based on.
	answerCount float64

	// sustainedWorkRate is the highest smoothed work rate of a warm server so far, in seconds of work per second.
	sustainedWorkRate float64

	// meanUtilization is the smoothed utilization of the servers' cores, 0 to 1.
	meanUtilization float64

	// queuedReportRate is the smoothed share, 0 to 1, of load reports with queued requests.
	queuedReportRate float64
}
