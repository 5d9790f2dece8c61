package policy

import (
	"math"
	"reflect"
	"slices"
	"testing"
)

// TestUnchangedSettingsChangeNothing compares a run in which every turn hands in the settings once more with one
// that never does: whatever a change forgot (latencies, outliers, cold starts, budgets, what is out) would show.
func TestUnchangedSettingsChangeNothing(t *testing.T) {
	for seed := range uint64(4) {
		set := testSettings()
		set.AllowHedging, set.InstanceIndex = seed%2 == 0, int(seed%2)
		run := func(same bool) []Action {
			w := newRuleChecker(t, set, seed)
			w.reconfigurations, w.repeatSettings = -1, same
			w.run(600)
			return w.actions
		}
		if !reflect.DeepEqual(run(false), run(true)) {
			t.Fatalf("seed %d: the same settings handed in again change what is done", seed)
		}
	}
}

// TestOpenQueriesKeepTheirSettings shortens a class while one of its queries is out, and takes it away.
func TestOpenQueriesKeepTheirSettings(t *testing.T) {
	set := testSettings()
	set.Classes = set.Classes[:2]
	a, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	servers := []Endpoint{{ID: 1, State: Ready, RingPosition: 0}, {ID: 2, State: Ready, RingPosition: 1}}
	a.Step(1_000_000, []Event{
		EndpointList{servers},
		Query{ID: 7, Number: 7, Deadline: 7_000_000, Parts: 1},
		Part{ID: 8, Number: 7, Shard: 1, Weight: 1},
	})
	short := set
	short.Classes = []Class{set.Classes[1]} // "safe" is gone, and what was number 1 is now number 0
	acts := a.Step(1_010_000, []Event{Reconfigure{short}})
	acts = append(acts, a.Step(2_500_000, []Event{Timer{}})...)
	for _, act := range acts {
		switch act.(type) {
		case Reject, Fail, Answer:
			t.Fatalf("the open query was ended by the change: %#v", act)
		}
	}
	acts = a.Step(2_600_000, []Event{
		AttemptResult{Part: 8, Server: 1, Status: OK, Report: NoLoadReport},
		AttemptResult{Part: 8, Server: 2, Status: OK, Report: NoLoadReport},
	})
	if !slices.Contains(acts, Action(Answer{Query: 7, Complete: true})) {
		t.Fatalf("the open query was not answered as it was taken: %#v", acts)
	}
	acts = a.Step(2_700_000, []Event{Query{ID: 9, Number: 9, Class: 1, Deadline: 9_000_000, Parts: 1}})
	if !slices.Contains(acts, Action(Reject{Query: 9})) {
		t.Fatalf("a query of a class that is no more was taken: %#v", acts)
	}
}

func TestInvalidInputIsIgnored(t *testing.T) {
	h := newHarness(t, singleRingSettings())
	h.step(0, AttemptResult{Part: 1, Server: 1}, AttemptResult{Server: 77}, HealthCheckResult{Server: 1}, HealthCheckResult{Server: 77},
		ClientCanceled{5}, Part{ID: 3, Number: 99}, EndpointListFailed{}, Timer{})
	id, events := h.newQuery(0, 1)
	events = append(events, events[0], events[1], Part{ID: 4, Number: id, Shard: -1}, Part{ID: 5, Number: id, Shard: 99},
		Part{ID: 6, Number: id, Weight: math.NaN()})
	s := actionsOf[SendAttempt](h.step(0, events...))[0]
	ok := AttemptResult{Part: s.Part, Server: s.Server, Status: OK, Report: LoadReport{math.NaN(), -1, -1, -1, math.Inf(1), -1}}
	h.step(-50_000, ok, ok) // twice, and time runs backwards
	if h.finalActions(id) != 1 {
		t.Fatalf("%d final answers, want 1", h.finalActions(id))
	}
	acts := h.step(100_000, Query{ID: 9, Number: 9, Class: 44, Parts: 1})
	if len(actionsOf[Reject](acts)) != 1 {
		t.Fatalf("a query of no known class got %+v", acts)
	}
	h.step(0, EndpointList{nil})
	h.step(0, EndpointList{[]Endpoint{{ID: 1, State: Ready, RingPosition: -3}, {ID: 2, State: Ready, RingPosition: 99}}})
}
