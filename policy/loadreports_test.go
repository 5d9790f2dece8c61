package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Load reports show the load that other aggregators cause. Old ones must not count.
func TestLoadReportsRaiseThePredictedLatency(t *testing.T) {
	h := newHarness(t, fullReplicationSettings())
	a := h.aggregator
	h.answerQueries(idempotentClass, 30, 200_000)
	server := a.serversByID[2]
	p := &part{query: &query{class: a.classes[idempotentClass]}, relativeCost: 1}
	before := a.predictLatency(server, p)

	report := NoLoadReport
	report.InFlight = 8
	a.recordLoad(server, report)
	assert.GreaterOrEqual(t, a.predictLatency(server, p), 2*before, "with a load report")

	h.now += 2 * a.classes[idempotentClass].LatencyObjective
	h.step(0)
	assert.InDelta(t, before, a.predictLatency(server, p), 0.2*before, "with an outdated load report")
}

// Servers may report queued requests but not the requests in flight. With many aggregators, each of which has few
// attempts in flight, such a report is the only information about a server's load and must not be ignored.
func TestQueuedRequestsCountAsLoad(t *testing.T) {
	h := newHarness(t, fullReplicationSettings())
	a := h.aggregator
	h.answerQueries(idempotentClass, 30, 100_000)
	busy, idle := a.sortedServers[0], a.sortedServers[1]
	report := NoLoadReport
	report.Queued = 12
	report.RequestRate = 40
	a.recordLoad(busy, report)
	h.actions = nil
	for range 12 {
		_, events := h.newQuery(idempotentClass, 1)
		for _, sent := range h.stepSends(0, events...) {
			h.step(0, resultOf(sent, OK))
		}
	}
	parts := map[uint32]int{}
	for _, sent := range actionsOf[SendAttempt](h.actions) {
		parts[sent.ServerID]++
	}
	assert.LessOrEqual(t, 3*parts[busy.ID], parts[idle.ID], "parts by server: %v", parts)
}
