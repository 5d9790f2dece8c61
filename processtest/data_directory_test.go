package processtest

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/sharedconfig"
)

// With an unusable data directory (a corrupt or truncated database, or a file in its place) the program must not serve: it
// exits with status 1 and one line on standard error.
func TestCorruptDataDirectoryPreventsStart(t *testing.T) {
	t.Parallel()
	r := startCluster(t, 2*time.Second, "")
	n3 := r.instances["n3"]
	n3.signal(syscall.SIGTERM)
	<-n3.exited
	require.Equal(t, 0, n3.cmd.ProcessState.ExitCode(), n3.logged())
	db := filepath.Join(n3.path("folder"), "agreed.db")
	intact, err := os.ReadFile(db)
	require.NoError(t, err)
	run := func() string {
		var out strings.Builder
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		c := exec.CommandContext(ctx, os.Args[0])
		c.Env = append(os.Environ(), "ALDERPROXY_TEST=program", "EDGE_CONFIG=", "ALDERPROXY_CONFIG="+n3.path("ini"))
		c.Stderr = &out
		require.Error(t, c.Run())
		assert.Equal(t, 1, c.ProcessState.ExitCode(), "the program did not exit with status 1: %s", out.String())
		return out.String()
	}
	offset := strings.Index(string(intact), "worth = 1")
	require.Positive(t, offset)
	corrupt := []byte(strings.ReplaceAll(string(intact), "worth = 1", "worth = 7"))
	require.NoError(t, os.WriteFile(db, corrupt, 0o600))
	assert.Regexp(t, `^alderproxy: agreement: cannot open the data directory: [^\n]*agreed.db: [^\n]*corrupt\n$`, run())
	require.NoError(t, os.WriteFile(db, intact[:9000], 0o600))
	assert.Regexp(t, `^alderproxy: agreement: cannot open the data directory: [^\n]*agreed.db: [^\n]+\n$`, run())
	require.NoError(t, os.RemoveAll(n3.path("folder")))
	require.NoError(t, os.WriteFile(n3.path("folder"), nil, 0o600))
	assert.Regexp(t, `^alderproxy: agreement: cannot open the data directory: [^\n]+\n$`, run())
	require.NoError(t, os.Remove(n3.path("folder")))
	require.NoError(t, os.Mkdir(n3.path("folder"), 0o700))
	require.NoError(t, os.WriteFile(db, intact, 0o600))
	n3.start("")
	r.waitUntilServing(1, "n3")
}

// On a full disk an instance cannot store new log entries. It logs that and stops serving within the staleness bound, while
// the others go on. Once there is space again it catches up.
func TestFullDisk(t *testing.T) {
	t.Parallel()
	r := startCluster(t, time.Second, "")
	r.transferLeadershipToN1()
	n3 := r.instances["n3"]
	n3.signal(syscall.SIGTERM)
	<-n3.exited
	f, err := os.Stat(filepath.Join(n3.path("folder"), "agreed.db"))
	require.NoError(t, err)
	// The limit on file sizes makes writes fail as a full disk does.
	n3.startCommand("", exec.CommandContext(t.Context(), "bash", "-c", fmt.Sprintf("ulimit -f %d; exec %s", f.Size()/1024+64, os.Args[0])))
	r.waitUntilServing(1, "n3")
	long := strings.Repeat("# "+strings.Repeat("x", 1000)+"\n", 100)
	for v := uint64(1); v <= 5; v++ {
		p := configPut(fmt.Sprint(v), v, int(v)+1)
		p.Text += long
		o, err := r.instances["n2"].client().Put(p)
		require.NoError(t, err)
		require.Equal(t, sharedconfig.StatusDone, o.Status, o.Reason)
	}
	time.Sleep(time.Second) // the staleness bound
	status, version, err := n3.search()
	assert.True(t, err != nil || status == 503, "not rejected; version %s: %s", version, n3.logged())
	status, version, err = n3.lookup("refused")
	assert.True(t, err != nil || status == 429, "not rejected; version %s: %s", version, n3.logged())
	r.waitUntilServing(6, "n1", "n2")
	require.NoError(t, n3.cmd.Process.Kill())
	<-n3.exited
	assert.Contains(t, n3.logged(), "file too large")
	n3.start("")
	r.waitUntilServing(6, "n3")
}

// Guards against an instance that received a snapshot, since it was down while the log was compacted, and cannot start again
// after its next death: its log must not keep the entries before the snapshot and continue behind it.
func TestKilledInstanceRestartsAfterItReceivedASnapshot(t *testing.T) {
	t.Parallel()
	const changesWhileDown = 40
	r := newCluster(t, 2*time.Second)
	r.agreement = "snapshot_after = 8\n"
	r.startInstances("", 0)
	n3 := r.instances["n3"]
	kill := func() {
		require.NoError(t, n3.cmd.Process.Kill())
		<-n3.exited
	}
	version := uint64(1)
	change := func() {
		o, err := r.instances["n1"].client().Put(configPut(fmt.Sprint("change-", version), version, int(version)+1))
		require.NoError(t, err)
		require.Equal(t, sharedconfig.StatusDone, o.Status, o.Reason)
		version++
	}
	kill()
	for range changesWhileDown {
		change()
	}
	for _, name := range []string{"n1", "n2"} { // whichever leads no longer has the entry that n3 needs next
		require.Eventually(t, func() bool { return r.instances[name].newestSnapshot(t) >= changesWhileDown }, 20*time.Second,
			20*time.Millisecond, "%s has not compacted its log", name)
	}
	n3.start("")
	r.waitUntilServing(version, "n3")
	require.GreaterOrEqual(t, n3.newestSnapshot(t), changesWhileDown, "n3 has received no snapshot")
	change() // the first entry behind the snapshot
	r.waitUntilServing(version, "n3")
	for range 2 {
		kill()
		n3.start("")
		r.waitUntilServing(version, "n3")
	}
}

// newestSnapshot returns the index of the last log entry that the instance's newest snapshot includes, or 0 if it has none.
func (i *instance) newestSnapshot(t *testing.T) (index int) {
	t.Helper()
	states, err := filepath.Glob(filepath.Join(i.path("folder"), "snapshots", "*", "state.bin"))
	require.NoError(t, err)
	for _, state := range states {
		// The directory is named TERM-INDEX-TIME, with .tmp at the end while it is written.
		fields := strings.Split(filepath.Base(filepath.Dir(state)), "-")
		if included, err := strconv.Atoi(fields[1]); err == nil && !strings.HasSuffix(fields[2], ".tmp") {
			index = max(index, included)
		}
	}
	return index
}
