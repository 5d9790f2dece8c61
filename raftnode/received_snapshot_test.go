package raftnode

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/sharedconfig"
)

// Of the data directory in testdata/40b1efe: the last entry before the gap of the log, the last one that the snapshot includes,
// the last one of the log, and the version that was served last.
const (
	gapBefore        = 8
	snapshotIndex    = 48
	gapLastIndex     = 50
	gapServedVersion = 22
)

// copyDirectoryWithGap returns the path of a copy of the data directory of n3, whose log has a gap.
func copyDirectoryWithGap(t *testing.T) (path string) {
	t.Helper()
	directory := t.TempDir()
	require.NoError(t, os.CopyFS(directory, os.DirFS("testdata/40b1efe")))
	return filepath.Join(directory, "n3")
}

// startOnce starts n3 from a data directory and stops it. It returns the first and last index of the log.
func startOnce(t *testing.T, path string) (first, last uint64) {
	t.Helper()
	config := earlierConfig(filepath.Dir(path), "n3")
	config.Listener = listen(t, anyLocalPort)
	config.Address = config.Listener.Addr().String()
	node, err := StartNode(config)
	require.NoError(t, err)
	assert.Equal(t, uint64(gapServedVersion), node.ServedVersion())
	require.NoError(t, node.Close())
	directory, err := openDataDirectory(path, "n3")
	require.NoError(t, err)
	defer func() { assert.NoError(t, directory.close()) }()
	first, err = directory.store.FirstIndex()
	require.NoError(t, err)
	last, err = directory.store.LastIndex()
	require.NoError(t, err)
	return first, last
}

// Guards against an instance that cannot start again since an earlier revision left a gap in its log, although the snapshot
// includes all entries that the log lacks.
func TestStartFromALogWithAGap(t *testing.T) {
	path := copyDirectoryWithGap(t)
	_, err := ReadRecoveryReport(path, "n3")
	require.NoError(t, err, "no group could be recovered from it")
	for range 2 {
		first, last := startOnce(t, path)
		assert.Equal(t, uint64(snapshotIndex+1), first)
		assert.GreaterOrEqual(t, last, uint64(gapLastIndex))
	}
}

// Guards against a gap that a start accepts although no snapshot includes the entries that the log lacks: the instance would
// reach a state that never existed.
func TestGapWithoutASnapshotPreventsStart(t *testing.T) {
	path := copyDirectoryWithGap(t)
	require.NoError(t, os.RemoveAll(filepath.Join(path, "snapshots")))
	config := earlierConfig(filepath.Dir(path), "n3")
	config.Listener = listen(t, anyLocalPort)
	_, err := StartNode(config)
	assert.ErrorContains(t, err, "entry 49 of the log follows 8: the log begins at index 49, and no snapshot has the entries before it")
}

// Guards against a log that gets a gap since the instance ended right after it had received a snapshot, before Raft had deleted
// the entries of the log.
func TestStartAfterDeathBetweenSnapshotAndDeletion(t *testing.T) {
	path := copyDirectoryWithGap(t)
	directory, err := openDataDirectory(path, "n3")
	require.NoError(t, err)
	require.NoError(t, directory.store.DeleteRange(snapshotIndex+1, gapLastIndex))
	last, err := directory.store.LastIndex()
	require.NoError(t, err)
	require.Equal(t, uint64(gapBefore), last)
	require.NoError(t, directory.close())
	first, last := startOnce(t, path)
	assert.Equal(t, [2]uint64{0, 0}, [2]uint64{first, last}, "entries of the log that the next one would not follow")
}

// Guards against an instance that was down while the log was compacted, receives a snapshot, and cannot start again.
func TestInstanceThatReceivedASnapshotStartsAgain(t *testing.T) {
	c := newTestCluster(t, time.Second)
	c.bootstrap()
	version := uint64(1)
	change := func() {
		outcome := c.leader().Execute(changeCommand(fmt.Sprint("change-", version), version, fmt.Sprint("text ", version+1)), 10*time.Second)
		require.Equal(t, sharedconfig.StatusDone, outcome.Status, outcome.Reason)
		version++
	}
	restart := func() {
		config := c.closeNode("n3")
		c.reopenListener(&config)
		c.open(config)
		c.waitUntilServing(version)
	}
	config := c.closeNode("n3")
	for range 20 {
		change()
	}
	for _, node := range c.nodes {
		require.NoError(t, node.raft.Snapshot().Error())
	}
	c.reopenListener(&config)
	n3 := c.open(config)
	c.waitUntilServing(version)
	snapshots, err := n3.directory.openSnapshots(n3.newRaftLogger())
	require.NoError(t, err)
	received, err := snapshots.List()
	require.NoError(t, err)
	require.NotEmpty(t, received, "n3 has received no snapshot")
	for range 3 {
		change() // the first entry behind the snapshot must follow the log
		c.waitUntilServing(version)
		restart()
	}
}
