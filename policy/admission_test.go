package policy

import "testing"

// A fresh aggregator knows no latency but the aim; it must neither refuse nor give up by it.
func TestNewAggregatorRejectsNothing(t *testing.T) {
	h := newHarness(t, singleRingSettings())
	for range 10 {
		_, events := h.newQuery(0, 3)
		h.step(h.aggregator.settings.Tick, events...)
	}
	if n := len(actionsOf[Reject](h.actions)); n > 0 {
		t.Fatalf("%d of the first ten queries refused", n)
	}
}

// The owner turns queries away at MaxOpen; what it hands over is served, or the limit would be one query stricter.
func TestMaxOpenIsLeftToTheOwner(t *testing.T) {
	s := singleRingSettings()
	s.MaxOpen = 12
	h := newHarness(t, s)
	var all []Event
	for range 4 {
		_, events := h.newQuery(0, 3)
		all = append(all, events...)
	}
	if n := len(actionsOf[Reject](h.step(0, all...))); n != 0 {
		t.Fatalf("%d of four refused though the owner handed them over", n)
	}
}

// A client that leaves before the time that its query usually takes is turned away at once, not worked for in vain.
func TestQueryWithTooShortADeadlineIsRejected(t *testing.T) {
	for _, patience := range []Micros{50_000, 1_500_000} {
		s := singleRingSettings()
		s.InstanceCount = 32 // own room says nothing
		h := newHarness(t, s)
		h.answerQueries(0, 30, 200_000)
		h.actions = nil
		id, events := h.newQuery(0, 1)
		q := events[0].(Query)
		q.Deadline = h.now + patience
		events[0] = q
		h.step(0, events...)
		if sent := len(actionsOf[SendAttempt](h.actions)); (sent > 0) != (patience > 200_000) || h.finalActions(id) != 1-sent {
			t.Errorf("patience of %d us: %d attempts, %d final answers", patience, sent, h.finalActions(id))
		}
	}
}

// The slowest of a query's parts takes longer than the mean of one: what fits by prediction only is refused.
func TestAdmissionAccountsForTheWaitRatio(t *testing.T) {
	s := singleRingSettings()
	s.InstanceCount = 32
	h := newHarness(t, s)
	h.answerQueries(0, 30, 200_000)
	h.aggregator.classes[0].waitRatio = 20
	id, events := h.newQuery(0, 1)
	if h.step(0, events...); h.finalActions(id) != 1 {
		t.Error("admitted, though such queries took twenty times their predicted wait")
	}
}

// A class locked out by a jam's figures is let in once in a mean aim, so that these can be unlearned.
func TestRejectedClassIsAdmittedPeriodically(t *testing.T) {
	s := singleRingSettings()
	s.InstanceCount = 32
	h := newHarness(t, s)
	h.answerQueries(0, 30, 200_000)
	h.aggregator.classes[0].waitRatio = 20
	h.actions = nil
	const mean = 10
	for range mean * 3 {
		_, events := h.newQuery(0, 1)
		h.step(Micros(h.aggregator.meanObjective)/mean, events...)
	}
	if n := len(actionsOf[SendAttempt](h.actions)); n < 2 || n > 4 {
		t.Fatalf("%d queries let in within three mean aims, want about one each", n)
	}
}

func TestQueryOfAShardWithoutReplicasIsRejected(t *testing.T) {
	s := singleRingSettings()
	s.ReplicationFactor = 1
	h := newHarness(t, s, readyEndpoints(1, 2)...)
	id, events := h.newQuery(0, 3)
	acts := h.step(0, events...)
	if len(actionsOf[SendAttempt](acts)) > 0 || h.finalActions(id) != 1 {
		t.Fatalf("got %+v, want the query refused at once", acts)
	}
	if r := actionsOf[Reject](acts); len(r) != 1 || r[0].RetryAfter != s.MaxRetryAfter {
		t.Fatalf("refusal %+v without word when to come back", r)
	}
}

// Queries that die of full servers let fewer of their class in, and those in time let more in again.
func TestOverloadedClassIsPaced(t *testing.T) {
	h := newHarness(t, singleRingSettings())
	h.answerQueries(0, 40, 100_000)
	q := &query{class: h.aggregator.classes[0], wasRejected: true}
	refused := func() int {
		n := 0
		for range 100 {
			_, events := h.newQuery(0, 1)
			acts := h.step(200_000, events...)
			n += len(actionsOf[Reject](acts))
			for _, s := range actionsOf[SendAttempt](acts) {
				h.step(1000, AttemptResult{Part: s.Part, Server: s.Server, Status: OK, Report: NoLoadReport})
			}
		}
		return n
	}
	if n := refused(); n != 0 {
		t.Fatalf("%d of 100 refused before any jam", n)
	}
	h.aggregator.queries[q.ID] = q
	h.aggregator.rejectOrFail(q)
	h.aggregator.rejectOrFail(q)
	h.aggregator.settings.InstanceCount = 11 // own room says nothing at size
	if n := refused(); n < 10 || n > 90 || h.aggregator.classes[0].overloadCount != 0 {
		t.Errorf("%d of 100 refused after two jammed queries, %d jams left", n, h.aggregator.classes[0].overloadCount)
	}
}
