package processtest

import (
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/admin"
	"alderproxy/internal/faultnet"
	"alderproxy/membership"
	"alderproxy/sharedconfig"
)

// Guards against followers that serve a replaced version, or stop serving, after a leader is killed. With three voters and
// five followers, leaders are killed and versions change: no follower serves a replaced version beyond the staleness bound,
// and all follow the remaining voters.
func TestFollowersThroughLeaderKills(t *testing.T) {
	t.Parallel()
	r := startClusterWithFollowers(t, 3*time.Second, "", true, 5)
	all := r.instanceNames()
	followers := without(all, "n1", "n2", "n3")
	load := r.startLoad(followers...)
	r.faults.SetDefault(faultnet.Rule{LossPercent: 0, MaxDelay: 30 * time.Millisecond})
	version := uint64(1)
	for round := range 3 {
		leader := ""
		client := r.instances["n1"].client()
		require.Eventually(t, func() bool { s, err := client.Status(); leader = s.Leader; return err == nil && leader != "" }, 20*time.Second, 20*time.Millisecond)
		r.instances[leader].signal(syscall.SIGKILL)
		<-r.instances[leader].exited
		survivor := without([]string{"n1", "n2", "n3"}, leader)[0]
		var o sharedconfig.Outcome
		var err error
		require.Eventually(t, func() bool {
			o, err = r.instances[survivor].client().Put(configPut(fmt.Sprint("round", round), version, int(version)+1))
			return !errors.Is(err, admin.ErrUnreachable) && o.Status != sharedconfig.StatusUnknown
		}, 20*time.Second, 20*time.Millisecond)
		require.NoError(t, err)
		require.Equal(t, sharedconfig.StatusDone, o.Status, o.Reason)
		load.versionReplaced(version)
		version++
		r.waitUntilServing(version, followers...)
		r.instances[leader].start("")
		r.waitUntilServing(version, all...)
	}
	// A follower rejects a change and names the voters; the version that it serves can be read from it.
	f1 := r.instances["f1"].client()
	o, err := f1.Put(configPut("elsewhere", version, 99))
	require.NoError(t, err)
	assert.Equal(t, sharedconfig.StatusRejected, o.Status)
	assert.Contains(t, o.Reason, r.instances["n2"].peerProxy.Addr())
	v, err := f1.Show(0, true)
	require.NoError(t, err)
	assert.Equal(t, version, v.Number)
	// All members publish the same facts: one version and one list of stores.
	require.Eventually(t, func() bool {
		values := map[string]int{}
		for _, m := range r.instances["f2"].members().Members {
			for _, f := range m.Facts {
				values[f.Name+" "+f.Value]++
			}
		}
		return len(values) == 2 && values[fmt.Sprint(membership.DocumentVersionFact.Name, " ", version)] == len(all)
	}, 20*time.Second, 50*time.Millisecond)
	sum := load.stop()
	assert.Empty(t, sum.violations)
	t.Logf("%d queries to followers, %d rejected, through three leader kills", sum.sent, sum.rejected)
}
