package sharedconfig

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func addRequest(name, directoryID, addr string) Event {
	return AddMemberRequested{CallID: 1, Member: Member{Name: name, DirectoryID: directoryID, Addr: addr}}
}

func removeRequest(name string) Event { return RemoveMemberRequested{CallID: 1, Name: name} }

// TestMembershipRequests checks which requests to add or remove a member are rejected. Accepting one of those could let an
// instance vote twice in a term, or leave the group without a majority. It also checks that there is one change at a time.
func TestMembershipRequests(t *testing.T) {
	for name, c := range map[string]struct {
		request Event
		want    string // reason in the reply; empty: the change begins
	}{
		"add": {
			request: addRequest("n4", "f4", "a4"),
		},
		"change the address": {
			request: addRequest("n2", "f2", "a9"),
		},
		"already a member": {
			request: addRequest("n2", "f2", "a2"),
			want:    "n2 is already a member",
		},
		"member with a new data directory": {
			request: addRequest("n2", "f9", "a2"),
			want:    "cannot add n2: a member of this name has another data directory; remove that member first, since the votes that it cast are recorded there",
		},
		"address taken": {
			request: addRequest("n4", "f4", "a2"),
			want:    "cannot use address a2: it belongs to member n2",
		},
		"retired": {
			request: addRequest("n4", "f7", "a4"),
			want:    "cannot add n4: its data directory belongs to an instance that was removed from this group for good; start it with an empty data directory",
		},
		"remove": {
			request: removeRequest("n3"),
		},
		"remove an unknown member": {
			request: removeRequest("n9"),
			want:    "cannot remove n9: it is not a member",
		},
		"remove the only reachable voter": {
			request: removeRequest("n1"),
			want:    "cannot remove n1: only 0 of the 1 remaining voters are reachable, which is no majority",
		},
	} {
		core := newLeader()
		state := core.State()
		state.RetiredDirectoryIDs = []string{"f7"}
		actions := core.Step(5_000_000, []Event{EntriesApplied{State: state}, c.request})
		changes, replies := actionsOf[ChangeMembership](actions), actionsOf[Reply](actions)
		if c.want == "" {
			assert.Len(t, changes, 1, name)
			assert.Empty(t, replies, name)
			second := actionsOf[Reply](core.Step(5_000_001, []Event{addRequest("n5", "f5", "a5")}))
			require.Len(t, second, 1, name)
			assert.Equal(t, StatusBusy, second[0].Outcome.Status, name)
		} else if assert.Len(t, replies, 1, name) {
			assert.Equal(t, c.want, replies[0].Outcome.Reason, name)
			assert.Empty(t, changes, name)
		}
	}
}

// TestNewLeaderCompletesMembershipChanges checks that a leader completes the removal of a member and gives a new member
// its vote if an earlier leader began these changes and failed.
func TestNewLeaderCompletesMembershipChanges(t *testing.T) {
	core := newLeader()
	state := core.State()
	state.RetiredDirectoryIDs = []string{"f2"}
	changes := actionsOf[ChangeMembership](core.Step(5_000_000, []Event{EntriesApplied{State: state}}))
	require.Len(t, changes, 1)
	assert.True(t, changes[0].Remove)

	core = newLeader()
	assert.Len(t, actionsOf[WaitForCatchUp](core.Step(5_000_000, []Event{Tick{}})), 1)
	changes = actionsOf[ChangeMembership](core.Step(5_000_001, []Event{CaughtUp{DirectoryID: "f3"}}))
	require.Len(t, changes, 1)
	assert.True(t, changes[0].Member.Voter)
}
