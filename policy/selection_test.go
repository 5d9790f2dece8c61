package policy

import (
	"math"
	"testing"
)

func TestPartsAreAssignedInProportionToUtility(t *testing.T) {
	h := newHarness(t, singleRingSettings())
	for id, f := range map[uint32]float64{1: 1, 2: 2, 3: 2} {
		h.aggregator.servers[id].latencyRatio, h.aggregator.servers[id].sampledAt = f, h.now
	}
	counts := map[uint32]int{}
	for range 400 {
		q := &query{class: h.aggregator.classes[0]}
		p := &part{query: q, state: partQueued, relativeCost: 1}
		h.aggregator.parts[0] = p
		s := h.aggregator.chooseReplica(p)
		if len(counts) == 0 && s.ID != 1 {
			t.Errorf("the first part went to server %d, not to the best", s.ID)
		}
		counts[s.ID]++
	}
	for id, want := range map[uint32]int{1: 200, 2: 100, 3: 100} { // w is 1, 1/2, 1/2
		if got := counts[id]; math.Abs(float64(got-want)) > 12 {
			t.Errorf("server %d was dealt %d of 400, want about %d", id, got, want)
		}
	}
}

func TestPartsOfAQueryUseDistinctServers(t *testing.T) {
	h := newHarness(t, singleRingSettings())
	_, events := h.newQuery(0, 3)
	seen := map[uint32]bool{}
	for _, s := range actionsOf[SendAttempt](h.step(0, events...)) {
		seen[s.Server] = true
	}
	if len(seen) != 3 {
		t.Fatalf("three parts on %d servers", len(seen))
	}
	_, events = h.newQuery(0, 5) // more parts than servers: all are sent all the same
	if sent := actionsOf[SendAttempt](h.step(0, events...)); len(sent) < 3 {
		t.Fatalf("%d of five parts sent where three servers have room", len(sent))
	}
}

// A part whose last server is the only sound one is not held back from the others for it.
func TestRetryDoesNotWaitForTheOnlyHealthyServer(t *testing.T) {
	h := newHarness(t, singleRingSettings())
	h.answerQueries(0, 40, 100_000)
	_, events := h.newQuery(0, 1)
	s := actionsOf[SendAttempt](h.step(0, events...))[0]
	for _, other := range h.aggregator.serversByID {
		if other.ID != s.Server {
			other.latencyRatio, other.sampledAt = 5, h.now
		}
	}
	acts := h.step(10_000, AttemptResult{Part: s.Part, Server: s.Server, Status: Rejected, Report: NoLoadReport})
	if len(actionsOf[SendAttempt](acts)) != 1 {
		t.Fatal("the part waits for the server that has just turned it away")
	}
}
