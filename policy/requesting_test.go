package policy

import "testing"

// The lightest parts of a query that may be answered in part leave one by one where servers are busy.
func TestLightPartsAreDeferredUnderLoad(t *testing.T) {
	for _, busy := range []float64{0.2, 0.9} {
		h := newHarness(t, singleRingSettings(), append(readyEndpoints(1, 2, 3), readyEndpoints(4, 5, 6)...)...)
		h.answerQueries(4, 40, 100_000)
		h.aggregator.meanUtilization = busy
		_, events := h.newQuery(4, 6)
		for i, w := range []float64{0.5, 0.3, 0.08, 0.06, 0.04, 0.02} {
			p := events[i+1].(Part)
			p.Weight = w
			events[i+1] = p
		}
		sent := actionsOf[SendAttempt](h.step(h.aggregator.settings.Tick, events...))
		if want := 2 + 4*boolToInt(busy < 0.5); len(sent) != want {
			t.Fatalf("load %.1f: %d parts sent at first, want %d", busy, len(sent), want)
		}
		acts := h.step(h.aggregator.settings.Tick, AttemptResult{Part: sent[0].Part, Server: sent[0].Server, Status: OK, Report: NoLoadReport})
		if n := len(actionsOf[SendAttempt](acts)); n != boolToInt(busy > 0.5) {
			t.Errorf("load %.1f: a quick answer brought %d more parts", busy, n)
		}
	}
}
