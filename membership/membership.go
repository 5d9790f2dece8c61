// Package membership tells who of a group of instances is there. It has no clock, input or output: hand Step what
// happened and carry out what it returns. It is of the SWIM family: each member asks one other per period, has others
// ask for it where no answer comes, and spreads what it finds on the datagrams that go anyway. What it does beyond
// that, and why, stands in docs/design/membership.md.
//
// One rule is for safety: a member that cannot tell whether the others are gone or it is cut off itself (its view is
// not trusted) takes nobody out of its view.
package membership

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
)

// Micros is a span or a moment in microseconds on the owner's clock, which may start anywhere.
type Micros = int64

// ID is a member's number, made of its name.
type ID uint32

// IDFromName is the number of a name. Two names of one number cannot both be members: the later one is refused.
func IDFromName(name string) ID {
	h := fnv.New32a()
	h.Write([]byte(name)) // never fails
	return ID(h.Sum32())
}

// Limits of what goes in one datagram.
const (
	MaxNameLength      = 24
	MaxZoneLength      = 24
	MaxFactNameLength  = 16 // bytes of a fact's name
	MaxFactValueLength = 48
	MaxFacts           = 8 // of one member
)

// Config is what a member knows from the start.
type Config struct {
	Name, Zone       string
	Addr             netip.AddrPort   // where others reach it
	Seeds            []netip.AddrPort // where members may be; its own and dead ones do no harm
	Generation       uint32           // higher at each start of the same name, such as the second of the start
	RandomSeed       uint64           // of its random numbers
	ProbeInterval    Micros           // between probes; a second is usual
	SuspicionTimeout Micros           // how long a member that was silent may take to say that it is there: above its longest pause
	MaxSendRate      int              // datagrams a second that it sends at most
	TombstoneTTL     Micros           // how long those that left or died are remembered
}

// Validate names the first field that no member can work with.
func (c Config) Validate() error {
	switch {
	case c.Name == "" || len(c.Name) > MaxNameLength:
		return fmt.Errorf("membership: name %q has not 1 to %d bytes", c.Name, MaxNameLength)
	case len(c.Zone) > MaxZoneLength:
		return fmt.Errorf("membership: zone %q has over %d bytes", c.Zone, MaxZoneLength)
	case !c.Addr.IsValid() || !c.Addr.Addr().Unmap().Is4():
		return fmt.Errorf("membership: address %v is no IPv4 address", c.Addr)
	case c.ProbeInterval <= 0 || c.SuspicionTimeout < c.ProbeInterval || c.TombstoneTTL < c.SuspicionTimeout:
		return fmt.Errorf("membership: period %d, hold %d and forget %d are not in order", c.ProbeInterval, c.SuspicionTimeout, c.TombstoneTTL)
	case c.MaxSendRate < 4:
		return fmt.Errorf("membership: budget of %d datagrams a second is under 4", c.MaxSendRate)
	}
	return nil
}

// MemberState is what the group holds of a member.
type MemberState uint8

// The standings. Of two of the same incarnation the later one here wins.
const (
	Alive MemberState = iota
	Suspect
	Dead
	Left
)

func (s MemberState) String() string { return [...]string{"alive", "suspect", "dead", "left"}[s&3] }

// Reachability is how this member and another hear each other.
type Reachability uint8

// The ways to be reached.
const (
	ReachabilityUnknown Reachability = iota
	Reachable                        // both ways
	ReachableOneWay                  // it hears us, and we hear of it through others only
	ReachableIndirectly              // neither hears the other, and others hear it
	Unreachable
)

func (r Reachability) String() string {
	return [...]string{"unknown", "reachable", "one-way", "through others", "unreachable"}[min(r, Unreachable)]
}

// settled takes members that have had no occasion to ask each other yet for reachable: that they are is no change.
func (r Reachability) settled() Reachability { return max(r, Reachable) }

// Member is one line of a view.
type Member struct {
	ID                      ID
	Name, Zone              string
	Addr                    netip.AddrPort
	Generation, Incarnation uint32
	State                   MemberState
	Reachability            Reachability
	StateSince              Micros // of the standing
	StateReason             string
	SeenByCount             int // members, this one included, that had word from it themselves within a few periods
	Distrusted              bool
	Facts                   []Fact
	LastContact             Micros // by this member itself; 0: never
}

// View is who is there, as one member holds it. Members is sorted by name and holds those that are gone for as long
// as they are remembered.
type View struct {
	Version   uint64 // counts this member's own changes
	Digest    uint32 // equal at two members that hold the same members to be there
	Trusted   bool   // false: this member may be cut off, and the view stands still
	Converged bool   // another member has held the same ones to be there, at some time; or there is nobody to hold them
	Members   []Member
}

// AliveCount counts those that are there, suspects included: these may still say so.
func (v View) AliveCount() (n int) {
	for _, m := range v.Members {
		if m.State <= Suspect {
			n++
		}
	}
	return n
}

// Event is something that happened.
type Event interface{ event() }

// MessageReceived is a message that came. Its sender was proven, or there is nothing to prove it by.
type MessageReceived struct {
	From    netip.AddrPort
	Message Message
}

// PortUnreachable is proof that nothing listens where a member was.
type PortUnreachable struct{ Addr netip.AddrPort }

// PublishFact attaches a fact to this member. An empty value takes it back.
type PublishFact struct {
	Name, Value string
	TTL         Micros
}

// Leave begins a planned leave.
type Leave struct{}

func (MessageReceived) event() {}
func (PortUnreachable) event() {}
func (PublishFact) event()     {}
func (Leave) event()           {}

// Action is something to do.
type Action interface{ action() }

// SendMessage sends a message.
type SendMessage struct {
	To      netip.AddrPort
	Message Message
}

// ViewChanged says that the view is another.
type ViewChanged struct{ View View }

// Log is a line for the people on call.
type Log struct{ Text string }

// NameTaken says that another member has this one's name and answers: this one is refused and stays silent.
type NameTaken struct{ By netip.AddrPort }

func (SendMessage) action() {}
func (ViewChanged) action() {}
func (Log) action()         {}
func (NameTaken) action()   {}

type member struct {
	Member
	heard     Micros        // own word from it
	hearsUs   Micros        // it told that it had word from us
	vouched   map[ID]Micros // who told that it answered
	accusers  map[ID]bool   // of a suspect
	gone      map[ID]bool   // who told that it died or left
	suspected Micros
	refused   bool   // nothing listens at its address
	claim     *claim // another process of its name
	facts     map[string]*fact
	told      window // its messages that came, against repeats
	returns   int    // times that it was held to be dead, and was not
	accused   int    // of others by it ...
	refuted   int    // ... that answered for themselves
}

type claim struct {
	from  netip.AddrPort
	birth uint32
	until Micros
}

// Group is one member's part in a group. Its calls must not overlap.
type Group struct {
	Config
	now, last Micros // the latter: of the newest turn
	rng       *rand.Rand
	self      *member
	members   map[ID]*member
	all       []*member // by number: what draws chance or acts must not go by the order of a map
	there     int       // of these, alive or suspect
	suspects  int
	order     []ID // of the probes, shuffled anew each round
	next      int
	seq       uint32
	acts      []Action
	probes    []*probe
	relays    map[uint32]relay // asked of us
	rumors    rumors
	health    int // own slowness: stretches own time-outs
	rounds    [8]bool
	round     int
	probeAt   Micros
	gossipAt  Micros
	strayAt   Micros
	syncAt    Micros
	judgeAt   Micros // nobody is taken out before
	renewAt   Micros
	tokens    float64
	backlog   []SendMessage // parts of a state that was asked for, as the budget allows
	differs   Micros        // since when a digest differs
	sum       uint32        // the digest, while nothing has changed
	summed    bool
	view      View
	settled   bool
	began     Micros
	movedAt   Micros // when the digest last changed
	dirty     Micros // since when the view is out of date; 0: it is not
	leaving   bool
	refused   bool
	repeats   int // datagrams that came before
	off       remedy
}

// remedy is one of the measures against taking out who lives. All are in force; measurements leave one out to tell its
// price and what it is good for.
type remedy uint8

const (
	askingAgain  remedy = 1 << iota // a question is put three times
	askingOthers                    // helpers
	ownPause                        // late turns are nobody else's fault
	ownHealth                       // own slowness stretches own time limits
	startingAnew                    // word from a suspect, or a later accusation, starts its time anew
	comparing                       // doubt by comparison
)

// Duplicates counts what came more than once, late beyond recognition or under a life that is over.
func (g *Group) Duplicates() int { return g.repeats }

// TickInterval is how often Step wants to be called, at least.
func (c Config) TickInterval() Micros { return c.ProbeInterval / 10 }

// New returns a member that knows itself alone.
func New(c Config, now Micros) (*Group, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	g := &Group{
		Config: c, now: now, last: now, rng: rand.New(rand.NewPCG(c.RandomSeed, uint64(IDFromName(c.Name)))),
		members: map[ID]*member{}, relays: map[uint32]relay{}, rumors: rumors{}, tokens: float64(c.MaxSendRate),
	}
	g.self = g.add(Member{ID: IDFromName(c.Name), Name: c.Name, Zone: c.Zone, Addr: c.Addr, Generation: c.Generation, Incarnation: 1, Reachability: Reachable})
	for i := range g.rounds {
		g.rounds[i] = true
	}
	// Members that start together do not all probe in the same moment.
	g.began, g.movedAt = now, now
	g.probeAt = now + g.rng.Int64N(c.ProbeInterval)
	g.settled = !slices.ContainsFunc(c.Seeds, func(a netip.AddrPort) bool { return a != c.Addr })
	g.renewAt = now
	g.spread(g.self)
	return g, nil
}

func (g *Group) do(a Action) { g.acts = append(g.acts, a) }

func (g *Group) log(format string, args ...any) { g.do(Log{fmt.Sprintf(format, args...)}) }

// Step takes what happened since the last turn and returns what to do. It is called each Turn even if nothing did.
func (g *Group) Step(now Micros, events ...Event) []Action {
	g.acts = nil
	g.now = max(now, g.now)
	if g.refused {
		return nil
	}
	gap := g.now - g.last
	g.last = g.now
	g.tokens = min(float64(g.MaxSendRate), g.tokens+float64(g.MaxSendRate)*float64(gap)/1e6)
	if gap > g.ProbeInterval/2 && g.off&ownPause == 0 {
		g.paused(gap)
	}
	for _, e := range events {
		switch e := e.(type) {
		case MessageReceived:
			g.receive(e)
		case PortUnreachable:
			g.refusal(e.Addr)
		case PublishFact:
			g.publish(e)
		case Leave:
			g.leave()
		}
	}
	g.probing()
	g.judge()
	g.refresh()
	g.gossip()
	g.drain()
	g.publishView()
	return g.acts
}

// paused is called where this member's own turns came late. What it missed is nobody else's fault: every time limit
// moves by the gap, it says at once that it is there, and asks what has become of the group.
func (g *Group) paused(gap Micros) {
	for _, p := range g.probes {
		p.at, p.askAt, p.end = p.at+gap, p.askAt+gap, p.end+gap
	}
	for _, m := range g.all {
		if m.State == Suspect {
			m.suspected += gap
		}
		if m.claim != nil {
			m.claim.until += gap
		}
	}
	if g.dirty > 0 {
		g.dirty = g.now
	}
	g.health = min(g.health+1, mostHealth)
	g.self.Incarnation++
	g.spread(g.self)
	// What came meanwhile is still being read, in whatever order: nobody is judged before.
	g.gossipAt, g.syncAt, g.judgeAt = 0, g.now, g.now+2*g.ProbeInterval
	g.differs = 0
	g.log("this member stood still for %d ms", gap/1000)
}

func (g *Group) add(m Member) *member {
	s := &member{Member: m} // maps are made as they are needed: most members of hundreds are neither accused nor asked for
	s.StateSince = g.now
	g.members[m.ID] = s
	at, _ := slices.BinarySearchFunc(g.all, m.ID, func(o *member, id ID) int { return cmp.Compare(o.ID, id) })
	g.all = slices.Insert(g.all, at, s)
	g.count(m.State, 1)
	if g.self != nil {
		// Anywhere in the rest of the round: a newcomer is found as soon as others.
		at := g.next + g.rng.IntN(len(g.order)-g.next+1)
		g.order = slices.Insert(g.order, at, m.ID)
	}
	g.touch()
	return s
}

// note puts an entry into a map that may not have been made yet.
func note[K comparable, V any](m *map[K]V, k K, v V) {
	if *m == nil {
		*m = map[K]V{}
	}
	(*m)[k] = v
}

// count keeps the numbers of those that are there and of suspects.
func (g *Group) count(s MemberState, by int) {
	g.summed = false
	if s <= Suspect {
		g.there += by
	}
	if s == Suspect {
		g.suspects += by
	}
}

// size is how many are there, this one included.
func (g *Group) size() int { return g.there }

// some draws so many others that fit. Where most do, a few draws find them, whatever the number of members; else all
// are looked at.
func (g *Group) some(n int, fits func(*member) bool) []*member {
	var out []*member
	for tries := 0; len(out) < n && tries < 4*n; tries++ {
		if m := g.all[g.rng.IntN(len(g.all))]; m != g.self && !slices.Contains(out, m) && fits(m) {
			out = append(out, m)
		}
	}
	if len(out) == n {
		return out
	}
	out = nil
	for _, m := range g.all {
		if m != g.self && fits(m) {
			out = append(out, m)
		}
	}
	g.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// lasting is for how many sendings a rumour is worth telling.
func (g *Group) lasting() int { return 3 * int(math.Ceil(math.Log2(float64(g.size()+1)))) }
