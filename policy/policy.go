// Package policy makes the decisions of an aggregator, a co-ordinator of queries over replicated shards. Hand
// Step what happened and carry out what it returns; it has no clock, input or output. Types are in api.go.
package policy

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Tuned values. Each is a plain ratio, or is used relative to a class's aim or to a latency learned.
const (
	gainDown    = 0.15  // EWMA gain of a server's latency when it improves: seven answers to believe it
	gainUp      = 0.40  // and when it worsens: bad news is dearer to ignore, so two samples suffice
	gainRef     = 0.05  // EWMA gain of a class's reference latency: the fleet moves slower than a server
	firstPrior  = 0.2   // weight of the aim as a first guess of latency: the first answers outweigh it
	clipSample  = 8.0   // one sample counts at most this many references: a lone disaster is no history
	loadWeight  = 0.5   // of a request held: between a server that does all at once (0) and one by one (1)
	gainFail    = 0.33  // EWMA gain of the share that fails: after two in a row a server is an outlier
	mostFails   = 0.8   // share that fails at most in a prediction: beyond it a server is held to be lost
	failCharge  = 6.0   // references charged to a failed attempt: its time and a further attempt's
	outlierAt   = 3.0   // references beyond which a server is an outlier against its peers
	healSpans   = 4.0   // aims after which an untouched bad memory has halved
	tallyDecay  = 0.9   // of a shard's tally a deal: arrears older than about ten deals are forgotten
	windowAll   = 6.0   // attempts that a server may hold of all aggregators together, each of them ...
	windowOwn   = 2.0   // ... this many at least: one long part says nothing of a jam
	lateAt      = 3.0   // multiple of the predicted latency at which an attempt is late
	mostIn      = 0.6   // of what a query needs: then the rest are stragglers, not victims of overload
	mostWait    = 0.1   // share of answers telling of waiting parts up to which spare work finds room
	spareAt     = 2.0   // the same for a spare part, which costs no budget; times more for a move in place
	coldUse     = 0.4   // of what a cold server bears of all: traffic may double, connections cost work
	probeSpend  = 0.015 // of a part's worth that may go into probes
	reportAims  = 0.5   // aims after which a load report is worth nothing
	idleAims    = 0.4   // aims without use after which a connection may be at fault: less is ordinary traffic
	curedAt     = 0.7   // share of new connections that answer where idle ones were silent: these are bad
	weightSlack = 5e-5  // sums of weights may fall short by rounding: half of what the rule forgives
	learned     = 10.0  // answers before a latency is taken for knowledge: fewer are a chance draw
	headStart   = 0.2   // of its aim that the worthiest query may overtake
	mostJams    = 3     // doublings at most of what backs off
	halfBusy    = 0.5   // share of busy cores beyond which light parts leave one by one
	shedFloor   = 0.4   // share of the aim that the least worthy query may expect to wait
)

type server struct {
	Endpoint
	factor, bears           float64 // smoothed latency, in references at no load; work a second it reports
	fails                   float64 // smoothed share of its attempts that failed though it can be reached
	told                    LoadReport
	touched, heard, toldAt  Micros // of the newest sample; answer or probe result; report
	ownThen                 int    // own attempts out when the report came
	out                     []*attempt
	ledger                  []spend         // what it was sent
	tally                   map[int]float64 // parts of each shard that it is due
	outlier, probing, doubt bool            // a probe is out; silent on an idle connection
	asked, waited           Micros          // when the newest probe left, how long it took
	used                    Micros          // when its connection was opened or last brought an answer
	called, fullTill        Micros          // when its newest call left; until when it is taken for full
	callParts, fulls        int             // of that call; attempts turned away since the last answer
}

type attempt struct {
	part                   *part
	srv                    *server
	try                    int
	at                     Micros
	pred, load             float64 // latency predicted and load assumed when it was sent
	idle                   Micros  // since its connection had last brought an answer
	recalled, judged, cure bool    // judged for its connection; on a new one after silence
}

type partState uint8

const (
	held    partState = iota // not asked for
	waiting                  // for room at a replica
	out                      // asked
	in                       // answered
	lost                     // can't be had
)

type part struct {
	Part
	q            *query
	state        partState
	tries        int
	live         []*attempt
	ran          bool    // an attempt may have run
	last         uint32  // server of the newest attempt
	first, after Micros  // sending of what may have run; not dealt before, while its replicas are probed
	size         float64 // its cost hint over its class's mean one, as far as latencies follow hints; else 1
}

type query struct {
	Query
	cls              *class
	began, aim, turn Micros // the last is arrival less the head start that its worth gives
	parts            []*part
	used             []uint32 // servers already asked in this step
	step, expect     int      // and the parts that the step will have
	more             int      // light parts that quick answers allow
	broke            []uint32 // servers that broke connections under it
	got, wait        float64  // weight that is in; predicted for its slowest part
	whole, new, over bool     // the first is of the first step's answer
	full, suspect    bool     // an attempt was turned away; sends one part ahead, it may fell what takes it
}

// class is the terms that a query was taken by, and what its class has learned, which outlives the terms.
type class struct {
	Class
	*lore
}

type lore struct {
	ref, n          float64 // reference latency at no load, answers seen
	width, stretch  float64 // smoothed number of parts; time of an answered query over its predicted wait
	patience, tried Micros  // longest first try seen; newest query let in
	hint, hints     float64 // mean cost hint, over how many
	jams            int     // queries that overload made late or lost, less those in time since
}

// Aggregator decides for one aggregator. Its calls must not overlap.
type Aggregator struct {
	set              Settings
	now              Micros
	beat, lateAt     float64 // mean aim: the unit of slow processes; multiple of its prediction that is late
	acts             []Action
	servers          map[uint32]*server
	order            []*server   // by id: what is done in turn is done in this order
	shards           [][]*server // replicas of each
	classes          []*class
	queries, numbers map[uint64]*query // by id, by number
	parts            map[uint64]*part
	open             []*query  // by arrival
	taken, further   []spend   // what the budget counts
	refAll, work, n  float64   // mean latency at no load over n answers; the lowest yet, for the work
	bears            float64   // work that a warm server bears, in seconds a second
	probes, util     float64   // that may be spent; mean share of their cores that servers report as busy
	queued           float64   // smoothed share of load reports that tell of waiting parts
	seen             []spend   // parts of each shard that were taken, smoothed over a server's cold time
	since            Micros    // the first turn
	waiting          []float64 // parts of each shard that found no room in the last turn
	wakeAt, logged   Micros
	cured            float64 // share of the servers silent on an idle connection that answered on a new one
	idleMost, idleAt Micros  // the shortest idle time of the former, and when it was found
	triedAt          Micros  // newest send on a new connection
	brokeTill        Micros  // until when retries and a key's queries are suspect of felling servers
	brokeKey         uint64
	askAt            Micros // next call for the list
	asks             int    // of these, failed since the last list
}

// New returns an aggregator that knows only its settings. Nothing is drawn from the seed as yet.
func New(set Settings, seed uint64) (*Aggregator, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	a := &Aggregator{
		servers: map[uint32]*server{}, queries: map[uint64]*query{},
		numbers: map[uint64]*query{}, parts: map[uint64]*part{},
		bears: 1, util: 1, cured: 0.5, idleMost: math.MaxInt64,
	}
	a.use(set)
	return a, nil
}

// use takes settings. Open queries keep their classes' terms. What was learned of servers and, by name, of
// classes stays, and so does what is out: a change sends no burst to cold servers and forgets no attempt.
func (a *Aggregator) use(set Settings) {
	known := map[string]*lore{}
	for _, c := range a.classes {
		known[c.Name] = c.lore
	}
	a.set, a.classes, a.beat, a.lateAt = set, nil, 0, lateAt
	for _, c := range set.Classes {
		l := cmp.Or(known[c.Name], &lore{width: 1})
		if l.n == 0 { // nothing is known yet but the aim
			l.ref = float64(c.LatencyObjective)
		}
		a.classes = append(a.classes, &class{c, l})
		a.beat += float64(c.LatencyObjective) / float64(len(set.Classes))
	}
	if a.n == 0 {
		a.refAll, a.work = a.beat, a.beat
	}
	if !set.AllowHedging {
		a.lateAt *= spareAt
	}
	for len(a.shards) < set.Shards { // open parts may still be of shards that are no more
		a.shards, a.waiting, a.seen = append(a.shards, nil), append(a.waiting, 0), append(a.seen, spend{})
	}
	a.layOut()
}

// Step takes what happened since the last turn and returns what to do now, in order.
func (a *Aggregator) Step(now Micros, events []Event) []Action {
	a.now = max(now, a.now)
	a.since = cmp.Or(a.since, a.now)
	a.acts = nil
	if a.set.PollEndpoints && a.now >= a.askAt {
		a.do(PollEndpoints{})
		a.askAt = math.MaxInt64 // until word of it comes
	}
	for _, e := range events {
		a.take(e)
	}
	for _, q := range slices.Clone(a.open) {
		if q.new {
			a.admit(q)
		}
		a.review(q)
	}
	a.dispatch()
	a.open = slices.DeleteFunc(a.open, func(q *query) bool { return q.over })
	a.wake()
	return a.acts
}

func (a *Aggregator) do(act Action) { a.acts = append(a.acts, act) }

func (a *Aggregator) take(e Event) {
	switch e := e.(type) {
	case EndpointList:
		a.asks = 0
		a.follow(e.Endpoints)
	case Reconfigure:
		if err := e.Settings.Check(); err != nil {
			a.do(Log{"settings unusable, the last ones stand: " + err.Error()})
		} else {
			a.use(e.Settings)
		}
	case EndpointListFailed: // back off, spread by number: all who ask at once keep one service from answering any
		if a.set.PollEndpoints {
			a.asks = min(a.asks+1, mostJams)
			spread := 0.5 + float64(a.set.InstanceIndex)/float64(a.set.InstanceCount)
			wait := min(Micros(a.beat*spread)<<a.asks, cmp.Or(a.set.PollInterval, math.MaxInt64))
			a.askAt = a.now + wait
			a.do(SetTimer{After: wait})
		}
	case Query:
		a.takeQuery(e)
	case Part:
		a.takePart(e)
	case AttemptResult:
		a.outcome(e)
	case HealthCheckResult:
		a.probed(e)
	case ClientCanceled:
		if q := a.queries[e.Query]; q != nil {
			a.close(q)
		}
	}
}

// wake keeps one timer out while anything is open. Work is looked at every other tick.
func (a *Aggregator) wake() {
	if len(a.open) > 0 && a.wakeAt <= a.now {
		a.do(SetTimer{After: 2 * a.set.Tick})
		a.wakeAt = a.now + 2*a.set.Tick
	}
}

// follow takes the list as it now is. Servers that left are kept as gone while attempts are out.
func (a *Aggregator) follow(list []Endpoint) {
	for _, s := range a.order {
		s.State = Removed
	}
	for _, line := range list {
		s := a.servers[line.ID]
		if s == nil {
			s = &server{factor: 1, told: NoLoadReport, heard: a.now, used: a.now, tally: map[int]float64{}}
			a.servers[line.ID] = s
			a.order = append(a.order, s)
		} else if line.StartedAt != s.StartedAt { // a fresh process: what was known of the old one is void
			s.factor, s.fails, s.told, s.outlier = 1, 0, NoLoadReport, false
			s.ledger, s.used, s.doubt = nil, a.now, false
		}
		s.Endpoint = line
	}
	slices.SortFunc(a.order, func(x, y *server) int { return cmp.Compare(x.ID, y.ID) })
	a.layOut()
}

// layOut finds each shard's replicas anew, by id.
func (a *Aggregator) layOut() {
	left := func(s *server) bool { return s.State == Removed && len(s.out) == 0 }
	a.order = slices.DeleteFunc(a.order, left)
	clear(a.servers)
	clear(a.shards)
	for _, s := range a.order {
		a.servers[s.ID] = s
		for i := range a.shards {
			if s.State == Ready && a.holds(s, i) {
				a.shards[i] = append(a.shards[i], s)
			}
		}
	}
}

func (a *Aggregator) holds(s *server, shard int) bool {
	n := a.set.RingSize
	return s.RingPosition >= 0 && s.RingPosition < n && ((s.RingPosition-shard)%n+n)%n < a.set.ReplicationFactor
}

func (a *Aggregator) takeQuery(e Query) {
	a.count(&a.taken)
	if a.queries[e.ID] != nil {
		return
	}
	if e.Class < 0 || e.Class >= len(a.classes) {
		a.do(Reject{Query: e.ID})
		return
	}
	c := a.classes[e.Class]
	q := &query{Query: e, cls: c, began: a.now, aim: a.now + c.LatencyObjective, step: 1, new: true}
	left := e.Deadline - a.now
	if !e.Retry {
		c.patience = max(c.patience, left)
	} else if left < c.patience*98/100 { // cut short by its whole patience: the first try's start shows
		q.aim = min(q.aim, e.Deadline-c.Timeout+c.LatencyObjective)
	}
	a.queries[e.ID], a.numbers[e.Number] = q, q
	a.open = append(a.open, q)
}

func (a *Aggregator) takePart(e Part) {
	a.count(&a.taken)
	q := a.numbers[e.Number]
	if q == nil || q.over || a.parts[e.ID] != nil || e.Shard < 0 || e.Shard >= a.set.Shards ||
		!(e.Weight >= 0) || math.IsInf(e.Weight, 0) {
		return
	}
	p := &part{Part: e, q: q, size: q.cls.size(e.CostHint)}
	old := &a.seen[e.Shard]
	*old = spend{a.now, 1 + old.work*math.Exp(-float64(a.now-old.at)/float64(max(a.set.SlowStartDuration, 1)))}
	q.parts = append(q.parts, p)
	a.parts[e.ID] = p
	a.scout(p)
	if q.step == 2 {
		p.state = waiting
	}
}

// size is what a part is held to cost against its class's mean. Hints are rough: half their logarithm counts.
func (c *class) size(hint Micros) float64 {
	if hint <= 0 {
		return 1
	}
	c.hints++
	c.hint += max(gainRef, 1/c.hints) * (float64(hint) - c.hint)
	return math.Sqrt(float64(hint) / c.hint)
}

// admit refuses a query whose slowest needed shard can't answer by its aim, and sooner the less it is worth.
// Those that full servers made late let ever fewer of their class in, until the jam has drained.
func (a *Aggregator) admit(q *query) {
	q.new = false
	c := q.cls
	c.width += 0.1 * (float64(len(q.parts)) - c.width)
	worth := a.density(c)
	q.turn = q.began - Micros(headStart*worth*float64(c.LatencyObjective))
	waits := make([]float64, 0, len(q.parts))
	for _, p := range q.parts {
		waits = append(waits, a.shardWait(p))
	}
	slices.Sort(waits)
	if n := int(math.Ceil(c.RequiredCoverage*float64(len(waits)) - weightSlack)); n > 0 {
		q.wait = waits[n-1]
	}
	left := float64(min(q.aim, q.Deadline) - a.now)
	hopeless := q.wait > left*(shedFloor+(1-shedFloor)*worth) || q.wait*c.stretch > left || c.jams > 0
	known := c.n >= learned && a.now-c.tried < Micros(a.beat)<<min(c.jams, mostJams) // else one is let in
	if len(q.parts) == 0 || math.IsInf(q.wait, 1) || known && hopeless && a.crowded(q) {
		a.end(q)
		return
	}
	c.tried = a.now
	q.suspect = a.now < a.brokeTill && (q.Retry || q.Key != 0 && q.Key == a.brokeKey)
	a.ask(q)
}

// broken gives up a query that broke two servers and had no answer. Until these can be warm its key's queries
// and retries send one part ahead. It covers requests that crash servers, not resets that spare some parts.
func (a *Aggregator) broken(q *query, s *server) {
	if !slices.Contains(q.broke, s.ID) { // one that resets a connection under several parts is no second one
		q.broke = append(q.broke, s.ID)
	}
	if q.step == 1 && q.got == 0 && (len(q.broke) >= 2 || q.suspect) {
		a.brokeKey, a.brokeTill = q.Key, a.now+a.set.SlowStartDuration
		a.end(q)
	}
}

// crowded tells whether a part finds no room, or so many share the servers that own room says nothing.
func (a *Aggregator) crowded(q *query) bool {
	full := func(p *part) bool { return !slices.ContainsFunc(a.shards[p.Shard], a.hasRoom) }
	return windowOwn*float64(a.set.InstanceCount) > 2*windowAll || slices.ContainsFunc(q.parts, full)
}

// hasRoom bounds own attempts at a server: what waits, waits here, where any replica may take it.
func (a *Aggregator) hasRoom(s *server) bool {
	return float64(len(s.out)) < a.window() || a.joins(s)
}

// joins tells whether a part can share a call that costs work and leaves for a server in this turn.
func (a *Aggregator) joins(s *server) bool {
	return a.set.BatchOverhead > 0 && s.called == a.now && s.callParts < a.set.MaxBatchSize
}

func (a *Aggregator) window() float64 { return max(windowOwn, windowAll/float64(a.set.InstanceCount)) }

// density is a class's worth for the work it needs, against the best class's.
func (a *Aggregator) density(c *class) float64 {
	value := func(c *class) float64 { return c.PriorityWeight / (c.ref * c.width * c.RequiredCoverage) }
	top := 0.0
	for _, o := range a.classes {
		top = max(top, value(o))
	}
	return value(c) / max(top, math.SmallestNonzeroFloat64)
}

// shardWait predicts how long a part would take behind those that wait. Cold replicas have room in turns.
func (a *Aggregator) shardWait(p *part) float64 {
	best := math.Inf(1)
	for _, s := range a.shards[p.Shard] {
		full := float64(max(0, s.fullTill-a.now))
		// What fails is asked for again: that takes time, but far less than the charge by which it ranks.
		again := a.predict(s, p) * a.pace(s) / a.slowness(s) / (1 - min(a.failing(s), mostFails))
		best = min(best, again+full+a.coldWait(s))
	}
	return best * (1 + a.waiting[p.Shard]/(a.window()*float64(a.set.ReplicationFactor)))
}

// ask lets enough parts wait: all, or if fewer make a whole, those whose shards answer soonest. Where busy,
// light parts of a query that may be answered in part leave one for each quick answer.
func (a *Aggregator) ask(q *query) {
	if q.suspect { // one part ahead
		q.parts[0].state = max(q.parts[0].state, waiting)
		return
	}
	asked := 0.0
	partial := q.cls.MinCoverage < q.cls.RequiredCoverage
	var left []*part
	for _, p := range q.parts {
		if p.state == held {
			left = append(left, p)
		} else if p.state != lost && (partial || !a.isLate(p, spareAt)) {
			asked += p.Weight
		}
	}
	slices.SortStableFunc(left, func(x, y *part) int {
		return cmp.Or(cmp.Compare(y.Weight, x.Weight), cmp.Compare(a.shardWait(x), a.shardWait(y)))
	})
	busy := a.util > halfBusy || a.refAll > lateAt*a.work
	for _, p := range left {
		ample := partial && asked >= q.cls.MinCoverage-weightSlack
		light := left[len(left)-1].Weight*float64(len(q.parts)) < 1-weightSlack
		if asked >= q.cls.RequiredCoverage-weightSlack || ample && light && busy && q.more <= 0 {
			return
		}
		p.state = waiting
		asked += p.Weight
		if ample {
			q.more--
		}
	}
}

// load is what a server is held to have in hand: own attempts, or its report where that says more.
func (a *Aggregator) load(s *server) float64 {
	own, told := float64(len(s.out)), max(s.told.Inflight, s.told.Queue)
	if told < 0 {
		return own
	}
	fresh := max(0, 1-float64(a.now-s.toldAt)/(reportAims*a.beat))
	return max(own, fresh*(told+own-float64(s.ownThen))+(1-fresh)*own)
}

// slowness is a server's latency against its peers, and a charge for what fails there.
func (a *Aggregator) slowness(s *server) float64 { return a.pace(s) + failCharge*a.failing(s) }

func (a *Aggregator) failing(s *server) float64 { return s.fails * a.memory(s) }

// memory is how much of a bad past still counts: it heals while the server is left alone.
func (a *Aggregator) memory(s *server) float64 {
	return math.Exp2(-float64(a.now-s.touched) / (healSpans * a.beat))
}

// pace is a server's latency alone: its past, healing, or the age of what is unanswered.
func (a *Aggregator) pace(s *server) float64 {
	f := s.factor
	if f > 1 {
		f = 1 + (f-1)*a.memory(s)
	}
	for _, t := range s.out {
		if t.at >= s.heard-1 || t == s.out[0] {
			f = max(f, float64(a.now-t.at)/(t.part.q.cls.ref*t.part.size*(1+loadWeight*t.load)))
		}
	}
	return f
}

// predict is the latency expected of a server for a part, the inverse of its utility.
func (a *Aggregator) predict(s *server, p *part) float64 {
	return p.q.cls.ref*p.size*a.slowness(s)*(1+loadWeight*a.load(s)) + float64(a.backlog(s))
}

type choice struct {
	srv  *server
	pred float64
}

// rank orders a shard's replicas by utility, best first.
func (a *Aggregator) rank(p *part) []choice {
	out := make([]choice, 0, len(a.shards[p.Shard]))
	for _, s := range a.shards[p.Shard] {
		out = append(out, choice{s, a.predict(s, p)})
	}
	slices.SortStableFunc(out, func(x, y choice) int { return cmp.Compare(x.pred, y.pred) })
	return out
}

// deal chooses a part's replica: shares in proportion to utility over the best one's, the replica
// furthest below its share first, servers the query has not used before others, in rank. Nil: wait.
func (a *Aggregator) deal(p *part) *server {
	if !slices.ContainsFunc(a.shards[p.Shard], a.hasRoom) {
		return nil
	}
	ranked := a.rank(p)
	sum := 0.0
	for _, c := range ranked {
		sum += ranked[0].pred / c.pred
	}
	pick, most := 0, math.Inf(-1)
	for i, c := range ranked {
		if below := c.srv.tally[p.Shard] + ranked[0].pred/c.pred/sum; below > most+1e-9 {
			pick, most = i, below
		}
	}
	other := func(c choice) bool { return c.srv.ID != p.last || len(ranked) == 1 }
	good := func(c choice) bool { return other(c) && !a.isOutlier(c.srv) && !a.isBusy(c.srv) }
	sound := slices.ContainsFunc(ranked, good)
	order := append([]choice{ranked[pick]}, ranked...)
	if i := a.shared(p, ranked, sound); i >= 0 {
		order[0] = ranked[i]
		p.q.used = slices.DeleteFunc(p.q.used, func(id uint32) bool { return id == ranked[i].srv.ID })
	}
	fresh := func(c choice) bool { return !slices.Contains(p.q.used, c.srv.ID) && a.mayTake(c.srv, p, sound) }
	again := func(c choice) bool { return other(c) && a.mayTake(c.srv, p, sound) }
	i := slices.IndexFunc(order, fresh)
	if i < 0 {
		i = slices.IndexFunc(ranked, again) + 1
	}
	if i < 0 || i == 0 && !fresh(order[0]) {
		return nil
	}
	for _, c := range ranked {
		c.srv.tally[p.Shard] = c.srv.tally[p.Shard]*tallyDecay + ranked[0].pred/c.pred/sum
	}
	order[i].srv.tally[p.Shard]--
	return order[i].srv
}

// shared finds the replica whose call of this turn a part joins though its query uses the server already: no
// further behind the best than what that saves, here and there. Where calls cost little, none is.
func (a *Aggregator) shared(p *part, ranked []choice, sound bool) int {
	share := min(0.5, float64(a.set.BatchOverhead)/a.work)
	return slices.IndexFunc(ranked, func(c choice) bool {
		worth := (1-share)*(1+loadWeight) <= 1 && c.pred*(1-share) <= ranked[0].pred*(1+share)
		return worth && a.joins(c.srv) && a.mayTake(c.srv, p, sound)
	})
}

// isOutlier compares a server with its peers; when all slow together the reference follows.
func (a *Aggregator) isOutlier(s *server) bool {
	is := a.slowness(s) > outlierAt
	if is != s.outlier && a.now-a.logged > Micros(a.beat) {
		s.outlier, a.logged = is, a.now
		a.do(Log{fmt.Sprintf("server %d outlier=%v slowness=%.1f", s.ID, is, a.slowness(s))})
	}
	return is
}

// dispatch sends waiting parts by arrival, with a head start for worth; queries past their aim come last.
func (a *Aggregator) dispatch() {
	clear(a.waiting)
	slices.SortStableFunc(a.open, func(x, y *query) int { return cmp.Compare(x.turn, y.turn) })
	for _, late := range []bool{false, true} {
		for _, q := range a.open {
			for _, p := range q.parts {
				if p.state != waiting || q.over || (q.aim <= a.now) != late || a.scouted(p) {
					continue
				}
				if s := a.deal(p); s != nil {
					a.send(p, s)
				} else if !late {
					a.waiting[p.Shard]++
				}
			}
		}
	}
}

// scouted tells whether a part waits a moment for word of its replicas.
func (a *Aggregator) scouted(p *part) bool {
	probing := func(s *server) bool { return s.probing || a.set.BatchOverhead > 0 } // parts leave in one turn
	return a.now < p.after && slices.ContainsFunc(a.shards[p.Shard], probing)
}

// mayTake tells whether every rule and guard lets a part go to a server now. send asks it again.
func (a *Aggregator) mayTake(s *server, p *part, sound bool) bool {
	switch {
	case s.State != Ready || !a.holds(s, p.Shard), // drains
		p.q.over || a.parts[p.ID] != p || p.state == in,   // queries that are over
		!a.mayRepeat(p) || p.tries > 0 && !a.budgetLeft(), // effects, budget
		!a.coldRoom(s, p) || !a.hasRoom(s) || a.now < s.fullTill:
		return false
	case sound && a.isBusy(s):
		return false
	case sound && a.isOutlier(s): // one trial now and then, of a part that can be asked again
		rested := float64(a.now-s.touched) > healSpans*a.beat && len(s.out) == 0
		return rested && p.q.cls.Idempotency == Idempotent && p.tries == 0
	}
	return true
}

// mayRepeat holds the effect rule: no repeat of what may have run, but for safe parts and keyed ones in time.
func (a *Aggregator) mayRepeat(p *part) bool {
	if a.set.MaxAttempts > 0 && p.tries >= a.set.MaxAttempts ||
		len(p.live) > 0 && (!a.set.AllowHedging || p.q.cls.Idempotency == NonIdempotent) {
		return false
	}
	switch p.q.cls.Idempotency {
	case NonIdempotent:
		return !p.ran
	case IdempotentByKey:
		return !(p.ran || len(p.live) > 0) || a.now < p.first+p.q.cls.DeduplicationWindow
	}
	return true
}

// budgetLeft counts over the rule's span, own tick's width to the careful side.
func (a *Aggregator) budgetLeft() bool {
	if a.set.RetryBudgetWindow <= 0 {
		return true
	}
	old := a.now - a.set.RetryBudgetWindow
	a.taken = dropOld(a.taken, old+a.set.Tick)
	a.further = dropOld(a.further, old-a.set.Tick)
	return float64(len(a.further)+1) <= a.set.RetryBudgetMinimum+a.set.RetryBudgetRatio*float64(len(a.taken))
}

// count notes one for the budget. Without a budget nothing would ever cut the list.
func (a *Aggregator) count(list *[]spend) {
	if a.set.RetryBudgetWindow > 0 {
		*list = append(dropOld(*list, a.now-a.set.RetryBudgetWindow-a.set.Tick), spend{a.now, 1})
	}
}

// spend is work that was taken in or sent, of one part where only the number counts.
type spend struct {
	at   Micros
	work float64
}

func (e spend) since(at Micros) int { return cmp.Compare(e.at, at) }

// dropOld cuts what lies before a moment; times are in order.
func dropOld(times []spend, before Micros) []spend {
	i, _ := slices.BinarySearchFunc(times, before, spend.since)
	return times[i:]
}

// coldShare is the work that this aggregator may send a server within the rule's span: an equal part.
func (a *Aggregator) coldShare(s *server) float64 {
	if s.StartedAt <= 0 || a.set.OverloadFactor <= 0 || a.now >= s.StartedAt+a.set.SlowStartDuration+a.set.OverloadDuration {
		return math.Inf(1)
	}
	age := max(0, float64(a.now-a.set.OverloadDuration-s.StartedAt)/float64(a.set.SlowStartDuration))
	share := min(1, a.set.SlowStartFraction+(1-a.set.SlowStartFraction)*age)
	return a.set.OverloadFactor * share * a.bears * float64(a.set.OverloadDuration) / float64(a.set.InstanceCount)
}

// coldWait is how long a part waits for its turn at a cold server.
func (a *Aggregator) coldWait(s *server) float64 {
	own := a.coldShare(s)
	if own < a.work {
		return float64(max(0, a.coldTurn(s, own)-a.now))
	}
	return float64(a.set.OverloadDuration) * a.work / own / 2
}

// coldRoom keeps a cold server from being pushed over by all: each keeps to its share, or to its turns.
func (a *Aggregator) coldRoom(s *server, p *part) bool {
	own := a.coldShare(s)
	if own < a.work {
		return a.now >= a.coldTurn(s, own)
	}
	sum := p.q.cls.ref
	for _, e := range dropOld(s.ledger, a.now-a.set.OverloadDuration-a.set.Tick) {
		sum += e.work
	}
	return sum <= own
}

// coldTurn is from when on this aggregator may send a part to a cold server of which its share is less than
// one. Many that see little traffic seldom have one for it, and fixed turns would mostly lapse: the pause
// after the newest one and the time until there is a next make up the interval that is due to each.
func (a *Aggregator) coldTurn(s *server, own float64) Micros {
	due, fleet := a.work/own/coldUse*float64(a.set.OverloadDuration), uint64(a.set.InstanceCount)
	pause := Micros(due - a.lull(s))
	if len(s.ledger) > 0 {
		return s.ledger[len(s.ledger)-1].at + max(pause, a.set.OverloadDuration+a.set.Tick)
	}
	return s.StartedAt + pause - Micros(due*float64((uint64(a.set.InstanceIndex)+uint64(s.ID))%fleet)/float64(fleet))
}

// lull is the mean time between two parts that this aggregator takes for a server's shards: so little has
// been seen of these that one part more than came is counted.
func (a *Aggregator) lull(s *server) float64 {
	n := 1.0
	for j := range a.set.ReplicationFactor {
		for i := (s.RingPosition - j + a.set.RingSize) % a.set.RingSize; i < a.set.Shards; i += a.set.RingSize {
			n += a.seen[i].work * math.Exp(-float64(a.now-a.seen[i].at)/float64(a.set.SlowStartDuration))
		}
	}
	return float64(a.set.SlowStartDuration) * (1 - math.Exp(-float64(a.now-a.since)/float64(a.set.SlowStartDuration))) / n
}

// send is the one place from which attempts leave.
func (a *Aggregator) send(p *part, s *server) bool {
	if !a.mayTake(s, p, false) {
		return false
	}
	q := p.q
	t := &attempt{part: p, srv: s, try: p.tries, at: a.now, pred: a.predict(s, p), load: a.load(s)}
	if len(s.out) == 0 { // else it may leave on another connection than the one that was idle
		t.idle = a.now - s.used
	}
	test := s.doubt && (a.cured >= 0.5 || a.now-a.triedAt > Micros(a.beat))
	if test || a.cured > curedAt && float64(t.idle) >= a.idleLimit() {
		a.do(CloseIdleConnections{Server: s.ID})
		t.idle, t.cure, s.used, s.doubt, a.triedAt = 0, true, a.now, false, a.now
	}
	if p.tries > 0 {
		a.count(&a.further)
	}
	if len(p.live) == 0 && !p.ran {
		p.first = a.now
	}
	if a.now < s.StartedAt+a.set.SlowStartDuration+a.set.OverloadDuration {
		s.ledger = append(dropOld(s.ledger, a.now-a.set.OverloadDuration-a.set.Tick), spend{a.now, q.cls.ref})
	} else {
		s.ledger = nil
	}
	s.out, p.live = append(s.out, t), append(p.live, t)
	p.tries++
	p.state, p.last = out, s.ID
	if !a.joins(s) {
		s.called, s.callParts = a.now, 0
	}
	s.callParts++
	q.used = append(q.used, s.ID)
	a.do(SendAttempt{Part: p.ID, Server: s.ID, Timeout: max(a.lastMoment(q)-a.now, a.set.Tick)})
	return true
}

func (a *Aggregator) outcome(e AttemptResult) {
	s := a.servers[e.Server]
	same := func(t *attempt) bool { return t.part.ID == e.Part && t.try == e.Attempt }
	if s == nil || !slices.ContainsFunc(s.out, same) {
		return
	}
	t := s.out[slices.IndexFunc(s.out, same)]
	p := t.part
	s.out = slices.DeleteFunc(s.out, same)
	p.live = slices.DeleteFunc(p.live, same)
	p.ran = p.ran || e.Status != Rejected && e.Status != ConnectFailed && e.Status != Withdrawn
	a.hear(s, e.Report)
	a.learn(t, e.Status)
	if p.q.over || a.parts[p.ID] != p || p.state != out {
		return
	}
	if e.Status == OK {
		p.state, p.q.suspect = in, false
		if float64(a.now-t.at) < spareAt*a.work*p.size {
			p.q.more++
		}
		for _, t := range p.live {
			a.cancel(t)
		}
		return
	}
	if e.Status == ConnectionBroken {
		a.broken(p.q, s)
	}
	if len(p.live) == 0 && a.mayRepeat(p) {
		p.state = waiting
	} else if len(p.live) == 0 {
		p.state = lost
	}
}

// judge takes an answer, or lateness, as evidence on connections. If new ones mostly bring answers where
// idle ones were silent, idle connections are dropped unseen. A false verdict costs a handshake a part, from
// each of a fleet that meets its servers seldom: an answer on an idle one clears those that were idle less.
func (a *Aggregator) judge(t *attempt, status Status) {
	if status == OK && !t.cure {
		if t.srv.doubt = false; t.idle >= a.idleMost {
			a.idleMost, a.idleAt = 2*t.idle, a.now
			a.cured -= gainUp * a.cured
		}
	}
	if t.judged {
		return
	}
	t.judged = true
	if t.cure && status == OK {
		a.cured += gainUp * (1 - a.cured)
	} else if status == ConnectFailed { // the way is bad, not the old connections
		a.cured = 0
	}
	if status == TimedOut && float64(t.idle) > idleAims*a.beat {
		t.srv.doubt = true
		if float64(t.idle) < a.idleLimit() {
			a.idleMost = t.idle / 2 // the true limit lies below what was seen to fail
		}
		a.idleAt = a.now
	}
}

// idleLimit is the idle time from which connections are suspect. It grows while nothing more is found.
func (a *Aggregator) idleLimit() float64 {
	return float64(a.idleMost) * math.Exp2(float64(a.now-a.idleAt)/(healSpans*a.beat))
}

// learn feeds an attempt's end into the server's latency, the class's reference and the window.
func (a *Aggregator) learn(t *attempt, status Status) {
	s, c := t.srv, t.part.q.cls
	if status != TimedOut && status != Canceled {
		s.used = a.now
	}
	a.judge(t, status)
	y := min(float64(a.now-t.at)/(1+loadWeight*t.load)/t.part.size, clipSample*c.ref)
	switch status {
	case OK:
		c.n++
		a.n++
		a.refAll += max(gainRef, 1/(a.n+firstPrior)) * (y - a.refAll)
		c.ref += max(gainRef, 1/(c.n+firstPrior)) * (y - c.ref)
		a.work = min(a.work, a.refAll)
		s.heard, s.fulls = a.now, 0
		s.fails -= gainDown * s.fails
		a.sample(s, y/c.ref)
	case Canceled:
		a.sample(s, max(y/c.ref, a.slowness(s)))
	case Rejected: // a full queue: further parts back off, ever longer, and wait here
		t.part.q.full = true
		s.fulls = min(s.fulls+1, mostJams)
		s.fullTill = a.now + min(Micros(c.ref)<<s.fulls/2, c.LatencyObjective)
		a.sample(s, max(y/c.ref, 2))
	case ServerError, ConnectionBroken: // it can be reached: what is lost is this attempt
		s.fails += gainFail * (1 - s.fails)
		a.sample(s, max(y/c.ref, s.factor))
	case TimedOut, ConnectFailed:
		a.sample(s, max(y/c.ref, failCharge))
	}
}

// sample moves a server's smoothed latency, faster for the worse.
func (a *Aggregator) sample(s *server, x float64) {
	x = min(x, clipSample)
	gain := gainDown
	if x > s.factor {
		gain = gainUp
	}
	s.factor += gain * (x - s.factor)
	s.touched = a.now
}

// hear takes a load report.
func (a *Aggregator) hear(s *server, r LoadReport) {
	if r == NoLoadReport {
		return
	}
	s.told, s.toldAt, s.ownThen = r, a.now, len(s.out)
	if r.Queue >= 0 {
		a.queued += gainRef * (min(r.Queue, 1) - a.queued)
	}
	if r.Rate > 0 && a.now > s.StartedAt+a.set.SlowStartDuration {
		s.bears += gainDown * (r.Rate*a.refAll/1e6 - s.bears)
		a.bears = max(a.bears, s.bears)
	}
}

// scout probes a part's replicas that were not heard of lately, before it is dealt. Parts pay for it.
func (a *Aggregator) scout(p *part) {
	earn := probeSpend / max(a.set.PriceHealthCheck, probeSpend/float64(a.set.ReplicationFactor))
	a.probes = min(a.probes+earn, float64(len(a.order)))
	for _, s := range a.shards[p.Shard] {
		if a.set.AllowHealthChecks && a.probes >= 1 && !s.probing && s.toldAt <= a.now-Micros(reportAims*a.beat/2) {
			s.probing, s.asked = true, a.now
			a.probes--
			a.do(HealthCheck{Server: s.ID})
		}
		if s.probing {
			p.after = a.now + 2*a.set.Tick
		}
	}
}

func (a *Aggregator) probed(e HealthCheckResult) {
	s := a.servers[e.Server]
	if s == nil || !s.probing {
		return
	}
	s.probing, s.toldAt, s.waited = false, a.now, a.now-s.asked
	if e.Status == OK {
		s.heard = a.now
		if e.Report.Utilization >= 0 {
			a.util += gainRef * (e.Report.Utilization - a.util)
		}
		a.hear(s, e.Report)
	} else {
		s.told = NoLoadReport
		s.waited = max(s.waited, Micros(lateAt*a.refAll))
	}
}

// backlog is the wait that a server's newest probe showed, answered or not, less the time gone by since.
func (a *Aggregator) backlog(s *server) Micros {
	if s.probing {
		return a.now - s.asked
	}
	return max(0, s.asked+2*s.waited-a.now)
}

func (a *Aggregator) isBusy(s *server) bool { return a.backlog(s) >= 2*a.set.Tick }

// review looks at what a query has and can still get, and ends or moves it on.
func (a *Aggregator) review(q *query) {
	if q.over || len(q.parts) < q.expect && q.step == 2 && a.now < a.lastMoment(q) {
		return
	}
	got, can := 0.0, 0.0
	for _, p := range q.parts {
		if p.state == in {
			got += p.Weight
		}
		if p.state != lost {
			can += p.Weight
		}
	}
	q.got = got
	need, least := q.cls.RequiredCoverage-weightSlack, q.cls.MinCoverage-weightSlack
	if q.step == 2 {
		need = 1 - weightSlack
	}
	switch {
	case got >= need:
		a.answer(q, true)
	case can < least, a.now >= a.lastMoment(q), can < need && got >= can-weightSlack,
		q.cls.MinCoverage < q.cls.RequiredCoverage && got >= least && a.now >= a.settleAt(q):
		if got >= least && got > 0 {
			a.answer(q, false)
		} else {
			a.end(q)
		}
	default:
		a.hasten(q)
	}
}

// settleAt is when a partial answer in hand beats waiting: before the aim, with time for a second step.
func (a *Aggregator) settleAt(q *query) Micros {
	if q.cls.FetchParts > 0 && q.step == 1 {
		return q.aim - Micros(spareAt*q.cls.ref) - 2*a.set.Tick
	}
	return q.aim - 3*a.set.Tick
}

// lastMoment is when a query must be over: before the client leaves, at its aim if nothing is earned later.
func (a *Aggregator) lastMoment(q *query) Micros {
	end := q.Deadline - 2*a.set.Tick
	if q.cls.LateWeight <= 0 {
		end = min(end, q.aim)
	}
	return end
}

// hasten replaces what is late: by a spare part, or by a further attempt at a better replica.
func (a *Aggregator) hasten(q *query) {
	a.ask(q)
	for _, p := range q.parts {
		if p.state == out && a.isLate(p, a.lateAt) && !p.live[0].recalled {
			a.move(p)
		}
	}
}

// isLate tells whether a part is out longer than predicted by a multiple, or among the last near the aim.
func (a *Aggregator) isLate(p *part, multiple float64) bool {
	if p.state != out || len(p.live) == 0 {
		return false
	}
	t := p.live[len(p.live)-1]
	age, left := float64(a.now-t.at), float64(p.q.aim-a.now)
	last := p.q.got >= mostIn*p.q.cls.RequiredCoverage && age > p.q.cls.ref && left < multiple*p.q.cls.ref
	return last && a.set.AllowHedging && p.q.cls.MinCoverage == p.q.cls.RequiredCoverage || age > multiple*t.pred
}

// move asks a better replica, if any, for a late part: as a second copy if permitted, else in its place.
// Where parts wait all over the fleet, all are late and a copy makes others wait: many aggregators that each
// save their own queries jam the servers for all.
func (a *Aggregator) move(p *part) {
	t := p.live[len(p.live)-1]
	a.judge(t, TimedOut)
	spent := a.set.MaxAttempts > 0 && p.tries >= a.set.MaxAttempts || !a.budgetLeft()
	if p.q.cls.Idempotency != Idempotent || spent || a.queued > mostWait {
		return
	}
	for _, c := range a.rank(p) {
		inTime := a.now+Micros(c.pred) <= p.q.aim || p.q.cls.LateWeight > 0
		better := c.srv != t.srv && !a.isOutlier(c.srv) && !a.isBusy(c.srv) && c.pred <= float64(a.now-t.at)
		if better && inTime && a.set.AllowHedging && len(p.live) == 1 {
			a.send(p, c.srv)
			return
		} else if better && inTime {
			a.cancel(p.live[0])
			return
		}
	}
}

func (a *Aggregator) cancel(t *attempt) {
	if a.set.AllowCancel && !t.recalled {
		t.recalled = true
		a.do(CancelAttempt{Part: t.part.ID, Attempt: t.try})
	}
}

// answer gives what is in. In a class with a second step the first answer brings its parts.
func (a *Aggregator) answer(q *query, whole bool) {
	a.do(Answer{Query: q.ID, Complete: whole && (q.step == 1 || q.whole)})
	if q.step == 1 {
		q.cls.stretch += gainDown * (float64(a.now-q.began)/max(q.wait, 1) - q.cls.stretch)
	}
	if q.step == 2 || q.cls.FetchParts == 0 {
		a.close(q)
		return
	}
	a.dropParts(q)
	asked := slices.DeleteFunc(q.parts, func(p *part) bool { return p.state != in })
	q.step, q.whole, q.expect, q.parts, q.used = 2, whole, min(len(asked), q.cls.FetchParts), nil, nil
}

// end is the one place where a query is given up: refused, with word when to come back, if that is harmless.
func (a *Aggregator) end(q *query) {
	mayRan := func(p *part) bool { return q.cls.Idempotency != Idempotent && (p.ran || len(p.live) > 0) }
	if q.step == 2 || slices.ContainsFunc(q.parts, mayRan) {
		a.do(Fail{Query: q.ID})
	} else {
		a.do(Reject{Query: q.ID, RetryAfter: a.set.MaxRetryAfter})
	}
	a.close(q)
}

func (a *Aggregator) close(q *query) {
	q.over = true
	if a.now <= q.aim && q.got >= q.cls.MinCoverage-weightSlack {
		q.cls.jams /= 2
	} else if q.full { // late or lost
		q.cls.jams++
	}
	a.dropParts(q)
	delete(a.queries, q.ID)
	if a.numbers[q.Number] == q {
		delete(a.numbers, q.Number)
	}
}

func (a *Aggregator) dropParts(q *query) {
	for _, p := range q.parts {
		for _, t := range p.live {
			a.cancel(t)
		}
		delete(a.parts, p.ID)
	}
}
