package sharedconfig

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// PollRequest is what an instance without a vote asks a voter.
type PollRequest struct {
	Have   uint64 `json:"have"` // the version that it has; 0: none
	Digest string `json:"digest"`
}

// ReplyReceived is a voter's answer. Where OK is false it tells nothing but Why: this voter has no lease itself.
type ReplyReceived struct {
	Seq     uint64   `json:"-"`
	OK      bool     `json:"ok"`
	Why     string   `json:"why,omitempty"`
	Group   string   `json:"group,omitempty"`
	Version uint64   `json:"version,omitempty"` // which the voter's lease covers
	Left    Micros   `json:"left,omitempty"`    // of that lease, on the voter's clock
	Active  *Version `json:"active,omitempty"`  // nil: the asker has it
	Voters  []Member `json:"voters,omitempty"`
}

// CallTimedOut says that a voter did not answer an ask, or that the answer could not be used.
type CallTimedOut struct{ Seq uint64 }

func (ReplyReceived) event() {}
func (CallTimedOut) event()  {}

// PollVoter asks the voter at an address: one Told or Silent, if any.
type PollVoter struct {
	Seq     uint64
	Voter   Member // of one known by the file alone the address is known
	Request PollRequest
}

func (PollVoter) action() {}

// Answer is what a voter with this state and lease tells an instance that follows.
func Answer(s State, l Lease, now Micros, roster []Member, a PollRequest) ReplyReceived {
	v := s.Active()
	if !l.Holds(now, v.Number) {
		return ReplyReceived{Why: cmp.Or(l.Reason(now, v.Number), "no lease")}
	}
	t := ReplyReceived{OK: true, Group: s.Group, Version: v.Number, Left: l.Until(v.Number) - now}
	for _, m := range roster {
		if m.Voter {
			t.Voters = append(t.Voters, m)
		}
	}
	if a.Have != v.Number || a.Digest != v.Digest {
		t.Active = &v
	}
	return t
}

// Follower decides for an instance without a vote, of which there may be hundreds: it takes the agreed document and its
// lease from any voter that has one. What is left of the voter's lease when it answers counts from when the ask left,
// so that a follower's lease never outlasts the one that it came from: the bound on staleness is the voters' own,
// and no majority is asked for it. Its calls must not overlap.
type Follower struct {
	set    Settings
	now    Micros
	acts   []Action
	seeds  []Member // by its own file: addresses alone
	voters []Member // by the newest answer
	active Version
	group  string // empty: nobody has told yet
	lease  Lease

	asks    map[uint64]asked
	lastAsk uint64
	askedAt Micros
	failed  map[string]Micros // when a voter last failed, by address
	refused string            // the newest group that was not this one's, as it was logged
}

type asked struct {
	at Micros
	of Member
}

// NewFollower returns the decisions of an instance that served by a version last (Number 0: by none) and knows these
// addresses of voters.
func NewFollower(set Settings, voters []string, last Version) *Follower {
	f := &Follower{
		set: set, active: last, lease: Lease{Serve: set.ServeWhenStale}, asks: map[uint64]asked{}, askedAt: -set.LeaseInterval,
		failed: map[string]Micros{},
	}
	for _, a := range voters {
		f.seeds = append(f.seeds, Member{Addr: a, Voter: true})
	}
	return f
}

// Active is the version that this instance knows to be the newest.
func (f *Follower) Active() Version { return f.active }

// Group is the one that is followed; empty: nobody has told yet.
func (f *Follower) Group() string { return f.group }

// Voters are those known, in the order in which this instance asks them.
func (f *Follower) Voters() []Member { return f.order() }

// Step takes what happened and returns what to do now, in order.
func (f *Follower) Step(now Micros, events []Event) []Action {
	f.now, f.acts = max(now, f.now), nil
	for _, e := range events {
		switch e := e.(type) {
		case ReplyReceived:
			f.told(e)
		case CallTimedOut:
			if a, out := f.asks[e.Seq]; out {
				delete(f.asks, e.Seq)
				f.fail(a.of)
			}
		}
	}
	f.ask()
	return f.acts
}

func (f *Follower) do(a Action) { f.acts = append(f.acts, a) }

func (f *Follower) fail(m Member) { f.failed[m.Addr] = f.now }

// ask asks for a lease as often as a voter does. A voter that has not answered the last ask by then is passed over
// for as long as the bound, since there is only so much time.
func (f *Follower) ask() {
	every := f.set.LeaseInterval
	if len(f.asks) > 0 || f.lastAsk == 0 || !f.lease.Holds(f.now, f.active.Number) {
		every /= 4 // there is something to catch up on
	}
	if f.now < f.askedAt+every {
		return
	}
	for _, seq := range slices.Sorted(maps.Keys(f.asks)) {
		a := f.asks[seq]
		if f.now-a.at >= f.set.LeaseInterval/2 {
			f.fail(a.of)
		}
		if f.now-a.at >= f.set.StalenessBound { // an answer would be worth nothing
			delete(f.asks, seq)
		}
	}
	all := f.order()
	if len(all) == 0 {
		return
	}
	f.lastAsk++
	f.askedAt = f.now
	f.asks[f.lastAsk] = asked{f.now, all[0]}
	a := PollRequest{Have: f.active.Number, Digest: f.active.Digest}
	if f.group == "" { // what it had may be of a group that was begun anew since
		a = PollRequest{}
	}
	f.do(PollVoter{f.lastAsk, all[0], a})
}

// order is the voters in the order in which this instance wants them: its own, drawn from its folder's name, so that
// all instances spread over the voters; those that failed within the bound come last, the one that failed longest ago
// first. Addresses by its own file count while no voter is known to work.
func (f *Follower) order() []Member {
	all := slices.Clone(f.voters)
	fresh := slices.ContainsFunc(all, func(m Member) bool { return !f.failing(m) })
	if !fresh {
		for _, s := range f.seeds {
			if !slices.ContainsFunc(all, func(m Member) bool { return m.Addr == s.Addr }) {
				all = append(all, s)
			}
		}
	}
	weight := func(m Member) uint64 { return xxhash.Sum64String(f.set.InstanceID + " " + m.Addr) }
	slices.SortFunc(all, func(x, y Member) int {
		if a, b := f.failing(x), f.failing(y); a || b {
			if a != b {
				return map[bool]int{true: 1, false: -1}[a]
			}
			return cmp.Or(cmp.Compare(f.failed[x.Addr], f.failed[y.Addr]), cmp.Compare(weight(x), weight(y)))
		}
		return cmp.Or(cmp.Compare(weight(x), weight(y)), cmp.Compare(x.Addr, y.Addr))
	})
	return all
}

func (f *Follower) failing(m Member) bool {
	at, known := f.failed[m.Addr]
	return known && f.now-at < f.set.StalenessBound
}

func (f *Follower) told(e ReplyReceived) {
	a, out := f.asks[e.Seq]
	if !out {
		return // it came twice, or too late
	}
	delete(f.asks, e.Seq)
	switch {
	case !e.OK:
		f.fail(a.of)
		return
	case f.group != "" && e.Group != f.group:
		f.fail(a.of)
		if f.refused != e.Group {
			f.refused = e.Group
			f.do(Log{fmt.Sprintf("the voter at %s is of group %s and not of %s: it is not followed; if the group was begun anew, restart this instance", a.of.Addr, e.Group, f.group)})
		}
		return
	}
	delete(f.failed, a.of.Addr)
	first := f.group == ""
	f.group = e.Group
	if len(e.Voters) > 0 {
		f.voters = e.Voters
	}
	maps.DeleteFunc(f.failed, func(_ string, at Micros) bool { return f.now-at >= f.set.StalenessBound })
	// Versions never go back, but for the first answer: what was kept may be of a group that was begun anew.
	if v := e.Active; v != nil && (v.Number > f.active.Number || first && (v.Number != f.active.Number || v.Digest != f.active.Digest)) {
		f.active = *v
		f.do(Activate{*v})
	}
	left := min(e.Left, f.set.StalenessBound)
	if until := a.at + left - left/clockSlack; until > f.now {
		f.lease = f.lease.with(Grant{e.Version, until}, f.now)
		f.do(NewLease{f.lease})
	}
}
