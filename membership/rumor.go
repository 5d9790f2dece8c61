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

// rumors are updates and facts that are still worth telling, by what they are about.
type rumors map[subject]*rumor

type subject struct {
	id ID
	by ID     // of an accusation
	is string // of a fact; empty: of the member itself
}

type rumor struct {
	subject
	times int // that it was told
	fact  bool
}

// update words what this member holds of another.
func (g *Group) update(m *member) Update {
	u := Update{ID: m.ID, Generation: m.Generation, Incarnation: m.Incarnation, State: m.State, Addr: m.Addr}
	if m.State <= Suspect {
		u.Name, u.Zone = m.Name, m.Zone
	}
	return u
}

// spread has what is held of a member told anew.
func (g *Group) spread(m *member) { g.tell(subject{id: m.ID}) }

func (g *Group) tell(s subject) { g.rumors[s] = &rumor{subject: s, fact: s.is != ""} }

// learn takes what another member holds. Older than what is known, it changes nothing.
func (g *Group) learn(u Update, from ID) {
	if u.ID == g.self.ID {
		g.answerFor(u)
		return
	}
	m := g.members[u.ID]
	if m == nil {
		if u.State > Suspect || u.Name == "" || IDFromName(u.Name) != u.ID {
			return // who is not known need not be buried
		}
		m = g.add(Member{ID: u.ID, Name: u.Name, Zone: u.Zone, Addr: u.Addr, Generation: u.Generation, Incarnation: u.Incarnation, StateReason: "told of"})
		g.spread(m)
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
			if g.vacant(m, u.Addr, u.Generation) {
				g.renew(m, u.Generation, u.Incarnation, u.Addr)
			}
			return
		}
		switch m.State {
		case Suspect:
			g.vindicate(m)
		case Dead: // the same process speaks: it was not dead, but slow beyond what it was granted
			m.returns = min(m.returns+1, mostReturns)
		}
		m.Generation, m.Incarnation, m.Addr, m.Name, m.Zone, m.refused = u.Generation, u.Incarnation, u.Addr, u.Name, u.Zone, false
		note(&m.vouched, from, g.now)
		g.stand(m, Alive, "speaks for itself")
		g.spread(m)
	case Suspect:
		if u.Generation > m.Generation {
			return // its own words, or others', tell of the new process first
		}
		if newer { // it has answered for all before: the time that it is granted begins anew
			if m.Incarnation = u.Incarnation; g.off&startingAnew == 0 {
				m.suspected = g.now
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
		if u.State == Dead && m.heard > 0 && g.now-m.heard < g.ProbeInterval && m.State == Alive {
			g.send(m.Addr, Message{Kind: KindGossip, Updates: []Update{u}}, m)
			return
		}
		if u.State == Dead && (!g.trusted() || g.now < g.judgeAt) {
			return
		}
		if from != m.ID && !g.attested(m, u, from) {
			return
		}
		m.Incarnation = max(m.Incarnation, u.Incarnation)
		g.bury(m, u.State, map[MemberState]string{Dead: "the others agreed", Left: "left as planned"}[u.State])
	}
}

// attested tells whether enough members say of another that it is gone. One alone may be wrong, or lie: its word is an
// accusation, which the other can answer; what it leaves behind is doubt in who said so.
func (g *Group) attested(m *member, u Update, from ID) bool {
	if a := g.members[from]; a == nil || g.doubt(a) {
		return false
	}
	note(&m.gone, from, true)
	if len(m.gone) >= min(2, g.there-2) {
		return true
	}
	if u.State == Dead {
		m.Incarnation = max(m.Incarnation, u.Incarnation)
		g.suspect(m, m.Incarnation, from, "another holds it to be dead")
	}
	return false
}

// answerFor refutes what is said of this member itself.
func (g *Group) answerFor(u Update) {
	switch {
	case u.Generation > g.self.Generation && u.Generation < math.MaxUint32:
		// A former life that looks later than this one: the clock was set back between them, or the name is taken twice.
		// Which, the others find out as this one asks for its place with a life that is later still.
		g.log("the name %s is known in a later life: this one begins anew beyond it", g.Name)
		g.self.Generation, g.Generation, g.self.Incarnation, g.summed = u.Generation+1, u.Generation+1, 1, false
		g.spread(g.self)
		return
	case u.Generation < g.self.Generation || u.State == Alive || g.leaving:
		return
	}
	if u.Incarnation >= g.self.Incarnation {
		g.self.Incarnation = u.Incarnation + 1
		g.health = min(g.health+1, mostHealth)
		g.spread(g.self)
		g.gossipAt = min(g.gossipAt, g.now)
	}
}

// suspect takes an accusation. Independent accusers shorten the time that the member has to answer.
func (g *Group) suspect(m *member, inc uint32, by ID, why string) {
	if m == g.self || m.State > Suspect || inc < m.Incarnation || m.accusers[by] {
		return
	}
	if a := g.members[by]; a != nil && a != g.self {
		if g.doubt(a) {
			return
		}
		a.accused++
	}
	if m.State == Alive {
		m.suspected = g.now
		g.stand(m, Suspect, why)
	}
	note(&m.accusers, by, true)
	if len(m.accusers) <= enough {
		g.tell(subject{id: m.ID, by: by})
	}
}

// enough is how many independent accusers make a suspicion as strong as it gets.
const enough = 3

// doubt tells whether a member accuses everybody, and those answer: it is its own line, or its own mind, that is bad.
// Where all accuse in vain alike, as on a network that loses much, none is the one.
func (g *Group) doubt(a *member) bool {
	doubted := a.refuted >= 5 && 2*a.refuted > a.accused
	if doubted && g.off&comparing == 0 {
		others := 0
		for _, m := range g.all {
			if m != a {
				others += m.refuted
			}
		}
		doubted = a.refuted*max(1, len(g.all)-1) > 3*others
	}
	if doubted != a.Distrusted {
		a.Distrusted = doubted
		g.touch()
		g.log("accusations by %s are doubted: %d of %d were answered", a.Name, a.refuted, a.accused)
	}
	return doubted
}

// vindicate books an accusation that was answered. Old ones fade.
func (g *Group) vindicate(m *member) {
	for _, a := range g.all {
		if m.accusers[a.ID] {
			if a.refuted++; a.accused > 40 {
				a.accused, a.refuted = a.accused/2, a.refuted/2
			}
		}
	}
}

// clear is called as word comes of a suspect, its own or a helper's: the time that it is granted begins anew. What
// ends the suspicion, here and at the others, is what it says itself.
func (g *Group) clear(m *member) {
	if m.State != Suspect {
		return
	}
	if g.off&startingAnew == 0 {
		m.suspected = g.now
	}
	// It must say so itself, or the others go on: it is told of the accusation.
	g.send(m.Addr, Message{Kind: KindGossip, Updates: []Update{{ID: m.ID, Generation: m.Generation, Incarnation: m.Incarnation, State: Suspect, Accuser: g.self.ID, Addr: m.Addr}}}, m)
}

// stand moves a member to a standing.
func (g *Group) stand(m *member, s MemberState, why string) {
	if s != Suspect {
		clear(m.accusers)
		clear(m.gone)
	}
	if m.State == s {
		return
	}
	g.count(m.State, -1)
	g.count(s, 1)
	if m.State > Suspect || s > Suspect { // a suspicion alone is no change: what comes of it is one
		g.touch()
	}
	m.State, m.StateSince, m.StateReason = s, g.now, why
}

func (g *Group) bury(m *member, s MemberState, why string) {
	g.stand(m, s, why)
	g.reach(m, Unreachable)
	g.spread(m)
}

// mostReturns bounds how often the time that a member is granted doubles.
const mostReturns = 2

// patience is how long a suspect may take to answer: nearly twice Hold at first, Hold where enough accuse it, and a
// quarter of that where nothing listens at its address. Who came back from the dead is granted more, so that a
// member whose words are slow does not go in and out of the view.
func (g *Group) patience(m *member) Micros {
	n := min(len(m.accusers), enough)
	most := g.SuspicionTimeout * Micros(2*enough-n+1) / Micros(enough+1)
	if m.refused && n >= 1 {
		most = g.SuspicionTimeout / 4
	}
	return g.stretch(max(most, 2*g.ProbeInterval)) << m.returns
}

// judge takes out those whose time is up. A member that may be cut off itself judges nobody.
func (g *Group) judge() {
	if g.suspects == 0 || g.now < g.judgeAt || !g.trusted() {
		return
	}
	for _, m := range g.all {
		if m.State == Suspect && g.now-m.suspected >= g.patience(m) {
			g.bury(m, Dead, m.StateReason+"; it did not answer in time")
		}
	}
}

// leave says that this member goes, several times as words get lost.
func (g *Group) leave() {
	g.leaving = true
	g.self.State = Left
	for _, m := range g.some(g.lasting(), func(m *member) bool { return m.State <= Suspect }) {
		g.send(m.Addr, Message{Kind: KindLeave}, m)
	}
}

// gossip tells rumours to a few while there are any, and now and then has word with those that are held to be gone.
func (g *Group) gossip() {
	if g.leaving {
		return
	}
	// Answers come first: news that can wait leaves a quarter of the budget to them.
	if g.now >= g.gossipAt && len(g.rumors) > 0 && g.tokens > float64(g.MaxSendRate)/4 {
		g.gossipAt = g.now + g.ProbeInterval/4
		for _, m := range g.some(2, func(m *member) bool { return m.State <= Suspect }) {
			g.send(m.Addr, Message{Kind: KindGossip}, m)
		}
	}
	if g.now >= g.strayAt {
		g.strayAt = g.now + strayEvery*g.ProbeInterval*Micros(80+g.rng.IntN(40))/100
		g.hail()
	}
	if g.syncAt > 0 && g.now >= g.syncAt {
		g.syncAt = 0
		for _, m := range g.some(1, func(m *member) bool { return m.State == Alive && m.Reachability != Unreachable }) {
			g.send(m.Addr, Message{Kind: KindSyncRequest, BucketDigests: g.buckets(), Updates: []Update{g.update(g.self)}}, m)
		}
	}
}

// hail speaks to one that is gone, which may be there again, or to an address at which somebody may be. While this
// member knows nobody, it speaks to a few addresses at once.
func (g *Group) hail() {
	gone := g.some(1, func(m *member) bool { return m.State == Dead })
	known := map[netip.AddrPort]bool{g.Addr: true}
	for _, m := range g.all {
		known[m.Addr] = true
	}
	var strange []netip.AddrPort
	for _, a := range g.Seeds {
		if !known[a] {
			strange = append(strange, a)
		}
	}
	n := 1
	if g.there <= 1 {
		n, g.strayAt = 3, g.now+g.ProbeInterval
	}
	if len(gone) > 0 && (len(strange) == 0 || g.rng.IntN(2) == 0) {
		m := gone[0]
		g.send(m.Addr, Message{Kind: KindGossip, Updates: []Update{g.update(m), g.update(g.self)}}, m)
		return
	}
	for range min(n, len(strange)) {
		i := g.rng.IntN(len(strange))
		g.send(strange[i], Message{Kind: KindSyncRequest, BucketDigests: g.buckets(), Updates: []Update{g.update(g.self)}}, nil)
	}
}

// send sends a message, with rumours in the room that is left, if the budget allows: words that can wait, do.
func (g *Group) send(to netip.AddrPort, m Message, who *member) {
	if to == g.Addr || !to.IsValid() {
		return
	}
	if g.tokens < 1 {
		if m.Kind == KindAck || m.Kind == KindPing || m.Kind == KindSyncResponse {
			g.backlog = append(g.backlog[:min(len(g.backlog), 256)], SendMessage{to, m})
		}
		return
	}
	g.tokens--
	g.seal(&m)
	if m.Kind != KindSyncResponse {
		g.load(&m, who)
	}
	g.do(SendMessage{to, m})
}

// seal fills in who speaks.
func (g *Group) seal(m *Message) {
	g.self.told.sent++
	m.Sender, m.Generation, m.Incarnation, m.MessageNumber = g.self.ID, g.Generation, g.self.Incarnation, g.self.told.sent
	m.Digest = g.digest()
}

// drain sends what had to wait.
func (g *Group) drain() {
	n := 0
	for ; n < len(g.backlog) && g.tokens >= 1; n++ {
		m := g.backlog[n].Message
		g.tokens--
		g.seal(&m)
		g.do(SendMessage{g.backlog[n].To, m})
	}
	g.backlog = g.backlog[n:]
}

// load puts rumours into a message, those told least first. Who is suspected hears of it before all else.
func (g *Group) load(m *Message, who *member) {
	room := m.room()
	put := func(u Update) {
		if n := u.size(); n <= room && !slices.ContainsFunc(m.Updates, func(o Update) bool { return o.ID == u.ID && o.Accuser == u.Accuser }) {
			m.Updates, room = append(m.Updates, u), room-n
		}
	}
	if who != nil && who.State == Suspect {
		u := g.update(who)
		u.Accuser = g.self.ID
		put(u)
	}
	if len(g.rumors) == 0 || room < 20 {
		return
	}
	list := make([]*rumor, 0, len(g.rumors))
	for _, r := range g.rumors {
		list = append(list, r)
	}
	slices.SortFunc(list, func(x, y *rumor) int {
		return cmp.Or(cmp.Compare(x.times, y.times), cmp.Compare(x.id, y.id), cmp.Compare(x.by, y.by), cmp.Compare(x.is, y.is))
	})
	most := g.lasting()
	for _, r := range list {
		if room < 20 {
			break
		}
		s := g.members[r.id]
		before := room
		switch {
		case s == nil, r.by != 0 && s.State != Suspect: // what it was about is over
			delete(g.rumors, r.subject)
			continue
		case r.fact:
			if f := s.facts[r.is]; f == nil || f.ends <= g.now {
				delete(g.rumors, r.subject)
				continue
			} else if n := f.told(g.now).size(); n <= room {
				m.Facts, room = append(m.Facts, f.told(g.now)), room-n
			}
		default:
			u := g.update(s)
			if u.Accuser = r.by; r.by != 0 {
				u.State = Suspect
			}
			put(u)
		}
		if room < before {
			if r.times++; r.times >= most {
				delete(g.rumors, r.subject)
			}
		}
	}
}

// buckets are digests of what is held, by a part of the members each, so that only what differs need be sent.
func (g *Group) buckets() []uint32 {
	out := make([]uint32, buckets)
	for _, m := range g.all {
		out[uint32(m.ID)%buckets] ^= m.hash(true)
	}
	return out
}

const buckets = 16

// digest is equal at two members that hold the same ones to be there.
func (g *Group) digest() uint32 {
	if g.summed {
		return g.sum
	}
	sum := uint32(0)
	for _, m := range g.all {
		if m.State <= Suspect {
			sum ^= m.hash(false)
		}
	}
	if sum != g.sum {
		g.movedAt = g.now
	}
	g.sum, g.summed = sum, true
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

// settling is for how many periods a newcomer's view must have stood still, and been another's too, before it counts
// on it: longer than word of it takes to reach all. lonely is after how many one that never heard of anybody goes by
// its settings.
const settling, lonely = 10, 60

func (g *Group) settle() {
	if !g.settled {
		g.settled = true
		g.touch()
	}
}

// compare has this member ask for what it lacks where another's digest is not its own for longer than rumours take.
func (g *Group) compare(s *member, m Message) {
	switch {
	case m.Digest == g.digest():
		g.differs = 0
		if g.now-g.movedAt >= settling*g.ProbeInterval {
			g.settle()
		}
	case g.differs == 0:
		g.differs = g.now
	case g.now-g.differs > 5*g.ProbeInterval && g.syncAt == 0:
		g.differs = 0
		g.send(s.Addr, Message{Kind: KindSyncRequest, BucketDigests: g.buckets(), Updates: []Update{g.update(g.self)}}, s)
	}
}

// answerSync sends what another member holds differently, as the budget allows.
func (g *Group) answerSync(to netip.AddrPort, s *member, m Message) {
	if len(m.BucketDigests) != buckets || len(g.backlog) > 0 {
		return // what is being sent already may be what it asks for
	}
	mine := g.buckets()
	state := Message{Kind: KindSyncResponse}
	for _, o := range g.all {
		if o == s || mine[uint32(o.ID)%buckets] == m.BucketDigests[uint32(o.ID)%buckets] || g.now-o.StateSince > g.TombstoneTTL && o.State > Suspect {
			continue
		}
		u := g.update(o)
		if o.State == Suspect {
			u.State = Alive
		}
		if u.size() > state.room() {
			g.backlog = append(g.backlog, SendMessage{to, state})
			state = Message{Kind: KindSyncResponse}
		}
		state.Updates = append(state.Updates, u)
		for _, name := range slices.Sorted(maps.Keys(o.facts)) {
			f := o.facts[name].told(g.now)
			if f.TTL <= 0 {
				continue
			}
			if f.size() > state.room() { // who is not known yet, as datagrams overtake each other, has no facts
				g.backlog = append(g.backlog, SendMessage{to, state})
				state = Message{Kind: KindSyncResponse, Updates: []Update{u}}
			}
			state.Facts = append(state.Facts, f)
		}
	}
	if len(state.Updates)+len(state.Facts) > 0 {
		g.backlog = append(g.backlog, SendMessage{to, state})
	}
}
