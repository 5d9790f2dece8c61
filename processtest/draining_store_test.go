package processtest

import (
	"fmt"
	"os/exec"
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

// callTimes records the times at which calls reached a store.
type callTimes struct {
	mu sync.Mutex
	at []time.Time
}

func recordCalls(s *testserver.Store) *callTimes {
	a := &callTimes{}
	go func() {
		for p := range s.Requests {
			if p[0] == '1' {
				a.mu.Lock()
				a.at = append(a.at, time.Now())
				a.mu.Unlock()
			}
		}
	}()
	return a
}

func (a *callTimes) countBetween(from, to time.Time) (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range a.at {
		if t.After(from) && t.Before(to) {
			n++
		}
	}
	return n
}

// lookupClients query processes until they are stopped, and count the answers.
type lookupClients struct {
	t        *testing.T
	stopping chan struct{}
	running  sync.WaitGroup
	nextID   atomic.Int64
	answered atomic.Int64
	unserved atomic.Int64 // answers with another status than 200
}

func (c *lookupClients) run(cl *testserver.Client) {
	for {
		select {
		case <-c.stopping:
			return
		default:
		}
		cl.SetDeadline(time.Now().Add(10 * time.Second))
		if _, err := cl.Write(lookupRequest(fmt.Sprint("q", c.nextID.Add(1)))); err != nil {
			return // the process was killed
		}
		resp, err := httpwire.ReadResponse(cl.Reader)
		if err != nil {
			return
		}
		if c.answered.Add(1); resp.Status != 200 {
			c.unserved.Add(1)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// startQueried starts a process and eight clients that query it.
func (c *lookupClients) startQueried(config string) *queriedProcess {
	command, _, cl, lines := startProcess(c.t, config)
	go discardLog(lines)
	for range 8 {
		client := testserver.Dial(c.t, cl.RemoteAddr().String())
		c.running.Go(func() { c.run(client) })
	}
	return &queriedProcess{t: c.t, command: command}
}

// queriedProcess is a process of the program that clients query.
type queriedProcess struct {
	t       *testing.T
	command *exec.Cmd
}

func (p *queriedProcess) kill() {
	p.signal(syscall.SIGKILL)
	_ = p.command.Wait()
}

func (p *queriedProcess) signal(s syscall.Signal) {
	assert.NoError(p.t, p.command.Process.Signal(s))
}

// awaitCalls waits until discovery has received n more calls.
func awaitCalls(t *testing.T, d *testserver.Discovery, n int) {
	t.Helper()
	for len(d.Calls) > 0 {
		<-d.Calls
	}
	for range n {
		select {
		case <-d.Calls:
		case <-time.After(10 * time.Second):
			require.Fail(t, "discovery received no call for 10 s")
		}
	}
}

// Guards against calls to a draining store: none may reach it later than the grace period, plus the 50 ms that the protocol
// allows, after discovery reported the drain. Processes of a large fleet serve queries while discovery fails in each of its
// ways; one of them is killed and restarted with an old list, another is suspended during the drain with queries in its
// accept queue. The store begins to drain right after each fault.
func TestNoProcessCallsADrainingStoreDespiteDiscoveryFaults(t *testing.T) {
	const processes, grace = 4, 550 * time.Millisecond
	drainingStore, other := testserver.NewFrameStore(t), testserver.NewFrameStore(t)
	storeCalls := recordCalls(drainingStore)
	recordCalls(other)
	ready, draining := testserver.EndpointEntry("s-1", drainingStore, "in_service"), testserver.EndpointEntry("s-1", drainingStore, "terminating")
	otherReady := testserver.EndpointEntry("s-2", other, "in_service")
	d := testserver.NewDiscovery(t, ready, otherReady)
	known := fmt.Sprintf(`,"known":{"version":1,"full":true,"servers":[%s,%s]}`, ready, otherReady)
	config := func() string {
		return strings.Replace(strings.TrimSuffix(platformConfig(d), "}")+known+"}", `"fleet_size":1`, `"fleet_size":300`, 1)
	}
	clients := &lookupClients{t: t, stopping: make(chan struct{})}
	defer clients.running.Wait()
	defer close(clients.stopping)
	all := make([]*queriedProcess, processes)
	for i := range all {
		all[i] = clients.startQueried(config())
	}
	for _, c := range []struct {
		name       string
		fail       func()
		afterDrain func() // called right after discovery has reported the drain
		afterGrace func() // called when twice the grace period has passed
	}{
		{name: "no fault", fail: func() {}},
		{name: "discovery is unresponsive for a while", fail: func() { d.SetUnresponsive(true); awaitCalls(t, d, 6*processes); d.SetUnresponsive(false) }},
		{name: "open watches stall", fail: d.StallConnections},
		{name: "open watches are reset", fail: d.ResetConnections},
		{name: "discovery restarts", fail: func() { d.Stop(); require.NoError(t, d.Start()) }},
		{name: "a process is killed and restarted", fail: func() { all[0].kill(); all[0] = clients.startQueried(config()) }},
		{
			name: "a process is suspended beyond the grace period", fail: func() { all[1].signal(syscall.SIGSTOP) },
			afterGrace: func() { all[1].signal(syscall.SIGCONT); time.Sleep(grace) },
		},
		{ // a new process must apply a drain that discovery reported before it started
			name: "a process is killed while discovery is unresponsive", fail: func() { d.SetUnresponsive(true); awaitCalls(t, d, processes); all[0].kill(); d.SetUnresponsive(false) },
			afterDrain: func() { all[0] = clients.startQueried(config()) },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			before := storeCalls.countBetween(time.Time{}, time.Now())
			require.Eventually(t, func() bool { return storeCalls.countBetween(time.Time{}, time.Now()) > before+20 }, 10*time.Second, time.Millisecond,
				"the store received too few calls before the fault")
			c.fail()
			d.Publish(true, draining, otherReady)
			reported := time.Now()
			if c.afterDrain != nil {
				c.afterDrain()
			}
			answeredBefore := clients.answered.Load()
			time.Sleep(time.Until(reported.Add(2 * grace))) // the limit is a time, so there is no event to wait for
			if c.afterGrace != nil {
				c.afterGrace()
			}
			require.Greater(t, clients.answered.Load(), answeredBefore, "no query was answered after the drain")
			assert.Zero(t, storeCalls.countBetween(reported.Add(grace), time.Now()), "calls reached the draining store")
			d.Publish(true, ready, otherReady)
		})
	}
	t.Logf("%d queries answered, %d of them not served", clients.answered.Load(), clients.unserved.Load())
	// A process that was suspended finds that its calls are late and, as it is part of a large fleet, admits few queries of
	// their class for some seconds.
	assert.Less(t, clients.unserved.Load(), clients.answered.Load()/5, "too many queries were not served")
}
