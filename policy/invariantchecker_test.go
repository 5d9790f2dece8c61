package policy

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// invariantChecker reports random valid events to an aggregator and checks invariants of its actions
// (invariantchecks_test.go). It does not model servers: results and delays are drawn at random.
type invariantChecker struct {
	t          *testing.T
	settings   Settings
	random     *rand.Rand
	now        Micros
	aggregator *Aggregator

	events  []Event  // of the next step
	actions []Action // of all steps

	servers      map[uint32]Endpoint
	drainedAt    map[uint32]Micros // by server: when its state was first reported as Draining or Removed
	queries      map[uint64]*checkedQuery
	parts        map[uint64]*checkedPart
	inFlight     []checkedAttempt
	healthChecks []uint32 // IDs of the servers with a health check in flight
	timers       []Micros // times at which timers fire
	nextID       uint64
	lastNumber   uint64 // Query.Number of the newest query

	acceptedAt   []Micros // times at which queries and parts were accepted
	retriedAt    []Micros // times at which parts were retried
	warmingSends map[uint32][]warmingSend

	endedQueryCount  int
	sentAttemptCount int

	// reconfigurations is the number of changes of the settings so far. If it is negative, none are made.
	reconfigurations int

	// repeatSettings makes every step reconfigure the aggregator with its unchanged settings.
	repeatSettings bool
}

type checkedQuery struct {
	class              Class // as of the query's arrival
	deadline           Micros
	phase              int
	firstPhaseComplete bool
	closed             bool
	parts              []*checkedPart
}

type checkedPart struct {
	query        *checkedQuery
	shard        int
	weight       float64
	attemptCount int
	inFlight     map[int]bool // by index of the attempt
	mayHaveRun   bool
	firstSentAt  Micros
	answered     bool
}

type checkedAttempt struct {
	partID   uint64
	index    int
	serverID uint32
	sentAt   Micros
	endsAt   Micros
	status   Status
}

func newInvariantChecker(t *testing.T, settings Settings, seed uint64) *invariantChecker {
	t.Helper()
	aggregator, err := New(settings, seed)
	require.NoError(t, err)
	c := &invariantChecker{
		t:            t,
		settings:     settings,
		random:       rand.New(rand.NewPCG(seed, 1)),
		now:          50_000_000,
		aggregator:   aggregator,
		nextID:       100,
		servers:      map[uint32]Endpoint{},
		drainedAt:    map[uint32]Micros{},
		queries:      map[uint64]*checkedQuery{},
		parts:        map[uint64]*checkedPart{},
		warmingSends: map[uint32][]warmingSend{},
	}
	for i := range 8 {
		id := uint32(i + 1)
		c.servers[id] = Endpoint{ID: id, State: Ready, RingPosition: i % settings.RingSize, Capacity: 1}
	}
	c.sendEndpointList()
	return c
}

func (c *invariantChecker) add(event Event) { c.events = append(c.events, event) }

func (c *invariantChecker) newID() uint64 {
	c.nextID++
	return c.nextID
}

// run takes the given number of steps with random events, then steps without new ones until all queries must have
// ended.
func (c *invariantChecker) run(steps int) {
	for range steps {
		c.now += c.settings.Tick * Micros(1+c.random.IntN(3))
		c.addRandomEvents()
		c.step()
	}
	for range 3000 {
		c.now += c.settings.Tick
		c.step()
	}
	for id, query := range c.queries {
		if !query.closed {
			c.t.Fatalf("query %d got no final action", id)
		}
	}
}

func (c *invariantChecker) addRandomEvents() {
	if c.random.IntN(4) == 0 {
		c.startQuery()
	}
	if c.reconfigurations >= 0 && c.random.IntN(60) == 0 {
		c.reconfigure()
	}
	if c.random.IntN(120) == 0 {
		c.changeServer()
	} else if c.settings.PollEndpoints && c.random.IntN(40) == 0 {
		c.add(EndpointListFailed{})
		c.sendEndpointList()
	}
}

func (c *invariantChecker) sendEndpointList() {
	var endpoints []Endpoint
	for id := uint32(1); id < 20; id++ {
		if endpoint, ok := c.servers[id]; ok {
			endpoints = append(endpoints, endpoint)
		}
	}
	c.add(EndpointList{endpoints})
}

func (c *invariantChecker) changeServer() {
	id := uint32(c.random.IntN(8) + 1)
	endpoint := c.servers[id]
	switch c.random.IntN(6) {
	case 0:
		endpoint.State = Draining
	case 1:
		endpoint.State = Removed
	default:
		endpoint.State = Ready
		endpoint.StartedAt = c.now - Micros(c.random.IntN(20_000_000))
	}
	if endpoint.State == Ready {
		delete(c.drainedAt, id)
	} else if _, ok := c.drainedAt[id]; !ok {
		c.drainedAt[id] = c.now
	}
	c.servers[id] = endpoint
	c.sendEndpointList()
}

// reconfigure changes the settings at random: the choice, order and times of the classes, and the limits.
func (c *invariantChecker) reconfigure() {
	c.reconfigurations++
	settings := c.settings
	settings.Classes = nil
	all := testClasses()
	order := c.random.Perm(len(all))
	count := 1 + c.random.IntN(len(all))
	for _, i := range order[:count] {
		class := all[i]
		class.LatencyObjective = class.LatencyObjective * Micros(5+c.random.IntN(10)) / 10
		class.Timeout = class.Timeout * Micros(15+c.random.IntN(10)) / 10
		settings.Classes = append(settings.Classes, class)
	}
	settings.Shards = 4 + c.random.IntN(4)
	settings.ReplicationFactor = 2 + c.random.IntN(2)
	settings.MaxAttempts = 2 + c.random.IntN(3)
	settings.AllowHedging = c.random.IntN(2) == 0
	settings.RetryBudgetRatio = 0.05 * float64(1+c.random.IntN(3))
	c.add(Reconfigure{settings})
	if c.random.IntN(4) == 0 { // invalid settings must change nothing
		invalid := settings
		invalid.Classes = nil
		c.add(Reconfigure{invalid})
	}
	c.settings = settings
}

func (c *invariantChecker) startQuery() {
	classIndex := c.random.IntN(len(c.settings.Classes))
	class := c.settings.Classes[classIndex]
	parts := c.random.IntN(5) + 1
	c.lastNumber++
	id := c.newID()
	query := &checkedQuery{
		class:    class,
		phase:    firstPhase,
		deadline: c.now + class.Timeout*Micros(60+c.random.IntN(41))/100,
	}
	c.queries[id] = query
	c.add(Query{
		ID:         id,
		Number:     c.lastNumber,
		Class:      classIndex,
		Tenant:     c.random.IntN(2),
		Deadline:   query.deadline,
		PartCount:  parts,
		Retry:      c.random.IntN(5) == 0,
		RequestKey: uint64(c.random.IntN(4)),
	})
	c.acceptedAt = append(c.acceptedAt, c.now)
	c.addParts(query, c.lastNumber, parts)
}

func (c *invariantChecker) addParts(query *checkedQuery, number uint64, count int) {
	query.parts = nil
	firstShard := c.random.IntN(c.settings.Shards)
	for i := range count {
		id := c.newID()
		p := &checkedPart{
			query:    query,
			shard:    (firstShard + i) % c.settings.Shards,
			weight:   1 / float64(count),
			inFlight: map[int]bool{},
		}
		c.parts[id] = p
		query.parts = append(query.parts, p)
		c.add(Part{
			ID:          id,
			QueryNumber: number,
			Shard:       p.shard,
			Weight:      p.weight,
			CostHint:    Micros(c.random.IntN(3)-1) * 40_000,
		})
		c.acceptedAt = append(c.acceptedAt, c.now)
	}
}

// step reports the events that are due and checks the resulting actions.
func (c *invariantChecker) step() {
	c.endAttempts()
	for _, server := range c.healthChecks {
		c.add(HealthCheckResult{ServerID: server, Status: Status(c.random.IntN(2)), Report: NoLoadReport})
	}
	c.healthChecks = nil
	c.fireTimer()
	c.checkDeadlines()
	if c.repeatSettings {
		c.add(Reconfigure{c.settings})
	}
	actions := c.aggregator.Step(c.now, c.events)
	c.events = nil
	for _, action := range actions {
		c.check(action)
	}
	c.actions = append(c.actions, actions...)
}

// endAttempts reports the results of the attempts that are due to end.
func (c *invariantChecker) endAttempts() {
	var remaining []checkedAttempt
	for _, attempt := range c.inFlight {
		if attempt.endsAt > c.now {
			remaining = append(remaining, attempt)
			continue
		}
		p := c.parts[attempt.partID]
		delete(p.inFlight, attempt.index)
		if attempt.status != Rejected && attempt.status != ConnectFailed && attempt.status != Withdrawn {
			p.mayHaveRun = true
		}
		if attempt.status == OK && !p.query.closed {
			p.answered = true
		}
		report := NoLoadReport
		if c.random.IntN(2) == 0 {
			report.InFlight = float64(c.random.IntN(6))
		}
		c.add(AttemptResult{
			PartID:       attempt.partID,
			AttemptIndex: attempt.index,
			ServerID:     attempt.serverID,
			Status:       attempt.status,
			Elapsed:      c.now - attempt.sentAt,
			Report:       report,
		})
	}
	c.inFlight = remaining
}

// fireTimer reports the first timer that is due.
func (c *invariantChecker) fireTimer() {
	for i, at := range c.timers {
		if at <= c.now {
			c.add(TimerFired{})
			c.timers = append(c.timers[:i:i], c.timers[i+1:]...)
			return
		}
	}
}

func (c *invariantChecker) check(action Action) {
	switch action := action.(type) {
	case SendAttempt:
		c.checkSend(action)
	case CancelAttempt:
		c.cancelAttempt(action)
	case Answer:
		c.checkAnswer(action)
	case Reject:
		c.checkReject(action)
	case Fail:
		c.endQuery(action.QueryID)
	case HealthCheck:
		c.healthChecks = append(c.healthChecks, action.ServerID)
	case SetTimer:
		c.timers = append(c.timers, c.now+action.Delay)
	}
}

func (c *invariantChecker) cancelAttempt(action CancelAttempt) {
	for i := range c.inFlight {
		attempt := &c.inFlight[i]
		if attempt.partID == action.PartID && attempt.index == action.AttemptIndex {
			attempt.endsAt = c.now
			attempt.status = Canceled
		}
	}
}

func (c *invariantChecker) endQuery(id uint64) {
	query := c.queries[id]
	if query == nil || query.closed {
		c.t.Fatalf("query %d got a final action although it has ended or is unknown", id)
	}
	query.closed = true
	c.endedQueryCount++
}

func (c *invariantChecker) startAttempt(action SendAttempt, index int) {
	status := OK
	if c.random.IntN(3) == 0 {
		status = Status(c.random.IntN(8))
	}
	timeout := max(action.Timeout, 1)
	delay := Micros(10_000 + c.random.IntN(300_000))
	delay *= Micros(1 + c.random.IntN(3)*c.random.IntN(8))
	delay = min(delay, timeout)
	if status == TimedOut {
		delay = timeout
	}
	c.inFlight = append(c.inFlight, checkedAttempt{
		partID:   action.PartID,
		index:    index,
		serverID: action.ServerID,
		sentAt:   c.now,
		endsAt:   c.now + delay,
		status:   status,
	})
}
