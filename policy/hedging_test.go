package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The last part of a query, at a slow server while the others are idle, is hedged as long as the latency objective
// can be met. The parts of a query without answers are not, since all are late under overload, nor is the last part
// replaced in place, which would lose the attempt in flight.
func TestStragglerIsHedgedBeforeTheLatencyObjective(t *testing.T) {
	for _, c := range []struct {
		answered     int // of 5 parts
		allowHedging bool
		hedged       bool
	}{
		{0, true, false},
		{4, true, true},
		{4, false, false},
	} {
		settings := fullReplicationSettings()
		settings.AllowHedging = c.allowHedging
		h := newHarness(t, settings, readyEndpoints(1, 2, 3, 4, 5, 6)...)
		h.answerQueries(idempotentClass, 40, 200_000)
		_, events := h.newQuery(idempotentClass, 5)
		for i, sent := range h.stepSends(0, events...) {
			// No attempt is late by its own prediction.
			h.aggregator.partsByID[sent.PartID].inFlight[0].predictedLatency = 900_000
			if i < c.answered {
				h.step(0, resultOf(sent, OK))
			}
		}
		for _, s := range h.aggregator.sortedServers {
			s.latencyRatio = 1
			s.respondedAt = h.now + 10_000_000
		}
		h.actions = nil
		for range 380 {
			h.step(testTick, TimerFired{})
		}
		attempts := len(actionsOf[CancelAttempt](h.actions)) + len(actionsOf[SendAttempt](h.actions))
		assert.Equal(t, c.hedged, attempts > 0, "%+v: %d attempts and cancellations", c, attempts)
	}
}

// Three of the five parts suffice for a complete answer.
func TestOtherPartsReplaceLateOnesWithoutRetryBudget(t *testing.T) {
	s := fullReplicationSettings()
	s.RetryBudgetMinimum = 0
	s.RetryBudgetRatio = 0
	h := newHarness(t, s, readyEndpoints(1, 2, 3, 4, 5, 6)...)
	h.answerQueries(lowCoverageClass, 30, 200_000)
	h.actions = nil
	_, events := h.newQuery(lowCoverageClass, 5)
	require.Len(t, h.stepSends(0, events...), 3)
	h.step(900_000, TimerFired{})
	assert.Len(t, actionsOf[SendAttempt](h.actions), 5)
}
