package sharedconfig

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// modelStalenessBound is the staleness bound of all instances of a model.
const modelStalenessBound Micros = 1_000_000

// maxClockOffset is the largest difference between an instance's clock and the model's.
const maxClockOffset = 1 << 40

// model simulates a group without sockets: a log that a majority replicates; instances that are paused, restarted and
// partitioned; messages that are lost, delayed and duplicated; and leaders that learn late that they no longer lead.
type model struct {
	t           *testing.T
	rng         *rand.Rand
	now         Micros
	log         []Entry
	committedAt []Micros // commit time of each entry of the log
	term        uint64
	leader      int // index of the leader of the latest term, whether the node knows it or not; -1: none
	nodes       []*modelNode
	members     []Member
	followers   []*modelFollower
	messages    []message // in flight
	lossPercent int

	calls            map[uint64]Change
	replies          map[uint64]Outcome
	leaseRequestSeqs map[uint64]uint64 // sequence numbers of lease requests by call ID
	nextID           uint64            // the latest ID of a call or request

	servedSteps      int    // number of steps in which a node could serve, summed over all nodes
	longestStaleness Micros // longest time for which a replaced version was served
}

// modelNode is a member of the group.
type modelNode struct {
	*Core
	name           string
	directoryID    string
	clockOffset    Micros
	applied        int // number of log entries applied
	events         []Event
	version        uint64 // active version
	pausedUntil    Micros // does not run before that time
	laggingUntil   Micros // applies no entries before that time
	partitioned    bool
	rejectsChanges bool
}

// message is a message in flight to a node. A duplicated message is in flight several times.
type message struct {
	dueAt   Micros
	to      int
	deliver func(*modelNode)
}

func newModel(t *testing.T, seed uint64, nodeCount int) *model {
	t.Helper()
	m := &model{
		t:                t,
		rng:              rand.New(rand.NewPCG(seed, 7)),
		leader:           -1,
		calls:            map[uint64]Change{},
		replies:          map[uint64]Outcome{},
		leaseRequestSeqs: map[uint64]uint64{},
	}
	m.commit(Entry{Bootstrap: &Bootstrap{GroupID: "g", MaxVersions: 50, FirstChange: Change{RequestID: "first", Text: "0", Digest: "0"}}})
	for i := range nodeCount {
		name := fmt.Sprint("n", i)
		directoryID := fmt.Sprint("f", i)
		m.members = append(m.members, Member{Name: name, DirectoryID: directoryID, Addr: fmt.Sprint("a", i), Voter: true})
		m.nodes = append(m.nodes, newModelNode(name, directoryID, Micros(m.rng.IntN(maxClockOffset))))
	}
	return m
}

func newModelNode(name, directoryID string, clockOffset Micros) *modelNode {
	return &modelNode{
		Core:        NewCore(DefaultSettings(directoryID, modelStalenessBound, false), State{}),
		name:        name,
		directoryID: directoryID,
		clockOffset: clockOffset,
	}
}

func (m *model) commit(e Entry) {
	m.log = append(m.log, e)
	m.committedAt = append(m.committedAt, m.now)
}

// stateAfter returns the state after the given number of log entries.
func (m *model) stateAfter(entries int) State {
	var state State
	for _, e := range m.log[:entries] {
		state, _ = state.Apply(e)
	}
	return state
}

func (m *model) isConnected(n *modelNode) bool { return !n.partitioned && n.pausedUntil <= m.now }

// reachesMajority reports whether a node is connected to a majority.
func (m *model) reachesMajority(i int) bool {
	connected := 0
	for _, n := range m.nodes {
		if m.isConnected(n) {
			connected++
		}
	}
	return m.isConnected(m.nodes[i]) && connected > len(m.nodes)/2
}

// elect makes a random node that reaches a majority the leader of a new term. Without one there is no leader.
func (m *model) elect() {
	m.leader = -1
	for _, i := range m.rng.Perm(len(m.nodes)) {
		if m.reachesMajority(i) {
			m.term++
			m.leader = i
			delay := Micros(m.rng.IntN(100_000))
			m.send(i, delay, func(n *modelNode) { n.events = append(n.events, LeadershipChanged{Leading: true, Term: m.term}) })
			return
		}
	}
}

// send puts a message in flight that may be lost, delayed or duplicated.
func (m *model) send(to int, delay Micros, deliver func(*modelNode)) {
	if m.rng.IntN(100) < m.lossPercent {
		return
	}
	copies := 1 + m.rng.IntN(10)/9 // one message in ten is duplicated
	for range copies {
		m.messages = append(m.messages, message{
			dueAt:   m.now + delay + Micros(m.rng.IntN(50_000)),
			to:      to,
			deliver: deliver,
		})
	}
}

// sendBetween sends a message unless a partition separates the two nodes.
func (m *model) sendBetween(from, to int, deliver func(*modelNode)) {
	if from == to || !m.nodes[from].partitioned && !m.nodes[to].partitioned {
		m.send(to, 0, deliver)
	}
}

// step advances the clock, delivers messages, runs all instances and checks the staleness bound.
func (m *model) step() {
	m.now += Micros(1000 + m.rng.IntN(20_000))
	m.deliverMessages()
	for i, n := range m.nodes {
		if n.pausedUntil <= m.now {
			m.stepNode(i, n)
		}
	}
	for _, f := range m.followers {
		m.stepFollower(f)
	}
	m.checkStaleness()
}

func (m *model) deliverMessages() {
	messages := m.messages
	m.messages = nil
	for _, msg := range messages {
		if msg.dueAt > m.now {
			m.messages = append(m.messages, msg)
		} else {
			msg.deliver(m.nodes[msg.to])
		}
	}
}

func (m *model) stepNode(i int, n *modelNode) {
	for n.applied < len(m.log) && !n.partitioned && n.laggingUntil <= m.now && m.rng.IntN(3) > 0 {
		state, outcome := n.State().Apply(m.log[n.applied])
		n.applied++
		n.events = append(n.events, EntriesApplied{State: state, Outcomes: []Outcome{outcome}}, MemberList{Members: m.members})
		m.runNode(i, n)
	}
	if m.leader == i && n.leading && n.term == m.term && n.applied == len(m.log) && !n.leaderReady {
		n.events = append(n.events, LeaderReady{Term: m.term})
	}
	if n.leading && m.leader != i && m.rng.IntN(20) == 0 { // learns that it no longer leads
		n.events = append(n.events, LeadershipChanged{Leading: false, Term: m.term})
	}
	n.events = append(n.events, Tick{})
	m.runNode(i, n)
}

// runNode passes a node its events and executes the resulting actions.
func (m *model) runNode(i int, n *modelNode) {
	events := n.events
	n.events = nil
	for _, action := range n.Step(m.now+n.clockOffset, events) {
		m.execute(i, action)
	}
}

func (m *model) execute(i int, action Action) {
	n := m.nodes[i]
	switch a := action.(type) {
	case AppendEntry:
		m.appendEntry(i, a)
	case CheckChange:
		m.sendCheck(i, a)
	case RequestLease:
		m.sendLeaseRequest(i, a)
	case LeaseReply:
		m.sendLeaseReply(i, a)
	case VerifyLeadership:
		verified := VerifyLeadershipResult{Seq: a.Seq, OK: m.leader == i && m.reachesMajority(i), Term: m.term}
		m.send(i, 0, func(n *modelNode) { n.events = append(n.events, verified) })
	case Activate:
		n.version = a.Version.Number
	case Reply:
		if _, isAnswered := m.replies[a.CallID]; isAnswered {
			m.t.Fatalf("call %d was answered twice", a.CallID)
		}
		m.replies[a.CallID] = a.Outcome
	}
}

// appendEntry commits an entry if the node is the leader. The leader may fail afterwards without learning of the commit.
func (m *model) appendEntry(i int, a AppendEntry) {
	n := m.nodes[i]
	leads := m.leader == i && m.reachesMajority(i) && n.term == m.term
	fails := m.rng.IntN(10) == 0
	if leads {
		m.commit(a.Entry)
	}
	if leads && !fails {
		return
	}
	m.send(i, 0, func(n *modelNode) {
		n.events = append(n.events, AppendFailed{RequestID: a.RequestID}, LeadershipChanged{Leading: false, Term: m.term})
	})
	if leads {
		m.elect()
	}
}

func (m *model) sendCheck(i int, a CheckChange) {
	for j, n := range m.nodes {
		if n.directoryID != a.Member.DirectoryID {
			continue
		}
		m.sendBetween(i, j, func(n *modelNode) {
			result := CheckResult{
				RequestID:   a.Change.RequestID,
				DirectoryID: n.directoryID,
				Accepted:    !n.rejectsChanges,
				Reason:      "no",
			}
			m.sendBetween(j, i, func(n *modelNode) { n.events = append(n.events, result) })
		})
	}
}

// leaseCallBase is added to the call IDs of lease requests to separate them from those of changes. Their last two digits
// are the index of the sender.
const leaseCallBase = 1_000_000

// sendLeaseRequest sends a lease request to the leader, or sometimes to a random node, as if the sender's view were outdated.
func (m *model) sendLeaseRequest(i int, a RequestLease) {
	if m.leader < 0 {
		return
	}
	to := m.leader
	if m.rng.IntN(10) == 0 {
		to = m.rng.IntN(len(m.nodes))
	}
	m.nextID++
	call := leaseCallBase + m.nextID*100 + uint64(i)
	m.leaseRequestSeqs[call] = a.Seq
	sender := m.nodes[i]
	m.sendBetween(i, to, func(n *modelNode) {
		n.events = append(n.events, LeaseRequested{CallID: call, DirectoryID: sender.directoryID})
	})
}

func (m *model) sendLeaseReply(i int, a LeaseReply) {
	to := int(a.CallID % 100)
	reply := LeaseReplyReceived{Seq: m.leaseRequestSeqs[a.CallID], OK: a.OK, Version: a.Version, Removed: a.Removed}
	m.sendBetween(i, to, func(n *modelNode) { n.events = append(n.events, reply) })
}

// checkStaleness fails the test if an instance holds a lease for a version that was replaced longer ago than the
// staleness bound.
func (m *model) checkStaleness() {
	replacedAt := map[uint64]Micros{}
	state := State{}
	for i, e := range m.log {
		before := state.Active().Number
		state, _ = state.Apply(e)
		if state.Active().Number != before {
			replacedAt[before] = m.committedAt[i]
		}
	}
	checkVersion := func(name string, version uint64) {
		at, replaced := replacedAt[version]
		if !replaced {
			return
		}
		m.longestStaleness = max(m.longestStaleness, m.now-at)
		if m.now-at > modelStalenessBound {
			m.t.Fatalf("%s serves version %d, which was replaced %d us ago", name, version, m.now-at)
		}
	}
	for _, n := range m.nodes {
		if n.pausedUntil <= m.now && n.Lease().Covers(m.now+n.clockOffset, n.version) {
			m.servedSteps++
			checkVersion(n.name, n.version)
		}
	}
	for _, f := range m.followers {
		if f.pausedUntil <= m.now && f.lease.Covers(m.now+f.clockOffset, f.version) {
			checkVersion(f.settings.DirectoryID, f.version)
		}
	}
}
