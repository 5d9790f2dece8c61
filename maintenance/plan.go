package maintenance

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
)

// Turn is one machine's place in a plan.
type Turn struct {
	Request string `json:"request"`
	Machine string `json:"machine"`
	Wave    int    `json:"wave"` // machines that begin in one moment share it; from 1. 0: it is out already
	Begin   Micros `json:"begin"`
	Back    Micros `json:"back"`           // when it counts as sound again
	Rule    string `json:"rule,omitempty"` // what it waited for last
	Why     string `json:"why,omitempty"`
}

// Never is a machine that the rules keep from ever going out.
type Never struct {
	Request string `json:"request"`
	Machine string `json:"machine"`
	Broken
	Nearest string `json:"nearest"` // what would have to be otherwise
}

// Plan is the order in which work will be done, as far as can be foretold.
type Plan struct {
	Turns []Turn  `json:"turns"` // by their begin
	Never []Never `json:"never,omitempty"`
	End   Micros  `json:"end"`
}

// takes is how long a machine's work holds its place, from the drain to the warm stores.
func (s State) takes(p Permit) Micros { return s.Rules.Drain + p.Need + s.Rules.Warm }

// left is how much of it is left for one that is out.
func (s State) left(p Permit) Micros {
	spent := s.Now - p.Since
	switch p.Step {
	case Draining, Empty:
		return max(0, s.Rules.Drain-spent) + p.Need + s.Rules.Warm
	case Out:
		return max(0, p.Need-spent) + s.Rules.Warm
	case Warming:
		return max(0, s.Rules.Warm-spent)
	}
	return s.Rules.Warm
}

// back is a machine's return.
type back struct {
	at      Micros
	machine *Machine
}

type backs []back

func (b backs) Len() int           { return len(b) }
func (b backs) Less(i, j int) bool { return b[i].at < b[j].at }
func (b backs) Swap(i, j int)      { b[i], b[j] = b[j], b[i] }
func (b *backs) Push(x any)        { *b = append(*b, x.(back)) }
func (b *backs) Pop() any {
	last := (*b)[len(*b)-1]
	*b = (*b)[:len(*b)-1]
	return last
}

// Plan foretells the order of what waits: the urgent first, then those whose window ends first, then those whose shards
// have the fewest other replicas on machines that wait as well, since they can share fewest waves; voters last. At each
// return, and whenever a window opens, everything goes out that the rules let go.
func (s State) Plan() Plan {
	var plan Plan
	if s.Layout == nil {
		return plan
	}
	g := s.ledger()
	var returns backs
	var waiting []Permit
	for _, p := range s.Permits {
		m := s.Layout.Machine(p.Machine)
		switch {
		case p.Step.holds():
			at := s.Now + s.left(p)
			plan.Turns = append(plan.Turns, Turn{Request: p.Request, Machine: p.Machine, Begin: p.Drained, Back: at})
			heap.Push(&returns, back{at, m})
			plan.End = max(plan.End, at)
		case p.Step == Asked:
			if never, is := s.never(p, m); is {
				plan.Never = append(plan.Never, never)
			} else {
				waiting = append(waiting, p)
			}
		}
	}
	s.sort(waiting)
	wave, now := 0, s.Now
	for len(waiting) > 0 {
		next, began := Micros(-1), false
		later := func(at Micros) {
			if at > now && (next < 0 || at < next) {
				next = at
			}
		}
		waiting = slices.DeleteFunc(waiting, func(p Permit) bool {
			m := s.Layout.Machine(p.Machine)
			if p.Until > 0 && now > p.Until {
				plan.Never = append(plan.Never, Never{
					p.Request, p.Machine,
					Broken{RuleClosed, "its turn would come after its window"},
					"a window that ends later, or a higher urgency",
				})
				return true
			}
			if p.After > now {
				later(p.After)
				return false
			}
			if at, _ := g.waits(m, now); at != now {
				later(at)
				return false
			}
			if _, broken := g.breaks(m); broken {
				return false
			}
			if !began {
				began = true
				wave++
			}
			g.take(m, true)
			g.began[m.Kind] = now
			t := Turn{Request: p.Request, Machine: p.Machine, Wave: wave, Begin: now, Back: now + s.takes(p)}
			plan.Turns = append(plan.Turns, t)
			plan.End = max(plan.End, t.Back)
			heap.Push(&returns, back{t.Back, m})
			return true
		})
		if len(returns) > 0 {
			later(returns[0].at)
		}
		if next < 0 { // what is out and will not be back, as far as is known, holds the rest up
			for _, p := range waiting {
				b, _ := g.breaks(s.Layout.Machine(p.Machine))
				plan.Never = append(plan.Never, Never{p.Request, p.Machine, b, "the return of what is out now"})
			}
			break
		}
		for now = next; len(returns) > 0 && returns[0].at <= now; {
			if b := heap.Pop(&returns).(back); b.machine != nil && s.Unsound[b.machine.Name] == "" {
				g.take(b.machine, false)
			}
		}
	}
	slices.SortStableFunc(plan.Turns, func(a, b Turn) int { return cmp.Compare(a.Begin, b.Begin) })
	return plan
}

func (s State) sort(waiting []Permit) {
	beside := make([]int, s.Layout.Cells) // stores that wait, by cell
	for _, p := range waiting {
		for _, st := range s.Layout.Machine(p.Machine).Stores {
			beside[st.Cell]++
		}
	}
	crowd := func(m *Machine) (n int) {
		for _, st := range m.Stores {
			for j := 1 - s.Layout.Reach; j < s.Layout.Reach; j++ {
				n += beside[((st.Cell+j)%s.Layout.Cells+s.Layout.Cells)%s.Layout.Cells]
			}
		}
		return n
	}
	last := func(until Micros) Micros {
		if until == 0 {
			return 1<<63 - 1
		}
		return until
	}
	slices.SortStableFunc(waiting, func(a, b Permit) int {
		m, n := s.Layout.Machine(a.Machine), s.Layout.Machine(b.Machine)
		voter := func(m *Machine) int {
			if m.Voter {
				return 1
			}
			return 0
		}
		return cmp.Or(cmp.Compare(voter(m), voter(n)), cmp.Compare(b.Urgency, a.Urgency), cmp.Compare(last(a.Until), last(b.Until)),
			cmp.Compare(crowd(n), crowd(m)), cmp.Compare(a.At, b.At), cmp.Compare(a.Machine, b.Machine))
	})
}

// never tells whether the rules keep a machine from going out even if everything else is sound.
func (s State) never(p Permit, m *Machine) (n Never, is bool) {
	n = Never{Request: p.Request, Machine: p.Machine}
	if m == nil {
		n.Broken, n.Nearest = Broken{"", "it is not in the layout"}, "a layout that has it"
		return n, true
	}
	g := newLedger(s.Layout, s.Rules, s.Load)
	b, broken := g.breaks(m)
	if !broken {
		return n, false
	}
	n.Broken = b
	g.take(m, true)
	switch b.Rule {
	case RuleReplicas:
		least := 1 << 30
		for _, st := range m.Stores {
			_, have := g.thinnest(st.Cell)
			least = min(least, have)
		}
		n.Nearest = fmt.Sprintf("keep_sound = %d, or another replica first", least)
		if least < 1 {
			n.Nearest = "another replica of its shards first"
		}
	case RuleRoom:
		n.Nearest = fmt.Sprintf("room = %.2f, or less load", g.load*g.allWeight/max(1e-9, g.allWeight-g.weight))
	case RuleVoters:
		n.Nearest = "another voter first"
	default:
		n.Nearest = "a rule " + b.Rule + " that allows one machine"
	}
	return n, true
}

// Next is what is to be asked of the log now by whoever leads: permits whose turn has come, those whose window has
// passed, and the recall of those that drain and are not empty yet, where trouble (empty: none) stops the plan or the
// rules no longer let them go.
func (s State) Next(now Micros, trouble string) (moves []Move) {
	s.Now = max(s.Now, now)
	if s.Layout == nil {
		return nil
	}
	ill, g := false, s.ledger()
	for _, p := range s.Permits {
		why := trouble
		if m := s.Layout.Machine(p.Machine); p.Step == Draining && p.Override == "" && why == "" && m != nil {
			g.take(m, false)
			if b, broken := g.breaks(m); broken { // something else went, or the rules were tightened
				why = b.String()
			} else {
				g.take(m, true)
			}
		}
		ill = ill || (p.Step == Returning || p.Step == Warming) && s.Unsound[p.Machine] != ""
		switch {
		case p.Step == Asked && p.Until > 0 && s.Now > p.Until:
			moves = append(moves, Move{Request: p.Request, Machine: p.Machine, From: Asked, To: Expired, Why: "its window passed"})
		case p.Step == Draining && why != "":
			moves = append(moves, Move{Request: p.Request, Machine: p.Machine, From: Draining, To: Asked, Why: why})
		case p.Step == Warming && s.Now-p.Since >= s.Rules.Warm && s.Unsound[p.Machine] == "":
			moves = append(moves, Move{Request: p.Request, Machine: p.Machine, From: Warming, To: Done})
		}
	}
	if trouble != "" || s.Held != nil || ill { // one that came back ill stops the plan
		return moves
	}
	waiting := slices.DeleteFunc(slices.Clone(s.Permits), func(p Permit) bool {
		return p.Step != Asked || p.After > s.Now || p.Until > 0 && s.Now > p.Until || s.Layout.Machine(p.Machine) == nil
	})
	s.sort(waiting)
	g = s.ledger()
	for _, p := range waiting {
		m := s.Layout.Machine(p.Machine)
		if at, _ := g.waits(m, s.Now); at != s.Now {
			continue
		}
		if _, broken := g.breaks(m); broken {
			continue
		}
		g.take(m, true)
		g.began[m.Kind] = s.Now
		moves = append(moves, Move{Request: p.Request, Machine: p.Machine, From: Asked, To: Draining})
	}
	return moves
}
