package raftnode

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/sharedconfig"
)

// An instance with a new data directory has lost its votes: it must neither vote nor join while a member of its name
// exists. An instance that was removed must not join again with its data directory.
func TestRemovedInstanceStopsAndNewDataDirectoryIsAnotherInstance(t *testing.T) {
	c := newTestCluster(t, time.Second)
	c.bootstrap()
	leader := c.leader()
	name := c.otherNames(leader.config.Name)[0]
	config := c.closeNode(name)
	c.reopenListener(&config)
	config.DataDirectory = filepath.Join(c.directory, "another")
	node := c.open(config)
	add := addCommand(name, config.Address)
	outcome := leader.Execute(add, 5*time.Second)
	assert.Equal(t, sharedconfig.StatusRejected, outcome.Status)
	assert.Contains(t, outcome.Reason, "another data directory")
	assert.Zero(t, node.Status().Term, "an instance that is not a member has taken part in an election")

	require.Equal(t, sharedconfig.StatusDone, leader.Execute(Command{RemoveMember: name}, 10*time.Second).Status)
	outcome = leader.Execute(add, 15*time.Second)
	require.Equal(t, sharedconfig.StatusDone, outcome.Status, outcome.Reason)
	c.waitUntilServing(1)

	require.Equal(t, sharedconfig.StatusDone, leader.Execute(Command{RemoveMember: name}, 10*time.Second).Status)
	require.Eventually(t, func() bool { return node.Status().NotCoveredReason == ErrRemoved.Error() }, 10*time.Second, 5*time.Millisecond)
	outcome = leader.Execute(add, 5*time.Second)
	assert.Contains(t, outcome.Reason, "removed from this group for good")
}

// An instance that restarts at another address with its data directory must remain a voter.
func TestInstanceMovesToAnotherAddress(t *testing.T) {
	c := newTestCluster(t, time.Second)
	c.bootstrap()
	c.leader().Execute(Command{TransferLeadershipTo: new(string)}, time.Second)
	config := c.closeNode("n2")
	c.moveToNewAddress(&config)
	n2 := c.open(config)
	require.Eventually(t, func() bool {
		return c.leader().Execute(addCommand("n2", config.Address), 10*time.Second).Status == sharedconfig.StatusDone
	}, 20*time.Second, 50*time.Millisecond)
	c.waitUntilServing(1)
	for _, member := range n2.Members() {
		assert.True(t, member.Voter, member.Name)
	}
	require.Equal(t, sharedconfig.StatusDone, n2.Execute(changeCommand("a", 1, "two"), 10*time.Second).Status)
	c.waitUntilServing(2)
}

// A new member that gets most of the state from a snapshot must become a voter even if the leader fails meanwhile.
func TestJoinBySnapshotDuringLeaderFailure(t *testing.T) {
	c := newTestCluster(t, time.Second)
	c.bootstrap()
	leader := c.leader()
	other := c.nodes[c.otherNames(leader.config.Name)[0]]
	for version := uint64(1); version <= 12; version++ {
		text := fmt.Sprint(version)
		require.Equal(t, sharedconfig.StatusDone, leader.Execute(changeCommand(text, version, text), 10*time.Second).Status)
	}
	for _, node := range c.nodes {
		require.NoError(t, node.raft.Snapshot().Error())
	}
	config := c.newConfig("n4")
	n4 := c.open(config)
	outcomes := make(chan sharedconfig.Outcome, 1)
	go func() { outcomes <- other.Execute(addCommand("n4", config.Address), 20*time.Second) }()
	require.Eventually(t, func() bool { return len(leader.Members()) == 4 }, 10*time.Second, time.Millisecond)
	require.NoError(t, leader.Close())
	delete(c.nodes, leader.config.Name)
	outcome := <-outcomes
	assert.Equal(t, sharedconfig.StatusDone, outcome.Status, outcome.Reason)
	c.waitUntilServing(13)
	// The change is complete once it is committed. n4 may receive the entry after that.
	require.Eventually(t, func() bool { return countVoters(n4) == 4 }, 10*time.Second, time.Millisecond)
	assert.Len(t, n4.State().Versions, 13)
}

// countVoters returns the number of voters in the latest configuration that a node has.
func countVoters(node *Node) int {
	voters := 0
	for _, member := range node.Members() {
		if member.Voter {
			voters++
		}
	}
	return voters
}
