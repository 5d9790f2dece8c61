package membership

import (
	"math"
	"net/netip"
)

// departureConfirmations is the number of members that must report another one as dead or left before the report is
// accepted. In a group of fewer than four present members, one is sufficient.
const departureConfirmations = 2

// Update is a disseminated report of the state of one member.
type Update struct {
	ID          ID
	Generation  uint32
	Incarnation uint32
	State       MemberState
	// Accuser is the member that suspects ID, in updates with the state suspect; 0 stands for the sender.
	Accuser ID
	Addr    netip.AddrPort
	// Name and Zone are only set if the member is present.
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

// applyUpdate merges an update into this member's state. An update that is older than the recorded state has no effect.
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

// discover adds the member that an update is about. It returns nil unless the update reports a present member with a
// name that matches the ID.
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

// isOlderThan reports whether an update has an earlier generation or incarnation than a member's record.
func (u Update) isOlderThan(member *memberRecord) bool {
	return u.Generation < member.Generation || u.Generation == member.Generation && u.Incarnation < member.Incarnation
}

// isNewerThan reports whether an update has a later generation or incarnation than a member's record. The update must
// not be older than the record, because the incarnations of different generations are not comparable.
func (u Update) isNewerThan(member *memberRecord) bool {
	return u.Generation > member.Generation || u.Incarnation > member.Incarnation
}

// applyAlive merges a refutation, or the start of a new process under the member's name.
func (g *Group) applyAlive(member *memberRecord, update Update, from ID) {
	if !update.isNewerThan(member) {
		return
	}
	if update.Generation > member.Generation {
		if g.acceptNameClaim(member, update.Addr, update.Generation) {
			g.replaceOwner(member, update.Generation, update.Incarnation, update.Addr)
		}
		return
	}
	if member.State == StateSuspect {
		g.countRefutation(member)
	}
	if member.State == StateDead {
		// The same process is still running: it was slower than its suspicion timeout, but not dead.
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

// applySuspicion merges an accusation. An accusation of a later incarnation restarts the suspicion timeout, because the
// member has refuted all accusations of earlier incarnations.
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

// applyDeparture merges a report that a member is dead or has left. The report of a death is not accepted if the member
// sent a message recently, while the view is not trusted, or in the grace time after a pause. A report by another
// member than the subject itself needs confirmation; see confirmDeparture.
func (g *Group) applyDeparture(member *memberRecord, update Update, from ID) {
	if !member.State.Present() && !update.isNewerThan(member) {
		return
	}
	if update.State == StateDead {
		if g.contactContradictsDeath(member) {
			// Notify the reported member, so that it refutes the report.
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

// contactContradictsDeath reports whether a member is alive in this member's view and sent a message within the last
// probe interval, so that a report of its death is wrong.
func (g *Group) contactContradictsDeath(member *memberRecord) bool {
	return member.State == StateAlive && member.lastMessageAt > 0 && g.now-member.lastMessageAt < g.ProbeInterval
}

// confirmDeparture records a report that a member is dead or left, and reports whether enough members have reported
// that. A single report of a death may be wrong or forged, so it only counts as a suspicion, which the member can
// refute. A report by an unknown or distrusted member is ignored.
func (g *Group) confirmDeparture(member *memberRecord, update Update, from ID) bool {
	reporter := g.members[from]
	if reporter == nil || g.updateDistrust(reporter) {
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

// applyUpdateAboutSelf refutes an update that does not report this member as alive. If the update has a later
// generation than this member, the member adopts a generation above it.
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

// raiseGeneration gives this member a generation above the one that others know for its name. Either the clock was set
// back between two starts, or another process owns the name. The others determine which by checking the name claim.
func (g *Group) raiseGeneration(known uint32) {
	g.logf("name %s is already known with generation %d: continuing with %d (the clock was set back, or another process uses the name)", g.Name, known, known+1)
	g.Generation = known + 1
	g.self.Generation = known + 1
	g.self.Incarnation = 1
	g.digestCached = false
	g.queueMember(g.self)
}
