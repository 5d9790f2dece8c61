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
	seq      uint64 // of its ChangeMembership; 0: it waits for the new member to catch up
	deadline Micros
}

// handleAddMemberRequested adds a member, at first without a vote until it has caught up with the log; or it changes the
// address of a member, which keeps its vote.
func (c *Core) handleAddMemberRequested(e AddMemberRequested) {
	member := e.Member
	current, isMember := c.findMember(func(m Member) bool { return m.Name == member.Name })
	addressOwner, isAddressTaken := c.findMember(func(m Member) bool { return m.Addr == member.Addr && m.Name != member.Name })
	switch {
	case !c.acceptMembershipRequest(e.CallID):
	case c.state.IsRetired(member.InstanceID):
		c.reject(e.CallID, "the folder of %s was removed from this group for good: start it with an empty one", member.Name)
	case isMember && current.InstanceID != member.InstanceID:
		c.reject(e.CallID, "%s is a member with another folder: remove it first, so that what it voted for is not forgotten", member.Name)
	case isAddressTaken:
		c.reject(e.CallID, "%s is the address of %s", member.Addr, addressOwner.Name)
	case isMember && current.Addr == member.Addr && current.Voter:
		c.emit(Reply{CallID: e.CallID, Outcome: Outcome{Status: StatusDone, Reason: member.Name + " is a member already"}})
	default:
		member.Voter = isMember && current.Voter
		c.beginMembershipChange(membershipChange{callID: e.CallID, member: member})
		c.submitMembershipChange()
	}
}

// handleRemoveMemberRequested removes a member. Its instance ID is retired first, so that it cannot become a member again
// whatever the outcome of the removal itself is.
func (c *Core) handleRemoveMemberRequested(e RemoveMemberRequested) {
	member, isMember := c.findMember(func(m Member) bool { return m.Name == e.Name })
	remaining := c.voterCount() - 1
	switch {
	case !c.acceptMembershipRequest(e.CallID):
	case !isMember:
		c.reject(e.CallID, "there is no instance %s", e.Name)
	case member.Voter && remaining == 0:
		c.reject(e.CallID, "%s is the last instance with a vote", member.Name)
	case member.Voter && c.reachableVoters(member.InstanceID) <= remaining/2:
		c.reject(e.CallID, "without %s no majority would be reachable: %d of %d",
			member.Name, c.reachableVoters(member.InstanceID), remaining)
	default:
		c.beginMembershipChange(membershipChange{callID: e.CallID, member: member, remove: true})
		c.emit(AppendEntry{Entry: Entry{Retire: &Retirement{InstanceID: member.InstanceID}}})
		c.submitMembershipChange()
	}
}

// acceptMembershipRequest reports whether a membership change may begin. If not, it answers the call.
func (c *Core) acceptMembershipRequest(callID uint64) bool {
	switch {
	case !c.leading || !c.leaderReady:
		c.emit(Reply{CallID: callID, Outcome: Outcome{Reason: reasonNotLeader}})
		return false
	case c.membershipChange != nil:
		reason := "the change of " + c.membershipChange.member.Name + " is under way"
		c.emit(Reply{CallID: callID, Outcome: Outcome{Status: StatusBusy, Reason: reason}})
		return false
	}
	return true
}

func (c *Core) reject(callID uint64, format string, args ...any) {
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
	case !e.OK: // it may have been committed nevertheless
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

// advanceMembership completes removals and has members without a vote report when they have caught up, including those
// that an earlier leader began with. It also ends a membership change after its deadline.
func (c *Core) advanceMembership() {
	for _, member := range c.members {
		isRetired := c.state.IsRetired(member.InstanceID)
		if isRetired && c.membershipChange == nil {
			c.beginMembershipChange(membershipChange{member: member, remove: true})
			c.submitMembershipChange()
		}
		if !isRetired && !member.Voter {
			c.requestCatchUp(member)
		}
	}
	c.expireMembershipChange()
}

// requestCatchUp asks a member without a vote to report when it has caught up, again after each check timeout.
func (c *Core) requestCatchUp(member Member) {
	requestedAt, requested := c.catchUpRequestedAt[member.InstanceID]
	if requested && c.now < requestedAt+c.settings.CheckTimeout {
		return
	}
	c.catchUpRequestedAt[member.InstanceID] = c.now
	c.emit(WaitForCatchUp{Member: member})
}

func (c *Core) expireMembershipChange() {
	change := c.membershipChange
	if change == nil || c.now < change.deadline {
		return
	}
	reason := reasonNotCommitted
	if change.seq == 0 {
		reason = change.member.Name + " is a member and has no vote yet: it has not caught up in time and gets one as soon as it has"
	}
	c.finishMembershipChange(StatusUnknown, reason)
}

// handleCaughtUp gives a member a vote. If another membership change is in progress, the member is asked again later.
func (c *Core) handleCaughtUp(e CaughtUp) {
	member, isMember := c.findMember(func(m Member) bool { return m.InstanceID == e.InstanceID })
	if !c.leading || !c.leaderReady || !isMember || member.Voter || c.state.IsRetired(member.InstanceID) {
		return
	}
	member.Voter = true
	change := c.membershipChange
	switch {
	case change == nil: // an earlier leader added it
		c.beginMembershipChange(membershipChange{member: member})
	case change.seq == 0 && change.member.InstanceID == member.InstanceID:
		change.member = member
	default:
		return
	}
	c.logf("instance %s has caught up: giving it a vote", member.Name)
	c.submitMembershipChange()
}

// reachableVoters returns the number of voters, apart from the one with the given instance ID, that are this instance
// or have recently requested a lease.
func (c *Core) reachableVoters(except string) int {
	count := 0
	for _, member := range c.members {
		if !member.Voter || member.InstanceID == except {
			continue
		}
		requestedAt, hasRequested := c.memberLeaseRequestedAt[member.InstanceID]
		isRecent := hasRequested && requestedAt+c.settings.ReachabilityTimeout > c.now
		if member.InstanceID == c.settings.InstanceID || isRecent {
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

// findMember returns the first member that matches.
func (c *Core) findMember(matches func(Member) bool) (Member, bool) {
	i := slices.IndexFunc(c.members, matches)
	if i < 0 {
		return Member{}, false
	}
	return c.members[i], true
}
