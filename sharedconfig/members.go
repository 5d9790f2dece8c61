package sharedconfig

import "fmt"

// handleAddRequested takes a member in, without a vote until it has the log; or gives a member that has moved its new address. One
// change of the membership is under way at a time.
func (c *Core) handleAddRequested(e AddRequested) {
	m := e.Member
	named, known := c.findMember(func(o Member) bool { return o.Name == m.Name })
	at, taken := c.findMember(func(o Member) bool { return o.Addr == m.Addr && o.Name != m.Name })
	switch {
	case !c.acceptMembershipRequest(e.Call):
	case c.state.IsRetired(m.Folder):
		c.refuse(e.Call, "the folder of %s was removed from this group for good: start it with an empty one", m.Name)
	case known && named.Folder != m.Folder:
		c.refuse(e.Call, "%s is a member with another folder: remove it first, so that what it voted for is not forgotten", m.Name)
	case taken:
		c.refuse(e.Call, "%s is the address of %s", m.Addr, at.Name)
	case known && named.Addr == m.Addr && named.Voter:
		c.emit(Reply{e.Call, Outcome{Status: Done, Why: m.Name + " is a member already"}})
	default:
		m.Voter = known && named.Voter // one that moves keeps its vote
		c.membershipChange = &membershipChange{call: e.Call, member: m, deadline: c.now + c.settings.CatchUpTimeout}
		c.submitMembershipChange()
	}
}

// handleRemoveRequested takes a member out. Its folder is retired first: whatever becomes of the removal itself, it never comes back.
func (c *Core) handleRemoveRequested(e RemoveRequested) {
	m, known := c.findMember(func(o Member) bool { return o.Name == e.Name })
	switch {
	case !c.acceptMembershipRequest(e.Call):
	case !known:
		c.refuse(e.Call, "there is no instance %s", e.Name)
	case m.Voter && c.voterCount() == 1:
		c.refuse(e.Call, "%s is the last instance with a vote", m.Name)
	case m.Voter && c.reachableVoters(m.Folder) <= (c.voterCount()-1)/2:
		c.refuse(e.Call, "without %s no majority would be reachable: %d of %d", m.Name, c.reachableVoters(m.Folder), c.voterCount()-1)
	default:
		c.membershipChange = &membershipChange{call: e.Call, member: m, remove: true, deadline: c.now + c.settings.CatchUpTimeout}
		c.emit(Append{Entry{Retire: &Retire{m.Folder}}, ""})
		c.submitMembershipChange()
	}
}

// reachableVoters counts the voters that were heard of lately, but for one.
func (c *Core) reachableVoters(but string) (n int) {
	for _, m := range c.members {
		at, heard := c.lastHeard[m.Folder]
		if m.Voter && m.Folder != but && (m.Folder == c.settings.InstanceID || heard && at+c.settings.ReachableFor > c.now) {
			n++
		}
	}
	return n
}

func (c *Core) acceptMembershipRequest(call uint64) bool {
	switch {
	case !c.leading || !c.ready:
		c.emit(Reply{call, Outcome{Why: "this instance does not lead"}})
	case c.membershipChange != nil:
		c.emit(Reply{call, Outcome{Status: Busy, Why: "the change of " + c.membershipChange.member.Name + " is under way"}})
	default:
		return true
	}
	return false
}

func (c *Core) refuse(call uint64, format string, args ...any) {
	c.emit(Reply{call, Outcome{Status: Refused, Why: fmt.Sprintf(format, args...)}})
}

func (c *Core) submitMembershipChange() {
	c.lastSeq++
	c.membershipChange.seq = c.lastSeq
	c.emit(ChangeMembership{c.lastSeq, c.membershipChange.member, c.membershipChange.remove})
}

func (c *Core) handleMembershipChanged(e MembershipChanged) {
	j := c.membershipChange
	if j == nil || j.seq != e.Seq {
		return
	}
	switch {
	case !e.OK: // it may have been agreed on all the same
		c.finishMembershipChange(Unknown, e.Reason)
	case j.remove || j.member.Voter:
		c.finishMembershipChange(Done, "")
	default:
		j.seq = 0
	}
}

func (c *Core) finishMembershipChange(status Status, why string) {
	if c.membershipChange != nil {
		c.emit(Reply{c.membershipChange.call, Outcome{Status: status, Why: why}})
		c.membershipChange = nil
	}
}

// advanceMembership gives a vote to who has caught up and ends removals, also where the leader that began them is gone.
func (c *Core) advanceMembership() {
	for _, m := range c.members {
		if c.membershipChange == nil && c.state.IsRetired(m.Folder) {
			c.membershipChange = &membershipChange{member: m, remove: true, deadline: c.now + c.settings.CatchUpTimeout}
			c.submitMembershipChange()
		}
		if at, out := c.catchUpRequestedAt[m.Folder]; !m.Voter && !c.state.IsRetired(m.Folder) && (!out || at+c.settings.CheckTimeout <= c.now) {
			c.catchUpRequestedAt[m.Folder] = c.now
			c.emit(WaitForCatchUp{m})
		}
	}
	if c.membershipChange != nil && c.now >= c.membershipChange.deadline {
		why := "not agreed on in time"
		if c.membershipChange.seq == 0 {
			why = c.membershipChange.member.Name + " is a member and has no vote yet: it has not caught up in time and gets one as soon as it has"
		}
		c.finishMembershipChange(Unknown, why)
	}
}

func (c *Core) handleCaughtUp(e CaughtUp) {
	m, in := c.findMember(func(o Member) bool { return o.Folder == e.Folder })
	if !c.leading || !c.ready || !in || m.Voter || c.state.IsRetired(m.Folder) {
		return
	}
	m.Voter = true
	switch {
	case c.membershipChange == nil: // an earlier leader took it in
		c.membershipChange = &membershipChange{member: m, deadline: c.now + c.settings.CatchUpTimeout}
	case c.membershipChange.seq == 0 && c.membershipChange.member.Folder == m.Folder:
		c.membershipChange.member = m
	default:
		return // one change at a time; it is awaited again
	}
	c.logf("instance %s has caught up and gets a vote", m.Name)
	c.submitMembershipChange()
}
