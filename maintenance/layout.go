// Package maintenance decides in which order machines are taken out for work, and whether one may be touched. It has no
// clock, input or output. State is what the log of the group makes of its entries, the same at every instance: whether a
// permit may be given is judged there and nowhere else, so that two that together break a rule are never both given,
// whoever leads. Plan foretells the order in which that will happen.
//
// All times are microseconds since 1970, as the entries of the log tell them. They only ever advance: an entry whose
// time lies before that of one applied earlier counts as of then.
package maintenance

import (
	"fmt"
	"slices"
)

// Micros is a span or a moment in microseconds.
type Micros = int64

// Machine is what stands and falls together: the stores on it, and an instance of this program where there is one.
type Machine struct {
	Name   string   `json:"name"`
	Zone   string   `json:"zone,omitempty"`
	Kind   string   `json:"kind,omitempty"`
	Labels []string `json:"labels,omitempty"`
	Pair   string   `json:"pair,omitempty"`   // no two of a named pair are out together
	Stores []Store  `json:"stores,omitempty"` // those on it
	Member bool     `json:"member,omitempty"` // one of the fleet runs on it
	Voter  bool     `json:"voter,omitempty"`  // and has a vote
}

// Store is a store on a machine.
type Store struct {
	Name   string  `json:"name"`
	Cell   int     `json:"cell"`
	Weight float64 `json:"weight"` // of the work that it does when it is sound
}

// Layout is all machines, and how shards lie on cells: shard s is held by the stores of the cells (s + j) mod Cells, j
// from 0 to Reach - 1.
type Layout struct {
	Cells    int       `json:"cells"`
	Reach    int       `json:"reach"`
	Shards   int       `json:"shards"`
	Machines []Machine `json:"machines"` // sorted by name
}

// Check tells what is wrong with a layout.
func (l *Layout) Check() error {
	if l.Cells < 1 || l.Reach < 1 || l.Reach > l.Cells || l.Shards < 1 {
		return fmt.Errorf("layout: %d shards on %d cells with a reach of %d", l.Shards, l.Cells, l.Reach)
	}
	stores := map[string]string{}
	for i, m := range l.Machines {
		if m.Name == "" || i > 0 && m.Name <= l.Machines[i-1].Name {
			return fmt.Errorf("layout: machine %q is not in its place by name, or comes twice", m.Name)
		}
		for _, s := range m.Stores {
			if other, twice := stores[s.Name]; twice {
				return fmt.Errorf("layout: store %s is on %s and on %s", s.Name, other, m.Name)
			}
			stores[s.Name] = m.Name
			if s.Cell < 0 || s.Cell >= l.Cells || !(s.Weight >= 0) || s.Weight > 1e12 {
				return fmt.Errorf("layout: store %s has cell %d and weight %v", s.Name, s.Cell, s.Weight)
			}
		}
	}
	return nil
}

// Machine finds a machine.
func (l *Layout) Machine(name string) *Machine {
	i, ok := slices.BinarySearchFunc(l.Machines, name, func(m Machine, name string) int {
		switch {
		case m.Name < name:
			return -1
		case m.Name > name:
			return 1
		}
		return 0
	})
	if !ok {
		return nil
	}
	return &l.Machines[i]
}

// Rules are what work must keep to. A zero means that there is no such rule, but for KeepSound, which is 1 at least.
type Rules struct {
	KeepSound  int      `json:"keep_sound"`            // sound replicas that each shard keeps
	MostStores float64  `json:"most_stores,omitempty"` // largest part of all stores out at once
	MostWeight float64  `json:"most_weight,omitempty"` // of their weight
	MostZone   float64  `json:"most_zone,omitempty"`   // of the stores of one zone
	MostFleet  float64  `json:"most_fleet,omitempty"`  // of the members of the fleet
	Room       float64  `json:"room,omitempty"`        // largest load of what remains, where the load is told
	Spacing    Micros   `json:"spacing,omitempty"`     // between two machines of one kind that begin to drain
	Closed     []Window `json:"closed,omitempty"`      // when nothing begins
	Warm       Micros   `json:"warm,omitempty"`        // how long a store that came back warms
	Drain      Micros   `json:"drain,omitempty"`       // how long a machine takes to become empty, for predictions
	// Unheard is how long after a drain was told a member that has not said it is empty may still send by what it
	// knew: the span in which a new call may begin, and the longest that a call may be out. See Empty.
	Unheard Micros `json:"unheard,omitempty"`
}

// Window is a part of each day, UTC. One that ends before it begins goes past midnight.
type Window struct {
	From Micros `json:"from"`
	To   Micros `json:"to"`
}

const day Micros = 24 * 3600 * 1_000_000

func (w Window) holds(at Micros) bool {
	at = ((at % day) + day) % day
	if w.From <= w.To {
		return at >= w.From && at < w.To
	}
	return at >= w.From || at < w.To
}

// Check tells what is wrong with rules, by themselves.
func (r Rules) Check() error {
	for name, part := range map[string]float64{
		"most_stores": r.MostStores, "most_weight": r.MostWeight, "most_zone": r.MostZone,
		"most_fleet": r.MostFleet, "room": r.Room,
	} {
		if !(part >= 0 && part <= 1) {
			return fmt.Errorf("rules: %s is %v and no part", name, part)
		}
	}
	for name, span := range map[string]Micros{"spacing": r.Spacing, "warm": r.Warm, "drain": r.Drain, "unheard": r.Unheard} {
		if span < 0 || span > 30*day {
			return fmt.Errorf("rules: %s of %d us", name, span)
		}
	}
	if r.KeepSound < 0 {
		return fmt.Errorf("rules: keep_sound is %d", r.KeepSound)
	}
	closed := Micros(0)
	for _, w := range r.Closed {
		if w.From < 0 || w.From >= day || w.To < 0 || w.To > day || w.From == w.To {
			return fmt.Errorf("rules: a window from %d to %d us of the day", w.From, w.To)
		}
		closed += ((w.To - w.From) + day) % day
	}
	if len(r.Closed) > 0 && r.opens(0) < 0 {
		return fmt.Errorf("rules: the windows leave no time of the day")
	}
	return nil
}

// opens is the first moment from at on that is not closed; -1: there is none.
func (r Rules) opens(at Micros) Micros {
	for range 2*len(r.Closed) + 2 {
		i := slices.IndexFunc(r.Closed, func(w Window) bool { return w.holds(at) })
		if i < 0 {
			return at
		}
		at += ((r.Closed[i].To-at%day)+day-1)%day + 1
	}
	return -1
}

// The names of the rules, as they are told.
const (
	RuleReplicas = "replicas"
	RuleStores   = "most_stores"
	RuleWeight   = "most_weight"
	RuleZone     = "most_zone"
	RuleFleet    = "most_fleet"
	RuleRoom     = "room"
	RuleSpacing  = "spacing"
	RuleClosed   = "closed"
	RuleVoters   = "voters"
	RulePair     = "pair"
	RuleHeld     = "held"
)

// Broken says which rule forbids something, and why.
type Broken struct {
	Rule string `json:"rule"`
	Why  string `json:"why"`
}

func (b Broken) String() string { return b.Rule + ": " + b.Why }

// ledger counts what is out. Taking a machine out and back costs as much as it has stores.
type ledger struct {
	l *Layout
	r Rules

	out               map[string]bool
	sound             []int // stores by cell
	stores, allStores int
	weight, allWeight float64
	zone, allZone     map[string]int
	fleet, allFleet   int
	voters, allVoters int
	pairs             map[string]int
	began             map[string]Micros // when a machine of a kind last began
	load              float64           // of all weight, when everything is sound; 0: not told
}

func newLedger(l *Layout, r Rules, load float64) *ledger {
	g := &ledger{
		l: l, r: r, load: load, out: map[string]bool{}, sound: make([]int, l.Cells), zone: map[string]int{},
		allZone: map[string]int{}, pairs: map[string]int{}, began: map[string]Micros{},
	}
	for i := range l.Machines {
		m := &l.Machines[i]
		for _, s := range m.Stores {
			g.sound[s.Cell]++
			g.allStores++
			g.allWeight += s.Weight
			g.allZone[m.Zone]++
		}
		if m.Member {
			g.allFleet++
		}
		if m.Voter {
			g.allVoters++
		}
	}
	return g
}

// take notes a machine as out, or as back.
func (g *ledger) take(m *Machine, out bool) {
	if m == nil || g.out[m.Name] == out {
		return
	}
	by := 1
	if !out {
		by = -1
	}
	g.out[m.Name] = out
	for _, s := range m.Stores {
		g.sound[s.Cell] -= by
		g.stores += by
		g.weight += float64(by) * s.Weight
		g.zone[m.Zone] += by
	}
	if m.Member {
		g.fleet += by
	}
	if m.Voter {
		g.voters += by
	}
	if m.Pair != "" {
		g.pairs[m.Pair] += by
	}
}

// replicas is how many sound stores hold a shard.
func (g *ledger) replicas(shard int) (n int) {
	for j := range g.l.Reach {
		n += g.sound[(shard+j)%g.l.Cells]
	}
	return n
}

// thinnest is the shard of a cell with the fewest sound replicas.
func (g *ledger) thinnest(cell int) (shard, n int) {
	shard, n = -1, 1<<30
	for j := range g.l.Reach {
		base := ((cell-j)%g.l.Cells + g.l.Cells) % g.l.Cells
		if base < g.l.Shards { // shards base, base + cells, ... lie alike
			if have := g.replicas(base); have < n {
				shard, n = base, have
			}
		}
	}
	return shard, n
}

// over tells whether so many of all are more than a part, which always has room for one.
func over(n, all int, part float64) bool {
	return part > 0 && n > 1 && float64(n) > part*float64(all)+1e-9
}

// breaks tells which rule forbids to take a machine out beside what is out, the times aside. It leaves the ledger as it
// was. A rule that what is out breaks already forbids whatever would make it worse, and nothing else.
func (g *ledger) breaks(m *Machine) (b Broken, broken bool) {
	if g.out[m.Name] {
		return b, false // it is out already: nothing changes
	}
	g.take(m, true)
	defer g.take(m, false)
	no := func(rule, format string, args ...any) (Broken, bool) {
		return Broken{rule, fmt.Sprintf(format, args...)}, true
	}
	for _, s := range m.Stores {
		if shard, n := g.thinnest(s.Cell); shard >= 0 && n < max(1, g.r.KeepSound) {
			return no(RuleReplicas, "shard %d would have %d sound replicas of %d", shard, n, max(1, g.r.KeepSound))
		}
	}
	switch {
	case len(m.Stores) > 0 && over(g.stores, g.allStores, g.r.MostStores):
		return no(RuleStores, "%d of %d stores would be out", g.stores, g.allStores)
	case len(m.Stores) > 0 && g.r.MostWeight > 0 && g.stores > len(m.Stores) && g.weight > g.r.MostWeight*g.allWeight+1e-9:
		return no(RuleWeight, "%.0f of %.0f of the stores' weight would be out", g.weight, g.allWeight)
	case len(m.Stores) > 0 && over(g.zone[m.Zone], g.allZone[m.Zone], g.r.MostZone):
		return no(RuleZone, "%d of %d stores of zone %s would be out", g.zone[m.Zone], g.allZone[m.Zone], m.Zone)
	case m.Member && over(g.fleet, g.allFleet, g.r.MostFleet):
		return no(RuleFleet, "%d of %d members of the fleet would be out", g.fleet, g.allFleet)
	case len(m.Stores) > 0 && g.r.Room > 0 && g.load > 0 && g.load*g.allWeight > g.r.Room*(g.allWeight-g.weight)+1e-9:
		return no(RuleRoom, "the load of %.2f would be %.2f of what remains", g.load, g.load*g.allWeight/max(1e-9, g.allWeight-g.weight))
	case m.Voter && 2*(g.allVoters-g.voters) <= g.allVoters:
		return no(RuleVoters, "%d of %d voters would remain", g.allVoters-g.voters, g.allVoters)
	case m.Pair != "" && g.pairs[m.Pair] > 1:
		return no(RulePair, "another of the pair %s is out", m.Pair)
	}
	return b, false
}

// waits is the first moment from now on at which the times let a machine begin, and the rule that holds it up to then.
func (g *ledger) waits(m *Machine, now Micros) (at Micros, rule string) {
	at = now
	if last, ok := g.began[m.Kind]; ok && g.r.Spacing > 0 && last+g.r.Spacing > at {
		at, rule = last+g.r.Spacing, RuleSpacing
	}
	if open := g.r.opens(at); open != at {
		return open, RuleClosed
	}
	return at, rule
}
