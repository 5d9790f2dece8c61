package membership

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"alderproxy/internal/simnet"
)

// After a partition heals, all views must agree again. The capacity shares of all sides must not add up to more than
// one at any time.
func TestPartitionsHeal(t *testing.T) {
	t.Parallel()
	const size = 24
	for _, bounds := range [][]int{{0, 12, 24}, {0, 8, 16, 24}} {
		c := newCluster(t, 5, size, lan)
		for range 300 { // also while the members discover each other
			c.run(pollInterval)
			c.requireSharesWithinWhole()
		}
		c.waitForAgreement(size, 60*second)
		assert.InDelta(t, 1, c.shareSum(), 0.01, "the whole capacity must be shared out")
		var sides [][]simnet.NodeID
		for i := range bounds[:len(bounds)-1] {
			sides = append(sides, nodeRange(bounds[i], bounds[i+1]))
		}
		forEachPair(sides, c.partition)
		for range 60 {
			c.run(second)
			c.requireSharesWithinWhole()
		}
		forEachPair(sides, c.heal)
		elapsed := c.waitForAgreement(size, 90*second)
		t.Logf("%d sides: all views agree %.1f s after the partition healed", len(sides), float64(elapsed)/second)
	}
}

// forEachPair calls a function once for each pair of different sides.
func forEachPair(sides [][]simnet.NodeID, do func(a, b []simnet.NodeID)) {
	for i, a := range sides {
		for _, b := range sides[i+1:] {
			do(a, b)
		}
	}
}

// The failure of a link in one or both directions must not cause a member that others still reach to be declared dead.
// The end that receives nothing after a one-way failure must record ReachableOneWay, and both ends of a cut link
// ReachableIndirectly.
func TestPartialLinkFailuresCauseNoDeaths(t *testing.T) {
	t.Parallel()
	const size = 12
	c := newConvergedCluster(t, 6, size)
	reachability := func(observer, index int) Reachability {
		member, found := c.memberSeenBy(observer, index)
		if !found {
			return ReachabilityUnknown
		}
		return member.Reachability
	}
	c.network.Cut(nodeRange(3, 4), nodeRange(4, 5)) // member 4 receives nothing from member 3
	c.partition(nodeRange(5, 6), nodeRange(6, 7))
	c.run(60 * second)
	views := c.nodes[0].viewCount
	c.run(60 * second)
	assert.Empty(t, c.declaredDeaths)
	assert.Equal(t, ReachableOneWay, reachability(4, 3))
	assert.Equal(t, ReachableIndirectly, reachability(5, 6))
	assert.Equal(t, ReachableIndirectly, reachability(6, 5))
	assert.Equal(t, Reachable, reachability(7, 3))
	assert.LessOrEqual(t, c.nodes[0].viewCount-views, 2, "the views of other members must be stable")
}

// A member that is cut off from all others must not declare them dead, because it cannot distinguish their failure from
// its own isolation.
func TestIsolatedMemberDeclaresNobodyDead(t *testing.T) {
	t.Parallel()
	const size, isolated = 20, 19
	c := newConvergedCluster(t, 7, size)
	c.partition(nodeRange(isolated, size), nodeRange(0, isolated))
	c.run(60 * second)
	assert.False(t, c.nodes[isolated].view.Trusted)
	assert.Equal(t, size, c.nodes[isolated].view.PresentCount())
	assert.True(t, c.nodes[0].view.Trusted)
	assert.Equal(t, size-1, c.nodes[0].view.PresentCount())
	c.heal(nodeRange(isolated, size), nodeRange(0, isolated))
	c.waitForAgreement(size, 60*second)
}

// If all messages between a zone and the other members are lost in one direction, the views must not flap, and they
// must agree again after the partition heals.
func TestOneWayZonePartition(t *testing.T) {
	t.Parallel()
	const size, zoneSize = 30, 10
	for _, zoneReceivesNothing := range []bool{false, true} {
		c := newConvergedCluster(t, 14, size)
		from, to := nodeRange(0, zoneSize), nodeRange(zoneSize, size)
		if zoneReceivesNothing {
			from, to = to, from
		}
		inZone := c.nodes[5]
		outside := c.nodes[20]
		c.network.Cut(from, to)
		c.run(60 * second)
		views := outside.viewCount
		c.run(60 * second)
		t.Logf(
			"zone receives nothing: %v; outside the zone %d members are present, trusted %v; inside %d, trusted %v; %d views outside in the second minute",
			zoneReceivesNothing,
			outside.view.PresentCount(),
			outside.view.Trusted,
			inZone.view.PresentCount(),
			inZone.view.Trusted,
			outside.viewCount-views,
		)
		assert.LessOrEqual(t, outside.viewCount-views, 10, "the view must not flap")
		c.network.Heal(from, to)
		c.waitForAgreement(size, 60*second)
	}
}
