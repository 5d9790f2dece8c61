package policy

import "testing"

func TestImmediateErrorsRaiseTheSlowness(t *testing.T) {
	h := newHarness(t, singleRingSettings())
	h.answerQueries(0, 30, 200_000)
	s := h.aggregator.servers[2]
	_, events := h.newQuery(0, 3)
	for _, sent := range actionsOf[SendAttempt](h.step(h.aggregator.settings.Tick, events...)) {
		if sent.Server == 2 {
			h.step(1000, AttemptResult{Part: sent.Part, Server: 2, Status: ServerError, Report: NoLoadReport})
		}
	}
	if f := h.aggregator.slowness(s); f < 2 {
		t.Fatalf("after an error within a millisecond the server counts as %v of its peers' latency", f)
	}
}

// Resets cost a shard's only replica its rank, not its queries: they end at once, and what they hit is asked again.
func TestResetsByTheOnlyReplicaCauseNoRejections(t *testing.T) {
	h := newHarness(t, singleRingSettings(), readyEndpoints(1)...)
	aim := h.aggregator.settings.Classes[0].LatencyObjective
	h.aggregator.settings.RetryBudgetWindow = 0
	h.answerQueries(0, 20, aim/10)
	for range 8 { // each first attempt breaks
		_, events := h.newQuery(0, 1)
		sent := actionsOf[SendAttempt](h.step(h.aggregator.settings.Tick, events...))
		sent = actionsOf[SendAttempt](h.step(aim/100, AttemptResult{Part: sent[0].Part, Server: 1, Status: ConnectionBroken, Report: NoLoadReport}))
		h.step(aim/10, AttemptResult{Part: sent[0].Part, Attempt: 1, Server: 1, Status: OK, Report: NoLoadReport})
	}
	for range int(h.aggregator.concurrencyLimit()) + 1 { // one more than finds room
		_, events := h.newQuery(0, 1)
		if got := actionsOf[Reject](h.step(0, events...)); len(got) > 0 {
			t.Fatalf("refused behind %d of its parts: slowness %.1f", len(h.aggregator.servers[1].inFlight), h.aggregator.slowness(h.aggregator.servers[1]))
		}
	}
	if !h.aggregator.isOutlier(h.aggregator.servers[1]) {
		t.Error("a server that resets ranks with sound ones")
	}
}

// A server that turns a part away is left alone a while, longer each time; what can wait for it waits here.
func TestRejectingServersAreBackedOffFrom(t *testing.T) {
	h := newHarness(t, singleRingSettings(), readyEndpoints(1)...)
	h.answerQueries(0, 40, 100_000)
	_, events := h.newQuery(0, 1)
	sent := actionsOf[SendAttempt](h.step(0, events...))
	var gaps []Micros
	for range 2 {
		at := h.now
		acts := h.step(h.aggregator.settings.Tick, AttemptResult{Part: sent[0].Part, Attempt: len(gaps), Server: 1, Status: Rejected, Report: NoLoadReport})
		for sent = actionsOf[SendAttempt](acts); len(sent) == 0 && h.now < at+2_000_000; {
			sent = actionsOf[SendAttempt](h.step(h.aggregator.settings.Tick, Timer{}))
		}
		if len(sent) == 0 {
			t.Fatal("the part was never sent again")
		}
		gaps = append(gaps, h.now-at)
	}
	if gaps[0] < 50_000 || gaps[1] < gaps[0]*3/2 {
		t.Errorf("sent again after %v us", gaps)
	}
}

// A part that its hint calls heavy is predicted to take longer than others, by half the hint's logarithm.
func TestCostHintsScaleThePredictedLatency(t *testing.T) {
	h := newHarness(t, singleRingSettings())
	c := h.aggregator.classes[0]
	for i := range 300 {
		c.relativeCost(Micros(50_000 << (i % 3)))
	}
	if r := c.relativeCost(200_000) / c.relativeCost(50_000); r < 1.9 || r > 2.1 || c.relativeCost(0) != 1 || c.relativeCost(-5) != 1 {
		t.Errorf("four times the hint is held to be %.2f times the work, no hint %.2f", r, c.relativeCost(0))
	}
	q := &query{class: c}
	light, heavy := &part{query: q, relativeCost: c.relativeCost(50_000)}, &part{query: q, relativeCost: c.relativeCost(200_000)}
	if s := h.aggregator.serversByID[0]; h.aggregator.predictLatency(s, heavy) < 1.5*h.aggregator.predictLatency(s, light) {
		t.Error("a heavy part is predicted to be as quick as a light one")
	}
}
