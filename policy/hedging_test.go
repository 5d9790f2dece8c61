package policy

import "testing"

// One part at a server known to be slow, its peers idle: it moves while the aim can still be met, but only as
// the last of its query, since under overload all parts are late.
func TestStragglerIsHedgedBeforeTheLatencyObjective(t *testing.T) {
	for _, in := range []int{0, 4, -4} { // below 0: without second copies, where a last chance would cost the first
		set := singleRingSettings()
		set.AllowHedging = in >= 0
		h := newHarness(t, set, append(readyEndpoints(1, 2, 3), readyEndpoints(4, 5, 6)...)...)
		h.answerQueries(0, 40, 200_000)
		_, events := h.newQuery(0, 5)
		sent := actionsOf[SendAttempt](h.step(0, events...))
		for i, s := range sent {
			h.aggregator.parts[s.Part].inFlight[0].predictedLatency = 900_000 // so that no part is late by its own prediction
			if i < max(in, -in) {
				h.step(0, AttemptResult{Part: s.Part, Server: s.Server, Status: OK, Report: NoLoadReport})
			}
		}
		for _, s := range h.aggregator.serversByID {
			s.latencyRatio, s.respondedAt = 1, h.now+10_000_000
		}
		h.actions = nil
		for range 380 {
			h.step(h.aggregator.settings.Tick, Timer{})
		}
		if n := len(actionsOf[CancelAttempt](h.actions)) + len(actionsOf[SendAttempt](h.actions)); (n > 0) != (in > 0) {
			t.Errorf("%d of 5 parts in: %d cancels and further attempts near the aim", in, n)
		}
	}
}

func TestOtherPartsReplaceLateOnesWithoutRetryBudget(t *testing.T) {
	s := singleRingSettings()
	s.RetryBudgetMinimum, s.RetryBudgetRatio = 0, 0
	h := newHarness(t, s, append(readyEndpoints(1, 2, 3), readyEndpoints(4, 5, 6)...)...)
	h.answerQueries(1, 30, 200_000)
	h.actions = nil
	_, events := h.newQuery(1, 5) // three of five make a whole
	if n := len(actionsOf[SendAttempt](h.step(0, events...))); n != 3 {
		t.Fatalf("asked for %d parts at first, want the 3 that are needed", n)
	}
	h.step(900_000, Timer{})
	if n := len(actionsOf[SendAttempt](h.actions)); n != 5 {
		t.Fatalf("%d asked after a long silence, want the two spares too", n)
	}
}
