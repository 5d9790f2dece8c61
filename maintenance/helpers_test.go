package maintenance

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	second Micros = 1_000_000
	minute        = 60 * second
	hour          = 60 * minute

	// noon is the time at which the tests start.
	noon = 12 * hour
)

// uniformLayout returns a layout with the given number of machines at each ring position and one store on each machine.
// The machines are spread over three zones, so that up to three replicas of a shard are in different zones.
func uniformLayout(ringSize, replicas int) *Layout {
	layout := &Layout{RingSize: ringSize, ReplicationFactor: 1, Shards: 2 * ringSize}
	for position := range ringSize {
		for replica := range replicas {
			name := fmt.Sprintf("m-%04d", position*replicas+replica)
			layout.Machines = append(layout.Machines, Machine{
				Name:   name,
				Zone:   fmt.Sprint("z", replica%3),
				Type:   "std",
				Stores: []Store{{Name: "s" + name, RingPosition: position, Weight: 1}},
			})
		}
	}
	return layout
}

// mustApply applies an entry that must not be rejected.
func mustApply(tb testing.TB, s State, entry Entry) State {
	tb.Helper()
	next, outcome := s.Apply(entry)
	require.True(tb, outcome.Applied, "%s: %s", outcome.Rule, outcome.Reason)
	return next
}

// requestedState returns a state in which the maintenance of the given machines is requested, or of all if none is
// given.
func requestedState(tb testing.TB, layout *Layout, rules Rules, load float64, machines ...string) State {
	tb.Helper()
	s := mustApply(tb, State{}, Entry{At: noon, Layout: layout})
	s = mustApply(tb, s, Entry{Rules: &rules})
	s = mustApply(tb, s, Entry{Load: &load})
	if len(machines) == 0 {
		for _, machine := range layout.Machines {
			machines = append(machines, machine.Name)
		}
	}
	return mustApply(tb, s, Entry{Request: &Request{Name: "r", Machines: machines, WorkDuration: 5 * minute}})
}
