package sharedconfig

// Action is an output of a Core or Follower: one of the types that implement it in this package. The caller carries out
// actions in the order given.
type Action interface{ action() }

// Append appends an entry to the log. Its result is reported by Applied, or by AppendFailed with the same request.
type Append struct {
	Entry   Entry
	Request string // empty: the core does not wait for the result
}

// Check asks a member, which may be this instance, to check a change. It is answered by one CheckResult.
type Check struct {
	Member Member
	Change Change
}

// Reply answers a call of ChangeRequested, AddRequested or RemoveRequested.
type Reply struct {
	Call    uint64
	Outcome Outcome
}

// RequestLease requests a lease from the leader. It is answered by one LeaseGranted or not at all.
type RequestLease struct{ Seq uint64 }

// Verify asks a majority whether this instance still leads. It is answered by one Verified.
type Verify struct{ Seq uint64 }

// AnswerLeaseRequest answers a LeaseRequested. It is sent as JSON to the member that asked.
type AnswerLeaseRequest struct {
	Call    uint64 `json:"Call"`
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

// NewLease replaces this instance's lease.
type NewLease struct{ Lease Lease }

// Log is a message for the operators.
type Log struct{ Text string }

// PollVoter sends a poll to a voter. It is answered by one ReplyReceived, one CallTimedOut or not at all.
type PollVoter struct {
	Seq     uint64
	Voter   Member // only the address is set if the voter is known from the settings alone
	Request PollRequest
}

func (Append) action()             {}
func (Check) action()              {}
func (Reply) action()              {}
func (RequestLease) action()       {}
func (Verify) action()             {}
func (AnswerLeaseRequest) action() {}
func (ChangeMembership) action()   {}
func (WaitForCatchUp) action()     {}
func (Activate) action()           {}
func (NewLease) action()           {}
func (Log) action()                {}
func (PollVoter) action()          {}
