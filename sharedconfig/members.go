package sharedconfig

import "fmt"

// add takes a member in, without a vote until it has the log; or gives a member that has moved its new address. One
// change of the membership is under way at a time.
func (c *Core) add(e AddRequested) {
	m := e.Member
	named, known := c.member(func(o Member) bool { return o.Name == m.Name })
	at, taken := c.member(func(o Member) bool { return o.Addr == m.Addr && o.Name != m.Name })
	switch {
	case !c.mayChangeRoster(e.Call):
	case c.state.IsRetired(m.Folder):
		c.no(e.Call, "the folder of %s was removed from this group for good: start it with an empty one", m.Name)
	case known && named.Folder != m.Folder:
		c.no(e.Call, "%s is a member with another folder: remove it first, so that what it voted for is not forgotten", m.Name)
	case taken:
		c.no(e.Call, "%s is the address of %s", m.Addr, at.Name)
	case known && named.Addr == m.Addr && named.Voter:
		c.do(Reply{e.Call, Outcome{Status: Done, Why: m.Name + " is a member already"}})
	default:
		m.Voter = known && named.Voter // one that moves keeps its vote
		c.joins = &roster{call: e.Call, member: m, until: c.now + c.set.CatchUpTimeout}
		c.setRoster()
	}
}

// remove takes a member out. Its folder is retired first: whatever becomes of the removal itself, it never comes back.
func (c *Core) remove(e RemoveRequested) {
	m, known := c.member(func(o Member) bool { return o.Name == e.Name })
	switch {
	case !c.mayChangeRoster(e.Call):
	case !known:
		c.no(e.Call, "there is no instance %s", e.Name)
	case m.Voter && c.voters() == 1:
		c.no(e.Call, "%s is the last instance with a vote", m.Name)
	case m.Voter && c.reachable(m.Folder) <= (c.voters()-1)/2:
		c.no(e.Call, "without %s no majority would be reachable: %d of %d", m.Name, c.reachable(m.Folder), c.voters()-1)
	default:
		c.joins = &roster{call: e.Call, member: m, remove: true, until: c.now + c.set.CatchUpTimeout}
		c.do(Append{Entry{Retire: &Retire{m.Folder}}, ""})
		c.setRoster()
	}
}

// reachable counts the voters that were heard of lately, but for one.
func (c *Core) reachable(but string) (n int) {
	for _, m := range c.roster {
		at, heard := c.heard[m.Folder]
		if m.Voter && m.Folder != but && (m.Folder == c.set.InstanceID || heard && at+c.set.ReachableFor > c.now) {
			n++
		}
	}
	return n
}

func (c *Core) mayChangeRoster(call uint64) bool {
	switch {
	case !c.leading || !c.ready:
		c.do(Reply{call, Outcome{Why: "this instance does not lead"}})
	case c.joins != nil:
		c.do(Reply{call, Outcome{Status: Busy, Why: "the change of " + c.joins.member.Name + " is under way"}})
	default:
		return true
	}
	return false
}

func (c *Core) no(call uint64, format string, args ...any) {
	c.do(Reply{call, Outcome{Status: Refused, Why: fmt.Sprintf(format, args...)}})
}

func (c *Core) setRoster() {
	c.seq++
	c.joins.seq = c.seq
	c.do(ChangeMembership{c.seq, c.joins.member, c.joins.remove})
}

func (c *Core) rosterSet(e MembershipChanged) {
	j := c.joins
	if j == nil || j.seq != e.Seq {
		return
	}
	switch {
	case !e.OK: // it may have been agreed on all the same
		c.endRoster(Unknown, e.Reason)
	case j.remove || j.member.Voter:
		c.endRoster(Done, "")
	default:
		j.seq = 0
	}
}

func (c *Core) endRoster(status Status, why string) {
	if c.joins != nil {
		c.do(Reply{c.joins.call, Outcome{Status: status, Why: why}})
		c.joins = nil
	}
}

// members gives a vote to who has caught up and ends removals, also where the leader that began them is gone.
func (c *Core) members() {
	for _, m := range c.roster {
		if c.joins == nil && c.state.IsRetired(m.Folder) {
			c.joins = &roster{member: m, remove: true, until: c.now + c.set.CatchUpTimeout}
			c.setRoster()
		}
		if at, out := c.awaited[m.Folder]; !m.Voter && !c.state.IsRetired(m.Folder) && (!out || at+c.set.CheckTimeout <= c.now) {
			c.awaited[m.Folder] = c.now
			c.do(WaitForCatchUp{m})
		}
	}
	if c.joins != nil && c.now >= c.joins.until {
		why := "not agreed on in time"
		if c.joins.seq == 0 {
			why = c.joins.member.Name + " is a member and has no vote yet: it has not caught up in time and gets one as soon as it has"
		}
		c.endRoster(Unknown, why)
	}
}

func (c *Core) caughtUp(e CaughtUp) {
	m, in := c.member(func(o Member) bool { return o.Folder == e.Folder })
	if !c.leading || !c.ready || !in || m.Voter || c.state.IsRetired(m.Folder) {
		return
	}
	m.Voter = true
	switch {
	case c.joins == nil: // an earlier leader took it in
		c.joins = &roster{member: m, until: c.now + c.set.CatchUpTimeout}
	case c.joins.seq == 0 && c.joins.member.Folder == m.Folder:
		c.joins.member = m
	default:
		return // one change at a time; it is awaited again
	}
	c.logf("instance %s has caught up and gets a vote", m.Name)
	c.setRoster()
}
