package raftnode

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/internal/testserver"
	"alderproxy/sharedconfig"
)

const earlierRevisionDirectory = "testdata/a377099"

// earlierInstances is what the instances of the earlier revision reported before they stopped.
type earlierInstances struct {
	State   sharedconfig.State    `json:"state"`   // of n1
	Members []sharedconfig.Member `json:"members"` // by n1
	Status  Status                `json:"status"`  // of n1
}

// assertStoredAs asserts that a value's JSON equals a field of the file that the earlier revision has written. Unlike a
// comparison of decoded values, this detects a changed name of a JSON field.
func assertStoredAs(t *testing.T, field string, value any) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(earlierRevisionDirectory, "written.json"))
	require.NoError(t, err)
	var fields map[string]json.RawMessage
	require.NoError(t, json.Unmarshal(text, &fields))
	encoded, err := json.Marshal(value)
	require.NoError(t, err)
	assert.JSONEq(t, string(fields[field]), string(encoded), field)
}

// copyEarlierRevision returns the path of a copy of the earlier revision's data directories, and what its instances
// reported.
func copyEarlierRevision(t *testing.T) (directory string, written earlierInstances) {
	t.Helper()
	directory = t.TempDir()
	require.NoError(t, os.CopyFS(directory, os.DirFS(earlierRevisionDirectory)))
	text, err := os.ReadFile(filepath.Join(directory, "written.json"))
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(text, &written))
	return directory, written
}

func earlierConfig(directory, name string) Config {
	return Config{
		Name:            name,
		DataDirectory:   filepath.Join(directory, name),
		Key:             []byte("k"),
		StalenessBound:  time.Second,
		RaftSpeedup:     5,
		Log:             testserver.DiscardLog(),
		CheckDocument:   func(string) error { return nil },
		ActivateVersion: func(sharedconfig.Version) error { return nil },
	}
}

// A node and a follower must continue from the data directories of an earlier revision. This fails if a stored key or a
// JSON name changes.
func TestOpenDataDirectoryOfEarlierRevision(t *testing.T) {
	directory, written := copyEarlierRevision(t)
	config := earlierConfig(directory, "n1")
	config.Address = written.Members[0].Addr
	open := func() *Node {
		config.Listener = listen(t, anyLocalPort)
		node, err := StartNode(config)
		require.NoError(t, err)
		return node
	}
	node := open()
	active := written.State.Active()
	assert.Equal(t, active.Number, node.ServedVersion(), "the version that was served last")
	waitUntilServes(t, node, active.Number)
	assertStoredAs(t, "state", node.State())
	assertStoredAs(t, "members", node.Members())
	assert.Equal(t, "[class interactive]\nworth = 2\n", node.State().Active().Text)
	assert.Equal(t, written.Status.GroupID, node.Status().GroupID)
	assert.Equal(t, written.Status.Digest, node.Status().Digest)

	// The request ID of the earlier revision's last change is still known, and a new change can be based on its version.
	repeated := node.Execute(changeCommand(active.RequestID, active.Number-1, "other"), 10*time.Second)
	assert.Equal(t, sharedconfig.Outcome{RequestID: active.RequestID, Status: sharedconfig.StatusDone, Version: active.Number}, repeated)
	next := active.Number + 1
	changed := node.Execute(changeCommand("next", active.Number, "next text"), 10*time.Second)
	assert.Equal(t, sharedconfig.Outcome{RequestID: "next", Status: sharedconfig.StatusDone, Version: next}, changed)
	waitUntilServes(t, node, next)
	require.NoError(t, node.Close())

	node = open()
	t.Cleanup(func() { assert.NoError(t, node.Close()) })
	waitUntilServes(t, node, next)
	assert.Equal(t, "next text", node.State().Active().Text)
	assert.Equal(t, written.State.Versions, node.State().Versions[:len(written.State.Versions)])
	assert.Equal(t, written.State.RetiredDirectoryIDs, node.State().RetiredDirectoryIDs)

	followerConfig := earlierConfig(directory, "f1")
	followerConfig.SeedVoters = []string{config.Listener.Addr().String()}
	follower, err := StartFollower(followerConfig)
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, follower.Close()) })
	assert.Equal(t, written.State.Versions[6:], follower.State().Versions, "the version that was served last")
	waitUntilServes(t, follower, next)
}

// ReadRecoveryReport must decode the log and the snapshots of an earlier revision completely.
func TestReadRecoveryReportOfEarlierRevision(t *testing.T) {
	directory, written := copyEarlierRevision(t)
	report, err := ReadRecoveryReport(filepath.Join(directory, "b1"), "b1")
	require.NoError(t, err)
	assertStoredAs(t, "bootstrapped", report.State)
	require.Len(t, report.Members, 1)
	assert.Equal(t, "b1", report.Members[0].Name)
	assert.True(t, report.Members[0].Voter)

	n1 := filepath.Join(directory, "n1")
	report, err = ReadRecoveryReport(n1, "n1")
	require.NoError(t, err)
	assertStoredAs(t, "state", report.State)
	assertStoredAs(t, "members", report.Members)
	assert.Equal(t, written.Status.LastLogIndex, report.LastLogIndex)
	assert.Equal(t, written.Status.Term, report.LastLogTerm)

	stored, err := openDataDirectory(n1, "n1")
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, stored.close()) })
	group, err := stored.groupID()
	require.NoError(t, err)
	assert.Equal(t, written.State.GroupID, group)
	term, err := stored.store.GetUint64([]byte(currentTermKey))
	require.NoError(t, err)
	assert.Equal(t, written.Status.Term, term)
}

// An instance that was removed under the earlier revision must not serve or be recovered from after an upgrade.
func TestOpenRemovedInstanceOfEarlierRevision(t *testing.T) {
	directory, _ := copyEarlierRevision(t)
	config := earlierConfig(directory, "n2")
	require.ErrorContains(t, RecoverUnsafe(config.DataDirectory, "n2", anyLocalPort), ErrRemoved.Error())
	config.Listener = listen(t, anyLocalPort)
	config.Address = config.Listener.Addr().String()
	config.ServeWhenStale = true
	node, err := StartNode(config)
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, node.Close()) })
	assert.NotZero(t, node.ServedVersion())
	assert.False(t, isServing(node))
	assert.Equal(t, ErrRemoved.Error(), node.Status().NotCoveredReason)
}
