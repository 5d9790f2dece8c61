package sharedconfig

// Action is an output of a Core or Follower: one of the types that implement it in this package. The caller carries out
// actions in the order given.
type Action interface{ action() }

// AppendEntry appends an entry to the log. Its result is reported by EntriesApplied, or by AppendFailed with the same request.
type AppendEntry struct {
	Entry     Entry
	RequestID string // empty: the core does not wait for the result
}

// CheckChange asks a member, which may be this instance, to check a change. It is answered by one CheckResult.
type CheckChange struct {
	Member Member
	Change Change
}

// Reply answers a call of ChangeRequested, AddMemberRequested or RemoveMemberRequested.
type Reply struct {
	CallID  uint64
	Outcome Outcome
}

// RequestLease requests a lease from the leader. It is answered by one LeaseAnswerReceived or not at all.
type RequestLease struct{ Seq uint64 }

// VerifyLeadership asks a majority whether this instance still leads. It is answered by one LeadershipVerified.
type VerifyLeadership struct{ Seq uint64 }

// LeaseReply answers a LeaseRequested. It is sent as JSON to the member that asked.
type LeaseReply struct {
	CallID  uint64 `json:"Call"`
	OK      bool   `json:"OK"`
	Version uint64 `json:"Version"`
	Removed bool   `json:"Removed"`
}

// ChangeMembership adds, updates or removes one member. It is answered by one MembershipChanged.
type ChangeMembership struct {
	Seq    uint64
	Member Member
	Remove bool
}

// WaitForCatchUp asks a member without a vote to report when it has the whole log. It is answered by one CaughtUp or
// not at all.
type WaitForCatchUp struct{ Member Member }

// Activate reports a new active version, by which this instance has to serve from now on.
type Activate struct{ Version Version }

// SetLease replaces this instance's lease.
type SetLease struct{ Lease Lease }

// LogMessage is a message for the operators.
type LogMessage struct{ Text string }

// PollVoter sends a poll to a voter. It is answered by one PollReply, one PollFailed or not at all.
type PollVoter struct {
	Seq     uint64
	Voter   Member // only the address is set if the voter is known from the settings alone
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
