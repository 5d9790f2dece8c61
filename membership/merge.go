package membership

import (
	"math"
	"net/netip"
)

// departureConfirmations is how many members must report that another one is dead or left for it to be believed.
const departureConfirmations = 2

// Update is the state of one member as it is disseminated.
type Update struct {
	ID          ID
	Generation  uint32
	Incarnation uint32
	State       MemberState
	// Accuser is the member that suspects ID, in updates of state suspect.
	Accuser ID
	Addr    netip.AddrPort
	// Name and Zone are set for members that are present only.
	Name string
	Zone string
}

// updateFor returns an update with this member's view of another one.
func (g *Group) updateFor(member *memberRecord) Update {
	update := Update{
		ID:          member.ID,
		Generation:  member.Generation,
		Incarnation: member.Incarnation,
		State:       member.State,
		Addr:        member.Addr,
	}
	if member.State.Present() {
		update.Name = member.Name
		update.Zone = member.Zone
	}
	return update
}

// applyUpdate merges an update into this member's state. An update that is older than the state has no effect.
func (g *Group) applyUpdate(update Update, from ID) {
	if update.ID == g.self.ID {
		g.applyUpdateAboutSelf(update)
		return
	}
	member := g.members[update.ID]
	if member == nil {
		if member = g.discover(update); member == nil {
			return
		}
	}
	if update.isOlderThan(member) {
		return
	}
	switch update.State {
	case StateAlive:
		g.applyAlive(member, update, from)
	case StateSuspect:
		g.applySuspicion(member, update, from)
	case StateDead, StateLeft:
		g.applyDeparture(member, update, from)
	}
}

// discover adds the member that an update is about. It returns nil if the update does not introduce a new member.
func (g *Group) discover(update Update) *memberRecord {
	if !update.State.Present() || update.Name == "" || IDFromName(update.Name) != update.ID {
		return nil
	}
	member := g.addMember(Member{
		ID:          update.ID,
		Name:        update.Name,
		Zone:        update.Zone,
		Addr:        update.Addr,
		Generation:  update.Generation,
		Incarnation: update.Incarnation,
		StateReason: reasonDiscovered,
	})
	g.queueMember(member)
	return member
}

func (u Update) isOlderThan(member *memberRecord) bool {
	return u.Generation < member.Generation || u.Generation == member.Generation && u.Incarnation < member.Incarnation
}

func (u Update) isNewerThan(member *memberRecord) bool {
	return u.Generation > member.Generation || u.Incarnation > member.Incarnation
}

// applyAlive merges a refutation, or the start of a new process of the member's name.
func (g *Group) applyAlive(member *memberRecord, update Update, from ID) {
	if !update.isNewerThan(member) {
		return
	}
	if update.Generation > member.Generation {
		if g.acceptNameClaim(member, update.Addr, update.Generation) {
			g.replaceProcess(member, update.Generation, update.Incarnation, update.Addr)
		}
		return
	}
	if member.State == StateSuspect {
		g.countRefutation(member)
	}
	if member.State == StateDead {
		// The same process is still there: it was not dead, but slower than its suspicion timeout.
		member.refutedDeaths = min(member.refutedDeaths+1, maxRefutedDeaths)
	}
	member.Incarnation = update.Incarnation
	member.Addr = update.Addr
	member.Name = update.Name
	member.Zone = update.Zone
	member.portUnreachable = false
	setEntry(&member.lastSeenBy, from, g.now)
	g.setState(member, StateAlive, reasonRefuted)
	g.queueMember(member)
}

// applySuspicion merges an accusation. One of a later incarnation restarts the suspicion, since the member has refuted
// all accusations of the earlier ones.
func (g *Group) applySuspicion(member *memberRecord, update Update, from ID) {
	if update.Generation > member.Generation {
		return // an alive update introduces the new process first
	}
	if update.isNewerThan(member) {
		member.Incarnation = update.Incarnation
		if g.enabled(suspicionRestart) {
			member.suspicionStartedAt = g.now
		}
		clear(member.accusers)
	}
	accuser := update.Accuser
	if accuser == 0 {
		accuser = from
	}
	g.suspect(member, update.Incarnation, accuser, reasonSuspectedByOther)
}

// applyDeparture merges a report that a member is dead or has left.
func (g *Group) applyDeparture(member *memberRecord, update Update, from ID) {
	if !member.State.Present() && !update.isNewerThan(member) {
		return
	}
	if update.State == StateDead {
		if g.contactContradictsDeath(member) {
			// This member knows better. The reported one is notified, so that it refutes the report.
			g.send(member.Addr, Message{Kind: KindGossip, Updates: []Update{update}}, member)
			return
		}
		if !g.trusted() || g.now < g.noDeathsBefore {
			return
		}
	}
	if from != member.ID && !g.confirmDeparture(member, update, from) {
		return
	}
	member.Incarnation = max(member.Incarnation, update.Incarnation)
	reason := reasonDeathConfirmed
	if update.State == StateLeft {
		reason = reasonLeft
	}
	g.markDeparted(member, update.State, reason)
}

// contactContradictsDeath reports whether a message of an alive member arrived within the last probe interval.
func (g *Group) contactContradictsDeath(member *memberRecord) bool {
	return member.State == StateAlive && member.lastMessageAt > 0 && g.now-member.lastMessageAt < g.ProbeInterval
}

// confirmDeparture records a report that a member is dead or left, and reports whether enough members confirm it. A
// single report of a death may be wrong or a lie, so it only counts as a suspicion, which the member can refute.
func (g *Group) confirmDeparture(member *memberRecord, update Update, from ID) bool {
	reporter := g.members[from]
	if reporter == nil || g.distrusts(reporter) {
		return false
	}
	setEntry(&member.departureReporters, from, true)
	if len(member.departureReporters) >= min(departureConfirmations, g.presentCount-2) {
		return true
	}
	if update.State == StateDead {
		member.Incarnation = max(member.Incarnation, update.Incarnation)
		g.suspect(member, member.Incarnation, from, reasonReportedDead)
	}
	return false
}

// applyUpdateAboutSelf refutes updates about this member that are wrong.
func (g *Group) applyUpdateAboutSelf(update Update) {
	if update.Generation > g.self.Generation && update.Generation < math.MaxUint32 {
		g.raiseGeneration(update.Generation)
		return
	}
	if update.Generation < g.self.Generation || update.State == StateAlive || g.leaving {
		return
	}
	if update.Incarnation >= g.self.Incarnation {
		g.self.Incarnation = update.Incarnation + 1
		g.degradeLocalHealth()
		g.queueMember(g.self)
		g.nextGossipAt = min(g.nextGossipAt, g.now)
	}
}

// raiseGeneration continues this member with a generation after one that others know of its name. Either the clock was
// set back between two starts, or another process owns the name; the others find out which as they check the claim.
func (g *Group) raiseGeneration(known uint32) {
	g.logf("the name %s is known with a later generation: this member continues with a higher one", g.Name)
	g.Generation = known + 1
	g.self.Generation = known + 1
	g.self.Incarnation = 1
	g.digestCached = false
	g.queueMember(g.self)
}
