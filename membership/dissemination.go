package membership

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
)

const (
	// retransmitMultiplier is the factor by which the binary logarithm of the group's size is multiplied to obtain the
	// retransmit limit.
	retransmitMultiplier = 3
	// gossipFanout is the number of members to which gossip is sent in each round.
	gossipFanout = 2
	// gossipsPerProbeInterval is the number of gossip rounds in a probe interval.
	gossipsPerProbeInterval = 4
	// gossipReserveDivisor is the divisor of MaxSendRate that yields the part of the send budget kept free of gossip
	// rounds, for pings, acks and other messages.
	gossipReserveDivisor = 4
	// minUpdateBytes is the number of free bytes in a message below which the queue is not searched for further
	// broadcasts.
	minUpdateBytes = 20
	// reconnectIntervals is the mean number of probe intervals between two attempts to contact a dead member or a seed.
	reconnectIntervals = 5
	// The time between two reconnects is random, from minReconnectPercent of the mean to reconnectJitterPercent more.
	minReconnectPercent    = 80
	reconnectJitterPercent = 40
	// loneReconnectFanout is the maximum number of seeds that are contacted at a time while no other member is present.
	loneReconnectFanout = 3
)

// broadcastKey identifies the subject of a broadcast: a member, one accuser's suspicion of it, or one of its facts.
type broadcastKey struct {
	id       ID
	accuser  ID     // 0 if the subject is not a suspicion
	factName string // empty if the subject is not a fact
}

// queuedBroadcast is an update or fact whose retransmit limit is not reached yet. It has no content: the message
// contains the subject's state at the time of sending.
type queuedBroadcast struct {
	broadcastKey
	transmissions int
}

// broadcastQueue holds the updates and facts to disseminate.
type broadcastQueue map[broadcastKey]*queuedBroadcast

// inSendOrder returns the queued broadcasts in the order of sending, those with the fewest transmissions first.
func (q broadcastQueue) inSendOrder() []*queuedBroadcast {
	sorted := make([]*queuedBroadcast, 0, len(q))
	for _, queued := range q {
		sorted = append(sorted, queued)
	}
	slices.SortFunc(sorted, func(x, y *queuedBroadcast) int {
		return cmp.Or(
			cmp.Compare(x.transmissions, y.transmissions),
			cmp.Compare(x.id, y.id),
			cmp.Compare(x.accuser, y.accuser),
			cmp.Compare(x.factName, y.factName),
		)
	})
	return sorted
}

// queueMember queues the state of a member for dissemination.
func (g *Group) queueMember(member *memberRecord) { g.queueBroadcast(broadcastKey{id: member.ID}) }

// queueBroadcast queues a subject for dissemination. If it is queued already, its transmissions are reset.
func (g *Group) queueBroadcast(key broadcastKey) {
	g.broadcastQueue[key] = &queuedBroadcast{broadcastKey: key}
}

// retransmitLimit returns the number of transmissions after which a broadcast is removed from the queue.
func (g *Group) retransmitLimit() int {
	return retransmitMultiplier * int(math.Ceil(math.Log2(float64(g.presentCount+1))))
}

// runDissemination sends the gossip, the reconnects and the synchronization requests that are due. It sends nothing
// once this member is leaving.
func (g *Group) runDissemination() {
	if g.leaving {
		return
	}
	// A part of the send budget is kept free of gossip rounds.
	reserve := float64(g.MaxSendRate) / gossipReserveDivisor
	if g.now >= g.nextGossipAt && len(g.broadcastQueue) > 0 && g.sendTokens > reserve {
		g.nextGossipAt = g.now + g.ProbeInterval/gossipsPerProbeInterval
		for _, member := range g.sampleMembers(gossipFanout, isPresent) {
			g.send(member.Addr, Message{Kind: KindGossip}, member)
		}
	}
	if g.now >= g.nextReconnectAt {
		percent := Micros(minReconnectPercent + g.rng.IntN(reconnectJitterPercent))
		g.nextReconnectAt = g.now + reconnectIntervals*g.ProbeInterval*percent/100
		g.reconnect()
	}
	if g.nextSyncAt > 0 && g.now >= g.nextSyncAt {
		g.nextSyncAt = 0
		for _, member := range g.sampleMembers(1, isResponsive) {
			g.requestSync(member.Addr, member)
		}
	}
}

// reconnect contacts a dead member, which may have returned, or seeds that are not the address of a known member. While
// no other member is present, it runs once per probe interval, and contacts up to loneReconnectFanout random seeds
// unless it chooses the dead member.
func (g *Group) reconnect() {
	dead := g.sampleMembers(1, func(member *memberRecord) bool { return member.State == StateDead })
	seeds := g.unknownSeeds()
	fanout := 1
	if g.presentCount <= 1 {
		fanout = loneReconnectFanout
		g.nextReconnectAt = g.now + g.ProbeInterval
	}
	if len(dead) > 0 && (len(seeds) == 0 || g.rng.IntN(2) == 0) {
		member := dead[0]
		updates := []Update{g.updateFor(member), g.updateFor(g.self)}
		g.send(member.Addr, Message{Kind: KindGossip, Updates: updates}, member)
		return
	}
	for range min(fanout, len(seeds)) {
		seed := seeds[g.rng.IntN(len(seeds))]
		g.requestSync(seed, nil)
	}
}

// unknownSeeds returns the configured seeds that are not the address of a known member.
func (g *Group) unknownSeeds() []netip.AddrPort {
	known := map[netip.AddrPort]bool{g.Addr: true}
	for _, member := range g.membersByID {
		known[member.Addr] = true
	}
	var seeds []netip.AddrPort
	for _, seed := range g.Seeds {
		if !known[seed] {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

// announceLeave sends a leave message to several members, because some of the messages may be lost.
func (g *Group) announceLeave() {
	g.leaving = true
	g.self.State = StateLeft
	for _, member := range g.sampleMembers(g.retransmitLimit(), isPresent) {
		g.send(member.Addr, Message{Kind: KindLeave}, member)
	}
}

// piggyback fills the free space of a message with queued broadcasts, those with the fewest transmissions first. If the
// recipient is a suspect, the suspicion comes before all other updates, so that the recipient can refute it.
func (g *Group) piggyback(message *Message, recipient *memberRecord) {
	filler := newMessageFiller(message)
	if recipient != nil && recipient.State == StateSuspect {
		accusation := g.updateFor(recipient)
		accusation.Accuser = g.self.ID
		filler.addUpdate(accusation)
	}
	if len(g.broadcastQueue) == 0 || filler.freeBytes < minUpdateBytes {
		return
	}
	limit := g.retransmitLimit()
	for _, queued := range g.broadcastQueue.inSendOrder() {
		if filler.freeBytes < minUpdateBytes {
			return
		}
		subject := g.members[queued.id]
		if queued.isObsolete(subject, g.now) {
			delete(g.broadcastQueue, queued.broadcastKey)
			continue
		}
		if !g.addQueued(&filler, queued, subject) {
			continue
		}
		queued.transmissions++
		if queued.transmissions >= limit {
			delete(g.broadcastQueue, queued.broadcastKey)
		}
	}
}

// isObsolete reports whether the subject of a broadcast no longer exists. The member is nil if it was removed.
func (q *queuedBroadcast) isObsolete(member *memberRecord, now Micros) bool {
	switch {
	case member == nil:
		return true
	case q.accuser != 0:
		return member.State != StateSuspect
	case q.factName != "":
		fact := member.facts[q.factName]
		return fact == nil || fact.expiresAt <= now
	}
	return false
}

// addQueued adds a broadcast about a member to a message and reports whether it was added.
func (g *Group) addQueued(filler *messageFiller, queued *queuedBroadcast, member *memberRecord) bool {
	if queued.factName != "" {
		return filler.addFact(member.facts[queued.factName].withRemainingTTL(g.now))
	}
	update := g.updateFor(member)
	update.Accuser = queued.accuser
	if queued.accuser != 0 {
		update.State = StateSuspect
	}
	return filler.addUpdate(update)
}
