package policy

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// ruleChecker reports random valid events to an aggregator and checks the rules on its actions. It does not model
// servers: results and delays are drawn at random.
type ruleChecker struct {
	test       *testing.T
	settings   Settings
	random     *rand.Rand
	now        Micros
	aggregator *Aggregator

	events  []Event  // of the next step
	actions []Action // of all steps

	servers      map[uint32]Endpoint
	drainedAt    map[uint32]Micros // when a server's Draining or Removed state was first reported
	queries      map[uint64]*checkedQuery
	parts        map[uint64]*checkedPart
	inFlight     []checkedAttempt
	healthChecks []uint32 // servers whose health checks are in flight
	timers       []Micros // when they fire
	nextID       uint64
	lastNumber   uint64

	accepted     []Micros // times of the accepted queries and parts
	retries      []Micros // times of the retries
	warmingSends map[uint32][]warmingSend

	endedQueries int
	sentAttempts int

	// reconfigurations counts changes of the settings; none are made if it is negative.
	reconfigurations int

	// repeatSettings repeats the unchanged settings in every step.
	repeatSettings bool
}

// warmingSend is work sent to a server during its slow start.
type warmingSend struct {
	sentAt          Micros
	serverStartedAt Micros
	work            float64 // microseconds
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
	query       *checkedQuery
	shard       int
	weight      float64
	attempts    int
	inFlight    map[int]bool // by index of the attempt
	mayHaveRun  bool
	firstSentAt Micros
	answered    bool
}

type checkedAttempt struct {
	part   uint64
	index  int
	server uint32
	sentAt Micros
	endsAt Micros
	status Status
}

func newRuleChecker(t *testing.T, settings Settings, seed uint64) *ruleChecker {
	t.Helper()
	aggregator, err := New(settings, seed)
	require.NoError(t, err)
	c := &ruleChecker{
		test:         t,
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

func (c *ruleChecker) add(event Event) { c.events = append(c.events, event) }

func (c *ruleChecker) newID() uint64 {
	c.nextID++
	return c.nextID
}

// run makes steps with random events, then steps without new ones until all queries must have ended.
func (c *ruleChecker) run(steps int) {
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
			c.test.Fatalf("query %d got no final action", id)
		}
	}
}

func (c *ruleChecker) addRandomEvents() {
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

func (c *ruleChecker) sendEndpointList() {
	var endpoints []Endpoint
	for id := uint32(1); id < 20; id++ {
		if endpoint, ok := c.servers[id]; ok {
			endpoints = append(endpoints, endpoint)
		}
	}
	c.add(EndpointList{endpoints})
}

func (c *ruleChecker) changeServer() {
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

// reconfigure draws other classes, in another order and with other times, and other limits.
func (c *ruleChecker) reconfigure() {
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

func (c *ruleChecker) startQuery() {
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
		ID:       id,
		Number:   c.lastNumber,
		Class:    classIndex,
		Tenant:   c.random.IntN(2),
		Deadline: query.deadline,
		Parts:    parts,
		Retry:    c.random.IntN(5) == 0,
		Key:      uint64(c.random.IntN(4)),
	})
	c.accepted = append(c.accepted, c.now)
	c.addParts(query, c.lastNumber, parts)
}

func (c *ruleChecker) addParts(query *checkedQuery, number uint64, count int) {
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
			ID:       id,
			Number:   number,
			Shard:    p.shard,
			Weight:   p.weight,
			CostHint: Micros(c.random.IntN(3)-1) * 40_000,
		})
		c.accepted = append(c.accepted, c.now)
	}
}

// step reports the events that are due and checks the actions that they bring.
func (c *ruleChecker) step() {
	c.endAttempts()
	for _, server := range c.healthChecks {
		c.add(HealthCheckResult{Server: server, Status: Status(c.random.IntN(2)), Report: NoLoadReport})
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

// endAttempts reports the results of the attempts that end by now.
func (c *ruleChecker) endAttempts() {
	var remaining []checkedAttempt
	for _, attempt := range c.inFlight {
		if attempt.endsAt > c.now {
			remaining = append(remaining, attempt)
			continue
		}
		p := c.parts[attempt.part]
		delete(p.inFlight, attempt.index)
		if attempt.status != Rejected && attempt.status != ConnectFailed && attempt.status != Withdrawn {
			p.mayHaveRun = true
		}
		if attempt.status == OK && !p.query.closed {
			p.answered = true
		}
		report := NoLoadReport
		if c.random.IntN(2) == 0 {
			report.Inflight = float64(c.random.IntN(6))
		}
		c.add(AttemptResult{
			Part:    attempt.part,
			Attempt: attempt.index,
			Server:  attempt.server,
			Status:  attempt.status,
			Elapsed: c.now - attempt.sentAt,
			Report:  report,
		})
	}
	c.inFlight = remaining
}

// fireTimer reports the first timer that is due.
func (c *ruleChecker) fireTimer() {
	for i, at := range c.timers {
		if at <= c.now {
			c.add(Timer{})
			c.timers = append(c.timers[:i:i], c.timers[i+1:]...)
			return
		}
	}
}

func (c *ruleChecker) checkDeadlines() {
	for id, query := range c.queries {
		if !query.closed && c.now > query.deadline+c.settings.AnswerSlack {
			c.test.Fatalf("query %d got no final action by its deadline", id)
		}
	}
}

func (c *ruleChecker) check(action Action) {
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
		c.endQuery(action.Query)
	case HealthCheck:
		c.healthChecks = append(c.healthChecks, action.Server)
	case SetTimer:
		c.timers = append(c.timers, c.now+action.After)
	}
}

func (c *ruleChecker) cancelAttempt(action CancelAttempt) {
	for i := range c.inFlight {
		attempt := &c.inFlight[i]
		if attempt.part == action.Part && attempt.index == action.Attempt {
			attempt.endsAt = c.now
			attempt.status = Canceled
		}
	}
}

func (c *ruleChecker) endQuery(id uint64) {
	query := c.queries[id]
	if query == nil || query.closed {
		c.test.Fatalf("query %d got a second final action, or is unknown", id)
	}
	query.closed = true
	c.endedQueries++
}

func (c *ruleChecker) checkReject(action Reject) {
	query := c.queries[action.Query]
	for _, p := range query.parts {
		if query.class.Idempotency == NonIdempotent && p.hasEffect() {
			c.test.Fatalf("query %d rejected although a part of it may have run", action.Query)
		}
	}
	c.endQuery(action.Query)
}

// hasEffect reports whether an attempt at the part may have run or may still run.
func (p *checkedPart) hasEffect() bool { return p.mayHaveRun || len(p.inFlight) > 0 }

func (c *ruleChecker) checkAnswer(action Answer) {
	const tolerance = 1e-4
	query := c.queries[action.Query]
	class := query.class
	coverage := 0.0
	answered := 0
	for _, p := range query.parts {
		if p.answered {
			coverage += p.weight
			answered++
		}
	}
	required := class.RequiredCoverage
	if query.phase == fetchPhase {
		required = 1
	}
	if coverage < class.MinCoverage-tolerance {
		c.test.Fatalf("query %d answered at a coverage of %v, minimum %v", action.Query, coverage, class.MinCoverage)
	}
	isIncomplete := coverage < required-tolerance || query.phase == fetchPhase && !query.firstPhaseComplete
	if action.Complete && isIncomplete {
		c.test.Fatalf("query %d marked complete at a coverage of %v in phase %d", action.Query, coverage, query.phase)
	}
	if query.phase == firstPhase && class.FetchParts > 0 {
		query.phase = fetchPhase
		query.firstPhaseComplete = action.Complete
		number := c.aggregator.queries[action.Query].Number
		c.addParts(query, number, min(answered, class.FetchParts))
		return
	}
	c.endQuery(action.Query)
}

// checkSend checks an attempt and draws its result.
func (c *ruleChecker) checkSend(action SendAttempt) {
	p := c.parts[action.Part]
	if p.query.closed {
		c.test.Fatalf("part %d sent after its query ended", action.Part)
	}
	c.checkServer(action, p)
	c.checkSlowStart(action.Server, c.aggregator.parts[action.Part].query.class.referenceLatency)
	c.checkIdempotency(action, p)
	if p.attempts >= c.settings.MaxAttempts {
		c.test.Fatalf("part %d sent more than %d times", action.Part, c.settings.MaxAttempts)
	}
	if p.attempts > 0 {
		c.retries = append(c.retries, c.now)
		c.checkRetryBudget()
	}
	if !p.hasEffect() {
		p.firstSentAt = c.now
	}
	p.inFlight[p.attempts] = true
	c.startAttempt(action, p.attempts)
	p.attempts++
	c.sentAttempts++
}

func (c *ruleChecker) startAttempt(action SendAttempt, index int) {
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
		part:   action.Part,
		index:  index,
		server: action.Server,
		sentAt: c.now,
		endsAt: c.now + delay,
		status: status,
	})
}

func (c *ruleChecker) checkServer(action SendAttempt, p *checkedPart) {
	if at, ok := c.drainedAt[action.Server]; ok && c.now > at+c.settings.DrainGrace {
		c.test.Fatalf("part %d sent to server %d, which is draining or removed", action.Part, action.Server)
	}
	size := c.settings.RingSize
	distance := (c.servers[action.Server].RingPosition - p.shard + 2*size) % size
	if distance >= c.settings.ReplicationFactor {
		c.test.Fatalf("part %d of shard %d sent to server %d, which lacks it", action.Part, p.shard, action.Server)
	}
}

func (c *ruleChecker) checkIdempotency(action SendAttempt, p *checkedPart) {
	class := p.query.class
	if len(p.inFlight) > 0 && !c.settings.AllowHedging {
		c.test.Fatalf("part %d hedged although hedging is not allowed", action.Part)
	}
	if class.Idempotency == NonIdempotent && p.hasEffect() {
		c.test.Fatalf("non-idempotent part %d retried although it may have run", action.Part)
	}
	isTooLate := c.now > p.firstSentAt+class.DeduplicationWindow
	if class.Idempotency == IdempotentByKey && p.hasEffect() && isTooLate {
		c.test.Fatalf("part %d retried after its deduplication window", action.Part)
	}
}

func (c *ruleChecker) checkRetryBudget() {
	windowStart := c.now - c.settings.RetryBudgetWindow
	retries := countSince(c.retries, windowStart)
	accepted := countSince(c.accepted, windowStart)
	if float64(retries) > c.settings.RetryBudgetMinimum+c.settings.RetryBudgetRatio*float64(accepted) {
		c.test.Fatalf("%d retries for %d accepted queries and parts", retries, accepted)
	}
}

// checkSlowStart checks that the work sent to a warming server within the overload duration stays within this
// aggregator's share. The work is that which the aggregator has learned. Where the share is less than a part, two
// parts may fall within the duration; TestWarmingServersAreNotOverloaded checks the sum over all aggregators.
func (c *ruleChecker) checkSlowStart(id uint32, work float64) {
	server := c.servers[id]
	if server.StartedAt <= 0 || c.now >= server.StartedAt+c.settings.SlowStartDuration {
		return
	}
	c.warmingSends[id] = append(c.warmingSends[id], warmingSend{c.now, server.StartedAt, work})
	sum := 0.0
	parts := 0
	for _, sent := range c.warmingSends[id] {
		if sent.serverStartedAt == server.StartedAt && sent.sentAt > c.now-c.settings.OverloadDuration {
			sum += sent.work
			parts++
		}
	}
	progress := float64(c.now-server.StartedAt) / float64(c.settings.SlowStartDuration)
	fraction := c.settings.SlowStartFraction + (1-c.settings.SlowStartFraction)*progress
	duration := float64(c.settings.OverloadDuration)
	limit := c.settings.OverloadFactor * fraction * duration / float64(c.settings.InstanceCount)
	if sum > limit*1.001 && parts > 2 {
		c.test.Fatalf("warming server %d was sent %d parts of work %v, limit %v", id, parts, sum, limit)
	}
}

func countSince(times []Micros, from Micros) int {
	count := 0
	for _, at := range times {
		if at >= from {
			count++
		}
	}
	return count
}
