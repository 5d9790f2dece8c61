package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Errors that return at once have a low latency; a server that causes them must not seem fast.
func TestImmediateErrorsRaiseTheSlowness(t *testing.T) {
	h := newHarness(t, fullReplicationSettings())
	h.answerQueries(idempotentClass, 30, 200_000)
	server := h.aggregator.serversByID[2]
	_, events := h.newQuery(idempotentClass, 3)
	for _, sent := range h.stepSends(testTick, events...) {
		if sent.ServerID == server.ID {
			h.step(1000, resultOf(sent, ServerError))
		}
	}
	assert.GreaterOrEqual(t, h.aggregator.slowness(server), 2.0, "slowness after an immediate error")
}

// Broken connections make a shard's only replica an outlier. They must not cause rejections, since they end at once and
// the parts are retried.
func TestResetsByTheOnlyReplicaCauseNoRejections(t *testing.T) {
	h := newHarness(t, fullReplicationSettings(), readyEndpoints(1)...)
	a := h.aggregator
	objective := a.settings.Classes[idempotentClass].LatencyObjective
	a.settings.RetryBudgetWindow = 0
	h.answerQueries(idempotentClass, 20, objective/10)
	for range 8 {
		_, events := h.newQuery(idempotentClass, 1)
		sent := h.stepSends(testTick, events...)
		retries := h.stepSends(objective/100, resultOf(sent[0], ConnectionBroken))
		h.step(objective/10, resultOfAttempt(retries[0], 1, OK))
	}
	server := a.serversByID[1]
	for range int(a.concurrencyLimit()) + 1 { // one query more than the server has capacity for
		_, events := h.newQuery(idempotentClass, 1)
		rejected := actionsOf[Reject](h.step(0, events...))
		require.Empty(t, rejected, "rejections with %d in flight, slowness %.1f", len(server.inFlight), a.slowness(server))
	}
	assert.True(t, a.isOutlier(server), "slowness %.1f", a.slowness(server))
}

// Parts sent to an overloaded server right after a rejection would be rejected too. The pause after a rejection grows
// with each consecutive one.
func TestRejectingServersAreBackedOffFrom(t *testing.T) {
	const maxWait = 2_000_000
	h := newHarness(t, fullReplicationSettings(), readyEndpoints(1)...)
	h.answerQueries(idempotentClass, 40, 100_000)
	_, events := h.newQuery(idempotentClass, 1)
	sent := h.stepSends(0, events...)
	var waits []Micros
	for attempt := range 2 {
		rejectedAt := h.now
		sent = h.stepSends(testTick, resultOfAttempt(sent[0], attempt, Rejected))
		for len(sent) == 0 && h.now < rejectedAt+maxWait {
			sent = h.stepSends(testTick, TimerFired{})
		}
		require.NotEmpty(t, sent, "attempts after a rejection")
		waits = append(waits, h.now-rejectedAt)
	}
	assert.GreaterOrEqual(t, waits[0], Micros(50_000), "pause after the first rejection")
	assert.GreaterOrEqual(t, waits[1], waits[0]*3/2, "pause after the second rejection")
}

// Cost hints are rough, so the predicted latency of a part grows with the square root of its hint.
func TestCostHintsScaleThePredictedLatency(t *testing.T) {
	a := newHarness(t, fullReplicationSettings()).aggregator
	c := a.classes[idempotentClass]
	for i := range 300 {
		c.recordCostHint(Micros(50_000 << (i % 3)))
	}
	assert.InDelta(t, 2.0, c.recordCostHint(200_000)/c.recordCostHint(50_000), 0.1, "relative cost at four times the hint")
	assert.InDelta(t, 1.0, c.recordCostHint(0), 0, "relative cost without a hint")
	assert.InDelta(t, 1.0, c.recordCostHint(-5), 0, "relative cost with a negative hint")

	q := &query{class: c}
	light := &part{query: q, relativeCost: c.recordCostHint(50_000)}
	heavy := &part{query: q, relativeCost: c.recordCostHint(200_000)}
	server := a.sortedServers[0]
	assert.GreaterOrEqual(t, a.predictLatency(server, heavy), 1.5*a.predictLatency(server, light), "predicted latency at four times the hint")
}
