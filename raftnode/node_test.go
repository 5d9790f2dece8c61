package raftnode

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/sharedconfig"
)

// A change that is repeated at other instances must be executed once, and a change of a replaced version must fail.
func TestChangeIsActiveEverywhereAndIdempotent(t *testing.T) {
	c := newTestCluster(t, time.Second)
	c.bootstrap()
	for _, node := range c.nodes { // each forwards the change to the leader
		outcome := node.Execute(changeCommand("a", 1, "two"), 10*time.Second)
		assert.Equal(t, sharedconfig.Outcome{RequestID: "a", Status: sharedconfig.StatusDone, Version: 2}, outcome)
	}
	c.waitUntilServing(2)
	outcome := c.leader().Execute(changeCommand("b", 1, "other"), 10*time.Second)
	assert.Equal(t, sharedconfig.StatusConflict, outcome.Status)
}

// A change that one member cannot serve must not become active, and must not block the next change.
func TestOneRejectionRefusesTheChange(t *testing.T) {
	c := newTestCluster(t, time.Second)
	c.bootstrap()
	outcome := c.nodes["n1"].Execute(changeCommand("a", 1, "bad for n3"), 10*time.Second)
	want := sharedconfig.Outcome{RequestID: "a", Status: sharedconfig.StatusRejected, RejectedBy: "n3", Reason: "n3 has no such index"}
	assert.Equal(t, want, outcome)
	c.waitUntilServing(1)
	assert.Equal(t, sharedconfig.StatusDone, c.nodes["n2"].Execute(changeCommand("b", 1, "two"), 10*time.Second).Status)
	c.waitUntilServing(2)
}

// A partitioned leader must stop serving within the staleness bound after the other instances have changed the
// configuration.
func TestPartitionedInstanceStopsWithinStalenessBound(t *testing.T) {
	c := newTestCluster(t, time.Second)
	c.bootstrap()
	partitioned := c.leader()
	others := c.otherNames(partitioned.config.Name)
	c.faults.Isolate(partitioned.config.Name, others...)
	outcome := c.nodes[others[0]].Execute(changeCommand("a", 1, "two"), 10*time.Second)
	require.Equal(t, sharedconfig.StatusDone, outcome.Status, outcome.Reason)
	replaced := time.Now()
	require.Eventually(t, func() bool { return !isServing(partitioned) }, 10*time.Second, time.Millisecond)
	assert.Less(t, time.Since(replaced), c.stalenessBound)
	assert.Equal(t, uint64(1), partitioned.ServedVersion())
	c.faults.Clear()
	c.waitUntilServing(2)
}

// A restarted instance must not serve under its earlier lease: the version may have been replaced meanwhile.
func TestRestartedInstanceServesNothingWithoutLease(t *testing.T) {
	c := newTestCluster(t, time.Second)
	c.bootstrap()
	config := c.closeNode("n2")
	require.Equal(t, sharedconfig.StatusDone, c.leader().Execute(changeCommand("a", 1, "two"), 10*time.Second).Status)
	c.faults.Isolate("n2", "n1", "n3")
	c.reopenListener(&config)
	n2 := c.open(config)
	require.Eventually(t, func() bool { return n2.ServedVersion() == 1 }, 10*time.Second, 5*time.Millisecond)
	for range 50 {
		require.False(t, isServing(n2), "serves without a lease granted since its restart")
		time.Sleep(10 * time.Millisecond)
	}
	c.faults.Clear()
	c.waitUntilServing(2)
}

// With ServeWhenStale, a partitioned instance must continue to serve without a lease, even after a restart, unless it was
// removed from the group.
func TestServeWhenStale(t *testing.T) {
	c := newTestCluster(t, 500*time.Millisecond)
	c.bootstrap()
	leader := c.leader()
	name := c.otherNames(leader.config.Name)[0]
	config := c.configs[name]
	config.ServeWhenStale = true
	c.configs[name] = config
	restart := func() *Node {
		config := c.closeNode(name)
		c.reopenListener(&config)
		return c.open(config)
	}
	partition := func() { c.faults.Isolate(name, "n1", "n2", "n3") }

	node := restart()
	c.waitUntilServing(1)
	partition()
	require.Eventually(t, func() bool { return node.Status().LeaseRemainingMillis == 0 }, 10*time.Second, 5*time.Millisecond)
	assert.True(t, isServing(node))
	node = restart()
	assert.True(t, isServing(node))
	assert.Equal(t, uint64(1), node.ServedVersion())

	c.faults.Clear()
	c.waitUntilServing(1)
	require.Equal(t, sharedconfig.StatusDone, leader.Execute(Command{RemoveMember: name}, 10*time.Second).Status)
	require.Eventually(t, func() bool { return !isServing(node) }, 10*time.Second, 5*time.Millisecond)
	partition()
	node = restart()
	assert.False(t, isServing(node), "serves after a restart although it was removed")
}
