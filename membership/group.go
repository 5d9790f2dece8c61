package membership

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
)

const (
	microsPerSecond = 1_000_000
	// probeOutcomeCount is the number of recent probes by which a view is judged as trusted or not.
	probeOutcomeCount = 8
	// pauseGraceIntervals is for how many probe intervals after a pause of its own a member declares nobody dead. The
	// messages that arrived meanwhile are read in this time, in any order.
	pauseGraceIntervals = 2
)

// Group is one member's state in the group membership protocol. It is not safe for concurrent use.
type Group struct {
	Config

	now                Micros
	lastStepAt         Micros
	rng                *rand.Rand
	actions            []Action // to be returned by the current Step
	disabledSafeguards safeguard

	self    *memberRecord
	members map[ID]*memberRecord
	// membersByID holds the same records sorted by ID, for iterations whose order must not depend on a map's.
	membersByID  []*memberRecord
	presentCount int // members in state alive or suspect, this one included
	suspectCount int

	// Failure detector.
	probeOrder      []ID // targets of the current round, reshuffled at the end of each round
	nextProbeIndex  int  // into probeOrder
	nextProbeAt     Micros
	lastProbeNumber uint32
	pendingProbes   []*probe
	indirectProbes  map[uint32]indirectProbe // on behalf of other members, by the number of this member's ping
	localHealth     int                      // Lifeguard's local health score; 0 is healthy
	probeOutcomes   [probeOutcomeCount]bool  // ring of whether anybody answered the recent probes
	probesFinished  int
	noDeathsBefore  Micros // nobody is declared dead before

	// Dissemination.
	updateQueue       updateQueue
	nextGossipAt      Micros
	nextReconnectAt   Micros
	sendTokens        float64       // token bucket of datagrams, refilled at MaxSendRate
	deferredSends     []SendMessage // waiting for tokens
	lastMessageNumber uint32

	// Anti-entropy.
	nextSyncAt         Micros // 0: no synchronization is due
	digestDiffersSince Micros // first of an unbroken run of messages whose digest differs from this member's; 0: none
	cachedDigest       uint32
	digestCached       bool
	digestChangedAt    Micros

	// View.
	view           View
	viewDirtySince Micros // first change that the view does not show yet; 0: it shows all
	converged      bool

	startedAt    Micros
	nextExpiryAt Micros
	leaving      bool
	nameTaken    bool // another process owns this member's name
	duplicates   int
}

// New returns the state of a member that knows only itself. It returns an error if the configuration is invalid.
func New(config Config, now Micros) (*Group, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	id := IDFromName(config.Name)
	g := &Group{
		Config:          config,
		now:             now,
		lastStepAt:      now,
		startedAt:       now,
		digestChangedAt: now,
		nextExpiryAt:    now,
		rng:             rand.New(rand.NewPCG(config.RandomSeed, uint64(id))),
		members:         map[ID]*memberRecord{},
		indirectProbes:  map[uint32]indirectProbe{},
		updateQueue:     updateQueue{},
		sendTokens:      float64(config.MaxSendRate),
	}
	g.self = g.addMember(Member{
		ID:           id,
		Name:         config.Name,
		Zone:         config.Zone,
		Addr:         config.Addr,
		Generation:   config.Generation,
		Incarnation:  1,
		Reachability: Reachable,
	})
	for i := range g.probeOutcomes {
		g.probeOutcomes[i] = true
	}
	// Members that start together do not all probe at the same time.
	g.nextProbeAt = now + g.rng.Int64N(config.ProbeInterval)
	hasOtherSeeds := slices.ContainsFunc(config.Seeds, func(seed netip.AddrPort) bool { return seed != config.Addr })
	g.converged = !hasOtherSeeds
	g.queueMember(g.self)
	return g, nil
}

// Duplicates returns how many messages were dropped as duplicates, as older than the replay window or as sent by an
// earlier generation of their sender.
func (g *Group) Duplicates() int { return g.duplicates }

// Step handles the events since the last call and returns the actions to carry out. It is called at least once per
// TickInterval, without events if there were none. A call that comes late is treated as a pause of this process.
func (g *Group) Step(now Micros, events ...Event) []Action {
	g.actions = nil
	g.now = max(now, g.now)
	if g.nameTaken {
		return nil
	}
	elapsed := g.now - g.lastStepAt
	g.lastStepAt = g.now
	g.refillSendTokens(elapsed)
	if elapsed > g.ProbeInterval/2 && g.enabled(pauseDetection) {
		g.handlePause(elapsed)
	}
	for _, event := range events {
		g.handleEvent(event)
	}
	g.runProbes()
	g.expireSuspicions()
	g.removeExpired()
	g.runGossip()
	g.sendDeferred()
	g.publishView()
	return g.actions
}

func (g *Group) handleEvent(event Event) {
	switch event := event.(type) {
	case MessageReceived:
		g.handleMessage(event)
	case PortUnreachable:
		g.handlePortUnreachable(event.Addr)
	case PublishFact:
		g.publishFact(event)
	case Leave:
		g.announceLeave()
	}
}

// handlePause compensates for a pause of this process. All its time limits move by the pause, because what it missed
// is not a failure of others. It raises its incarnation, which refutes suspicions of it, and requests synchronization.
func (g *Group) handlePause(pause Micros) {
	for _, probe := range g.pendingProbes {
		probe.startedAt += pause
		probe.nextAttemptAt += pause
		probe.deadline += pause
	}
	for _, member := range g.membersByID {
		if member.State == StateSuspect {
			member.suspicionStartedAt += pause
		}
		if member.nameClaim != nil {
			member.nameClaim.deadline += pause
		}
	}
	if g.viewDirtySince > 0 {
		g.viewDirtySince = g.now
	}
	g.degradeLocalHealth()
	g.self.Incarnation++
	g.queueMember(g.self)
	g.nextGossipAt = 0
	g.nextSyncAt = g.now
	g.noDeathsBefore = g.now + pauseGraceIntervals*g.ProbeInterval
	g.digestDiffersSince = 0
	g.logf("this member stood still for %d ms", pause/microsPerMilli)
}

func (g *Group) emit(action Action) { g.actions = append(g.actions, action) }

func (g *Group) logf(format string, args ...any) { g.emit(Log{fmt.Sprintf(format, args...)}) }
