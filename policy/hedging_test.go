package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The last part of a query, in flight at a slow server while others are idle, must be hedged while the latency objective
// can still be met. It must not if the other parts are unanswered too, since all are late under overload. If hedging is
// not allowed, it must not be canceled for a retry, which would lose the attempt in flight.
func TestStragglerIsHedgedBeforeTheLatencyObjective(t *testing.T) {
	for _, c := range []struct {
		answered     int // parts, of 5
		allowHedging bool
		wantHedged   bool
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
			// The predicted latency is so long that no attempt is late by it.
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
		actions := len(actionsOf[CancelAttempt](h.actions)) + len(actionsOf[SendAttempt](h.actions))
		assert.Equal(t, c.wantHedged, actions > 0, "%+v: %d attempts and cancellations", c, actions)
	}
}

// A complete answer needs three of the five parts. If they are late, the other two must be requested even when the retry
// budget is exhausted, since these are not retries.
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
	assert.Len(t, actionsOf[SendAttempt](h.actions), 5, "attempts at the five parts")
}
