package sharedconfig

// Event is an input of a Core or Follower. Only types of this package implement it.
type Event interface{ event() }

// EntriesApplied reports that this instance has applied entries of the log or has restored a snapshot. It carries the
// resulting state and the outcomes of the changes that the entries concern; a snapshot has none.
type EntriesApplied struct {
	State    State
	Outcomes []Outcome
}

// LeadershipChanged reports whether this instance is the leader, and in which term. A new leader is not ready until
// LeaderReady reports the same term.
type LeadershipChanged struct {
	Leading bool
	Term    uint64
}

// LeaderReady reports that this instance has applied all entries that were committed before the term in which it leads.
// A leader makes no decisions before that.
type LeaderReady struct{ Term uint64 }

// MemberList carries the group's members by the latest Raft configuration in the log, including this instance if it is
// a member.
type MemberList struct{ Members []Member }

// ChangeRequested is a caller's request for a change. It is answered by one Reply.
type ChangeRequested struct {
	CallID uint64
	Change Change
}

// AppendFailed reports that an entry was not appended to the log, or that it is unknown whether it was.
type AppendFailed struct{ RequestID string }

// CheckResult is the result of CheckChange: a member's reply, or the lack of one.
type CheckResult struct {
	RequestID   string
	DirectoryID string // of the member
	Accepted    bool
	NoReply     bool   // the member did not reply; Accepted has no meaning
	Reason      string // why the change was rejected or there is no reply
}

// LeaseRequested is an instance's request for a lease. The instance need not be a member. It is answered by one
// LeaseReply.
type LeaseRequested struct {
	CallID      uint64
	DirectoryID string // of the instance
}

// VerifyLeadershipResult is the result of VerifyLeadership: whether a majority confirmed that this instance is the
// leader of the term.
type VerifyLeadershipResult struct {
	Seq  uint64
	OK   bool
	Term uint64
}

// LeaseReplyReceived is the leader's reply to RequestLease. The other fields have no meaning if OK is false.
type LeaseReplyReceived struct {
	Seq     uint64
	OK      bool
	Version uint64 // version that the leader confirms
	Removed bool   // this instance was removed from the group
}

// AddMemberRequested is a caller's request to add a member, or to change the address of a member. It is answered by one
// Reply.
type AddMemberRequested struct {
	CallID uint64
	Member Member
}

// RemoveMemberRequested is a caller's request to remove a member. It is answered by one Reply.
type RemoveMemberRequested struct {
	CallID uint64
	Name   string
}

// ChangeMembershipResult is the result of ChangeMembership: whether the new Raft configuration was committed.
type ChangeMembershipResult struct {
	Seq    uint64
	OK     bool
	Reason string // why it was not committed, if known
}

// CaughtUp reports that a member without a vote has applied all entries that were committed at the time of
// WaitForCatchUp.
type CaughtUp struct{ DirectoryID string }

// Tick only reports that time has passed.
type Tick struct{}

// PollReply is a voter's reply to PollVoter. If OK is false, no lease of the voter covers its active version, and only
// Seq and Reason are set.
type PollReply struct {
	Seq            uint64   `json:"-"`
	OK             bool     `json:"ok"`
	Reason         string   `json:"why,omitempty"`
	GroupID        string   `json:"group,omitempty"`
	Version        uint64   `json:"version,omitempty"` // active version, which the voter's lease covers
	LeaseRemaining Micros   `json:"left,omitempty"`    // remaining duration of that lease on the voter's clock
	ActiveVersion  *Version `json:"active,omitempty"`  // nil: the follower already has this version
	Voters         []Member `json:"voters,omitempty"`
}

// PollFailed reports that a voter did not reply to a poll, or that its reply was invalid.
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
