package sharedconfig

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestStateInvariants applies random entries other than retirements in random order, with repetitions. Version numbers
// must have no gap, a request must take effect at most once, a reported outcome must not change, and the versions of an
// earlier copy of the state must not be modified.
func TestStateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxVersions := rapid.IntRange(2, 5).Draw(t, "max versions")
		first := Change{RequestID: "first", Text: "0", Digest: "0"}
		state, _ := State{}.Apply(Entry{Bootstrap: &Bootstrap{GroupID: "g", MaxVersions: maxVersions, FirstChange: first}})
		reported := map[string]Outcome{}
		activatedRequests := map[string]bool{"first": true}
		for range rapid.IntRange(1, 40).Draw(t, "entries") {
			entry := drawEntry(t, state)
			before, versions := state, slices.Clone(state.Versions)
			next, outcome := state.Apply(entry)
			require.Equal(t, versions, before.Versions, "applying an entry modified the versions of an earlier copy of the state")
			require.NoError(t, next.Validate())
			require.LessOrEqual(t, len(next.Versions), maxVersions)
			require.Equal(t, "g", next.GroupID)
			requireValidActivation(t, state, next, entry, activatedRequests)
			if outcome.Status == StatusDone || outcome.Status == StatusRejected || outcome.Status == StatusConflict {
				if earlier, known := reported[outcome.RequestID]; known {
					require.Equal(t, earlier, outcome)
				}
				reported[outcome.RequestID] = outcome
				require.Equal(t, outcome, next.Outcome(outcome.RequestID))
			}
			state = next
		}
	})
}

func drawEntry(t *rapid.T, state State) Entry {
	request := fmt.Sprint("r", rapid.IntRange(0, 9).Draw(t, "request"))
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0, 1:
		text := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "text"))
		expect := state.Active().Number - uint64(rapid.IntRange(0, 1).Draw(t, "behind"))
		return Entry{Propose: &Change{RequestID: request, Text: text, Digest: text, ExpectedVersion: expect}}
	case 2:
		return Entry{Decide: &Decision{RequestID: request, Accept: rapid.Bool().Draw(t, "accept"), Reason: "no"}}
	default:
		return Entry{Bootstrap: &Bootstrap{GroupID: "other"}}
	}
}

// requireValidActivation checks that an entry activates at most the next version, and only by accepting a pending change
// that was not accepted before. It records the request ID of the change in activatedRequests.
func requireValidActivation(t *rapid.T, state, next State, entry Entry, activatedRequests map[string]bool) {
	active := next.Active()
	switch active.Number {
	case state.Active().Number:
	case state.Active().Number + 1:
		require.False(t, activatedRequests[active.RequestID], "the change was accepted twice")
		committed := entry.Decide != nil && entry.Decide.Accept && state.PendingChange != nil && state.PendingChange.RequestID == active.RequestID
		require.True(t, committed, "a version is active without a proposal and its decision")
		activatedRequests[active.RequestID] = true
	default:
		t.Fatalf("version %d follows %d", active.Number, state.Active().Number)
	}
}
