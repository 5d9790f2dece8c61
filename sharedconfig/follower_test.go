package sharedconfig

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// stepForPoll passes events to a follower and returns the poll that it sends, or the zero value.
func stepForPoll(f *Follower, now Micros, events ...Event) PollVoter {
	var poll PollVoter
	for _, action := range f.Step(now, events) {
		if p, ok := action.(PollVoter); ok {
			poll = p
		}
	}
	return poll
}

// grantingReply returns a voter's reply with a lease for the whole staleness bound. The active version has the digest "d".
func grantingReply(seq uint64, group string, version uint64, voters []Member) PollReply {
	return PollReply{
		Seq:            seq,
		OK:             true,
		GroupID:        group,
		Version:        version,
		LeaseRemaining: modelStalenessBound,
		ActiveVersion:  &Version{Number: version, Digest: "d"},
		Voters:         voters,
	}
}

// TestFollowersSpreadAndFailOver checks that followers spread evenly over the voters, poll another voter after a failure,
// and take neither a version of another group nor an older version.
func TestFollowersSpreadAndFailOver(t *testing.T) {
	const bound = modelStalenessBound
	voters := []Member{
		{Name: "n0", Addr: "a0", Voter: true},
		{Name: "n1", Addr: "a1", Voter: true},
		{Name: "n2", Addr: "a2", Voter: true},
	}
	preferred, failedOverTo := map[string]int{}, map[string]int{}
	for i := range 300 {
		settings := DefaultSettings(fmt.Sprint("w", i), bound, false)
		f := NewFollower(settings, []string{"a0"}, Version{Number: 7, Digest: "of another group"})

		first := stepForPoll(f, 0)
		require.Equal(t, PollRequest{}, first.Request, "the first poll names the stored version, which is of another group")
		require.Equal(t, "a0", first.Voter.Addr)

		second := stepForPoll(f, 100_000, grantingReply(first.Seq, "g", 3, voters))
		require.Equal(t, PollRequest{Version: 3, Digest: "d"}, second.Request)
		require.Equal(t, uint64(3), f.Active().Number)
		preferred[second.Voter.Addr]++

		third := stepForPoll(f, 200_000, PollFailed{Seq: second.Seq})
		require.NotEqual(t, second.Voter.Addr, third.Voter.Addr)
		failedOverTo[third.Voter.Addr]++

		late := PollReply{Seq: second.Seq, OK: true, GroupID: "g", Version: 3, LeaseRemaining: bound}
		require.Empty(t, f.Step(201_000, []Event{late}), "a reply to a failed poll has an effect")

		stepForPoll(f, 300_000, grantingReply(third.Seq, "other", 9, nil))
		require.Equal(t, uint64(3), f.Active().Number, "a version of another group is active")

		fourth := stepForPoll(f, 300_000+bound, PollReply{Seq: 99})
		stepForPoll(f, 300_001+bound, grantingReply(fourth.Seq, "g", 2, voters))
		require.Equal(t, uint64(3), f.Active().Number, "an older version is active")
	}
	for _, voter := range voters {
		require.InDelta(t, 100, preferred[voter.Addr], 40)
		require.InDelta(t, 100, failedOverTo[voter.Addr], 40)
	}
}
