package membership

import (
	"maps"
	"net/netip"
	"slices"
)

const (
	indirectProbeHelpers = 3 // members that are asked to ask where no answer came
	maxLocalHealth       = 8
	minAnsweredProbes    = 4 // of eight rounds in which anybody answered, for a view to be trusted
	reconnectIntervals   = 5 // periods between words to one that is held to be gone, or to an address that may be somebody
)

// probe is a question to one member, by this member and then by helpers.
type probe struct {
	number                             uint32
	target                             ID
	startedAt, nextAttemptAt, deadline Micros
	helpers                            []ID
	acked                              bool // it answered us
	indirectlyAcked                    bool // it answered a helper
	heardUs                            bool // and said that it has word from us
	nackedBy                           []ID // helpers that had no answer either
}

// indirectProbe is a question that another member asked us to put.
type indirectProbe struct {
	requester      ID
	requesterProbe uint32
	target         ID
	deadline       Micros
}

// scaleByLocalHealth is a time limit of ours: who was slow itself grants others more.
func (g *Group) scaleByLocalHealth(span Micros) Micros {
	if g.disabled&localHealthScaling != 0 {
		return span
	}
	return span * Micros(2+g.localHealth) / 2
}

// runProbes begins and ends this member's rounds.
func (g *Group) runProbes() {
	g.pendingProbes = slices.DeleteFunc(g.pendingProbes, func(p *probe) bool {
		if !p.acked && g.now >= p.nextAttemptAt {
			g.retryProbe(p)
		}
		if p.acked || g.now >= p.deadline {
			g.finishProbe(p)
			return true
		}
		return false
	})
	g.nackExpired()
	if g.now < g.nextProbeAt || g.leaving {
		return
	}
	g.nextProbeAt = max(g.nextProbeAt+g.ProbeInterval, g.now+g.ProbeInterval/2)
	if m := g.nextProbeTarget(); m != nil {
		g.lastProbeNumber++
		p := &probe{number: g.lastProbeNumber, target: m.ID, startedAt: g.now, nextAttemptAt: g.now + g.scaleByLocalHealth(g.ProbeInterval/4), deadline: g.now + g.scaleByLocalHealth(g.ProbeInterval)}
		g.pendingProbes = append(g.pendingProbes, p)
		g.send(m.Addr, Message{Kind: KindPing, ProbeNumber: p.number, Target: m.ID}, m)
	}
}

// nackExpired tells those who had this member ask for them that no answer came: that they hear so shows them that it is
// not they who are cut off.
func (g *Group) nackExpired() {
	for _, seq := range slices.Sorted(maps.Keys(g.indirectProbes)) {
		if r := g.indirectProbes[seq]; g.now >= r.deadline {
			delete(g.indirectProbes, seq)
			if to := g.members[r.requester]; to != nil {
				g.send(to.Addr, Message{Kind: KindNack, ProbeNumber: r.requesterProbe, Target: r.target}, to)
			}
		}
	}
}

// nextProbeTarget is the member to be asked next: all in turn, in an order drawn anew each round, so that the longest
// time until one is asked is two rounds.
func (g *Group) nextProbeTarget() *member {
	for range 2*len(g.probeOrder) + 1 {
		if g.nextProbeIndex >= len(g.probeOrder) {
			g.nextProbeIndex = 0
			g.rng.Shuffle(len(g.probeOrder), func(i, j int) { g.probeOrder[i], g.probeOrder[j] = g.probeOrder[j], g.probeOrder[i] })
			if len(g.probeOrder) == 0 {
				return nil
			}
		}
		m := g.members[g.probeOrder[g.nextProbeIndex]]
		g.nextProbeIndex++
		if m != nil && m.State <= Suspect {
			return m
		}
	}
	return nil
}

// retryProbe puts a question anew, twice at most, and has others put it: one lost datagram is no silence.
func (g *Group) retryProbe(p *probe) {
	m := g.members[p.target]
	p.nextAttemptAt += (p.deadline - p.startedAt) / 4
	if m == nil || p.nextAttemptAt >= p.deadline {
		return
	}
	if g.disabled&probeRetry == 0 {
		g.send(m.Addr, Message{Kind: KindPing, ProbeNumber: p.number, Target: m.ID}, m)
	}
	if len(p.helpers) > 0 || g.disabled&indirectProbing != 0 {
		return
	}
	fit := func(o *member) bool { return o.ID != p.target && o.State == Alive && o.Reachability != Unreachable }
	for _, h := range g.sampleMembers(indirectProbeHelpers, fit) {
		p.helpers = append(p.helpers, h.ID)
		g.send(h.Addr, Message{Kind: KindPingReq, ProbeNumber: p.number, Target: p.target, Updates: []Update{g.updateFor(m)}}, h)
	}
}

// finishProbe ends a round: what came back says how the member and this one hear each other, and whether this one is
// heard by anybody at all.
func (g *Group) finishProbe(p *probe) {
	answered := p.acked || p.indirectlyAcked || len(p.nackedBy) > 0
	if g.probeOutcomes[g.probesFinished%len(g.probeOutcomes)] = answered; g.probesFinished < 1<<30 {
		g.probesFinished++
	}
	if g.trusted() != g.view.Trusted {
		g.markViewDirty()
	}
	m := g.members[p.target]
	if m == nil || m.State > Suspect {
		return
	}
	switch {
	case p.acked:
		g.localHealth = max(0, g.localHealth-1)
		if m.heardFromUsAt > 0 && p.heardUs {
			g.setReachability(m, Reachable)
		}
	case p.indirectlyAcked && p.heardUs:
		g.setReachability(m, ReachableOneWay)
	case p.indirectlyAcked:
		g.setReachability(m, ReachableIndirectly)
	default:
		if len(p.nackedBy) == 0 { // not even a helper spoke: this may be our own trouble
			g.localHealth = min(g.localHealth+1, maxLocalHealth)
		}
		m.Reachability = Unreachable // no view for this alone: what comes of the suspicion is one
		g.suspect(m, m.Incarnation, g.self.ID, "no answer to this member")
		for _, id := range p.nackedBy {
			g.suspect(m, m.Incarnation, id, "")
		}
	}
}

func (g *Group) setReachability(m *member, r Reachability) {
	if m.Reachability.presumed() != r.presumed() {
		g.markViewDirty()
	}
	m.Reachability = r
}

// trusted tells whether anybody answered in enough of the newest rounds. A member that is alone has nobody to ask.
func (g *Group) trusted() bool {
	if g.aliveCount <= 1 && len(g.members) == 1 {
		return true
	}
	n := 0
	for _, ok := range g.probeOutcomes {
		if ok {
			n++
		}
	}
	return n >= minAnsweredProbes
}

// handleMessage takes a message: it is word from its sender, whatever else it says.
func (g *Group) handleMessage(r MessageReceived) {
	m := r.Message
	if m.Sender == g.self.ID {
		if m.Generation != g.self.Generation && r.From != g.Addr {
			g.handleNameClash(r.From, m)
		}
		return
	}
	if m.Kind == KindNameConflict {
		g.handleNameConflict(r.From, m)
		return
	}
	s := g.members[m.Sender]
	if s != nil && s.Generation != m.Generation && !g.acceptSuccessor(s, r.From, m) {
		return
	}
	if s != nil && s.Generation == m.Generation {
		if !s.received.accept(m.MessageNumber) {
			g.duplicates++
			return // it changes nothing
		}
		g.recordContact(s, r.From, m)
	}
	for _, u := range m.Updates {
		g.applyUpdate(u, m.Sender)
	}
	for _, f := range m.Facts {
		g.applyFact(f)
	}
	if s = g.members[m.Sender]; s == nil {
		// Somebody that this member knows nothing of asks: it answers, and the answer has the asker tell of itself.
		if m.Kind == KindPing {
			g.send(r.From, Message{Kind: KindAck, ProbeNumber: m.ProbeNumber, Target: g.self.ID}, nil)
			g.send(r.From, Message{Kind: KindSyncRequest, Updates: []Update{g.updateFor(g.self)}, BucketDigests: g.bucketDigests()}, nil)
		}
		return
	}
	g.compareDigest(s, m)
	switch m.Kind {
	case KindPing:
		if m.Target != g.self.ID && m.Target != 0 {
			return // meant for another that had this address
		}
		// Who asks for another wants to know as well whether that one's own question came.
		about := g.members[m.Requester]
		g.send(r.From, Message{
			Kind: KindAck, ProbeNumber: m.ProbeNumber, Target: m.Sender, HeardFromProber: true,
			HeardFromRequester: about != nil && about.lastMessageAt > 0 && g.now-about.lastMessageAt < 2*g.ProbeInterval,
		}, s)
	case KindAck:
		g.handleAck(s, m)
	case KindPingReq:
		if t := g.members[m.Target]; t != nil && t != g.self && len(g.indirectProbes) < 64 {
			g.lastProbeNumber++
			g.indirectProbes[g.lastProbeNumber] = indirectProbe{m.Sender, m.ProbeNumber, m.Target, g.now + g.ProbeInterval/2}
			g.send(t.Addr, Message{Kind: KindPing, ProbeNumber: g.lastProbeNumber, Target: t.ID, Requester: m.Sender}, t)
		} else {
			g.send(r.From, Message{Kind: KindNack, ProbeNumber: m.ProbeNumber, Target: m.Target}, s)
		}
	case KindIndirectAck, KindNack:
		for _, p := range g.pendingProbes {
			if p.number == m.ProbeNumber && p.target == m.Target && slices.Contains(p.helpers, m.Sender) {
				if m.Kind == KindIndirectAck {
					p.indirectlyAcked, p.heardUs = true, p.heardUs || m.HeardFromProber
					if t := g.members[p.target]; t != nil {
						setEntry(&t.lastSeenBy, m.Sender, g.now)
						g.restartSuspicion(t)
					}
				} else if !slices.Contains(p.nackedBy, m.Sender) {
					p.nackedBy = append(p.nackedBy, m.Sender)
				}
			}
		}
	case KindSyncRequest:
		g.answerSyncRequest(r.From, s, m)
	case KindLeave:
		g.applyUpdate(Update{ID: s.ID, Generation: s.Generation, Incarnation: m.Incarnation, State: Left, Accuser: s.ID}, s.ID)
	}
}

// recordContact notes that a member spoke to this one.
func (g *Group) recordContact(s *member, from netip.AddrPort, m Message) {
	s.lastMessageAt, s.LastContact, s.portUnreachable = g.now, g.now, false
	// Whoever speaks of itself in a later incarnation has answered what was said of it. That its own news of it went
	// unheard, on a way that was cut, must not keep it out.
	if (s.State == Suspect || s.State == Dead) && m.Incarnation > s.Incarnation && m.Kind != KindLeave {
		g.applyUpdate(Update{ID: s.ID, Generation: m.Generation, Incarnation: m.Incarnation, State: Alive, Addr: from, Name: s.Name, Zone: s.Zone}, s.ID)
	}
	if s.State == Suspect && m.Incarnation >= s.Incarnation {
		g.restartSuspicion(s)
	}
	if s.State >= Dead && m.Incarnation <= s.Incarnation && m.Kind != KindLeave {
		// It does not know that it is held to be gone: told so, it says that it is there.
		g.send(from, Message{Kind: KindGossip, Updates: []Update{g.updateFor(s)}}, s)
	}
	if from != s.Addr && m.Incarnation >= s.Incarnation && s.State <= Suspect && m.Kind != KindAck {
		s.Addr = from
		g.markViewDirty()
	}
}

// handleAck takes an answer: to this member's own question, or to one that it put for another.
func (g *Group) handleAck(s *member, m Message) {
	setEntry(&s.lastSeenBy, g.self.ID, g.now)
	if m.HeardFromProber {
		s.heardFromUsAt = g.now
	}
	if r, ok := g.indirectProbes[m.ProbeNumber]; ok && r.target == s.ID {
		delete(g.indirectProbes, m.ProbeNumber)
		if to := g.members[r.requester]; to != nil {
			g.send(to.Addr, Message{Kind: KindIndirectAck, ProbeNumber: r.requesterProbe, Target: s.ID, HeardFromProber: m.HeardFromRequester}, to)
		}
		return
	}
	for _, p := range g.pendingProbes {
		if p.number == m.ProbeNumber && p.target == s.ID {
			p.acked, p.heardUs = true, true // it answers our question, so it heard that
		}
	}
}

// handlePortUnreachable is proof that nothing listens where a member was: it is suspected at once, and for a shorter time.
func (g *Group) handlePortUnreachable(addr netip.AddrPort) {
	for _, m := range g.membersByID {
		if m != g.self && m.Addr == addr && m.State <= Suspect && g.now-m.lastMessageAt > g.ProbeInterval/4 {
			m.portUnreachable = true
			g.suspect(m, m.Incarnation, g.self.ID, "nothing listens at its address")
		}
	}
}

// handleNameClash is called as another process of this one's name speaks. The one that was there first stays: a member
// that has others to vouch for it does not give way.
func (g *Group) handleNameClash(from netip.AddrPort, m Message) {
	if m.Generation > g.self.Generation {
		g.logf("another member at %v has this one's name", from)
		g.send(from, Message{Kind: KindNameConflict, Target: g.self.ID}, nil)
		return
	}
	if m.Kind == KindNameConflict {
		g.logf("the name %s is taken by the member at %v: this one is refused", g.Name, from)
		g.nameRefused = true
		g.emit(NameTaken{from})
	}
}

// acceptSuccessor is called as another process speaks under a member's name, and tells whether it is the member now. It
// is once the former one left, died or does not answer; while that is asked, the newcomer is nobody.
func (g *Group) acceptSuccessor(s *member, from netip.AddrPort, m Message) bool {
	if m.Generation < s.Generation {
		// The former one's words, late; or a newcomer whose clock was set back: told of the life that is known here, it
		// begins a later one.
		g.duplicates++
		g.send(from, Message{Kind: KindGossip, Updates: []Update{g.updateFor(s)}}, nil)
		return false
	}
	if !g.nameVacant(s, from, m.Generation) {
		return false
	}
	g.replaceProcess(s, m.Generation, m.Incarnation, from)
	s.lastMessageAt = g.now
	return true
}

// replaceProcess makes another process the member of a name.
func (g *Group) replaceProcess(s *member, birth, inc uint32, addr netip.AddrPort) {
	s.Generation, s.Incarnation, s.Addr, s.received, s.lastMessageAt, s.portUnreachable, s.nameClaim, s.resurrections = birth, inc, addr, replayWindow{}, 0, false, nil, 0
	clear(s.facts)
	g.digestCached = false
	g.setState(s, Alive, "started anew")
	g.queueMember(s)
}

// nameVacant tells whether the member of a name is gone for another process to take its place: that one asks from there.
func (g *Group) nameVacant(s *member, from netip.AddrPort, birth uint32) bool {
	asked := s.nameClaim != nil && s.nameClaim.generation == birth
	switch {
	case s.State >= Dead || s.portUnreachable || from == s.Addr: // one address has one process
		return true
	case !asked:
		s.nameClaim = &nameClaim{from, birth, g.now + 2*g.ProbeInterval}
		g.send(s.Addr, Message{Kind: KindPing, Target: s.ID}, s)
	case g.now < s.nameClaim.deadline:
	case s.lastMessageAt < s.nameClaim.deadline-2*g.ProbeInterval:
		return true
	default:
		g.logf("two members have the name %s: %v stays, %v is refused", s.Name, s.Addr, from)
		told := Message{Kind: KindNameConflict, Target: s.ID, Updates: []Update{g.updateFor(s)}}
		g.send(from, told, nil)
		g.send(s.Addr, told, s)
		s.nameClaim = nil
	}
	return false
}

// handleNameConflict is word from a third member that two have this one's name, and which of them stays.
func (g *Group) handleNameConflict(from netip.AddrPort, m Message) {
	for _, u := range m.Updates {
		if m.Target != g.self.ID || u.ID != g.self.ID {
			continue
		}
		if u.Generation == g.self.Generation {
			g.logf("the member at %v says that another has this one's name; this one stays", from)
		} else {
			g.logf("the name %s is taken by the member at %v: this one is refused", g.Name, u.Addr)
			g.nameRefused = true
			g.emit(NameTaken{u.Addr})
		}
	}
}
