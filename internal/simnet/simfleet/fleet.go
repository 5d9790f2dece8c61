// Package simfleet plays many decision modules that meet the same stores, in virtual time. It shows what no test of
// one module can: sums over a whole fleet. Gatherers are policy.Aggregators, one each, that share nothing; stores are
// stand-ins; between them is a simnet.Net, whose faults a test causes.
package simfleet

import (
	"math"
	"math/rand/v2"
	"slices"

	"alderproxy/internal/simnet"
	"alderproxy/policy"
)

// Micros is the decisions' unit of time.
type Micros = policy.Micros

// Plan is a fleet and what is asked of it.
type Plan struct {
	Seed      uint64
	Settings  policy.Settings // Number is each gatherer's own, Fleet follows from Gatherers
	Gatherers int
	Machines  func(i int, rng *rand.Rand) Machine // of store i
	Replicas  int                                 // stores a cell
	Link      simnet.Link
	Rate      func(now Micros) float64 // queries a second over the whole fleet; now counts from 0
	Mix       []Kind                   // by class
	Skew      float64                  // of shards: the weight of the i-th is (1+i)^-Skew
	Uneven    float64                  // of gatherers: the deviation of the logarithm of their shares of the queries
	Plain     bool                     // gatherers choose replicas at random and do nothing else: the yardstick
}

// Kind is how a class's queries are made.
type Kind struct {
	Share, Spread float64 // of the queries; coefficient of variation of a part's work
	Least, Most   int     // parts
	Work          Micros  // mean, of a part
}

// meanWork is that of a part.
func (p Plan) meanWork() float64 {
	work, parts := 0.0, 0.0
	for _, k := range p.Mix {
		n := k.Share * float64(k.Least+k.Most) / 2
		work, parts = work+n*float64(k.Work), parts+n
	}
	return work / parts
}

// Result sums up a run.
type Result struct {
	Asked, Served, Refused, Failed, Late float64 // worth
	Queries, Parts, Sends, Cancels       int
	Probes, Conns, Full                  int
	Work, Wasted                         float64
	Fell                                 int       // cold stores that were pushed over
	Peak, Excess                         float64   // the worst of StoreStats.Peak, of StoreStats.Excess
	Seconds                              []Second  // by arrival
	ByClass                              []float64 // share of the worth served
	Digest                               uint64
}

// Second is one second of a run.
type Second struct{ Asked, Served, Refused, Failed float64 }

// Share is the part of the worth that was served in time.
func (r Result) Share() float64 { return r.Served / math.Max(r.Asked, 1e-9) }

// Fleet is a plan being played.
type Fleet struct {
	Net    *simnet.Net
	Stores []*Store
	Nodes  []*Node

	plan   Plan
	rng    *rand.Rand // of what clients ask for, so that other decisions meet the same day
	shards []float64  // cumulated weights
	nodes  []float64  // the same
	result Result
	asked  []float64
	served []float64
}

// Node is one gatherer. Its party has the number of its place.
type Node struct {
	fleet *Fleet
	me    simnet.Party
	agg   *policy.Aggregator
	conns map[uint32]Micros // stores with a connection, and when it was last used
	open  map[uint64]*query
	parts map[uint64]*part
	next  uint64
	life  int
}

type query struct {
	id    uint64
	class int
	began Micros
	end   Micros
	parts []*part
	timed bool
}

type part struct {
	id    uint64
	shard int
	work  float64
	q     *query
	tries []*try
	in    bool
}

type try struct {
	over   bool
	server uint32
	at     Micros
}

const storesFrom simnet.Party = 100_000

// New sets a plan up. Nothing happens before Run.
func New(p Plan) *Fleet {
	p.Settings.InstanceCount = p.Gatherers
	f := &Fleet{Net: simnet.New(p.Seed, p.Link), plan: p, rng: rand.New(rand.NewPCG(p.Seed, 1)), asked: make([]float64, len(p.Mix)), served: make([]float64, len(p.Mix))}
	sum := 0.0
	for i := range p.Settings.Shards {
		sum += math.Pow(float64(1+i), -p.Skew)
		f.shards = append(f.shards, sum)
	}
	for i := range p.Settings.RingSize * p.Replicas {
		f.AddStore(i%p.Settings.RingSize, 0)
	}
	sum = 0
	for i := range p.Gatherers {
		sum += math.Exp(p.Uneven * f.rng.NormFloat64())
		f.nodes = append(f.nodes, sum)
		n := &Node{fleet: f, me: simnet.Party(i)}
		f.Nodes = append(f.Nodes, n)
		n.start()
	}
	f.Net.After(-1, 0, f.arrive)
	return f
}

// AddStore adds a store to a cell, started at a moment, or long ago if that is 0. The caller tells the gatherers by List.
func (f *Fleet) AddStore(cell int, started Micros) *Store {
	i := len(f.Stores)
	rng := rand.New(rand.NewPCG(f.plan.Seed, uint64(i)+7))
	s := &Store{
		Machine: f.plan.Machines(i, rng), net: f.Net, me: storesFrom + simnet.Party(i), rng: rng,
		set: &f.plan.Settings, conns: map[simnet.Party]bool{}, mean: f.plan.meanWork(),
	}
	s.Stats.Excess = math.Inf(-1)
	s.Server = policy.Endpoint{ID: uint32(1000 + 7919*i), State: policy.Ready, RingPosition: cell, Capacity: 1, StartedAt: started}
	f.Stores = append(f.Stores, s)
	s.pauses()
	return s
}

// Replace has a store drain and a cold one take its place. The caller tells the gatherers by List.
func (f *Fleet) Replace(i int) {
	old := f.Stores[i]
	old.Server.State = policy.Draining
	f.AddStore(old.Server.RingPosition, f.Net.Now())
}

// List hands every gatherer the list as it now stands, each after a span drawn up to within.
func (f *Fleet) List(within Micros) {
	list := f.list()
	for _, n := range f.Nodes {
		f.Net.After(n.me, f.Net.Rand().Int64N(within+1), func() { n.step(policy.EndpointList{Endpoints: list}) })
	}
}

func (f *Fleet) list() []policy.Endpoint {
	var list []policy.Endpoint
	for _, s := range f.Stores {
		list = append(list, s.Server)
	}
	return list
}

// At has something done at a moment, counted from 0.
func (f *Fleet) At(at Micros, do func()) { f.Net.After(-1, simnet.Start+at-f.Net.Now(), do) }

// Restart kills a gatherer and has it begin anew after a span, knowing the list.
func (f *Fleet) Restart(i int, down Micros) {
	n := f.Nodes[i]
	f.Net.Kill(n.me)
	f.Net.After(-1, down, func() {
		f.Net.Revive(n.me)
		n.start()
	})
}

// Run plays on until a moment, counted from 0.
func (f *Fleet) Run(until Micros) Result {
	f.Net.Run(simnet.Start + until)
	r := f.result
	r.Excess = math.Inf(-1)
	for _, s := range f.Stores {
		r.Probes, r.Conns, r.Full = r.Probes+s.Stats.Probes, r.Conns+s.Stats.Conns, r.Full+s.Stats.Full
		r.Work, r.Wasted, r.Peak = r.Work+s.Stats.Work, r.Wasted+s.Stats.Wasted, max(r.Peak, s.Stats.Peak)
		r.Excess = max(r.Excess, s.Stats.Excess)
		if s.Stats.Fell {
			r.Fell++
		}
	}
	for i := range f.asked {
		r.ByClass = append(r.ByClass, f.served[i]/math.Max(f.asked[i], 1e-9))
	}
	r.Digest = f.Net.Digest()
	return r
}

// arrive brings the next query to a gatherer that lives.
func (f *Fleet) arrive() {
	rate := f.plan.Rate(f.Net.Now() - simnet.Start)
	if rate > 0 {
		f.query(f.rng)
	}
	gap := f.rng.ExpFloat64() * 1e6 / math.Max(rate, 1)
	f.Net.After(-1, Micros(gap), f.arrive)
}

func (f *Fleet) query(rng *rand.Rand) {
	n := f.Nodes[draw(f.nodes, rng)]
	class, at := 0, rng.Float64()
	for class < len(f.plan.Mix)-1 && at >= f.plan.Mix[class].Share {
		at -= f.plan.Mix[class].Share
		class++
	}
	kind, c := f.plan.Mix[class], f.plan.Settings.Classes[class]
	q := &query{class: class, began: f.Net.Now(), end: f.Net.Now() + c.Timeout}
	used := map[int]bool{}
	for range min(kind.Least+rng.IntN(kind.Most-kind.Least+1), len(f.shards)) {
		shard := draw(f.shards, rng)
		for used[shard%len(f.shards)] {
			shard++
		}
		shard %= len(f.shards)
		used[shard] = true
		sigma := math.Sqrt(math.Log1p(kind.Spread * kind.Spread))
		work := float64(kind.Work) * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)
		q.parts = append(q.parts, &part{shard: shard, work: work, q: q})
	}
	f.result.Queries++
	f.result.Parts += len(q.parts)
	f.result.Asked += c.PriorityWeight
	f.asked[class] += c.PriorityWeight
	f.second(q.began).Asked += c.PriorityWeight
	if f.Net.Alive(n.me) {
		n.take(q)
	}
}

// draw picks a place by cumulated weights.
func draw(sums []float64, rng *rand.Rand) int {
	i, _ := slices.BinarySearch(sums, rng.Float64()*sums[len(sums)-1])
	return min(i, len(sums)-1)
}

func (f *Fleet) second(at Micros) *Second {
	i := int((at - simnet.Start) / 1e6)
	for len(f.result.Seconds) <= i {
		f.result.Seconds = append(f.result.Seconds, Second{})
	}
	return &f.result.Seconds[i]
}

func (n *Node) start() {
	set := n.fleet.plan.Settings
	set.InstanceIndex = int(n.me)
	n.life++
	var err error
	if n.agg, err = policy.New(set, n.fleet.plan.Seed); err != nil {
		panic(err) // the test's own settings
	}
	n.conns, n.open, n.parts = map[uint32]Micros{}, map[uint64]*query{}, map[uint64]*part{}
	n.step(policy.EndpointList{Endpoints: n.fleet.list()})
}

func (n *Node) take(q *query) {
	n.next++
	q.id = n.next
	n.open[q.id] = q
	events := []policy.Event{policy.Query{ID: q.id, Number: q.id, Class: q.class, Deadline: q.end, Parts: len(q.parts)}}
	for _, p := range q.parts {
		n.next++
		p.id = n.next
		n.parts[p.id] = p
		events = append(events, policy.Part{ID: p.id, Number: q.id, Shard: p.shard, Weight: 1 / float64(len(q.parts))})
	}
	if n.fleet.plan.Plain {
		for _, p := range q.parts {
			n.sendPlain(p)
		}
		return
	}
	n.step(events...)
}

// sendPlain is the yardstick: each part goes to a replica drawn at random, once.
func (n *Node) sendPlain(p *part) {
	set := &n.fleet.plan.Settings
	var holders []*Store
	for _, s := range n.fleet.Stores {
		if s.Server.State == policy.Ready && s.Server.RingPosition == p.shard%set.RingSize {
			holders = append(holders, s)
		}
	}
	n.send(p, holders[n.fleet.Net.Rand().IntN(len(holders))], func(st policy.Status, _ policy.LoadReport) {
		q := p.q
		if n.open[q.id] != q {
			return
		}
		if st != policy.OK {
			n.end(q, false, true)
			return
		}
		p.in = true
		if !slices.ContainsFunc(q.parts, func(p *part) bool { return !p.in }) {
			n.end(q, true, false)
		}
	})
}

func (n *Node) step(events ...policy.Event) {
	f := n.fleet
	for _, act := range n.agg.Step(f.Net.Now(), events) {
		switch act := act.(type) {
		case policy.SendAttempt:
			n.attempt(act)
		case policy.CancelAttempt:
			f.result.Cancels++
			if p := n.parts[act.Part]; p != nil {
				n.finish(p, act.Attempt, policy.Canceled, policy.NoLoadReport)
			}
		case policy.Answer:
			n.end(n.open[act.Query], true, false)
		case policy.Reject:
			n.end(n.open[act.Query], false, false)
		case policy.Fail:
			n.end(n.open[act.Query], false, true)
		case policy.HealthCheck:
			n.probe(act.Server)
		case policy.CloseIdleConnections:
			delete(n.conns, act.Server)
		case policy.SetTimer:
			f.Net.After(n.me, act.After, func() { n.step(policy.Timer{}) })
		}
	}
}

// later steps at the same moment, after what is being carried out.
func (n *Node) later(e policy.Event) { n.fleet.Net.After(n.me, 0, func() { n.step(e) }) }

func (n *Node) end(q *query, served, failed bool) {
	if q == nil || n.open[q.id] != q {
		return
	}
	delete(n.open, q.id)
	f, c := n.fleet, n.fleet.plan.Settings.Classes[q.class]
	r, s, took := &f.result, f.second(q.began), f.Net.Now()-q.began
	worth := c.PriorityWeight
	if served && took > c.LatencyObjective {
		r.Late += worth
		worth *= c.LateWeight
	}
	switch {
	case served:
		r.Served, s.Served = r.Served+worth, s.Served+worth
		f.served[q.class] += worth
	case failed:
		r.Failed, s.Failed = r.Failed+worth, s.Failed+worth
	default:
		r.Refused, s.Refused = r.Refused+worth, s.Refused+worth
	}
	for _, p := range q.parts {
		n.settle(p)
	}
}

// settle forgets a part that is over and of which nothing is out.
func (n *Node) settle(p *part) {
	if n.open[p.q.id] != p.q && !slices.ContainsFunc(p.tries, func(t *try) bool { return !t.over }) {
		delete(n.parts, p.id)
	}
}

func (n *Node) store(id uint32) *Store { return n.fleet.Stores[(id-1000)/7919] }

// reach runs something at a store, on a connection that is opened if there is none.
func (n *Node) reach(s *Store, do func()) {
	f := n.fleet
	if at, ok := n.conns[s.Server.ID]; !ok || f.Net.Now()-at > 15e6 {
		f.Net.Stream(n.me, s.me, func() { s.connect(n.me) })
		do2 := do
		do = func() { // a way there and back for the handshake
			f.Net.Stream(s.me, n.me, func() { f.Net.Stream(n.me, s.me, do2) })
		}
	}
	n.conns[s.Server.ID] = f.Net.Now()
	f.Net.Stream(n.me, s.me, do)
}

func (n *Node) probe(id uint32) {
	f, s := n.fleet, n.store(id)
	at, over := f.Net.Now(), false
	tell := func(status policy.Status, r policy.LoadReport) {
		if !over {
			over = true
			n.step(policy.HealthCheckResult{Server: id, Status: status, Elapsed: f.Net.Now() - at, Report: r})
		}
	}
	n.reach(s, func() {
		s.Stats.Probes++
		wait := max(0, s.stuck-f.Net.Now())
		f.Net.After(s.me, wait+s.ProbeWork, func() {
			r := s.load()
			f.Net.Stream(s.me, n.me, func() { tell(policy.OK, r) })
		})
	})
	f.Net.After(n.me, 62_500, func() { tell(policy.TimedOut, policy.NoLoadReport) })
}

func (n *Node) attempt(act policy.SendAttempt) {
	p := n.parts[act.Part]
	no := len(p.tries)
	n.send(p, n.store(act.Server), func(st policy.Status, r policy.LoadReport) { n.finish(p, no, st, r) })
	n.fleet.Net.After(n.me, act.Timeout, func() { n.finish(p, no, policy.TimedOut, policy.NoLoadReport) })
}

// send has a part reach a store and come back.
func (n *Node) send(p *part, s *Store, back func(policy.Status, policy.LoadReport)) {
	f := n.fleet
	f.result.Sends++
	t := &try{server: s.Server.ID, at: f.Net.Now()}
	p.tries = append(p.tries, t)
	n.reach(s, func() {
		s.take(job{work: p.work, counts: float64(f.plan.Mix[p.q.class].Work), done: func(st policy.Status, r policy.LoadReport) bool {
			f.Net.Stream(s.me, n.me, func() { back(st, r) })
			return !t.over
		}})
	})
}

func (n *Node) finish(p *part, no int, st policy.Status, r policy.LoadReport) {
	t := p.tries[no]
	if t.over {
		return
	}
	t.over = true
	n.settle(p)
	n.later(policy.AttemptResult{
		Part: p.id, Attempt: no, Server: t.server, Status: st,
		Elapsed: n.fleet.Net.Now() - t.at, Report: r,
	})
}
