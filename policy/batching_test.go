package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Parts of a query must share a batch if batches have overhead, and go to distinct servers otherwise.
func TestBatchesAreSharedIfTheyHaveOverhead(t *testing.T) {
	for _, overhead := range []Micros{0, 100_000} {
		s := fullReplicationSettings()
		s.BatchOverhead = overhead
		s.MaxBatchSize = 8
		h := newHarness(t, s, readyEndpoints(1, 2, 3, 4, 5, 6)...)
		h.answerQueries(idempotentClass, 60, 200_000)
		_, events := h.newQuery(idempotentClass, 4)
		sent := h.stepSends(0, events...)
		servers := map[uint32]bool{}
		for _, s := range sent {
			servers[s.ServerID] = true
		}
		assert.Len(t, sent, 4, "overhead of %d us", overhead)
		assert.Equal(t, overhead == 0, len(servers) == 4, "overhead of %d us: %d servers", overhead, len(servers))
	}
}
