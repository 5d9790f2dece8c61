package sharedconfig

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func addRequest(name, instanceID, addr string) Event {
	return AddMemberRequested{CallID: 1, Member: Member{Name: name, InstanceID: instanceID, Addr: addr}}
}

func removeRequest(name string) Event { return RemoveMemberRequested{CallID: 1, Name: name} }

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
		"a member already": {
			request: addRequest("n2", "f2", "a2"),
			want:    "n2 is a member already",
		},
		"data directory lost": {
			request: addRequest("n2", "f9", "a2"),
			want:    "n2 is a member with another folder: remove it first, so that what it voted for is not forgotten",
		},
		"address taken": {
			request: addRequest("n4", "f4", "a2"),
			want:    "a2 is the address of n2",
		},
		"retired": {
			request: addRequest("n4", "f7", "a4"),
			want:    "the folder of n4 was removed from this group for good: start it with an empty one",
		},
		"remove": {
			request: removeRequest("n3"),
		},
		"remove an unknown member": {
			request: removeRequest("n9"),
			want:    "there is no instance n9",
		},
		"remove the only reachable voter": {
			request: removeRequest("n1"),
			want:    "without n1 no majority would be reachable: 0 of 1",
		},
	} {
		core := newLeader()
		state := core.State()
		state.RetiredIDs = []string{"f7"}
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

// TestNewLeaderCompletesMembershipChanges checks that a leader completes a removal and gives a member its vote though
// an earlier leader began with them.
func TestNewLeaderCompletesMembershipChanges(t *testing.T) {
	core := newLeader()
	state := core.State()
	state.RetiredIDs = []string{"f2"}
	changes := actionsOf[ChangeMembership](core.Step(5_000_000, []Event{EntriesApplied{State: state}}))
	require.Len(t, changes, 1)
	assert.True(t, changes[0].Remove)

	core = newLeader()
	assert.Len(t, actionsOf[WaitForCatchUp](core.Step(5_000_000, []Event{Tick{}})), 1)
	changes = actionsOf[ChangeMembership](core.Step(5_000_001, []Event{CaughtUp{InstanceID: "f3"}}))
	require.Len(t, changes, 1)
	assert.True(t, changes[0].Member.Voter)
}
