package membership

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"net/netip"
	"slices"
)

// Update is what the group holds of a member, as it is told on.
type Update struct {
	ID                      ID
	Generation, Incarnation uint32
	State                   MemberState
	Accuser                 ID // of a suspect: who accuses it
	Addr                    netip.AddrPort
	Name, Zone              string // told of those that are there only
}

// updateQueue are updates and facts that are still worth telling, by what they are about.
type updateQueue map[updateKey]*queuedUpdate

type updateKey struct {
	id       ID
	accuser  ID     // of an accusation
	factName string // of a fact; empty: of the member itself
}

type queuedUpdate struct {
	updateKey
	transmissions int // that it was told
	fact          bool
}

// updateFor words what this member holds of another.
func (g *Group) updateFor(m *member) Update {
	u := Update{ID: m.ID, Generation: m.Generation, Incarnation: m.Incarnation, State: m.State, Addr: m.Addr}
	if m.State <= Suspect {
		u.Name, u.Zone = m.Name, m.Zone
	}
	return u
}

// queueMember has what is held of a member told anew.
func (g *Group) queueMember(m *member) { g.queueUpdate(updateKey{id: m.ID}) }

func (g *Group) queueUpdate(s updateKey) {
	g.updateQueue[s] = &queuedUpdate{updateKey: s, fact: s.factName != ""}
}

// applyUpdate takes what another member holds. Older than what is known, it changes nothing.
func (g *Group) applyUpdate(u Update, from ID) {
	if u.ID == g.self.ID {
		g.applyUpdateAboutSelf(u)
		return
	}
	m := g.members[u.ID]
	if m == nil {
		if u.State > Suspect || u.Name == "" || IDFromName(u.Name) != u.ID {
			return // who is not known need not be buried
		}
		m = g.addMember(Member{ID: u.ID, Name: u.Name, Zone: u.Zone, Addr: u.Addr, Generation: u.Generation, Incarnation: u.Incarnation, StateReason: "told of"})
		g.queueMember(m)
	}
	if u.Generation < m.Generation || u.Generation == m.Generation && u.Incarnation < m.Incarnation {
		return
	}
	newer := u.Generation > m.Generation || u.Incarnation > m.Incarnation
	switch u.State {
	case Alive:
		if !newer {
			return
		}
		if u.Generation > m.Generation {
			if g.nameVacant(m, u.Addr, u.Generation) {
				g.replaceProcess(m, u.Generation, u.Incarnation, u.Addr)
			}
			return
		}
		switch m.State {
		case Suspect:
			g.creditRefutation(m)
		case Dead: // the same process speaks: it was not dead, but slow beyond what it was granted
			m.resurrections = min(m.resurrections+1, maxResurrections)
		}
		m.Generation, m.Incarnation, m.Addr, m.Name, m.Zone, m.portUnreachable = u.Generation, u.Incarnation, u.Addr, u.Name, u.Zone, false
		setEntry(&m.lastSeenBy, from, g.now)
		g.setState(m, Alive, "speaks for itself")
		g.queueMember(m)
	case Suspect:
		if u.Generation > m.Generation {
			return // its own words, or others', tell of the new process first
		}
		if newer { // it has answered for all before: the time that it is granted begins anew
			if m.Incarnation = u.Incarnation; g.disabled&suspicionRestart == 0 {
				m.suspicionStartedAt = g.now
			}
			clear(m.accusers)
		}
		by := u.Accuser
		if by == 0 {
			by = from
		}
		g.suspect(m, u.Incarnation, by, "others had no answer")
	case Dead, Left:
		if m.State >= Dead && !newer {
			return
		}
		// A member that had its word a moment ago knows better, and has the other tell so.
		if u.State == Dead && m.lastMessageAt > 0 && g.now-m.lastMessageAt < g.ProbeInterval && m.State == Alive {
			g.send(m.Addr, Message{Kind: KindGossip, Updates: []Update{u}}, m)
			return
		}
		if u.State == Dead && (!g.trusted() || g.now < g.noDeathsBefore) {
			return
		}
		if from != m.ID && !g.departureConfirmed(m, u, from) {
			return
		}
		m.Incarnation = max(m.Incarnation, u.Incarnation)
		g.markGone(m, u.State, map[MemberState]string{Dead: "the others agreed", Left: "left as planned"}[u.State])
	}
}

// departureConfirmed tells whether enough members say of another that it is gone. One alone may be wrong, or lie: its word is an
// accusation, which the other can answer; what it leaves behind is doubt in who said so.
func (g *Group) departureConfirmed(m *member, u Update, from ID) bool {
	if a := g.members[from]; a == nil || g.distrusts(a) {
		return false
	}
	setEntry(&m.departureReporters, from, true)
	if len(m.departureReporters) >= min(2, g.aliveCount-2) {
		return true
	}
	if u.State == Dead {
		m.Incarnation = max(m.Incarnation, u.Incarnation)
		g.suspect(m, m.Incarnation, from, "another holds it to be dead")
	}
	return false
}

// applyUpdateAboutSelf refutes what is said of this member itself.
func (g *Group) applyUpdateAboutSelf(u Update) {
	switch {
	case u.Generation > g.self.Generation && u.Generation < math.MaxUint32:
		// A former life that looks later than this one: the clock was set back between them, or the name is taken twice.
		// Which, the others find out as this one asks for its place with a life that is later still.
		g.logf("the name %s is known in a later life: this one begins anew beyond it", g.Name)
		g.self.Generation, g.Generation, g.self.Incarnation, g.digestCached = u.Generation+1, u.Generation+1, 1, false
		g.queueMember(g.self)
		return
	case u.Generation < g.self.Generation || u.State == Alive || g.leaving:
		return
	}
	if u.Incarnation >= g.self.Incarnation {
		g.self.Incarnation = u.Incarnation + 1
		g.localHealth = min(g.localHealth+1, maxLocalHealth)
		g.queueMember(g.self)
		g.nextGossipAt = min(g.nextGossipAt, g.now)
	}
}

// suspect takes an accusation. Independent accusers shorten the time that the member has to answer.
func (g *Group) suspect(m *member, inc uint32, by ID, why string) {
	if m == g.self || m.State > Suspect || inc < m.Incarnation || m.accusers[by] {
		return
	}
	if a := g.members[by]; a != nil && a != g.self {
		if g.distrusts(a) {
			return
		}
		a.accusationsMade++
	}
	if m.State == Alive {
		m.suspicionStartedAt = g.now
		g.setState(m, Suspect, why)
	}
	setEntry(&m.accusers, by, true)
	if len(m.accusers) <= maxAccusers {
		g.queueUpdate(updateKey{id: m.ID, accuser: by})
	}
}

// maxAccusers is how many independent accusers make a suspicion as strong as it gets.
const maxAccusers = 3

// distrusts tells whether a member accuses everybody, and those answer: it is its own line, or its own mind, that is bad.
// Where all accuse in vain alike, as on a network that loses much, none is the one.
func (g *Group) distrusts(a *member) bool {
	doubted := a.accusationsRefuted >= 5 && 2*a.accusationsRefuted > a.accusationsMade
	if doubted && g.disabled&accuserComparison == 0 {
		others := 0
		for _, m := range g.membersByID {
			if m != a {
				others += m.accusationsRefuted
			}
		}
		doubted = a.accusationsRefuted*max(1, len(g.membersByID)-1) > 3*others
	}
	if doubted != a.Distrusted {
		a.Distrusted = doubted
		g.markViewDirty()
		g.logf("accusations by %s are doubted: %d of %d were answered", a.Name, a.accusationsRefuted, a.accusationsMade)
	}
	return doubted
}

// creditRefutation books an accusation that was answered. Old ones fade.
func (g *Group) creditRefutation(m *member) {
	for _, a := range g.membersByID {
		if m.accusers[a.ID] {
			if a.accusationsRefuted++; a.accusationsMade > 40 {
				a.accusationsMade, a.accusationsRefuted = a.accusationsMade/2, a.accusationsRefuted/2
			}
		}
	}
}

// restartSuspicion is called as word comes of a suspect, its own or a helper's: the time that it is granted begins anew. What
// ends the suspicion, here and at the others, is what it says itself.
func (g *Group) restartSuspicion(m *member) {
	if m.State != Suspect {
		return
	}
	if g.disabled&suspicionRestart == 0 {
		m.suspicionStartedAt = g.now
	}
	// It must say so itself, or the others go on: it is told of the accusation.
	g.send(m.Addr, Message{Kind: KindGossip, Updates: []Update{{ID: m.ID, Generation: m.Generation, Incarnation: m.Incarnation, State: Suspect, Accuser: g.self.ID, Addr: m.Addr}}}, m)
}

// setState moves a member to a standing.
func (g *Group) setState(m *member, s MemberState, why string) {
	if s != Suspect {
		clear(m.accusers)
		clear(m.departureReporters)
	}
	if m.State == s {
		return
	}
	g.countState(m.State, -1)
	g.countState(s, 1)
	if m.State > Suspect || s > Suspect { // a suspicion alone is no change: what comes of it is one
		g.markViewDirty()
	}
	m.State, m.StateSince, m.StateReason = s, g.now, why
}

func (g *Group) markGone(m *member, s MemberState, why string) {
	g.setState(m, s, why)
	g.setReachability(m, Unreachable)
	g.queueMember(m)
}

// maxResurrections bounds how often the time that a member is granted doubles.
const maxResurrections = 2

// suspicionTimeout is how long a suspect may take to answer: nearly twice Hold at first, Hold where enough accuse it, and a
// quarter of that where nothing listens at its address. Who came back from the dead is granted more, so that a
// member whose words are slow does not go in and out of the view.
func (g *Group) suspicionTimeout(m *member) Micros {
	n := min(len(m.accusers), maxAccusers)
	most := g.SuspicionTimeout * Micros(2*maxAccusers-n+1) / Micros(maxAccusers+1)
	if m.portUnreachable && n >= 1 {
		most = g.SuspicionTimeout / 4
	}
	return g.scaleByLocalHealth(max(most, 2*g.ProbeInterval)) << m.resurrections
}

// expireSuspicions takes out those whose time is up. A member that may be cut off itself judges nobody.
func (g *Group) expireSuspicions() {
	if g.suspectCount == 0 || g.now < g.noDeathsBefore || !g.trusted() {
		return
	}
	for _, m := range g.membersByID {
		if m.State == Suspect && g.now-m.suspicionStartedAt >= g.suspicionTimeout(m) {
			g.markGone(m, Dead, m.StateReason+"; it did not answer in time")
		}
	}
}

// announceLeave says that this member goes, several times as words get lost.
func (g *Group) announceLeave() {
	g.leaving = true
	g.self.State = Left
	for _, m := range g.sampleMembers(g.retransmitLimit(), func(m *member) bool { return m.State <= Suspect }) {
		g.send(m.Addr, Message{Kind: KindLeave}, m)
	}
}

// runGossip tells rumours to a few while there are any, and now and then has word with those that are held to be gone.
func (g *Group) runGossip() {
	if g.leaving {
		return
	}
	// Answers come first: news that can wait leaves a quarter of the budget to them.
	if g.now >= g.nextGossipAt && len(g.updateQueue) > 0 && g.sendTokens > float64(g.MaxSendRate)/4 {
		g.nextGossipAt = g.now + g.ProbeInterval/4
		for _, m := range g.sampleMembers(2, func(m *member) bool { return m.State <= Suspect }) {
			g.send(m.Addr, Message{Kind: KindGossip}, m)
		}
	}
	if g.now >= g.nextReconnectAt {
		g.nextReconnectAt = g.now + reconnectIntervals*g.ProbeInterval*Micros(80+g.rng.IntN(40))/100
		g.reconnect()
	}
	if g.nextSyncAt > 0 && g.now >= g.nextSyncAt {
		g.nextSyncAt = 0
		for _, m := range g.sampleMembers(1, func(m *member) bool { return m.State == Alive && m.Reachability != Unreachable }) {
			g.send(m.Addr, Message{Kind: KindSyncRequest, BucketDigests: g.bucketDigests(), Updates: []Update{g.updateFor(g.self)}}, m)
		}
	}
}

// reconnect speaks to one that is gone, which may be there again, or to an address at which somebody may be. While this
// member knows nobody, it speaks to a few addresses at once.
func (g *Group) reconnect() {
	gone := g.sampleMembers(1, func(m *member) bool { return m.State == Dead })
	known := map[netip.AddrPort]bool{g.Addr: true}
	for _, m := range g.membersByID {
		known[m.Addr] = true
	}
	var strange []netip.AddrPort
	for _, a := range g.Seeds {
		if !known[a] {
			strange = append(strange, a)
		}
	}
	n := 1
	if g.aliveCount <= 1 {
		n, g.nextReconnectAt = 3, g.now+g.ProbeInterval
	}
	if len(gone) > 0 && (len(strange) == 0 || g.rng.IntN(2) == 0) {
		m := gone[0]
		g.send(m.Addr, Message{Kind: KindGossip, Updates: []Update{g.updateFor(m), g.updateFor(g.self)}}, m)
		return
	}
	for range min(n, len(strange)) {
		i := g.rng.IntN(len(strange))
		g.send(strange[i], Message{Kind: KindSyncRequest, BucketDigests: g.bucketDigests(), Updates: []Update{g.updateFor(g.self)}}, nil)
	}
}

// send sends a message, with rumours in the room that is left, if the budget allows: words that can wait, do.
func (g *Group) send(to netip.AddrPort, m Message, who *member) {
	if to == g.Addr || !to.IsValid() {
		return
	}
	if g.sendTokens < 1 {
		if m.Kind == KindAck || m.Kind == KindPing || m.Kind == KindSyncResponse {
			g.deferredSends = append(g.deferredSends[:min(len(g.deferredSends), 256)], SendMessage{to, m})
		}
		return
	}
	g.sendTokens--
	g.fillHeader(&m)
	if m.Kind != KindSyncResponse {
		g.piggyback(&m, who)
	}
	g.emit(SendMessage{to, m})
}

// fillHeader fills in who speaks.
func (g *Group) fillHeader(m *Message) {
	g.self.received.sent++
	m.Sender, m.Generation, m.Incarnation, m.MessageNumber = g.self.ID, g.Generation, g.self.Incarnation, g.self.received.sent
	m.Digest = g.digest()
}

// sendDeferred sends what had to wait.
func (g *Group) sendDeferred() {
	n := 0
	for ; n < len(g.deferredSends) && g.sendTokens >= 1; n++ {
		m := g.deferredSends[n].Message
		g.sendTokens--
		g.fillHeader(&m)
		g.emit(SendMessage{g.deferredSends[n].To, m})
	}
	g.deferredSends = g.deferredSends[n:]
}

// piggyback puts rumours into a message, those told least first. Who is suspected hears of it before all else.
func (g *Group) piggyback(m *Message, who *member) {
	room := m.freeBytes()
	put := func(u Update) {
		if n := u.encodedSize(); n <= room && !slices.ContainsFunc(m.Updates, func(o Update) bool { return o.ID == u.ID && o.Accuser == u.Accuser }) {
			m.Updates, room = append(m.Updates, u), room-n
		}
	}
	if who != nil && who.State == Suspect {
		u := g.updateFor(who)
		u.Accuser = g.self.ID
		put(u)
	}
	if len(g.updateQueue) == 0 || room < 20 {
		return
	}
	list := make([]*queuedUpdate, 0, len(g.updateQueue))
	for _, r := range g.updateQueue {
		list = append(list, r)
	}
	slices.SortFunc(list, func(x, y *queuedUpdate) int {
		return cmp.Or(cmp.Compare(x.transmissions, y.transmissions), cmp.Compare(x.id, y.id), cmp.Compare(x.accuser, y.accuser), cmp.Compare(x.factName, y.factName))
	})
	most := g.retransmitLimit()
	for _, r := range list {
		if room < 20 {
			break
		}
		s := g.members[r.id]
		before := room
		switch {
		case s == nil, r.accuser != 0 && s.State != Suspect: // what it was about is over
			delete(g.updateQueue, r.updateKey)
			continue
		case r.fact:
			if f := s.facts[r.factName]; f == nil || f.expiresAt <= g.now {
				delete(g.updateQueue, r.updateKey)
				continue
			} else if n := f.forSending(g.now).encodedSize(); n <= room {
				m.Facts, room = append(m.Facts, f.forSending(g.now)), room-n
			}
		default:
			u := g.updateFor(s)
			if u.Accuser = r.accuser; r.accuser != 0 {
				u.State = Suspect
			}
			put(u)
		}
		if room < before {
			if r.transmissions++; r.transmissions >= most {
				delete(g.updateQueue, r.updateKey)
			}
		}
	}
}

// bucketDigests are digests of what is held, by a part of the members each, so that only what differs need be sent.
func (g *Group) bucketDigests() []uint32 {
	out := make([]uint32, bucketCount)
	for _, m := range g.membersByID {
		out[uint32(m.ID)%bucketCount] ^= m.hash(true)
	}
	return out
}

const bucketCount = 16

// digest is equal at two members that hold the same ones to be there.
func (g *Group) digest() uint32 {
	if g.digestCached {
		return g.cachedDigest
	}
	sum := uint32(0)
	for _, m := range g.membersByID {
		if m.State <= Suspect {
			sum ^= m.hash(false)
		}
	}
	if sum != g.cachedDigest {
		g.digestChangedAt = g.now
	}
	g.cachedDigest, g.digestCached = sum, true
	return sum
}

// hash sums up a member: whether it is there, in which life, and, in full, what it last said of itself and its facts.
func (m *member) hash(full bool) uint32 {
	h := fnv.New32a()
	there, inc := byte(0), uint32(0)
	if m.State <= Suspect {
		there = 1
	}
	if full {
		inc = m.Incarnation
	}
	for _, v := range []uint32{uint32(m.ID), m.Generation, inc} {
		h.Write([]byte{byte(v), byte(v >> 8), byte(v >> 16), byte(v >> 24)})
	}
	h.Write([]byte{there})
	sum := h.Sum32()
	if full {
		for _, f := range m.facts { // in any order
			sum ^= f.hash()
		}
	}
	return sum
}

// convergencePeriods is for how many periods a newcomer's view must have stood still, and been another's too, before it counts
// on it: longer than word of it takes to reach all. lonely is after how many one that never heard of anybody goes by
// its settings.
const convergencePeriods, isolationPeriods = 10, 60

func (g *Group) markConverged() {
	if !g.converged {
		g.converged = true
		g.markViewDirty()
	}
}

// compareDigest has this member ask for what it lacks where another's digest is not its own for longer than rumours take.
func (g *Group) compareDigest(s *member, m Message) {
	switch {
	case m.Digest == g.digest():
		g.digestDiffersSince = 0
		if g.now-g.digestChangedAt >= convergencePeriods*g.ProbeInterval {
			g.markConverged()
		}
	case g.digestDiffersSince == 0:
		g.digestDiffersSince = g.now
	case g.now-g.digestDiffersSince > 5*g.ProbeInterval && g.nextSyncAt == 0:
		g.digestDiffersSince = 0
		g.send(s.Addr, Message{Kind: KindSyncRequest, BucketDigests: g.bucketDigests(), Updates: []Update{g.updateFor(g.self)}}, s)
	}
}

// answerSyncRequest sends what another member holds differently, as the budget allows.
func (g *Group) answerSyncRequest(to netip.AddrPort, s *member, m Message) {
	if len(m.BucketDigests) != bucketCount || len(g.deferredSends) > 0 {
		return // what is being sent already may be what it asks for
	}
	mine := g.bucketDigests()
	state := Message{Kind: KindSyncResponse}
	for _, o := range g.membersByID {
		if o == s || mine[uint32(o.ID)%bucketCount] == m.BucketDigests[uint32(o.ID)%bucketCount] || g.now-o.StateSince > g.TombstoneTTL && o.State > Suspect {
			continue
		}
		u := g.updateFor(o)
		if o.State == Suspect {
			u.State = Alive
		}
		if u.encodedSize() > state.freeBytes() {
			g.deferredSends = append(g.deferredSends, SendMessage{to, state})
			state = Message{Kind: KindSyncResponse}
		}
		state.Updates = append(state.Updates, u)
		for _, name := range slices.Sorted(maps.Keys(o.facts)) {
			f := o.facts[name].forSending(g.now)
			if f.TTL <= 0 {
				continue
			}
			if f.encodedSize() > state.freeBytes() { // who is not known yet, as datagrams overtake each other, has no facts
				g.deferredSends = append(g.deferredSends, SendMessage{to, state})
				state = Message{Kind: KindSyncResponse, Updates: []Update{u}}
			}
			state.Facts = append(state.Facts, f)
		}
	}
	if len(state.Updates)+len(state.Facts) > 0 {
		g.deferredSends = append(g.deferredSends, SendMessage{to, state})
	}
}
