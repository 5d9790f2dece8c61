package raftnode

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/internal/faultnet"
	"alderproxy/sharedconfig"
)

// registerCall is a put or a read, as the checker of linearizability takes it.
type registerCall struct {
	put    bool
	expect uint64
	text   string
}

type registerResult struct {
	status  sharedconfig.Status // of a put
	version uint64
	text    string // of a read
}

type registerState struct {
	version uint64
	text    string
}

// registerModel is what the group must look like to its callers: one versioned text, changed by compare and set.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{1, "one"}} },
	Step: func(state, in, out any) []any {
		s, c, o := state.(registerState), in.(registerCall), out.(registerResult)
		if !c.put {
			if s == (registerState{o.version, o.text}) {
				return []any{s}
			}
			return nil
		}
		next := registerState{c.expect + 1, c.text}
		switch o.status {
		case sharedconfig.Done:
			if s.version == c.expect && o.version == next.version {
				return []any{next}
			}
			return nil
		case sharedconfig.Conflict:
			if s.version != c.expect {
				return []any{s}
			}
			return nil
		case sharedconfig.Refused:
			return []any{s}
		}
		if s.version == c.expect { // unknown: it may have been made, now or later, or not
			return []any{s, next}
		}
		return []any{s}
	},
	Equal: func(a, b any) bool { return a == b },
}

// faultRunResult is what a run under faults has shown.
type faultRunResult struct {
	stale                         time.Duration // longest time that a replaced version was served
	done, unknown, reads, changes int
	linear                        porcupine.CheckResult
}

// runUnderFaults lets clients change and read for a while, with messages lost, delayed, repeated and ways cut, and
// watches who serves what. It goes on for length, and longer where fewer than enough reads and changes were answered by
// then.
func runUnderFaults(t *testing.T, seed uint64, bound, length time.Duration) (sum faultRunResult) {
	r := newTestCluster(t, bound)
	r.faults = faultnet.New(seed)
	var mu sync.Mutex
	first := map[uint64]time.Time{} // when a version was first served by anybody
	r.bootstrap()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	watch := func(n *Node) {
		defer wg.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
			}
			version := n.ServedVersion()
			at := time.Now()
			if open, _ := n.Gate(version); !open {
				continue
			}
			mu.Lock()
			if _, known := first[version]; !known {
				first[version] = at
			}
			for v, since := range first {
				if v > version {
					sum.stale = max(sum.stale, at.Sub(since))
				}
			}
			mu.Unlock()
		}
	}
	for _, n := range r.nodes {
		wg.Add(1)
		go watch(n)
	}
	began := time.Now()
	var history []porcupine.Operation
	seen := 0 // reads and changes that were answered
	note := func(id int, c registerCall, from time.Time, o registerResult, known bool) {
		op := porcupine.Operation{ClientId: id, Input: c, Call: from.Sub(began).Nanoseconds(), Output: o, Return: time.Since(began).Nanoseconds()}
		if !known {
			op.Return = int64(time.Hour)
		}
		mu.Lock()
		defer mu.Unlock()
		history = append(history, op)
		if !c.put || o.status == sharedconfig.Done {
			seen++
		}
	}
	names := []string{"n1", "n2", "n3"}
	client := func(id int) {
		defer wg.Done()
		rng := rand.New(rand.NewPCG(seed, uint64(id)))
		n := r.nodes[names[id%3]]
		for k := 0; ; k++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rng.IntN(60)) * time.Millisecond):
			}
			from := time.Now()
			s, err := n.Read(time.Second)
			if err != nil {
				continue
			}
			v := s.Active()
			note(id, registerCall{}, from, registerResult{version: v.Number, text: v.Text}, true)
			if rng.IntN(2) == 0 {
				continue
			}
			c := registerCall{true, v.Number, fmt.Sprint(id, ".", k)}
			from = time.Now()
			o := n.Execute(changeCommand(c.text, c.expect, c.text), 3*time.Second)
			note(id, c, from, registerResult{status: o.Status, version: o.Version}, o.Status != sharedconfig.Unknown)
		}
	}
	for id := range 6 {
		wg.Add(1)
		go client(id)
	}
	rng := rand.New(rand.NewPCG(seed, 99))
	more := func() bool { // on a machine that has much else to do little happens in the same time
		mu.Lock()
		defer mu.Unlock()
		ran := time.Since(began)
		return ran < length || seen <= minAnswered && ran < time.Minute
	}
	for ; more(); time.Sleep(time.Duration(200+rng.IntN(1400)) * time.Millisecond) {
		a, b := names[rng.IntN(3)], names[rng.IntN(3)]
		if rng.IntN(3) > 0 {
			r.faults.Clear()
		}
		if rng.IntN(3) == 0 {
			r.faults.All(faultnet.Rule{Loss: 30, Twice: 10, Delay: 10 * time.Millisecond})
		}
		switch rng.IntN(4) {
		case 0: // one way only
			r.faults.Set(a, b, faultnet.Rule{Cut: true})
		case 1, 2:
			r.faults.Isolate(a, names...)
		}
	}
	r.faults.Clear()
	close(stop)
	wg.Wait()
	for _, op := range history {
		switch o := op.Output.(registerResult); {
		case !op.Input.(registerCall).put:
			sum.reads++
		case o.status == sharedconfig.Done:
			sum.done++
		case o.status == sharedconfig.Unknown:
			sum.unknown++
		}
	}
	sum.changes = len(history) - sum.reads
	sum.linear = porcupine.CheckOperationsTimeout(registerModel.ToModel(), history, 20*time.Second)
	return sum
}

// minAnswered is how many reads and changes have to be answered for a run to tell anything.
const minAnswered = 10

// Under lost, delayed and repeated messages and cuts one way and both: nobody serves a replaced version past the
// bound, and what callers see is one versioned text.
func TestAgreementUnderFaults(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			sum := runUnderFaults(t, seed, time.Second, 8*time.Second)
			t.Logf("%+v", sum)
			assert.LessOrEqual(t, sum.stale, time.Second)
			assert.NotEqual(t, porcupine.Illegal, sum.linear)
			assert.Greater(t, sum.done+sum.reads, minAnswered, "the test saw nothing")
		})
	}
}

// The membership changes while the leader dies; and an instance joins with only a snapshot to read.
func TestJoiningBySnapshotWhileTheLeaderDies(t *testing.T) {
	r := newTestCluster(t, time.Second)
	r.bootstrap()
	lead := r.leader()
	for v := uint64(1); v <= 12; v++ {
		require.Equal(t, sharedconfig.Done, lead.Execute(changeCommand(fmt.Sprint(v), v, fmt.Sprint(v)), 10*time.Second).Status)
	}
	for _, n := range r.nodes { // most of what was agreed on is in the snapshot only
		require.NoError(t, n.raft.Snapshot().Error())
	}
	c := r.config("n4")
	n4 := r.open(c)
	answer := make(chan sharedconfig.Outcome, 1)
	var other *Node
	for _, n := range r.nodes {
		if n != lead && n != n4 {
			other = n
		}
	}
	go func() {
		answer <- other.Execute(Command{Add: &sharedconfig.Member{Name: "n4", Addr: c.Address}}, 20*time.Second)
	}()
	require.Eventually(t, func() bool { return len(lead.Members()) == 4 }, 10*time.Second, time.Millisecond)
	require.NoError(t, lead.Close())
	delete(r.nodes, lead.Name)
	o := <-answer
	assert.Equal(t, sharedconfig.Done, o.Status, o.Why)
	r.waitUntilServing(13)
	voters := 0
	for _, m := range n4.Members() {
		if m.Voter {
			voters++
		}
	}
	assert.Equal(t, 4, voters)
	assert.Len(t, n4.State().Versions, 13)
}

// What is left of a group goes on alone; those who come back from the old one are kept apart from it.
func TestRecover(t *testing.T) {
	r := newTestCluster(t, time.Second)
	r.bootstrap()
	require.Equal(t, sharedconfig.Done, r.leader().Execute(changeCommand("a", 1, "two"), 10*time.Second).Status)
	r.waitUntilServing(2)
	for _, n := range r.nodes {
		require.NoError(t, n.Close())
	}
	clear(r.nodes)
	c := r.configs["n3"]
	rem, err := Examine(c.DataDirectory, "n3")
	require.NoError(t, err)
	assert.Equal(t, uint64(2), rem.State.Active().Number)
	assert.Len(t, rem.Members, 3)
	require.NoError(t, RecoverUnsafe(c.DataDirectory, "n3", c.Address))
	c.Listener = listen(t)
	r.faults = faultnet.New(2)
	front := listen(t)
	r.faults.Front("n3", front).Behind(c.Listener.Addr().String())
	c.Address = front.Addr().String()
	require.NoError(t, RecoverUnsafe(c.DataDirectory, "n3", c.Address), "at another address")
	n3 := r.open(c)
	r.waitUntilServing(2)
	require.Equal(t, sharedconfig.Done, n3.Execute(changeCommand("b", 2, "three"), 10*time.Second).Status)
	old := r.configs["n1"]
	old.Listener = listen(t)
	n1 := r.open(old)
	o := n3.Execute(Command{Add: &sharedconfig.Member{Name: "n1", Addr: old.Listener.Addr().String()}}, 5*time.Second)
	assert.Equal(t, sharedconfig.Refused, o.Status, "one of the old group was taken in")
	open, _ := n1.Gate(n1.ServedVersion())
	assert.False(t, open)
	_, err = Examine(t.TempDir(), "n9")
	assert.ErrorIs(t, err, os.ErrNotExist)
}

// A snapshot that is spoilt is named, and the one before it stands in only where the log goes on behind it.
func TestSpoiltSnapshotEndsTheStart(t *testing.T) {
	r := newTestCluster(t, time.Second)
	c := r.config("n1")
	require.NoError(t, Bootstrap(c.DataDirectory, "n1", c.Address, "one", "d1", "test", 100, time.Now()))
	n := r.open(c)
	r.waitUntilServing(1)
	require.Equal(t, sharedconfig.Done, n.Execute(changeCommand("a", 1, "two"), 10*time.Second).Status)
	require.NoError(t, n.raft.Snapshot().Error())
	metas, err := n.snapshotIDs()
	require.NoError(t, err)
	require.Len(t, metas, 1)
	require.NoError(t, n.Close())
	delete(r.nodes, "n1")
	path := c.DataDirectory + "/snapshots/" + metas[0] + "/state.bin"
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	text[len(text)/2] ^= 1
	require.NoError(t, os.WriteFile(path, text, 0o600))
	c.Listener = listen(t)
	s, _, err := openDataDirectory(c.DataDirectory, "n1")
	require.NoError(t, err)
	require.NoError(t, s.DeleteRange(1, 2)) // as compacting would have
	require.NoError(t, s.Close())
	_, err = Open(c)
	require.Error(t, err)
	assert.Contains(t, err.Error(), "is spoilt")
	assert.NotContains(t, err.Error(), "\n")
	assert.NotErrorIs(t, err, os.ErrNotExist)
}

// snapshotIDs are the names of the snapshots in the folder, the newest first.
func (n *Node) snapshotIDs() (names []string, err error) {
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(n.DataDirectory, retainedSnapshots, n.hclog())
	if err != nil {
		return nil, err
	}
	metas, err := snapshots.List()
	for _, m := range metas {
		names = append(names, m.ID)
	}
	return names, err
}
