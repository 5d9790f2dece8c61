package policy

import "testing"

// One server that resets a connection under several parts of a query has not been felled by it twice.
func TestServerThatBreaksSeveralConnectionsCountsOnce(t *testing.T) {
	h := newHarness(t, singleRingSettings(), readyEndpoints(1)...)
	h.answerQueries(0, 20, 100_000)
	id, events := h.newQuery(0, 2)
	for _, s := range actionsOf[SendAttempt](h.step(h.aggregator.settings.Tick, events...)) {
		h.step(1000, AttemptResult{Part: s.Part, Server: 1, Status: ConnectionBroken, Report: NoLoadReport})
	}
	if h.finalActions(id) > 0 {
		t.Error("given up though its other attempts remain")
	}
}

// A query that breaks two servers is given up at once, and its key's next sends one part ahead.
func TestQueriesThatCrashServersAreContained(t *testing.T) {
	h := newHarness(t, singleRingSettings(), append(readyEndpoints(1, 2, 3), readyEndpoints(4, 5, 6)...)...)
	h.answerQueries(0, 40, 100_000)
	next := func(key uint64) (uint64, []SendAttempt) {
		id, events := h.newQuery(0, 3)
		q := events[0].(Query)
		q.Key = key
		events[0] = q
		return id, actionsOf[SendAttempt](h.step(h.aggregator.settings.Tick, events...))
	}
	id, sent := next(7)
	if len(sent) != 3 {
		t.Fatalf("%d parts sent at first", len(sent))
	}
	for _, s := range sent[:2] {
		h.step(h.aggregator.settings.Tick, AttemptResult{Part: s.Part, Server: s.Server, Status: ConnectionBroken, Report: NoLoadReport})
	}
	if h.finalActions(id) != 1 {
		t.Fatal("the query goes on after two servers died of it")
	}
	if id, sent = next(7); len(sent) != 1 {
		t.Fatalf("the key's next query sends %d parts ahead, want one", len(sent))
	}
	acts := h.step(h.aggregator.settings.Tick, AttemptResult{Part: sent[0].Part, Server: sent[0].Server, Status: OK, Report: NoLoadReport})
	if n := len(actionsOf[SendAttempt](acts)); n != 2 {
		t.Errorf("after the first answer %d parts follow, want two", n)
	}
	if _, sent = next(8); len(sent) != 3 {
		t.Errorf("another key's query sends %d parts, want all", len(sent))
	}
	// resets that spare some of a query's parts are no evidence against it
	id, sent = next(9)
	h.step(h.aggregator.settings.Tick, AttemptResult{Part: sent[2].Part, Server: sent[2].Server, Status: OK, Report: NoLoadReport})
	for _, s := range sent[:2] {
		h.step(h.aggregator.settings.Tick, AttemptResult{Part: s.Part, Server: s.Server, Status: ConnectionBroken, Report: NoLoadReport})
	}
	if h.finalActions(id) != 0 {
		t.Error("a query with an answered part was given up for two resets")
	}
	h.now += h.aggregator.settings.SlowStartDuration
	if _, sent = next(7); len(sent) != 3 {
		t.Errorf("the key is never forgiven: %d parts sent", len(sent))
	}
}
