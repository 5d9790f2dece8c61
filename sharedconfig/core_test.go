package sharedconfig

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Whatever entries come, in whatever order and however often: versions are numbered without a gap, a request is made
// once, what was told of it stays true, and copies of a state stay what they were.
func TestStateHoldsItsRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keep := rapid.IntRange(2, 5).Draw(t, "keep")
		s, _ := State{}.Apply(Entry{Found: &Bootstrap{Group: "g", Keep: keep, First: Change{Request: "first", Text: "0", Digest: "0"}}})
		told := map[string]Outcome{}
		made := map[string]bool{"first": true}
		for range rapid.IntRange(1, 40).Draw(t, "entries") {
			request := fmt.Sprint("r", rapid.IntRange(0, 9).Draw(t, "request"))
			e := Entry{}
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0, 1:
				text := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "text"))
				e.Propose = &Change{Request: request, Text: text, Digest: text, Expect: s.Active().Number - uint64(rapid.IntRange(0, 1).Draw(t, "behind"))}
			case 2:
				e.Decide = &Decision{Request: request, Accept: rapid.Bool().Draw(t, "accept"), Why: "no"}
			case 3:
				e.Found = &Bootstrap{Group: "other"}
			}
			before, copied := s, slices.Clone(s.Versions)
			next, o := s.Apply(e)
			require.Equal(t, copied, before.Versions, "a copy was changed")
			require.NoError(t, next.Check())
			require.LessOrEqual(t, len(next.Versions), keep)
			require.Equal(t, "g", next.Group)
			switch n := next.Active(); n.Number {
			case s.Active().Number:
			case s.Active().Number + 1:
				require.False(t, made[n.Request], "made twice")
				require.True(t, e.Decide != nil && e.Decide.Accept && s.Pending != nil && s.Pending.Request == n.Request, "active without both entries")
				made[n.Request] = true
			default:
				t.Fatalf("version %d follows %d", n.Number, s.Active().Number)
			}
			if o.Status == Done || o.Status == Refused || o.Status == Conflict {
				if old, known := told[o.Request]; known {
					require.Equal(t, old, o)
				}
				told[o.Request] = o
				require.Equal(t, o, next.Outcome(o.Request))
			}
			s = next
		}
	})
}

// A lease says of each version what the grants that cover it say, also where the ones that no longer matter are
// dropped.
func TestLeaseAgainstAllGrants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Lease
		var all []Grant
		now := Micros(1)
		for range rapid.IntRange(1, 30).Draw(t, "grants") {
			now += Micros(rapid.IntRange(0, 5).Draw(t, "passes"))
			g := Grant{uint64(rapid.IntRange(1, 6).Draw(t, "version")), now + Micros(rapid.IntRange(1, 10).Draw(t, "for"))}
			all = append(all, g)
			l = l.withGrant(g, now)
			for v := uint64(0); v <= 7; v++ {
				want := slices.ContainsFunc(all, func(g Grant) bool { return v > 0 && g.Version <= v && now < g.Until })
				require.Equal(t, want, l.Holds(now, v), "version %d at %d of %v by %v", v, now, all, l.Grants)
			}
		}
	})
}

func TestLeaseWithoutOne(t *testing.T) {
	on := Lease{Serve: true}
	assert.True(t, on.Allows(1, 3))
	assert.False(t, on.Allows(1, 0), "nothing is known yet")
	assert.False(t, Lease{Serve: true, Removed: true}.Allows(1, 3))
	assert.False(t, Lease{Grants: []Grant{{1, 10}}}.Allows(10, 1))
	assert.True(t, Lease{Grants: []Grant{{1, 10}}}.Allows(9, 1))
	for reason, l := range map[string]Lease{
		"": {Grants: []Grant{{1, 10}}}, "this instance was removed from its group": {Removed: true},
		"nobody has confirmed that version 2 is still the active one": {},
	} {
		assert.Equal(t, reason, l.Reason(9, 2))
	}
}

func TestWhatAFolderMustHold(t *testing.T) {
	bad := errors.New("bad")
	for name, c := range map[string]struct {
		DataDirectory
		want string
	}{
		"new":                     {DataDirectory{}, ""},
		"only a log":              {DataDirectory{1, 9, nil}, ""},
		"only a snapshot":         {DataDirectory{0, 0, []SnapshotFound{{"a", 9, nil}}}, ""},
		"both":                    {DataDirectory{5, 20, []SnapshotFound{{"a", 9, nil}}}, ""},
		"right behind it":         {DataDirectory{10, 20, []SnapshotFound{{"a", 9, nil}}}, ""},
		"a gap":                   {DataDirectory{11, 20, []SnapshotFound{{"a", 9, nil}}}, "the log begins at entry 11 and snapshot a ends at 9"},
		"no beginning":            {DataDirectory{3, 20, nil}, "the log begins at entry 3 and there is no snapshot before it"},
		"spoilt, older one fits":  {DataDirectory{5, 20, []SnapshotFound{{"b", 15, bad}, {"a", 9, nil}}}, ""},
		"spoilt, older one short": {DataDirectory{12, 20, []SnapshotFound{{"b", 15, bad}, {"a", 9, nil}}}, "snapshot b is spoilt: bad; the one before it ends at entry 9 and the log begins at 12"},
		"spoilt, no log":          {DataDirectory{0, 0, []SnapshotFound{{"b", 15, bad}, {"a", 9, nil}}}, "snapshot b is spoilt: bad"},
		"spoilt, whole log":       {DataDirectory{1, 20, []SnapshotFound{{"b", 15, bad}}}, ""},
		"spoilt, rest of a log":   {DataDirectory{5, 20, []SnapshotFound{{"b", 15, bad}}}, "snapshot b is spoilt: bad"},
	} {
		if err := c.CheckUsable(); c.want == "" {
			assert.NoError(t, err, name)
		} else {
			assert.EqualError(t, err, c.want, name)
		}
	}
}

// leader is a core that leads in term 4, with three members of which the third has no vote.
func leader(t *testing.T) *Core {
	s, _ := State{}.Apply(Entry{Found: &Bootstrap{Group: "g", Keep: 9, First: Change{Request: "first", Text: "0"}}})
	c := New(Defaults("f1", 1_000_000, false), State{})
	c.Step(0, []Event{
		MemberList{[]Member{{"n1", "f1", "a1", true}, {"n2", "f2", "a2", true}, {"n3", "f3", "a3", false}}},
		Applied{State: s},
		Role{true, 4},
		Ready{4},
	})
	return c
}

func of[A Action](acts []Action) (all []A) {
	for _, a := range acts {
		if got, ok := a.(A); ok {
			all = append(all, got)
		}
	}
	return all
}

func TestLeasesAreGrantedForWhatWasVerified(t *testing.T) {
	for name, c := range map[string]struct {
		verified Verified
		folder   string
		want     AnswerLeaseRequest
	}{
		"verified":       {Verified{OK: true, Term: 4}, "f2", AnswerLeaseRequest{Call: 1, OK: true, Version: 1}},
		"not the lead":   {Verified{Term: 4}, "f2", AnswerLeaseRequest{Call: 1}},
		"another term":   {Verified{OK: true, Term: 5}, "f2", AnswerLeaseRequest{Call: 1}},
		"not a member":   {Verified{OK: true, Term: 4}, "f9", AnswerLeaseRequest{Call: 1, Version: 1}},
		"without a vote": {Verified{OK: true, Term: 4}, "f3", AnswerLeaseRequest{Call: 1, OK: true, Version: 1}},
	} {
		core := leader(t)
		verify := of[Verify](core.Step(1, []Event{LeaseRequested{1, c.folder}}))
		require.Len(t, verify, 1, name)
		// one that asks while a verification is out waits for the next
		assert.Empty(t, of[Verify](core.Step(2, []Event{LeaseRequested{2, "f2"}})), name)
		c.verified.Seq = verify[0].Seq
		acts := core.Step(3, []Event{c.verified})
		assert.Equal(t, []AnswerLeaseRequest{c.want}, of[AnswerLeaseRequest](acts), name)
		assert.Len(t, of[Verify](acts), 1, name)
	}
}

func TestMembershipOrders(t *testing.T) {
	add := func(name, folder, addr string) Event {
		return AddRequested{1, Member{Name: name, Folder: folder, Addr: addr}}
	}
	for name, c := range map[string]struct {
		event Event
		want  string // of the reply; empty: the change begins
	}{
		"add":             {add("n4", "f4", "a4"), ""},
		"move":            {add("n2", "f2", "a9"), ""},
		"there already":   {add("n2", "f2", "a2"), "n2 is a member already"},
		"folder lost":     {add("n2", "f9", "a2"), "n2 is a member with another folder: remove it first, so that what it voted for is not forgotten"},
		"address taken":   {add("n4", "f4", "a2"), "a2 is the address of n2"},
		"retired":         {add("n4", "f7", "a4"), "the folder of n4 was removed from this group for good: start it with an empty one"},
		"remove":          {RemoveRequested{1, "n3"}, ""},
		"remove nobody":   {RemoveRequested{1, "n9"}, "there is no instance n9"},
		"remove the rest": {RemoveRequested{1, "n1"}, "without n1 no majority would be reachable: 0 of 1"},
	} {
		core := leader(t)
		s := core.State()
		s.Retired = []string{"f7"}
		acts := core.Step(5_000_000, []Event{Applied{State: s}, c.event})
		set, replies := of[ChangeMembership](acts), of[Reply](acts)
		if c.want == "" {
			assert.Len(t, set, 1, name)
			assert.Empty(t, replies, name)
			second := of[Reply](core.Step(5_000_001, []Event{add("n5", "f5", "a5")}))
			require.Len(t, second, 1, name)
			assert.Equal(t, Busy, second[0].Outcome.Status, name)
		} else if assert.Len(t, replies, 1, name) {
			assert.Equal(t, c.want, replies[0].Outcome.Why, name)
			assert.Empty(t, set, name)
		}
	}
}

// A removal that an earlier leader began is ended by the next, and one without a vote gets it from whoever leads.
func TestNextLeaderEndsWhatWasBegun(t *testing.T) {
	core := leader(t)
	s := core.State()
	s.Retired = []string{"f2"}
	set := of[ChangeMembership](core.Step(5_000_000, []Event{Applied{State: s}}))
	require.Len(t, set, 1)
	assert.True(t, set[0].Remove)
	core = leader(t)
	assert.Len(t, of[WaitForCatchUp](core.Step(5_000_000, []Event{Tick{}})), 1)
	set = of[ChangeMembership](core.Step(5_000_001, []Event{CaughtUp{"f3"}}))
	require.Len(t, set, 1)
	assert.True(t, set[0].Member.Voter)
}

// An ask that is not granted is soon made again: with kills in a row there may be a leader for a short time only, and
// a lease that was renewed late would not last until the next one.
func TestAsksAgainSoonUntilGranted(t *testing.T) {
	set := Defaults("f1", 5_000_000, false)
	c := New(set, State{})
	asks := of[RequestLease](c.Step(0, []Event{Tick{}}))
	require.Len(t, asks, 1)
	assert.Empty(t, of[RequestLease](c.Step(set.LeaseInterval/8-1, []Event{Tick{}})))
	asks = of[RequestLease](c.Step(set.LeaseInterval/8, []Event{Tick{}}))
	require.Len(t, asks, 1, "not asked again")
	c.Step(set.LeaseInterval/8+1, []Event{LeaseGranted{Seq: asks[0].Seq, OK: true, Version: 1}})
	assert.Empty(t, of[RequestLease](c.Step(set.LeaseInterval, []Event{Tick{}})), "granted, and asked again at once")
	assert.Len(t, of[RequestLease](c.Step(set.LeaseInterval/8+set.LeaseInterval, []Event{Tick{}})), 1)
}
