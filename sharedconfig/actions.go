package sharedconfig

// Action is an output of a Core or Follower. Only types of this package implement it. The caller starts the actions in
// the order in which they are returned; those that wait for the log or the network may end in any order.
type Action interface{ action() }

// AppendEntry appends an entry to the Raft log. EntriesApplied reports that the entry was applied. AppendFailed with the
// same request ID reports that it was not appended, or that this is unknown.
type AppendEntry struct {
	Entry     Entry
	RequestID string // empty: failures are not reported
}

// CheckChange asks a member, which may be this instance, to check a change. It is answered by one CheckResult.
type CheckChange struct {
	Member Member
	Change Change
}

// Reply answers the call of a ChangeRequested, AddMemberRequested or RemoveMemberRequested event.
type Reply struct {
	CallID  uint64
	Outcome Outcome
}

// RequestLease requests a lease from the leader. It is answered by at most one LeaseReplyReceived.
type RequestLease struct{ Seq uint64 }

// VerifyLeadership asks a majority of the voters to confirm that this instance is still the leader. It is answered by
// one VerifyLeadershipResult.
type VerifyLeadership struct{ Seq uint64 }

// LeaseReply answers a LeaseRequested event. It is sent as JSON to the instance that requested the lease.
type LeaseReply struct {
	CallID  uint64 `json:"Call"`
	OK      bool   `json:"OK"`
	Version uint64 `json:"Version"`
	Removed bool   `json:"Removed"`
}

// ChangeMembership adds, updates or removes one member in the Raft configuration. It is answered by one
// ChangeMembershipResult.
type ChangeMembership struct {
	Seq    uint64
	Member Member
	Remove bool
}

// WaitForCatchUp waits, for at most Settings.CheckTimeout, until a member without a vote has applied all entries that are
// committed by now. It is answered by at most one CaughtUp.
type WaitForCatchUp struct{ Member Member }

// Activate makes this instance serve a new active version.
type Activate struct{ Version Version }

// SetLease replaces this instance's lease.
type SetLease struct{ Lease Lease }

// LogMessage is a log line for operators.
type LogMessage struct{ Text string }

// PollVoter sends a poll to a voter. It is answered by one PollReply, by one PollFailed or not at all.
type PollVoter struct {
	Seq     uint64
	Voter   Member // Name and DirectoryID are empty if only the address is known
	Request PollRequest
}

func (AppendEntry) action()      {}
func (CheckChange) action()      {}
func (Reply) action()            {}
func (RequestLease) action()     {}
func (VerifyLeadership) action() {}
func (LeaseReply) action()       {}
func (ChangeMembership) action() {}
func (WaitForCatchUp) action()   {}
func (Activate) action()         {}
func (SetLease) action()         {}
func (LogMessage) action()       {}
func (PollVoter) action()        {}
