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
	settings    Settings
	now    Micros
	actions   []Action
	seedVoters  []Member // by its own file: addresses alone
	knownVoters []Member // by the newest answer
	active Version
	group  string // empty: nobody has told yet
	lease  Lease

	pendingPolls    map[uint64]pendingPoll
	lastPoll uint64
	polledAt Micros
	failedAt  map[string]Micros // when a voter last failed, by address
	loggedGroup string            // the newest group that was not this one's, as it was logged
}

type pendingPoll struct {
	sentAt Micros
	voter Member
}

// NewFollower returns the decisions of an instance that served by a version last (Number 0: by none) and knows these
// addresses of voters.
func NewFollower(set Settings, voters []string, last Version) *Follower {
	f := &Follower{
		settings: set, active: last, lease: Lease{Serve: set.ServeWhenStale}, pendingPolls: map[uint64]pendingPoll{}, polledAt: -set.LeaseInterval,
		failedAt: map[string]Micros{},
	}
	for _, a := range voters {
		f.seedVoters = append(f.seedVoters, Member{Addr: a, Voter: true})
	}
	return f
}

// Active is the version that this instance knows to be the newest.
func (f *Follower) Active() Version { return f.active }

// Group is the one that is followed; empty: nobody has told yet.
func (f *Follower) Group() string { return f.group }

// Voters are those known, in the order in which this instance asks them.
func (f *Follower) Voters() []Member { return f.votersByPreference() }

// Step takes what happened and returns what to do now, in order.
func (f *Follower) Step(now Micros, events []Event) []Action {
	f.now, f.actions = max(now, f.now), nil
	for _, e := range events {
		switch e := e.(type) {
		case ReplyReceived:
			f.handleReply(e)
		case CallTimedOut:
			if a, out := f.pendingPolls[e.Seq]; out {
				delete(f.pendingPolls, e.Seq)
				f.markFailed(a.voter)
			}
		}
	}
	f.poll()
	return f.actions
}

func (f *Follower) emit(a Action) { f.actions = append(f.actions, a) }

func (f *Follower) markFailed(m Member) { f.failedAt[m.Addr] = f.now }

// poll asks for a lease as often as a voter does. A voter that has not answered the last ask by then is passed over
// for as long as the bound, since there is only so much time.
func (f *Follower) poll() {
	every := f.settings.LeaseInterval
	if len(f.pendingPolls) > 0 || f.lastPoll == 0 || !f.lease.Holds(f.now, f.active.Number) {
		every /= 4 // there is something to catch up on
	}
	if f.now < f.polledAt+every {
		return
	}
	for _, seq := range slices.Sorted(maps.Keys(f.pendingPolls)) {
		a := f.pendingPolls[seq]
		if f.now-a.sentAt >= f.settings.LeaseInterval/2 {
			f.markFailed(a.voter)
		}
		if f.now-a.sentAt >= f.settings.StalenessBound { // an answer would be worth nothing
			delete(f.pendingPolls, seq)
		}
	}
	all := f.votersByPreference()
	if len(all) == 0 {
		return
	}
	f.lastPoll++
	f.polledAt = f.now
	f.pendingPolls[f.lastPoll] = pendingPoll{f.now, all[0]}
	a := PollRequest{Have: f.active.Number, Digest: f.active.Digest}
	if f.group == "" { // what it had may be of a group that was begun anew since
		a = PollRequest{}
	}
	f.emit(PollVoter{f.lastPoll, all[0], a})
}

// votersByPreference is the voters in the order in which this instance wants them: its own, drawn from its folder's name, so that
// all instances spread over the voters; those that failed within the bound come last, the one that failed longest ago
// first. Addresses by its own file count while no voter is known to work.
func (f *Follower) votersByPreference() []Member {
	all := slices.Clone(f.knownVoters)
	fresh := slices.ContainsFunc(all, func(m Member) bool { return !f.failedRecently(m) })
	if !fresh {
		for _, s := range f.seedVoters {
			if !slices.ContainsFunc(all, func(m Member) bool { return m.Addr == s.Addr }) {
				all = append(all, s)
			}
		}
	}
	weight := func(m Member) uint64 { return xxhash.Sum64String(f.settings.InstanceID + " " + m.Addr) }
	slices.SortFunc(all, func(x, y Member) int {
		if a, b := f.failedRecently(x), f.failedRecently(y); a || b {
			if a != b {
				return map[bool]int{true: 1, false: -1}[a]
			}
			return cmp.Or(cmp.Compare(f.failedAt[x.Addr], f.failedAt[y.Addr]), cmp.Compare(weight(x), weight(y)))
		}
		return cmp.Or(cmp.Compare(weight(x), weight(y)), cmp.Compare(x.Addr, y.Addr))
	})
	return all
}

func (f *Follower) failedRecently(m Member) bool {
	at, known := f.failedAt[m.Addr]
	return known && f.now-at < f.settings.StalenessBound
}

func (f *Follower) handleReply(e ReplyReceived) {
	a, out := f.pendingPolls[e.Seq]
	if !out {
		return // it came twice, or too late
	}
	delete(f.pendingPolls, e.Seq)
	switch {
	case !e.OK:
		f.markFailed(a.voter)
		return
	case f.group != "" && e.Group != f.group:
		f.markFailed(a.voter)
		if f.loggedGroup != e.Group {
			f.loggedGroup = e.Group
			f.emit(Log{fmt.Sprintf("the voter at %s is of group %s and not of %s: it is not followed; if the group was begun anew, restart this instance", a.voter.Addr, e.Group, f.group)})
		}
		return
	}
	delete(f.failedAt, a.voter.Addr)
	first := f.group == ""
	f.group = e.Group
	if len(e.Voters) > 0 {
		f.knownVoters = e.Voters
	}
	maps.DeleteFunc(f.failedAt, func(_ string, at Micros) bool { return f.now-at >= f.settings.StalenessBound })
	// Versions never go back, but for the first answer: what was kept may be of a group that was begun anew.
	if v := e.Active; v != nil && (v.Number > f.active.Number || first && (v.Number != f.active.Number || v.Digest != f.active.Digest)) {
		f.active = *v
		f.emit(Activate{*v})
	}
	left := min(e.Left, f.settings.StalenessBound)
	if until := a.sentAt + left - left/clockSlack; until > f.now {
		f.lease = f.lease.with(Grant{e.Version, until}, f.now)
		f.emit(NewLease{f.lease})
	}
}
