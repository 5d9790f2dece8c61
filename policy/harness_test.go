package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// testTick is the tick of testSettings in microseconds.
const testTick = 5_000

// The indices of the classes of testSettings.
const (
	idempotentClass    = iota // late answers have no value
	lowCoverageClass          // complete answers need a coverage of 0.6
	nonIdempotentClass        // parts must not be executed twice; late answers have a value
	keyedClass                // parts are idempotent by key; late answers have no value
	fetchClass                // has a fetch phase and accepts partial answers
)

// testSettings returns the settings of a small deployment with every kind of idempotency, a fetch phase, partial
// answers, a retry budget and slow start.
func testSettings() Settings {
	return Settings{
		InstanceCount:      2,
		Tick:               testTick,
		Shards:             6,
		RingSize:           6,
		ReplicationFactor:  3,
		MaxBatchSize:       1,
		MaxAttempts:        3,
		MaxOpen:            200,
		AllowCancel:        true,
		AllowHealthChecks:  true,
		SendRetryAfter:     true,
		MaxRetryAfter:      400_000,
		OverQuotaWeight:    0.1,
		AnswerSlack:        20_000,
		DrainGrace:         250_000,
		SlowStartFraction:  0.2,
		SlowStartDuration:  10_000_000,
		OverloadFactor:     2,
		OverloadDuration:   1_000_000,
		RetryBudgetWindow:  10_000_000,
		RetryBudgetMinimum: 3,
		RetryBudgetRatio:   0.1,
		HealthCheckPrice:   0.01,
		Tenants:            []Tenant{{"a", 5}, {"b", 5}},
		Classes:            testClasses(),
	}
}

func testClasses() []Class {
	return []Class{
		idempotentClass: {
			Name: "idempotent", LatencyObjective: 2_000_000, Timeout: 6_000_000, PriorityWeight: 1,
			MinCoverage: 1, RequiredCoverage: 1,
		},
		lowCoverageClass: {
			Name: "low-coverage", LatencyObjective: 2_000_000, Timeout: 6_000_000, PriorityWeight: 2, LateWeight: 0.1,
			MinCoverage: 0.6, RequiredCoverage: 0.6,
		},
		nonIdempotentClass: {
			Name: "non-idempotent", LatencyObjective: 2_000_000, Timeout: 4_000_000, PriorityWeight: 1, LateWeight: 0.3,
			Idempotency: NonIdempotent, MinCoverage: 1, RequiredCoverage: 1,
		},
		keyedClass: {
			Name: "keyed", LatencyObjective: 2_000_000, Timeout: 6_000_000, PriorityWeight: 1,
			Idempotency: IdempotentByKey, DeduplicationWindow: 1_000_000, MinCoverage: 1, RequiredCoverage: 1,
		},
		fetchClass: {
			Name: "fetch", LatencyObjective: 2_000_000, Timeout: 5_000_000, PriorityWeight: 2, LateWeight: 0.1,
			MinCoverage: 0.8, RequiredCoverage: 1, PartialWeight: 0.9, MaxFetchParts: 3,
		},
	}
}

// harness drives an aggregator event by event on a simulated clock.
type harness struct {
	aggregator *Aggregator
	now        Micros
	lastID     uint64   // ID of the newest query
	actions    []Action // since the test last cleared them
}

// fullReplicationSettings returns testSettings on a ring of three positions, where every server holds every shard.
// Health checks, MaxOpen and the limits of slow start are turned off.
func fullReplicationSettings() Settings {
	s := testSettings()
	s.RingSize = 3
	s.Shards = 3
	s.ReplicationFactor = 3
	s.AllowHealthChecks = false
	s.MaxOpen = 0
	s.OverloadFactor = 0
	return s
}

// newHarness returns a harness whose aggregator knows the given servers, or three ready ones if none are given.
func newHarness(t *testing.T, s Settings, servers ...Endpoint) *harness {
	t.Helper()
	aggregator, err := New(s, 1)
	require.NoError(t, err)
	h := &harness{aggregator: aggregator, now: 20_000_000, lastID: 100}
	if len(servers) == 0 {
		servers = readyEndpoints(1, 2, 3)
	}
	h.step(0, EndpointList{servers})
	return h
}

func readyEndpoints(ids ...uint32) []Endpoint {
	var endpoints []Endpoint
	for _, id := range ids {
		endpoints = append(endpoints, Endpoint{ID: id, State: Ready, RingPosition: int(id) % 3})
	}
	return endpoints
}

// step advances the time, reports the events and returns the resulting actions.
func (h *harness) step(after Micros, events ...Event) []Action {
	h.now += after
	actions := h.aggregator.Step(h.now, events)
	h.actions = append(h.actions, actions...)
	return actions
}

// stepSends does the same as step but returns only the attempts to send.
func (h *harness) stepSends(after Micros, events ...Event) []SendAttempt {
	return actionsOf[SendAttempt](h.step(after, events...))
}

// newQuery returns the ID and the events of a new query with parts of equal weight.
func (h *harness) newQuery(class, parts int) (uint64, []Event) {
	h.lastID += 100
	id := h.lastID
	timeout := h.aggregator.settings.Classes[class].Timeout
	events := []Event{Query{ID: id, Number: id, Class: class, Deadline: h.now + timeout, PartCount: parts}}
	for i := range parts {
		events = append(events, Part{
			ID:          id + uint64(i) + 1,
			QueryNumber: id,
			Shard:       i % h.aggregator.settings.Shards,
			Weight:      1 / float64(parts),
		})
	}
	return id, events
}

// answerQueries runs queries of one part each, one after the other, and answers their attempts after the latency.
func (h *harness) answerQueries(class, queries int, latency Micros) {
	for range queries {
		_, events := h.newQuery(class, 1)
		for _, sent := range h.stepSends(testTick, events...) {
			result := resultOf(sent, OK)
			result.Elapsed = latency
			h.step(latency, result)
		}
	}
}

// finalActionCount returns the number of Answer, Reject and Fail actions of a query. It also counts the first Answer of
// a query with a fetch phase, which is not final.
func (h *harness) finalActionCount(queryID uint64) int {
	count := 0
	for _, action := range h.actions {
		switch action := action.(type) {
		case Fail:
			count += boolToInt(action.QueryID == queryID)
		case Reject:
			count += boolToInt(action.QueryID == queryID)
		case Answer:
			count += boolToInt(action.QueryID == queryID)
		}
	}
	return count
}

// resultOf returns the result of the first attempt at a part.
func resultOf(sent SendAttempt, status Status) AttemptResult {
	return AttemptResult{PartID: sent.PartID, ServerID: sent.ServerID, Status: status, Report: NoLoadReport}
}

// resultOfAttempt returns the result of the attempt with the given index at a part.
func resultOfAttempt(sent SendAttempt, attempt int, status Status) AttemptResult {
	result := resultOf(sent, status)
	result.AttemptIndex = attempt
	return result
}

// actionsOf returns the actions of the type T.
func actionsOf[T Action](actions []Action) []T {
	var matching []T
	for _, action := range actions {
		if a, ok := action.(T); ok {
			matching = append(matching, a)
		}
	}
	return matching
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
