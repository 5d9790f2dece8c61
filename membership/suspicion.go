package membership

import "net/netip"

const (
	// maxCountedAccusers is the number of independent accusers up to which each one shortens the suspicion timeout and
	// is disseminated.
	maxCountedAccusers = 3
	// maxRefutedDeaths is the maximum number of refuted deaths for which the suspicion timeout of a member doubles.
	maxRefutedDeaths = 2
	// unreachablePortDivisor is the divisor of the suspicion timeout for a member at whose address no process listens.
	unreachablePortDivisor = 4
	// minSuspicionTimeoutIntervals is the minimum suspicion timeout in probe intervals.
	minSuspicionTimeoutIntervals = 2
	// suspectPingIntervals is the number of probe intervals at the end of the suspicion timeout in each of which the suspect
	// is pinged.
	suspectPingIntervals = 3
	// suspectPingDivisor is the divisor of the send budget of one second that pings of suspects leave to other messages.
	suspectPingDivisor = 2

	// minRefutations is the minimum number of refuted accusations for an accuser to be distrusted.
	minRefutations = 5
	// refutationOutlierFactor is the multiple of the other members' average of refuted accusations that an accuser must
	// exceed to be distrusted.
	refutationOutlierFactor = 3
	// accusationDecayThreshold is the number of accusations beyond which an accuser's counts are halved, so that old
	// accusations lose weight.
	accusationDecayThreshold = 40
)

// suspect adds an accuser's suspicion of an incarnation of a member. Each independent accuser shortens the time that
// the suspect has to refute the suspicion. The reason is recorded only if the member was not a suspect yet.
func (g *Group) suspect(member *memberRecord, incarnation uint32, accuser ID, reason string) {
	if member == g.self || !member.State.Present() || incarnation < member.Incarnation || member.accusers[accuser] {
		return
	}
	if record := g.members[accuser]; record != nil && record != g.self {
		if g.updateDistrust(record) {
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
		g.queueBroadcast(broadcastKey{id: member.ID, accuser: accuser})
	}
}

// restartSuspicion restarts the suspicion timeout of a suspect after a message or an indirect ack of the suspect
// arrived. It also notifies the suspect of the accusation, because only a refutation by the suspect ends the suspicion
// at this member and the others.
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

// pingSuspects pings the suspects whose suspicion timeout ends soon, once per probe interval, as far as the send budget
// permits. An ack refutes the suspicion even if gossip did not deliver the refutation to this member.
func (g *Group) pingSuspects() {
	if g.suspectCount == 0 {
		return
	}
	for _, member := range g.membersByID {
		if member.State != StateSuspect || g.now < member.nextSuspectPingAt {
			continue
		}
		if g.remainingSuspicion(member) > suspectPingIntervals*g.ProbeInterval {
			continue
		}
		if g.sendTokens < float64(g.MaxSendRate)/suspectPingDivisor {
			return
		}
		member.nextSuspectPingAt = g.now + g.ProbeInterval
		g.lastProbeNumber++
		g.send(member.Addr, Message{Kind: KindPing, ProbeNumber: g.lastProbeNumber, Target: member.ID}, member)
	}
}

// expireSuspicions declares suspects dead whose suspicion timeout has elapsed, unless this member may be isolated.
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

// remainingSuspicion returns the time that remains for a suspect to refute the suspicion.
func (g *Group) remainingSuspicion(member *memberRecord) Micros {
	return g.suspicionTimeout(member) - (g.now - member.suspicionStartedAt)
}

// suspicionTimeout returns the time that a suspect has to refute the suspicion. With each accuser it decreases, from
// 1.5 times the configured timeout with one accuser to the configured timeout with maxCountedAccusers. If no process
// listens at the suspect's address, it is a quarter of the configured timeout. It doubles with each refuted death, so
// that a member whose messages are delayed does not flap.
func (g *Group) suspicionTimeout(member *memberRecord) Micros {
	accusers := min(len(member.accusers), maxCountedAccusers)
	timeout := g.SuspicionTimeout * Micros(2*maxCountedAccusers-accusers+1) / Micros(maxCountedAccusers+1)
	if member.portUnreachable && accusers >= 1 {
		timeout = g.SuspicionTimeout / unreachablePortDivisor
	}
	timeout = max(timeout, minSuspicionTimeoutIntervals*g.ProbeInterval)
	return g.scaleByLocalHealth(timeout) << member.refutedDeaths
}

// handlePortUnreachable suspects the members at an address where no process listens, unless they sent a message within
// the last quarter of a probe interval.
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

// updateDistrust updates and returns whether an accuser's accusations are ignored: more than half of them were refuted,
// and many more than those of the other members on average. Without this comparison, all members would distrust each
// other on a lossy network, where the accusations of all of them are refuted equally often. The same line is logged
// when the distrust begins and when it ends.
func (g *Group) updateDistrust(accuser *memberRecord) bool {
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

// isRefutationOutlier reports whether an accuser has several times as many refuted accusations as the other members
// have on average.
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

// countRefutation counts a refuted accusation for each accuser of the suspect.
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
