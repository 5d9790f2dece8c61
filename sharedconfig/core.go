package sharedconfig

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Settings is what a core knows from the start.
type Settings struct {
	InstanceID     string // names this instance's folder, and with it the instance, for as long as it exists
	StalenessBound Micros // how long a version may be served after it was replaced
	ServeWhenStale bool   // serve without a lease rather than refuse
	Removed        bool   // it was told before that it is no member any more
	LeaseInterval  Micros // between two asks for a lease
	CheckTimeout   Micros // how long instances have to check a change
	CatchUpTimeout Micros // how long one that joins may take until it has the log
	ReachableFor   Micros // an instance that asked for a lease within it counts as reachable
	ChangeTimeout  Micros // a caller waits no longer for a change or a membership change
}

// Defaults are settings for a bound.
func Defaults(folder string, bound Micros, serveOn bool) Settings {
	return Settings{
		InstanceID: folder, StalenessBound: bound, ServeWhenStale: serveOn, LeaseInterval: min(max(bound/10, 20_000), 500_000),
		CheckTimeout: 1_000_000, CatchUpTimeout: 10_000_000, ReachableFor: max(2*bound/5, 200_000), ChangeTimeout: 5_000_000,
	}
}

// clockSlack is the share of the bound given up for clocks that run at different speeds: 1 %.
const clockSlack = 100

// Member is one instance of the group.
type Member struct {
	Name   string `json:"name"`
	Folder string `json:"folder"`
	Addr   string `json:"addr"`
	Voter  bool   `json:"voter"`
}

// Event is something that happened. It is one of the types below that name themselves so.
type Event interface{ event() }

// Applied says that entries of the log were applied here: the state after them, and what became of the changes that
// they concerned.
type Applied struct {
	State    State
	Outcomes []Outcome
}

// Role says who leads now, as far as this instance knows. A new term of its own begins unready.
type Role struct {
	Leading bool
	Term    uint64
}

// Ready says that everything that was agreed before this term is applied here. Only then does a leader act.
type Ready struct{ Term uint64 }

// MemberList is who is a member, by the newest word of the log, this instance included if it is one.
type MemberList struct{ Members []Member }

// ChangeRequested is a change that a caller wants. It gets one Reply.
type ChangeRequested struct {
	Call   uint64
	Change Change
}

// AppendFailed says that an entry could not be appended, or that nobody knows whether it was.
type AppendFailed struct{ Request string }

// CheckResult is what an instance says of a change that it was asked to check. Silent: it did not answer.
type CheckResult struct {
	Request, Folder    string
	Accepted, TimedOut bool
	Reason             string
}

// LeaseRequested is a member that asks this one for a lease.
type LeaseRequested struct {
	Call   uint64
	Folder string
}

// Verified says whether, after Verify was asked, a majority still took this instance for the leader of the term.
type Verified struct {
	Seq  uint64
	OK   bool
	Term uint64
}

// LeaseGranted is the leader's answer to AskLease. Where OK is false it tells nothing.
type LeaseGranted struct {
	Seq     uint64
	OK      bool
	Version uint64
	Removed bool
}

// AddRequested is a member to be taken in, or one that has moved to a new address.
type AddRequested struct {
	Call   uint64
	Member Member
}

// RemoveRequested is a member to be removed.
type RemoveRequested struct {
	Call uint64
	Name string
}

// MembershipChanged says whether SetRoster was agreed on.
type MembershipChanged struct {
	Seq    uint64
	OK     bool
	Reason string
}

// CaughtUp says that an instance without a vote has the whole log, as it was when it was asked.
type CaughtUp struct{ Folder string }

// Tick is only time that passes.
type Tick struct{}

func (Applied) event()           {}
func (Role) event()              {}
func (Ready) event()             {}
func (MemberList) event()        {}
func (ChangeRequested) event()   {}
func (AppendFailed) event()      {}
func (CheckResult) event()       {}
func (LeaseRequested) event()    {}
func (Verified) event()          {}
func (LeaseGranted) event()      {}
func (AddRequested) event()      {}
func (RemoveRequested) event()   {}
func (MembershipChanged) event() {}
func (CaughtUp) event()          {}
func (Tick) event()              {}

// Action is something to do, in the order given. It is one of the types below that name themselves so.
type Action interface{ action() }

// Append appends an entry to the log; its fate is told by Applied or by Lost with the request.
type Append struct {
	Entry   Entry
	Request string // empty: nobody waits for it
}

// Check asks a member, perhaps this one, what it says of a change: one Verdict.
type Check struct {
	Member Member
	Change Change
}

// Reply ends a call.
type Reply struct {
	Call    uint64
	Outcome Outcome
}

// RequestLease asks the leader for a lease: one Granted, if an answer comes.
type RequestLease struct{ Seq uint64 }

// Verify asks a majority whether this instance leads: one Verified.
type Verify struct{ Seq uint64 }

// AnswerLeaseRequest answers LeaseAsked.
type AnswerLeaseRequest struct {
	Call    uint64
	OK      bool
	Version uint64
	Removed bool
}

// ChangeMembership changes the membership by one member: one RosterSet.
type ChangeMembership struct {
	Seq    uint64
	Member Member
	Remove bool
}

// WaitForCatchUp asks a member without a vote to tell when it has the log: one CaughtUp, if it comes so far.
type WaitForCatchUp struct{ Member Member }

// Activate says that a version is active: what this instance serves has to follow.
type Activate struct{ Version Version }

// NewLease replaces the instance's lease.
type NewLease struct{ Lease Lease }

// Log is a line for the people on call.
type Log struct{ Text string }

func (Append) action()             {}
func (Check) action()              {}
func (Reply) action()              {}
func (RequestLease) action()       {}
func (Verify) action()             {}
func (AnswerLeaseRequest) action() {}
func (ChangeMembership) action()   {}
func (WaitForCatchUp) action()     {}
func (Activate) action()           {}
func (NewLease) action()           {}
func (Log) action()                {}

// Core decides for one instance. Its calls must not overlap.
type Core struct {
	set    Settings
	now    Micros
	acts   []Action
	state  State
	roster []Member
	lease  Lease

	asks    map[uint64]Micros // asks for a lease that may still be answered: when they left
	lastAsk uint64
	askedAt Micros

	// The rest is a leader's.
	term           uint64
	leading, ready bool
	queue          []ChangeRequested // changes that wait for the one under way
	current        *change
	waits          []LeaseRequested // for the next verification
	verifying      []LeaseRequested // for the one that is out
	verified       uint64           // its version
	seq            uint64
	verifyOut      uint64 // 0: none is out
	heard          map[string]Micros
	joins          *roster // the membership change under way
	awaited        map[string]Micros
}

// change is the change under way.
type change struct {
	Change
	calls    []uint64
	until    Micros // callers wait no longer
	proposed bool   // the first entry is applied
	checkTo  Micros
	waits    map[string]Member // who has not answered yet
	yes      int
	no       *CheckResult // the first one, and whose it was
	noFrom   string
	decided  bool // the second entry is on its way
	accept   bool
}

// roster is a membership change under way.
type roster struct {
	call   uint64
	member Member
	remove bool
	seq    uint64 // of SetRoster; 0: it waits for the member to catch up
	until  Micros
}

// New returns the core of an instance that has state and knows nobody.
func New(set Settings, state State) *Core {
	return &Core{
		set: set, state: state, lease: Lease{Serve: set.ServeWhenStale, Removed: set.Removed}, asks: map[uint64]Micros{},
		askedAt: -set.LeaseInterval, heard: map[string]Micros{}, awaited: map[string]Micros{},
	}
}

// State is what the log has made so far, as far as the core was told.
func (c *Core) State() State { return c.state }

// Lease is the instance's lease.
func (c *Core) Lease() Lease { return c.lease }

// Step takes what happened and returns what to do now, in order.
func (c *Core) Step(now Micros, events []Event) []Action {
	c.now, c.acts = max(now, c.now), nil
	for _, e := range events {
		c.take(e)
	}
	c.ask()
	if c.leading && c.ready {
		c.lead()
	}
	return c.acts
}

func (c *Core) do(a Action) { c.acts = append(c.acts, a) }

func (c *Core) logf(format string, args ...any) { c.do(Log{fmt.Sprintf(format, args...)}) }

func (c *Core) take(e Event) {
	switch e := e.(type) {
	case Applied:
		c.applied(e)
	case Role:
		c.role(e)
	case Ready:
		c.ready = c.ready || c.leading && e.Term == c.term
	case MemberList:
		c.roster = e.Members
	case ChangeRequested:
		c.asked(e)
	case AppendFailed:
		if c.current != nil && c.current.Request == e.Request {
			c.unknown("the log did not take it, or nobody knows whether it did")
		}
	case CheckResult:
		c.verdict(e)
	case LeaseRequested:
		c.leaseAsked(e)
	case Verified:
		c.verifiedNow(e)
	case LeaseGranted:
		c.granted(e)
	case AddRequested:
		c.add(e)
	case RemoveRequested:
		c.remove(e)
	case MembershipChanged:
		c.rosterSet(e)
	case CaughtUp:
		c.caughtUp(e)
	}
}

func (c *Core) applied(e Applied) {
	before := c.state.Active()
	c.state = e.State
	if v := c.state.Active(); v.Number != before.Number {
		c.do(Activate{v})
	}
	for _, o := range e.Outcomes {
		cur := c.current
		if cur == nil || cur.Request != o.Request || o.Request == "" {
			continue
		}
		switch {
		case o.Status == Pending:
			cur.proposed = true
		case o.Status == Busy: // a change that an earlier leader began: it is decided first
			c.requeue()
		case o.Status != Unknown:
			c.reply(cur.calls, o)
			c.current = nil
		}
	}
}

// requeue puts the change under way back: another one is pending.
func (c *Core) requeue() {
	cur := c.current
	c.current = nil
	again := make([]ChangeRequested, 0, len(cur.calls)+len(c.queue))
	for _, call := range cur.calls {
		again = append(again, ChangeRequested{call, cur.Change})
	}
	c.queue = append(again, c.queue...)
}

func (c *Core) reply(calls []uint64, o Outcome) {
	for _, call := range calls {
		c.do(Reply{call, o})
	}
}

// role ends what a leader has under way when the term ends: nobody here knows then what becomes of it.
func (c *Core) role(e Role) {
	if e.Leading == c.leading && (!e.Leading || e.Term == c.term) {
		c.term = max(c.term, e.Term)
		return
	}
	if c.leading {
		c.unknown("this instance no longer leads")
		for _, a := range c.queue {
			c.do(Reply{a.Call, Outcome{Request: a.Change.Request, Why: "this instance no longer leads"}})
		}
		c.endRoster(Unknown, "this instance no longer leads")
		for _, w := range append(c.waits, c.verifying...) {
			c.do(AnswerLeaseRequest{Call: w.Call})
		}
	}
	c.leading, c.term, c.ready = e.Leading, e.Term, false
	c.queue, c.current, c.waits, c.verifying, c.verifyOut = nil, nil, nil, nil, 0
	clear(c.heard)
	clear(c.awaited)
}

func (c *Core) unknown(why string) {
	if c.current != nil {
		c.reply(c.current.calls, Outcome{Request: c.current.Request, Why: why})
		c.current = nil
	}
}

// asked takes a change in. One that is known already is answered from what is known of it, and one that is under way
// gets a further caller.
func (c *Core) asked(e ChangeRequested) {
	known := c.state.Outcome(e.Change.Request)
	switch {
	case !c.leading:
		c.do(Reply{e.Call, Outcome{Request: e.Change.Request, Why: "this instance does not lead"}})
	case c.current != nil && c.current.Request == e.Change.Request:
		c.current.calls = append(c.current.calls, e.Call)
	case known.Status != Unknown && known.Status != Pending && c.ready:
		c.do(Reply{e.Call, known})
	default:
		c.queue = append(c.queue, e)
	}
}

// lead does what a leader owes: it decides what is pending, begins what waits, verifies for those who ask for leases
// and gives those a vote that have caught up.
func (c *Core) lead() {
	c.begin()
	c.judge()
	if len(c.waits) > 0 && c.verifyOut == 0 && !c.activating() {
		c.seq++
		c.verifyOut, c.verifying, c.waits = c.seq, c.waits, nil
		c.verified = c.state.Active().Number
		c.do(Verify{c.seq})
	}
	c.members()
}

// activating tells whether a new version may be active already though it is not applied here.
func (c *Core) activating() bool { return c.current != nil && c.current.decided && c.current.accept }

// begin takes up what an earlier leader left pending, else the next change that waits.
func (c *Core) begin() {
	if c.current == nil && c.state.Pending != nil {
		c.logf("change %s was left pending: it is checked again", c.state.Pending.Request)
		c.current = &change{Change: *c.state.Pending, proposed: true}
	}
	for c.current == nil && len(c.queue) > 0 {
		next := c.queue[0]
		c.queue = c.queue[1:]
		if known := c.state.Outcome(next.Change.Request); known.Status != Unknown {
			c.do(Reply{next.Call, known})
			continue
		}
		c.current = &change{Change: next.Change, calls: []uint64{next.Call}, until: c.now + c.set.ChangeTimeout}
		c.do(Append{Entry{Propose: &next.Change}, next.Change.Request})
	}
	if cur := c.current; cur != nil { // those who ask for the same change wait with it
		c.queue = slices.DeleteFunc(c.queue, func(a ChangeRequested) bool {
			same := a.Change.Request == cur.Request
			if same {
				cur.calls = append(cur.calls, a.Call)
			}
			return same
		})
		if cur.until > 0 && c.now >= cur.until {
			c.reply(cur.calls, Outcome{Request: cur.Request, Why: "not decided in time"})
			cur.calls, cur.until = nil, 0
		}
		if cur.proposed && cur.waits == nil {
			cur.checkTo, cur.waits = c.now+c.set.CheckTimeout, map[string]Member{}
			for _, m := range c.roster {
				cur.waits[m.Folder] = m
				c.do(Check{m, cur.Change})
			}
		}
	}
}

func (c *Core) verdict(e CheckResult) {
	cur := c.current
	if cur == nil || cur.Request != e.Request || cur.decided {
		return
	}
	m, asked := cur.waits[e.Folder]
	if !asked {
		return
	}
	delete(cur.waits, e.Folder)
	switch {
	case e.TimedOut:
		c.logf("instance %s did not check change %s: %s", m.Name, e.Request, cmp.Or(e.Reason, "no answer"))
	case !e.Accepted:
		if cur.no == nil {
			cur.no, cur.noFrom = &e, m.Name
		}
	case m.Voter:
		cur.yes++
	}
}

// judge decides the change under way once every member has spoken, or its time for that is up. One "no" decides it
// at once. Without a majority's "yes" it is refused: a leader that is cut off would find out only later.
func (c *Core) judge() {
	cur := c.current
	if cur == nil || !cur.proposed || cur.waits == nil || cur.decided {
		return
	}
	d := Decision{Request: cur.Request}
	switch {
	case cur.no != nil:
		d.Instance, d.Why = cur.noFrom, cur.no.Reason
	case len(cur.waits) > 0 && c.now < cur.checkTo:
		return
	case cur.yes <= c.voters()/2:
		d.Why = fmt.Sprintf("only %d of %d instances could check it", cur.yes, c.voters())
	default:
		d.Accept = true
	}
	cur.decided, cur.accept = true, d.Accept
	c.do(Append{Entry{Decide: &d}, cur.Request})
}

func (c *Core) voters() (n int) {
	for _, m := range c.roster {
		if m.Voter {
			n++
		}
	}
	return n
}

func (c *Core) member(is func(Member) bool) (Member, bool) {
	i := slices.IndexFunc(c.roster, is)
	if i < 0 {
		return Member{}, false
	}
	return c.roster[i], true
}

// ask asks for a lease, as often as the settings say: soon enough that several may be lost before the bound passes.
// Who was not granted its last one asks more often: a leader may be there for a short time only.
func (c *Core) ask() {
	every := c.set.LeaseInterval
	if _, out := c.asks[c.lastAsk]; out || c.lastAsk == 0 {
		every /= 8
	}
	if c.lease.Removed || c.now < c.askedAt+every {
		return
	}
	maps.DeleteFunc(c.asks, func(_ uint64, at Micros) bool { return at+c.set.StalenessBound <= c.now })
	c.lastAsk++
	c.asks[c.lastAsk], c.askedAt = c.now, c.now
	c.do(RequestLease{c.lastAsk})
}

// granted counts from when the ask left, on this instance's own clock: however late the answer comes, what it says
// was true then or later.
func (c *Core) granted(e LeaseGranted) {
	at, known := c.asks[e.Seq]
	if !known || !e.OK {
		return
	}
	delete(c.asks, e.Seq)
	if e.Removed {
		c.lease = Lease{Removed: true}
		c.do(NewLease{c.lease})
		c.logf("this instance was removed from its group: it serves nothing any more")
		return
	}
	if until := at + c.set.StalenessBound - c.set.StalenessBound/clockSlack; until > c.now {
		c.lease = c.lease.with(Grant{e.Version, until}, c.now)
		c.do(NewLease{c.lease})
	}
}

// leaseAsked has the asker wait for the next verification: one that is out already may have begun before the ask.
func (c *Core) leaseAsked(e LeaseRequested) {
	if !c.leading || !c.ready {
		c.do(AnswerLeaseRequest{Call: e.Call})
		return
	}
	c.heard[e.Folder] = c.now
	c.waits = append(c.waits, e)
}

// verifiedNow grants what was verified. The version is the one that was active when the verification began; while a
// newer one may be active unseen none begins.
func (c *Core) verifiedNow(e Verified) {
	if e.Seq != c.verifyOut {
		return
	}
	for _, w := range c.verifying {
		g := AnswerLeaseRequest{Call: w.Call}
		if e.OK && e.Term == c.term && c.verified > 0 {
			_, in := c.member(func(m Member) bool { return m.Folder == w.Folder })
			g.Version, g.Removed = c.verified, c.state.IsRetired(w.Folder)
			g.OK = in || g.Removed
		}
		c.do(g)
	}
	c.verifying, c.verifyOut = nil, 0
}
