package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// While the fleet is under load, the light parts of a query that accepts a partial answer must not add to the load
// unless answers are quick: each quick answer releases one of them.
func TestLightPartsAreDeferredUnderLoad(t *testing.T) {
	for _, c := range []struct {
		utilization float64
		first       int // parts sent at once
		next        int // parts sent after a quick answer
	}{
		{0.2, 6, 0},
		{0.9, 2, 1},
	} {
		h := newHarness(t, fullReplicationSettings(), readyEndpoints(1, 2, 3, 4, 5, 6)...)
		h.answerQueries(fetchClass, 40, 100_000)
		h.aggregator.fleet.meanUtilization = c.utilization
		_, events := h.newQuery(fetchClass, 6)
		for i, weight := range []float64{0.5, 0.3, 0.08, 0.06, 0.04, 0.02} {
			p := events[i+1].(Part)
			p.Weight = weight
			events[i+1] = p
		}
		sent := h.stepSends(testTick, events...)
		require.Len(t, sent, c.first, "utilization %.1f", c.utilization)
		assert.Len(t, h.stepSends(testTick, resultOf(sent[0], OK)), c.next, "utilization %.1f", c.utilization)
	}
}
