package main

import (
	"bytes"
	"testing"

	"alderproxy/internal/simcodec"
	"alderproxy/policy"
)

const testSettings = "fleet_size=1\ntick_us=5000\nfamily_info.slices=2\nfamily_info.cells=2\nfamily_info.reach=1\n" +
	"grades.count=1\ngrades.0.effect=read_like\ngrades.0.promise_us=1000000\ngrades.0.give_up_us=2000000\ngrades.0.gain=1\n"

func batch(values ...any) simcodec.Batch {
	b := simcodec.Batch{Clock: 1_000_000}
	for _, w := range values {
		b.Events = append(b.Events, simcodec.Addressed{Instance: 3, Value: w})
	}
	return b
}

var oneQuery = []any{policy.Query{ID: 10, Number: 1, Deadline: 3_000_000, PartCount: 1}, policy.Part{ID: 11, QueryNumber: 1, Weight: 1}}

// TestRestartWithinOneBatch checks that a batch with Stop and then Start drops the events before Stop, and passes those
// after Start to the new instance.
func TestRestartWithinOneBatch(t *testing.T) {
	h := host{instances: map[uint16]*instance{}}
	start := simcodec.Start{Seed: 1, Settings: testSettings}
	list := simcodec.List{Mode: simcodec.Cached, Entries: []policy.Endpoint{{ID: 5, State: policy.Ready}}}
	if _, err := h.step(batch(start, list)); err != nil {
		t.Fatal(err)
	}
	events := append(append([]any{}, oneQuery...), simcodec.Stop{}, start, list,
		policy.Query{ID: 20, Number: 1, Deadline: 3_000_000, PartCount: 1}, policy.Part{ID: 21, QueryNumber: 1, Weight: 1})
	actions, err := h.step(batch(events...))
	if err != nil {
		t.Fatal(err)
	}
	sent := 0
	for _, a := range actions {
		if s, ok := a.Value.(policy.SendAttempt); ok {
			sent++
			if s.PartID != 21 || s.ServerID != 5 {
				t.Fatalf("sent %+v, which is not of the new instance's query", s)
			}
		}
	}
	if sent != 1 {
		t.Fatalf("%d attempts sent, want 1 for the new instance's query", sent)
	}
}

// TestInvalidBatches checks that an event for an instance that does not run, and settings that cannot be used, are errors.
func TestInvalidBatches(t *testing.T) {
	for name, what := range map[string]any{
		"never started": policy.TimerFired{}, "unusable settings": simcodec.Start{Settings: "tick_us=5"},
		"not a number": simcodec.Start{Settings: "tick_us=five"},
	} {
		h := host{instances: map[uint16]*instance{}}
		if _, err := h.step(batch(what)); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// TestEndOfInput checks that the input may end after a batch, but not within a header.
func TestEndOfInput(t *testing.T) {
	var out bytes.Buffer
	if err := run(bytes.NewReader(make([]byte, 16)), &out); err != nil || out.Len() != 8 {
		t.Fatalf("an empty batch: error %v, %d bytes of reply", err, out.Len())
	}
	if err := run(bytes.NewReader(make([]byte, 9)), &out); err == nil {
		t.Fatal("no error for a truncated header")
	}
}
