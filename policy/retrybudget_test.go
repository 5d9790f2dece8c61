package policy

import "testing"

func TestRetriesStayWithinTheBudget(t *testing.T) {
	h := newHarness(t, singleRingSettings())
	taken := 0
	for range 40 {
		_, events := h.newQuery(0, 1)
		taken += len(events)
		acts := h.step(h.aggregator.settings.Tick, events...)
		for range 3 {
			var outcomes []Event
			for _, s := range actionsOf[SendAttempt](acts) {
				p := h.aggregator.parts[s.Part]
				outcomes = append(outcomes, AttemptResult{Part: s.Part, Attempt: p.attempts - 1, Server: s.Server, Status: ServerError, Report: NoLoadReport})
			}
			acts = h.step(h.aggregator.settings.Tick, outcomes...)
		}
	}
	tries := map[uint64]int{}
	further := 0
	for _, s := range actionsOf[SendAttempt](h.actions) {
		further += boolToInt(tries[s.Part] > 0)
		tries[s.Part]++
	}
	if limit := int(h.aggregator.settings.RetryBudgetMinimum + h.aggregator.settings.RetryBudgetRatio*float64(taken)); further == 0 || further > limit {
		t.Fatalf("%d further attempts, want some and at most %d", further, limit)
	}
}

// Where no budget is set nothing cuts what it counts: it must not be counted.
func TestNoHistoryIsKeptWithoutARetryBudget(t *testing.T) {
	set := singleRingSettings()
	set.RetryBudgetWindow = 0
	h := newHarness(t, set)
	h.answerQueries(0, 50, 1000)
	if n := len(h.aggregator.acceptedHistory) + len(h.aggregator.retryHistory); n > 0 {
		t.Errorf("%d entries are kept for good", n)
	}
}
