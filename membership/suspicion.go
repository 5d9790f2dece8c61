package membership

import "net/netip"

const (
	// maxCountedAccusers is the number of independent accusers at which the suspicion timeout is shortest.
	maxCountedAccusers = 3
	// maxRefutedDeaths bounds how often the suspicion timeout of a member doubles.
	maxRefutedDeaths = 2
	// unreachablePortDivisor shortens the suspicion timeout of a member at whose address no process listens.
	unreachablePortDivisor = 4
	// minSuspicionTimeoutIntervals is the shortest suspicion timeout, in probe intervals.
	minSuspicionTimeoutIntervals = 2

	// minRefutations is how many refuted accusations are needed at least for an accuser to be distrusted.
	minRefutations = 5
	// refutationOutlierFactor is how many times the average of the others' refuted accusations a distrusted accuser has.
	refutationOutlierFactor = 3
	// accusationDecayThreshold is the number of accusations beyond which an accuser's counts are halved, so that old ones fade.
	accusationDecayThreshold = 40
)

// suspect adds an accuser's suspicion of an incarnation of a member. Independent accusers shorten the time that the
// suspect has to refute it. The reason is recorded if the member was not suspected yet.
func (g *Group) suspect(member *memberRecord, incarnation uint32, accuser ID, reason string) {
	if member == g.self || !member.State.Present() || incarnation < member.Incarnation || member.accusers[accuser] {
		return
	}
	if record := g.members[accuser]; record != nil && record != g.self {
		if g.distrusts(record) {
			return
		}
		record.accusationsMade++
	}
	if member.State == StateAlive {
		member.suspicionStartedAt = g.now
		g.setState(member, StateSuspect, reason)
	}
	setEntry(&member.accusers, accuser, true)
	if len(member.accusers) <= maxCountedAccusers {
		g.queueUpdate(updateKey{id: member.ID, accuser: accuser})
	}
}

// restartSuspicion restarts the suspicion timeout of a suspect after a message of it or an indirect ack. Only a
// refutation by the suspect itself ends the suspicion, here and at the others, so it is notified of the accusation.
func (g *Group) restartSuspicion(member *memberRecord) {
	if member.State != StateSuspect {
		return
	}
	if g.enabled(suspicionRestart) {
		member.suspicionStartedAt = g.now
	}
	accusation := Update{
		ID:          member.ID,
		Generation:  member.Generation,
		Incarnation: member.Incarnation,
		State:       StateSuspect,
		Accuser:     g.self.ID,
		Addr:        member.Addr,
	}
	g.send(member.Addr, Message{Kind: KindGossip, Updates: []Update{accusation}}, member)
}

// expireSuspicions declares the suspects dead whose timeout has passed. A member that may be isolated declares nobody
// dead.
func (g *Group) expireSuspicions() {
	if g.suspectCount == 0 || g.now < g.noDeathsBefore || !g.trusted() {
		return
	}
	for _, member := range g.membersByID {
		if member.State == StateSuspect && g.remainingSuspicion(member) <= 0 {
			g.markDeparted(member, StateDead, member.StateReason+reasonTimedOutSuffix)
		}
	}
}

// remainingSuspicion returns the time that a suspect still has to refute the suspicion.
func (g *Group) remainingSuspicion(member *memberRecord) Micros {
	return g.suspicionTimeout(member) - (g.now - member.suspicionStartedAt)
}

// suspicionTimeout returns the time that a suspect has to refute the suspicion. It falls from nearly twice the
// configured timeout to the configured one as accusers are added, and is a quarter of that if no process listens at the
// suspect's address. It doubles with each resurrection, so that a member whose messages are slow does not flap.
func (g *Group) suspicionTimeout(member *memberRecord) Micros {
	accusers := min(len(member.accusers), maxCountedAccusers)
	timeout := g.SuspicionTimeout * Micros(2*maxCountedAccusers-accusers+1) / Micros(maxCountedAccusers+1)
	if member.portUnreachable && accusers >= 1 {
		timeout = g.SuspicionTimeout / unreachablePortDivisor
	}
	timeout = max(timeout, minSuspicionTimeoutIntervals*g.ProbeInterval)
	return g.scaleByLocalHealth(timeout) << member.refutedDeaths
}

// handlePortUnreachable suspects the member at an address where no process listens.
func (g *Group) handlePortUnreachable(addr netip.AddrPort) {
	for _, member := range g.membersByID {
		if member == g.self || member.Addr != addr || !member.State.Present() {
			continue
		}
		if g.now-member.lastMessageAt > g.ProbeInterval/4 {
			member.portUnreachable = true
			g.suspect(member, member.Incarnation, g.self.ID, reasonPortUnreachable)
		}
	}
}

// distrusts reports whether an accuser's suspicions are ignored: more than half of them were refuted, and far more than
// those of the others on average. The comparison keeps a lossy network, where all accusers are wrong alike, from
// discrediting all of them.
func (g *Group) distrusts(accuser *memberRecord) bool {
	distrusted := accuser.accusationsRefuted >= minRefutations && 2*accuser.accusationsRefuted > accuser.accusationsMade
	if distrusted && g.enabled(accuserComparison) {
		distrusted = g.isRefutationOutlier(accuser)
	}
	if distrusted != accuser.Distrusted {
		accuser.Distrusted = distrusted
		g.markViewDirty()
		g.logf("accusations by %s are distrusted: %d of %d were refuted", accuser.Name, accuser.accusationsRefuted, accuser.accusationsMade)
	}
	return distrusted
}

// isRefutationOutlier reports whether an accuser's refuted accusations are several times the others' average.
func (g *Group) isRefutationOutlier(accuser *memberRecord) bool {
	refutedOfOthers := 0
	for _, member := range g.membersByID {
		if member != accuser {
			refutedOfOthers += member.accusationsRefuted
		}
	}
	others := max(1, len(g.membersByID)-1)
	return accuser.accusationsRefuted*others > refutationOutlierFactor*refutedOfOthers
}

// countRefutation counts a refutation against each accuser of the suspect.
func (g *Group) countRefutation(suspect *memberRecord) {
	for _, accuser := range g.membersByID {
		if !suspect.accusers[accuser.ID] {
			continue
		}
		accuser.accusationsRefuted++
		if accuser.accusationsMade > accusationDecayThreshold {
			accuser.accusationsMade /= 2
			accuser.accusationsRefuted /= 2
		}
	}
}
