package membership

import (
	"maps"
	"net/netip"
	"slices"
)

const (
	helpers    = 3 // members that are asked to ask where no answer came
	mostHealth = 8
	healthy    = 4 // of eight rounds in which anybody answered, for a view to be trusted
	strayEvery = 5 // periods between words to one that is held to be gone, or to an address that may be somebody
)

// probe is a question to one member, by this member and then by helpers.
type probe struct {
	seq            uint32
	id             ID
	at, askAt, end Micros
	asked          []ID
	direct         bool // it answered us
	through        bool // it answered a helper
	hearsUs        bool // and said that it has word from us
	denied         []ID // helpers that had no answer either
}

// relay is a question that another member asked us to put.
type relay struct {
	from  ID
	seq   uint32
	about ID
	end   Micros
}

// stretch is a time limit of ours: who was slow itself grants others more.
func (g *Group) stretch(span Micros) Micros {
	if g.off&ownHealth != 0 {
		return span
	}
	return span * Micros(2+g.health) / 2
}

// probing begins and ends this member's rounds.
func (g *Group) probing() {
	g.probes = slices.DeleteFunc(g.probes, func(p *probe) bool {
		if !p.direct && g.now >= p.askAt {
			g.askAgain(p)
		}
		if p.direct || g.now >= p.end {
			g.conclude(p)
			return true
		}
		return false
	})
	g.denyLate()
	if g.now < g.probeAt || g.leaving {
		return
	}
	g.probeAt = max(g.probeAt+g.ProbeInterval, g.now+g.ProbeInterval/2)
	if m := g.nextInRound(); m != nil {
		g.seq++
		p := &probe{seq: g.seq, id: m.ID, at: g.now, askAt: g.now + g.stretch(g.ProbeInterval/4), end: g.now + g.stretch(g.ProbeInterval)}
		g.probes = append(g.probes, p)
		g.send(m.Addr, Message{Kind: KindPing, ProbeNumber: p.seq, Target: m.ID}, m)
	}
}

// denyLate tells those who had this member ask for them that no answer came: that they hear so shows them that it is
// not they who are cut off.
func (g *Group) denyLate() {
	for _, seq := range slices.Sorted(maps.Keys(g.relays)) {
		if r := g.relays[seq]; g.now >= r.end {
			delete(g.relays, seq)
			if to := g.members[r.from]; to != nil {
				g.send(to.Addr, Message{Kind: KindNack, ProbeNumber: r.seq, Target: r.about}, to)
			}
		}
	}
}

// nextInRound is the member to be asked next: all in turn, in an order drawn anew each round, so that the longest
// time until one is asked is two rounds.
func (g *Group) nextInRound() *member {
	for range 2*len(g.order) + 1 {
		if g.next >= len(g.order) {
			g.next = 0
			g.rng.Shuffle(len(g.order), func(i, j int) { g.order[i], g.order[j] = g.order[j], g.order[i] })
			if len(g.order) == 0 {
				return nil
			}
		}
		m := g.members[g.order[g.next]]
		g.next++
		if m != nil && m.State <= Suspect {
			return m
		}
	}
	return nil
}

// askAgain puts a question anew, twice at most, and has others put it: one lost datagram is no silence.
func (g *Group) askAgain(p *probe) {
	m := g.members[p.id]
	p.askAt += (p.end - p.at) / 4
	if m == nil || p.askAt >= p.end {
		return
	}
	if g.off&askingAgain == 0 {
		g.send(m.Addr, Message{Kind: KindPing, ProbeNumber: p.seq, Target: m.ID}, m)
	}
	if len(p.asked) > 0 || g.off&askingOthers != 0 {
		return
	}
	fit := func(o *member) bool { return o.ID != p.id && o.State == Alive && o.Reachability != Unreachable }
	for _, h := range g.some(helpers, fit) {
		p.asked = append(p.asked, h.ID)
		g.send(h.Addr, Message{Kind: KindPingReq, ProbeNumber: p.seq, Target: p.id, Updates: []Update{g.update(m)}}, h)
	}
}

// conclude ends a round: what came back says how the member and this one hear each other, and whether this one is
// heard by anybody at all.
func (g *Group) conclude(p *probe) {
	answered := p.direct || p.through || len(p.denied) > 0
	if g.rounds[g.round%len(g.rounds)] = answered; g.round < 1<<30 {
		g.round++
	}
	if g.trusted() != g.view.Trusted {
		g.touch()
	}
	m := g.members[p.id]
	if m == nil || m.State > Suspect {
		return
	}
	switch {
	case p.direct:
		g.health = max(0, g.health-1)
		if m.hearsUs > 0 && p.hearsUs {
			g.reach(m, Reachable)
		}
	case p.through && p.hearsUs:
		g.reach(m, ReachableOneWay)
	case p.through:
		g.reach(m, ReachableIndirectly)
	default:
		if len(p.denied) == 0 { // not even a helper spoke: this may be our own trouble
			g.health = min(g.health+1, mostHealth)
		}
		m.Reachability = Unreachable // no view for this alone: what comes of the suspicion is one
		g.suspect(m, m.Incarnation, g.self.ID, "no answer to this member")
		for _, id := range p.denied {
			g.suspect(m, m.Incarnation, id, "")
		}
	}
}

func (g *Group) reach(m *member, r Reachability) {
	if m.Reachability.settled() != r.settled() {
		g.touch()
	}
	m.Reachability = r
}

// trusted tells whether anybody answered in enough of the newest rounds. A member that is alone has nobody to ask.
func (g *Group) trusted() bool {
	if g.there <= 1 && len(g.members) == 1 {
		return true
	}
	n := 0
	for _, ok := range g.rounds {
		if ok {
			n++
		}
	}
	return n >= healthy
}

// receive takes a message: it is word from its sender, whatever else it says.
func (g *Group) receive(r MessageReceived) {
	m := r.Message
	if m.Sender == g.self.ID {
		if m.Generation != g.self.Generation && r.From != g.Addr {
			g.namesake(r.From, m)
		}
		return
	}
	if m.Kind == KindNameConflict {
		g.conflict(r.From, m)
		return
	}
	s := g.members[m.Sender]
	if s != nil && s.Generation != m.Generation && !g.successor(s, r.From, m) {
		return
	}
	if s != nil && s.Generation == m.Generation {
		if !s.told.take(m.MessageNumber) {
			g.repeats++
			return // it changes nothing
		}
		g.word(s, r.From, m)
	}
	for _, u := range m.Updates {
		g.learn(u, m.Sender)
	}
	for _, f := range m.Facts {
		g.learnFact(f)
	}
	if s = g.members[m.Sender]; s == nil {
		// Somebody that this member knows nothing of asks: it answers, and the answer has the asker tell of itself.
		if m.Kind == KindPing {
			g.send(r.From, Message{Kind: KindAck, ProbeNumber: m.ProbeNumber, Target: g.self.ID}, nil)
			g.send(r.From, Message{Kind: KindSyncRequest, Updates: []Update{g.update(g.self)}, BucketDigests: g.buckets()}, nil)
		}
		return
	}
	g.compare(s, m)
	switch m.Kind {
	case KindPing:
		if m.Target != g.self.ID && m.Target != 0 {
			return // meant for another that had this address
		}
		// Who asks for another wants to know as well whether that one's own question came.
		about := g.members[m.Requester]
		g.send(r.From, Message{
			Kind: KindAck, ProbeNumber: m.ProbeNumber, Target: m.Sender, HeardFromProber: true,
			HeardFromRequester: about != nil && about.heard > 0 && g.now-about.heard < 2*g.ProbeInterval,
		}, s)
	case KindAck:
		g.acked(s, m)
	case KindPingReq:
		if t := g.members[m.Target]; t != nil && t != g.self && len(g.relays) < 64 {
			g.seq++
			g.relays[g.seq] = relay{m.Sender, m.ProbeNumber, m.Target, g.now + g.ProbeInterval/2}
			g.send(t.Addr, Message{Kind: KindPing, ProbeNumber: g.seq, Target: t.ID, Requester: m.Sender}, t)
		} else {
			g.send(r.From, Message{Kind: KindNack, ProbeNumber: m.ProbeNumber, Target: m.Target}, s)
		}
	case KindIndirectAck, KindNack:
		for _, p := range g.probes {
			if p.seq == m.ProbeNumber && p.id == m.Target && slices.Contains(p.asked, m.Sender) {
				if m.Kind == KindIndirectAck {
					p.through, p.hearsUs = true, p.hearsUs || m.HeardFromProber
					if t := g.members[p.id]; t != nil {
						note(&t.vouched, m.Sender, g.now)
						g.clear(t)
					}
				} else if !slices.Contains(p.denied, m.Sender) {
					p.denied = append(p.denied, m.Sender)
				}
			}
		}
	case KindSyncRequest:
		g.answerSync(r.From, s, m)
	case KindLeave:
		g.learn(Update{ID: s.ID, Generation: s.Generation, Incarnation: m.Incarnation, State: Left, Accuser: s.ID}, s.ID)
	}
}

// word notes that a member spoke to this one.
func (g *Group) word(s *member, from netip.AddrPort, m Message) {
	s.heard, s.LastContact, s.refused = g.now, g.now, false
	// Whoever speaks of itself in a later incarnation has answered what was said of it. That its own news of it went
	// unheard, on a way that was cut, must not keep it out.
	if (s.State == Suspect || s.State == Dead) && m.Incarnation > s.Incarnation && m.Kind != KindLeave {
		g.learn(Update{ID: s.ID, Generation: m.Generation, Incarnation: m.Incarnation, State: Alive, Addr: from, Name: s.Name, Zone: s.Zone}, s.ID)
	}
	if s.State == Suspect && m.Incarnation >= s.Incarnation {
		g.clear(s)
	}
	if s.State >= Dead && m.Incarnation <= s.Incarnation && m.Kind != KindLeave {
		// It does not know that it is held to be gone: told so, it says that it is there.
		g.send(from, Message{Kind: KindGossip, Updates: []Update{g.update(s)}}, s)
	}
	if from != s.Addr && m.Incarnation >= s.Incarnation && s.State <= Suspect && m.Kind != KindAck {
		s.Addr = from
		g.touch()
	}
}

// acked takes an answer: to this member's own question, or to one that it put for another.
func (g *Group) acked(s *member, m Message) {
	note(&s.vouched, g.self.ID, g.now)
	if m.HeardFromProber {
		s.hearsUs = g.now
	}
	if r, ok := g.relays[m.ProbeNumber]; ok && r.about == s.ID {
		delete(g.relays, m.ProbeNumber)
		if to := g.members[r.from]; to != nil {
			g.send(to.Addr, Message{Kind: KindIndirectAck, ProbeNumber: r.seq, Target: s.ID, HeardFromProber: m.HeardFromRequester}, to)
		}
		return
	}
	for _, p := range g.probes {
		if p.seq == m.ProbeNumber && p.id == s.ID {
			p.direct, p.hearsUs = true, true // it answers our question, so it heard that
		}
	}
}

// refusal is proof that nothing listens where a member was: it is suspected at once, and for a shorter time.
func (g *Group) refusal(addr netip.AddrPort) {
	for _, m := range g.all {
		if m != g.self && m.Addr == addr && m.State <= Suspect && g.now-m.heard > g.ProbeInterval/4 {
			m.refused = true
			g.suspect(m, m.Incarnation, g.self.ID, "nothing listens at its address")
		}
	}
}

// namesake is called as another process of this one's name speaks. The one that was there first stays: a member
// that has others to vouch for it does not give way.
func (g *Group) namesake(from netip.AddrPort, m Message) {
	if m.Generation > g.self.Generation {
		g.log("another member at %v has this one's name", from)
		g.send(from, Message{Kind: KindNameConflict, Target: g.self.ID}, nil)
		return
	}
	if m.Kind == KindNameConflict {
		g.log("the name %s is taken by the member at %v: this one is refused", g.Name, from)
		g.refused = true
		g.do(NameTaken{from})
	}
}

// successor is called as another process speaks under a member's name, and tells whether it is the member now. It
// is once the former one left, died or does not answer; while that is asked, the newcomer is nobody.
func (g *Group) successor(s *member, from netip.AddrPort, m Message) bool {
	if m.Generation < s.Generation {
		// The former one's words, late; or a newcomer whose clock was set back: told of the life that is known here, it
		// begins a later one.
		g.repeats++
		g.send(from, Message{Kind: KindGossip, Updates: []Update{g.update(s)}}, nil)
		return false
	}
	if !g.vacant(s, from, m.Generation) {
		return false
	}
	g.renew(s, m.Generation, m.Incarnation, from)
	s.heard = g.now
	return true
}

// renew makes another process the member of a name.
func (g *Group) renew(s *member, birth, inc uint32, addr netip.AddrPort) {
	s.Generation, s.Incarnation, s.Addr, s.told, s.heard, s.refused, s.claim, s.returns = birth, inc, addr, window{}, 0, false, nil, 0
	clear(s.facts)
	g.summed = false
	g.stand(s, Alive, "started anew")
	g.spread(s)
}

// vacant tells whether the member of a name is gone for another process to take its place: that one asks from there.
func (g *Group) vacant(s *member, from netip.AddrPort, birth uint32) bool {
	asked := s.claim != nil && s.claim.birth == birth
	switch {
	case s.State >= Dead || s.refused || from == s.Addr: // one address has one process
		return true
	case !asked:
		s.claim = &claim{from, birth, g.now + 2*g.ProbeInterval}
		g.send(s.Addr, Message{Kind: KindPing, Target: s.ID}, s)
	case g.now < s.claim.until:
	case s.heard < s.claim.until-2*g.ProbeInterval:
		return true
	default:
		g.log("two members have the name %s: %v stays, %v is refused", s.Name, s.Addr, from)
		told := Message{Kind: KindNameConflict, Target: s.ID, Updates: []Update{g.update(s)}}
		g.send(from, told, nil)
		g.send(s.Addr, told, s)
		s.claim = nil
	}
	return false
}

// conflict is word from a third member that two have this one's name, and which of them stays.
func (g *Group) conflict(from netip.AddrPort, m Message) {
	for _, u := range m.Updates {
		if m.Target != g.self.ID || u.ID != g.self.ID {
			continue
		}
		if u.Generation == g.self.Generation {
			g.log("the member at %v says that another has this one's name; this one stays", from)
		} else {
			g.log("the name %s is taken by the member at %v: this one is refused", g.Name, u.Addr)
			g.refused = true
			g.do(NameTaken{u.Addr})
		}
	}
}
