package membership

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A graceful departure must be recorded as left and not as a death, and the member must be able to join again.
func TestLeaveIsNotADeath(t *testing.T) {
	t.Parallel()
	const size, leaver = 20, 5
	c := newConvergedCluster(t, 9, size)
	c.nodes[leaver].step(Leave{})
	c.run(second / 2)
	c.kill(leaver)
	c.run(3 * second)
	for _, node := range c.nodes {
		if node.index == leaver {
			continue
		}
		if member, found := c.memberSeenBy(node.index, leaver); found {
			assert.Equal(t, StateLeft, member.State)
		}
	}
	assert.Empty(t, c.declaredDeaths)
	c.run(864 * second)
	c.revive(leaver)
	c.waitForAgreement(size, 30*second)
}

// A process that restarts under its name before its death is detected must not be declared dead in any view.
func TestRestartsUnderSameName(t *testing.T) {
	t.Parallel()
	const size, restarting = 15, 14
	c := newConvergedCluster(t, 10, size)
	for round := range 5 {
		c.kill(restarting)
		c.run(second / 2)
		c.revive(restarting)
		c.run(second/2 + Micros(round))
	}
	c.waitForAgreement(size, 30*second)
	assert.Empty(t, c.declaredDeaths, "the member may not be declared dead, because it was never down for long")
}

// A member that restarts each second for three minutes must not cause others to be declared dead, and the send rate of
// the group must stay limited.
func TestFlappingMember(t *testing.T) {
	t.Parallel()
	const size, flapping = 20, 19
	c := newConvergedCluster(t, 15, size)
	datagramsBefore := c.datagrams
	startedAt := c.network.Now()
	for range 180 {
		c.kill(flapping)
		c.run(second / 2)
		c.revive(flapping)
		c.run(second / 2)
	}
	elapsed := float64(c.network.Now()-startedAt) / second
	rate := float64(c.datagrams-datagramsBefore) / size / elapsed
	t.Logf("%.1f datagrams per member and second while one member flaps", rate)
	assert.Less(t, rate, 30.0)
	c.waitForAgreement(size, 30*second)
	for _, death := range c.declaredDeaths {
		assert.Equal(t, flapping, death.subject)
	}
}

// Of two processes with the same name, the earlier one must keep the name and its address in all views, and the later
// one must stop.
func TestDuplicateNameIsRefused(t *testing.T) {
	t.Parallel()
	const size, owner = 10, 3
	c := newConvergedCluster(t, 11, size)
	duplicate := &simNode{cluster: c, index: size, lastGeneration: 105}
	c.nodes = append(c.nodes, duplicate)
	c.indexByAddr[address(size)] = size
	config := testConfig(size, address(0), address(1))
	config.Name = nameOf(owner)
	duplicate.start(config)
	c.run(20 * second)
	assert.True(t, duplicate.nameTaken, "the later process must give up the name")
	assert.False(t, c.nodes[owner].nameTaken)
	assert.Empty(t, c.declaredDeaths)
	for observer := range size {
		if member, found := c.memberSeenBy(observer, owner); found {
			assert.Equal(t, address(owner), member.Addr)
		}
	}
}

// A member must be present in all views after it restarted with a clock that was set back, at another address, or after
// its tombstone expired.
func TestMemberReturns(t *testing.T) {
	t.Parallel()
	const size, returning = 15, 14
	c := newConvergedCluster(t, 16, size)
	node := c.nodes[returning]
	c.kill(returning)
	c.run(2 * second)
	node.lastGeneration = 7 // the clock was set back
	c.revive(returning)
	c.waitForAgreement(size, 30*second)
	assert.Zero(t, c.falsePositives())

	// Restart at another address before the others have detected the death of the previous process.
	c.kill(returning)
	c.run(second)
	config := testConfig(returning, address(0), address(1))
	config.Addr = address(99)
	c.indexByAddr[config.Addr] = returning
	c.network.Restart(node.networkID())
	node.lastGeneration = 1000
	node.start(config)
	c.run(30 * second)
	for observer := range returning {
		member, _ := c.memberSeenBy(observer, returning)
		assert.Equal(t, config.Addr, member.Addr)
		assert.Equal(t, StateAlive, member.State)
	}

	c.kill(returning)
	c.run(40 * second)
	c.run(72 * 60 * second) // longer than TombstoneTTL
	_, known := c.memberSeenBy(0, returning)
	assert.False(t, known)
	c.revive(returning)
	c.waitForAgreement(size, 30*second)
}
