package processtest

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/admin"
	"alderproxy/sharedconfig"
)

// Guards against a change that is made on some instances only, or twice. The leader is killed at each step of a change, also
// between its two log entries, so that its client may get no answer. Afterwards all instances have the new version or all
// have the old one, and a retry of the same request makes the change exactly once.
func TestLeaderKilledAtEachStepOfAChange(t *testing.T) {
	for _, step := range []string{"propose", "proposed", "check", "decide", "decided"} {
		t.Run(step, func(t *testing.T) {
			t.Parallel()
			r := startCluster(t, 2*time.Second, step)
			r.transferLeadershipToN1()
			n1, n2 := r.instances["n1"], r.instances["n2"]
			o, err := n1.client().Put(configPut("change", 1, 2))
			if err == nil { // the leader may have answered right before it was killed
				require.Equal(t, "decided", step)
				require.Equal(t, sharedconfig.Outcome{RequestID: "change", Status: sharedconfig.StatusDone, Version: 2}, o)
			} else {
				require.ErrorIs(t, err, admin.ErrUnreachable)
			}
			<-n1.exited
			n1.start("")
			var versions [3]uint64
			require.Eventually(t, func() bool { // the survivors and the restarted instance agree on the outcome
				for k, name := range []string{"n1", "n2", "n3"} {
					s, err := r.instances[name].client().Status()
					if err != nil || s.PendingRequestID != "" || s.Leader == "" || s.NotCoveredReason != "" {
						return false
					}
					versions[k] = s.ServedVersion
				}
				return versions[0] == versions[1] && versions[1] == versions[2]
			}, 20*time.Second, 20*time.Millisecond)
			if step == "decided" {
				assert.Equal(t, uint64(2), versions[0])
			}
			o, err = n2.client().Put(configPut("change", 1, 2))
			require.NoError(t, err)
			assert.Equal(t, sharedconfig.Outcome{RequestID: "change", Status: sharedconfig.StatusDone, Version: 2}, o)
			r.waitUntilServing(2, "n1", "n2", "n3")
			for _, name := range []string{"n1", "n2", "n3"} {
				all, err := r.instances[name].client().History(false)
				require.NoError(t, err)
				assert.Len(t, all, 2, "the change is not in the history exactly once")
			}
			o, err = n2.client().Put(configPut("other", 1, 3))
			require.NoError(t, err)
			assert.Equal(t, sharedconfig.StatusConflict, o.Status)
		})
	}
}

// Guards against a resumed process that serves a replaced version. A process is suspended for 20 s while the version that it
// serves is replaced. After it resumes, not even the first query in its accept queue may be served by the old version.
func TestResumedInstanceServesNoReplacedVersion(t *testing.T) {
	t.Parallel()
	r := startCluster(t, time.Second, "")
	r.transferLeadershipToN1()
	for _, name := range []string{"n3", "n1"} { // a voter that does not lead, then the leader
		i := r.instances[name]
		i.signal(syscall.SIGSTOP)
		s, err := r.instances["n2"].client().Show(0, false)
		if name == "n1" { // the others elect another leader first
			require.Eventually(t, func() bool { s, err = r.instances["n2"].client().Show(0, false); return err == nil }, 20*time.Second, 50*time.Millisecond)
		}
		require.NoError(t, err)
		o, err := r.instances["n2"].client().Put(configPut("while "+name, s.Number, 10+int(s.Number)))
		require.NoError(t, err)
		require.Equal(t, sharedconfig.StatusDone, o.Status, o.Reason)
		var waiting []*bufio.Reader
		for range 5 { // the kernel accepts these while the process is suspended
			c, err := new(net.Dialer).DialContext(t.Context(), "tcp", i.searchAddr)
			require.NoError(t, err)
			defer c.Close()
			c.SetDeadline(time.Now().Add(40 * time.Second))
			_, err = c.Write(searchRequest())
			require.NoError(t, err)
			waiting = append(waiting, bufio.NewReader(c))
		}
		time.Sleep(20 * time.Second) // the length of the suspension, not a wait for an event
		i.signal(syscall.SIGCONT)
		for _, w := range waiting {
			status, version, err := readAnswer(w)
			require.NoError(t, err)
			assert.True(t, status == 503 && version == "" || status == 200 && version == fmt.Sprint(o.Version), "%s answered with status %d and version %s", name, status, version)
		}
		r.waitUntilServing(o.Version, "n1", "n2", "n3")
	}
}

// Concurrent changes of one version through different instances: exactly one of them is made.
func TestConcurrentChangesOfOneVersion(t *testing.T) {
	t.Parallel()
	r := startCluster(t, 2*time.Second, "")
	for round := range uint64(5) {
		results := make(chan sharedconfig.Outcome, 3)
		for k, name := range []string{"n1", "n2", "n3"} {
			go func() {
				o, err := r.instances[name].client().Put(configPut(fmt.Sprint(round, name), round+1, 100*int(round)+k+2))
				if err != nil {
					o.Reason = err.Error()
				}
				results <- o
			}()
		}
		count := map[sharedconfig.Status]int{}
		for range 3 {
			count[(<-results).Status]++
		}
		assert.Equal(t, map[sharedconfig.Status]int{sharedconfig.StatusDone: 1, sharedconfig.StatusConflict: 2}, count)
	}
	r.waitUntilServing(6, "n1", "n2", "n3")
	for reason, text := range map[string]string{ // a document that one front cannot serve is activated on no instance
		"index catalogue: no store here holds slice 1":            strings.Replace(fmt.Sprintf(documentTemplate, 1), "slices = 2", "slices = 2\ncells = 2", 1),
		"differs from the effect in the platform's configuration": "[class lookup]\naim = 1s\ngive_up = 2s\neffect = keyed\nwindow = 3s\n",
		"index catalogue.slices: 1 is not below 1":                strings.Replace(fmt.Sprintf(documentTemplate, 1), "slices = 2", "slices = 1", 1),
		"settings: Classes is empty":                              "[layout]\nslices = 2\n",
	} {
		o, err := r.instances["n3"].client().Put(admin.ConfigChange{Request: reason, Expect: 6, Text: text, Author: "test"})
		if err == nil {
			assert.Equal(t, sharedconfig.StatusRejected, o.Status)
			assert.NotEmpty(t, o.RejectedBy)
			err = errors.New(o.Reason)
		}
		require.ErrorContains(t, err, reason)
	}
	r.waitUntilServing(6, "n1", "n2", "n3")
}

// Guards against queries that are lost, rejected or answered by an older version during changes. The configuration changes
// eight times while queries run on both fronts, and the leader is killed during one of the changes. Each query gets exactly
// one final answer, none is rejected, and the versions in the answers never decrease.
func TestChangesUnderQueryLoadWithTheLeaderKilled(t *testing.T) {
	t.Parallel()
	r := startCluster(t, 4*time.Second, "")
	r.transferLeadershipToN1()
	load := r.startLoad("n2", "n3")
	client := r.instances["n2"].client()
	for v := uint64(1); v <= 8; v++ {
		if v == 4 {
			go func() { time.Sleep(3 * time.Millisecond); _ = r.instances["n1"].cmd.Process.Kill() }()
		}
		var o sharedconfig.Outcome
		var err error
		require.Eventually(t, func() bool {
			o, err = client.Put(configPut(fmt.Sprint("c", v), v, int(v)+1))
			return !errors.Is(err, admin.ErrUnreachable) && o.Status != sharedconfig.StatusUnknown
		}, 20*time.Second, 10*time.Millisecond)
		require.Equal(t, sharedconfig.StatusDone, o.Status, "%s %v", o.Reason, err)
	}
	r.waitUntilServing(9, "n2", "n3")
	sum := load.stop()
	assert.Empty(t, sum.violations)
	assert.Zero(t, sum.rejected, "queries were rejected although a majority was available")
	assert.Greater(t, sum.sent, 200)
}
