package policy

import "fmt"

// isOutlier compares a server with its peers; when all slow together the reference follows.
func (a *Aggregator) isOutlier(s *server) bool {
	is := a.slowness(s) > outlierThreshold
	if is != s.outlierLogged && a.now-a.outlierLoggedAt > Micros(a.meanObjective) {
		s.outlierLogged, a.outlierLoggedAt = is, a.now
		a.emit(Log{fmt.Sprintf("server %d outlier=%v slowness=%.1f", s.ID, is, a.slowness(s))})
	}
	return is
}
