package sharedconfig

import "cmp"

// PollRequest is a follower's poll of a voter.
type PollRequest struct {
	Version uint64 `json:"have"`   // number of the follower's version; 0: none
	Digest  string `json:"digest"` // of that version
}

// NewPollReply returns a voter's reply to a poll: the active version and the remaining duration of the voter's lease,
// if the lease covers that version. The state and the lease may be of different times. A grant for a newer version does
// not cover an older one, so the reply may lack a lease if the state is the older of the two.
func NewPollReply(state State, lease Lease, now Micros, members []Member, request PollRequest) PollReply {
	active := state.Active()
	if !lease.Covers(now, active.Number) {
		return PollReply{Reason: cmp.Or(lease.NotCoveredReason(now, active.Number), "no lease")}
	}
	reply := PollReply{
		OK:             true,
		GroupID:        state.GroupID,
		Version:        active.Number,
		LeaseRemaining: lease.ExpiresAt(active.Number) - now,
	}
	for _, member := range members {
		if member.Voter {
			reply.Voters = append(reply.Voters, member)
		}
	}
	if request.Version != active.Number || request.Digest != active.Digest {
		reply.ActiveVersion = &active
	}
	return reply
}
