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

// presumed takes members that have had no occasion to ask each other yet for reachable: that they are is no change.
func (r Reachability) presumed() Reachability { return max(r, Reachable) }

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
	lastMessageAt      Micros        // own word from it
	heardFromUsAt      Micros        // it told that it had word from us
	lastSeenBy         map[ID]Micros // who told that it answered
	accusers           map[ID]bool   // of a suspect
	departureReporters map[ID]bool   // who told that it died or left
	suspicionStartedAt Micros
	portUnreachable    bool       // nothing listens at its address
	nameClaim          *nameClaim // another process of its name
	facts              map[string]*heldFact
	received           replayWindow // its messages that came, against repeats
	resurrections      int          // times that it was held to be dead, and was not
	accusationsMade    int          // of others by it ...
	accusationsRefuted int          // ... that answered for themselves
}

type nameClaim struct {
	addr       netip.AddrPort
	generation uint32
	deadline   Micros
}

// Group is one member's part in a group. Its calls must not overlap.
type Group struct {
	Config
	now, lastStepAt    Micros // the latter: of the newest turn
	rng                *rand.Rand
	self               *member
	members            map[ID]*member
	membersByID        []*member // by number: what draws chance or acts must not go by the order of a map
	aliveCount         int       // of these, alive or suspect
	suspectCount       int
	probeOrder         []ID // of the probes, shuffled anew each round
	nextProbeIndex     int
	lastProbeNumber    uint32
	actions            []Action
	pendingProbes      []*probe
	indirectProbes     map[uint32]indirectProbe // asked of us
	updateQueue        updateQueue
	localHealth        int // own slowness: stretches own time-outs
	probeOutcomes      [8]bool
	probesFinished     int
	nextProbeAt        Micros
	nextGossipAt       Micros
	nextReconnectAt    Micros
	nextSyncAt         Micros
	noDeathsBefore     Micros // nobody is taken out before
	nextExpiryAt       Micros
	sendTokens         float64
	deferredSends      []SendMessage // parts of a state that was asked for, as the budget allows
	digestDiffersSince Micros        // since when a digest differs
	cachedDigest       uint32        // the digest, while nothing has changed
	digestCached       bool
	view               View
	converged          bool
	startedAt          Micros
	digestChangedAt    Micros // when the digest last changed
	viewDirtySince     Micros // since when the view is out of date; 0: it is not
	leaving            bool
	nameRefused        bool
	duplicates         int // datagrams that came before
	disabled           safeguard
}

// safeguard is one of the measures against taking out who lives. All are in force; measurements leave one out to tell its
// price and what it is good for.
type safeguard uint8

const (
	probeRetry         safeguard = 1 << iota // a question is put three times
	indirectProbing                          // helpers
	pauseDetection                           // late turns are nobody else's fault
	localHealthScaling                       // own slowness stretches own time limits
	suspicionRestart                         // word from a suspect, or a later accusation, starts its time anew
	accuserComparison                        // doubt by comparison
)

// Duplicates counts what came more than once, late beyond recognition or under a life that is over.
func (g *Group) Duplicates() int { return g.duplicates }

// TickInterval is how often Step wants to be called, at least.
func (c Config) TickInterval() Micros { return c.ProbeInterval / 10 }

// New returns a member that knows itself alone.
func New(c Config, now Micros) (*Group, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	g := &Group{
		Config: c, now: now, lastStepAt: now, rng: rand.New(rand.NewPCG(c.RandomSeed, uint64(IDFromName(c.Name)))),
		members: map[ID]*member{}, indirectProbes: map[uint32]indirectProbe{}, updateQueue: updateQueue{}, sendTokens: float64(c.MaxSendRate),
	}
	g.self = g.addMember(Member{ID: IDFromName(c.Name), Name: c.Name, Zone: c.Zone, Addr: c.Addr, Generation: c.Generation, Incarnation: 1, Reachability: Reachable})
	for i := range g.probeOutcomes {
		g.probeOutcomes[i] = true
	}
	// Members that start together do not all probe in the same moment.
	g.startedAt, g.digestChangedAt = now, now
	g.nextProbeAt = now + g.rng.Int64N(c.ProbeInterval)
	g.converged = !slices.ContainsFunc(c.Seeds, func(a netip.AddrPort) bool { return a != c.Addr })
	g.nextExpiryAt = now
	g.queueMember(g.self)
	return g, nil
}

func (g *Group) emit(a Action) { g.actions = append(g.actions, a) }

func (g *Group) logf(format string, args ...any) { g.emit(Log{fmt.Sprintf(format, args...)}) }

// Step takes what happened since the last turn and returns what to do. It is called each Turn even if nothing did.
func (g *Group) Step(now Micros, events ...Event) []Action {
	g.actions = nil
	g.now = max(now, g.now)
	if g.nameRefused {
		return nil
	}
	gap := g.now - g.lastStepAt
	g.lastStepAt = g.now
	g.sendTokens = min(float64(g.MaxSendRate), g.sendTokens+float64(g.MaxSendRate)*float64(gap)/1e6)
	if gap > g.ProbeInterval/2 && g.disabled&pauseDetection == 0 {
		g.handlePause(gap)
	}
	for _, e := range events {
		switch e := e.(type) {
		case MessageReceived:
			g.handleMessage(e)
		case PortUnreachable:
			g.handlePortUnreachable(e.Addr)
		case PublishFact:
			g.publishFact(e)
		case Leave:
			g.announceLeave()
		}
	}
	g.runProbes()
	g.expireSuspicions()
	g.expire()
	g.runGossip()
	g.sendDeferred()
	g.publishView()
	return g.actions
}

// handlePause is called where this member's own turns came late. What it missed is nobody else's fault: every time limit
// moves by the gap, it says at once that it is there, and asks what has become of the group.
func (g *Group) handlePause(gap Micros) {
	for _, p := range g.pendingProbes {
		p.startedAt, p.nextAttemptAt, p.deadline = p.startedAt+gap, p.nextAttemptAt+gap, p.deadline+gap
	}
	for _, m := range g.membersByID {
		if m.State == Suspect {
			m.suspicionStartedAt += gap
		}
		if m.nameClaim != nil {
			m.nameClaim.deadline += gap
		}
	}
	if g.viewDirtySince > 0 {
		g.viewDirtySince = g.now
	}
	g.localHealth = min(g.localHealth+1, maxLocalHealth)
	g.self.Incarnation++
	g.queueMember(g.self)
	// What came meanwhile is still being read, in whatever order: nobody is judged before.
	g.nextGossipAt, g.nextSyncAt, g.noDeathsBefore = 0, g.now, g.now+2*g.ProbeInterval
	g.digestDiffersSince = 0
	g.logf("this member stood still for %d ms", gap/1000)
}

func (g *Group) addMember(m Member) *member {
	s := &member{Member: m} // maps are made as they are needed: most members of hundreds are neither accused nor asked for
	s.StateSince = g.now
	g.members[m.ID] = s
	at, _ := slices.BinarySearchFunc(g.membersByID, m.ID, func(o *member, id ID) int { return cmp.Compare(o.ID, id) })
	g.membersByID = slices.Insert(g.membersByID, at, s)
	g.countState(m.State, 1)
	if g.self != nil {
		// Anywhere in the rest of the round: a newcomer is found as soon as others.
		at := g.nextProbeIndex + g.rng.IntN(len(g.probeOrder)-g.nextProbeIndex+1)
		g.probeOrder = slices.Insert(g.probeOrder, at, m.ID)
	}
	g.markViewDirty()
	return s
}

// setEntry puts an entry into a map that may not have been made yet.
func setEntry[K comparable, V any](m *map[K]V, k K, v V) {
	if *m == nil {
		*m = map[K]V{}
	}
	(*m)[k] = v
}

// countState keeps the numbers of those that are there and of suspects.
func (g *Group) countState(s MemberState, by int) {
	g.digestCached = false
	if s <= Suspect {
		g.aliveCount += by
	}
	if s == Suspect {
		g.suspectCount += by
	}
}

// size is how many are there, this one included.
func (g *Group) size() int { return g.aliveCount }

// sampleMembers draws so many others that fit. Where most do, a few draws find them, whatever the number of members; else all
// are looked at.
func (g *Group) sampleMembers(n int, fits func(*member) bool) []*member {
	var out []*member
	for tries := 0; len(out) < n && tries < 4*n; tries++ {
		if m := g.membersByID[g.rng.IntN(len(g.membersByID))]; m != g.self && !slices.Contains(out, m) && fits(m) {
			out = append(out, m)
		}
	}
	if len(out) == n {
		return out
	}
	out = nil
	for _, m := range g.membersByID {
		if m != g.self && fits(m) {
			out = append(out, m)
		}
	}
	g.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// retransmitLimit is for how many sendings a rumour is worth telling.
func (g *Group) retransmitLimit() int { return 3 * int(math.Ceil(math.Log2(float64(g.size()+1)))) }
