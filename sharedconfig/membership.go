package sharedconfig

import (
	"fmt"
	"slices"
)

// membershipChange is a membership change in progress. There is one at a time.
type membershipChange struct {
	callID   uint64
	member   Member
	remove   bool
	seq      uint64 // of its ChangeMembership; 0: the new member has yet to catch up
	deadline Micros
}

// handleAddMemberRequested adds a member, which gets a vote once it has caught up with the log, or changes the address
// of a member, which keeps its vote.
func (c *Core) handleAddMemberRequested(e AddMemberRequested) {
	member := e.Member
	current, isMember := c.findMember(func(m Member) bool { return m.Name == member.Name })
	addressOwner, isAddressTaken := c.findMember(func(m Member) bool { return m.Addr == member.Addr && m.Name != member.Name })
	switch {
	case !c.checkMembershipRequest(e.CallID):
	case c.state.IsRetired(member.DirectoryID):
		c.rejectMembershipRequest(e.CallID, "cannot add %s: its data directory belongs to an instance that was removed from this group for good; start it with an empty data directory", member.Name)
	case isMember && current.DirectoryID != member.DirectoryID:
		c.rejectMembershipRequest(e.CallID, "cannot add %s: a member of this name has another data directory; remove that member first, since the votes that it cast are recorded there", member.Name)
	case isAddressTaken:
		c.rejectMembershipRequest(e.CallID, "cannot use address %s: it belongs to member %s", member.Addr, addressOwner.Name)
	case isMember && current.Addr == member.Addr && current.Voter:
		c.emit(Reply{CallID: e.CallID, Outcome: Outcome{Status: StatusDone, Reason: member.Name + " is already a member"}})
	default:
		member.Voter = isMember && current.Voter
		c.beginMembershipChange(membershipChange{callID: e.CallID, member: member})
		c.submitMembershipChange()
	}
}

// handleRemoveMemberRequested removes a member. It also retires the member's directory ID, so that the instance cannot
// become a member again, and so that a leader completes the removal if it fails at first. The two steps run
// concurrently: either may be committed first, or without the other.
func (c *Core) handleRemoveMemberRequested(e RemoveMemberRequested) {
	member, isMember := c.findMember(func(m Member) bool { return m.Name == e.Name })
	remaining := c.voterCount() - 1
	switch {
	case !c.checkMembershipRequest(e.CallID):
	case !isMember:
		c.rejectMembershipRequest(e.CallID, "cannot remove %s: it is not a member", e.Name)
	case member.Voter && remaining == 0:
		c.rejectMembershipRequest(e.CallID, "cannot remove %s: it is the last voter", member.Name)
	case member.Voter && c.reachableVoters(member.DirectoryID) <= remaining/2:
		c.rejectMembershipRequest(e.CallID, "cannot remove %s: only %d of the %d remaining voters are reachable, which is no majority",
			member.Name, c.reachableVoters(member.DirectoryID), remaining)
	default:
		c.beginMembershipChange(membershipChange{callID: e.CallID, member: member, remove: true})
		c.emit(AppendEntry{Entry: Entry{Retire: &Retirement{DirectoryID: member.DirectoryID}}})
		c.submitMembershipChange()
	}
}

// checkMembershipRequest reports whether a membership change may begin. If not, it answers the call.
func (c *Core) checkMembershipRequest(callID uint64) bool {
	switch {
	case !c.leading || !c.leaderReady:
		c.emit(Reply{CallID: callID, Outcome: Outcome{Reason: reasonNotReadyLeader}})
		return false
	case c.membershipChange != nil:
		reason := "the membership change of " + c.membershipChange.member.Name + " is in progress"
		c.emit(Reply{CallID: callID, Outcome: Outcome{Status: StatusBusy, Reason: reason}})
		return false
	}
	return true
}

func (c *Core) rejectMembershipRequest(callID uint64, format string, args ...any) {
	c.emit(Reply{CallID: callID, Outcome: Outcome{Status: StatusRejected, Reason: fmt.Sprintf(format, args...)}})
}

func (c *Core) beginMembershipChange(change membershipChange) {
	change.deadline = c.now + c.settings.MembershipChangeTimeout
	c.membershipChange = &change
}

func (c *Core) submitMembershipChange() {
	c.lastSeq++
	change := c.membershipChange
	change.seq = c.lastSeq
	c.emit(ChangeMembership{Seq: change.seq, Member: change.member, Remove: change.remove})
}

func (c *Core) handleChangeMembershipResult(e ChangeMembershipResult) {
	change := c.membershipChange
	if change == nil || change.seq != e.Seq {
		return
	}
	switch {
	case !e.OK: // it may still have been committed
		c.finishMembershipChange(StatusUnknown, e.Reason)
	case change.remove || change.member.Voter:
		c.finishMembershipChange(StatusDone, "")
	default: // the new member has yet to catch up
		change.seq = 0
	}
}

func (c *Core) finishMembershipChange(status Status, reason string) {
	if c.membershipChange == nil {
		return
	}
	c.emit(Reply{CallID: c.membershipChange.callID, Outcome: Outcome{Status: status, Reason: reason}})
	c.membershipChange = nil
}

// advanceMembership removes members whose directory ID is retired, and starts to wait for members without a vote to
// catch up, including those of an earlier leader's changes. It also ends a membership change whose deadline has passed.
func (c *Core) advanceMembership() {
	for _, member := range c.members {
		isRetired := c.state.IsRetired(member.DirectoryID)
		if isRetired && c.membershipChange == nil {
			c.beginMembershipChange(membershipChange{member: member, remove: true})
			c.submitMembershipChange()
		}
		if !isRetired && !member.Voter {
			c.waitForCatchUp(member)
		}
	}
	c.expireMembershipChange()
}

// waitForCatchUp starts to wait for a member without a vote to catch up with the log, and starts again after each check
// timeout.
func (c *Core) waitForCatchUp(member Member) {
	requestedAt, requested := c.catchUpWaitStartedAt[member.DirectoryID]
	if requested && c.now < requestedAt+c.settings.CheckTimeout {
		return
	}
	c.catchUpWaitStartedAt[member.DirectoryID] = c.now
	c.emit(WaitForCatchUp{Member: member})
}

func (c *Core) expireMembershipChange() {
	change := c.membershipChange
	if change == nil || c.now < change.deadline {
		return
	}
	reason := "the membership change of " + change.member.Name + " was not confirmed before the timeout and may still be committed; list the members before repeating it"
	if change.seq == 0 {
		reason = change.member.Name + " is a member without a vote: it did not catch up with the log before the timeout and becomes a voter once it has"
	}
	c.finishMembershipChange(StatusUnknown, reason)
}

// handleCaughtUp makes a member a voter. If another membership change is in progress, a later CaughtUp does so.
func (c *Core) handleCaughtUp(e CaughtUp) {
	member, isMember := c.findMember(func(m Member) bool { return m.DirectoryID == e.DirectoryID })
	if !c.leading || !c.leaderReady || !isMember || member.Voter || c.state.IsRetired(member.DirectoryID) {
		return
	}
	member.Voter = true
	change := c.membershipChange
	switch {
	case change == nil: // an earlier leader added it, or its change timed out
		c.beginMembershipChange(membershipChange{member: member})
	case change.seq == 0 && change.member.DirectoryID == member.DirectoryID:
		change.member = member
	default:
		return
	}
	c.logf("member %s has caught up with the log: making it a voter", member.Name)
	c.submitMembershipChange()
}

// reachableVoters returns the number of voters, other than the one with the directory ID exceptID, that are this instance
// or have recently requested a lease.
func (c *Core) reachableVoters(exceptID string) int {
	count := 0
	for _, member := range c.members {
		if !member.Voter || member.DirectoryID == exceptID {
			continue
		}
		requestedAt, hasRequested := c.leaseRequestReceivedAt[member.DirectoryID]
		isRecent := hasRequested && requestedAt+c.settings.ReachabilityTimeout > c.now
		if member.DirectoryID == c.settings.DirectoryID || isRecent {
			count++
		}
	}
	return count
}

func (c *Core) voterCount() int {
	count := 0
	for _, member := range c.members {
		if member.Voter {
			count++
		}
	}
	return count
}

// findMember returns the first member that matches, and reports whether there is one.
func (c *Core) findMember(matches func(Member) bool) (Member, bool) {
	i := slices.IndexFunc(c.members, matches)
	if i < 0 {
		return Member{}, false
	}
	return c.members[i], true
}
