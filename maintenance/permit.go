package maintenance

import (
	"fmt"
	"slices"
)

// Step is where a permit is.
type Step string

// The steps. From Draining to Warming its machine counts as out.
const (
	Asked     Step = "asked"     // waits for its turn
	Draining  Step = "draining"  // its stores get nothing new, and finish what they have
	Empty     Step = "empty"     // nothing is out at its stores and nothing will be sent: it may be touched
	Out       Step = "out"       // somebody works on it
	Returning Step = "returning" // said to be done; its stores are not all in service yet
	Warming   Step = "warming"   // they are, and bear little
	Done      Step = "done"
	Cancelled Step = "cancelled" // taken back before it was touched
	Expired   Step = "expired"   // its window passed before its turn came
)

// holds tells whether a permit's machine counts as out.
func (s Step) holds() bool {
	return s == Draining || s == Empty || s == Out || s == Returning || s == Warming
}

// over tells whether a permit has ended.
func (s Step) over() bool { return s == Done || s == Cancelled || s == Expired }

// Permit is one machine's work.
type Permit struct {
	Request  string `json:"request"` // the name of what was asked for; with the machine it names the permit
	Machine  string `json:"machine"`
	By       string `json:"by"`
	Reason   string `json:"reason"`
	Urgency  int    `json:"urgency,omitempty"` // higher goes first
	Need     Micros `json:"need"`              // how long the work takes
	After    Micros `json:"after,omitempty"`   // it may not begin before; 0: at once
	Until    Micros `json:"until,omitempty"`   // nor later; 0: ever
	At       Micros `json:"at"`                // when it was asked for
	Step     Step   `json:"step"`
	Since    Micros `json:"since"`             // when it came to that step
	Drained  Micros `json:"drained,omitempty"` // when it began to drain
	Override string `json:"override,omitempty"`
	Why      string `json:"why,omitempty"` // of its last step, where that was not the ordinary one
}

// due is when a permit that is out was to be back.
func (p Permit) due() Micros { return p.Since + p.Need }

// Late tells that a machine was not back in time. It holds its place all the same: it is out. An operator is called.
func (p Permit) Late(now Micros) bool { return p.Step == Out && now > p.due() }

// Entry is an entry of the log. Beside At exactly one field is set.
type Entry struct {
	At     Micros    `json:"at"`
	Layout *Layout   `json:"layout,omitempty"`
	Rules  *Rules    `json:"rules,omitempty"`
	Load   *float64  `json:"load,omitempty"` // of all stores' weight, 0 to 1
	Ask    *Ask      `json:"ask,omitempty"`
	Move   *Move     `json:"move,omitempty"`
	Sound  *Sound    `json:"sound,omitempty"`
	Hold   *HoldWork `json:"hold,omitempty"`
}

// Ask asks for machines.
type Ask struct {
	Request  string   `json:"request"`
	Machines []string `json:"machines"`
	By       string   `json:"by"`
	Reason   string   `json:"reason"`
	Urgency  int      `json:"urgency,omitempty"`
	Need     Micros   `json:"need"`
	After    Micros   `json:"after,omitempty"`
	Until    Micros   `json:"until,omitempty"`
}

// Move takes a permit a step on. From guards against a move that comes twice, or late: it is made from that step only.
type Move struct {
	Request string `json:"request"`
	Machine string `json:"machine"`
	From    Step   `json:"from"`
	To      Step   `json:"to"`
	Why     string `json:"why,omitempty"`
	// Override is the reason for which an operator has a machine drain against the rules; empty: by the rules.
	Override string `json:"override,omitempty"`
}

// Sound tells that a machine without a permit is out of service, or back: crashed, lost with its zone, or drained by
// somebody else.
type Sound struct {
	Machine string `json:"machine"`
	Sound   bool   `json:"sound"`
	Why     string `json:"why,omitempty"`
}

// HoldWork stops the plan: nothing more begins to drain. On false it goes on.
type HoldWork struct {
	On  bool   `json:"on"`
	By  string `json:"by"`
	Why string `json:"why,omitempty"`
}

// State is what the entries so far have made. Values reached through it are never changed: a copy stays what it is.
type State struct {
	Now     Micros            `json:"now"`
	Layout  *Layout           `json:"layout,omitempty"`
	Rules   Rules             `json:"rules"`
	Load    float64           `json:"load"`
	Permits []Permit          `json:"permits"` // in the order asked; those that are over at the end of their time go
	Unsound map[string]string `json:"unsound,omitempty"`
	Held    *HoldWork         `json:"held,omitempty"`
	Began   map[string]Micros `json:"began,omitempty"` // when a machine of a kind last began to drain
}

// keepOver is how many permits that are over are kept, for reports and for a request that comes again: a year of one roll
// of 200 machines a week.
const keepOver = 200 * 52

// mostAsked bounds the machines that wait: more is a mistake.
const mostAsked = 10_000

// Outcome tells what became of an entry. Why is empty where it was made.
type Outcome struct {
	Done bool   `json:"done"` // made now, or earlier by the same entry
	Rule string `json:"rule,omitempty"`
	Why  string `json:"why,omitempty"`
}

func refused(rule, format string, args ...any) Outcome {
	return Outcome{Rule: rule, Why: fmt.Sprintf(format, args...)}
}

// Apply makes one entry. Every instance that applies the same entries has the same state.
func (s State) Apply(e Entry) (State, Outcome) {
	s.Now = max(s.Now, e.At)
	switch {
	case e.Layout != nil:
		if err := e.Layout.Check(); err != nil {
			return s, refused("", "%v", err)
		}
		s.Layout = e.Layout
	case e.Rules != nil:
		if err := e.Rules.Check(); err != nil {
			return s, refused("", "%v", err)
		}
		s.Rules = *e.Rules // what is out already may be more than they allow: then nothing more goes out
	case e.Load != nil:
		if !(*e.Load >= 0 && *e.Load <= 100) {
			return s, refused("", "a load of %v", *e.Load)
		}
		s.Load = *e.Load
	case e.Ask != nil:
		return s.ask(*e.Ask)
	case e.Move != nil:
		return s.move(*e.Move)
	case e.Sound != nil:
		unsound := make(map[string]string, len(s.Unsound)+1)
		for m, why := range s.Unsound {
			unsound[m] = why
		}
		if delete(unsound, e.Sound.Machine); !e.Sound.Sound {
			unsound[e.Sound.Machine] = e.Sound.Why
		}
		s.Unsound = unsound
	case e.Hold != nil:
		if s.Held = nil; e.Hold.On {
			s.Held = e.Hold
		}
	}
	return s, Outcome{Done: true}
}

// find is where a permit stands; -1: there is none.
func (s State) find(request, machine string) int {
	return slices.IndexFunc(s.Permits, func(p Permit) bool { return p.Request == request && p.Machine == machine })
}

func (s State) ask(a Ask) (State, Outcome) {
	if slices.ContainsFunc(s.Permits, func(p Permit) bool { return p.Request == a.Request }) {
		return s, Outcome{Done: true} // it comes again
	}
	waiting, busy := 0, map[string]string{}
	for _, p := range s.Permits {
		if !p.Step.over() {
			busy[p.Machine] = p.Request
			waiting++
		}
	}
	switch {
	case s.Layout == nil:
		return s, refused("", "the layout is not known yet")
	case a.Request == "" || len(a.Machines) == 0:
		return s, refused("", "a request needs a name and machines")
	case a.Need <= 0 || a.Need > 30*day:
		return s, refused("", "work of %d us", a.Need)
	case a.After < 0 || a.Until < 0 || a.Until > 0 && a.Until < max(a.After, s.Now):
		return s, refused("", "its window is over before it begins")
	case waiting+len(a.Machines) > mostAsked:
		return s, refused("", "%d machines wait already", waiting)
	}
	permits := slices.Clone(s.Permits)
	for _, name := range a.Machines {
		switch {
		case s.Layout.Machine(name) == nil:
			return s, refused("", "there is no machine %s", name)
		case busy[name] != "":
			return s, refused("", "machine %s is asked for by %s", name, busy[name])
		}
		busy[name] = a.Request
		permits = append(permits, Permit{
			Request: a.Request, Machine: name, By: a.By, Reason: a.Reason, Urgency: a.Urgency,
			Need: a.Need, After: a.After, Until: a.Until, At: s.Now, Step: Asked, Since: s.Now,
		})
	}
	s.Permits = permits
	return s, Outcome{Done: true}
}

// ways are the steps that may follow each.
var ways = map[Step][]Step{
	Asked:     {Draining, Cancelled, Expired},
	Draining:  {Empty, Cancelled, Asked}, // Asked: recalled, it waits again
	Empty:     {Out, Cancelled},
	Out:       {Returning},
	Returning: {Warming, Out},
	Warming:   {Done, Returning},
}

func (s State) move(m Move) (State, Outcome) {
	i := s.find(m.Request, m.Machine)
	if i < 0 {
		return s, refused("", "there is no permit for %s in %s", m.Machine, m.Request)
	}
	p := s.Permits[i]
	switch {
	case p.Step == m.To:
		return s, Outcome{Done: true} // it comes again
	case p.Step != m.From || !slices.Contains(ways[p.Step], m.To):
		return s, refused("", "%s is %s, and cannot go from %s to %s", m.Machine, p.Step, m.From, m.To)
	}
	if m.To == Draining {
		if m.Override == "" {
			if b, broken := s.forbids(p); broken {
				return s, Outcome{Rule: b.Rule, Why: b.Why}
			}
		}
		if machine := s.Layout.Machine(p.Machine); machine != nil {
			began := make(map[string]Micros, len(s.Began)+1)
			for k, at := range s.Began {
				began[k] = at
			}
			began[machine.Kind] = s.Now
			s.Began = began
		}
		p.Drained, p.Override = s.Now, m.Override
	}
	p.Step, p.Since, p.Why = m.To, s.Now, m.Why
	s.Permits = slices.Clone(s.Permits)
	s.Permits[i] = p
	s.trim()
	return s, Outcome{Done: true}
}

// trim forgets the oldest permits that are over, beyond those that are kept.
func (s *State) trim() {
	over := 0
	for _, p := range s.Permits {
		if p.Step.over() {
			over++
		}
	}
	s.Permits = slices.DeleteFunc(s.Permits, func(p Permit) bool {
		gone := p.Step.over() && over > keepOver
		if gone {
			over--
		}
		return gone
	})
}

// ledger is what is out by this state.
func (s State) ledger() *ledger {
	g := newLedger(s.Layout, s.Rules, s.Load)
	for _, p := range s.Permits {
		if p.Step.holds() {
			g.take(s.Layout.Machine(p.Machine), true)
		}
	}
	for name := range s.Unsound {
		g.take(s.Layout.Machine(name), true)
	}
	for kind, at := range s.Began {
		g.began[kind] = at
	}
	return g
}

// forbids tells which rule keeps a permit from draining now.
func (s State) forbids(p Permit) (b Broken, broken bool) {
	machine := s.Layout.Machine(p.Machine)
	switch {
	case machine == nil:
		return Broken{"", "machine " + p.Machine + " is not in the layout"}, true
	case s.Held != nil:
		return Broken{RuleHeld, "held by " + s.Held.By + ": " + s.Held.Why}, true
	case p.After > s.Now:
		return Broken{RuleClosed, "its window has not begun"}, true
	case p.Until > 0 && p.Until < s.Now:
		return Broken{RuleClosed, "its window has passed"}, true
	}
	g := s.ledger()
	if b, broken = g.breaks(machine); broken {
		return b, true
	}
	if at, rule := g.waits(machine, s.Now); at != s.Now {
		return Broken{rule, fmt.Sprintf("not for another %d s", (at-s.Now)/1_000_000)}, true
	}
	return b, false
}

// Sent is what a member of the fleet has said of a machine's stores.
type Sent struct {
	Heard bool   // it has said that it knows of the drain
	Calls int    // that it has out there; 0 and Heard: it is done, and begins no new one
	From  Micros // since when it has not been heard of; 0: it is heard of
}

// IsEmpty tells whether a machine that drains may be touched, and else for whom it waits. members are those of the view;
// trusted tells that the view is to be trusted. A member that is heard of has to say that it has nothing out. One that is
// not (it is stopped, cut off or unknown) may hold calls that it believes to be good: it may begin one as long as its
// list says so, and each ends within its time; both count on its own clock, which goes on while it is stopped, from the
// last moment at which it can have heard that the machine was in service. That is the moment at which the drain was told,
// and so the span is the same for all: rules.Unheard after it. A call that a stopped member wrote whole before it was
// stopped has ended by then, and what it had not written it takes back when it wakes, as its time is up.
func (s State) IsEmpty(p Permit, now Micros, members map[string]Sent, trusted bool) (empty bool, waits string) {
	passed := now-p.Drained > s.Rules.Unheard
	if !trusted && !passed {
		return false, "the view of the fleet is not to be trusted"
	}
	names := make([]string, 0, len(members))
	for name := range members {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		switch m := members[name]; {
		case m.From == 0 && (!m.Heard || m.Calls > 0):
			return false, fmt.Sprintf("%s has %d calls out", name, m.Calls)
		case m.From != 0 && !passed:
			return false, fmt.Sprintf("%s has not been heard of, and may send for another %d s", name, (p.Drained+s.Rules.Unheard-now)/1_000_000)
		}
	}
	return true, ""
}
