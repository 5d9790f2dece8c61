package sharedconfig

// Event is an input of a Core or Follower: one of the types that implement it in this package.
type Event interface{ event() }

// EntriesApplied reports that entries of the log were applied at this instance. It carries the state after them and the
// outcomes of the changes that they concern.
type EntriesApplied struct {
	State    State
	Outcomes []Outcome
}

// LeadershipChanged reports whether this instance leads, and in which term. A leader is not ready until LeaderReady reports the term.
type LeadershipChanged struct {
	Leading bool
	Term    uint64
}

// LeaderReady reports that this instance has applied all entries that were committed before the term in which it leads. A
// leader makes no decisions before that.
type LeaderReady struct{ Term uint64 }

// MemberList carries the group's members by the latest configuration in the log, including this instance if it is a
// member.
type MemberList struct{ Members []Member }

// ChangeRequested is a caller's request for a change. It is answered by one Reply.
type ChangeRequested struct {
	CallID uint64
	Change Change
}

// AppendFailed reports that an entry was not appended to the log, or that its fate is unknown.
type AppendFailed struct{ RequestID string }

// CheckResult is a member's answer to CheckChange.
type CheckResult struct {
	RequestID  string
	InstanceID string // instance ID of the member
	Accepted   bool
	NoReply    bool   // the member did not answer; Accepted has no meaning then
	Reason     string // of a rejection or of a missing answer
}

// LeaseRequested is a member's request for a lease. It is answered by one LeaseAnswer.
type LeaseRequested struct {
	CallID     uint64
	InstanceID string // instance ID of the member
}

// VerifyLeadershipResult is the answer to VerifyLeadership: whether a majority still took this instance for the leader of the term.
type VerifyLeadershipResult struct {
	Seq  uint64
	OK   bool
	Term uint64
}

// LeaseReplyReceived is the leader's answer to RequestLease. The other fields have no meaning if OK is false.
type LeaseReplyReceived struct {
	Seq     uint64
	OK      bool
	Version uint64 // version that the leader confirms
	Removed bool   // this instance was removed from the group
}

// AddMemberRequested is a caller's request to add a member, or to change the address of one. It is answered by one Reply.
type AddMemberRequested struct {
	CallID uint64
	Member Member
}

// RemoveMemberRequested is a caller's request to remove a member. It is answered by one Reply.
type RemoveMemberRequested struct {
	CallID uint64
	Name   string
}

// ChangeMembershipResult is the answer to ChangeMembership: whether the new configuration was committed.
type ChangeMembershipResult struct {
	Seq    uint64
	OK     bool
	Reason string // why it was not committed, as far as known
}

// CaughtUp reports that a member without a vote has the whole log as it was at the time of WaitForCatchUp.
type CaughtUp struct{ InstanceID string }

// Tick reports only that time has passed.
type Tick struct{}

// PollReply is a voter's answer to PollVoter. If OK is false, the voter has no lease itself and only Why is set.
type PollReply struct {
	Seq            uint64   `json:"-"`
	OK             bool     `json:"ok"`
	Reason         string   `json:"why,omitempty"`
	GroupID        string   `json:"group,omitempty"`
	Version        uint64   `json:"version,omitempty"` // active version, which the voter's lease covers
	LeaseRemaining Micros   `json:"left,omitempty"`    // remaining duration of that lease on the voter's clock
	Active         *Version `json:"active,omitempty"`  // nil: the poll named the same version
	Voters         []Member `json:"voters,omitempty"`
}

// PollFailed reports that a voter did not answer a poll, or that its answer was invalid.
type PollFailed struct{ Seq uint64 }

func (EntriesApplied) event()         {}
func (LeadershipChanged) event()      {}
func (LeaderReady) event()            {}
func (MemberList) event()             {}
func (ChangeRequested) event()        {}
func (AppendFailed) event()           {}
func (CheckResult) event()            {}
func (LeaseRequested) event()         {}
func (VerifyLeadershipResult) event() {}
func (LeaseReplyReceived) event()     {}
func (AddMemberRequested) event()     {}
func (RemoveMemberRequested) event()  {}
func (ChangeMembershipResult) event() {}
func (CaughtUp) event()               {}
func (Tick) event()                   {}
func (PollReply) event()              {}
func (PollFailed) event()             {}
