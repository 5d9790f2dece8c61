package policy

import "fmt"

const (
	// outlierThreshold is the slowness above which a server is an outlier among its peers.
	outlierThreshold = 3.0

	// outlierTrialInterval is the time without samples, in mean latency objectives, after which an outlier may be
	// tried with a part.
	outlierTrialInterval = 4.0
)

// isOutlier reports whether a server is much slower than its peers. If all slow down together, the reference
// latency follows and none is an outlier. Changes are logged, at most one in a mean latency objective.
func (a *Aggregator) isOutlier(s *server) bool {
	isOutlier := a.slowness(s) > outlierThreshold
	if isOutlier != s.loggedAsOutlier && a.now-a.outlierLoggedAt > Micros(a.meanLatencyObjective) {
		s.loggedAsOutlier = isOutlier
		a.outlierLoggedAt = a.now
		a.emit(Log{fmt.Sprintf("server %d outlier=%v slowness=%.1f", s.ID, isOutlier, a.slowness(s))})
	}
	return isOutlier
}

// mayTryOutlier reports whether a part may be sent to an outlier to find out whether the server has recovered.
func (a *Aggregator) mayTryOutlier(s *server, p *part) bool {
	hasRested := float64(a.now-s.sampledAt) > outlierTrialInterval*a.meanLatencyObjective && len(s.inFlight) == 0
	return hasRested && p.isIdempotent() && p.attemptCount == 0
}
