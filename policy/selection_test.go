package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A replica that received all parts because it is the best one would be overloaded.
func TestPartsAreAssignedInProportionToUtility(t *testing.T) {
	h := newHarness(t, fullReplicationSettings())
	a := h.aggregator
	for id, ratio := range map[uint32]float64{1: 1, 2: 2, 3: 2} {
		a.serversByID[id].latencyRatio = ratio
		a.serversByID[id].sampledAt = h.now
	}
	counts := map[uint32]int{}
	for i := range 400 {
		p := &part{query: &query{class: a.classes[idempotentClass]}, state: partQueued, relativeCost: 1}
		a.partsByID[0] = p
		chosen := a.chooseReplica(p)
		if i == 0 {
			assert.Equal(t, uint32(1), chosen.ID, "the first part goes to the best server")
		}
		counts[chosen.ID]++
	}
	for id, want := range map[uint32]int{1: 200, 2: 100, 3: 100} {
		assert.InDelta(t, want, counts[id], 12, "server %d", id)
	}
}

// Parts of a query that share a server delay each other, so they must use distinct servers while there are enough.
func TestPartsOfAQueryUseDistinctServers(t *testing.T) {
	h := newHarness(t, fullReplicationSettings())
	_, events := h.newQuery(idempotentClass, 3)
	servers := map[uint32]bool{}
	for _, sent := range h.stepSends(0, events...) {
		servers[sent.ServerID] = true
	}
	require.Len(t, servers, 3)
	_, events = h.newQuery(idempotentClass, 5)
	assert.GreaterOrEqual(t, len(h.stepSends(0, events...)), 3, "parts sent, of a query with more parts than servers")
}

// A part that was rejected by the only healthy server must be retried at an outlier rather than wait for that server.
func TestRetryDoesNotWaitForTheOnlyHealthyServer(t *testing.T) {
	h := newHarness(t, fullReplicationSettings())
	h.answerQueries(idempotentClass, 40, 100_000)
	_, events := h.newQuery(idempotentClass, 1)
	sent := h.stepSends(0, events...)[0]
	for _, s := range h.aggregator.sortedServers {
		if s.ID != sent.ServerID {
			s.latencyRatio = 5
			s.sampledAt = h.now
		}
	}
	assert.Len(t, h.stepSends(10_000, resultOf(sent, Rejected)), 1)
}
