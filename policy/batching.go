package policy

import "slices"

// maxBatchSaving limits the fraction of a part's work, 0 to 1, that joining a batch is assumed to save.
const maxBatchSaving = 0.5

// canJoinBatch reports whether a part that is sent to a server now would join a batch of the current step. A batch is a
// call to a server in which the owner sends up to Settings.MaxBatchSize parts of one step. canJoinBatch reports false
// if calls have no overhead, since joining a batch then saves nothing.
func (a *Aggregator) canJoinBatch(s *server) bool {
	return a.settings.BatchOverhead > 0 && s.batchSentAt == a.now && s.batchSize < a.settings.MaxBatchSize
}

// addToBatch counts a part that is sent to a server in the server's batch of the current step, or in a new batch if it
// can't join that one.
func (a *Aggregator) addToBatch(s *server) {
	if !a.canJoinBatch(s) {
		s.batchSentAt = a.now
		s.batchSize = 0
	}
	s.batchSize++
}

// firstWithJoinableBatch returns the index of the first replica whose batch the part should join, even if its query
// already uses that server, or -1 if there is none. A batch is joined only if the fraction of the work that this saves
// offsets the load that the part adds to the server. The replica's predicted latency, reduced by that fraction, may
// exceed the lowest one by the same fraction.
func (a *Aggregator) firstWithJoinableBatch(p *part, ranked []candidate, hasHealthyReplica bool) int {
	saving := min(maxBatchSaving, float64(a.settings.BatchOverhead)/a.fleet.baseLatency)
	return slices.IndexFunc(ranked, func(c candidate) bool {
		savingOffsetsLoad := (1-saving)*(1+loadSensitivity) <= 1
		isNearBest := c.predictedLatency*(1-saving) <= ranked[0].predictedLatency*(1+saving)
		return savingOffsetsLoad && isNearBest && a.canJoinBatch(c.server) && a.maySend(c.server, p, hasHealthyReplica)
	})
}
