package sharedconfig

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newLeader returns the core of f1, the ready leader of term 4. The group has three members, of which f3 has no vote.
func newLeader() *Core {
	first := Change{RequestID: "first", Text: "0"}
	state, _ := State{}.Apply(Entry{Bootstrap: &Bootstrap{GroupID: "g", MaxVersions: 9, FirstChange: first}})
	core := NewCore(DefaultSettings("f1", 1_000_000, false), State{})
	core.Step(0, []Event{
		MemberList{Members: []Member{
			{Name: "n1", DirectoryID: "f1", Addr: "a1", Voter: true},
			{Name: "n2", DirectoryID: "f2", Addr: "a2", Voter: true},
			{Name: "n3", DirectoryID: "f3", Addr: "a3", Voter: false},
		}},
		EntriesApplied{State: state},
		LeadershipChanged{Leading: true, Term: 4},
		LeaderReady{Term: 4},
	})
	return core
}

// actionsOf returns the actions of one type.
func actionsOf[A Action](actions []Action) []A {
	var matching []A
	for _, action := range actions {
		if a, ok := action.(A); ok {
			matching = append(matching, a)
		}
	}
	return matching
}

// TestLeasesRequireVerification checks that an instance grants no lease unless a majority confirms that it still leads.
// Otherwise a leader that was replaced could confirm a version that is no longer active.
func TestLeasesRequireVerification(t *testing.T) {
	for name, c := range map[string]struct {
		verified    VerifyLeadershipResult
		directoryID string
		want        LeaseReply
	}{
		"verified": {
			verified:    VerifyLeadershipResult{OK: true, Term: 4},
			directoryID: "f2",
			want:        LeaseReply{CallID: 1, OK: true, Version: 1},
		},
		"not the leader": {
			verified:    VerifyLeadershipResult{Term: 4},
			directoryID: "f2",
			want:        LeaseReply{CallID: 1},
		},
		"another term": {
			verified:    VerifyLeadershipResult{OK: true, Term: 5},
			directoryID: "f2",
			want:        LeaseReply{CallID: 1},
		},
		"not a member": {
			verified:    VerifyLeadershipResult{OK: true, Term: 4},
			directoryID: "f9",
			want:        LeaseReply{CallID: 1, Version: 1},
		},
		"without a vote": {
			verified:    VerifyLeadershipResult{OK: true, Term: 4},
			directoryID: "f3",
			want:        LeaseReply{CallID: 1, OK: true, Version: 1},
		},
	} {
		core := newLeader()
		verify := actionsOf[VerifyLeadership](core.Step(1, []Event{LeaseRequested{CallID: 1, DirectoryID: c.directoryID}}))
		require.Len(t, verify, 1, name)
		// A request during a verification waits for the next one.
		assert.Empty(t, actionsOf[VerifyLeadership](core.Step(2, []Event{LeaseRequested{CallID: 2, DirectoryID: "f2"}})), name)
		c.verified.Seq = verify[0].Seq
		actions := core.Step(3, []Event{c.verified})
		assert.Equal(t, []LeaseReply{c.want}, actionsOf[LeaseReply](actions), name)
		assert.Len(t, actionsOf[VerifyLeadership](actions), 1, name)
	}
}

// TestLeaseRequestRetriesUntilGranted checks that a request that is not granted is soon repeated. If leaders fail one
// after the other, each may be available only for a short time.
func TestLeaseRequestRetriesUntilGranted(t *testing.T) {
	settings := DefaultSettings("f1", 5_000_000, false)
	retryInterval := settings.LeaseRenewalInterval / 8
	core := NewCore(settings, State{})
	requestsAt := func(now Micros) []RequestLease {
		return actionsOf[RequestLease](core.Step(now, []Event{Tick{}}))
	}
	require.Len(t, requestsAt(0), 1)
	assert.Empty(t, requestsAt(retryInterval-1))
	requests := requestsAt(retryInterval)
	require.Len(t, requests, 1, "the lease request was not repeated")
	core.Step(retryInterval+1, []Event{LeaseReplyReceived{Seq: requests[0].Seq, OK: true, Version: 1}})
	assert.Empty(t, requestsAt(settings.LeaseRenewalInterval), "the lease was granted and requested again at once")
	assert.Len(t, requestsAt(retryInterval+settings.LeaseRenewalInterval), 1)
}
