package processtest

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/httpwire"
	"alderproxy/internal/testserver"
)

// callTimes keeps when calls came to a store.
type callTimes struct {
	mu sync.Mutex
	at []time.Time
}

func recordCalls(s *testserver.Store) *callTimes {
	a := &callTimes{}
	go func() {
		for p := range s.Parts {
			if p[0] == '1' {
				a.mu.Lock()
				a.at = append(a.at, time.Now())
				a.mu.Unlock()
			}
		}
	}()
	return a
}

func (a *callTimes) between(from, to time.Time) (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range a.at {
		if t.After(from) && t.Before(to) {
			n++
		}
	}
	return n
}

// The rule, checked at the store: no call reaches one later than the grace (and the protocol's 50 ms) after discovery
// told that it drains. Processes of a large fleet serve queries while discovery fails in each of its ways, one of them
// killed and started again with an old list, another stopped through the drain with its clients' queries waiting, and a
// store begins to drain right at discovery's return.
func TestNoProcessCallsALeavingStoreHoweverDiscoveryFailed(t *testing.T) {
	const processes, grace = 4, 550 * time.Millisecond
	leaving, other := testserver.NewFrameStore(t), testserver.NewFrameStore(t)
	came := recordCalls(leaving)
	recordCalls(other)
	in, out := testserver.Entry("s-1", leaving, "in_service"), testserver.Entry("s-1", leaving, "terminating")
	d := testserver.NewDiscovery(t, in, testserver.Entry("s-2", other, "in_service"))
	config := func() string {
		known := fmt.Sprintf(`,"known":{"version":1,"full":true,"servers":[%s,%s]}`, in, testserver.Entry("s-2", other, "in_service"))
		return strings.Replace(strings.TrimSuffix(platformConfig(d), "}")+known+"}", `"fleet_size":1`, `"fleet_size":300`, 1)
	}
	var served, odd atomic.Int64
	var id atomic.Int64
	var clients sync.WaitGroup
	stop := make(chan struct{})
	defer clients.Wait()
	defer close(stop)
	query := func(cl *testserver.Client) {
		defer clients.Done()
		for {
			select {
			case <-stop:
				return
			default:
			}
			cl.SetDeadline(time.Now().Add(10 * time.Second))
			if _, err := cl.Write(lookupRequest(fmt.Sprint("q", id.Add(1)))); err != nil {
				return // its process was killed
			}
			resp, err := httpwire.ReadResponse(cl.R)
			if err != nil {
				return
			}
			if served.Add(1); resp.Status != 200 {
				odd.Add(1)
			}
			time.Sleep(2 * time.Millisecond)
		}
	}
	type process struct {
		kill   func()
		signal func(syscall.Signal)
	}
	begin := func() process {
		c, _, cl, lines := startProcess(t, config())
		go discardLog(lines)
		for range 8 {
			clients.Add(1)
			more := testserver.Dial(t, cl.RemoteAddr().String())
			go query(more)
		}
		return process{func() { c.Process.Signal(syscall.SIGKILL); c.Wait() }, func(s syscall.Signal) { c.Process.Signal(s) }}
	}
	all := make([]process, processes)
	for i := range all {
		all[i] = begin()
	}
	calls := func(n int) {
		for len(d.Targets) > 0 {
			<-d.Targets
		}
		for range n {
			select {
			case <-d.Targets:
			case <-time.After(10 * time.Second):
				require.Fail(t, "discovery is not asked")
			}
		}
	}
	for _, c := range []struct {
		name string
		fail func()
	}{
		{"no fault", func() {}},
		{"silent for a while", func() { d.Silence(true); calls(6 * processes); d.Silence(false) }},
		{"open watches fall silent", d.Mute},
		{"watches are reset", d.Reset},
		{"down and back", func() { d.Down(); require.NoError(t, d.Up()) }},
		{"a process starts anew", func() { all[0].kill(); all[0] = begin() }},
		{"stopped, and woken late", func() { all[1].signal(syscall.SIGSTOP) }},
		{"killed, and discovery too", func() { d.Silence(true); calls(processes); all[0].kill(); d.Silence(false) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			before := came.between(time.Time{}, time.Now())
			require.Eventually(t, func() bool { return came.between(time.Time{}, time.Now()) > before+20 }, 10*time.Second, time.Millisecond,
				"the store is in use")
			c.fail()
			d.Tell(true, out, testserver.Entry("s-2", other, "in_service"))
			told := time.Now()
			if strings.HasPrefix(c.name, "killed") { // what the agent has counts from a new process's first moment
				all[0] = begin()
			}
			since := served.Load()
			time.Sleep(time.Until(told.Add(2 * grace))) // the rule is about time
			if strings.HasPrefix(c.name, "stopped") {   // what its clients sent meanwhile waits for it
				all[1].signal(syscall.SIGCONT)
				time.Sleep(grace)
			}
			require.Greater(t, served.Load(), since, "queries went on")
			assert.Zero(t, came.between(told.Add(grace), time.Now()), "calls reached the leaving store")
			d.Tell(true, in, testserver.Entry("s-2", other, "in_service"))
		})
	}
	t.Logf("%d queries answered, %d of them not served", served.Load(), odd.Load())
	// One that stood still finds its calls late, and in a large fleet lets few of their class in for some seconds.
	assert.Less(t, odd.Load(), served.Load()/5, "queries suffered")
}
