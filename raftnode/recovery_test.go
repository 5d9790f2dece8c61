package raftnode

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/internal/faultnet"
	"alderproxy/sharedconfig"
)

// An instance must continue alone after RecoverUnsafe, and the other members must not join it with their data directories.
func TestRecoverUnsafe(t *testing.T) {
	c := newTestCluster(t, time.Second)
	c.bootstrap()
	require.Equal(t, sharedconfig.StatusDone, c.leader().Execute(changeCommand("a", 1, "two"), 10*time.Second).Status)
	c.waitUntilServing(2)
	for _, node := range c.nodes {
		require.NoError(t, node.Close())
	}
	clear(c.nodes)

	config := c.configs["n3"]
	report, err := ReadRecoveryReport(config.DataDirectory, "n3")
	require.NoError(t, err)
	assert.Equal(t, uint64(2), report.State.Active().Number)
	assert.Len(t, report.Members, 3)
	require.NoError(t, RecoverUnsafe(config.DataDirectory, "n3", config.Address))
	c.faults = faultnet.New(2)
	c.moveToNewAddress(&config)
	require.NoError(t, RecoverUnsafe(config.DataDirectory, "n3", config.Address), "cannot recover again with another address")
	n3 := c.open(config)
	c.waitUntilServing(2)
	require.Equal(t, sharedconfig.StatusDone, n3.Execute(changeCommand("b", 2, "three"), 10*time.Second).Status)

	oldConfig := c.configs["n1"]
	oldConfig.Listener = listen(t, anyLocalPort)
	n1 := c.open(oldConfig)
	outcome := n3.Execute(addCommand("n1", oldConfig.Listener.Addr().String()), 5*time.Second)
	assert.Equal(t, sharedconfig.StatusRejected, outcome.Status, "a member of the old group has joined the new one with its data directory")
	assert.False(t, isServing(n1))
}

// ReadRecoveryReport must fail for a directory without a database, rather than report an empty log.
func TestReadRecoveryReportFailsWithoutDatabase(t *testing.T) {
	_, err := ReadRecoveryReport(t.TempDir(), "n9")
	assert.ErrorIs(t, err, os.ErrNotExist)
}

// An instance must not start if its only snapshot is corrupt and the log lacks the entries that the snapshot includes.
func TestCorruptSnapshotPreventsStart(t *testing.T) {
	c := newTestCluster(t, time.Second)
	node := c.bootstrapSingle("n1")
	c.waitUntilServing(1)
	require.Equal(t, sharedconfig.StatusDone, node.Execute(changeCommand("a", 1, "two"), 10*time.Second).Status)
	require.NoError(t, node.raft.Snapshot().Error())
	snapshots, err := node.directory.openSnapshots(node.newRaftLogger())
	require.NoError(t, err)
	metas, err := snapshots.List()
	require.NoError(t, err)
	require.Len(t, metas, 1)
	config := c.closeNode("n1")

	path := filepath.Join(config.DataDirectory, "snapshots", metas[0].ID, "state.bin")
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	text[len(text)/2] ^= 1
	require.NoError(t, os.WriteFile(path, text, 0o600))
	directory, err := openDataDirectory(config.DataDirectory, "n1")
	require.NoError(t, err)
	require.NoError(t, directory.store.DeleteRange(1, 2)) // as a compaction does
	require.NoError(t, directory.close())
	c.reopenListener(&config)
	_, err = StartNode(config)
	require.Error(t, err)
	assert.Contains(t, err.Error(), "cannot read snapshot "+metas[0].ID)
	assert.NotContains(t, err.Error(), "\n")
	assert.NotErrorIs(t, err, os.ErrNotExist)
}
