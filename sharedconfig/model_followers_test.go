package sharedconfig

import (
	"fmt"
	"slices"
)

// modelFollower is an instance outside the Raft group.
type modelFollower struct {
	*Follower
	clockOffset Micros
	events      []Event
	version     uint64
	lease       Lease
	pausedUntil Micros
	servedSteps int // number of steps in which it could serve
}

func newModelFollower(directoryID string, voters []string, clockOffset Micros) *modelFollower {
	return &modelFollower{
		Follower:    NewFollower(DefaultSettings(directoryID, modelStalenessBound, false), voters, Version{}),
		clockOffset: clockOffset,
	}
}

// addFollowers adds followers that know only the first voter and learn of the other voters from it.
func (m *model) addFollowers(count int) {
	for i := range count {
		clockOffset := Micros(m.rng.IntN(maxClockOffset))
		m.followers = append(m.followers, newModelFollower(fmt.Sprint("w", i), []string{"a0", "nowhere"}, clockOffset))
	}
}

func (m *model) stepFollower(f *modelFollower) {
	switch m.rng.IntN(2000) {
	case 0:
		f.pausedUntil = m.now + Micros(m.rng.IntN(int(3*modelStalenessBound)))
	case 1: // restarted with an empty data directory
		servedSteps := f.servedSteps
		*f = *newModelFollower(f.settings.DirectoryID, []string{"a1", "a0"}, f.clockOffset)
		f.servedSteps = servedSteps
	}
	if f.pausedUntil > m.now {
		return
	}
	events := f.events
	f.events = nil
	for _, action := range f.Step(m.now+f.clockOffset, events) {
		switch a := action.(type) {
		case Activate:
			f.version = a.Version.Number
		case SetLease:
			f.lease = a.Lease
		case PollVoter:
			m.sendPoll(f, a)
		}
	}
	if f.lease.Covers(m.now+f.clockOffset, f.version) {
		f.servedSteps++
	}
}

// sendPoll sends a poll to a voter. A voter that is partitioned from the others may still be reachable.
func (m *model) sendPoll(f *modelFollower, a PollVoter) {
	i := slices.IndexFunc(m.members, func(member Member) bool { return member.Addr == a.Voter.Addr })
	if i < 0 {
		return
	}
	sender := f.Follower // a reply to an earlier run of the instance is lost
	m.sendBetween(i, i, func(n *modelNode) {
		if n.partitioned && m.rng.IntN(2) == 0 {
			return
		}
		reply := NewPollReply(n.State(), n.Lease(), m.now+n.clockOffset, m.members, a.Request)
		reply.Seq = a.Seq
		m.send(i, 0, func(*modelNode) {
			if f.Follower == sender {
				f.events = append(f.events, reply)
			}
		})
	})
}
