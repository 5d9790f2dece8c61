package policy

import "testing"

// A server holds two of an aggregator's attempts, more where few aggregators share it; the rest wait here.
func TestConcurrencyLimitDependsOnTheInstanceCount(t *testing.T) {
	for fleet, want := range map[int]int{1: 6, 2: 3, 3: 2, 32: 2} {
		s := singleRingSettings()
		s.InstanceCount = fleet
		h := newHarness(t, s, readyEndpoints(1)...)
		for range 9 {
			_, events := h.newQuery(0, 1)
			h.step(0, events...)
		}
		if n := len(actionsOf[SendAttempt](h.actions)); n != want {
			t.Errorf("%d aggregators: %d attempts at one server, want %d", fleet, n, want)
		}
	}
}
