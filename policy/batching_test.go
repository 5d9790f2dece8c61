package policy

import "testing"

// Parts of a query join one call where a call costs as much as a part, and none where it costs nothing.
func TestBatchesAreSharedIfTheyHaveOverhead(t *testing.T) {
	for _, work := range []Micros{0, 100_000} {
		s := singleRingSettings()
		s.BatchOverhead, s.MaxBatchSize = work, 8
		h := newHarness(t, s, append(readyEndpoints(1, 2, 3), readyEndpoints(4, 5, 6)...)...)
		h.answerQueries(0, 60, 200_000)
		_, events := h.newQuery(0, 4)
		servers := map[uint32]bool{}
		sends := actionsOf[SendAttempt](h.step(0, events...))
		for _, p := range sends {
			servers[p.Server] = true
		}
		if len(sends) != 4 || (len(servers) == 4) != (work == 0) {
			t.Errorf("a call of %d: %d parts went to %d servers", work, len(sends), len(servers))
		}
	}
}
