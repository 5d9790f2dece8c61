package policy

import (
	"math"
	"testing"
)

func TestLoadReportsRaiseThePredictedLatency(t *testing.T) {
	h := newHarness(t, singleRingSettings())
	h.answerQueries(0, 30, 200_000)
	p := &part{query: &query{class: h.aggregator.classes[0]}, relativeCost: 1}
	before := h.aggregator.predictLatency(h.aggregator.servers[2], p)
	r := NoLoadReport
	r.Inflight = 8
	h.aggregator.recordLoad(h.aggregator.servers[2], r)
	if after := h.aggregator.predictLatency(h.aggregator.servers[2], p); after < 2*before {
		t.Errorf("a report of eight in hand moved the prediction from %v to %v only", before, after)
	}
	h.now += h.aggregator.classes[0].LatencyObjective * 2
	h.step(0)
	if old := h.aggregator.predictLatency(h.aggregator.servers[2], p); math.Abs(old-before) > 0.2*before {
		t.Errorf("an old report still counts: %v against %v", old, before)
	}
}

// Servers that report what waits, and not what is in hand, report a load all the same. Among many aggregators it is
// the only word of it: own attempts say nothing.
func TestQueuedRequestsCountAsLoad(t *testing.T) {
	h := newHarness(t, singleRingSettings())
	h.answerQueries(0, 30, 100_000)
	busy := NoLoadReport
	busy.Queue, busy.Rate = 12, 40
	for _, s := range h.aggregator.serversByID {
		h.aggregator.recordLoad(s, NoLoadReport)
	}
	h.aggregator.recordLoad(h.aggregator.serversByID[0], busy)
	h.actions = nil
	for range 12 {
		_, events := h.newQuery(0, 1)
		for _, s := range actionsOf[SendAttempt](h.step(0, events...)) {
			h.step(0, AttemptResult{Part: s.Part, Server: s.Server, Status: OK, Report: NoLoadReport})
		}
	}
	got := map[uint32]int{}
	for _, s := range actionsOf[SendAttempt](h.actions) {
		got[s.Server]++
	}
	if id := h.aggregator.serversByID[0].ID; 3*got[id] > got[h.aggregator.serversByID[1].ID] {
		t.Errorf("parts %v, want few at server %d, where twelve wait", got, id)
	}
}
