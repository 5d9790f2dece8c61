package membership

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"alderproxy/internal/simnet"
)

func TestAllMembersDiscoverEachOther(t *testing.T) {
	t.Parallel()
	for _, size := range []int{3, 10, 70} {
		c := newCluster(t, 1, size, lan)
		elapsed := c.waitForAgreement(size, 60*second)
		t.Logf("%d members that know one address agree after %.1f s", size, float64(elapsed)/second)
		c.run(30 * second)
		assert.True(t, c.inAgreement(size))
		digest := c.nodes[0].view.Digest
		for _, node := range c.nodes {
			assert.Equal(t, digest, node.view.Digest)
			assert.LessOrEqual(t, node.maxSentPerSecond, 2*node.MaxSendRate, "datagrams in a second")
		}
		assert.Empty(t, c.removals)
	}
}

func TestDeathReachesAllMembers(t *testing.T) {
	t.Parallel()
	for _, size := range []int{5, 30, 70} {
		c := newConvergedCluster(t, 2, size)
		c.kill(size - 1)
		elapsed := c.waitForAgreement(size-1, 60*second)
		t.Logf("%d members: a death is known to all after %.1f s", size, float64(elapsed)/second)
		assert.Zero(t, c.falseRemovals())
	}
}

func TestNoFalsePositivesUnderFaults(t *testing.T) {
	t.Parallel()
	const size = 40
	cases := []struct {
		name   string
		link   simnet.Link
		inject func(*cluster) // nil: the link's faults only
	}{
		{"loss of a tenth", simnet.Link{MinDelay: 300, MaxDelay: 5000, LossRate: 0.1}, nil},
		{"loss of three tenths", simnet.Link{MinDelay: 300, MaxDelay: 5000, LossRate: 0.3}, nil},
		{"delayed, reordered and duplicated", simnet.Link{MinDelay: 300, MaxDelay: 2 * second, LossRate: 0.05, DuplicationRate: 0.3}, nil},
		{"pauses of 1 s and 5 s", simnet.Link{MinDelay: 300, MaxDelay: 5000, LossRate: 0.1}, injectRandomPauses},
		{"all pause at once", lan, func(c *cluster) {
			c.network.Schedule(-1, 30*second, func() {
				for _, node := range c.nodes {
					c.network.Pause(node.networkID(), 5*second)
				}
			})
		}},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 3, size, testCase.link)
			c.waitForAgreement(size, 60*second)
			if testCase.inject != nil {
				testCase.inject(c)
			}
			c.run(120 * second)
			assert.Empty(t, c.removals)
		})
	}
	t.Run("one member whose datagrams arrive 10 s late", func(t *testing.T) {
		t.Parallel()
		c := newConvergedCluster(t, 3, size)
		for _, other := range c.nodes[1:] {
			c.network.SetLink(0, other.networkID(), simnet.Link{MinDelay: 10 * second, MaxDelay: 10 * second})
		}
		c.run(120 * second)
		// Each of the others removes it twice at most, since a member that returns is given more time.
		assert.LessOrEqual(t, len(c.removals), 2*(size-1))
		isLate := func(r removal) bool { return r.at > 90*second }
		assert.False(t, slices.ContainsFunc(c.removals, isLate), "%v", c.removals)
	})
}

// injectRandomPauses pauses each member four times, for 1 s and 5 s in turn.
func injectRandomPauses(c *cluster) {
	for _, node := range c.nodes {
		for i := range 4 {
			at := Micros(20+30*i)*second + c.network.Rand().Int64N(20*second)
			duration := second * (1 + 4*Micros(i%2))
			c.network.Schedule(-1, at, func() { c.network.Pause(node.networkID(), duration) })
		}
	}
}

func TestSimultaneousDeathsMakeFewViews(t *testing.T) {
	t.Parallel()
	const size, survivors = 60, 18 // seven in ten die
	c := newConvergedCluster(t, 4, size)
	c.run(20 * second)
	viewsBefore := c.nodes[0].viewCount
	for i := survivors; i < size; i++ {
		c.kill(i)
	}
	assert.LessOrEqual(t, c.shareSum(), maxShareSum)
	elapsed := c.waitForAgreement(survivors, 90*second)
	views := c.nodes[0].viewCount - viewsBefore
	t.Logf("42 of 60 killed: known to all after %.1f s, in %d views", float64(elapsed)/second, views)
	assert.LessOrEqual(t, views, 10, "a few changes and not one for each")
	removedByFirst := 0
	for _, removal := range c.removals {
		if removal.observer == 0 {
			removedByFirst++
		}
	}
	assert.GreaterOrEqual(t, removedByFirst, size-survivors)
	for i := survivors; i < size; i++ {
		c.revive(i)
	}
	for range 100 {
		c.run(pollInterval)
		c.requireSharesWithinWhole()
	}
	c.waitForAgreement(size, 60*second)
	assert.Zero(t, c.falseRemovals())
}

// A pause beyond the suspicion timeout counts as a death. The paused member suspects nobody and returns soon after.
func TestLongPauses(t *testing.T) {
	t.Parallel()
	const size = 40
	for _, paused := range []int{1, 4, size} {
		c := newConvergedCluster(t, 13, size)
		for i := range paused {
			c.network.Pause(simnet.NodeID(i), 30*second)
		}
		c.run(30 * second)
		present := c.nodes[size-1].view.PresentCount()
		elapsed := c.waitForAgreement(size, 30*second)
		t.Logf("%d of 40 pause for 30 s: %d are present at its end, all again %.1f s after", paused, present, float64(elapsed)/second)
		for _, removal := range c.removals {
			assert.Less(t, removal.removed, paused, "%d was removed by %d", removal.removed, removal.observer)
		}
		if paused == size {
			assert.Empty(t, c.removals, "nobody missed a message while all paused")
		}
	}
}

func TestLyingMemberIsDistrusted(t *testing.T) {
	t.Parallel()
	for _, claim := range []MemberState{StateSuspect, StateDead, StateLeft} {
		t.Run(claim.String(), func(t *testing.T) {
			t.Parallel()
			testLyingMember(t, claim)
		})
	}
}

// testLyingMember has one member spread a false state of others.
func testLyingMember(t *testing.T, claim MemberState) {
	t.Helper()
	const size, liar = 20, 7
	c := newConvergedCluster(t, 8, size)
	c.tamper = func(from int, message *Message) {
		if from != liar || message.Kind != KindGossip && message.Kind != KindPing {
			return
		}
		victim := c.nodes[(liar+1+c.network.Rand().IntN(size-1))%size]
		lie := Update{
			ID:          victim.self.ID,
			Generation:  victim.Generation,
			Incarnation: victim.self.Incarnation,
			State:       claim,
			Accuser:     c.nodes[liar].self.ID,
			Addr:        victim.Addr,
		}
		if message.freeBytes() >= lie.encodedSize() {
			message.Updates = append(message.Updates, lie)
		}
	}
	c.run(120 * second)
	assert.Empty(t, c.removals)
	for _, node := range c.nodes {
		assert.Equal(t, size, node.view.PresentCount())
	}
	if claim == StateLeft { // a refutation of that is not a refuted accusation
		return
	}
	distrusted := 0
	for _, node := range c.nodes {
		for _, member := range node.view.Members {
			if member.Distrusted {
				assert.Equal(t, nameOf(liar), member.Name)
				distrusted++
			}
		}
	}
	assert.Positive(t, distrusted)
}

func TestSimulationIsDeterministic(t *testing.T) {
	t.Parallel()
	digestOfRun := func(seed uint64) uint64 {
		c := newCluster(t, seed, 30, simnet.Link{MinDelay: 300, MaxDelay: 50_000, LossRate: 0.2, DuplicationRate: 0.1})
		c.run(20 * second)
		c.network.AddToDigest(uint64(c.datagrams), uint64(c.bytes))
		return c.network.Digest()
	}
	first := digestOfRun(1)
	repeated := digestOfRun(1)
	assert.Equal(t, first, repeated)
	assert.NotEqual(t, first, digestOfRun(2))
}
