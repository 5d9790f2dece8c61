package policy

const (
	// initialSustainedWorkRate is the rate of work of a warm server, in seconds per second, before servers report more.
	initialSustainedWorkRate = 1.0

	// initialUtilization is the utilization of the servers' cores, 0 to 1, before they report it.
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

	// sustainedWorkRate is the highest smoothed rate of work that a warm server has reported, in seconds per second.
	sustainedWorkRate float64

	// meanUtilization is the smoothed utilization of the servers' cores, 0 to 1.
	meanUtilization float64

	// queuedReportRate is the smoothed share of load reports, 0 to 1, that tell of queued requests.
	queuedReportRate float64
}
