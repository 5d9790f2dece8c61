package policy

import "testing"

// testSettings is a small deployment with every effect, a second step, partial answers, a budget
// and cold servers.
func testSettings() Settings {
	return Settings{
		InstanceCount: 2, Tick: 5000, Shards: 6, RingSize: 6, ReplicationFactor: 3, MaxBatchSize: 1, MaxAttempts: 3, MaxOpen: 200,
		AllowCancel: true, AllowHealthChecks: true, SendRetryAfter: true, MaxRetryAfter: 400_000, OverQuotaWeight: 0.1,
		AnswerSlack: 20_000, DrainGrace: 250_000, SlowStartFraction: 0.2, SlowStartDuration: 10_000_000, OverloadFactor: 2,
		OverloadDuration: 1_000_000, RetryBudgetWindow: 10_000_000, RetryBudgetMinimum: 3, RetryBudgetRatio: 0.1, PriceHealthCheck: 0.01,
		Tenants: []Tenant{{"a", 5}, {"b", 5}},
		Classes: []Class{
			{Name: "safe", LatencyObjective: 2_000_000, Timeout: 6_000_000, PriorityWeight: 1, MinCoverage: 1, RequiredCoverage: 1},
			{Name: "some", LatencyObjective: 2_000_000, Timeout: 6_000_000, PriorityWeight: 2, MinCoverage: 0.6, RequiredCoverage: 0.6, LateWeight: 0.1},
			{Name: "once", LatencyObjective: 2_000_000, Timeout: 4_000_000, PriorityWeight: 1, LateWeight: 0.3, Idempotency: NonIdempotent, MinCoverage: 1, RequiredCoverage: 1},
			{Name: "keyed", LatencyObjective: 2_000_000, Timeout: 6_000_000, PriorityWeight: 1, Idempotency: IdempotentByKey, DeduplicationWindow: 1_000_000, MinCoverage: 1, RequiredCoverage: 1},
			{Name: "two", LatencyObjective: 2_000_000, Timeout: 5_000_000, PriorityWeight: 2, LateWeight: 0.1, MinCoverage: 0.8, RequiredCoverage: 1, PartialWeight: 0.9, FetchParts: 3},
		},
	}
}

// harness is an aggregator with a hand on its events. Reach 3 over 3 cells: every server holds every shard.
type harness struct {
	test       *testing.T
	aggregator *Aggregator
	now        Micros
	lastID     uint64
	actions    []Action
}

func singleRingSettings() Settings {
	s := testSettings()
	s.RingSize, s.Shards, s.ReplicationFactor, s.AllowHealthChecks, s.MaxOpen, s.OverloadFactor = 3, 3, 3, false, 0, 0
	return s
}

func newHarness(t *testing.T, s Settings, servers ...Endpoint) *harness {
	t.Helper()
	a, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{test: t, aggregator: a, now: 20_000_000, lastID: 100}
	if len(servers) == 0 {
		servers = readyEndpoints(1, 2, 3)
	}
	h.step(0, EndpointList{servers})
	return h
}

func readyEndpoints(ids ...uint32) (out []Endpoint) {
	for _, id := range ids {
		out = append(out, Endpoint{ID: id, State: Ready, RingPosition: int(id) % 3})
	}
	return out
}

func (h *harness) step(after Micros, events ...Event) []Action {
	h.now += after
	acts := h.aggregator.Step(h.now, events)
	h.actions = append(h.actions, acts...)
	return acts
}

func (h *harness) newQuery(class, parts int) (uint64, []Event) {
	h.lastID += 100
	c := h.aggregator.settings.Classes[class]
	events := []Event{Query{ID: h.lastID, Number: h.lastID, Class: class, Deadline: h.now + c.Timeout, Parts: parts}}
	for i := range parts {
		events = append(events, Part{
			ID: h.lastID + uint64(i) + 1, Number: h.lastID, Shard: i % h.aggregator.settings.Shards,
			Weight: 1 / float64(parts),
		})
	}
	return h.lastID, events
}

func actionsOf[T Action](acts []Action) (out []T) {
	for _, a := range acts {
		if v, ok := a.(T); ok {
			out = append(out, v)
		}
	}
	return out
}

// answerQueries answers n one-part queries of a class at once after the given latency.
func (h *harness) answerQueries(class, n int, latency Micros) {
	for range n {
		_, events := h.newQuery(class, 1)
		sent := actionsOf[SendAttempt](h.step(h.aggregator.settings.Tick, events...))
		for _, s := range sent {
			h.step(latency, AttemptResult{Part: s.Part, Server: s.Server, Status: OK, Elapsed: latency, Report: NoLoadReport})
		}
	}
}

func (h *harness) finalActions(id uint64) (n int) {
	for _, act := range h.actions {
		switch a := act.(type) {
		case Fail:
			n += boolToInt(a.Query == id)
		case Reject:
			n += boolToInt(a.Query == id)
		case Answer:
			n += boolToInt(a.Query == id)
		}
	}
	return n
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
