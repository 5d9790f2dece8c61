package raftnode

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"

	"alderproxy/internal/faultnet"
	"alderproxy/sharedconfig"
)

const (
	faultClients = 6
	// minAnsweredCalls is the number of answered reads and writes that a conclusive run must exceed.
	minAnsweredCalls = 10
	// maxFaultRunDuration limits a run on a busy machine, on which few calls are answered.
	maxFaultRunDuration = time.Minute
)

// faultRun is a run in which clients read and write the configuration of a group while messages between its instances are
// lost, delayed, duplicated and blocked. It records which versions are served.
type faultRun struct {
	cluster   *testCluster
	seed      uint64
	names     []string
	startedAt time.Time
	stop      chan struct{}
	wg        sync.WaitGroup

	mu          sync.Mutex
	history     []porcupine.Operation
	answered    int                  // successful reads and writes
	firstServed map[uint64]time.Time // time at which any instance first served a version
	staleness   time.Duration        // longest time that a replaced version was served
}

// faultRunResult is the result of a faultRun.
type faultRunResult struct {
	staleness                    time.Duration // longest time that a replaced version was served
	done, unknown, reads, writes int
	linearizable                 porcupine.CheckResult
}

// runUnderFaults runs for the duration, and then until more than minAnsweredCalls calls are answered or
// maxFaultRunDuration has passed since the start.
func runUnderFaults(t *testing.T, seed uint64, stalenessBound, duration time.Duration) faultRunResult {
	t.Helper()
	cluster := newTestCluster(t, stalenessBound)
	cluster.faults = faultnet.New(seed)
	cluster.bootstrap()
	r := &faultRun{
		cluster:     cluster,
		seed:        seed,
		names:       []string{"n1", "n2", "n3"},
		startedAt:   time.Now(),
		stop:        make(chan struct{}),
		firstServed: map[uint64]time.Time{},
	}
	for _, node := range cluster.nodes {
		r.wg.Go(func() { r.watchServedVersions(node) })
	}
	for id := range faultClients {
		r.wg.Go(func() { r.runClient(id) })
	}
	r.injectFaults(duration)
	close(r.stop)
	r.wg.Wait()
	return r.result()
}

// watchServedVersions records when an instance serves each version.
func (r *faultRun) watchServedVersions(node *Node) {
	for {
		select {
		case <-r.stop:
			return
		case <-time.After(time.Millisecond):
		}
		version := node.ServedVersion()
		at := time.Now()
		if open, _ := node.AllowsQueries(version); open {
			r.recordServed(version, at)
		}
	}
}

func (r *faultRun) recordServed(version uint64, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.firstServed[version]; !known {
		r.firstServed[version] = at
	}
	for other, since := range r.firstServed {
		if other > version {
			r.staleness = max(r.staleness, at.Sub(since))
		}
	}
}

// runClient reads repeatedly, and writes after about half of the reads.
func (r *faultRun) runClient(id int) {
	rng := rand.New(rand.NewPCG(r.seed, uint64(id)))
	node := r.cluster.nodes[r.names[id%len(r.names)]]
	for i := 0; ; i++ {
		select {
		case <-r.stop:
			return
		case <-time.After(time.Duration(rng.IntN(60)) * time.Millisecond):
		}
		called := time.Now()
		state, err := node.Read(time.Second)
		if err != nil {
			continue
		}
		active := state.Active()
		r.recordCall(id, called, registerCall{}, registerResult{version: active.Number, text: active.Text})
		if rng.IntN(2) == 0 {
			continue
		}
		call := registerCall{write: true, expected: active.Number, text: fmt.Sprint(id, ".", i)}
		called = time.Now()
		outcome := node.Execute(changeCommand(call.text, call.expected, call.text), 3*time.Second)
		r.recordCall(id, called, call, registerResult{status: outcome.Status, version: outcome.Version})
	}
}

// recordCall adds a call to the history. A write whose outcome is unknown may take effect at any later time, so it returns
// after the end of the run.
func (r *faultRun) recordCall(client int, called time.Time, call registerCall, result registerResult) {
	returned := time.Since(r.startedAt)
	if call.write && result.status == sharedconfig.StatusUnknown {
		returned = time.Hour
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, porcupine.Operation{
		ClientId: client,
		Input:    call,
		Call:     called.Sub(r.startedAt).Nanoseconds(),
		Output:   result,
		Return:   returned.Nanoseconds(),
	})
	if !call.write || result.status == sharedconfig.StatusDone {
		r.answered++
	}
}

// injectFaults changes the faults of the network repeatedly until the run ends.
func (r *faultRun) injectFaults(duration time.Duration) {
	rng := rand.New(rand.NewPCG(r.seed, 99))
	faults := r.cluster.faults
	for r.shouldContinue(duration) {
		a, b := r.names[rng.IntN(3)], r.names[rng.IntN(3)]
		if rng.IntN(3) > 0 {
			faults.Clear()
		}
		if rng.IntN(3) == 0 {
			faults.SetDefault(faultnet.Rule{LossPercent: 30, DuplicatePercent: 10, MaxDelay: 10 * time.Millisecond})
		}
		switch rng.IntN(4) {
		case 0: // one direction only
			faults.Set(a, b, faultnet.Rule{Cut: true})
		case 1, 2:
			faults.Isolate(a, r.names...)
		}
		time.Sleep(time.Duration(200+rng.IntN(1400)) * time.Millisecond)
	}
	faults.Clear()
}

func (r *faultRun) shouldContinue(duration time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	elapsed := time.Since(r.startedAt)
	return elapsed < duration || r.answered <= minAnsweredCalls && elapsed < maxFaultRunDuration
}

func (r *faultRun) result() faultRunResult {
	result := faultRunResult{staleness: r.staleness}
	for _, operation := range r.history {
		status := operation.Output.(registerResult).status
		switch {
		case !operation.Input.(registerCall).write:
			result.reads++
		case status == sharedconfig.StatusDone:
			result.done++
		case status == sharedconfig.StatusUnknown:
			result.unknown++
		}
	}
	result.writes = len(r.history) - result.reads
	result.linearizable = porcupine.CheckOperationsTimeout(registerModel.ToModel(), r.history, 20*time.Second)
	return result
}

// Under network faults, an instance must not serve a replaced version beyond the staleness bound, and the reads and writes
// of all clients must be linearizable.
func TestLinearizableUnderFaults(t *testing.T) {
	const stalenessBound = time.Second
	for seed := range uint64(4) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			result := runUnderFaults(t, seed, stalenessBound, 8*time.Second)
			t.Logf("%+v", result)
			assert.LessOrEqual(t, result.staleness, stalenessBound, "a replaced version was served too long")
			assert.NotEqual(t, porcupine.Illegal, result.linearizable, "the history is not linearizable")
			assert.Greater(t, result.done+result.reads, minAnsweredCalls, "too few calls were answered for a conclusive run")
		})
	}
}
