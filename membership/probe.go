package membership

import "slices"

const (
	// probeTimeSlots is the number of intervals into which a probe's time is divided: the ping is sent at the start of
	// the first one and repeated at the start of the others.
	probeTimeSlots = 4
	// maxLocalHealth is the worst local health score, which extends time limits by a factor of five.
	maxLocalHealth = 8
	// minAnsweredProbes is how many of the last probeOutcomeCount probes somebody must have answered for the view to be
	// trusted.
	minAnsweredProbes = 4
	// maxProbesFinished bounds the counter of finished probes.
	maxProbesFinished = 1 << 30
)

// probe is one round of the failure detector: pings to one target, and then ping-reqs to helpers.
type probe struct {
	number        uint32
	target        ID
	startedAt     Micros
	nextAttemptAt Micros
	deadline      Micros
	// helpers are the members that were asked to ping the target.
	helpers []ID
	// acked means that an ack of the target arrived.
	acked bool
	// indirectlyAcked means that a helper received an ack of the target.
	indirectlyAcked bool
	// receiptConfirmed means that the target recently received a message of this member.
	receiptConfirmed bool
	// nackedBy are the helpers that received no ack either.
	nackedBy []ID
}

// runProbes repeats and finishes pending probes, and starts the next one when it is due.
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

// nextProbeTarget returns the next member of the round, or nil if there is none. Each round visits all members in a
// new random order, which bounds the time between two probes of a member to two rounds.
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

// retryProbe repeats the ping of a probe and, the first time, asks helpers to ping the target.
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

// pendingProbe returns the pending probe of a number and target, or nil if there is none.
func (g *Group) pendingProbe(number uint32, target ID) *probe {
	for _, p := range g.pendingProbes {
		if p.number == number && p.target == target {
			return p
		}
	}
	return nil
}

// finishProbe updates the target's reachability by the outcome of a probe and suspects it if nobody reached it. The
// outcome also tells how well connected this member is itself.
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

// suspectAfterProbe raises this member's suspicion of a target that nobody reached, and the suspicions of the helpers
// that sent a nack.
func (g *Group) suspectAfterProbe(p *probe, target *memberRecord) {
	if len(p.nackedBy) == 0 {
		// No helper answered either, so that the fault may be this member's own.
		g.degradeLocalHealth()
	}
	// This does not make the view dirty: only the outcome of the suspicion does.
	target.Reachability = Unreachable
	g.suspect(target, target.Incarnation, g.self.ID, reasonNoAck)
	for _, helper := range p.nackedBy {
		g.suspect(target, target.Incarnation, helper, "")
	}
}

// recordProbeOutcome records whether the target of a probe or any helper answered.
func (g *Group) recordProbeOutcome(answered bool) {
	g.probeOutcomes[g.probesFinished%probeOutcomeCount] = answered
	if g.probesFinished < maxProbesFinished {
		g.probesFinished++
	}
	if g.trusted() != g.view.Trusted {
		g.markViewDirty()
	}
}

// trusted reports whether somebody answered enough of the recent probes to rule out that this member is isolated. A
// member that never knew another one is trusted.
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

// scaleByLocalHealth extends a time limit by Lifeguard's local health multiplier: a member that is slow itself gives
// the others more time.
func (g *Group) scaleByLocalHealth(limit Micros) Micros {
	if !g.enabled(localHealthScaling) {
		return limit
	}
	return limit * Micros(2+g.localHealth) / 2
}

func (g *Group) degradeLocalHealth() { g.localHealth = min(g.localHealth+1, maxLocalHealth) }

func (g *Group) improveLocalHealth() { g.localHealth = max(0, g.localHealth-1) }
