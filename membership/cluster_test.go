package membership

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/internal/simnet"
)

const (
	second = microsPerSecond
	hour   = 3600 * second
	// pollInterval is the simulated time between two checks of a condition.
	pollInterval = second / 10
	// maxShareSum is the maximum sum of all capacity shares: one, plus a tolerance for rounding errors.
	maxShareSum = 1.0001
)

// lan is a link of a local network without loss.
var lan = simnet.Link{MinDelay: 300, MaxDelay: 5000}

// cluster is a group of members on a simulated network. Each message is encoded and decoded.
type cluster struct {
	t           testing.TB
	network     *simnet.Network
	codec       *Codec
	nodes       []*simNode
	indexByAddr map[netip.AddrPort]int
	datagrams   int
	bytes       int
	// declaredDeaths records each death that a member declared.
	declaredDeaths []declaredDeath
	// tamper modifies the messages that a member sends; nil if no member is faulty.
	tamper func(from int, message *Message)
	// disabledSafeguards are the safeguards that are disabled at all members.
	disabledSafeguards safeguard
}

// simNode is a member of a cluster with its simulated process.
type simNode struct {
	*Group
	cluster          *cluster
	index            int
	processRun       int // number of processes started so far
	lastGeneration   uint32
	nameTaken        bool
	view             View
	viewCount        int
	inbox            []Event
	maxSentPerSecond int // maximum number of datagrams sent in one second
	currentSecond    simnet.Micros
	sentThisSecond   int
	clockSkew        Micros
	clockDrift       float64 // relative error of the clock's rate
}

// declaredDeath is a change of a view by which a present member became dead.
type declaredDeath struct {
	at             Micros // since the start of the simulation
	observer       int    // index of the member whose view changed
	subject        int    // index of the member that became dead
	processWasDead bool   // the declaration is true: the member's process was dead
}

// newCluster starts a cluster. The seeds of each member are the address of the first member and one that no member has.
func newCluster(tb testing.TB, seed uint64, size int, link simnet.Link) *cluster {
	tb.Helper()
	return newClusterWithout(tb, seed, size, link, 0)
}

// newClusterWithout starts a cluster in which some safeguards are disabled at all members.
func newClusterWithout(tb testing.TB, seed uint64, size int, link simnet.Link, disabledSafeguards safeguard) *cluster {
	tb.Helper()
	c := &cluster{
		t:                  tb,
		disabledSafeguards: disabledSafeguards,
		network:            simnet.New(seed, link),
		codec:              NewCodec("test-group", []byte(testKey)),
		indexByAddr:        map[netip.AddrPort]int{},
	}
	for i := range size {
		node := &simNode{
			cluster:        c,
			index:          i,
			lastGeneration: 100,
			clockSkew:      c.network.Rand().Int64N(hour),
			clockDrift:     c.network.Rand().Float64()/50 - 0.01,
		}
		c.nodes = append(c.nodes, node)
		c.indexByAddr[address(i)] = i
		node.start(testConfig(i, address(0), address(60000)))
	}
	return c
}

// newConvergedCluster starts a cluster on a network without loss and waits until all views agree.
func newConvergedCluster(tb testing.TB, seed uint64, size int) *cluster {
	tb.Helper()
	c := newCluster(tb, seed, size, lan)
	c.waitForAgreement(size, 60*second)
	return c
}

func address(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(index >> 8), byte(index)}), 7946)
}

func nameOf(index int) string { return fmt.Sprintf("n%d", index) }

func testConfig(index int, seeds ...netip.AddrPort) Config {
	return Config{
		Name:             nameOf(index),
		Zone:             fmt.Sprintf("z%d", index%3),
		Addr:             address(index),
		Seeds:            seeds,
		Generation:       1,
		RandomSeed:       uint64(index),
		ProbeInterval:    second,
		SuspicionTimeout: 8 * second,
		MaxSendRate:      30,
		TombstoneTTL:     hour,
	}
}

// nodeRange returns the network nodes with the indices from first to end-1.
func nodeRange(first, end int) []simnet.NodeID {
	var nodes []simnet.NodeID
	for i := first; i < end; i++ {
		nodes = append(nodes, simnet.NodeID(i))
	}
	return nodes
}

func (n *simNode) networkID() simnet.NodeID { return simnet.NodeID(n.index) }

func (n *simNode) isAlive() bool { return n.cluster.network.IsAlive(n.networkID()) }

// clock returns the time on the member's own clock.
func (n *simNode) clock() Micros {
	now := n.cluster.network.Now()
	return now + n.clockSkew + Micros(n.clockDrift*float64(now))
}

// start starts a new process of the member.
func (n *simNode) start(config Config) {
	n.lastGeneration++
	n.processRun++
	config.Generation = n.lastGeneration
	group, err := New(config, n.clock())
	require.NoError(n.cluster.t, err)
	group.disabledSafeguards = n.cluster.disabledSafeguards
	n.Group = group
	n.view = View{}
	n.inbox = nil
	n.nameTaken = false
	run := n.processRun
	var tick func()
	tick = func() {
		if n.processRun == run {
			n.step()
			n.cluster.network.Schedule(n.networkID(), config.TickInterval(), tick)
		}
	}
	n.cluster.network.Schedule(n.networkID(), 0, tick)
}

// step passes the received messages and some events to the protocol and carries out its actions.
func (n *simNode) step(events ...Event) {
	events = append(n.inbox, events...)
	n.inbox = nil
	for _, action := range n.Step(n.clock(), events...) {
		switch action := action.(type) {
		case SendMessage:
			n.send(action)
		case ViewChanged:
			n.recordDeclaredDeaths(action.View)
			n.view = action.View
			n.viewCount++
		case NameTaken:
			n.nameTaken = true
		}
	}
}

// recordDeclaredDeaths records a death for each member that is present in the current view and dead in the next one.
func (n *simNode) recordDeclaredDeaths(next View) {
	c := n.cluster
	for _, member := range next.Members {
		before := slices.IndexFunc(n.view.Members, func(other Member) bool { return other.ID == member.ID })
		if member.State != StateDead || before < 0 || !n.view.Members[before].State.Present() {
			continue
		}
		subject := c.indexByAddr[member.Addr]
		c.declaredDeaths = append(c.declaredDeaths, declaredDeath{
			at:             c.network.Now() - simnet.StartTime,
			observer:       n.index,
			subject:        subject,
			processWasDead: !c.nodes[subject].isAlive(),
		})
	}
}

func (n *simNode) send(action SendMessage) {
	c := n.cluster
	n.countSent()
	if c.tamper != nil {
		c.tamper(n.index, &action.Message)
	}
	datagram := c.codec.AppendEncode(nil, action.Message)
	require.LessOrEqual(c.t, len(datagram), MaxDatagramSize, "%+v", action.Message)
	c.datagrams++
	c.bytes += len(datagram)
	to, ok := c.indexByAddr[action.To]
	if !ok {
		return
	}
	c.network.Send(n.networkID(), simnet.NodeID(to), func() {
		message, err := c.codec.Decode(datagram)
		require.NoError(c.t, err)
		c.nodes[to].inbox = append(c.nodes[to].inbox, MessageReceived{n.Addr, message})
	})
}

func (n *simNode) countSent() {
	if current := n.cluster.network.Now() / second; current != n.currentSecond {
		n.currentSecond = current
		n.sentThisSecond = 0
	}
	n.sentThisSecond++
	n.maxSentPerSecond = max(n.maxSentPerSecond, n.sentThisSecond)
}

// run runs the cluster for a duration of simulated time.
func (c *cluster) run(duration Micros) { c.network.Run(c.network.Now() + duration) }

func (c *cluster) kill(index int) { c.network.Kill(simnet.NodeID(index)) }

func (c *cluster) revive(index int) {
	c.network.Restart(simnet.NodeID(index))
	c.nodes[index].start(testConfig(index, address(0), address(1), address(2)))
}

// partition cuts the links between two sets of members in both directions.
func (c *cluster) partition(a, b []simnet.NodeID) {
	c.network.Cut(a, b)
	c.network.Cut(b, a)
}

// heal ends a partition.
func (c *cluster) heal(a, b []simnet.NodeID) {
	c.network.Heal(a, b)
	c.network.Heal(b, a)
}

// inAgreement reports whether those of the first size members that are alive see exactly each other as present.
func (c *cluster) inAgreement(size int) bool {
	for _, node := range c.nodes[:size] {
		if !node.isAlive() {
			continue
		}
		present := make([]bool, len(c.nodes))
		for _, member := range node.view.Members {
			present[c.indexByAddr[member.Addr]] = member.State.Present()
		}
		for i, isPresent := range present {
			expected := i < size && c.nodes[i].isAlive()
			if isPresent != expected {
				return false
			}
		}
	}
	return true
}

// waitForAgreement runs the cluster until the first size members are in agreement, and returns the elapsed time.
func (c *cluster) waitForAgreement(size int, timeout Micros) Micros {
	c.t.Helper()
	startedAt := c.network.Now()
	for !c.inAgreement(size) {
		if c.network.Now()-startedAt >= timeout {
			assert.Fail(c.t, "views do not agree", "after %d s the first member sees %d of %d members as present", timeout/second, c.nodes[0].view.PresentCount(), size)
			return timeout
		}
		c.run(pollInterval)
	}
	return c.network.Now() - startedAt
}

// shareSum returns the sum of the capacity shares of all members that are alive and whose views have converged. It must
// never exceed one.
func (c *cluster) shareSum() float64 {
	sum := 0.0
	for _, node := range c.nodes {
		if node.isAlive() && node.view.Converged {
			_, count := node.view.CapacityShare(node.self.ID, 0, 1)
			sum += 1 / float64(count)
		}
	}
	return sum
}

// requireSharesWithinWhole fails the test at once if the capacity shares add up to more than one.
func (c *cluster) requireSharesWithinWhole() {
	c.t.Helper()
	require.LessOrEqual(c.t, c.shareSum(), maxShareSum)
}

// falsePositives returns the number of declared deaths of members that were alive.
func (c *cluster) falsePositives() int {
	count := 0
	for _, death := range c.declaredDeaths {
		if !death.processWasDead {
			count++
		}
	}
	return count
}

// memberSeenBy returns a member in the view of an observer.
func (c *cluster) memberSeenBy(observer, index int) (Member, bool) {
	return c.nodes[observer].view.Find(nameOf(index))
}
