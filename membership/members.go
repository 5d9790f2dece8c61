package membership

import (
	"cmp"
	"slices"
)

// addMember adds the record of a member and returns it. The member is inserted at a random position in the rest of the
// current probe round, so that a new member is probed as soon as the others.
func (g *Group) addMember(m Member) *memberRecord {
	record := &memberRecord{Member: m}
	record.StateSince = g.now
	g.members[m.ID] = record
	index, _ := slices.BinarySearchFunc(g.membersByID, m.ID, func(other *memberRecord, id ID) int {
		return cmp.Compare(other.ID, id)
	})
	g.membersByID = slices.Insert(g.membersByID, index, record)
	g.countState(m.State, 1)
	if g.self != nil {
		remaining := len(g.probeOrder) - g.nextProbeIndex
		position := g.nextProbeIndex + g.rng.IntN(remaining+1)
		g.probeOrder = slices.Insert(g.probeOrder, position, m.ID)
	}
	g.markViewDirty()
	return record
}

// removeMember removes the record of a member.
func (g *Group) removeMember(member *memberRecord) {
	delete(g.members, member.ID)
	g.membersByID = slices.DeleteFunc(g.membersByID, func(other *memberRecord) bool { return other == member })
	if i := slices.Index(g.probeOrder, member.ID); i >= 0 {
		g.probeOrder = slices.Delete(g.probeOrder, i, i+1)
		if i < g.nextProbeIndex {
			g.nextProbeIndex--
		}
	}
	g.markViewDirty()
}

// setState changes the state of a member. A change between alive and suspect does not mark the view dirty.
func (g *Group) setState(member *memberRecord, state MemberState, reason string) {
	if state != StateSuspect {
		clear(member.accusers)
		clear(member.departureReporters)
	}
	if member.State == state {
		return
	}
	g.countState(member.State, -1)
	g.countState(state, 1)
	if !member.State.Present() || !state.Present() {
		g.markViewDirty()
	}
	member.State = state
	member.StateSince = g.now
	member.StateReason = reason
}

// countState adds delta to the counters of members in a state, and invalidates the cached digest.
func (g *Group) countState(state MemberState, delta int) {
	g.digestCached = false
	if state.Present() {
		g.presentCount += delta
	}
	if state == StateSuspect {
		g.suspectCount += delta
	}
}

// markDeparted sets the state of a member to dead or left and queues it for dissemination.
func (g *Group) markDeparted(member *memberRecord, state MemberState, reason string) {
	g.setState(member, state, reason)
	g.setReachability(member, Unreachable)
	g.queueMember(member)
}

func (g *Group) setReachability(member *memberRecord, reachability Reachability) {
	if member.Reachability.unknownAsReachable() != reachability.unknownAsReachable() {
		g.markViewDirty()
	}
	member.Reachability = reachability
}

// removeExpired removes expired facts and tombstones, once per probe interval. It also marks the view of a member as
// converged that knows no other member and started at least soleMemberIntervals ago.
func (g *Group) removeExpired() {
	if g.now < g.nextExpiryAt {
		return
	}
	g.nextExpiryAt = g.now + g.ProbeInterval
	if len(g.members) == 1 && g.now-g.startedAt >= soleMemberIntervals*g.ProbeInterval {
		g.markConverged()
	}
	for _, member := range g.membersByID {
		g.expireFacts(member)
	}
	for _, member := range slices.Clone(g.membersByID) {
		departed := !member.State.Present() && member != g.self
		if departed && g.now-member.StateSince >= g.TombstoneTTL {
			g.removeMember(member)
		}
	}
}

// sampleMembers returns up to count random eligible members other than this one. It first draws members at random,
// which suffices if most of them are eligible, and examines all members only if it does not.
func (g *Group) sampleMembers(count int, eligible func(*memberRecord) bool) []*memberRecord {
	var sample []*memberRecord
	for attempt := 0; len(sample) < count && attempt < 4*count; attempt++ {
		member := g.membersByID[g.rng.IntN(len(g.membersByID))]
		if member != g.self && !slices.Contains(sample, member) && eligible(member) {
			sample = append(sample, member)
		}
	}
	if len(sample) == count {
		return sample
	}
	var candidates []*memberRecord
	for _, member := range g.membersByID {
		if member != g.self && eligible(member) {
			candidates = append(candidates, member)
		}
	}
	g.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(count, len(candidates))]
}

// isPresent reports whether a member is alive or suspected. It is an eligibility function for sampleMembers.
func isPresent(member *memberRecord) bool { return member.State.Present() }

// isResponsive reports whether a member is alive and its last finished probe, if any, did not fail. It is an
// eligibility function for sampleMembers.
func isResponsive(member *memberRecord) bool {
	return member.State == StateAlive && member.Reachability != Unreachable
}
