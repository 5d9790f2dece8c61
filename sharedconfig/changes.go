package sharedconfig

import (
	"cmp"
	"fmt"
	"slices"
)

// changeInProgress is the change that the leader is proposing, checking or deciding.
type changeInProgress struct {
	Change
	callIDs         []uint64 // calls that wait for the outcome
	callDeadline    Micros   // time by which the calls are answered; 0: none
	proposalApplied bool     // the entry that proposes the change is applied

	outstandingChecks map[string]Member // members that have not replied, by directory ID; nil: the check has not begun
	checkDeadline     Micros
	acceptCount       int          // number of voters that accepted
	firstRejection    *CheckResult // nil: no member has rejected the change
	rejectedBy        string       // name of the member of firstRejection

	decisionSubmitted bool // the entry that decides the change was sent to the log
	decisionAccepts   bool // that entry accepts the change
}

// handleChangeRequested queues a change. A request whose outcome is recorded is answered at once, and a repeated
// request for the current change waits with it.
func (c *Core) handleChangeRequested(e ChangeRequested) {
	recorded := c.state.Outcome(e.Change.RequestID)
	isDecided := recorded.Status != StatusUnknown && recorded.Status != StatusPending
	switch {
	case !c.leading:
		c.emit(Reply{CallID: e.CallID, Outcome: Outcome{RequestID: e.Change.RequestID, Reason: reasonNotLeader}})
	case c.currentChange != nil && c.currentChange.RequestID == e.Change.RequestID:
		c.currentChange.callIDs = append(c.currentChange.callIDs, e.CallID)
	case isDecided && c.leaderReady:
		c.emit(Reply{CallID: e.CallID, Outcome: recorded})
	default:
		c.queuedChanges = append(c.queuedChanges, e)
	}
}

// handleOutcome advances the current change by the outcome of an applied entry.
func (c *Core) handleOutcome(outcome Outcome) {
	current := c.currentChange
	if current == nil || current.RequestID != outcome.RequestID || outcome.RequestID == "" {
		return
	}
	switch outcome.Status {
	case StatusPending:
		current.proposalApplied = true
	case StatusBusy: // another change is pending and is decided first
		c.requeueCurrentChange()
	case StatusUnknown: // the entry decided nothing
	default:
		c.replyAll(current.callIDs, outcome)
		c.currentChange = nil
	}
}

func (c *Core) handleAppendFailed(e AppendFailed) {
	if c.currentChange != nil && c.currentChange.RequestID == e.RequestID {
		c.abandonCurrentChange(reasonAppendFailed)
	}
}

// abandonCurrentChange drops the current change and answers its calls with an unknown outcome.
func (c *Core) abandonCurrentChange(reason string) {
	if c.currentChange == nil {
		return
	}
	c.replyAll(c.currentChange.callIDs, Outcome{RequestID: c.currentChange.RequestID, Reason: reason})
	c.currentChange = nil
}

// requeueCurrentChange moves the current change back to the front of the queue, since another change is pending.
func (c *Core) requeueCurrentChange() {
	current := c.currentChange
	c.currentChange = nil
	queue := make([]ChangeRequested, 0, len(current.callIDs)+len(c.queuedChanges))
	for _, callID := range current.callIDs {
		queue = append(queue, ChangeRequested{CallID: callID, Change: current.Change})
	}
	c.queuedChanges = append(queue, c.queuedChanges...)
}

// advanceCurrentChange takes up the pending change, or else the next queued one, if no change is in progress. It starts
// the check of the current change once its proposal is applied.
func (c *Core) advanceCurrentChange() {
	if c.currentChange == nil {
		c.resumePendingChange()
	}
	if c.currentChange == nil {
		c.proposeNextChange()
	}
	if c.currentChange == nil {
		return
	}
	c.attachQueuedCalls()
	c.expireCurrentCalls()
	c.startCheck()
}

// resumePendingChange takes up a change that was proposed but not decided, either by an earlier leader or by this one
// before an append failed.
func (c *Core) resumePendingChange() {
	if c.state.PendingChange == nil {
		return
	}
	c.logf("change %s is proposed but not decided: checking it again", c.state.PendingChange.RequestID)
	c.currentChange = &changeInProgress{Change: *c.state.PendingChange, proposalApplied: true}
}

// proposeNextChange proposes the first queued change without a recorded outcome, and answers the requests queued before
// it.
func (c *Core) proposeNextChange() {
	for len(c.queuedChanges) > 0 {
		next := c.queuedChanges[0]
		c.queuedChanges = c.queuedChanges[1:]
		if recorded := c.state.Outcome(next.Change.RequestID); recorded.Status != StatusUnknown {
			c.emit(Reply{CallID: next.CallID, Outcome: recorded})
			continue
		}
		c.currentChange = &changeInProgress{
			Change:       next.Change,
			callIDs:      []uint64{next.CallID},
			callDeadline: c.now + c.settings.ChangeTimeout,
		}
		c.emit(AppendEntry{Entry: Entry{Propose: &next.Change}, RequestID: next.Change.RequestID})
		return
	}
}

// attachQueuedCalls moves the calls of queued requests for the current change to its waiting calls.
func (c *Core) attachQueuedCalls() {
	current := c.currentChange
	c.queuedChanges = slices.DeleteFunc(c.queuedChanges, func(queued ChangeRequested) bool {
		if queued.Change.RequestID != current.RequestID {
			return false
		}
		current.callIDs = append(current.callIDs, queued.CallID)
		return true
	})
}

// expireCurrentCalls answers the calls of the current change after their deadline. The change itself continues.
func (c *Core) expireCurrentCalls() {
	current := c.currentChange
	if current.callDeadline == 0 || c.now < current.callDeadline {
		return
	}
	c.replyAll(current.callIDs, Outcome{RequestID: current.RequestID, Reason: reasonChangeTimedOut})
	current.callIDs = nil
	current.callDeadline = 0
}

// startCheck asks all members to check the current change once its proposal is applied.
func (c *Core) startCheck() {
	current := c.currentChange
	if !current.proposalApplied || current.outstandingChecks != nil {
		return
	}
	current.checkDeadline = c.now + c.settings.CheckTimeout
	current.outstandingChecks = map[string]Member{}
	for _, member := range c.members {
		current.outstandingChecks[member.DirectoryID] = member
		c.emit(CheckChange{Member: member, Change: current.Change})
	}
}

func (c *Core) handleCheckResult(e CheckResult) {
	current := c.currentChange
	if current == nil || current.RequestID != e.RequestID || current.decisionSubmitted {
		return
	}
	member, outstanding := current.outstandingChecks[e.DirectoryID]
	if !outstanding {
		return
	}
	delete(current.outstandingChecks, e.DirectoryID)
	switch {
	case e.NoReply:
		c.logf("member %s did not check change %s: %s", member.Name, e.RequestID, cmp.Or(e.Reason, "no reply"))
	case !e.Accepted && current.firstRejection == nil:
		current.firstRejection = &e
		current.rejectedBy = member.Name
	case e.Accepted && member.Voter:
		current.acceptCount++
	}
}

// decideCurrentChange accepts or rejects the current change once its check has ended: a member has rejected it, no reply
// is outstanding, or the deadline has passed. A rejection by any member, with or without a vote, rejects the change.
// Members that do not reply in time do not block it, but a majority of the voters must accept it. Otherwise a change
// that few voters have checked could become active, and a leader that is cut off from the voters would submit an
// acceptance that it cannot commit.
func (c *Core) decideCurrentChange() {
	current := c.currentChange
	if current == nil || current.outstandingChecks == nil || current.decisionSubmitted {
		return
	}
	decision := Decision{RequestID: current.RequestID}
	switch {
	case current.firstRejection != nil:
		decision.RejectedBy = current.rejectedBy
		decision.Reason = current.firstRejection.Reason
	case len(current.outstandingChecks) > 0 && c.now < current.checkDeadline:
		return
	case current.acceptCount <= c.voterCount()/2:
		decision.Reason = fmt.Sprintf("only %d of %d voters accepted the change; a majority is required", current.acceptCount, c.voterCount())
	default:
		decision.Accept = true
	}
	current.decisionSubmitted = true
	current.decisionAccepts = decision.Accept
	c.emit(AppendEntry{Entry: Entry{Decide: &decision}, RequestID: current.RequestID})
}

// newerVersionMayBeActive reports whether the entry that accepts the current change may be committed although it is not
// applied here. The version that the change creates is then active already.
func (c *Core) newerVersionMayBeActive() bool {
	return c.currentChange != nil && c.currentChange.decisionSubmitted && c.currentChange.decisionAccepts
}
