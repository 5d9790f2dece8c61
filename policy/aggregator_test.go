package policy

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A reconfiguration removes the class of an open query, whose index then belongs to another class. The query must keep
// its settings and be answered.
func TestOpenQueriesKeepTheirSettings(t *testing.T) {
	settings := testSettings()
	settings.Classes = settings.Classes[:2]
	a, err := New(settings, 1)
	require.NoError(t, err)
	servers := []Endpoint{
		{ID: 1, State: Ready, RingPosition: 0},
		{ID: 2, State: Ready, RingPosition: 1},
	}
	a.Step(1_000_000, []Event{
		EndpointList{servers},
		Query{ID: 7, Number: 7, Deadline: 7_000_000, PartCount: 1},
		Part{ID: 8, QueryNumber: 7, Shard: 1, Weight: 1},
	})
	changed := settings
	changed.Classes = []Class{settings.Classes[1]}
	actions := a.Step(1_010_000, []Event{Reconfigure{changed}})
	actions = append(actions, a.Step(2_500_000, []Event{TimerFired{}})...)
	for _, action := range actions {
		switch action.(type) {
		case Reject, Fail, Answer:
			t.Fatalf("the reconfiguration ended the open query: %#v", action)
		}
	}
	actions = a.Step(2_600_000, []Event{
		AttemptResult{PartID: 8, ServerID: 1, Status: OK, Report: NoLoadReport},
		AttemptResult{PartID: 8, ServerID: 2, Status: OK, Report: NoLoadReport},
	})
	assert.Contains(t, actions, Action(Answer{QueryID: 7, Complete: true}))
	actions = a.Step(2_700_000, []Event{Query{ID: 9, Number: 9, Class: 1, Deadline: 9_000_000, PartCount: 1}})
	assert.Contains(t, actions, Action(Reject{QueryID: 9}), "the class no longer exists")
}

// Unknown IDs, duplicates, invalid parts, numbers that are not finite, times that run backwards and endpoints off the
// ring must cause no panic, and a valid query among them must still end with one final action.
func TestInvalidInputCausesNoPanic(t *testing.T) {
	h := newHarness(t, fullReplicationSettings())
	h.step(0,
		AttemptResult{PartID: 1, ServerID: 1},
		AttemptResult{ServerID: 77},
		HealthCheckResult{ServerID: 1},
		HealthCheckResult{ServerID: 77},
		ClientCanceled{5},
		Part{ID: 3, QueryNumber: 99},
		EndpointListFailed{},
		TimerFired{},
	)
	id, events := h.newQuery(idempotentClass, 1)
	events = append(events,
		events[0],
		events[1],
		Part{ID: 4, QueryNumber: id, Shard: -1},
		Part{ID: 5, QueryNumber: id, Shard: 99},
		Part{ID: 6, QueryNumber: id, Weight: math.NaN()},
	)
	result := resultOf(h.stepSends(0, events...)[0], OK)
	result.Report.InFlight = math.NaN()
	result.Report.RequestRate = math.Inf(1)
	h.step(-50_000, result, result) // the same result twice, at a time before the last step
	require.Equal(t, 1, h.finalActionCount(id))
	actions := h.step(100_000, Query{ID: 9, Number: 9, Class: 44, PartCount: 1})
	require.Len(t, actionsOf[Reject](actions), 1, "a query of an unknown class")
	h.step(0, EndpointList{nil})
	h.step(0, EndpointList{[]Endpoint{
		{ID: 1, State: Ready, RingPosition: -3},
		{ID: 2, State: Ready, RingPosition: 99},
	}})
}
