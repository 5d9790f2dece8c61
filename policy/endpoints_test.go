package policy

import "testing"

// A list that can't be had is asked for again after ever longer waits, by each aggregator at another time, and never
// later than AskWithin; a list that comes ends that.
func TestFailedEndpointPollsAreBackedOff(t *testing.T) {
	first := map[Micros]bool{}
	for number := range 8 {
		s := singleRingSettings()
		s.InstanceCount, s.InstanceIndex, s.PollEndpoints, s.PollInterval = 8, number, true, 10_000_000
		h := newHarness(t, s)
		calls, waits := len(actionsOf[PollEndpoints](h.actions)), []Micros{}
		if calls != 1 {
			t.Fatalf("%d calls at the start, want one", calls)
		}
		for range 5 {
			from := h.now
			acts := h.step(s.Tick, EndpointListFailed{})
			for len(actionsOf[PollEndpoints](acts)) == 0 && h.now < from+20_000_000 {
				acts = h.step(s.Tick, Timer{})
			}
			waits = append(waits, h.now-from)
		}
		first[waits[0]] = true
		if waits[0] < Micros(h.aggregator.meanObjective)/2 || waits[1] < waits[0]*3/2 || waits[4] > s.PollInterval+2*s.Tick {
			t.Errorf("aggregator %d called again after %v", number, waits)
		}
		h.step(s.Tick, EndpointList{readyEndpoints(1, 2, 3)})
		if h.aggregator.failedPolls != 0 {
			t.Error("a list that came leaves the wait long")
		}
	}
	if len(first) != 8 {
		t.Errorf("8 aggregators call again at %d different times", len(first))
	}
}
