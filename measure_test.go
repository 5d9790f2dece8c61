//go:build measure

package alderproxy

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
	"github.com/stretchr/testify/require"

	"alderproxy/config"
	"alderproxy/document"
	"alderproxy/internal/testserver"
	"alderproxy/raftnode"
	"alderproxy/sharedconfig"
)

func quantiles(t *testing.T, all []time.Duration) (median, p99, most time.Duration) {
	require.NotEmpty(t, all)
	slices.Sort(all)
	return all[len(all)/2], all[len(all)*99/100], all[len(all)-1]
}

// until polls as fast as it can.
func until(t *testing.T, is func() bool) {
	for began := time.Now(); !is(); time.Sleep(200 * time.Microsecond) {
		require.Less(t, time.Since(began), 30*time.Second)
	}
}

func (r *trio) allServe(version uint64, names ...string) bool {
	for _, name := range names {
		s, err := r.instances[name].client().Status()
		if err != nil || s.Serving < version {
			return false
		}
	}
	return true
}

// From put to done, and to active at all three; real processes.
func TestMeasurePutToActive(t *testing.T) {
	r := newTrio(t, 5*time.Second, "")
	r.leadBy("n1")
	var done, everywhere []time.Duration
	for v := uint64(1); v <= 200; v++ {
		began := time.Now()
		o, err := r.instances["n2"].client().Put(put(fmt.Sprint(v), v, int(v)+1))
		require.NoError(t, err)
		require.Equal(t, sharedconfig.Done, o.Status, o.Why)
		done = append(done, time.Since(began))
		until(t, func() bool { return r.allServe(v+1, "n1", "n2", "n3") })
		everywhere = append(everywhere, time.Since(began))
	}
	for what, all := range map[string][]time.Duration{"done": done, "active at all three": everywhere} {
		median, p99, most := quantiles(t, all)
		t.Logf("put to %s: median %v, p99 %v, longest %v (%d changes)", what, median, p99, most, len(all))
	}
}

// Time without a leader after a kill, and queries that were not served meanwhile.
func TestMeasureLeaderKilled(t *testing.T) {
	r := newTrio(t, 5*time.Second, "")
	var gaps, puts []time.Duration
	var asked, lost atomic.Int64
	for round := range 20 {
		var leader string
		until(t, func() bool {
			s, err := r.instances["n2"].client().Status()
			leader = s.Leader
			return err == nil && leader != "" && s.Why == ""
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
					status, _, err := r.instances[name].ask()
					if asked.Add(1); status != 200 || err != nil {
						lost.Add(1)
					}
				}
			}()
		}
		time.Sleep(200 * time.Millisecond)
		began := time.Now()
		r.instances[leader].signal(syscall.SIGKILL)
		until(t, func() bool {
			s, err := r.instances[others[0]].client().Status()
			return err == nil && s.Leader != "" && s.Leader != leader
		})
		gaps = append(gaps, time.Since(began))
		v, err := r.instances[others[0]].client().Show(0, false)
		require.NoError(t, err)
		o, err := r.instances[others[0]].client().Put(put(fmt.Sprint("after ", round), v.Number, round+1000))
		require.NoError(t, err)
		require.Equal(t, sharedconfig.Done, o.Status, o.Why)
		puts = append(puts, time.Since(began))
		stop.Store(true)
		wg.Wait()
		<-r.instances[leader].ended
		r.instances[leader].start("")
		r.serving(o.Version, "n1", "n2", "n3")
	}
	for what, all := range map[string][]time.Duration{"a new leader is known": gaps, "a change is done": puts} {
		median, _, most := quantiles(t, all)
		t.Logf("from SIGKILL until %s: median %v, longest %v (%d kills, elections in half the usual times)", what, median, most, len(all))
	}
	t.Logf("queries at the other two meanwhile: %d, not served: %d", asked.Load(), lost.Load())
}

// Throughput and tail of the OpenSearch front during ten changes in ten seconds, beside none; in turns.
func TestMeasureFrontDuringChanges(t *testing.T) {
	r := newTrio(t, 5*time.Second, "")
	r.leadBy("n1")
	load := func(changes bool) *hdrhistogram.Histogram {
		var mu sync.Mutex
		sum := hdrhistogram.New(1, 10_000_000, 3)
		var wg sync.WaitGroup
		end := time.Now().Add(10 * time.Second)
		for range 8 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				own := hdrhistogram.New(1, 10_000_000, 3)
				c, err := net.Dial("tcp", r.instances["n2"].search)
				require.NoError(t, err)
				defer c.Close()
				c.SetDeadline(end.Add(10 * time.Second))
				for in := bufio.NewReader(c); time.Now().Before(end); {
					began := time.Now()
					c.Write(searchRequest())
					status, _, err := answered(in)
					require.NoError(t, err)
					require.Equal(t, 200, status)
					own.RecordValue(time.Since(began).Microseconds())
				}
				mu.Lock()
				defer mu.Unlock()
				sum.Merge(own)
			}()
		}
		for k := 0; changes && k < 10; k++ {
			time.Sleep(950 * time.Millisecond)
			v, err := r.instances["n3"].client().Show(0, false)
			require.NoError(t, err)
			o, err := r.instances["n3"].client().Put(put(fmt.Sprint("load ", v.Number), v.Number, int(v.Number)+1))
			require.NoError(t, err)
			require.Equal(t, sharedconfig.Done, o.Status, o.Why)
		}
		wg.Wait()
		return sum
	}
	load(false) // warm
	for round := range 3 {
		for _, changes := range []bool{false, true} {
			h := load(changes)
			t.Logf("round %d, ten changes %v: %d queries/s, p50 %d us, p99 %d us, p99.9 %d us, longest %d us", round, changes, h.TotalCount()/10,
				h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.ValueAtQuantile(99.9), h.Max())
		}
	}
}

// Size of the folder and time to start with 1,000 versions, compacted and not.
func TestMeasureThousandVersions(t *testing.T) {
	for _, after := range []int{100_000, 200} {
		lone := t.TempDir()
		text := fmt.Sprintf("[instance]\nid = n1\nfolder = %s\nadmin = 127.0.0.1:0\n[agreement]\nlisten = 127.0.0.1:0\nspeed = 4\nsnapshot_after = %d\n",
			lone, after)
		c, err := config.Parse("lone.ini", text)
		require.NoError(t, err)
		first := fmt.Sprintf(sharedText, 1)
		_, err = Init(c, first, "test")
		require.NoError(t, err)
		open := func() *raftnode.Node {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			n, err := raftnode.Open(raftnode.Config{
				Name: "n1", DataDirectory: lone, Listener: l, Address: l.Addr().String(), StalenessBound: 5 * time.Second, Speed: 4,
				SnapshotAfter: after, Log: logger(config.Log{Level: "error"}).WithField("measure", true),
				Check: func(string) error { return nil }, Activate: func(sharedconfig.Version) error { return nil },
			})
			require.NoError(t, err)
			return n
		}
		n := open()
		for v := uint64(1); v < 1000; v++ {
			text := fmt.Sprintf(sharedText, v+1)
			o := n.Execute(raftnode.Command{Change: &sharedconfig.Change{Request: fmt.Sprint(v), Expect: v, Text: text, Digest: document.Digest(text)}}, 10*time.Second)
			require.Equal(t, sharedconfig.Done, o.Status, o.Why)
		}
		time.Sleep(5 * time.Second) // Raft looks every two seconds to four whether to compact
		require.NoError(t, n.Close())
		var size int64
		filepath.Walk(lone, func(_ string, f os.FileInfo, _ error) error { size += f.Size(); return nil })
		began := time.Now()
		n = open()
		opened := time.Since(began)
		until(t, func() bool { ok, _ := n.Gate(n.ServedVersion()); return ok && n.State().Active().Number == 1000 })
		st := n.Status()
		t.Logf("1,000 versions, snapshot_after %d: folder %d KiB, log entries %d to %d, opened in %v, serving by version %d after %v", after, size>>10,
			st.LogFirst, st.LogLast, opened, n.ServedVersion(), time.Since(began))
		require.NoError(t, n.Close())
	}
}

// Ten processes, at a fifth of the usual times, one of which is killed again and again under queries: from SIGKILL
// until one, half and all of the others hold it to be gone, and what each sends meanwhile; then leader kills, and how
// long a replaced version was served at any time by those that follow.
func TestMeasureFleetOfProcesses(t *testing.T) {
	r := newFleet(t, 3*time.Second, "", true, 7)
	all := r.names()
	r.agree(all, 30*time.Second)
	load := r.traffic("n1", "f1")
	var one, half, every []time.Duration
	others := without(all, "f7")
	sent := func() (n, bytes uint64) {
		for _, name := range others {
			c := r.instances[name].members().Datagrams
			n, bytes = n+c.Sent, bytes+c.SentBytes
		}
		return n, bytes
	}
	n, bytes := sent()
	started := time.Now()
	for range 15 {
		victim := r.instances["f7"]
		victim.signal(syscall.SIGKILL)
		began, known := time.Now(), 0
		<-victim.ended
		for known < len(others) {
			known = 0
			for _, name := range others {
				if s := r.instances[name].member("f7").State; s == "dead" {
					known++
				}
			}
			took := time.Since(began)
			require.Less(t, took, 30*time.Second)
			if known >= 1 && len(one) == len(every) {
				one = append(one, took)
			}
			if 2*known >= len(others) && len(half) == len(every) {
				half = append(half, took)
			}
			time.Sleep(5 * time.Millisecond)
		}
		every = append(every, time.Since(began))
		victim.start("")
		r.agree(all, 30*time.Second)
	}
	n2, bytes2 := sent()
	span := time.Since(started).Seconds() * float64(len(others))
	for what, took := range map[string][]time.Duration{"one": one, "half": half, "all": every} {
		m, p99, most := quantiles(t, took)
		t.Logf("from SIGKILL until known to %s of nine: median %v, p99 %v, most %v; times 5 at the usual ones", what, m, p99, most)
	}
	t.Logf("%.1f datagrams and %.0f bytes a member and second at a period of 200 ms; %d deaths logged for 15 kills", float64(n2-n)/span, float64(bytes2-bytes)/span, len(r.fell()))
	sum := load.stop()
	require.Empty(t, sum.bad)
	t.Logf("%d queries meanwhile, %d refused", sum.asked, sum.refused)

	follow := without(all, "n1", "n2", "n3")
	load = r.traffic(follow...)
	version := uint64(1)
	for round := range 6 {
		leader := ""
		until(t, func() bool { s, err := r.instances["f1"].client().Status(); return err == nil && s.Lease > 0 })
		until(t, func() bool {
			for _, name := range []string{"n1", "n2", "n3"} {
				if s, err := r.instances[name].client().Status(); err == nil && s.Leader != "" {
					leader = s.Leader
				}
			}
			return leader != ""
		})
		r.instances[leader].signal(syscall.SIGKILL)
		<-r.instances[leader].ended
		asked := without([]string{"n1", "n2", "n3"}, leader)[0]
		o := sharedconfig.Outcome{}
		until(t, func() bool {
			o, _ = r.instances[asked].client().Put(put(fmt.Sprint("round", round), version, int(version)+1))
			return o.Status == sharedconfig.Done
		})
		load.changed(version)
		began := time.Now()
		version++
		until(t, func() bool { return r.allServe(version, follow...) })
		t.Logf("leader kill %d: all seven that follow serve by version %d after %v", round+1, version, time.Since(began))
		r.instances[leader].start("")
		r.serving(version, all...)
	}
	sum = load.stop()
	require.Empty(t, sum.bad, "none may serve a replaced version beyond the bound of 3 s")
	t.Logf("%d queries to those that follow, %d refused", sum.asked, sum.refused)
}

// What one gatherer takes at so many stores: a process that has asked each of them, once idle and once while lists come.
func TestMeasureStores(t *testing.T) {
	for _, stores := range []int{16, 200, 1024} {
		s := testserver.NewFrameStore(t)
		go func() {
			for range s.Parts {
			}
		}()
		d := testserver.NewDiscovery(t)
		var entries []string
		for i := range stores {
			entries = append(entries, testserver.Entry(fmt.Sprintf("s-%08x", i), s, "in_service"))
		}
		d.Tell(true, entries...)
		// The list is known at the start, so that its log lines come before anybody waits for the program.
		c, _, cl, lines := running(t, strings.Replace(settings(d), `"settings"`, fmt.Sprintf(
			`"limits":{"sockets":4096,"memory_mb":192},"known":{"version":1,"full":true,"servers":[%s]},"settings"`, strings.Join(entries, ",")), 1))
		go drainLog(lines)
		listed := func() string {
			status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.Process.Pid))
			require.NoError(t, err)
			fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.Process.Pid))
			require.NoError(t, err)
			rss := regexp.MustCompile(`VmRSS:\s+(\d+)`).FindSubmatch(status)
			threads := regexp.MustCompile(`Threads:\s+(\d+)`).FindSubmatch(status)
			return fmt.Sprintf("%s KB resident, %s threads, %d descriptors", rss[1], threads[1], len(fds))
		}
		t.Logf("%4d stores, just listed: %s", stores, listed())
		for i := range 6 * stores {
			ask(cl, fmt.Sprint("q", i))
			require.Equal(t, 200, cl.Read().Status)
		}
		t.Logf("%4d stores, %d connections: %s", stores, s.Conns(), listed())
		began := time.Now()
		const lists = 50
		for range lists {
			d.Tell(true, entries...)
			for target := ""; !strings.HasPrefix(target, fmt.Sprintf("/v1/servers?from=%d&", d.Version())); {
				target = <-d.Targets
			}
		}
		t.Logf("%4d stores, a whole list from discovery's word to the next call: %v", stores, time.Since(began)/lists)
		require.NoError(t, c.Process.Kill())
		c.Wait()
	}
}
