package membership

import (
	"maps"
	"slices"
)

const (
	// indirectProbeHelperCount is the maximum number of helpers that are asked to ping a target that sent no ack.
	indirectProbeHelperCount = 3
	// maxIndirectProbes is the maximum number of pending probes that this member runs on behalf of other members.
	maxIndirectProbes = 64
)

// indirectProbe is a ping that this member sent as a helper on behalf of another one.
type indirectProbe struct {
	requester ID
	// requesterProbeNumber identifies the requester's probe.
	requesterProbeNumber uint32
	target               ID
	deadline             Micros
}

// sendPingReqs asks random responsive members to ping the target of a probe as helpers.
func (g *Group) sendPingReqs(p *probe, target *memberRecord) {
	eligible := func(member *memberRecord) bool { return member.ID != p.target && isResponsive(member) }
	for _, helper := range g.sampleMembers(indirectProbeHelperCount, eligible) {
		p.helpers = append(p.helpers, helper.ID)
		pingReq := Message{
			Kind:        KindPingReq,
			ProbeNumber: p.number,
			Target:      p.target,
			Updates:     []Update{g.updateFor(target)},
		}
		g.send(helper.Addr, pingReq, helper)
	}
}

// handlePingReq pings the target on behalf of the requester. It sends a nack at once if it cannot.
func (g *Group) handlePingReq(requester *memberRecord, event MessageReceived) {
	message := event.Message
	target := g.members[message.Target]
	if target == nil || target == g.self || len(g.indirectProbes) >= maxIndirectProbes {
		nack := Message{Kind: KindNack, ProbeNumber: message.ProbeNumber, Target: message.Target}
		g.send(event.From, nack, requester)
		return
	}
	g.lastProbeNumber++
	g.indirectProbes[g.lastProbeNumber] = indirectProbe{
		requester:            message.Sender,
		requesterProbeNumber: message.ProbeNumber,
		target:               message.Target,
		deadline:             g.now + g.ProbeInterval/2,
	}
	ping := Message{
		Kind:        KindPing,
		ProbeNumber: g.lastProbeNumber,
		Target:      target.ID,
		Requester:   message.Sender,
	}
	g.send(target.Addr, ping, target)
}

// forwardAck sends an indirect ack to the requester of the indirect probe that an ack answers.
func (g *Group) forwardAck(indirect indirectProbe, ack Message) {
	delete(g.indirectProbes, ack.ProbeNumber)
	requester := g.members[indirect.requester]
	if requester == nil {
		return
	}
	indirectAck := Message{
		Kind:               KindIndirectAck,
		ProbeNumber:        indirect.requesterProbeNumber,
		Target:             indirect.target,
		ReceivedFromProber: ack.ReceivedFromRequester,
	}
	g.send(requester.Addr, indirectAck, requester)
}

// expireIndirectProbes sends nacks for indirect probes that received no ack before their deadline. A nack shows the
// requester that it is not isolated itself.
func (g *Group) expireIndirectProbes() {
	for _, number := range slices.Sorted(maps.Keys(g.indirectProbes)) {
		indirect := g.indirectProbes[number]
		if g.now < indirect.deadline {
			continue
		}
		delete(g.indirectProbes, number)
		if requester := g.members[indirect.requester]; requester != nil {
			nack := Message{Kind: KindNack, ProbeNumber: indirect.requesterProbeNumber, Target: indirect.target}
			g.send(requester.Addr, nack, requester)
		}
	}
}

// handleIndirectAck records that a helper received an ack from the target of a probe.
func (g *Group) handleIndirectAck(message Message) {
	p := g.pendingProbe(message.ProbeNumber, message.Target)
	if p == nil || !slices.Contains(p.helpers, message.Sender) {
		return
	}
	p.indirectlyAcked = true
	p.receiptConfirmed = p.receiptConfirmed || message.ReceivedFromProber
	if target := g.members[p.target]; target != nil {
		setEntry(&target.lastSeenBy, message.Sender, g.now)
		g.restartSuspicion(target)
	}
}

// handleNack records that a helper received no ack from the target of a probe or could not ping it.
func (g *Group) handleNack(message Message) {
	p := g.pendingProbe(message.ProbeNumber, message.Target)
	if p == nil || !slices.Contains(p.helpers, message.Sender) {
		return
	}
	if !slices.Contains(p.nackedBy, message.Sender) {
		p.nackedBy = append(p.nackedBy, message.Sender)
	}
}
