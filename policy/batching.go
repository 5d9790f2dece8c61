package policy

import "slices"

// joinsBatch tells whether a part can share a call that costs work and leaves for a server in this turn.
func (a *Aggregator) joinsBatch(s *server) bool {
	return a.settings.BatchOverhead > 0 && s.batchAt == a.now && s.batchSize < a.settings.MaxBatchSize
}

// findSharedBatch finds the replica whose call of this turn a part joins though its query uses the server already: no
// further behind the best than what that saves, here and there. Where calls cost little, none is.
func (a *Aggregator) findSharedBatch(p *part, ranked []candidate, sound bool) int {
	share := min(0.5, float64(a.settings.BatchOverhead)/a.baseLatency)
	return slices.IndexFunc(ranked, func(c candidate) bool {
		worth := (1-share)*(1+loadSensitivity) <= 1 && c.latency*(1-share) <= ranked[0].latency*(1+share)
		return worth && a.joinsBatch(c.server) && a.maySend(c.server, p, sound)
	})
}
