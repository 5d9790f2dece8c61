package policy

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
)

// testSettings is a small deployment with every effect, a second step, partial answers, a budget
// and cold servers.
func testSettings() Settings {
	return Settings{
		InstanceCount: 2, Tick: 5000, Shards: 6, RingSize: 6, ReplicationFactor: 3, MaxBatchSize: 1, MaxAttempts: 3, MaxOpen: 200,
		AllowCancel: true, AllowHealthChecks: true, SendRetryAfter: true, MaxRetryAfter: 400_000, OverQuotaWeight: 0.1,
		AnswerSlack: 20_000, DrainGrace: 250_000, SlowStartFraction: 0.2, SlowStartDuration: 10_000_000, OverloadFactor: 2,
		OverloadDuration: 1_000_000, RetryBudgetWindow: 10_000_000, RetryBudgetMinimum: 3, RetryBudgetRatio: 0.1, PriceHealthCheck: 0.01,
		Tenants: []Tenant{{"a", 5}, {"b", 5}},
		Classes: []Class{
			{Name: "safe", LatencyObjective: 2_000_000, Timeout: 6_000_000, PriorityWeight: 1, MinCoverage: 1, RequiredCoverage: 1},
			{Name: "some", LatencyObjective: 2_000_000, Timeout: 6_000_000, PriorityWeight: 2, MinCoverage: 0.6, RequiredCoverage: 0.6, LateWeight: 0.1},
			{Name: "once", LatencyObjective: 2_000_000, Timeout: 4_000_000, PriorityWeight: 1, LateWeight: 0.3, Idempotency: NonIdempotent, MinCoverage: 1, RequiredCoverage: 1},
			{Name: "keyed", LatencyObjective: 2_000_000, Timeout: 6_000_000, PriorityWeight: 1, Idempotency: IdempotentByKey, DeduplicationWindow: 1_000_000, MinCoverage: 1, RequiredCoverage: 1},
			{Name: "two", LatencyObjective: 2_000_000, Timeout: 5_000_000, PriorityWeight: 2, LateWeight: 0.1, MinCoverage: 0.8, RequiredCoverage: 1, PartialWeight: 0.9, FetchParts: 3},
		},
	}
}

// world hands an aggregator arbitrary legal events and checks the rules on what it does. It is no
// model of servers: outcomes and delays are drawn at random.
type world struct {
	t       *testing.T
	set     Settings
	rng     *rand.Rand
	now     Micros
	agg     *Aggregator
	events  []Event
	servers map[uint32]Endpoint
	told    map[uint32]Micros // when a server was first told to drain or be gone
	queries map[uint64]*wquery
	parts   map[uint64]*wpart
	pending []wattempt
	wakes   []Micros
	nextID  uint64
	number  uint64
	taken   []Micros
	further []Micros
	cold    map[uint32][]wspend
	probing []uint32
	acts    []Action
	ended   int
	sends   int
	changes int  // of the settings; below 0: none are made
	same    bool // each turn the settings are handed in once more, unchanged
}

type wspend struct {
	at, started Micros
	work        float64
}

type wquery struct {
	cls      Class // as it was taken
	deadline Micros
	step     int
	whole    bool
	over     bool
	parts    []*wpart
}

type wpart struct {
	q      *wquery
	shard  int
	weight float64
	tries  int
	live   map[int]bool
	ran    bool
	first  Micros
	in     bool
}

type wattempt struct {
	due    Micros
	id     uint64
	try    int
	server uint32
	sent   Micros
	status Status
}

func newWorld(t *testing.T, set Settings, seed uint64) *world {
	agg, err := New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	w := &world{
		t: t, set: set, rng: rand.New(rand.NewPCG(seed, 1)), now: 50_000_000, agg: agg, nextID: 100,
		servers: map[uint32]Endpoint{}, told: map[uint32]Micros{}, queries: map[uint64]*wquery{},
		parts: map[uint64]*wpart{}, cold: map[uint32][]wspend{},
	}
	for i := range 8 {
		w.servers[uint32(i+1)] = Endpoint{ID: uint32(i + 1), State: Ready, RingPosition: i % set.RingSize, Capacity: 1}
	}
	w.list()
	return w
}

func (w *world) list() {
	var out []Endpoint
	for i := uint32(1); i < 20; i++ {
		if s, ok := w.servers[i]; ok {
			out = append(out, s)
		}
	}
	w.events = append(w.events, EndpointList{out})
}

func (w *world) id() uint64 { w.nextID++; return w.nextID }

func (w *world) churn() {
	id := uint32(w.rng.IntN(8) + 1)
	s := w.servers[id]
	switch w.rng.IntN(6) {
	case 0:
		s.State = Draining
	case 1:
		s.State = Removed
	default:
		s.State, s.StartedAt = Ready, w.now-Micros(w.rng.IntN(20_000_000))
	}
	if s.State == Ready {
		delete(w.told, id)
	} else if _, ok := w.told[id]; !ok {
		w.told[id] = w.now
	}
	w.servers[id] = s
	w.list()
}

// reconfigure draws other terms: classes in another order, some of them gone, with other times; other limits.
func (w *world) reconfigure() {
	w.changes++
	set, all := w.set, testSettings().Classes
	set.Classes = nil
	for _, i := range w.rng.Perm(len(all))[:1+w.rng.IntN(len(all))] {
		c := all[i]
		c.LatencyObjective, c.Timeout = c.LatencyObjective*Micros(5+w.rng.IntN(10))/10, c.Timeout*Micros(15+w.rng.IntN(10))/10
		set.Classes = append(set.Classes, c)
	}
	set.Shards, set.ReplicationFactor, set.MaxAttempts = 4+w.rng.IntN(4), 2+w.rng.IntN(2), 2+w.rng.IntN(3)
	set.AllowHedging, set.RetryBudgetRatio = w.rng.IntN(2) == 0, 0.05*float64(1+w.rng.IntN(3))
	w.events = append(w.events, Reconfigure{set})
	if w.rng.IntN(4) == 0 { // one that cannot be used must change nothing
		bad := set
		bad.Classes = nil
		w.events = append(w.events, Reconfigure{bad})
	}
	w.set = set
}

func (w *world) query() {
	c := w.rng.IntN(len(w.set.Classes))
	cls := w.set.Classes[c]
	n := w.rng.IntN(5) + 1
	w.number++
	id := w.id()
	q := &wquery{cls: cls, step: 1, deadline: w.now + cls.Timeout*Micros(60+w.rng.IntN(41))/100}
	w.queries[id] = q
	w.events = append(w.events, Query{
		ID: id, Number: w.number, Class: c, Tenant: w.rng.IntN(2), Deadline: q.deadline,
		Parts: n, Retry: w.rng.IntN(5) == 0, Key: uint64(w.rng.IntN(4)),
	})
	w.taken = append(w.taken, w.now)
	w.addParts(q, w.number, n)
}

func (w *world) addParts(q *wquery, number uint64, n int) {
	q.parts = nil
	start := w.rng.IntN(w.set.Shards)
	for i := range n {
		id := w.id()
		p := &wpart{q: q, shard: (start + i) % w.set.Shards, weight: 1 / float64(n), live: map[int]bool{}}
		w.parts[id] = p
		q.parts = append(q.parts, p)
		w.events = append(w.events, Part{
			ID: id, Number: number, Shard: p.shard, Weight: p.weight,
			CostHint: Micros(w.rng.IntN(3)-1) * 40_000,
		})
		w.taken = append(w.taken, w.now)
	}
}

func (w *world) run(turns int) {
	for range turns {
		w.now += w.set.Tick * Micros(1+w.rng.IntN(3))
		if w.rng.IntN(4) == 0 {
			w.query()
		}
		if w.changes >= 0 && w.rng.IntN(60) == 0 {
			w.reconfigure()
		}
		if w.rng.IntN(120) == 0 {
			w.churn()
		} else if w.set.PollEndpoints && w.rng.IntN(40) == 0 { // a failed call, then the same list once more
			w.events = append(w.events, EndpointListFailed{})
			w.list()
		}
		w.turn()
	}
	for range 3000 { // let all end
		w.now += w.set.Tick
		w.turn()
	}
	for id, q := range w.queries {
		if !q.over {
			w.t.Fatalf("query %d never got a final answer", id)
		}
	}
}

func (w *world) turn() {
	var rest []wattempt
	for _, a := range w.pending {
		if a.due > w.now {
			rest = append(rest, a)
			continue
		}
		p := w.parts[a.id]
		delete(p.live, a.try)
		if a.status != Rejected && a.status != ConnectFailed && a.status != Withdrawn {
			p.ran = true
		}
		if a.status == OK && !p.q.over {
			p.in = true
		}
		r := NoLoadReport
		if w.rng.IntN(2) == 0 {
			r.Inflight = float64(w.rng.IntN(6))
		}
		w.events = append(w.events, AttemptResult{
			Part: a.id, Attempt: a.try, Server: a.server, Status: a.status,
			Elapsed: w.now - a.sent, Report: r,
		})
	}
	w.pending = rest
	for _, s := range w.probing {
		w.events = append(w.events, HealthCheckResult{Server: s, Status: Status(w.rng.IntN(2)), Report: NoLoadReport})
	}
	w.probing = nil
	for i, at := range w.wakes {
		if at <= w.now {
			w.events = append(w.events, Timer{})
			w.wakes = append(w.wakes[:i:i], w.wakes[i+1:]...)
			break
		}
	}
	for id, q := range w.queries {
		if !q.over && w.now > q.deadline+w.set.AnswerSlack {
			w.t.Fatalf("query %d got no final answer in time", id)
		}
	}
	if w.same {
		w.events = append(w.events, Reconfigure{w.set})
	}
	acts := w.agg.Step(w.now, w.events)
	w.events = nil
	for _, a := range acts {
		w.check(a)
	}
	w.acts = append(w.acts, acts...)
}

func (w *world) check(act Action) {
	switch a := act.(type) {
	case SendAttempt:
		w.send(a)
	case CancelAttempt:
		for i := range w.pending {
			if w.pending[i].id == a.Part && w.pending[i].try == a.Attempt {
				w.pending[i].due, w.pending[i].status = w.now, Canceled
			}
		}
	case Answer:
		w.answer(a)
	case Reject:
		q := w.queries[a.Query]
		for _, p := range q.parts {
			if q.cls.Idempotency == NonIdempotent && (p.ran || len(p.live) > 0) {
				w.t.Fatalf("query %d refused though a part of it may have run", a.Query)
			}
		}
		w.end(a.Query)
	case Fail:
		w.end(a.Query)
	case HealthCheck:
		w.probing = append(w.probing, a.Server)
	case SetTimer:
		w.wakes = append(w.wakes, w.now+a.After)
	}
}

func (w *world) end(id uint64) {
	q := w.queries[id]
	if q == nil || q.over {
		w.t.Fatalf("query %d got a second final answer, or was never handed over", id)
	}
	q.over = true
	w.ended++
}

func (w *world) answer(a Answer) {
	q := w.queries[a.Query]
	got := 0.0
	n := 0
	for _, p := range q.parts {
		if p.in {
			got += p.weight
			n++
		}
	}
	cls := q.cls
	need := cls.RequiredCoverage
	if q.step == 2 {
		need = 1
	}
	if got < cls.MinCoverage-1e-4 {
		w.t.Fatalf("query %d answered from a share of %v, least is %v", a.Query, got, cls.MinCoverage)
	}
	if a.Complete && (got < need-1e-4 || q.step == 2 && !q.whole) {
		w.t.Fatalf("query %d marked whole from a share of %v at step %d", a.Query, got, q.step)
	}
	if q.step == 1 && cls.FetchParts > 0 {
		q.step, q.whole = 2, a.Complete
		number := w.numberOf(a.Query)
		w.addParts(q, number, min(n, cls.FetchParts))
		return
	}
	w.end(a.Query)
}

func (w *world) numberOf(id uint64) uint64 { return w.agg.queries[id].Number }

func (w *world) send(a SendAttempt) {
	p := w.parts[a.Part]
	cls := p.q.cls
	if p.q.over {
		w.t.Fatalf("part %d sent after its query ended", a.Part)
	}
	if at, ok := w.told[a.Server]; ok && w.now > at+w.set.DrainGrace {
		w.t.Fatalf("part %d sent to server %d that drains or is gone", a.Part, a.Server)
	}
	if s := w.servers[a.Server]; (s.RingPosition-p.shard+2*w.set.RingSize)%w.set.RingSize >= w.set.ReplicationFactor {
		w.t.Fatalf("part %d of shard %d sent to a server without it", a.Part, p.shard)
	}
	w.chill(a.Server, w.agg.parts[a.Part].query.class.referenceLatency)
	if len(p.live) > 0 && !w.set.AllowHedging {
		w.t.Fatalf("part %d has two attempts out", a.Part)
	}
	if cls.Idempotency == NonIdempotent && (p.ran || len(p.live) > 0) {
		w.t.Fatalf("unsafe part %d sent again though it may have run", a.Part)
	}
	if cls.Idempotency == IdempotentByKey && (p.ran || len(p.live) > 0) && w.now > p.first+cls.DeduplicationWindow {
		w.t.Fatalf("keyed part %d sent again after its window", a.Part)
	}
	if p.tries >= w.set.MaxAttempts {
		w.t.Fatalf("part %d sent more than %d times", a.Part, w.set.MaxAttempts)
	}
	if p.tries > 0 {
		w.further = append(w.further, w.now)
		n, m := since(w.further, w.now-w.set.RetryBudgetWindow), since(w.taken, w.now-w.set.RetryBudgetWindow)
		if float64(n) > w.set.RetryBudgetMinimum+w.set.RetryBudgetRatio*float64(m) {
			w.t.Fatalf("%d further attempts for %d taken", n, m)
		}
	}
	if !p.ran && len(p.live) == 0 {
		p.first = w.now
	}
	p.live[p.tries] = true
	status := OK
	if w.rng.IntN(3) == 0 {
		status = Status(w.rng.IntN(8))
	}
	delay := min(Micros(10_000+w.rng.IntN(300_000))*Micros(1+w.rng.IntN(3)*w.rng.IntN(8)), max(a.Timeout, 1))
	if status == TimedOut {
		delay = max(a.Timeout, 1)
	}
	w.pending = append(w.pending, wattempt{w.now + delay, a.Part, p.tries, a.Server, w.now, status})
	p.tries++
	w.sends++
}

// chill adds up what a cold server gets within the rule's span, in the work that the aggregator has learned
// of, against this aggregator's part of what the server bears. Where that is under one part, two turns may meet
// within a span; TestRuleColdServersAreNotPushedOver holds the sum over all aggregators.
func (w *world) chill(id uint32, work float64) {
	s := w.servers[id]
	if s.StartedAt <= 0 || w.now >= s.StartedAt+w.set.SlowStartDuration {
		return
	}
	w.cold[id] = append(w.cold[id], wspend{w.now, s.StartedAt, work})
	sum, n := 0.0, 0
	for _, e := range w.cold[id] {
		if e.started == s.StartedAt && e.at > w.now-w.set.OverloadDuration {
			sum += e.work
			n++
		}
	}
	share := w.set.SlowStartFraction + (1-w.set.SlowStartFraction)*float64(w.now-s.StartedAt)/float64(w.set.SlowStartDuration)
	limit := w.set.OverloadFactor * share * float64(w.set.OverloadDuration) / float64(w.set.InstanceCount)
	if sum > limit*1.001 && n > 2 {
		w.t.Fatalf("cold server %d was sent %d parts of work %v within the span, its part is %v", id, n, sum, limit)
	}
}

func since(times []Micros, from Micros) int {
	n := 0
	for _, t := range times {
		if t >= from {
			n++
		}
	}
	return n
}

// TestRulesHoldUnderAnything asserts the rules under arbitrary legal events, with and without
// second copies, cancelling and changes of the settings, and that the same events bring the same actions.
func TestRulesHoldUnderAnything(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			set := testSettings()
			set.AllowHedging = seed%2 == 0
			set.AllowCancel = seed%3 != 0
			set.InstanceCount = []int{2, 11, 32, 90}[seed%4]
			set.PollEndpoints, set.PollInterval = seed%2 == 1, 10_000_000
			if seed%5 == 0 {
				set.Tenants = nil
			}
			if seed%4 < 2 {
				set.MaxBatchSize, set.BatchOverhead = 4, 100_000
			}
			set.InstanceIndex = int(seed) % set.InstanceCount
			var first []Action
			for round := range 2 {
				w := newWorld(t, set, seed)
				if seed < 16 {
					w.changes = -1
				}
				w.run(2000)
				if seed >= 16 && w.changes < 10 {
					t.Fatalf("only %d changes: the test saw nothing", w.changes)
				}
				if w.ended < 100 || w.sends < 150 {
					t.Fatalf("only %d queries ended and %d attempts were sent: the test saw nothing", w.ended, w.sends)
				}
				if round == 0 {
					first = w.acts
				} else if !reflect.DeepEqual(first, w.acts) {
					t.Fatal("the same events brought other actions")
				}
			}
		})
	}
}

// TestTheSameSettingsAgainChangeNothing compares a run in which every turn hands in the settings once more with one
// that never does: whatever a change forgot (latencies, outliers, cold starts, budgets, what is out) would show.
func TestTheSameSettingsAgainChangeNothing(t *testing.T) {
	for seed := range uint64(4) {
		set := testSettings()
		set.AllowHedging, set.InstanceIndex = seed%2 == 0, int(seed%2)
		run := func(same bool) []Action {
			w := newWorld(t, set, seed)
			w.changes, w.same = -1, same
			w.run(600)
			return w.acts
		}
		if !reflect.DeepEqual(run(false), run(true)) {
			t.Fatalf("seed %d: the same settings handed in again change what is done", seed)
		}
	}
}

// TestOpenQueriesKeepTheTermsTheyWereTakenBy shortens a class while one of its queries is out, and takes it away.
func TestOpenQueriesKeepTheTermsTheyWereTakenBy(t *testing.T) {
	set := testSettings()
	set.Classes = set.Classes[:2]
	a, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	servers := []Endpoint{{ID: 1, State: Ready, RingPosition: 0}, {ID: 2, State: Ready, RingPosition: 1}}
	a.Step(1_000_000, []Event{
		EndpointList{servers},
		Query{ID: 7, Number: 7, Deadline: 7_000_000, Parts: 1},
		Part{ID: 8, Number: 7, Shard: 1, Weight: 1},
	})
	short := set
	short.Classes = []Class{set.Classes[1]} // "safe" is gone, and what was number 1 is now number 0
	acts := a.Step(1_010_000, []Event{Reconfigure{short}})
	acts = append(acts, a.Step(2_500_000, []Event{Timer{}})...)
	for _, act := range acts {
		switch act.(type) {
		case Reject, Fail, Answer:
			t.Fatalf("the open query was ended by the change: %#v", act)
		}
	}
	acts = a.Step(2_600_000, []Event{
		AttemptResult{Part: 8, Server: 1, Status: OK, Report: NoLoadReport},
		AttemptResult{Part: 8, Server: 2, Status: OK, Report: NoLoadReport},
	})
	if !slices.Contains(acts, Action(Answer{Query: 7, Complete: true})) {
		t.Fatalf("the open query was not answered as it was taken: %#v", acts)
	}
	acts = a.Step(2_700_000, []Event{Query{ID: 9, Number: 9, Class: 1, Deadline: 9_000_000, Parts: 1}})
	if !slices.Contains(acts, Action(Reject{Query: 9})) {
		t.Fatalf("a query of a class that is no more was taken: %#v", acts)
	}
}
