package policy

import "slices"

// maxBatchSaving is the share of a part's work, 0 to 1, that joining a batch is taken to save at most.
const maxBatchSaving = 0.5

// canJoinBatch reports whether a part sent to a server now would share a batch that leaves in this step. Batches
// without overhead are not shared on purpose.
func (a *Aggregator) canJoinBatch(s *server) bool {
	return a.settings.BatchOverhead > 0 && s.batchSentAt == a.now && s.batchSize < a.settings.MaxBatchSize
}

// addToBatch counts a part into the server's batch of this step, or starts a new batch.
func (a *Aggregator) addToBatch(s *server) {
	if !a.canJoinBatch(s) {
		s.batchSentAt = a.now
		s.batchSize = 0
	}
	s.batchSize++
}

// findJoinableBatch returns the index of the first replica whose batch the part should join although its query uses
// that server already, or -1. The replica's predicted latency may exceed the best one's by what the batch saves.
func (a *Aggregator) findJoinableBatch(p *part, ranked []candidate, hasHealthyReplica bool) int {
	saving := min(maxBatchSaving, float64(a.settings.BatchOverhead)/a.fleet.baseLatency)
	return slices.IndexFunc(ranked, func(c candidate) bool {
		offsetsLoad := (1-saving)*(1+loadSensitivity) <= 1
		isNearBest := c.predictedLatency*(1-saving) <= ranked[0].predictedLatency*(1+saving)
		return offsetsLoad && isNearBest && a.canJoinBatch(c.server) && a.maySend(c.server, p, hasHealthyReplica)
	})
}
