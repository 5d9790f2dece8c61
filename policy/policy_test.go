package policy

import (
	"math"
	"testing"
)

// hand is an aggregator with a hand on its events. Reach 3 over 3 cells: every server holds every shard.
type hand struct {
	t   *testing.T
	a   *Aggregator
	now Micros
	id  uint64
	log []Action
}

func handSettings() Settings {
	s := testSettings()
	s.RingSize, s.Shards, s.ReplicationFactor, s.AllowHealthChecks, s.MaxOpen, s.OverloadFactor = 3, 3, 3, false, 0, 0
	return s
}

func newHand(t *testing.T, s Settings, servers ...Endpoint) *hand {
	t.Helper()
	a, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	h := &hand{t: t, a: a, now: 20_000_000, id: 100}
	if len(servers) == 0 {
		servers = ready(1, 2, 3)
	}
	h.step(0, EndpointList{servers})
	return h
}

func ready(ids ...uint32) (out []Endpoint) {
	for _, id := range ids {
		out = append(out, Endpoint{ID: id, State: Ready, RingPosition: int(id) % 3})
	}
	return out
}

func (h *hand) step(after Micros, events ...Event) []Action {
	h.now += after
	acts := h.a.Step(h.now, events)
	h.log = append(h.log, acts...)
	return acts
}

func (h *hand) query(class, parts int) (uint64, []Event) {
	h.id += 100
	c := h.a.settings.Classes[class]
	events := []Event{Query{ID: h.id, Number: h.id, Class: class, Deadline: h.now + c.Timeout, Parts: parts}}
	for i := range parts {
		events = append(events, Part{
			ID: h.id + uint64(i) + 1, Number: h.id, Shard: i % h.a.settings.Shards,
			Weight: 1 / float64(parts),
		})
	}
	return h.id, events
}

func pick[T Action](acts []Action) (out []T) {
	for _, a := range acts {
		if v, ok := a.(T); ok {
			out = append(out, v)
		}
	}
	return out
}

// teach answers n one-part queries of a class at once after the given latency.
func (h *hand) teach(class, n int, latency Micros) {
	for range n {
		_, events := h.query(class, 1)
		sent := pick[SendAttempt](h.step(h.a.settings.Tick, events...))
		for _, s := range sent {
			h.step(latency, AttemptResult{Part: s.Part, Server: s.Server, Status: OK, Elapsed: latency, Report: NoLoadReport})
		}
	}
}

func (h *hand) finals(id uint64) (n int) {
	for _, act := range h.log {
		switch a := act.(type) {
		case Fail:
			n += btoi(a.Query == id)
		case Reject:
			n += btoi(a.Query == id)
		case Answer:
			n += btoi(a.Query == id)
		}
	}
	return n
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func TestRuleNoQueryIsLost(t *testing.T) {
	for class := range testSettings().Classes {
		h := newHand(t, handSettings())
		id, events := h.query(class, 3)
		h.step(0, events...)
		for end := h.now + h.a.settings.Classes[class].Timeout; h.now < end-h.a.settings.Tick; {
			h.step(h.a.settings.Tick, Timer{})
		}
		if h.finals(id) != 1 {
			t.Errorf("class %d: %d final answers before its time was up, want 1", class, h.finals(id))
		}
	}
}

func TestRuleNoEffectTwice(t *testing.T) {
	cases := []struct {
		class  int
		status Status
		after  Micros
		again  bool
	}{
		{2, ServerError, 10_000, false},
		{2, TimedOut, 10_000, false},
		{2, ConnectionBroken, 10_000, false},
		{2, Canceled, 10_000, false},
		{2, Rejected, 10_000, true},
		{2, ConnectFailed, 10_000, true},
		{3, ServerError, 10_000, true},
		{3, ServerError, 1_100_000, false},
		{3, Rejected, 1_100_000, true},
		{0, ServerError, 1_100_000, true},
	}
	for _, c := range cases {
		h := newHand(t, handSettings())
		id, events := h.query(c.class, 1)
		s := pick[SendAttempt](h.step(0, events...))[0]
		acts := h.step(c.after, AttemptResult{Part: s.Part, Server: s.Server, Status: c.status, Report: NoLoadReport})
		if got := len(pick[SendAttempt](acts)) > 0; got != c.again {
			t.Errorf("class %d after status %d: sent again %v, want %v", c.class, c.status, got, c.again)
		}
		if refused := len(pick[Reject](h.log)) > 0; refused && c.class == 2 {
			t.Errorf("class %d after status %d: query %d refused though it may have run", c.class, c.status, id)
		}
	}
}

func TestRuleDrainsAreKept(t *testing.T) {
	servers := ready(1, 2, 3)
	servers[1].State = Draining
	h := newHand(t, handSettings(), servers[:2]...) // 3 is gone, 2 drains
	for range 20 {
		_, events := h.query(0, 3)
		h.step(h.a.settings.Tick, events...)
	}
	sent := pick[SendAttempt](h.log)
	if len(sent) == 0 {
		t.Fatal("nothing was sent")
	}
	for _, s := range sent {
		if s.Server != 1 {
			t.Fatalf("sent to server %d, which drains or is gone", s.Server)
		}
	}
	h = newHand(t, handSettings(), servers...) // and the place that sends holds the rule by itself
	_, events := h.query(0, 1)
	h.a.Step(h.now, events)
	q := h.a.openQueries[0]
	q.parts[0].state, q.parts[0].attempts, q.parts[0].inFlight, h.a.servers[3].inFlight = partQueued, 0, nil, nil
	if h.a.send(q.parts[0], h.a.servers[2]) || !h.a.send(q.parts[0], h.a.servers[3]) {
		t.Fatal("send takes a draining server, or no ready one")
	}
}

// coldFleet lets a fleet of aggregators, all with more parts than it can take, meet one cold server that alone
// holds their shard. It returns the most work within a span against what the rule allows, and work a second.
func coldFleet(t *testing.T, fleet int, report LoadReport) (most, rate float64) {
	s := handSettings()
	s.OverloadFactor, s.SlowStartFraction, s.InstanceCount = 2, 0.25, fleet
	const work = 100_000
	var hands []*hand
	for i := range fleet {
		s.InstanceIndex = i
		h := newHand(t, s)
		h.teach(0, 60, work)
		for range 40 {
			h.a.recordLoad(h.a.servers[1], report)
		}
		hands = append(hands, h)
	}
	start := hands[0].now
	var sent []Micros
	for now := start; now < start+s.SlowStartDuration; now += 4 * s.Tick {
		for _, h := range hands {
			h.now = now
			for _, q := range h.a.openQueries { // what waits is as good as gone
				h.a.closeQuery(q)
			}
			_, query := h.query(0, 1)
			acts := h.step(0, append(query, EndpointList{[]Endpoint{{ID: 9, State: Ready, StartedAt: start}}})...)
			for _, p := range pick[SendAttempt](acts) {
				sent = append(sent, now)
				h.step(0, AttemptResult{Part: p.Part, Server: 9, Status: OK, Report: NoLoadReport})
				h.a.classes[0].referenceLatency, h.a.meanLatency, h.a.baseLatency = work, work, work // answered at once only for the window's sake
			}
		}
		in := 0.0
		for _, at := range sent {
			if at > now-s.OverloadDuration {
				in += work
			}
		}
		share := s.SlowStartFraction + (1-s.SlowStartFraction)*float64(now-start)/float64(s.SlowStartDuration)
		most = max(most, in/(s.OverloadFactor*share*float64(s.OverloadDuration)*hands[0].a.sustainedRate))
	}
	return most, work * float64(len(sent)) / float64(s.SlowStartDuration)
}

// All aggregators together keep a cold server below its limit, and yet use it, whatever their number.
func TestRuleColdServersAreNotPushedOver(t *testing.T) {
	for _, fleet := range []int{1, 2, 11, 32, 90} {
		most, rate := coldFleet(t, fleet, NoLoadReport)
		if most > 1 {
			t.Errorf("%d aggregators: a span held %.2f of the limit", fleet, most)
		}
		if rate < 0.2 { // of one part at a time, where 0.62 is what it can do on the mean; turns are rounded down
			t.Errorf("%d aggregators: the cold server got work of %.2f a second only", fleet, rate)
		}
	}
	busy := NoLoadReport
	busy.Rate = 30
	_, plain := coldFleet(t, 11, NoLoadReport)
	if _, more := coldFleet(t, 11, busy); more <= plain {
		t.Errorf("work of %.2f a second where warm servers bear more, %.2f where they say nothing", more, plain)
	}
}

func TestRuleAnswersAreHonest(t *testing.T) {
	for _, in := range []int{3, 4, 5} { // of 5 parts; least is 0.8
		h := newHand(t, handSettings(), append(ready(1, 2, 3), ready(4, 5, 6)...)...)
		id, events := h.query(4, 5)
		sent := pick[SendAttempt](h.step(0, events...))
		for i := range in { // the lightest parts leave only when others have been answered
			s := sent[i]
			sent = append(sent, pick[SendAttempt](h.step(1000, AttemptResult{Part: s.Part, Server: s.Server, Status: OK, Report: NoLoadReport}))...)
		}
		for range 360 {
			h.step(h.a.settings.Tick, Timer{})
		}
		answers := pick[Answer](h.log)
		if want := btoi(in >= 4); len(answers) != want {
			t.Fatalf("%d of 5 in: %d answers before the aim, want %d", in, len(answers), want)
		}
		if len(answers) > 0 && (answers[0].Complete != (in == 5) || answers[0].Query != id) {
			t.Errorf("%d of 5 in: answered %+v", in, answers[0])
		}
	}
}

func TestRuleBudget(t *testing.T) {
	h := newHand(t, handSettings())
	taken := 0
	for range 40 {
		_, events := h.query(0, 1)
		taken += len(events)
		acts := h.step(h.a.settings.Tick, events...)
		for range 3 {
			var outcomes []Event
			for _, s := range pick[SendAttempt](acts) {
				p := h.a.parts[s.Part]
				outcomes = append(outcomes, AttemptResult{Part: s.Part, Attempt: p.attempts - 1, Server: s.Server, Status: ServerError, Report: NoLoadReport})
			}
			acts = h.step(h.a.settings.Tick, outcomes...)
		}
	}
	tries := map[uint64]int{}
	further := 0
	for _, s := range pick[SendAttempt](h.log) {
		further += btoi(tries[s.Part] > 0)
		tries[s.Part]++
	}
	if limit := int(h.a.settings.RetryBudgetMinimum + h.a.settings.RetryBudgetRatio*float64(taken)); further == 0 || further > limit {
		t.Fatalf("%d further attempts, want some and at most %d", further, limit)
	}
}

// ---- ranking and dealing

func TestSharesFollowUtility(t *testing.T) {
	h := newHand(t, handSettings())
	for id, f := range map[uint32]float64{1: 1, 2: 2, 3: 2} {
		h.a.servers[id].latencyRatio, h.a.servers[id].sampledAt = f, h.now
	}
	counts := map[uint32]int{}
	for range 400 {
		q := &query{class: h.a.classes[0]}
		p := &part{query: q, state: partQueued, relativeCost: 1}
		h.a.parts[0] = p
		s := h.a.chooseReplica(p)
		if len(counts) == 0 && s.ID != 1 {
			t.Errorf("the first part went to server %d, not to the best", s.ID)
		}
		counts[s.ID]++
	}
	for id, want := range map[uint32]int{1: 200, 2: 100, 3: 100} { // w is 1, 1/2, 1/2
		if got := counts[id]; math.Abs(float64(got-want)) > 12 {
			t.Errorf("server %d was dealt %d of 400, want about %d", id, got, want)
		}
	}
}

func TestPartsOfAQueryOnDistinctServers(t *testing.T) {
	h := newHand(t, handSettings())
	_, events := h.query(0, 3)
	seen := map[uint32]bool{}
	for _, s := range pick[SendAttempt](h.step(0, events...)) {
		seen[s.Server] = true
	}
	if len(seen) != 3 {
		t.Fatalf("three parts on %d servers", len(seen))
	}
	_, events = h.query(0, 5) // more parts than servers: all are sent all the same
	if sent := pick[SendAttempt](h.step(0, events...)); len(sent) < 3 {
		t.Fatalf("%d of five parts sent where three servers have room", len(sent))
	}
}

func TestReportsMoveChoices(t *testing.T) {
	h := newHand(t, handSettings())
	h.teach(0, 30, 200_000)
	p := &part{query: &query{class: h.a.classes[0]}, relativeCost: 1}
	before := h.a.predictLatency(h.a.servers[2], p)
	r := NoLoadReport
	r.Inflight = 8
	h.a.recordLoad(h.a.servers[2], r)
	if after := h.a.predictLatency(h.a.servers[2], p); after < 2*before {
		t.Errorf("a report of eight in hand moved the prediction from %v to %v only", before, after)
	}
	h.now += h.a.classes[0].LatencyObjective * 2
	h.step(0)
	if old := h.a.predictLatency(h.a.servers[2], p); math.Abs(old-before) > 0.2*before {
		t.Errorf("an old report still counts: %v against %v", old, before)
	}
}

// ---- failures found

// A fresh aggregator knows no latency but the aim; it must neither refuse nor give up by it.
func TestFreshStartRefusesNothing(t *testing.T) {
	h := newHand(t, handSettings())
	for range 10 {
		_, events := h.query(0, 3)
		h.step(h.a.settings.Tick, events...)
	}
	if n := len(pick[Reject](h.log)); n > 0 {
		t.Fatalf("%d of the first ten queries refused", n)
	}
}

func TestFastErrorsDoNotLookQuick(t *testing.T) {
	h := newHand(t, handSettings())
	h.teach(0, 30, 200_000)
	s := h.a.servers[2]
	_, events := h.query(0, 3)
	for _, sent := range pick[SendAttempt](h.step(h.a.settings.Tick, events...)) {
		if sent.Server == 2 {
			h.step(1000, AttemptResult{Part: sent.Part, Server: 2, Status: ServerError, Report: NoLoadReport})
		}
	}
	if f := h.a.slowness(s); f < 2 {
		t.Fatalf("after an error within a millisecond the server counts as %v of its peers' latency", f)
	}
}

func TestSilenceShowsBeforeAnyTimeOut(t *testing.T) {
	h := newHand(t, handSettings())
	h.teach(0, 30, 200_000)
	_, events := h.query(0, 3)
	h.step(h.a.settings.Tick, events...)
	h.step(900_000, Timer{})
	if !h.a.isOutlier(h.a.servers[1]) {
		t.Fatalf("silent for several latencies, yet slowness is %v", h.a.slowness(h.a.servers[1]))
	}
}

// Where no budget is set nothing cuts what it counts: it must not be counted.
func TestNothingIsCountedWithoutABudget(t *testing.T) {
	set := handSettings()
	set.RetryBudgetWindow = 0
	h := newHand(t, set)
	h.teach(0, 50, 1000)
	if n := len(h.a.acceptedHistory) + len(h.a.retryHistory); n > 0 {
		t.Errorf("%d entries are kept for good", n)
	}
}

// One server that resets a connection under several parts of a query has not been felled by it twice.
func TestOneServerThatBreaksTwoPartsIsNoSecondOne(t *testing.T) {
	h := newHand(t, handSettings(), ready(1)...)
	h.teach(0, 20, 100_000)
	id, events := h.query(0, 2)
	for _, s := range pick[SendAttempt](h.step(h.a.settings.Tick, events...)) {
		h.step(1000, AttemptResult{Part: s.Part, Server: 1, Status: ConnectionBroken, Report: NoLoadReport})
	}
	if h.finals(id) > 0 {
		t.Error("given up though its other attempts remain")
	}
}

// Resets cost a shard's only replica its rank, not its queries: they end at once, and what they hit is asked again.
func TestOnlyReplicaThatResetsIsNotHeldToBeSlow(t *testing.T) {
	h := newHand(t, handSettings(), ready(1)...)
	aim := h.a.settings.Classes[0].LatencyObjective
	h.a.settings.RetryBudgetWindow = 0
	h.teach(0, 20, aim/10)
	for range 8 { // each first attempt breaks
		_, events := h.query(0, 1)
		sent := pick[SendAttempt](h.step(h.a.settings.Tick, events...))
		sent = pick[SendAttempt](h.step(aim/100, AttemptResult{Part: sent[0].Part, Server: 1, Status: ConnectionBroken, Report: NoLoadReport}))
		h.step(aim/10, AttemptResult{Part: sent[0].Part, Attempt: 1, Server: 1, Status: OK, Report: NoLoadReport})
	}
	for range int(h.a.concurrencyLimit()) + 1 { // one more than finds room
		_, events := h.query(0, 1)
		if got := pick[Reject](h.step(0, events...)); len(got) > 0 {
			t.Fatalf("refused behind %d of its parts: slowness %.1f", len(h.a.servers[1].inFlight), h.a.slowness(h.a.servers[1]))
		}
	}
	if !h.a.isOutlier(h.a.servers[1]) {
		t.Error("a server that resets ranks with sound ones")
	}
}

func TestAllSlowTogetherEjectsNobody(t *testing.T) {
	h := newHand(t, handSettings())
	h.teach(0, 60, 100_000)
	h.teach(0, 60, 250_000)
	for _, s := range h.a.serversByID {
		if h.a.isOutlier(s) {
			t.Errorf("server %d is an outlier though all slowed alike", s.ID)
		}
	}
}

// A server holds two of an aggregator's attempts, more where few aggregators share it; the rest wait here.
func TestWindowScalesWithTheFleet(t *testing.T) {
	for fleet, want := range map[int]int{1: 6, 2: 3, 3: 2, 32: 2} {
		s := handSettings()
		s.InstanceCount = fleet
		h := newHand(t, s, ready(1)...)
		for range 9 {
			_, events := h.query(0, 1)
			h.step(0, events...)
		}
		if n := len(pick[SendAttempt](h.log)); n != want {
			t.Errorf("%d aggregators: %d attempts at one server, want %d", fleet, n, want)
		}
	}
}

// The owner turns queries away at MaxOpen; what it hands over is served, or the limit would be one query stricter.
func TestMaxOpenIsTheOwnersToKeep(t *testing.T) {
	s := handSettings()
	s.MaxOpen = 12
	h := newHand(t, s)
	var all []Event
	for range 4 {
		_, events := h.query(0, 3)
		all = append(all, events...)
	}
	if n := len(pick[Reject](h.step(0, all...))); n != 0 {
		t.Fatalf("%d of four refused though the owner handed them over", n)
	}
}

// probing are settings under which each part may pay for probes of all its replicas.
func probing() Settings {
	s := handSettings()
	s.AllowHealthChecks, s.LoadByHealthCheckOnly, s.PriceHealthCheck = true, true, 0.001
	return s
}

// The wait of a probe shows the queue that other aggregators' parts made: a part goes where probes came back at once.
func TestQueuedProbePassesAReplicaOver(t *testing.T) {
	for _, slow := range []uint32{1, 2, 3} {
		h := newHand(t, probing())
		h.step(2_000_000, Timer{}) // nothing heard for long
		_, events := h.query(0, 1)
		acts := h.step(0, events...)
		if n, m := len(pick[HealthCheck](acts)), len(pick[SendAttempt](acts)); n != 3 || m != 0 {
			t.Fatalf("%d probes and %d parts sent at once, want 3 and 0", n, m)
		}
		var back []Event
		for id := range uint32(3) {
			if id+1 != slow {
				back = append(back, HealthCheckResult{Server: id + 1, Status: OK, Report: NoLoadReport})
			}
		}
		h.step(h.a.settings.Tick, back...)
		h.step(h.a.settings.Tick, Timer{})
		for range 3 { // a share of the parts would go there by utility alone
			_, events := h.query(0, 1)
			h.step(0, events...)
			h.step(2*h.a.settings.Tick, Timer{})
		}
		sent := pick[SendAttempt](h.log)
		for _, s := range sent {
			if s.Server == slow {
				t.Errorf("server %d did not answer its probe, sent %+v", slow, sent)
			}
		}
		if len(sent) < 3 {
			t.Errorf("sent %+v, want the parts at the servers that answered", sent)
		}
	}
}

// A part never waits for probes longer than two ticks, whatever becomes of them.
func TestSilentProbesHoldNothingUp(t *testing.T) {
	h := newHand(t, probing())
	h.step(2_000_000, Timer{})
	_, events := h.query(0, 1)
	h.step(0, events...)
	if n := len(pick[SendAttempt](h.step(2*h.a.settings.Tick, Timer{}))); n != 1 {
		t.Fatalf("%d parts sent after two ticks of silence, want 1", n)
	}
}

// One part at a server known to be slow, its peers idle: it moves while the aim can still be met, but only as
// the last of its query, since under overload all parts are late.
func TestStragglerGetsALastChance(t *testing.T) {
	for _, in := range []int{0, 4, -4} { // below 0: without second copies, where a last chance would cost the first
		set := handSettings()
		set.AllowHedging = in >= 0
		h := newHand(t, set, append(ready(1, 2, 3), ready(4, 5, 6)...)...)
		h.teach(0, 40, 200_000)
		_, events := h.query(0, 5)
		sent := pick[SendAttempt](h.step(0, events...))
		for i, s := range sent {
			h.a.parts[s.Part].inFlight[0].predictedLatency = 900_000 // so that no part is late by its own prediction
			if i < max(in, -in) {
				h.step(0, AttemptResult{Part: s.Part, Server: s.Server, Status: OK, Report: NoLoadReport})
			}
		}
		for _, s := range h.a.serversByID {
			s.latencyRatio, s.respondedAt = 1, h.now+10_000_000
		}
		h.log = nil
		for range 380 {
			h.step(h.a.settings.Tick, Timer{})
		}
		if n := len(pick[CancelAttempt](h.log)) + len(pick[SendAttempt](h.log)); (n > 0) != (in > 0) {
			t.Errorf("%d of 5 parts in: %d cancels and further attempts near the aim", in, n)
		}
	}
}

// afterSilence leaves an aggregator's attempts on idle connections without answer and ends those on new ones as
// told. It returns how many connections are closed after that where no server is under suspicion itself.
func afterSilence(t *testing.T, again Status) int {
	h := newHand(t, handSettings())
	h.teach(0, 30, 100_000)
	for range 20 {
		h.log = nil
		h.step(2*Micros(h.a.meanObjective), Timer{}) // no connection was in use for long
		_, events := h.query(0, 1)
		sent := pick[SendAttempt](h.step(0, events...))
		if len(sent) != 1 {
			t.Fatalf("sent %+v, want one attempt", sent)
		}
		status := TimedOut
		if len(pick[CloseIdleConnections](h.log)) > 0 {
			status = again
		}
		h.step(300_000, AttemptResult{Part: sent[0].Part, Server: sent[0].Server, Status: status, Report: NoLoadReport})
		for _, q := range h.a.openQueries {
			h.a.closeQuery(q)
		}
	}
	for _, s := range h.a.serversByID {
		s.suspect = false
	}
	if again == ConnectFailed { // what was proven before falls with the first connection that can't be made
		h.a.freshConnectionSuccess = 0.9
		h.a.classifyConnection(&attempt{server: h.a.serversByID[0], freshConnection: true}, ConnectFailed)
	}
	h.log = nil
	h.step(2*Micros(h.a.meanObjective), Timer{})
	_, events := h.query(0, 3)
	h.step(0, events...)
	if len(pick[SendAttempt](h.log)) == 0 {
		t.Fatal("nothing was sent")
	}
	return len(pick[CloseIdleConnections](h.log))
}

// Connections dropped unseen: silence on idle ones that ends on new ones condemns all idle ones. A server bad for
// this aggregator alone loses new connections too, and then nothing is closed.
func TestIdleConnectionsAreClosedOnceProvenBad(t *testing.T) {
	if n := afterSilence(t, OK); n == 0 {
		t.Error("idle connections are still used though new ones to the same servers were answered")
	}
	if n := afterSilence(t, ConnectFailed); n != 0 {
		t.Errorf("%d idle connections closed though new ones can't be made", n)
	}
}

// Parts that are late at busy servers look like parts on dropped connections, and new connections bring answers there
// too. Among many aggregators each server is met so seldom that all connections are idle: if those answer, late or in
// time, none may be closed unseen, or each part of the fleet costs a handshake.
func TestLateAnswersClearIdleConnections(t *testing.T) {
	h := newHand(t, handSettings())
	h.teach(0, 30, 100_000)
	hung := 0
	for i := range 60 {
		h.log = nil
		for _, s := range h.a.serversByID {
			s.latencyRatio = 1 // what is late now was quick before, and the fleet as a whole keeps its pace
		}
		h.a.classes[0].referenceLatency = 100_000
		h.step(Micros(h.a.meanObjective), Timer{})
		_, events := h.query(0, 1)
		for _, s := range pick[SendAttempt](h.step(0, events...)) {
			took := Micros(100_000)
			if i%2 == 0 {
				took = 700_000
			}
			for range took / 50_000 {
				h.step(50_000, Timer{})
			}
			h.step(0, AttemptResult{Part: s.Part, Server: s.Server, Status: OK, Report: NoLoadReport})
		}
		hung += len(pick[CloseIdleConnections](h.log))
	}
	if hung > 3 {
		t.Errorf("%d of 60 idle connections closed, though each was answered on", hung)
	}
}

// A client that leaves before the time that its query usually takes is turned away at once, not worked for in vain.
func TestTryThatLeavesTooEarlyDrawsNoWork(t *testing.T) {
	for _, patience := range []Micros{50_000, 1_500_000} {
		s := handSettings()
		s.InstanceCount = 32 // own room says nothing
		h := newHand(t, s)
		h.teach(0, 30, 200_000)
		h.log = nil
		id, events := h.query(0, 1)
		q := events[0].(Query)
		q.Deadline = h.now + patience
		events[0] = q
		h.step(0, events...)
		if sent := len(pick[SendAttempt](h.log)); (sent > 0) != (patience > 200_000) || h.finals(id) != 1-sent {
			t.Errorf("patience of %d us: %d attempts, %d final answers", patience, sent, h.finals(id))
		}
	}
}

// The slowest of a query's parts takes longer than the mean of one: what fits by prediction only is refused.
func TestAdmissionLearnsWhatQueriesTake(t *testing.T) {
	s := handSettings()
	s.InstanceCount = 32
	h := newHand(t, s)
	h.teach(0, 30, 200_000)
	h.a.classes[0].latencyRatio = 20
	id, events := h.query(0, 1)
	if h.step(0, events...); h.finals(id) != 1 {
		t.Error("admitted, though such queries took twenty times their predicted wait")
	}
}

// A class locked out by a jam's figures is let in once in a mean aim, so that these can be unlearned.
func TestRefusedClassIsTriedAgain(t *testing.T) {
	s := handSettings()
	s.InstanceCount = 32
	h := newHand(t, s)
	h.teach(0, 30, 200_000)
	h.a.classes[0].latencyRatio = 20
	h.log = nil
	const mean = 10
	for range mean * 3 {
		_, events := h.query(0, 1)
		h.step(Micros(h.a.meanObjective)/mean, events...)
	}
	if n := len(pick[SendAttempt](h.log)); n < 2 || n > 4 {
		t.Fatalf("%d queries let in within three mean aims, want about one each", n)
	}
}

// A part whose last server is the only sound one is not held back from the others for it.
func TestOnlySoundServerHavingFailedHoldsNothingUp(t *testing.T) {
	h := newHand(t, handSettings())
	h.teach(0, 40, 100_000)
	_, events := h.query(0, 1)
	s := pick[SendAttempt](h.step(0, events...))[0]
	for _, other := range h.a.serversByID {
		if other.ID != s.Server {
			other.latencyRatio, other.sampledAt = 5, h.now
		}
	}
	acts := h.step(10_000, AttemptResult{Part: s.Part, Server: s.Server, Status: Rejected, Report: NoLoadReport})
	if len(pick[SendAttempt](acts)) != 1 {
		t.Fatal("the part waits for the server that has just turned it away")
	}
}

func TestShardThatNobodyHoldsDrawsNoWork(t *testing.T) {
	s := handSettings()
	s.ReplicationFactor = 1
	h := newHand(t, s, ready(1, 2)...)
	id, events := h.query(0, 3)
	acts := h.step(0, events...)
	if len(pick[SendAttempt](acts)) > 0 || h.finals(id) != 1 {
		t.Fatalf("got %+v, want the query refused at once", acts)
	}
	if r := pick[Reject](acts); len(r) != 1 || r[0].RetryAfter != s.MaxRetryAfter {
		t.Fatalf("refusal %+v without word when to come back", r)
	}
}

func TestSpareReplacesWhatIsLateWithoutBudget(t *testing.T) {
	s := handSettings()
	s.RetryBudgetMinimum, s.RetryBudgetRatio = 0, 0
	h := newHand(t, s, append(ready(1, 2, 3), ready(4, 5, 6)...)...)
	h.teach(1, 30, 200_000)
	h.log = nil
	_, events := h.query(1, 5) // three of five make a whole
	if n := len(pick[SendAttempt](h.step(0, events...))); n != 3 {
		t.Fatalf("asked for %d parts at first, want the 3 that are needed", n)
	}
	h.step(900_000, Timer{})
	if n := len(pick[SendAttempt](h.log)); n != 5 {
		t.Fatalf("%d asked after a long silence, want the two spares too", n)
	}
}

// trials counts the parts that go to a server 1 that answers none within twenty mean aims.
func trials(t *testing.T, s Settings, probe Status) int {
	h := newHand(t, s)
	h.teach(0, 40, 100_000)
	n := 0
	for end := h.now + 20*Micros(h.a.meanObjective); h.now < end; {
		_, events := h.query(0, 1)
		acts := h.step(100_000, events...)
		asked := pick[HealthCheck](h.log)
		h.log = nil
		for _, p := range asked {
			status := OK
			if p.Server == 1 {
				status = probe
			}
			h.step(0, HealthCheckResult{Server: p.Server, Status: status, Report: NoLoadReport})
		}
		for queue := pick[SendAttempt](acts); len(queue) > 0; queue = queue[1:] { // retries join the queue
			sent, status, after := queue[0], OK, Micros(100_000)
			if sent.Server == 1 {
				n++
				status, after = TimedOut, 400_000
			}
			queue = append(queue, pick[SendAttempt](h.step(after, AttemptResult{
				Part: sent.Part, Attempt: h.a.parts[sent.Part].attempts - 1,
				Server: sent.Server, Status: status, Report: NoLoadReport,
			}))...)
		}
	}
	return n
}

// A silent server gets few trials, ever further apart; none while its probes fail.
func TestTrialsInVainGrowRare(t *testing.T) {
	s := handSettings()
	plain := trials(t, s, OK)
	s.AllowHealthChecks, s.LoadByHealthCheckOnly, s.PriceHealthCheck = true, true, 0.001
	muted := trials(t, s, TimedOut)
	if plain < 2 || plain > 10 {
		t.Errorf("%d parts risked at a silent server in twenty aims, want a few", plain)
	}
	if muted >= plain {
		t.Errorf("%d parts risked where its probes fail, %d where nothing is probed", muted, plain)
	}
}

func TestUnusableSettingsNameTheField(t *testing.T) {
	for field, spoil := range map[string]func(*Settings){
		"Classes": func(s *Settings) { s.Classes = nil }, "Shards": func(s *Settings) { s.Shards = 0 },
		"Reach": func(s *Settings) { s.ReplicationFactor = 9 }, "Tick": func(s *Settings) { s.Tick = 0 },
		"Number": func(s *Settings) { s.InstanceIndex = s.InstanceCount }, "Fleet": func(s *Settings) { s.InstanceCount = 0 }, "Aim": func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
		"Least": func(s *Settings) { s.Classes[0].MinCoverage = math.NaN() },
	} {
		s := testSettings()
		spoil(&s)
		if _, err := New(s, 1); err == nil || !contains(err.Error(), field) {
			t.Errorf("%s: error %v", field, err)
		}
	}
}

func contains(s, sub string) bool {
	for i := 0; i+len(sub) <= len(s); i++ {
		if s[i:i+len(sub)] == sub {
			return true
		}
	}
	return false
}

func TestBadInputIsOfNoMatter(t *testing.T) {
	h := newHand(t, handSettings())
	h.step(0, AttemptResult{Part: 1, Server: 1}, AttemptResult{Server: 77}, HealthCheckResult{Server: 1}, HealthCheckResult{Server: 77},
		ClientCanceled{5}, Part{ID: 3, Number: 99}, EndpointListFailed{}, Timer{})
	id, events := h.query(0, 1)
	events = append(events, events[0], events[1], Part{ID: 4, Number: id, Shard: -1}, Part{ID: 5, Number: id, Shard: 99},
		Part{ID: 6, Number: id, Weight: math.NaN()})
	s := pick[SendAttempt](h.step(0, events...))[0]
	ok := AttemptResult{Part: s.Part, Server: s.Server, Status: OK, Report: LoadReport{math.NaN(), -1, -1, -1, math.Inf(1), -1}}
	h.step(-50_000, ok, ok) // twice, and time runs backwards
	if h.finals(id) != 1 {
		t.Fatalf("%d final answers, want 1", h.finals(id))
	}
	acts := h.step(100_000, Query{ID: 9, Number: 9, Class: 44, Parts: 1})
	if len(pick[Reject](acts)) != 1 {
		t.Fatalf("a query of no known class got %+v", acts)
	}
	h.step(0, EndpointList{nil})
	h.step(0, EndpointList{[]Endpoint{{ID: 1, State: Ready, RingPosition: -3}, {ID: 2, State: Ready, RingPosition: 99}}})
}

// Parts of a query join one call where a call costs as much as a part, and none where it costs nothing.
func TestCallsAreSharedWhereTheyCost(t *testing.T) {
	for _, work := range []Micros{0, 100_000} {
		s := handSettings()
		s.BatchOverhead, s.MaxBatchSize = work, 8
		h := newHand(t, s, append(ready(1, 2, 3), ready(4, 5, 6)...)...)
		h.teach(0, 60, 200_000)
		_, events := h.query(0, 4)
		servers := map[uint32]bool{}
		sends := pick[SendAttempt](h.step(0, events...))
		for _, p := range sends {
			servers[p.Server] = true
		}
		if len(sends) != 4 || (len(servers) == 4) != (work == 0) {
			t.Errorf("a call of %d: %d parts went to %d servers", work, len(sends), len(servers))
		}
	}
}

// A server that turns a part away is left alone a while, longer each time; what can wait for it waits here.
func TestFullServersAreBackedOffFrom(t *testing.T) {
	h := newHand(t, handSettings(), ready(1)...)
	h.teach(0, 40, 100_000)
	_, events := h.query(0, 1)
	sent := pick[SendAttempt](h.step(0, events...))
	var gaps []Micros
	for range 2 {
		at := h.now
		acts := h.step(h.a.settings.Tick, AttemptResult{Part: sent[0].Part, Attempt: len(gaps), Server: 1, Status: Rejected, Report: NoLoadReport})
		for sent = pick[SendAttempt](acts); len(sent) == 0 && h.now < at+2_000_000; {
			sent = pick[SendAttempt](h.step(h.a.settings.Tick, Timer{}))
		}
		if len(sent) == 0 {
			t.Fatal("the part was never sent again")
		}
		gaps = append(gaps, h.now-at)
	}
	if gaps[0] < 50_000 || gaps[1] < gaps[0]*3/2 {
		t.Errorf("sent again after %v us", gaps)
	}
}

// Queries that die of full servers let fewer of their class in, and those in time let more in again.
func TestJammedClassIsPaced(t *testing.T) {
	h := newHand(t, handSettings())
	h.teach(0, 40, 100_000)
	q := &query{class: h.a.classes[0], wasRejected: true}
	refused := func() int {
		n := 0
		for range 100 {
			_, events := h.query(0, 1)
			acts := h.step(200_000, events...)
			n += len(pick[Reject](acts))
			for _, s := range pick[SendAttempt](acts) {
				h.step(1000, AttemptResult{Part: s.Part, Server: s.Server, Status: OK, Report: NoLoadReport})
			}
		}
		return n
	}
	if n := refused(); n != 0 {
		t.Fatalf("%d of 100 refused before any jam", n)
	}
	h.a.queries[q.ID] = q
	h.a.rejectOrFail(q)
	h.a.rejectOrFail(q)
	h.a.settings.InstanceCount = 11 // own room says nothing at size
	if n := refused(); n < 10 || n > 90 || h.a.classes[0].overloadCount != 0 {
		t.Errorf("%d of 100 refused after two jammed queries, %d jams left", n, h.a.classes[0].overloadCount)
	}
}

// A part that its hint calls heavy is predicted to take longer than others, by half the hint's logarithm.
func TestHintsScaleWhatIsLate(t *testing.T) {
	h := newHand(t, handSettings())
	c := h.a.classes[0]
	for i := range 300 {
		c.relativeCost(Micros(50_000 << (i % 3)))
	}
	if r := c.relativeCost(200_000) / c.relativeCost(50_000); r < 1.9 || r > 2.1 || c.relativeCost(0) != 1 || c.relativeCost(-5) != 1 {
		t.Errorf("four times the hint is held to be %.2f times the work, no hint %.2f", r, c.relativeCost(0))
	}
	q := &query{class: c}
	light, heavy := &part{query: q, relativeCost: c.relativeCost(50_000)}, &part{query: q, relativeCost: c.relativeCost(200_000)}
	if s := h.a.serversByID[0]; h.a.predictLatency(s, heavy) < 1.5*h.a.predictLatency(s, light) {
		t.Error("a heavy part is predicted to be as quick as a light one")
	}
}

// A query that breaks two servers is given up at once, and its key's next sends one part ahead.
func TestQueriesThatFellServers(t *testing.T) {
	h := newHand(t, handSettings(), append(ready(1, 2, 3), ready(4, 5, 6)...)...)
	h.teach(0, 40, 100_000)
	next := func(key uint64) (uint64, []SendAttempt) {
		id, events := h.query(0, 3)
		q := events[0].(Query)
		q.Key = key
		events[0] = q
		return id, pick[SendAttempt](h.step(h.a.settings.Tick, events...))
	}
	id, sent := next(7)
	if len(sent) != 3 {
		t.Fatalf("%d parts sent at first", len(sent))
	}
	for _, s := range sent[:2] {
		h.step(h.a.settings.Tick, AttemptResult{Part: s.Part, Server: s.Server, Status: ConnectionBroken, Report: NoLoadReport})
	}
	if h.finals(id) != 1 {
		t.Fatal("the query goes on after two servers died of it")
	}
	if id, sent = next(7); len(sent) != 1 {
		t.Fatalf("the key's next query sends %d parts ahead, want one", len(sent))
	}
	acts := h.step(h.a.settings.Tick, AttemptResult{Part: sent[0].Part, Server: sent[0].Server, Status: OK, Report: NoLoadReport})
	if n := len(pick[SendAttempt](acts)); n != 2 {
		t.Errorf("after the first answer %d parts follow, want two", n)
	}
	if _, sent = next(8); len(sent) != 3 {
		t.Errorf("another key's query sends %d parts, want all", len(sent))
	}
	// resets that spare some of a query's parts are no evidence against it
	id, sent = next(9)
	h.step(h.a.settings.Tick, AttemptResult{Part: sent[2].Part, Server: sent[2].Server, Status: OK, Report: NoLoadReport})
	for _, s := range sent[:2] {
		h.step(h.a.settings.Tick, AttemptResult{Part: s.Part, Server: s.Server, Status: ConnectionBroken, Report: NoLoadReport})
	}
	if h.finals(id) != 0 {
		t.Error("a query with an answered part was given up for two resets")
	}
	h.now += h.a.settings.SlowStartDuration
	if _, sent = next(7); len(sent) != 3 {
		t.Errorf("the key is never forgiven: %d parts sent", len(sent))
	}
}

// The lightest parts of a query that may be answered in part leave one by one where servers are busy.
func TestLightPartsYieldUnderLoad(t *testing.T) {
	for _, busy := range []float64{0.2, 0.9} {
		h := newHand(t, handSettings(), append(ready(1, 2, 3), ready(4, 5, 6)...)...)
		h.teach(4, 40, 100_000)
		h.a.meanUtilization = busy
		_, events := h.query(4, 6)
		for i, w := range []float64{0.5, 0.3, 0.08, 0.06, 0.04, 0.02} {
			p := events[i+1].(Part)
			p.Weight = w
			events[i+1] = p
		}
		sent := pick[SendAttempt](h.step(h.a.settings.Tick, events...))
		if want := 2 + 4*btoi(busy < 0.5); len(sent) != want {
			t.Fatalf("load %.1f: %d parts sent at first, want %d", busy, len(sent), want)
		}
		acts := h.step(h.a.settings.Tick, AttemptResult{Part: sent[0].Part, Server: sent[0].Server, Status: OK, Report: NoLoadReport})
		if n := len(pick[SendAttempt](acts)); n != btoi(busy > 0.5) {
			t.Errorf("load %.1f: a quick answer brought %d more parts", busy, n)
		}
	}
}

// A list that can't be had is asked for again after ever longer waits, by each aggregator at another time, and never
// later than AskWithin; a list that comes ends that.
func TestFailedListCallsAreBackedOffFrom(t *testing.T) {
	first := map[Micros]bool{}
	for number := range 8 {
		s := handSettings()
		s.InstanceCount, s.InstanceIndex, s.PollEndpoints, s.PollInterval = 8, number, true, 10_000_000
		h := newHand(t, s)
		calls, waits := len(pick[PollEndpoints](h.log)), []Micros{}
		if calls != 1 {
			t.Fatalf("%d calls at the start, want one", calls)
		}
		for range 5 {
			from := h.now
			acts := h.step(s.Tick, EndpointListFailed{})
			for len(pick[PollEndpoints](acts)) == 0 && h.now < from+20_000_000 {
				acts = h.step(s.Tick, Timer{})
			}
			waits = append(waits, h.now-from)
		}
		first[waits[0]] = true
		if waits[0] < Micros(h.a.meanObjective)/2 || waits[1] < waits[0]*3/2 || waits[4] > s.PollInterval+2*s.Tick {
			t.Errorf("aggregator %d called again after %v", number, waits)
		}
		h.step(s.Tick, EndpointList{ready(1, 2, 3)})
		if h.a.failedPolls != 0 {
			t.Error("a list that came leaves the wait long")
		}
	}
	if len(first) != 8 {
		t.Errorf("8 aggregators call again at %d different times", len(first))
	}
}

// Servers that report what waits, and not what is in hand, report a load all the same. Among many aggregators it is
// the only word of it: own attempts say nothing.
func TestWaitingPartsCountAsLoad(t *testing.T) {
	h := newHand(t, handSettings())
	h.teach(0, 30, 100_000)
	busy := NoLoadReport
	busy.Queue, busy.Rate = 12, 40
	for _, s := range h.a.serversByID {
		h.a.recordLoad(s, NoLoadReport)
	}
	h.a.recordLoad(h.a.serversByID[0], busy)
	h.log = nil
	for range 12 {
		_, events := h.query(0, 1)
		for _, s := range pick[SendAttempt](h.step(0, events...)) {
			h.step(0, AttemptResult{Part: s.Part, Server: s.Server, Status: OK, Report: NoLoadReport})
		}
	}
	got := map[uint32]int{}
	for _, s := range pick[SendAttempt](h.log) {
		got[s.Server]++
	}
	if id := h.a.serversByID[0].ID; 3*got[id] > got[h.a.serversByID[1].ID] {
		t.Errorf("parts %v, want few at server %d, where twelve wait", got, id)
	}
}
