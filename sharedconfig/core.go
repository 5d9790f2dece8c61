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
	settings    Settings
	now    Micros
	actions   []Action
	state  State
	members []Member
	lease  Lease

	leaseRequests    map[uint64]Micros // asks for a lease that may still be answered: when they left
	lastLeaseRequest uint64
	leaseRequestedAt Micros

	// The rest is a leader's.
	term           uint64
	leading, ready bool
	queuedChanges          []ChangeRequested // changes that wait for the one under way
	currentChange        *changeInProgress
	waitingLeases          []LeaseRequested // for the next verification
	verifyingLeases      []LeaseRequested // for the one that is out
	verifyingVersion       uint64           // its version
	lastSeq            uint64
	verificationSeq      uint64 // 0: none is out
	lastHeard          map[string]Micros
	membershipChange          *membershipChange // the membership change under way
	catchUpRequestedAt        map[string]Micros
}

// changeInProgress is the change under way.
type changeInProgress struct {
	Change
	calls    []uint64
	callDeadline    Micros // callers wait no longer
	proposed bool   // the first entry is applied
	checkDeadline  Micros
	unanswered    map[string]Member // who has not answered yet
	acceptCount      int
	rejection       *CheckResult // the first one, and whose it was
	rejectedBy   string
	decided  bool // the second entry is on its way
	accepted   bool
}

// membershipChange is a membership change under way.
type membershipChange struct {
	call   uint64
	member Member
	remove bool
	seq    uint64 // of SetRoster; 0: it waits for the member to catch up
	deadline  Micros
}

// New returns the core of an instance that has state and knows nobody.
func New(set Settings, state State) *Core {
	return &Core{
		settings: set, state: state, lease: Lease{Serve: set.ServeWhenStale, Removed: set.Removed}, leaseRequests: map[uint64]Micros{},
		leaseRequestedAt: -set.LeaseInterval, lastHeard: map[string]Micros{}, catchUpRequestedAt: map[string]Micros{},
	}
}

// State is what the log has made so far, as far as the core was told.
func (c *Core) State() State { return c.state }

// Lease is the instance's lease.
func (c *Core) Lease() Lease { return c.lease }

// Step takes what happened and returns what to do now, in order.
func (c *Core) Step(now Micros, events []Event) []Action {
	c.now, c.actions = max(now, c.now), nil
	for _, e := range events {
		c.handleEvent(e)
	}
	c.requestLease()
	if c.leading && c.ready {
		c.advanceLeader()
	}
	return c.actions
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Core) logf(format string, args ...any) { c.emit(Log{fmt.Sprintf(format, args...)}) }

func (c *Core) handleEvent(e Event) {
	switch e := e.(type) {
	case Applied:
		c.handleApplied(e)
	case Role:
		c.handleRole(e)
	case Ready:
		c.ready = c.ready || c.leading && e.Term == c.term
	case MemberList:
		c.members = e.Members
	case ChangeRequested:
		c.handleChangeRequested(e)
	case AppendFailed:
		if c.currentChange != nil && c.currentChange.Request == e.Request {
			c.abandonCurrentChange("the log did not take it, or nobody knows whether it did")
		}
	case CheckResult:
		c.handleCheckResult(e)
	case LeaseRequested:
		c.handleLeaseRequested(e)
	case Verified:
		c.handleVerified(e)
	case LeaseGranted:
		c.handleLeaseGranted(e)
	case AddRequested:
		c.handleAddRequested(e)
	case RemoveRequested:
		c.handleRemoveRequested(e)
	case MembershipChanged:
		c.handleMembershipChanged(e)
	case CaughtUp:
		c.handleCaughtUp(e)
	}
}

func (c *Core) handleApplied(e Applied) {
	before := c.state.Active()
	c.state = e.State
	if v := c.state.Active(); v.Number != before.Number {
		c.emit(Activate{v})
	}
	for _, o := range e.Outcomes {
		cur := c.currentChange
		if cur == nil || cur.Request != o.Request || o.Request == "" {
			continue
		}
		switch {
		case o.Status == Pending:
			cur.proposed = true
		case o.Status == Busy: // a change that an earlier leader began: it is decided first
			c.requeueCurrentChange()
		case o.Status != Unknown:
			c.replyAll(cur.calls, o)
			c.currentChange = nil
		}
	}
}

// requeueCurrentChange puts the change under way back: another one is pending.
func (c *Core) requeueCurrentChange() {
	cur := c.currentChange
	c.currentChange = nil
	again := make([]ChangeRequested, 0, len(cur.calls)+len(c.queuedChanges))
	for _, call := range cur.calls {
		again = append(again, ChangeRequested{call, cur.Change})
	}
	c.queuedChanges = append(again, c.queuedChanges...)
}

func (c *Core) replyAll(calls []uint64, o Outcome) {
	for _, call := range calls {
		c.emit(Reply{call, o})
	}
}

// handleRole ends what a leader has under way when the term ends: nobody here knows then what becomes of it.
func (c *Core) handleRole(e Role) {
	if e.Leading == c.leading && (!e.Leading || e.Term == c.term) {
		c.term = max(c.term, e.Term)
		return
	}
	if c.leading {
		c.abandonCurrentChange("this instance no longer leads")
		for _, a := range c.queuedChanges {
			c.emit(Reply{a.Call, Outcome{Request: a.Change.Request, Why: "this instance no longer leads"}})
		}
		c.finishMembershipChange(Unknown, "this instance no longer leads")
		for _, w := range append(c.waitingLeases, c.verifyingLeases...) {
			c.emit(AnswerLeaseRequest{Call: w.Call})
		}
	}
	c.leading, c.term, c.ready = e.Leading, e.Term, false
	c.queuedChanges, c.currentChange, c.waitingLeases, c.verifyingLeases, c.verificationSeq = nil, nil, nil, nil, 0
	clear(c.lastHeard)
	clear(c.catchUpRequestedAt)
}

func (c *Core) abandonCurrentChange(why string) {
	if c.currentChange != nil {
		c.replyAll(c.currentChange.calls, Outcome{Request: c.currentChange.Request, Why: why})
		c.currentChange = nil
	}
}

// handleChangeRequested takes a change in. One that is known already is answered from what is known of it, and one that is under way
// gets a further caller.
func (c *Core) handleChangeRequested(e ChangeRequested) {
	known := c.state.Outcome(e.Change.Request)
	switch {
	case !c.leading:
		c.emit(Reply{e.Call, Outcome{Request: e.Change.Request, Why: "this instance does not lead"}})
	case c.currentChange != nil && c.currentChange.Request == e.Change.Request:
		c.currentChange.calls = append(c.currentChange.calls, e.Call)
	case known.Status != Unknown && known.Status != Pending && c.ready:
		c.emit(Reply{e.Call, known})
	default:
		c.queuedChanges = append(c.queuedChanges, e)
	}
}

// advanceLeader does what a leader owes: it decides what is pending, begins what waits, verifies for those who ask for leases
// and gives those a vote that have caught up.
func (c *Core) advanceLeader() {
	c.startNextChange()
	c.decideCurrentChange()
	if len(c.waitingLeases) > 0 && c.verificationSeq == 0 && !c.mayBeActivating() {
		c.lastSeq++
		c.verificationSeq, c.verifyingLeases, c.waitingLeases = c.lastSeq, c.waitingLeases, nil
		c.verifyingVersion = c.state.Active().Number
		c.emit(Verify{c.lastSeq})
	}
	c.advanceMembership()
}

// mayBeActivating tells whether a new version may be active already though it is not applied here.
func (c *Core) mayBeActivating() bool { return c.currentChange != nil && c.currentChange.decided && c.currentChange.accepted }

// startNextChange takes up what an earlier leader left pending, else the next change that waits.
func (c *Core) startNextChange() {
	if c.currentChange == nil && c.state.Pending != nil {
		c.logf("change %s was left pending: it is checked again", c.state.Pending.Request)
		c.currentChange = &changeInProgress{Change: *c.state.Pending, proposed: true}
	}
	for c.currentChange == nil && len(c.queuedChanges) > 0 {
		next := c.queuedChanges[0]
		c.queuedChanges = c.queuedChanges[1:]
		if known := c.state.Outcome(next.Change.Request); known.Status != Unknown {
			c.emit(Reply{next.Call, known})
			continue
		}
		c.currentChange = &changeInProgress{Change: next.Change, calls: []uint64{next.Call}, callDeadline: c.now + c.settings.ChangeTimeout}
		c.emit(Append{Entry{Propose: &next.Change}, next.Change.Request})
	}
	if cur := c.currentChange; cur != nil { // those who ask for the same change wait with it
		c.queuedChanges = slices.DeleteFunc(c.queuedChanges, func(a ChangeRequested) bool {
			same := a.Change.Request == cur.Request
			if same {
				cur.calls = append(cur.calls, a.Call)
			}
			return same
		})
		if cur.callDeadline > 0 && c.now >= cur.callDeadline {
			c.replyAll(cur.calls, Outcome{Request: cur.Request, Why: "not decided in time"})
			cur.calls, cur.callDeadline = nil, 0
		}
		if cur.proposed && cur.unanswered == nil {
			cur.checkDeadline, cur.unanswered = c.now+c.settings.CheckTimeout, map[string]Member{}
			for _, m := range c.members {
				cur.unanswered[m.Folder] = m
				c.emit(Check{m, cur.Change})
			}
		}
	}
}

func (c *Core) handleCheckResult(e CheckResult) {
	cur := c.currentChange
	if cur == nil || cur.Request != e.Request || cur.decided {
		return
	}
	m, asked := cur.unanswered[e.Folder]
	if !asked {
		return
	}
	delete(cur.unanswered, e.Folder)
	switch {
	case e.TimedOut:
		c.logf("instance %s did not check change %s: %s", m.Name, e.Request, cmp.Or(e.Reason, "no answer"))
	case !e.Accepted:
		if cur.rejection == nil {
			cur.rejection, cur.rejectedBy = &e, m.Name
		}
	case m.Voter:
		cur.acceptCount++
	}
}

// decideCurrentChange decides the change under way once every member has spoken, or its time for that is up. One "no" decides it
// at once. Without a majority's "yes" it is refused: a leader that is cut off would find out only later.
func (c *Core) decideCurrentChange() {
	cur := c.currentChange
	if cur == nil || !cur.proposed || cur.unanswered == nil || cur.decided {
		return
	}
	d := Decision{Request: cur.Request}
	switch {
	case cur.rejection != nil:
		d.Instance, d.Why = cur.rejectedBy, cur.rejection.Reason
	case len(cur.unanswered) > 0 && c.now < cur.checkDeadline:
		return
	case cur.acceptCount <= c.voterCount()/2:
		d.Why = fmt.Sprintf("only %d of %d instances could check it", cur.acceptCount, c.voterCount())
	default:
		d.Accept = true
	}
	cur.decided, cur.accepted = true, d.Accept
	c.emit(Append{Entry{Decide: &d}, cur.Request})
}

func (c *Core) voterCount() (n int) {
	for _, m := range c.members {
		if m.Voter {
			n++
		}
	}
	return n
}

func (c *Core) findMember(is func(Member) bool) (Member, bool) {
	i := slices.IndexFunc(c.members, is)
	if i < 0 {
		return Member{}, false
	}
	return c.members[i], true
}

// requestLease asks for a lease, as often as the settings say: soon enough that several may be lost before the bound passes.
// Who was not granted its last one asks more often: a leader may be there for a short time only.
func (c *Core) requestLease() {
	every := c.settings.LeaseInterval
	if _, out := c.leaseRequests[c.lastLeaseRequest]; out || c.lastLeaseRequest == 0 {
		every /= 8
	}
	if c.lease.Removed || c.now < c.leaseRequestedAt+every {
		return
	}
	maps.DeleteFunc(c.leaseRequests, func(_ uint64, at Micros) bool { return at+c.settings.StalenessBound <= c.now })
	c.lastLeaseRequest++
	c.leaseRequests[c.lastLeaseRequest], c.leaseRequestedAt = c.now, c.now
	c.emit(RequestLease{c.lastLeaseRequest})
}

// handleLeaseGranted counts from when the ask left, on this instance's own clock: however late the answer comes, what it says
// was true then or later.
func (c *Core) handleLeaseGranted(e LeaseGranted) {
	at, known := c.leaseRequests[e.Seq]
	if !known || !e.OK {
		return
	}
	delete(c.leaseRequests, e.Seq)
	if e.Removed {
		c.lease = Lease{Removed: true}
		c.emit(NewLease{c.lease})
		c.logf("this instance was removed from its group: it serves nothing any more")
		return
	}
	if until := at + c.settings.StalenessBound - c.settings.StalenessBound/clockSlack; until > c.now {
		c.lease = c.lease.with(Grant{e.Version, until}, c.now)
		c.emit(NewLease{c.lease})
	}
}

// handleLeaseRequested has the asker wait for the next verification: one that is out already may have begun before the ask.
func (c *Core) handleLeaseRequested(e LeaseRequested) {
	if !c.leading || !c.ready {
		c.emit(AnswerLeaseRequest{Call: e.Call})
		return
	}
	c.lastHeard[e.Folder] = c.now
	c.waitingLeases = append(c.waitingLeases, e)
}

// handleVerified grants what was verified. The version is the one that was active when the verification began; while a
// newer one may be active unseen none begins.
func (c *Core) handleVerified(e Verified) {
	if e.Seq != c.verificationSeq {
		return
	}
	for _, w := range c.verifyingLeases {
		g := AnswerLeaseRequest{Call: w.Call}
		if e.OK && e.Term == c.term && c.verifyingVersion > 0 {
			_, in := c.findMember(func(m Member) bool { return m.Folder == w.Folder })
			g.Version, g.Removed = c.verifyingVersion, c.state.IsRetired(w.Folder)
			g.OK = in || g.Removed
		}
		c.emit(g)
	}
	c.verifyingLeases, c.verificationSeq = nil, 0
}
