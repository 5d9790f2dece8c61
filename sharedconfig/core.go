package sharedconfig

import "slices"

// Reasons in replies to callers.
const (
	reasonNotLeader      = "this instance is not the leader"
	reasonNotReadyLeader = "this instance is not the leader, or is a new leader that has not applied all earlier entries yet; repeat the request"
	reasonLeadershipLost = "this instance lost the leadership before the outcome was known"
	reasonAppendFailed   = "the log did not confirm the entry, which may still be committed; repeat the request with the same request ID"
	reasonChangeTimedOut = "the change was not decided before the timeout"
)

// Core makes the decisions of one member of the group. Its methods must not be called concurrently.
type Core struct {
	stepState
	settings Settings
	state    State
	members  []Member
	lease    Lease

	ownLeaseRequests       map[uint64]Micros // send times of this instance's requests that may still be answered, by sequence number
	lastOwnLeaseRequestSeq uint64            // sequence number of this instance's latest request
	lastOwnLeaseRequestAt  Micros            // send time of that request

	term        uint64
	leading     bool
	leaderReady bool // leading, and all entries committed in earlier terms are applied

	// The fields below are used only while this instance leads.

	queuedChanges []ChangeRequested
	currentChange *changeInProgress
	lastSeq       uint64 // sequence number of the latest VerifyLeadership or ChangeMembership

	queuedLeaseRequests    []LeaseRequested // wait for the next verification of the leadership
	verifyingLeaseRequests []LeaseRequested // wait for the result of the verification in progress
	verifyingVersion       uint64           // active version at the start of the verification in progress
	verificationSeq        uint64           // sequence number of the verification in progress; 0: none

	membershipChange       *membershipChange // in progress; nil: none
	leaseRequestReceivedAt map[string]Micros // time of the latest lease request of each instance, by directory ID
	catchUpWaitStartedAt   map[string]Micros // time of the latest WaitForCatchUp for each member, by directory ID
}

// NewCore returns the core of an instance whose log has produced the given state. It knows no members and no leader
// yet.
func NewCore(settings Settings, state State) *Core {
	return &Core{
		settings:               settings,
		state:                  state,
		lease:                  Lease{ServeWhenStale: settings.ServeWhenStale, Removed: settings.Removed},
		ownLeaseRequests:       map[uint64]Micros{},
		lastOwnLeaseRequestAt:  -settings.LeaseRenewalInterval,
		leaseRequestReceivedAt: map[string]Micros{},
		catchUpWaitStartedAt:   map[string]Micros{},
	}
}

// State returns the state of the latest EntriesApplied event.
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

// handleLeadershipChanged starts or ends this instance's leadership. The leader of a new term starts afresh: the
// outcome of whatever was in progress in an earlier term is unknown.
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
	clear(c.leaseRequestReceivedAt)
	clear(c.catchUpWaitStartedAt)
}

// failPendingCalls answers all calls that wait for this instance, since its leadership of the term has ended.
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

// stepLeader performs the due tasks of a leader that is ready.
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
