package maintenance

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const second, minute, hour Micros = 1_000_000, 60_000_000, 3_600_000_000

// begun is the checker. It tests the rule by counting and without the ledger: no machine begins to drain whose leaving would put a shard
// that it holds under its least number of sound replicas, or more out than the rules allow, whoever asked for it.

func outOf(s State) map[string]bool {
	out := map[string]bool{}
	for _, p := range s.Permits {
		switch p.Step {
		case Draining, Empty, Out, Returning, Warming:
			out[p.Machine] = true
		}
	}
	for m := range s.Unsound {
		out[m] = true
	}
	return out
}

// begun returns what is wrong with a machine that has just begun to drain.
func begun(s State, name string) error {
	out := outOf(s)
	own := s.Layout.Machine(name)
	for shard := range s.Layout.Shards {
		sound, mine := 0, false
		for _, m := range s.Layout.Machines {
			for _, st := range m.Stores {
				for j := range s.Layout.Reach {
					if (shard+j)%s.Layout.Cells == st.Cell {
						if !out[m.Name] {
							sound++
						}
						mine = mine || m.Name == name
					}
				}
			}
		}
		if mine && sound < max(1, s.Rules.KeepSound) {
			return fmt.Errorf("shard %d has %d sound replicas", shard, sound)
		}
	}
	stores, allStores, zone, allZone, voters, allVoters, fleet, allFleet, pair := 0, 0, 0, 0, 0, 0, 0, 0, 0
	for _, m := range s.Layout.Machines {
		count := func(n, all *int, by int) {
			if *all += by; out[m.Name] {
				*n += by
			}
		}
		count(&stores, &allStores, len(m.Stores))
		if m.Zone == own.Zone {
			count(&zone, &allZone, len(m.Stores))
		}
		if m.Voter {
			count(&voters, &allVoters, 1)
		}
		if m.Member {
			count(&fleet, &allFleet, 1)
		}
		if own.Pair != "" && m.Pair == own.Pair && out[m.Name] {
			pair++
		}
	}
	over := func(n, all int, part float64) bool { return part > 0 && n > 1 && float64(n) > part*float64(all)+1e-6 }
	switch {
	case len(own.Stores) > 0 && over(stores, allStores, s.Rules.MostStores):
		return fmt.Errorf("%d of %d stores are out", stores, allStores)
	case len(own.Stores) > 0 && over(zone, allZone, s.Rules.MostZone):
		return fmt.Errorf("%d of %d stores of zone %s are out", zone, allZone, own.Zone)
	case own.Member && over(fleet, allFleet, s.Rules.MostFleet):
		return fmt.Errorf("%d of %d members are out", fleet, allFleet)
	case own.Voter && 2*(allVoters-voters) <= allVoters:
		return fmt.Errorf("%d of %d voters are up", allVoters-voters, allVoters)
	case pair > 1:
		return fmt.Errorf("two of pair %s are out", own.Pair)
	case s.Held != nil:
		return fmt.Errorf("the work is held")
	}
	return nil
}

// town is a random layout.
func town(rng *rand.Rand, machines int) *Layout {
	l := &Layout{Cells: 1 + rng.IntN(3), Shards: 6}
	l.Reach = 1 + rng.IntN(l.Cells)
	for i := range machines {
		m := Machine{Name: fmt.Sprintf("m%03d", i), Zone: string(rune('a' + i%3)), Kind: string(rune('x' + i%2)), Member: rng.IntN(2) == 0, Voter: i < 3}
		if rng.IntN(4) == 0 {
			m.Pair = "p"
		}
		for k := range rng.IntN(3) {
			m.Stores = append(m.Stores, Store{Name: fmt.Sprintf("s%d-%d", i, k), Cell: rng.IntN(l.Cells), Weight: 1})
		}
		l.Machines = append(l.Machines, m)
	}
	return l
}

func rules(rng *rand.Rand) Rules {
	part := func() float64 { return []float64{0, 0.2, 0.4, 1}[rng.IntN(4)] }
	return Rules{
		KeepSound: rng.IntN(3), MostStores: part(), MostZone: part(), MostFleet: part(), Room: part(),
		Spacing: Micros(rng.IntN(3)) * minute, Warm: minute, Drain: minute, Unheard: minute,
	}
}

// schedule plays one random run: leaders that see states of long ago propose, some of what they propose is lost, comes
// twice or late, machines crash and come back, rules change, operators hold and cancel. It returns what broke.
func schedule(seed uint64, sabotage bool) error {
	rng := rand.New(rand.NewPCG(seed, 21))
	l := town(rng, 4+rng.IntN(5))
	load := rng.Float64()
	var s State
	var seen []State // what leaders of now and before may go by
	var late []Entry
	touched := map[string]Step{}
	apply := func(e Entry) error {
		before := s
		next, o := s.Apply(e)
		again, same := s.Apply(e)
		a, _ := json.Marshal(next)
		b, _ := json.Marshal(again)
		if string(a) != string(b) || o != same {
			return fmt.Errorf("one entry made two states")
		}
		if twice, _ := next.Apply(e); e.Move != nil || e.Ask != nil {
			if c, _ := json.Marshal(twice); string(c) != string(a) {
				return fmt.Errorf("an entry that came twice changed something: %+v", e)
			}
		}
		s = next
		if e.Move != nil && o.Done {
			i := s.find(e.Move.Request, e.Move.Machine)
			p, was := s.Permits[i], before.Permits[before.find(e.Move.Request, e.Move.Machine)]
			if p.Step == Draining && was.Step == Asked && !outOf(before)[p.Machine] { // else it is out as it was
				if err := begun(s, p.Machine); err != nil {
					return err
				}
			}
			if p.Step == Out && was.Step != Empty && was.Step != Returning && was.Step != Out {
				return fmt.Errorf("%s is out and was %s", p.Machine, was.Step)
			}
		}
		// Whatever comes, a machine that is out stays out until it is said to be back.
		for _, p := range s.Permits {
			if was := touched[p.Request+p.Machine]; was == Out && p.Step != Out && p.Step != Returning {
				return fmt.Errorf("%s was out and is %s", p.Machine, p.Step)
			}
			touched[p.Request+p.Machine] = p.Step
		}
		if seen = append(seen, s); len(seen) > 8 {
			seen = seen[1:]
		}
		return nil
	}
	now := 12 * hour
	r := rules(rng)
	entries := []Entry{{Layout: l}, {Rules: &r}, {Load: &load}}
	for step := range 40 {
		now += Micros(rng.IntN(90)) * second
		var todo []Entry
		if step < len(entries) {
			todo = entries[step : step+1]
		} else {
			view := seen[rng.IntN(len(seen))]
			machine := l.Machines[rng.IntN(len(l.Machines))].Name
			switch rng.IntN(12) {
			case 0, 1:
				ask := Ask{Request: fmt.Sprint("r", step), Machines: []string{machine}, Need: minute, Urgency: rng.IntN(3)}
				if rng.IntN(3) == 0 {
					ask.Machines = append(ask.Machines, l.Machines[rng.IntN(len(l.Machines))].Name)
				}
				if rng.IntN(4) == 0 {
					ask.Until = now + 5*minute
				}
				todo = append(todo, Entry{Ask: &ask})
			case 2:
				todo = append(todo, Entry{Sound: &Sound{Machine: machine, Sound: rng.IntN(2) == 0, Why: "crashed"}})
			case 3:
				r := rules(rng)
				todo = append(todo, Entry{Rules: &r})
			case 4:
				todo = append(todo, Entry{Hold: &HoldWork{On: rng.IntN(2) == 0, By: "op"}})
			case 5, 6, 7:
				trouble := ""
				if rng.IntN(6) == 0 {
					trouble = "a zone is lost"
				}
				for _, m := range view.Next(now, trouble) {
					todo = append(todo, Entry{Move: &m})
				}
			default:
				if len(view.Permits) > 0 { // a step on, sound or not
					p := view.Permits[rng.IntN(len(view.Permits))]
					to := []Step{Asked, Draining, Empty, Out, Returning, Warming, Done, Cancelled}[rng.IntN(8)]
					if next := ways[p.Step]; len(next) > 0 && rng.IntN(3) > 0 {
						to = next[rng.IntN(len(next))]
					}
					m := Move{Request: p.Request, Machine: p.Machine, From: p.Step, To: to}
					if sabotage && to == Draining {
						m.Override = "the rule is broken on purpose"
					}
					todo = append(todo, Entry{Move: &m})
				}
			}
		}
		for _, e := range todo {
			e.At = now - Micros(rng.IntN(200))*second // leaders' clocks differ
			if step < len(entries) {
				e.At = now
			}
			switch k := rng.IntN(10); {
			case step >= len(entries) && k == 0: // lost
				continue
			case step >= len(entries) && k < 3: // comes again later, when much has changed
				late = append(late, e)
			}
			if err := apply(e); err != nil {
				return err
			}
		}
		if len(late) > 0 && rng.IntN(2) == 0 {
			e := late[0]
			late = late[1:]
			if e.Layout == nil && e.Rules == nil && e.Load == nil {
				if err := apply(e); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func TestNoScheduleBreaksARule(t *testing.T) {
	for seed := range uint64(schedules) {
		require.NoError(t, schedule(seed, false), "seed %d", seed)
	}
}

// A checker that cannot fail proves nothing.
func TestCheckerFindsARuleBrokenOnPurpose(t *testing.T) {
	found := 0
	for seed := range uint64(500) {
		if schedule(seed, true) != nil {
			found++
		}
	}
	assert.Greater(t, found, 50)
}

// even is a layout of so many stores, each on a machine of its own, replicas of each set in different zones.
func even(cells, replicas int) *Layout {
	l := &Layout{Cells: cells, Reach: 1, Shards: 2 * cells}
	for c := range cells {
		for r := range replicas {
			name := fmt.Sprintf("m-%04d", c*replicas+r)
			l.Machines = append(l.Machines, Machine{
				Name: name, Zone: fmt.Sprint("z", r%3), Kind: "std",
				Stores: []Store{{Name: "s" + name, Cell: c, Weight: 1}},
			})
		}
	}
	return l
}

func must(t testing.TB, s State, e Entry) State {
	next, o := s.Apply(e)
	require.True(t, o.Done, "%s: %s", o.Rule, o.Why)
	return next
}

func asked(t testing.TB, l *Layout, r Rules, load float64, machines ...string) State {
	s := must(t, State{}, Entry{At: 12 * hour, Layout: l})
	s = must(t, s, Entry{Rules: &r})
	s = must(t, s, Entry{Load: &load})
	if len(machines) == 0 {
		for _, m := range l.Machines {
			machines = append(machines, m.Name)
		}
	}
	return must(t, s, Entry{Ask: &Ask{Request: "r", Machines: machines, Need: 5 * minute}})
}

// roll carries a request to its end as a leader would, and returns how long that took and the fewest sound replicas that
// any shard had.
func roll(t testing.TB, s State) (took Micros, fewest int) {
	began := s.Now
	fewest = 1 << 30
	for now := s.Now; ; now += 10 * second {
		for _, m := range s.Next(now, "") {
			s = must(t, s, Entry{At: now, Move: &m})
		}
		g := s.ledger()
		for shard := range s.Layout.Shards {
			fewest = min(fewest, g.replicas(shard))
		}
		open := 0
		for _, p := range slices.Clone(s.Permits) {
			to, after := Step(""), Micros(0)
			switch p.Step {
			case Draining:
				to, after = Empty, s.Rules.Drain
			case Empty:
				to = Out
			case Out:
				to, after = Returning, p.Need
			case Returning:
				to = Warming
			}
			if to != "" && now-p.Since >= after {
				s = must(t, s, Entry{At: now, Move: &Move{Request: p.Request, Machine: p.Machine, From: p.Step, To: to}})
			}
			if !p.Step.over() {
				open++
			}
		}
		if open == 0 {
			return now - began, fewest
		}
		require.Less(t, now-began, 100*hour, "the roll stands still")
	}
}

func TestRollOfTwoHundredStoresIsNearTheLowerBound(t *testing.T) {
	r := Rules{KeepSound: 2, MostStores: 0.1, MostZone: 0.2, Room: 0.8, Warm: minute, Drain: 30 * second}
	s := asked(t, even(66, 3), r, 0.5)
	plan := s.Plan()
	took, fewest := roll(t, s)
	each := r.Drain + r.Warm + 5*minute
	least := Micros((198+18)/19) * each // of 198 stores 19 may be out at once
	assert.Less(t, float64(took), 1.3*float64(least))
	assert.InDelta(t, float64(plan.End-s.Now), float64(took), 0.15*float64(took), "the plan foretold another end")
	assert.Equal(t, 2, fewest)
	assert.Empty(t, plan.Never)
	t.Logf("198 stores in %d s, the least is %d s, foretold %d s", took/second, least/second, (plan.End-s.Now)/second)
}

func TestWhatCannotBeIsSaidWithItsRuleAndTheNearestPlan(t *testing.T) {
	lone := even(2, 1)
	for name, c := range map[string]struct {
		rules   Rules
		load    float64
		layout  *Layout
		rule    string
		nearest string
	}{
		"the last replica": {Rules{}, 0, lone, RuleReplicas, "another replica of its shards first"},
		"one of two":       {Rules{KeepSound: 2}, 0, even(2, 2), RuleReplicas, "keep_sound = 1, or another replica first"},
		"no room":          {Rules{Room: 0.5}, 0.6, even(2, 2), RuleRoom, "room = 0.80, or less load"},
		"the only voter": {
			Rules{},
			0, &Layout{Cells: 1, Reach: 1, Shards: 1, Machines: []Machine{{Name: "v", Voter: true}}}, RuleVoters,
			"another voter first",
		},
	} {
		s := asked(t, c.layout, c.rules, c.load)
		plan := s.Plan()
		require.Len(t, plan.Never, len(c.layout.Machines), name)
		assert.Equal(t, c.rule, plan.Never[0].Rule, name)
		assert.Equal(t, c.nearest, plan.Never[0].Nearest, name)
		assert.Empty(t, s.Next(s.Now, ""), name)
	}
}

func TestPermitsThroughTrouble(t *testing.T) {
	r := Rules{KeepSound: 1, Warm: minute, Drain: minute, Unheard: 10 * second}
	drain := func(s State, machine string) (State, Outcome) {
		return s.Apply(Entry{At: s.Now, Move: &Move{Request: "r", Machine: machine, From: Asked, To: Draining}})
	}
	l := even(1, 2)
	a, b := l.Machines[0].Name, l.Machines[1].Name
	start := asked(t, l, r, 0)
	s, o := drain(start, a)
	require.True(t, o.Done)
	_, o = drain(s, b) // both replicas in one instant, by two voters
	assert.Equal(t, Outcome{Rule: RuleReplicas, Why: "shard 0 would have 0 sound replicas of 1"}, o)

	crashed := must(t, s, Entry{Sound: &Sound{Machine: b, Why: "crashed"}})
	moves := crashed.Next(crashed.Now, "")
	require.Len(t, moves, 2, "what drains while the other replica is gone is recalled; that one's work harms nobody now")
	assert.Equal(t, Move{Request: "r", Machine: b, From: Asked, To: Draining}, moves[1])
	assert.Equal(t, Move{Request: "r", Machine: a, From: Draining, To: Asked, Why: "replicas: shard 0 would have 0 sound replicas of 1"}, moves[0])

	step := func(s State, from, to Step) State {
		return must(t, s, Entry{At: s.Now, Move: &Move{Request: "r", Machine: a, From: from, To: to}})
	}
	out := step(step(s, Draining, Empty), Empty, Out)
	out.Now += 30 * day
	assert.True(t, out.Permits[0].Late(out.Now))
	assert.Equal(t, Out, out.Permits[0].Step, "it holds its place, however late")
	assert.Empty(t, out.Next(out.Now, "a zone is lost"), "what may be touched is not recalled")
	ill := must(t, step(step(out, Out, Returning), Returning, Warming), Entry{Sound: &Sound{Machine: a, Why: "slow"}})
	ill.Now += hour
	assert.Empty(t, ill.Next(ill.Now, ""), "one that comes back ill stops the plan")
	well := must(t, ill, Entry{Sound: &Sound{Machine: a, Sound: true}})
	assert.Equal(t, []Move{{Request: "r", Machine: a, From: Warming, To: Done}}, well.Next(well.Now, ""))
	held := must(t, start, Entry{Hold: &HoldWork{On: true, By: "op", Why: "lunch"}})
	assert.Empty(t, held.Next(held.Now, ""))
	_, o = drain(held, a)
	assert.Equal(t, RuleHeld, o.Rule)
	over := must(t, held, Entry{Move: &Move{Request: "r", Machine: a, From: Asked, To: Draining, Override: "disk on fire"}})
	assert.Equal(t, "disk on fire", over.Permits[0].Override)
	tight := must(t, s, Entry{Rules: &Rules{KeepSound: 2}})
	assert.Len(t, tight.Next(tight.Now, ""), 1, "rules tightened under what drains recall it")
}

func TestEmptyMeansEmpty(t *testing.T) {
	s := State{Rules: Rules{Unheard: 10 * second}}
	p := Permit{Step: Draining, Drained: hour}
	for name, c := range map[string]struct {
		members map[string]Sent
		trusted bool
		after   Micros
		want    bool
	}{
		"all have said so":               {map[string]Sent{"a": {Heard: true}, "b": {Heard: true}}, true, second, true},
		"one has not heard of the drain": {map[string]Sent{"a": {}, "b": {Heard: true}}, true, hour, false},
		"one has a call out":             {map[string]Sent{"a": {Heard: true, Calls: 1}}, true, hour, false},
		"one is stopped":                 {map[string]Sent{"a": {From: hour}, "b": {Heard: true}}, true, 9 * second, false},
		"one is stopped for long":        {map[string]Sent{"a": {Calls: 3, From: hour}, "b": {Heard: true}}, true, 11 * second, true},
		"the view is not to be trusted":  {map[string]Sent{"a": {Heard: true}}, false, second, false},
		"nor later, but the bound holds": {map[string]Sent{"a": {Heard: true}}, false, 11 * second, true},
	} {
		got, why := s.IsEmpty(p, p.Drained+c.after, c.members, c.trusted)
		assert.Equal(t, c.want, got, name)
		assert.Equal(t, c.want, why == "", name)
	}
}

func TestBadInputChangesNothing(t *testing.T) {
	s := asked(t, even(2, 2), Rules{}, 0, "m-0000")
	before, _ := json.Marshal(s)
	inf := 1e300
	for _, e := range []Entry{
		{Ask: &Ask{Request: "x", Machines: []string{"nobody"}, Need: 1}},
		{Ask: &Ask{Request: "x", Machines: []string{"m-0000"}, Need: 1}},
		{Ask: &Ask{Request: "x", Machines: []string{"m-0001", "m-0001"}, Need: 1}},
		{Ask: &Ask{Request: "x", Machines: []string{"m-0001"}, Need: -1}},
		{Ask: &Ask{Request: "x", Machines: []string{"m-0001"}, Need: 1 << 60}},
		{Ask: &Ask{Machines: []string{"m-0001"}, Need: 1}},
		{Ask: &Ask{Request: "x", Need: 1}},
		{Ask: &Ask{Request: "x", Machines: []string{"m-0001"}, Need: 1, After: 9 * day, Until: day}},
		{Move: &Move{Request: "r", Machine: "m-0001", From: Asked, To: Draining}},
		{Move: &Move{Request: "r", Machine: "m-0000", From: Asked, To: Out}},
		{Rules: &Rules{MostStores: 2}},
		{Rules: &Rules{KeepSound: -1}},
		{Rules: &Rules{Spacing: -1}},
		{Rules: &Rules{Closed: []Window{{From: 5, To: 5}}}},
		{Rules: &Rules{Closed: []Window{{0, day / 2}, {day / 2, day}}}},
		{Load: &inf},
		{Layout: &Layout{}},
		{Layout: &Layout{Cells: 1, Reach: 1, Shards: 1, Machines: []Machine{{Name: "b"}, {Name: "a"}}}},
		{Layout: &Layout{Cells: 1, Reach: 1, Shards: 1, Machines: []Machine{{Name: "a", Stores: []Store{{Name: "s", Cell: 1}}}}}},
	} {
		next, o := s.Apply(e)
		after, _ := json.Marshal(next)
		text, _ := json.Marshal(e)
		assert.False(t, o.Done, string(text))
		assert.NotEmpty(t, o.Why, string(text))
		assert.Equal(t, string(before), string(after), string(text))
	}
}

func TestWindowsOfTheDay(t *testing.T) {
	r := Rules{Closed: []Window{{8 * hour, 18 * hour}, {23 * hour, 2 * hour}, {18 * hour, 19 * hour}}}
	require.NoError(t, r.Check())
	for at, want := range map[Micros]Micros{7 * hour: 7 * hour, 9 * hour: 19 * hour, 23*hour + minute: 26 * hour, 5*day + hour: 5*day + 2*hour} {
		assert.Equal(t, want, r.opens(at))
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{100, 1000, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := asked(b, even(n/2, 2), Rules{KeepSound: 1, MostStores: 0.1, Warm: minute, Drain: minute}, 0)
			for b.Loop() {
				s.Plan()
			}
		})
	}
}
