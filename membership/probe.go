package membership

import "slices"

const (
	// probeTimeSlots is the number of equal slots into which a probe's time is divided. A ping is sent at the start of
	// each slot but the last, in which only acks are awaited.
	probeTimeSlots = 4
	// maxLocalHealthScore is the worst local health score. It extends time limits by a factor of five.
	maxLocalHealthScore = 8
	// minAnsweredProbes is the minimum number of the last probeOutcomeCount probes that the target or a helper must
	// have answered for the view to be trusted.
	minAnsweredProbes = 4
	// maxProbesFinished is the value at which the counter of finished probes stops.
	maxProbesFinished = 1 << 30
)

// probe is the state of a probe of one target: pings to the target and, if no ack arrives, ping-reqs to helpers.
type probe struct {
	number        uint32
	target        ID
	startedAt     Micros
	nextAttemptAt Micros
	deadline      Micros
	// helpers holds the members that were asked to ping the target.
	helpers []ID
	// acked reports whether an ack from the target arrived.
	acked bool
	// indirectlyAcked reports whether a helper received an ack from the target.
	indirectlyAcked bool
	// receiptConfirmed reports whether an ack or indirect ack confirmed that the target receives this member's
	// messages.
	receiptConfirmed bool
	// nackedBy holds the helpers that sent a nack: they received no ack from the target or could not ping it.
	nackedBy []ID
}

// runProbes retries or finishes pending probes, and starts the next one when it is due.
func (g *Group) runProbes() {
	g.pendingProbes = slices.DeleteFunc(g.pendingProbes, func(p *probe) bool {
		if !p.acked && g.now >= p.nextAttemptAt {
			g.retryProbe(p)
		}
		finished := p.acked || g.now >= p.deadline
		if finished {
			g.finishProbe(p)
		}
		return finished
	})
	g.expireIndirectProbes()
	if g.now < g.nextProbeAt || g.leaving {
		return
	}
	g.nextProbeAt = max(g.nextProbeAt+g.ProbeInterval, g.now+g.ProbeInterval/2)
	if target := g.nextProbeTarget(); target != nil {
		g.startProbe(target)
	}
}

// nextProbeTarget returns the next present member of the round, or nil if there is none. Each round visits all members
// in a new random order, so that at most two rounds pass between two probes of a member.
func (g *Group) nextProbeTarget() *memberRecord {
	for range 2*len(g.probeOrder) + 1 {
		if g.nextProbeIndex >= len(g.probeOrder) {
			g.nextProbeIndex = 0
			g.rng.Shuffle(len(g.probeOrder), func(i, j int) {
				g.probeOrder[i], g.probeOrder[j] = g.probeOrder[j], g.probeOrder[i]
			})
			if len(g.probeOrder) == 0 {
				return nil
			}
		}
		target := g.members[g.probeOrder[g.nextProbeIndex]]
		g.nextProbeIndex++
		if target != nil && target.State.Present() {
			return target
		}
	}
	return nil
}

func (g *Group) startProbe(target *memberRecord) {
	g.lastProbeNumber++
	p := &probe{
		number:        g.lastProbeNumber,
		target:        target.ID,
		startedAt:     g.now,
		nextAttemptAt: g.now + g.scaleByLocalHealth(g.ProbeInterval/probeTimeSlots),
		deadline:      g.now + g.scaleByLocalHealth(g.ProbeInterval),
	}
	g.pendingProbes = append(g.pendingProbes, p)
	g.sendPing(p, target)
}

func (g *Group) sendPing(p *probe, target *memberRecord) {
	g.send(target.Addr, Message{Kind: KindPing, ProbeNumber: p.number, Target: target.ID}, target)
}

// retryProbe repeats the ping of a probe and, on the first retry, asks helpers to ping the target.
func (g *Group) retryProbe(p *probe) {
	target := g.members[p.target]
	p.nextAttemptAt += (p.deadline - p.startedAt) / probeTimeSlots
	if target == nil || p.nextAttemptAt >= p.deadline {
		return
	}
	if g.enabled(probeRetry) {
		g.sendPing(p, target)
	}
	if len(p.helpers) == 0 && g.enabled(indirectProbing) {
		g.sendPingReqs(p, target)
	}
}

// pendingProbe returns the pending probe with the given number and target, or nil if there is none.
func (g *Group) pendingProbe(number uint32, target ID) *probe {
	for _, p := range g.pendingProbes {
		if p.number == number && p.target == target {
			return p
		}
	}
	return nil
}

// finishProbe sets the target's reachability from the outcome of a probe, and suspects the target if neither this
// member nor a helper reached it. The outcome also serves to detect whether this member itself is isolated or slow.
func (g *Group) finishProbe(p *probe) {
	g.recordProbeOutcome(p.acked || p.indirectlyAcked || len(p.nackedBy) > 0)
	target := g.members[p.target]
	if target == nil || !target.State.Present() {
		return
	}
	switch {
	case p.acked:
		g.improveLocalHealth()
		if target.confirmedReceiptAt > 0 && p.receiptConfirmed {
			g.setReachability(target, Reachable)
		}
	case p.indirectlyAcked && p.receiptConfirmed:
		g.setReachability(target, ReachableOneWay)
	case p.indirectlyAcked:
		g.setReachability(target, ReachableIndirectly)
	default:
		g.suspectAfterProbe(p, target)
	}
}

// suspectAfterProbe suspects a target that was not reached, with this member and the helpers that sent a nack as
// accusers.
func (g *Group) suspectAfterProbe(p *probe, target *memberRecord) {
	if len(p.nackedBy) == 0 {
		// No helper answered either, so the failure may be on the side of this member.
		g.degradeLocalHealth()
	}
	// Set directly: setReachability would mark the view dirty, which only the outcome of the suspicion does.
	target.Reachability = Unreachable
	g.suspect(target, target.Incarnation, g.self.ID, reasonNoAck)
	for _, helper := range p.nackedBy {
		g.suspect(target, target.Incarnation, helper, "")
	}
}

// recordProbeOutcome records whether the target of a probe or a helper answered, and marks the view dirty if this
// changes whether it is trusted.
func (g *Group) recordProbeOutcome(answered bool) {
	g.probeOutcomes[g.probesFinished%probeOutcomeCount] = answered
	if g.probesFinished < maxProbesFinished {
		g.probesFinished++
	}
	if g.trusted() != g.view.Trusted {
		g.markViewDirty()
	}
}

// trusted reports whether the view of this member is trusted: at least minAnsweredProbes of the last probeOutcomeCount
// probes were answered by the target or a helper. Otherwise this member may be isolated. Probes that have not been made
// yet count as answered. The view of a member that knows no other member is trusted.
func (g *Group) trusted() bool {
	if g.presentCount <= 1 && len(g.members) == 1 {
		return true
	}
	answered := 0
	for _, outcome := range g.probeOutcomes {
		if outcome {
			answered++
		}
	}
	return answered >= minAnsweredProbes
}

// scaleByLocalHealth extends a time limit in proportion to the local health score, as Lifeguard's local health
// multiplier does, so that a member that may itself be slow allows other members more time.
func (g *Group) scaleByLocalHealth(limit Micros) Micros {
	if !g.enabled(localHealthScaling) {
		return limit
	}
	return limit * Micros(2+g.localHealthScore) / 2
}

func (g *Group) degradeLocalHealth() {
	g.localHealthScore = min(g.localHealthScore+1, maxLocalHealthScore)
}

func (g *Group) improveLocalHealth() { g.localHealthScore = max(0, g.localHealthScore-1) }
