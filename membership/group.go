package membership

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
)

const (
	microsPerSecond = 1_000_000
	// probeOutcomeCount is the number of recent probes whose outcomes decide whether the view is trusted.
	probeOutcomeCount = 8
	// pauseGraceIntervals is the number of probe intervals after a pause of its own process in which a member declares
	// no other member dead. In this time it reads the messages that arrived during the pause, in any order.
	pauseGraceIntervals = 2
)

// Group is the state of one member in the group membership protocol. It is not safe for concurrent use.
type Group struct {
	Config

	now                Micros
	lastStepAt         Micros
	rng                *rand.Rand
	actions            []Action // to be returned by the current call of Step
	disabledSafeguards safeguard

	self    *memberRecord // its name, zone, address and generation equal those of Config
	members map[ID]*memberRecord
	// membersByID holds the same records sorted by ID, for iterations that must have a deterministic order.
	membersByID  []*memberRecord
	presentCount int // members in the states alive and suspect, this one included
	suspectCount int

	// Failure detector.
	probeOrder       []ID // targets of the current round, shuffled before each round
	nextProbeIndex   int  // index into probeOrder
	nextProbeAt      Micros
	lastProbeNumber  uint32
	pendingProbes    []*probe
	indirectProbes   map[uint32]indirectProbe // on behalf of other members, by the probe number of this member's ping
	localHealthScore int                      // from 0 (healthy) to maxLocalHealthScore; see scaleByLocalHealth
	probeOutcomes    [probeOutcomeCount]bool  // ring buffer: whether the target or a helper answered the recent probes
	probesFinished   int
	noDeathsBefore   Micros // no member is declared dead before this time

	// Dissemination.
	broadcastQueue    broadcastQueue
	nextGossipAt      Micros
	nextReconnectAt   Micros
	sendTokens        float64       // datagrams in the token bucket, which is refilled at MaxSendRate
	deferredSends     []SendMessage // messages that wait for tokens
	lastMessageNumber uint32

	// Anti-entropy.
	nextSyncAt         Micros // 0 if no synchronization is scheduled
	digestDiffersSince Micros // start of an unbroken run of messages with differing digests; 0 if there is none
	cachedDigest       uint32
	digestCached       bool
	digestChangedAt    Micros

	// View.
	view           View
	viewDirtySince Micros // time of the first change that the published view does not contain yet; 0 if there is none
	converged      bool

	startedAt    Micros
	nextExpiryAt Micros
	leaving      bool
	nameTaken    bool // another process owns this member's name, and this member has stopped
	duplicates   int
}

// New returns the state of a member that knows no other member yet. It returns an error if the configuration is
// invalid.
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
		broadcastQueue:  broadcastQueue{},
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
	// The random delay prevents members that start together from probing at the same time.
	g.nextProbeAt = now + g.rng.Int64N(config.ProbeInterval)
	hasOtherSeeds := slices.ContainsFunc(config.Seeds, func(seed netip.AddrPort) bool { return seed != config.Addr })
	g.converged = !hasOtherSeeds
	g.queueMember(g.self)
	return g, nil
}

// Duplicates returns the number of messages that were dropped because they were duplicates, were older than the replay
// window or were sent by an earlier generation of their sender.
func (g *Group) Duplicates() int { return g.duplicates }

// Step handles the events since the last call and returns the actions to carry out. It must be called at least once per
// TickInterval, without events if there were none. If more than half a probe interval has elapsed since the last call,
// this process is assumed to have been paused.
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
	g.pingSuspects()
	g.expireSuspicions()
	g.removeExpired()
	g.runDissemination()
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

// handlePause compensates for a pause of this process. It extends the time limits of pending probes, suspicions and
// name claims by the pause, because messages that were missed during the pause are no evidence against other members.
// It does not extend the deadlines of indirect probes: their requesters get nacks unless the acks have arrived. It also
// degrades the local health score and declares no deaths for pauseGraceIntervals. It increments the incarnation, which
// refutes suspicions of this member, sends gossip at once and requests synchronization.
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
	g.logf("no protocol step for %d ms: this process was paused or overloaded; its pending time limits were extended", pause/microsPerMilli)
}

func (g *Group) emit(action Action) { g.actions = append(g.actions, action) }

func (g *Group) logf(format string, args ...any) { g.emit(Log{fmt.Sprintf(format, args...)}) }
