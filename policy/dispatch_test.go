package policy

import "testing"

func TestPartsThatMayHaveRunAreRetriedOnlyIfIdempotent(t *testing.T) {
	cases := []struct {
		class  int
		status Status
		after  Micros
		again  bool
	}{
		{2, ServerError, 10_000, false},
		{2, TimedOut, 10_000, false},
		{2, ConnectionBroken, 10_000, false},
		{2, Canceled, 10_000, false},
		{2, Rejected, 10_000, true},
		{2, ConnectFailed, 10_000, true},
		{3, ServerError, 10_000, true},
		{3, ServerError, 1_100_000, false},
		{3, Rejected, 1_100_000, true},
		{0, ServerError, 1_100_000, true},
	}
	for _, c := range cases {
		h := newHarness(t, singleRingSettings())
		id, events := h.newQuery(c.class, 1)
		s := actionsOf[SendAttempt](h.step(0, events...))[0]
		acts := h.step(c.after, AttemptResult{Part: s.Part, Server: s.Server, Status: c.status, Report: NoLoadReport})
		if got := len(actionsOf[SendAttempt](acts)) > 0; got != c.again {
			t.Errorf("class %d after status %d: sent again %v, want %v", c.class, c.status, got, c.again)
		}
		if refused := len(actionsOf[Reject](h.actions)) > 0; refused && c.class == 2 {
			t.Errorf("class %d after status %d: query %d refused though it may have run", c.class, c.status, id)
		}
	}
}

func TestDrainingServersReceiveNoParts(t *testing.T) {
	servers := readyEndpoints(1, 2, 3)
	servers[1].State = Draining
	h := newHarness(t, singleRingSettings(), servers[:2]...) // 3 is gone, 2 drains
	for range 20 {
		_, events := h.newQuery(0, 3)
		h.step(h.aggregator.settings.Tick, events...)
	}
	sent := actionsOf[SendAttempt](h.actions)
	if len(sent) == 0 {
		t.Fatal("nothing was sent")
	}
	for _, s := range sent {
		if s.Server != 1 {
			t.Fatalf("sent to server %d, which drains or is gone", s.Server)
		}
	}
	h = newHarness(t, singleRingSettings(), servers...) // and the place that sends holds the rule by itself
	_, events := h.newQuery(0, 1)
	h.aggregator.Step(h.now, events)
	q := h.aggregator.openQueries[0]
	q.parts[0].state, q.parts[0].attempts, q.parts[0].inFlight, h.aggregator.servers[3].inFlight = partQueued, 0, nil, nil
	if h.aggregator.send(q.parts[0], h.aggregator.servers[2]) || !h.aggregator.send(q.parts[0], h.aggregator.servers[3]) {
		t.Fatal("send takes a draining server, or no ready one")
	}
}
