package policy

import (
	"math/rand/v2"
	"testing"
)

// ruleChecker hands an aggregator arbitrary legal events and checks the rules on what it does. It is no
// model of servers: outcomes and delays are drawn at random.
type ruleChecker struct {
	test             *testing.T
	settings         Settings
	random           *rand.Rand
	now              Micros
	aggregator       *Aggregator
	events           []Event
	servers          map[uint32]Endpoint
	drainedAt        map[uint32]Micros // when a server was first told to drain or be gone
	queries          map[uint64]*checkedQuery
	parts            map[uint64]*checkedPart
	inFlight         []checkedAttempt
	timers           []Micros
	nextID           uint64
	lastNumber       uint64
	accepted         []Micros
	retries          []Micros
	warmingSends     map[uint32][]warmingSend
	healthChecks     []uint32
	actions          []Action
	endedQueries     int
	sentAttempts     int
	reconfigurations int  // of the settings; below 0: none are made
	repeatSettings   bool // each turn the settings are handed in once more, unchanged
}

type warmingSend struct {
	sentAt, serverStartedAt Micros
	work                    float64
}

type checkedQuery struct {
	class              Class // as it was taken
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
	inFlight    map[int]bool
	mayHaveRun  bool
	firstSentAt Micros
	answered    bool
}

type checkedAttempt struct {
	endsAt Micros
	part   uint64
	index  int
	server uint32
	sentAt Micros
	status Status
}

func newRuleChecker(t *testing.T, set Settings, seed uint64) *ruleChecker {
	agg, err := New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	w := &ruleChecker{
		test: t, settings: set, random: rand.New(rand.NewPCG(seed, 1)), now: 50_000_000, aggregator: agg, nextID: 100,
		servers: map[uint32]Endpoint{}, drainedAt: map[uint32]Micros{}, queries: map[uint64]*checkedQuery{},
		parts: map[uint64]*checkedPart{}, warmingSends: map[uint32][]warmingSend{},
	}
	for i := range 8 {
		w.servers[uint32(i+1)] = Endpoint{ID: uint32(i + 1), State: Ready, RingPosition: i % set.RingSize, Capacity: 1}
	}
	w.sendEndpointList()
	return w
}

func (w *ruleChecker) sendEndpointList() {
	var out []Endpoint
	for i := uint32(1); i < 20; i++ {
		if s, ok := w.servers[i]; ok {
			out = append(out, s)
		}
	}
	w.events = append(w.events, EndpointList{out})
}

func (w *ruleChecker) newID() uint64 { w.nextID++; return w.nextID }

func (w *ruleChecker) changeServer() {
	id := uint32(w.random.IntN(8) + 1)
	s := w.servers[id]
	switch w.random.IntN(6) {
	case 0:
		s.State = Draining
	case 1:
		s.State = Removed
	default:
		s.State, s.StartedAt = Ready, w.now-Micros(w.random.IntN(20_000_000))
	}
	if s.State == Ready {
		delete(w.drainedAt, id)
	} else if _, ok := w.drainedAt[id]; !ok {
		w.drainedAt[id] = w.now
	}
	w.servers[id] = s
	w.sendEndpointList()
}

// reconfigure draws other terms: classes in another order, some of them gone, with other times; other limits.
func (w *ruleChecker) reconfigure() {
	w.reconfigurations++
	set, all := w.settings, testSettings().Classes
	set.Classes = nil
	for _, i := range w.random.Perm(len(all))[:1+w.random.IntN(len(all))] {
		c := all[i]
		c.LatencyObjective, c.Timeout = c.LatencyObjective*Micros(5+w.random.IntN(10))/10, c.Timeout*Micros(15+w.random.IntN(10))/10
		set.Classes = append(set.Classes, c)
	}
	set.Shards, set.ReplicationFactor, set.MaxAttempts = 4+w.random.IntN(4), 2+w.random.IntN(2), 2+w.random.IntN(3)
	set.AllowHedging, set.RetryBudgetRatio = w.random.IntN(2) == 0, 0.05*float64(1+w.random.IntN(3))
	w.events = append(w.events, Reconfigure{set})
	if w.random.IntN(4) == 0 { // one that cannot be used must change nothing
		bad := set
		bad.Classes = nil
		w.events = append(w.events, Reconfigure{bad})
	}
	w.settings = set
}

func (w *ruleChecker) startQuery() {
	c := w.random.IntN(len(w.settings.Classes))
	cls := w.settings.Classes[c]
	n := w.random.IntN(5) + 1
	w.lastNumber++
	id := w.newID()
	q := &checkedQuery{class: cls, phase: 1, deadline: w.now + cls.Timeout*Micros(60+w.random.IntN(41))/100}
	w.queries[id] = q
	w.events = append(w.events, Query{
		ID: id, Number: w.lastNumber, Class: c, Tenant: w.random.IntN(2), Deadline: q.deadline,
		Parts: n, Retry: w.random.IntN(5) == 0, Key: uint64(w.random.IntN(4)),
	})
	w.accepted = append(w.accepted, w.now)
	w.addParts(q, w.lastNumber, n)
}

func (w *ruleChecker) addParts(q *checkedQuery, number uint64, n int) {
	q.parts = nil
	start := w.random.IntN(w.settings.Shards)
	for i := range n {
		id := w.newID()
		p := &checkedPart{query: q, shard: (start + i) % w.settings.Shards, weight: 1 / float64(n), inFlight: map[int]bool{}}
		w.parts[id] = p
		q.parts = append(q.parts, p)
		w.events = append(w.events, Part{
			ID: id, Number: number, Shard: p.shard, Weight: p.weight,
			CostHint: Micros(w.random.IntN(3)-1) * 40_000,
		})
		w.accepted = append(w.accepted, w.now)
	}
}

func (w *ruleChecker) run(turns int) {
	for range turns {
		w.now += w.settings.Tick * Micros(1+w.random.IntN(3))
		if w.random.IntN(4) == 0 {
			w.startQuery()
		}
		if w.reconfigurations >= 0 && w.random.IntN(60) == 0 {
			w.reconfigure()
		}
		if w.random.IntN(120) == 0 {
			w.changeServer()
		} else if w.settings.PollEndpoints && w.random.IntN(40) == 0 { // a failed call, then the same list once more
			w.events = append(w.events, EndpointListFailed{})
			w.sendEndpointList()
		}
		w.step()
	}
	for range 3000 { // let all end
		w.now += w.settings.Tick
		w.step()
	}
	for id, q := range w.queries {
		if !q.closed {
			w.test.Fatalf("query %d never got a final answer", id)
		}
	}
}

func (w *ruleChecker) step() {
	var rest []checkedAttempt
	for _, a := range w.inFlight {
		if a.endsAt > w.now {
			rest = append(rest, a)
			continue
		}
		p := w.parts[a.part]
		delete(p.inFlight, a.index)
		if a.status != Rejected && a.status != ConnectFailed && a.status != Withdrawn {
			p.mayHaveRun = true
		}
		if a.status == OK && !p.query.closed {
			p.answered = true
		}
		r := NoLoadReport
		if w.random.IntN(2) == 0 {
			r.Inflight = float64(w.random.IntN(6))
		}
		w.events = append(w.events, AttemptResult{
			Part: a.part, Attempt: a.index, Server: a.server, Status: a.status,
			Elapsed: w.now - a.sentAt, Report: r,
		})
	}
	w.inFlight = rest
	for _, s := range w.healthChecks {
		w.events = append(w.events, HealthCheckResult{Server: s, Status: Status(w.random.IntN(2)), Report: NoLoadReport})
	}
	w.healthChecks = nil
	for i, at := range w.timers {
		if at <= w.now {
			w.events = append(w.events, Timer{})
			w.timers = append(w.timers[:i:i], w.timers[i+1:]...)
			break
		}
	}
	for id, q := range w.queries {
		if !q.closed && w.now > q.deadline+w.settings.AnswerSlack {
			w.test.Fatalf("query %d got no final answer in time", id)
		}
	}
	if w.repeatSettings {
		w.events = append(w.events, Reconfigure{w.settings})
	}
	acts := w.aggregator.Step(w.now, w.events)
	w.events = nil
	for _, a := range acts {
		w.check(a)
	}
	w.actions = append(w.actions, acts...)
}

func (w *ruleChecker) check(act Action) {
	switch a := act.(type) {
	case SendAttempt:
		w.checkSend(a)
	case CancelAttempt:
		for i := range w.inFlight {
			if w.inFlight[i].part == a.Part && w.inFlight[i].index == a.Attempt {
				w.inFlight[i].endsAt, w.inFlight[i].status = w.now, Canceled
			}
		}
	case Answer:
		w.checkAnswer(a)
	case Reject:
		q := w.queries[a.Query]
		for _, p := range q.parts {
			if q.class.Idempotency == NonIdempotent && (p.mayHaveRun || len(p.inFlight) > 0) {
				w.test.Fatalf("query %d refused though a part of it may have run", a.Query)
			}
		}
		w.endQuery(a.Query)
	case Fail:
		w.endQuery(a.Query)
	case HealthCheck:
		w.healthChecks = append(w.healthChecks, a.Server)
	case SetTimer:
		w.timers = append(w.timers, w.now+a.After)
	}
}

func (w *ruleChecker) endQuery(id uint64) {
	q := w.queries[id]
	if q == nil || q.closed {
		w.test.Fatalf("query %d got a second final answer, or was never handed over", id)
	}
	q.closed = true
	w.endedQueries++
}

func (w *ruleChecker) checkAnswer(a Answer) {
	q := w.queries[a.Query]
	got := 0.0
	n := 0
	for _, p := range q.parts {
		if p.answered {
			got += p.weight
			n++
		}
	}
	cls := q.class
	need := cls.RequiredCoverage
	if q.phase == 2 {
		need = 1
	}
	if got < cls.MinCoverage-1e-4 {
		w.test.Fatalf("query %d answered from a share of %v, least is %v", a.Query, got, cls.MinCoverage)
	}
	if a.Complete && (got < need-1e-4 || q.phase == 2 && !q.firstPhaseComplete) {
		w.test.Fatalf("query %d marked whole from a share of %v at step %d", a.Query, got, q.phase)
	}
	if q.phase == 1 && cls.FetchParts > 0 {
		q.phase, q.firstPhaseComplete = 2, a.Complete
		number := w.numberOf(a.Query)
		w.addParts(q, number, min(n, cls.FetchParts))
		return
	}
	w.endQuery(a.Query)
}

func (w *ruleChecker) numberOf(id uint64) uint64 { return w.aggregator.queries[id].Number }

func (w *ruleChecker) checkSend(a SendAttempt) {
	p := w.parts[a.Part]
	cls := p.query.class
	if p.query.closed {
		w.test.Fatalf("part %d sent after its query ended", a.Part)
	}
	if at, ok := w.drainedAt[a.Server]; ok && w.now > at+w.settings.DrainGrace {
		w.test.Fatalf("part %d sent to server %d that drains or is gone", a.Part, a.Server)
	}
	if s := w.servers[a.Server]; (s.RingPosition-p.shard+2*w.settings.RingSize)%w.settings.RingSize >= w.settings.ReplicationFactor {
		w.test.Fatalf("part %d of shard %d sent to a server without it", a.Part, p.shard)
	}
	w.checkSlowStart(a.Server, w.aggregator.parts[a.Part].query.class.referenceLatency)
	if len(p.inFlight) > 0 && !w.settings.AllowHedging {
		w.test.Fatalf("part %d has two attempts out", a.Part)
	}
	if cls.Idempotency == NonIdempotent && (p.mayHaveRun || len(p.inFlight) > 0) {
		w.test.Fatalf("unsafe part %d sent again though it may have run", a.Part)
	}
	if cls.Idempotency == IdempotentByKey && (p.mayHaveRun || len(p.inFlight) > 0) && w.now > p.firstSentAt+cls.DeduplicationWindow {
		w.test.Fatalf("keyed part %d sent again after its window", a.Part)
	}
	if p.attempts >= w.settings.MaxAttempts {
		w.test.Fatalf("part %d sent more than %d times", a.Part, w.settings.MaxAttempts)
	}
	if p.attempts > 0 {
		w.retries = append(w.retries, w.now)
		n, m := countSince(w.retries, w.now-w.settings.RetryBudgetWindow), countSince(w.accepted, w.now-w.settings.RetryBudgetWindow)
		if float64(n) > w.settings.RetryBudgetMinimum+w.settings.RetryBudgetRatio*float64(m) {
			w.test.Fatalf("%d further attempts for %d taken", n, m)
		}
	}
	if !p.mayHaveRun && len(p.inFlight) == 0 {
		p.firstSentAt = w.now
	}
	p.inFlight[p.attempts] = true
	status := OK
	if w.random.IntN(3) == 0 {
		status = Status(w.random.IntN(8))
	}
	delay := min(Micros(10_000+w.random.IntN(300_000))*Micros(1+w.random.IntN(3)*w.random.IntN(8)), max(a.Timeout, 1))
	if status == TimedOut {
		delay = max(a.Timeout, 1)
	}
	w.inFlight = append(w.inFlight, checkedAttempt{w.now + delay, a.Part, p.attempts, a.Server, w.now, status})
	p.attempts++
	w.sentAttempts++
}

// checkSlowStart adds up what a cold server gets within the rule's span, in the work that the aggregator has learned
// of, against this aggregator's part of what the server bears. Where that is under one part, two turns may meet
// within a span; TestRuleColdServersAreNotPushedOver holds the sum over all aggregators.
func (w *ruleChecker) checkSlowStart(id uint32, work float64) {
	s := w.servers[id]
	if s.StartedAt <= 0 || w.now >= s.StartedAt+w.settings.SlowStartDuration {
		return
	}
	w.warmingSends[id] = append(w.warmingSends[id], warmingSend{w.now, s.StartedAt, work})
	sum, n := 0.0, 0
	for _, e := range w.warmingSends[id] {
		if e.serverStartedAt == s.StartedAt && e.sentAt > w.now-w.settings.OverloadDuration {
			sum += e.work
			n++
		}
	}
	share := w.settings.SlowStartFraction + (1-w.settings.SlowStartFraction)*float64(w.now-s.StartedAt)/float64(w.settings.SlowStartDuration)
	limit := w.settings.OverloadFactor * share * float64(w.settings.OverloadDuration) / float64(w.settings.InstanceCount)
	if sum > limit*1.001 && n > 2 {
		w.test.Fatalf("cold server %d was sent %d parts of work %v within the span, its part is %v", id, n, sum, limit)
	}
}

func countSince(times []Micros, from Micros) int {
	n := 0
	for _, t := range times {
		if t >= from {
			n++
		}
	}
	return n
}
