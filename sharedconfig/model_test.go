package sharedconfig

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// model is a group without sockets: a log that a majority holds, instances that lose, delay and repeat messages, are
// cut off, stopped and started again, and leaders that do not know yet that they no longer lead.
type model struct {
	t       *testing.T
	rng     *rand.Rand
	now     Micros
	log     []Entry
	at      []Micros // when each was agreed on
	term    uint64
	leader  int // who really leads; -1: nobody
	nodes   []*mnode
	mail    []letter
	calls   map[uint64]Change
	replies map[uint64]Outcome
	nextID  uint64
	roster  []Member
	lossy   int // messages lost, of 100
	stale   Micros
	seqs    map[uint64]uint64 // asks for leases by call
	served  int               // moments at which an instance might serve
	follow  []*mfollower
}

// mfollower is an instance without a vote.
type mfollower struct {
	*Follower
	skew    Micros
	events  []Event
	version uint64
	lease   Lease
	paused  Micros
	served  int
}

// followers adds instances that follow the first voter's address, and hear of the others from it.
func (m *model) followers(n int) {
	for i := range n {
		m.follow = append(m.follow, &mfollower{
			Follower: NewFollower(Defaults(fmt.Sprint("w", i), bound, false), []string{"a0", "nowhere"}, Version{}),
			skew:     Micros(m.rng.IntN(1 << 40)),
		})
	}
}

func (m *model) followStep(f *mfollower) {
	switch m.rng.IntN(2000) {
	case 0:
		f.paused = m.now + Micros(m.rng.IntN(3*bound))
	case 1: // started again with nothing
		*f = mfollower{Follower: NewFollower(f.settings, []string{"a1", "a0"}, Version{}), skew: f.skew, served: f.served}
	}
	if f.paused > m.now {
		return
	}
	events := f.events
	f.events = nil
	for _, a := range f.Step(m.now+f.skew, events) {
		switch a := a.(type) {
		case Activate:
			f.version = a.Version.Number
		case NewLease:
			f.lease = a.Lease
		case PollVoter:
			i := slices.IndexFunc(m.roster, func(o Member) bool { return o.Addr == a.Voter.Addr })
			if i < 0 {
				continue
			}
			life := f.Follower
			m.between(i, i, func(o *mnode) {
				if o.cut && m.rng.IntN(2) == 0 { // a voter cut off from the others may still be reached
					return
				}
				t := Answer(o.State(), o.Lease(), m.now+o.skew, m.roster, a.Request)
				t.Seq = a.Seq
				m.post(i, 0, func(*mnode) {
					if f.Follower == life {
						f.events = append(f.events, t)
					}
				})
			})
		}
	}
	if f.lease.Holds(m.now+f.skew, f.version) {
		f.served++
	}
}

type mnode struct {
	*Core
	name    string
	folder  string
	skew    Micros
	applied int
	events  []Event
	version uint64
	role    Role
	paused  Micros // until then
	lagging Micros // applies nothing until then, though it has the entries
	cut     bool
	no      bool // says no to every change
}

type letter struct {
	due  Micros
	to   int
	work func(*mnode)
}

const bound = 1_000_000

func newModel(t *testing.T, seed uint64, n int) *model {
	m := &model{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), leader: -1, calls: map[uint64]Change{}, replies: map[uint64]Outcome{},
		seqs: map[uint64]uint64{},
	}
	m.append(Entry{Found: &Bootstrap{Group: "g", Keep: 50, First: Change{Request: "first", Text: "0", Digest: "0"}}})
	for i := range n {
		folder := fmt.Sprint("f", i)
		m.roster = append(m.roster, Member{Name: fmt.Sprint("n", i), Folder: folder, Addr: fmt.Sprint("a", i), Voter: true})
		m.nodes = append(m.nodes, &mnode{
			Core: New(Defaults(folder, bound, false), State{}), name: fmt.Sprint("n", i), folder: folder,
			skew: Micros(m.rng.IntN(1 << 40)),
		})
	}
	return m
}

func (m *model) append(e Entry) {
	m.log = append(m.log, e)
	m.at = append(m.at, m.now)
}

// majority tells whether a node reaches one.
func (m *model) majority(i int) bool {
	n := 0
	for _, o := range m.nodes {
		if !o.cut && o.paused <= m.now {
			n++
		}
	}
	return !m.nodes[i].cut && m.nodes[i].paused <= m.now && n > len(m.nodes)/2
}

func (m *model) post(to int, delay Micros, work func(*mnode)) {
	if m.rng.IntN(100) < m.lossy {
		return
	}
	for range 1 + m.rng.IntN(10)/9 { // one in ten comes twice
		m.mail = append(m.mail, letter{m.now + delay + Micros(m.rng.IntN(50_000)), to, work})
	}
}

// between sends a message; one that a cut stands in the way of is lost.
func (m *model) between(from, to int, work func(*mnode)) {
	if from == to || !m.nodes[from].cut && !m.nodes[to].cut {
		m.post(to, 0, work)
	}
}

func (m *model) elect() {
	m.leader = -1
	for _, i := range m.rng.Perm(len(m.nodes)) {
		if m.majority(i) {
			m.term++
			m.leader = i
			m.post(i, Micros(m.rng.IntN(100_000)), func(n *mnode) { n.events = append(n.events, Role{true, m.term}) })
			return
		}
	}
}

// faults draws what goes wrong in this step.
func (m *model) faults() {
	i := m.rng.IntN(len(m.nodes))
	n := m.nodes[i]
	if m.rng.IntN(40) == 0 {
		m.change()
	}
	switch m.rng.IntN(500) {
	case 0:
		n.cut = true
	case 9, 10, 11, 12, 13, 14:
		n.cut = false
	case 4: // stopped: neither runs nor loses its clock
		n.paused = m.now + Micros(m.rng.IntN(5*bound))
	case 15, 16, 17:
		n.lagging = m.now + Micros(m.rng.IntN(4*bound))
	case 5:
		m.lossy = m.rng.IntN(60)
	case 6: // killed and started again from what it had
		*n = mnode{Core: New(Defaults(n.folder, bound, false), State{}), name: n.name, folder: n.folder, skew: n.skew}
		if m.leader == i {
			m.leader = -1
		}
	case 7:
		n.no = !n.no && m.rng.IntN(2) == 0
	case 8, 18:
		m.elect() // a leader is overthrown and does not know
	}
	if m.leader < 0 || !m.majority(m.leader) {
		m.elect()
	}
}

func (m *model) change() {
	m.nextID++
	c := Change{
		Request: fmt.Sprint("r", m.nextID), Text: fmt.Sprint(m.nextID), Digest: fmt.Sprint(m.nextID),
		Expect: uint64(m.state(len(m.log)).Active().Number),
	}
	if m.rng.IntN(4) == 0 && m.nextID > 3 { // an earlier one asked for again
		c = m.calls[uint64(m.rng.IntN(int(m.nextID-2))+1)]
		if c.Request == "" {
			return
		}
	}
	m.calls[m.nextID] = c
	call := m.nextID
	to := m.rng.IntN(len(m.nodes))
	if m.leader >= 0 && m.rng.IntN(10) > 0 {
		to = m.leader
	}
	m.nodes[to].events = append(m.nodes[to].events, ChangeRequested{call, c})
	if m.rng.IntN(3) == 0 { // another one for the same version at the same time
		m.nextID++
		d := Change{Request: fmt.Sprint("r", m.nextID), Text: fmt.Sprint(m.nextID), Digest: fmt.Sprint(m.nextID), Expect: c.Expect}
		m.calls[m.nextID] = d
		m.nodes[to].events = append(m.nodes[to].events, ChangeRequested{m.nextID, d})
	}
}

func (m *model) state(upTo int) (s State) {
	for _, e := range m.log[:upTo] {
		s, _ = s.Apply(e)
	}
	return s
}

func (m *model) step() {
	m.now += Micros(1000 + m.rng.IntN(20_000))
	mail := m.mail
	m.mail = nil
	for _, l := range mail {
		switch {
		case l.due > m.now:
			m.mail = append(m.mail, l)
		default:
			l.work(m.nodes[l.to])
		}
	}
	for i, n := range m.nodes {
		if n.paused > m.now {
			continue
		}
		for n.applied < len(m.log) && !n.cut && n.lagging <= m.now && m.rng.IntN(3) > 0 {
			s, o := n.State().Apply(m.log[n.applied])
			n.applied++
			n.events = append(n.events, Applied{s, []Outcome{o}}, MemberList{m.roster})
			for _, a := range n.Step(m.now+n.skew, n.events) {
				m.carryOut(i, a)
			}
			n.events = nil
		}
		if m.leader == i && n.leading && n.term == m.term && n.applied == len(m.log) && !n.ready {
			n.events = append(n.events, Ready{m.term})
		}
		if n.leading && m.leader != i && m.rng.IntN(20) == 0 { // it learns at last
			n.events = append(n.events, Role{false, m.term})
		}
		n.events = append(n.events, Tick{})
		events := n.events
		n.events = nil
		for _, a := range n.Step(m.now+n.skew, events) {
			m.carryOut(i, a)
		}
	}
	for _, f := range m.follow {
		m.followStep(f)
	}
	m.check()
}

func (m *model) carryOut(i int, a Action) {
	n := m.nodes[i]
	switch a := a.(type) {
	case Append:
		leads := m.leader == i && m.majority(i) && n.term == m.term
		survives := m.rng.IntN(10) == 0 // an entry whose leader falls before it knows may come to be all the same
		if leads {
			m.append(a.Entry)
		}
		if !leads || survives {
			m.post(i, 0, func(n *mnode) { n.events = append(n.events, AppendFailed{a.Request}, Role{false, m.term}) })
			if leads {
				m.elect()
			}
		}
	case Check:
		for j, o := range m.nodes {
			if o.folder == a.Member.Folder {
				m.between(i, j, func(o *mnode) {
					v := CheckResult{Request: a.Change.Request, Folder: o.folder, Accepted: !o.no, Reason: "no"}
					m.between(j, i, func(n *mnode) { n.events = append(n.events, v) })
				})
			}
		}
	case RequestLease:
		if m.leader >= 0 { // or who was the leader when it was last heard of
			to := m.leader
			if m.rng.IntN(10) == 0 {
				to = m.rng.IntN(len(m.nodes))
			}
			m.nextID++
			call := 1_000_000 + m.nextID*100 + uint64(i)
			seq := a.Seq
			m.between(i, to, func(o *mnode) { o.events = append(o.events, LeaseRequested{call, n.folder}) })
			m.seqs[call] = seq
		}
	case AnswerLeaseRequest:
		j := int(a.Call % 100)
		seq := m.seqs[a.Call]
		m.between(i, j, func(o *mnode) {
			o.events = append(o.events, LeaseGranted{Seq: seq, OK: a.OK, Version: a.Version, Removed: a.Removed})
		})
	case Verify:
		ok, term := m.leader == i && m.majority(i), m.term
		m.post(i, 0, func(n *mnode) { n.events = append(n.events, Verified{a.Seq, ok, term}) })
	case Activate:
		n.version = a.Version.Number
	case Reply:
		if _, twice := m.replies[a.Call]; twice {
			m.t.Fatalf("call %d was answered twice", a.Call)
		}
		m.replies[a.Call] = a.Outcome
	}
}

// check asserts the bound: whoever holds a lease for a version that was replaced does so no longer than the bound.
func (m *model) check() {
	replaced := map[uint64]Micros{}
	s := State{}
	for i, e := range m.log {
		before := s.Active().Number
		if s, _ = s.Apply(e); s.Active().Number != before {
			replaced[before] = m.at[i]
		}
	}
	serves := func(name string, version uint64) {
		if at, old := replaced[version]; old {
			m.stale = max(m.stale, m.now-at)
			if m.now-at > bound {
				m.t.Fatalf("%s serves version %d, which was replaced %d us ago", name, version, m.now-at)
			}
		}
	}
	for _, n := range m.nodes {
		if n.paused <= m.now && n.Lease().Holds(m.now+n.skew, n.version) {
			m.served++
			serves(n.name, n.version)
		}
	}
	for _, f := range m.follow {
		if f.paused <= m.now && f.lease.Holds(m.now+f.skew, f.version) {
			serves(f.settings.InstanceID, f.version)
		}
	}
}

// TestModel holds the rules over random runs: the bound on staleness, one outcome a change at every instance, and
// answers to callers that are true.
func TestModel(t *testing.T) {
	done, refused, unknown, stale := 0, 0, 0, Micros(0)
	for seed := range uint64(60) {
		m := newModel(t, seed, 3+2*int(seed%2))
		for range 3000 {
			m.faults()
			m.step()
		}
		final := m.state(len(m.log))
		require.NoError(t, final.Check())
		require.Greater(t, m.served, 200, "seed %d: nobody ever served", seed)
		stale = max(stale, m.stale)
		made := map[string]int{}
		for _, v := range final.Versions {
			made[v.Request]++
			require.Equal(t, 1, made[v.Request], "seed %d: change %s was made twice", seed, v.Request)
		}
		for call, o := range m.replies {
			now := final.Outcome(m.calls[call].Request)
			switch o.Status {
			case Unknown:
				unknown++
				continue
			case Done:
				done++
			case Refused, Conflict:
				refused++
			default:
				t.Fatalf("seed %d: call %d was answered %v", seed, call, o)
			}
			require.Equal(t, now, o, "seed %d: the answer to call %d was not true", seed, call)
		}
		versions := []uint64{}
		for _, n := range m.nodes {
			versions = append(versions, n.version)
		}
		require.LessOrEqual(t, slices.Max(versions), final.Active().Number)
	}
	t.Logf("done %d, refused %d, unknown %d; longest service under a replaced version %d ms of %d", done, refused, unknown, stale/1000, bound/1000)
	require.Greater(t, done, 200)
	require.Greater(t, refused, 50)
	require.Greater(t, unknown, 50)
	require.Greater(t, stale, Micros(bound/2), "the test came nowhere near the bound")
}

// Those without a vote keep the same bound through everything that befalls the voters, and serve.
func TestModelOfFollowers(t *testing.T) {
	stale, served, least, voters := Micros(0), 0, 1<<30, 0
	const runs = 8
	for seed := range uint64(runs) {
		m := newModel(t, 500+seed, 3)
		m.followers(12)
		for range 3000 {
			m.faults()
			m.step()
		}
		stale = max(stale, m.stale)
		voters += m.served
		for _, f := range m.follow {
			served += f.served
			least = min(least, f.served)
		}
	}
	t.Logf("longest service under a replaced version %d ms of %d; voters could serve at %.2f of all moments, followers at %.2f, the worst one at %.2f",
		stale/1000, bound/1000, float64(voters)/(runs*3*3000), float64(served)/(runs*12*3000), float64(least)/3000)
	require.Greater(t, stale, Micros(bound/2), "the test came nowhere near the bound")
	require.Greater(t, float64(served)/12, 0.8*float64(voters)/3, "they serve about as much as the voters do")
}

func TestFollowersSpreadAndMoveOn(t *testing.T) {
	voters := []Member{{Name: "n0", Addr: "a0", Voter: true}, {Name: "n1", Addr: "a1", Voter: true}, {Name: "n2", Addr: "a2", Voter: true}}
	asked, moved := map[string]int{}, map[string]int{}
	for i := range 300 {
		f := NewFollower(Defaults(fmt.Sprint("w", i), bound, false), []string{"a0"}, Version{Number: 7, Digest: "of another group"})
		one := func(now Micros, events ...Event) (a PollVoter) {
			for _, act := range f.Step(now, events) {
				if ask, ok := act.(PollVoter); ok {
					a = ask
				}
			}
			return a
		}
		first := one(0)
		require.Equal(t, PollRequest{}, first.Request, "it takes the version of the group that is there")
		require.Equal(t, "a0", first.Voter.Addr)
		told := ReplyReceived{Seq: first.Seq, OK: true, Group: "g", Version: 3, Left: bound, Active: &Version{Number: 3, Digest: "d"}, Voters: voters}
		a := one(100_000, told)
		require.Equal(t, PollRequest{3, "d"}, a.Request)
		require.Equal(t, uint64(3), f.Active().Number)
		asked[a.Voter.Addr]++
		b := one(200_000, CallTimedOut{Seq: a.Seq}) // it died
		require.NotEqual(t, a.Voter.Addr, b.Voter.Addr)
		moved[b.Voter.Addr]++
		require.Empty(t, f.Step(201_000, []Event{ReplyReceived{Seq: a.Seq, OK: true, Group: "g", Version: 3, Left: bound}}), "an ask counts once")
		one(300_000, ReplyReceived{Seq: b.Seq, OK: true, Group: "other", Version: 9, Left: bound, Active: &Version{Number: 9}})
		require.Equal(t, uint64(3), f.Active().Number, "of another group")
		c := one(300_000+bound, ReplyReceived{Seq: 99})
		one(300_001+bound, ReplyReceived{Seq: c.Seq, OK: true, Group: "g", Version: 2, Left: bound, Active: &Version{Number: 2}, Voters: voters})
		require.Equal(t, uint64(3), f.Active().Number, "versions do not go back")
	}
	for _, m := range voters {
		require.InDelta(t, 100, asked[m.Addr], 40)
		require.InDelta(t, 100, moved[m.Addr], 40)
	}
}
