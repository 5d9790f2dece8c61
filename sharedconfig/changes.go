package sharedconfig

import (
	"cmp"
	"fmt"
	"slices"
)

// changeInProgress is the change that the leader has proposed or is about to decide.
type changeInProgress struct {
	Change
	calls        []uint64 // calls that wait for the outcome
	callDeadline Micros   // when the calls are answered at the latest; 0: no call waits
	proposed     bool     // the entry that proposes it is applied

	unanswered    map[string]Member // members whose check is outstanding, by instance ID; nil: the check has not begun
	checkDeadline Micros
	acceptCount   int          // voters that accepted
	rejection     *CheckResult // the first one; nil: none so far
	rejectedBy    string       // name of its member

	decided  bool // the entry that decides it is sent to the log
	accepted bool // by that entry
}

// handleChangeRequested queues a change. A request with a known outcome is answered at once, and one that repeats the
// current change waits with it.
func (c *Core) handleChangeRequested(e ChangeRequested) {
	known := c.state.Outcome(e.Change.RequestID)
	isDecided := known.Status != StatusUnknown && known.Status != StatusPending
	switch {
	case !c.leading:
		c.emit(Reply{CallID: e.CallID, Outcome: Outcome{RequestID: e.Change.RequestID, Reason: reasonNotLeader}})
	case c.currentChange != nil && c.currentChange.RequestID == e.Change.RequestID:
		c.currentChange.calls = append(c.currentChange.calls, e.CallID)
	case isDecided && c.ready:
		c.emit(Reply{CallID: e.CallID, Outcome: known})
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
		current.proposed = true
	case StatusBusy: // an earlier leader's change is pending, which is decided first
		c.requeueCurrentChange()
	case StatusUnknown: // of an entry that decided nothing
	default:
		c.replyAll(current.calls, outcome)
		c.currentChange = nil
	}
}

func (c *Core) handleAppendFailed(e AppendFailed) {
	if c.currentChange != nil && c.currentChange.RequestID == e.RequestID {
		c.abandonCurrentChange(reasonAppendFailed)
	}
}

// abandonCurrentChange answers the current change's calls with an unknown outcome.
func (c *Core) abandonCurrentChange(reason string) {
	if c.currentChange == nil {
		return
	}
	c.replyAll(c.currentChange.calls, Outcome{RequestID: c.currentChange.RequestID, Reason: reason})
	c.currentChange = nil
}

// requeueCurrentChange puts the current change in front of the queue, since another one is pending.
func (c *Core) requeueCurrentChange() {
	current := c.currentChange
	c.currentChange = nil
	queue := make([]ChangeRequested, 0, len(current.calls)+len(c.queuedChanges))
	for _, call := range current.calls {
		queue = append(queue, ChangeRequested{CallID: call, Change: current.Change})
	}
	c.queuedChanges = append(queue, c.queuedChanges...)
}

// startNextChange makes the pending or else the next queued change the current one and has it checked once it is
// proposed.
func (c *Core) startNextChange() {
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

// resumePendingChange takes over a change that an earlier leader proposed and did not decide.
func (c *Core) resumePendingChange() {
	if c.state.PendingChange == nil {
		return
	}
	c.logf("change %s is pending from an earlier term: checking it again", c.state.PendingChange.RequestID)
	c.currentChange = &changeInProgress{Change: *c.state.PendingChange, proposed: true}
}

// proposeNextChange proposes the first queued change that has no outcome yet.
func (c *Core) proposeNextChange() {
	for len(c.queuedChanges) > 0 {
		next := c.queuedChanges[0]
		c.queuedChanges = c.queuedChanges[1:]
		if known := c.state.Outcome(next.Change.RequestID); known.Status != StatusUnknown {
			c.emit(Reply{CallID: next.CallID, Outcome: known})
			continue
		}
		c.currentChange = &changeInProgress{
			Change:       next.Change,
			calls:        []uint64{next.CallID},
			callDeadline: c.now + c.settings.ChangeTimeout,
		}
		c.emit(AppendEntry{Entry: Entry{Propose: &next.Change}, RequestID: next.Change.RequestID})
		return
	}
}

// attachQueuedCalls has queued calls for the current change wait with it.
func (c *Core) attachQueuedCalls() {
	current := c.currentChange
	c.queuedChanges = slices.DeleteFunc(c.queuedChanges, func(queued ChangeRequested) bool {
		if queued.Change.RequestID != current.RequestID {
			return false
		}
		current.calls = append(current.calls, queued.CallID)
		return true
	})
}

// expireCurrentCalls answers the current change's calls after their deadline. The change itself goes on.
func (c *Core) expireCurrentCalls() {
	current := c.currentChange
	if current.callDeadline == 0 || c.now < current.callDeadline {
		return
	}
	c.replyAll(current.calls, Outcome{RequestID: current.RequestID, Reason: reasonChangeTimedOut})
	current.calls = nil
	current.callDeadline = 0
}

// startCheck asks all members to check the current change once it is proposed.
func (c *Core) startCheck() {
	current := c.currentChange
	if !current.proposed || current.unanswered != nil {
		return
	}
	current.checkDeadline = c.now + c.settings.CheckTimeout
	current.unanswered = map[string]Member{}
	for _, member := range c.members {
		current.unanswered[member.InstanceID] = member
		c.emit(CheckChange{Member: member, Change: current.Change})
	}
}

func (c *Core) handleCheckResult(e CheckResult) {
	current := c.currentChange
	if current == nil || current.RequestID != e.RequestID || current.decided {
		return
	}
	member, outstanding := current.unanswered[e.InstanceID]
	if !outstanding {
		return
	}
	delete(current.unanswered, e.InstanceID)
	switch {
	case e.NoReply:
		c.logf("instance %s did not check change %s: %s", member.Name, e.RequestID, cmp.Or(e.Reason, "no answer"))
	case !e.Accepted && current.rejection == nil:
		current.rejection = &e
		current.rejectedBy = member.Name
	case e.Accepted && member.Voter:
		current.acceptCount++
	}
}

// decideCurrentChange commits or rejects the current change once its check is complete: when a member has rejected it,
// all have answered, or the time is up. Without a majority of voters that accept it is rejected, since a leader that is
// cut off from them would otherwise learn only later that it cannot commit it.
func (c *Core) decideCurrentChange() {
	current := c.currentChange
	if current == nil || current.unanswered == nil || current.decided {
		return
	}
	decision := Decision{RequestID: current.RequestID}
	switch {
	case current.rejection != nil:
		decision.RejectedBy = current.rejectedBy
		decision.Reason = current.rejection.Reason
	case len(current.unanswered) > 0 && c.now < current.checkDeadline:
		return
	case current.acceptCount <= c.voterCount()/2:
		decision.Reason = fmt.Sprintf("only %d of %d instances could check it", current.acceptCount, c.voterCount())
	default:
		decision.Accept = true
	}
	current.decided = true
	current.accepted = decision.Accept
	c.emit(AppendEntry{Entry: Entry{Decide: &decision}, RequestID: current.RequestID})
}

// mayBeActivating reports whether the current change may already be committed although it is not applied here.
func (c *Core) mayBeActivating() bool {
	return c.currentChange != nil && c.currentChange.decided && c.currentChange.accepted
}
