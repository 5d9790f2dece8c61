package policy

import "fmt"

const (
	// outlierThreshold is the slowness above which a server is an outlier among its peers.
	outlierThreshold = 3.0

	// outlierTrialInterval is the time without samples, in mean latency objectives, after which an outlier may receive
	// a part as a trial.
	outlierTrialInterval = 4.0
)

// isOutlier reports whether a server is much slower than its peers. If all servers slow down together, the reference
// latency rises with them and none is an outlier. Changes are logged, at most one per mean latency objective.
func (a *Aggregator) isOutlier(s *server) bool {
	isOutlier := a.slowness(s) > outlierThreshold
	if isOutlier != s.loggedAsOutlier && a.now-a.outlierLoggedAt > Micros(a.meanLatencyObjective) {
		s.loggedAsOutlier = isOutlier
		a.outlierLoggedAt = a.now
		a.emit(Log{fmt.Sprintf("server %d outlier=%v slowness=%.1f", s.ID, isOutlier, a.slowness(s))})
	}
	return isOutlier
}

// mayTryOutlier reports whether a part may be sent to an outlier as a trial, to detect whether it has recovered.
func (a *Aggregator) mayTryOutlier(s *server, p *part) bool {
	isTrialDue := float64(a.now-s.sampledAt) > outlierTrialInterval*a.meanLatencyObjective && len(s.inFlight) == 0
	return isTrialDue && p.isIdempotent() && p.attemptCount == 0
}
