package sharedconfig

import "slices"

// Reasons in outcomes.
const (
	reasonNotLeader      = "this instance does not lead"
	reasonLeadershipLost = "this instance no longer leads"
	reasonAppendFailed   = "the log did not take it, or nobody knows whether it did"
	reasonChangeTimedOut = "not decided in time"
	reasonNotCommitted   = "not agreed on in time"
)

// Core makes the decisions of one member of the group. Calls of its methods must not overlap.
type Core struct {
	stepState
	settings Settings
	state    State
	members  []Member
	lease    Lease

	pendingLeaseRequests map[uint64]Micros // time of each request that may still be answered
	lastLeaseRequestSeq  uint64            // sequence number
	lastLeaseRequestAt   Micros

	term        uint64
	leading     bool
	leaderReady bool // leading, and everything committed in earlier terms is applied

	// The fields below are in use only while this instance leads.

	queuedChanges []ChangeRequested
	currentChange *changeInProgress
	lastSeq       uint64 // sequence number of the latest VerifyLeadership or ChangeMembership

	queuedLeaseRequests    []LeaseRequested // for the next verification
	verifyingLeaseRequests []LeaseRequested // for the verification in flight
	verifyingVersion       uint64           // active version when the verification in flight began
	verificationSeq        uint64           // 0: none is in flight

	membershipChange       *membershipChange // in progress
	memberLeaseRequestedAt map[string]Micros // time of the last lease request by instance ID
	catchUpRequestedAt     map[string]Micros // time of the last WaitForCatchUp by instance ID
}

// NewCore returns the core of an instance whose log has led to the given state. It knows no members and no leader yet.
func NewCore(settings Settings, state State) *Core {
	return &Core{
		settings:               settings,
		state:                  state,
		lease:                  Lease{ServeWhenStale: settings.ServeWhenStale, Removed: settings.Removed},
		pendingLeaseRequests:   map[uint64]Micros{},
		lastLeaseRequestAt:     -settings.LeaseRenewalInterval,
		memberLeaseRequestedAt: map[string]Micros{},
		catchUpRequestedAt:     map[string]Micros{},
	}
}

// State returns the state by the last EntriesApplied event.
func (c *Core) State() State { return c.state }

// Lease returns this instance's lease.
func (c *Core) Lease() Lease { return c.lease }

// Step handles events that have occurred up to the time now and returns the resulting actions.
func (c *Core) Step(now Micros, events []Event) []Action {
	c.begin(now)
	for _, e := range events {
		c.handleEvent(e)
	}
	c.requestLease()
	if c.leading && c.leaderReady {
		c.stepLeader()
	}
	return c.actions
}

func (c *Core) handleEvent(e Event) {
	switch e := e.(type) {
	case EntriesApplied:
		c.handleEntriesApplied(e)
	case LeadershipChanged:
		c.handleLeadershipChanged(e)
	case LeaderReady:
		c.leaderReady = c.leaderReady || c.leading && e.Term == c.term
	case MemberList:
		c.members = e.Members
	case ChangeRequested:
		c.handleChangeRequested(e)
	case AppendFailed:
		c.handleAppendFailed(e)
	case CheckResult:
		c.handleCheckResult(e)
	case LeaseRequested:
		c.handleLeaseRequested(e)
	case VerifyLeadershipResult:
		c.handleVerifyLeadershipResult(e)
	case LeaseReplyReceived:
		c.handleLeaseReply(e)
	case AddMemberRequested:
		c.handleAddMemberRequested(e)
	case RemoveMemberRequested:
		c.handleRemoveMemberRequested(e)
	case ChangeMembershipResult:
		c.handleChangeMembershipResult(e)
	case CaughtUp:
		c.handleCaughtUp(e)
	}
}

func (c *Core) handleEntriesApplied(e EntriesApplied) {
	previous := c.state.Active()
	c.state = e.State
	if active := c.state.Active(); active.Number != previous.Number {
		c.emit(Activate{Version: active})
	}
	for _, outcome := range e.Outcomes {
		c.handleOutcome(outcome)
	}
}

// handleLeadershipChanged starts or ends this instance's leadership. A leader of a new term starts over: what it had in progress in
// an earlier one has an unknown outcome.
func (c *Core) handleLeadershipChanged(e LeadershipChanged) {
	unchanged := e.Leading == c.leading && (!e.Leading || e.Term == c.term)
	if unchanged {
		c.term = max(c.term, e.Term)
		return
	}
	if c.leading {
		c.failPendingCalls()
	}
	c.leading = e.Leading
	c.term = e.Term
	c.leaderReady = false
	c.queuedChanges = nil
	c.currentChange = nil
	c.queuedLeaseRequests = nil
	c.verifyingLeaseRequests = nil
	c.verificationSeq = 0
	clear(c.memberLeaseRequestedAt)
	clear(c.catchUpRequestedAt)
}

// failPendingCalls answers all calls that wait for a leader that no longer leads.
func (c *Core) failPendingCalls() {
	c.abandonCurrentChange(reasonLeadershipLost)
	for _, queued := range c.queuedChanges {
		c.emit(Reply{CallID: queued.CallID, Outcome: Outcome{RequestID: queued.Change.RequestID, Reason: reasonLeadershipLost}})
	}
	c.finishMembershipChange(StatusUnknown, reasonLeadershipLost)
	for _, request := range slices.Concat(c.queuedLeaseRequests, c.verifyingLeaseRequests) {
		c.emit(LeaseReply{CallID: request.CallID})
	}
}

// stepLeader does what is due for a leader that is ready.
func (c *Core) stepLeader() {
	c.advanceCurrentChange()
	c.decideCurrentChange()
	c.startVerification()
	c.advanceMembership()
}

func (c *Core) replyAll(callIDs []uint64, outcome Outcome) {
	for _, callID := range callIDs {
		c.emit(Reply{CallID: callID, Outcome: outcome})
	}
}
