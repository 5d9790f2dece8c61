package processtest

import (
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/gossip"
	"alderproxy/internal/faultnet"
	"alderproxy/sharedconfig"
)

func (i *instance) members() gossip.Status {
	s, err := i.client().Members(0)
	require.NoError(i.cluster.t, err, "%s: %s", i.name, i.logged())
	return s
}

func (i *instance) member(name string) gossip.Member {
	all := i.members().Members
	k := slices.IndexFunc(all, func(m gossip.Member) bool { return m.Name == name })
	if k < 0 {
		return gossip.Member{State: "unknown"}
	}
	return all[k]
}

// presentMembers returns the names of the members that an instance considers present, which are alive or suspected.
func (i *instance) presentMembers() (all []string) {
	for _, m := range i.members().Members {
		if m.State == "alive" || m.State == "suspect" {
			all = append(all, m.Name)
		}
	}
	return all
}

// waitForView waits until each of the named instances considers exactly the named ones present, and returns the time it took.
func (r *cluster) waitForView(names []string, within time.Duration) time.Duration {
	began := time.Now()
	slices.Sort(names)
	for _, name := range names {
		i := r.instances[name]
		require.Eventually(r.t, func() bool { return slices.Equal(i.presentMembers(), names) }, within, 20*time.Millisecond, "%s considers %v present, not %v: %s",
			name, i.presentMembers(), names, i.logged())
	}
	return time.Since(began)
}

// waitUntilReachable waits until the observer reports that it reaches each of the others directly.
func (r *cluster) waitUntilReachable(observer string, others ...string) {
	for _, name := range others {
		require.Eventually(r.t, func() bool { return r.instances[observer].member(name).Reachability == "reachable" },
			20*time.Second, 50*time.Millisecond, "%s does not reach %s", observer, name)
	}
}

// loggedDeaths returns the lines of all instances' logs that report a member as dead.
func (r *cluster) loggedDeaths() (all []string) {
	for _, i := range r.instances {
		for line := range strings.Lines(i.logged()) {
			if strings.Contains(line, "membership changed") && strings.Contains(line, "what=dead") {
				all = append(all, line)
			}
		}
	}
	return all
}

// Guards against members that are declared dead although they are only slow. Nine processes run with a fifth of the default
// gossip period. A member that is slow, or whose datagrams are lost or cut off in one direction, is not declared dead. A
// killed one is declared dead by all, and each death is logged by one member.
func TestMembershipDistinguishesSlowFromDead(t *testing.T) {
	t.Parallel()
	r := startClusterWithFollowers(t, 4*time.Second, "", true, 6)
	all := r.instanceNames()
	r.waitForView(all, 20*time.Second)
	for _, name := range all { // each uses a ninth of the stores' capacity, though no configuration file has the number of instances
		i := r.instances[name]
		require.Eventually(t, func() bool { return strings.Contains(i.logged(), "fleet=9") }, 10*time.Second, 20*time.Millisecond, i.logged())
	}
	load := r.startLoad("n2", "f1", "f6")
	digest := r.instances["n1"].members().Digest
	for _, name := range all {
		assert.Equal(t, digest, r.instances[name].members().Digest)
	}

	// 30 % of all datagrams are lost, some are duplicated and some delayed. In addition a process is suspended for 1 s, a
	// fifth of the 5 s that are allowed.
	r.faults.SetDefault(faultnet.Rule{LossPercent: 30, DuplicatePercent: 10, MaxDelay: 100 * time.Millisecond})
	r.instances["f4"].signal(syscall.SIGSTOP)
	time.Sleep(time.Second) // the suspension
	r.instances["f4"].signal(syscall.SIGCONT)
	time.Sleep(4 * time.Second) // no event to wait for: nothing must happen
	r.faults.Clear()
	r.waitForView(all, 10*time.Second)
	assert.Empty(t, r.loggedDeaths())

	// f3 receives nothing from f2, which receives f3's messages: both stay members, and f3 reports f2 as one-way. First, each
	// member's reachability must recover from the loss above, which takes until the next probe of that member.
	for _, name := range all {
		r.waitUntilReachable(name, without(all, name)...)
	}
	r.faults.Set("f2", "f3", faultnet.Rule{Cut: true})
	require.Eventually(t, func() bool { return r.instances["f3"].member("f2").Reachability == "one-way" }, 20*time.Second, 50*time.Millisecond)
	r.waitForView(all, 10*time.Second)
	r.waitUntilReachable("f1", "f2")
	r.faults.Clear()
	r.waitUntilReachable("f3", "f2")
	assert.Empty(t, r.loggedDeaths())

	// A killed member is declared dead by all, and its death is logged once.
	r.instances["f5"].signal(syscall.SIGKILL)
	<-r.instances["f5"].exited
	took := r.waitForView(without(all, "f5"), 20*time.Second)
	t.Logf("a killed process is removed from all views after %v, with a fifth of the default period", took)
	require.Eventually(t, func() bool { return len(r.loggedDeaths()) > 0 }, 5*time.Second, 20*time.Millisecond)
	assert.Len(t, r.loggedDeaths(), 1, "each death is logged by one member")
	for _, extension := range []string{"folder", "ini"} { // it starts again, with an empty data directory
		require.NoError(t, os.RemoveAll(r.instances["f5"].path(extension)))
	}
	r.instances["f5"].writeConfig()
	r.instances["f5"].start("")
	r.waitForView(all, 20*time.Second)

	// A graceful shutdown is announced at once, before the process has exited.
	r.instances["f3"].signal(syscall.SIGTERM)
	require.Eventually(t, func() bool { return r.instances["n1"].member("f3").State == "left" }, 2*time.Second, 10*time.Millisecond)
	r.waitForView(without(all, "f3"), 5*time.Second)
	<-r.instances["f3"].exited
	assert.Equal(t, 0, r.instances["f3"].cmd.ProcessState.ExitCode(), r.instances["f3"].logged())
	assert.Len(t, r.loggedDeaths(), 1)

	sum := load.stop()
	assert.Empty(t, sum.violations)
	t.Logf("%d queries meanwhile, %d rejected: the loss also affected the frames between voters", sum.sent, sum.rejected)
}

// Guards against members that declare others dead after a suspension, and against fleets that stay split after a partition.
// A member is suspended for a long time; then a partition leaves the leader on the smaller side. The larger side goes on, the
// smaller side stops serving, and both merge afterwards.
func TestMembershipThroughSuspensionsAndPartitions(t *testing.T) {
	t.Parallel()
	r := startClusterWithFollowers(t, 4*time.Second, "", true, 5)
	all := r.instanceNames()
	r.transferLeadershipToN1()
	r.waitForView(all, 20*time.Second)
	load := r.startLoad("n2", "n3", "f1")
	for _, suspension := range []time.Duration{5 * time.Second, 20 * time.Second} { // 25 and 100 s at the default period, long enough to be declared dead
		f2 := r.instances["f2"]
		f2.signal(syscall.SIGSTOP)
		until := time.Now().Add(suspension)
		r.waitForView(without(all, "f2"), suspension)
		time.Sleep(time.Until(until)) // the suspension
		f2.signal(syscall.SIGCONT)
		r.waitForView(all, 20*time.Second)
		assert.Contains(t, f2.logged(), "this process was paused")
		for _, line := range r.loggedDeaths() {
			assert.Contains(t, line, "[f2]", "a suspended member must not declare others dead")
		}
	}

	smallerSide, largerSide := []string{"n1", "f3", "f4"}, []string{"n2", "n3", "f1", "f2", "f5"}
	for _, name := range smallerSide {
		r.faults.Isolate(name, largerSide...)
	}
	client := r.instances["n2"].client()
	require.Eventually(t, func() bool { // the larger side elects another leader
		s, err := client.Status()
		return err == nil && s.Leader != "" && s.Leader != "n1"
	}, 20*time.Second, 50*time.Millisecond)
	o, err := client.Put(configPut("split", 1, 2))
	require.NoError(t, err)
	require.Equal(t, sharedconfig.StatusDone, o.Status, o.Reason)
	load.versionReplaced(1)
	r.waitForView(largerSide, 30*time.Second)
	// The smaller side stops serving within the staleness bound: its version may have been replaced.
	for _, name := range smallerSide {
		require.Eventually(t, func() bool { s, _, err := r.instances[name].search(); return err == nil && s == 503 }, 2*r.stalenessBound, 50*time.Millisecond, name)
	}
	r.faults.Clear()
	r.waitForView(all, 30*time.Second)
	r.waitUntilServing(2, all...)
	sum := load.stop()
	assert.Empty(t, sum.violations)
	t.Logf("%d queries, %d rejected", sum.sent, sum.rejected)
}
