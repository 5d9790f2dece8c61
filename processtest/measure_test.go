//go:build measure

package processtest

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy"
	"alderproxy/config"
	"alderproxy/document"
	"alderproxy/internal/testserver"
	"alderproxy/raftnode"
	"alderproxy/sharedconfig"
)

func quantiles(t *testing.T, all []time.Duration) (median, p99, longest time.Duration) {
	t.Helper()
	require.NotEmpty(t, all)
	slices.Sort(all)
	return all[len(all)/2], all[len(all)*99/100], all[len(all)-1]
}

// pollUntil polls a condition every 200 us, for at most 30 s.
func pollUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for began := time.Now(); !condition(); time.Sleep(200 * time.Microsecond) {
		require.Less(t, time.Since(began), 30*time.Second)
	}
}

func (r *cluster) allServe(version uint64, names ...string) bool {
	for _, name := range names {
		s, err := r.instances[name].client().Status()
		if err != nil || s.ServedVersion < version {
			return false
		}
	}
	return true
}

// Measures the time from a put until it is done, and until its version is active at all three processes.
func TestMeasurePutToActive(t *testing.T) {
	r := startCluster(t, 5*time.Second, "")
	r.transferLeadershipToN1()
	var done, active []time.Duration
	for v := uint64(1); v <= 200; v++ {
		began := time.Now()
		o, err := r.instances["n2"].client().Put(configPut(fmt.Sprint(v), v, int(v)+1))
		require.NoError(t, err)
		require.Equal(t, sharedconfig.StatusDone, o.Status, o.Reason)
		done = append(done, time.Since(began))
		pollUntil(t, func() bool { return r.allServe(v+1, "n1", "n2", "n3") })
		active = append(active, time.Since(began))
	}
	for event, all := range map[string][]time.Duration{"done": done, "active at all three": active} {
		median, p99, longest := quantiles(t, all)
		t.Logf("put to %s: median %v, p99 %v, longest %v (%d changes)", event, median, p99, longest, len(all))
	}
}

// Measures the time without a leader after the leader is killed, and counts the queries that are not served meanwhile.
func TestMeasureLeaderKilled(t *testing.T) {
	r := startCluster(t, 5*time.Second, "")
	var elections, puts []time.Duration
	var queries, unserved atomic.Int64
	for round := range 20 {
		var leader string
		pollUntil(t, func() bool {
			s, err := r.instances["n2"].client().Status()
			leader = s.Leader
			return err == nil && leader != "" && s.NotCoveredReason == ""
		})
		var others []string
		for _, name := range []string{"n1", "n2", "n3"} {
			if name != leader {
				others = append(others, name)
			}
		}
		var stop atomic.Bool
		var wg sync.WaitGroup
		for _, name := range others {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for n := 0; !stop.Load(); n++ {
					status, _, err := r.instances[name].search()
					if queries.Add(1); status != 200 || err != nil {
						unserved.Add(1)
					}
				}
			}()
		}
		time.Sleep(200 * time.Millisecond)
		began := time.Now()
		r.instances[leader].signal(syscall.SIGKILL)
		pollUntil(t, func() bool {
			s, err := r.instances[others[0]].client().Status()
			return err == nil && s.Leader != "" && s.Leader != leader
		})
		elections = append(elections, time.Since(began))
		v, err := r.instances[others[0]].client().Show(0, false)
		require.NoError(t, err)
		o, err := r.instances[others[0]].client().Put(configPut(fmt.Sprint("after ", round), v.Number, round+1000))
		require.NoError(t, err)
		require.Equal(t, sharedconfig.StatusDone, o.Status, o.Reason)
		puts = append(puts, time.Since(began))
		stop.Store(true)
		wg.Wait()
		<-r.instances[leader].exited
		r.instances[leader].start("")
		r.waitUntilServing(o.Version, "n1", "n2", "n3")
	}
	for event, all := range map[string][]time.Duration{"a new leader is known": elections, "a change is done": puts} {
		median, _, longest := quantiles(t, all)
		t.Logf("from SIGKILL until %s: median %v, longest %v (%d kills, election timeouts half the default)", event, median, longest, len(all))
	}
	t.Logf("queries at the other two meanwhile: %d, not served: %d", queries.Load(), unserved.Load())
}

// Measures the throughput and tail latency of the OpenSearch front, in alternating runs of ten seconds: without changes and
// with ten changes.
func TestMeasureFrontDuringChanges(t *testing.T) {
	r := startCluster(t, 5*time.Second, "")
	r.transferLeadershipToN1()
	load := func(changes bool) *hdrhistogram.Histogram {
		var mu sync.Mutex
		latencies := hdrhistogram.New(1, 10_000_000, 3)
		var wg sync.WaitGroup
		end := time.Now().Add(10 * time.Second)
		for range 8 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				clientLatencies := hdrhistogram.New(1, 10_000_000, 3)
				c, err := new(net.Dialer).DialContext(t.Context(), "tcp", r.instances["n2"].searchAddr)
				if !assert.NoError(t, err) {
					return
				}
				defer c.Close()
				c.SetDeadline(end.Add(10 * time.Second))
				for in := bufio.NewReader(c); time.Now().Before(end); {
					began := time.Now()
					_, _ = c.Write(searchRequest()) // a failed write makes the read fail
					status, _, err := readAnswer(in)
					if !assert.NoError(t, err) || !assert.Equal(t, 200, status) {
						return
					}
					assert.NoError(t, clientLatencies.RecordValue(time.Since(began).Microseconds()))
				}
				mu.Lock()
				defer mu.Unlock()
				latencies.Merge(clientLatencies)
			}()
		}
		for k := 0; changes && k < 10; k++ {
			time.Sleep(950 * time.Millisecond)
			v, err := r.instances["n3"].client().Show(0, false)
			require.NoError(t, err)
			o, err := r.instances["n3"].client().Put(configPut(fmt.Sprint("load ", v.Number), v.Number, int(v.Number)+1))
			require.NoError(t, err)
			require.Equal(t, sharedconfig.StatusDone, o.Status, o.Reason)
		}
		wg.Wait()
		return latencies
	}
	load(false) // warm-up
	for round := range 3 {
		for _, changes := range []bool{false, true} {
			h := load(changes)
			t.Logf("round %d, ten changes %v: %d queries/s, p50 %d us, p99 %d us, p99.9 %d us, longest %d us", round, changes, h.TotalCount()/10,
				h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.ValueAtQuantile(99.9), h.Max())
		}
	}
}

// Measures the size of the data directory and the time to start with 1,000 versions, with a compacted log and without.
func TestMeasureThousandVersions(t *testing.T) {
	quiet := logrus.New()
	quiet.SetLevel(logrus.ErrorLevel)
	for _, after := range []int{100_000, 200} {
		dataDirectory := t.TempDir()
		text := fmt.Sprintf("[instance]\nid = n1\nfolder = %s\nadmin = 127.0.0.1:0\n[agreement]\nlisten = 127.0.0.1:0\nspeed = 4\nsnapshot_after = %d\n",
			dataDirectory, after)
		c, err := config.Parse("lone.ini", text)
		require.NoError(t, err)
		first := fmt.Sprintf(documentTemplate, 1)
		_, err = alderproxy.Init(c, first, "test")
		require.NoError(t, err)
		open := func() *raftnode.Node {
			l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
			require.NoError(t, err)
			n, err := raftnode.StartNode(raftnode.Config{
				Name: "n1", DataDirectory: dataDirectory, Listener: l, Address: l.Addr().String(), StalenessBound: 5 * time.Second, RaftSpeedup: 4,
				SnapshotThreshold: after, Log: quiet.WithField("measure", true),
				CheckDocument: func(string) error { return nil }, ActivateVersion: func(sharedconfig.Version) error { return nil },
			})
			require.NoError(t, err)
			return n
		}
		n := open()
		for v := uint64(1); v < 1000; v++ {
			text := fmt.Sprintf(documentTemplate, v+1)
			o := n.Execute(raftnode.Command{Change: &sharedconfig.Change{RequestID: fmt.Sprint(v), ExpectedVersion: v, Text: text, Digest: document.Digest(text)}}, 10*time.Second)
			require.Equal(t, sharedconfig.StatusDone, o.Status, o.Reason)
		}
		time.Sleep(5 * time.Second) // Raft checks every 2 to 4 s whether to compact its log
		require.NoError(t, n.Close())
		var size int64
		require.NoError(t, filepath.Walk(dataDirectory, func(_ string, f os.FileInfo, err error) error {
			if err == nil {
				size += f.Size()
			}
			return err
		}))
		began := time.Now()
		n = open()
		opened := time.Since(began)
		pollUntil(t, func() bool {
			ok, _ := n.AllowsQueries(n.ServedVersion())
			return ok && n.State().Active().Number == 1000
		})
		st := n.Status()
		t.Logf("1,000 versions, snapshot_after %d: folder %d KiB, log entries %d to %d, opened in %v, serving version %d after %v", after, size>>10,
			st.FirstLogIndex, st.LastLogIndex, opened, n.ServedVersion(), time.Since(began))
		require.NoError(t, n.Close())
	}
}

// Measures ten processes with a fifth of the default gossip period, under queries. One is killed repeatedly: measured are the
// times until one, half and all of the others consider it dead, and the datagrams that each sends meanwhile. Then leaders are
// killed: measured is the time until all followers serve the next version, and none may serve a replaced one beyond the
// staleness bound.
func TestMeasureFleetOfProcesses(t *testing.T) {
	r := startClusterWithFollowers(t, 3*time.Second, "", true, 7)
	all := r.instanceNames()
	r.waitForView(all, 30*time.Second)
	load := r.startLoad("n1", "f1")
	r.measureDeathDetection(all, without(all, "f7"))
	sum := load.stop()
	require.Empty(t, sum.violations)
	t.Logf("%d queries meanwhile, %d rejected", sum.sent, sum.rejected)

	followers := without(all, "n1", "n2", "n3")
	load = r.startLoad(followers...)
	version := uint64(1)
	for round := range 6 {
		elapsed := r.measureLeaderKill(load, round, version, followers)
		version++
		t.Logf("leader kill %d: all seven followers serve version %d after %v", round+1, version, elapsed)
		r.waitUntilServing(version, all...)
	}
	sum = load.stop()
	require.Empty(t, sum.violations, "a replaced version was served beyond the staleness bound of 3 s")
	t.Logf("%d queries to followers, %d rejected", sum.sent, sum.rejected)
}

// detectionTimes are the times from SIGKILL until the first, half and all of the other members consider the killed one dead.
type detectionTimes struct{ first, half, all []time.Duration }

// measureDeathDetection kills f7 fifteen times, and logs how soon the others consider it dead and what they send.
func (r *cluster) measureDeathDetection(all, others []string) {
	datagrams, bytes := r.sent(others)
	started := time.Now()
	var times detectionTimes
	for range 15 {
		victim := r.instances["f7"]
		victim.signal(syscall.SIGKILL)
		began := time.Now()
		<-victim.exited
		r.awaitDeath("f7", others, began, &times)
		victim.start("")
		r.waitForView(all, 30*time.Second)
	}
	datagramsAfter, bytesAfter := r.sent(others)
	memberSeconds := time.Since(started).Seconds() * float64(len(others))
	for observers, took := range map[string][]time.Duration{"one": times.first, "half": times.half, "all": times.all} {
		median, p99, longest := quantiles(r.t, took)
		r.t.Logf("from SIGKILL until %s of nine consider it dead: median %v, p99 %v, longest %v; 5 times as long at the default period", observers, median, p99, longest)
	}
	r.t.Logf("%.1f datagrams and %.0f bytes per member and second at a period of 200 ms; %d deaths logged for 15 kills",
		float64(datagramsAfter-datagrams)/memberSeconds, float64(bytesAfter-bytes)/memberSeconds, len(r.loggedDeaths()))
}

// sent returns the numbers of datagrams and bytes that the named members have sent.
func (r *cluster) sent(names []string) (datagrams, bytes uint64) {
	for _, name := range names {
		counts := r.instances[name].members().Datagrams
		datagrams += counts.Sent
		bytes += counts.SentBytes
	}
	return datagrams, bytes
}

// awaitDeath waits until all the others consider a member dead, and records how long the first, half and all of them took.
func (r *cluster) awaitDeath(victim string, others []string, began time.Time, times *detectionTimes) {
	for known := 0; known < len(others); time.Sleep(5 * time.Millisecond) {
		known = 0
		for _, name := range others {
			if r.instances[name].member(victim).State == "dead" {
				known++
			}
		}
		took := time.Since(began)
		require.Less(r.t, took, 30*time.Second)
		if known >= 1 && len(times.first) == len(times.all) {
			times.first = append(times.first, took)
		}
		if 2*known >= len(others) && len(times.half) == len(times.all) {
			times.half = append(times.half, took)
		}
	}
	times.all = append(times.all, time.Since(began))
}

// measureLeaderKill kills the leader, changes the configuration, and returns the time from the change until all followers
// served the new version. It restarts the killed instance.
func (r *cluster) measureLeaderKill(load *queryLoad, round int, version uint64, followers []string) time.Duration {
	voters := []string{"n1", "n2", "n3"}
	leader := ""
	pollUntil(r.t, func() bool {
		s, err := r.instances["f1"].client().Status()
		return err == nil && s.LeaseRemainingMillis > 0
	})
	pollUntil(r.t, func() bool {
		for _, name := range voters {
			if s, err := r.instances[name].client().Status(); err == nil && s.Leader != "" {
				leader = s.Leader
			}
		}
		return leader != ""
	})
	r.instances[leader].signal(syscall.SIGKILL)
	<-r.instances[leader].exited
	survivor := r.instances[without(voters, leader)[0]]
	pollUntil(r.t, func() bool {
		o, _ := survivor.client().Put(configPut(fmt.Sprint("round", round), version, int(version)+1))
		return o.Status == sharedconfig.StatusDone
	})
	load.versionReplaced(version)
	began := time.Now()
	pollUntil(r.t, func() bool { return r.allServe(version+1, followers...) })
	took := time.Since(began)
	r.instances[leader].start("")
	return took
}

// Measures the memory, threads and descriptors of one process by its number of stores, before and after it has called them,
// and the time that it takes to process a full list.
func TestMeasureStores(t *testing.T) {
	for _, stores := range []int{16, 200, 1024} {
		s := testserver.NewFrameStore(t)
		go func() {
			for range s.Requests {
			}
		}()
		d := testserver.NewDiscovery(t)
		var entries []string
		for i := range stores {
			entries = append(entries, testserver.EndpointEntry(fmt.Sprintf("s-%08x", i), s, "in_service"))
		}
		d.Publish(true, entries...)
		// The list is in the configuration, so that its log lines come while startProcess still reads the log.
		c, _, cl, lines := startProcess(t, strings.Replace(platformConfig(d), `"settings"`, fmt.Sprintf(
			`"limits":{"sockets":4096,"memory_mb":192},"known":{"version":1,"full":true,"servers":[%s]},"settings"`, strings.Join(entries, ",")), 1))
		go discardLog(lines)
		resourceUsage := func() string {
			status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.Process.Pid))
			require.NoError(t, err)
			fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.Process.Pid))
			require.NoError(t, err)
			rss := regexp.MustCompile(`VmRSS:\s+(\d+)`).FindSubmatch(status)
			threads := regexp.MustCompile(`Threads:\s+(\d+)`).FindSubmatch(status)
			return fmt.Sprintf("%s KB resident, %s threads, %d descriptors", rss[1], threads[1], len(fds))
		}
		t.Logf("%4d stores, listed only: %s", stores, resourceUsage())
		for i := range 6 * stores {
			sendLookup(cl, fmt.Sprint("q", i))
			require.Equal(t, 200, cl.ReadResponse().Status)
		}
		t.Logf("%4d stores, %d connections: %s", stores, s.Connections(), resourceUsage())
		began := time.Now()
		const lists = 50
		for range lists {
			d.Publish(true, entries...)
			for target := ""; !strings.HasPrefix(target, fmt.Sprintf("/v1/servers?from=%d&", d.Version())); {
				target = <-d.Calls
			}
		}
		t.Logf("%4d stores, full list from its publication to the next call: %v", stores, time.Since(began)/lists)
		require.NoError(t, c.Process.Kill())
		require.Error(t, c.Wait(), "killed")
	}
}
