package membership

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"alderproxy/internal/simnet"
)

// Members that know only the address of the first one must discover all others, without false positives and within
// their send budgets.
func TestAllMembersDiscoverEachOther(t *testing.T) {
	t.Parallel()
	for _, size := range []int{3, 10, 70} {
		c := newCluster(t, 1, size, lan)
		elapsed := c.waitForAgreement(size, 60*second)
		t.Logf("%d members that know one seed agree after %.1f s", size, float64(elapsed)/second)
		c.run(30 * second)
		assert.True(t, c.inAgreement(size))
		digest := c.nodes[0].view.Digest
		for _, node := range c.nodes {
			assert.Equal(t, digest, node.view.Digest)
			assert.LessOrEqual(t, node.maxSentPerSecond, 2*node.MaxSendRate, "datagrams sent in one second")
		}
		assert.Empty(t, c.declaredDeaths)
	}
}

// The death of one process must reach all views, and no living member may be declared dead.
func TestDeathReachesAllMembers(t *testing.T) {
	t.Parallel()
	for _, size := range []int{5, 30, 70} {
		c := newConvergedCluster(t, 2, size)
		c.kill(size - 1)
		elapsed := c.waitForAgreement(size-1, 60*second)
		t.Logf("%d members: a death is known to all after %.1f s", size, float64(elapsed)/second)
		assert.Zero(t, c.falsePositives())
	}
}

// Packet loss, delays and pauses shorter than the suspicion timeout make probes fail. They must not cause living
// members to be declared dead. A member whose datagrams are delayed beyond the suspicion timeout may be declared dead
// at most twice by each other member.
func TestNoFalsePositivesUnderFaults(t *testing.T) {
	t.Parallel()
	const size = 40
	cases := []struct {
		name   string
		link   simnet.Link
		inject func(*cluster) // nil if the link is the only source of faults
	}{
		{"10% loss", simnet.Link{MinDelay: 300, MaxDelay: 5000, LossRate: 0.1}, nil},
		{"30% loss", simnet.Link{MinDelay: 300, MaxDelay: 5000, LossRate: 0.3}, nil},
		{"delay, reordering and duplication", simnet.Link{MinDelay: 300, MaxDelay: 2 * second, LossRate: 0.05, DuplicationRate: 0.3}, nil},
		{"pauses of 1 s and 5 s", simnet.Link{MinDelay: 300, MaxDelay: 5000, LossRate: 0.1}, injectRandomPauses},
		{"simultaneous pause of all members", lan, func(c *cluster) {
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
			assert.Empty(t, c.declaredDeaths)
		})
	}
	t.Run("one member with datagrams delayed by 10 s", func(t *testing.T) {
		t.Parallel()
		c := newConvergedCluster(t, 3, size)
		for _, other := range c.nodes[1:] {
			c.network.SetLink(0, other.networkID(), simnet.Link{MinDelay: 10 * second, MaxDelay: 10 * second})
		}
		c.run(120 * second)
		// Each of the others declares it dead at most twice, because the suspicion timeout doubles with each refuted death.
		assert.LessOrEqual(t, len(c.declaredDeaths), 2*(size-1))
		isLate := func(death declaredDeath) bool { return death.at > 90*second }
		assert.False(t, slices.ContainsFunc(c.declaredDeaths, isLate), "%v", c.declaredDeaths)
	})
}

// Guards against a member that is declared dead at few seeds only, after pauses that are shorter than the suspicion timeout.
func TestNoFalsePositivesUnderPausesAtManySeeds(t *testing.T) {
	t.Parallel()
	const size, firstSeed, seeds = 40, 141, 8
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", firstSeed+seed), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, firstSeed+seed, size, simnet.Link{MinDelay: 300, MaxDelay: 5000, LossRate: 0.1})
			c.waitForAgreement(size, 60*second)
			injectRandomPauses(c)
			c.run(120 * second)
			assert.Empty(t, c.declaredDeaths)
		})
	}
}

// injectRandomPauses pauses each member four times, alternately for 1 s and 5 s.
func injectRandomPauses(c *cluster) {
	for _, node := range c.nodes {
		for i := range 4 {
			at := Micros(20+30*i)*second + c.network.Rand().Int64N(20*second)
			duration := second * (1 + 4*Micros(i%2))
			c.network.Schedule(-1, at, func() { c.network.Pause(node.networkID(), duration) })
		}
	}
}

// The simultaneous death of many members must change a view a few times and not once per death. The capacity shares
// must not add up to more than one while the members die and return.
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
	t.Logf("42 of 60 members killed: known to all after %.1f s, in %d views", float64(elapsed)/second, views)
	assert.LessOrEqual(t, views, 10, "the deaths must change the view a few times and not once per death")
	declaredByFirst := 0
	for _, death := range c.declaredDeaths {
		if death.observer == 0 {
			declaredByFirst++
		}
	}
	assert.GreaterOrEqual(t, declaredByFirst, size-survivors)
	for i := survivors; i < size; i++ {
		c.revive(i)
	}
	for range 100 {
		c.run(pollInterval)
		c.requireSharesWithinWhole()
	}
	c.waitForAgreement(size, 60*second)
	assert.Zero(t, c.falsePositives())
}

// A pause that exceeds the suspicion timeout counts as a death. After it, the paused members must not accuse others,
// whose messages they missed, and must soon be present in all views again.
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
		t.Logf("%d of 40 members pause for 30 s: %d are present at the end of the pause, all %.1f s later", paused, present, float64(elapsed)/second)
		for _, death := range c.declaredDeaths {
			assert.Less(t, death.subject, paused, "member %d was declared dead by member %d", death.subject, death.observer)
		}
		if paused == size {
			assert.Empty(t, c.declaredDeaths, "no member may be declared dead, because none misses a message while all pause")
		}
	}
}

// A faulty member that reports living members as suspect, dead or left must not cause them to be declared dead. At
// least one member must distrust its false reports of suspect and dead.
func TestFalseReportsAreDistrusted(t *testing.T) {
	t.Parallel()
	for _, reported := range []MemberState{StateSuspect, StateDead, StateLeft} {
		t.Run(reported.String(), func(t *testing.T) {
			t.Parallel()
			testFalseReports(t, reported)
		})
	}
}

// testFalseReports runs a cluster in which one member reports a false state of the others.
func testFalseReports(t *testing.T, reported MemberState) {
	t.Helper()
	const size, faulty = 20, 7
	c := newConvergedCluster(t, 8, size)
	c.tamper = func(from int, message *Message) {
		if from != faulty || message.Kind != KindGossip && message.Kind != KindPing {
			return
		}
		subject := c.nodes[(faulty+1+c.network.Rand().IntN(size-1))%size]
		falseReport := Update{
			ID:          subject.self.ID,
			Generation:  subject.Generation,
			Incarnation: subject.self.Incarnation,
			State:       reported,
			Accuser:     c.nodes[faulty].self.ID,
			Addr:        subject.Addr,
		}
		if message.freeBytes() >= falseReport.encodedSize() {
			message.Updates = append(message.Updates, falseReport)
		}
	}
	c.run(120 * second)
	assert.Empty(t, c.declaredDeaths)
	for _, node := range c.nodes {
		assert.Equal(t, size, node.view.PresentCount())
	}
	if reported == StateLeft { // a report of a departure is not counted as an accusation
		return
	}
	distrusted := 0
	for _, node := range c.nodes {
		for _, member := range node.view.Members {
			if member.Distrusted {
				assert.Equal(t, nameOf(faulty), member.Name)
				distrusted++
			}
		}
	}
	assert.Positive(t, distrusted)
}

// Runs with the same seed must be identical, so that a failure can be reproduced from its seed.
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
