package raftnode

import (
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/internal/faultnet"
	"alderproxy/internal/testserver"
	"alderproxy/sharedconfig"
)

// testCluster is a group whose instances reach each other over a faulty network only.
type testCluster struct {
	t       *testing.T
	dir     string
	faults  *faultnet.Network
	stalenessBound   time.Duration
	nodes   map[string]*Node
	configs map[string]Config
}

func newTestCluster(t *testing.T, bound time.Duration) *testCluster {
	// The folder comes first: what is cleaned up last must be removed after the instances have ended.
	r := &testCluster{t: t, dir: t.TempDir(), faults: faultnet.New(1), stalenessBound: bound, nodes: map[string]*Node{}, configs: map[string]Config{}}
	t.Cleanup(func() {
		for _, n := range r.nodes {
			n.Close()
		}
	})
	return r
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	return l
}

// config makes an instance that does not run yet. Text with "bad" in it is one that it cannot serve by.
func (r *testCluster) config(name string) Config {
	front, own := listen(r.t), listen(r.t)
	r.faults.Front(name, front).Behind(own.Addr().String())
	c := Config{
		Name: name, DataDirectory: filepath.Join(r.dir, name), Listener: own, Address: front.Addr().String(), Key: []byte("k"), StalenessBound: r.stalenessBound,
		Speed: 5, SnapshotAfter: 8, Log: testserver.Log(), Activate: func(sharedconfig.Version) error { return nil },
		Check: func(text string) error {
			if strings.Contains(text, "bad for "+name) {
				return fmt.Errorf("%s has no such index", name)
			}
			return nil
		},
	}
	r.configs[name] = c
	return c
}

func (r *testCluster) open(c Config) *Node {
	n, err := Open(c)
	require.NoError(r.t, err)
	r.nodes[c.Name] = n
	return n
}

// bootstrap starts a group of three that hold version 1.
func (r *testCluster) bootstrap() {
	c := r.config("n1")
	require.NoError(r.t, Bootstrap(c.DataDirectory, "n1", c.Address, "one", "d1", "test", 100, time.Now()))
	n1 := r.open(c)
	for _, name := range []string{"n2", "n3"} {
		c := r.config(name)
		r.open(c)
		o := n1.Execute(Command{Add: &sharedconfig.Member{Name: name, Addr: c.Address}}, 15*time.Second)
		require.Equal(r.t, sharedconfig.Done, o.Status, o.Why)
	}
	r.waitUntilServing(1)
}

// waitUntilServing waits until all serve by a version, under a lease.
func (r *testCluster) waitUntilServing(version uint64) {
	for name, n := range r.nodes {
		require.Eventually(r.t, func() bool {
			open, _ := n.Gate(n.ServedVersion())
			return n.ServedVersion() == version && open
		}, 15*time.Second, 5*time.Millisecond, "%s: %+v", name, n.Status())
	}
}

func (r *testCluster) leader() (n *Node) {
	require.Eventually(r.t, func() bool {
		for _, o := range r.nodes {
			if st := o.Status(); st.Leader == o.Name {
				n = o
				return true
			}
		}
		return false
	}, 15*time.Second, 5*time.Millisecond)
	return n
}

func changeCommand(request string, expect uint64, text string) Command {
	return Command{Change: &sharedconfig.Change{Request: request, Expect: expect, Text: text, Digest: text, Author: "test"}}
}

func TestAChangeIsActiveEverywhereAndAskedForTwiceMadeOnce(t *testing.T) {
	r := newTestCluster(t, time.Second)
	r.bootstrap()
	for _, n := range r.nodes { // whoever is asked passes it on
		o := n.Execute(changeCommand("a", 1, "two"), 10*time.Second)
		assert.Equal(t, sharedconfig.Outcome{Request: "a", Status: sharedconfig.Done, Version: 2}, o)
	}
	r.waitUntilServing(2)
	o := r.leader().Execute(changeCommand("b", 1, "other"), 10*time.Second)
	assert.Equal(t, sharedconfig.Conflict, o.Status)
}

func TestOneNoMeansNowhere(t *testing.T) {
	r := newTestCluster(t, time.Second)
	r.bootstrap()
	o := r.nodes["n1"].Execute(changeCommand("a", 1, "bad for n3"), 10*time.Second)
	assert.Equal(t, sharedconfig.Outcome{Request: "a", Status: sharedconfig.Refused, Instance: "n3", Why: "n3 has no such index"}, o)
	r.waitUntilServing(1)
	assert.Equal(t, sharedconfig.Done, r.nodes["n2"].Execute(changeCommand("b", 1, "two"), 10*time.Second).Status)
	r.waitUntilServing(2)
}

// An instance that is cut off stops by the bound, and the others do without it.
func TestCutOffInstanceStopsByTheBound(t *testing.T) {
	r := newTestCluster(t, time.Second)
	r.bootstrap()
	cut := r.leader()
	var others []string
	for name := range r.nodes {
		if name != cut.Name {
			others = append(others, name)
		}
	}
	r.faults.Isolate(cut.Name, others...)
	o := r.nodes[others[0]].Execute(changeCommand("a", 1, "two"), 10*time.Second)
	require.Equal(t, sharedconfig.Done, o.Status, o.Why)
	done := time.Now()
	require.Eventually(t, func() bool { open, _ := cut.Gate(cut.ServedVersion()); return !open }, 10*time.Second, time.Millisecond)
	assert.Less(t, time.Since(done), r.stalenessBound)
	assert.Equal(t, uint64(1), cut.ServedVersion())
	r.faults.Clear()
	r.waitUntilServing(2)
}

func TestRestartedInstanceServesNothingBeforeItKnows(t *testing.T) {
	r := newTestCluster(t, time.Second)
	r.bootstrap()
	c := r.configs["n2"]
	require.NoError(t, r.nodes["n2"].Close())
	delete(r.nodes, "n2")
	require.Equal(t, sharedconfig.Done, r.leader().Execute(changeCommand("a", 1, "two"), 10*time.Second).Status)
	r.faults.Isolate("n2", "n1", "n3")
	var err error
	c.Listener, err = net.Listen("tcp", c.Listener.Addr().String())
	require.NoError(t, err)
	n2 := r.open(c)
	require.Eventually(t, func() bool { return n2.ServedVersion() == 1 }, 10*time.Second, 5*time.Millisecond)
	for range 50 {
		open, _ := n2.Gate(n2.ServedVersion())
		require.False(t, open, "it serves by what it was told before it was stopped")
		time.Sleep(10 * time.Millisecond)
	}
	r.faults.Clear()
	r.waitUntilServing(2)
}

func TestRemovedInstanceStopsAndALostFolderIsAnother(t *testing.T) {
	r := newTestCluster(t, time.Second)
	r.bootstrap()
	lead := r.leader()
	var gone string
	for name := range r.nodes {
		if name != lead.Name {
			gone = name
		}
	}
	// Its folder is lost: under the old name it must not come in, and must not vote.
	c := r.configs[gone]
	require.NoError(t, r.nodes[gone].Close())
	c.DataDirectory = filepath.Join(r.dir, "another")
	c.Listener, _ = net.Listen("tcp", c.Listener.Addr().String())
	n := r.open(c)
	o := lead.Execute(Command{Add: &sharedconfig.Member{Name: gone, Addr: c.Address}}, 5*time.Second)
	assert.Equal(t, sharedconfig.Refused, o.Status)
	assert.Contains(t, o.Why, "another folder")
	assert.Zero(t, n.Status().Term, "it was asked for its vote")
	require.Equal(t, sharedconfig.Done, lead.Execute(Command{Remove: gone}, 10*time.Second).Status)
	o = lead.Execute(Command{Add: &sharedconfig.Member{Name: gone, Addr: c.Address}}, 15*time.Second)
	require.Equal(t, sharedconfig.Done, o.Status, o.Why)
	r.waitUntilServing(1)
	require.Equal(t, sharedconfig.Done, lead.Execute(Command{Remove: gone}, 10*time.Second).Status)
	require.Eventually(t, func() bool { return n.Status().Why == "this instance was removed from its group" }, 10*time.Second, 5*time.Millisecond)
	o = lead.Execute(Command{Add: &sharedconfig.Member{Name: gone, Addr: c.Address}}, 5*time.Second)
	assert.Contains(t, o.Why, "removed from this group for good")
}

// An instance that comes back at another address, with its folder, is the same one and keeps its vote.
func TestMoveToAnotherAddress(t *testing.T) {
	r := newTestCluster(t, time.Second)
	r.bootstrap()
	r.leader().Execute(Command{HandOver: new(string)}, time.Second)
	require.NoError(t, r.nodes["n2"].Close())
	delete(r.nodes, "n2")
	c := r.configs["n2"]
	front := listen(t)
	c.Listener = listen(t)
	c.Address = front.Addr().String()
	r.faults.Front("n2", front).Behind(c.Listener.Addr().String())
	n2 := r.open(c)
	require.Eventually(t, func() bool {
		return r.leader().Execute(Command{Add: &sharedconfig.Member{Name: "n2", Addr: c.Address}}, 10*time.Second).Status == sharedconfig.Done
	}, 20*time.Second, 50*time.Millisecond)
	r.waitUntilServing(1)
	for _, m := range n2.Members() {
		assert.True(t, m.Voter, m.Name)
	}
	require.Equal(t, sharedconfig.Done, n2.Execute(changeCommand("a", 1, "two"), 10*time.Second).Status)
	r.waitUntilServing(2)
}

// Where the operators prefer service to agreement, an instance that is cut off goes on, and a restarted one begins
// with what it served last; one that was removed stops all the same.
func TestServiceBeforeAgreement(t *testing.T) {
	r := newTestCluster(t, 500*time.Millisecond)
	r.bootstrap()
	var lead, other string
	lead = r.leader().Name
	for name := range r.nodes {
		if name != lead {
			other = name
		}
	}
	c := r.configs[other]
	c.ServeWhenStale = true
	reopen := func() *Node {
		require.NoError(t, r.nodes[other].Close())
		c.Listener, _ = net.Listen("tcp", c.Listener.Addr().String())
		return r.open(c)
	}
	n := reopen()
	r.waitUntilServing(1)
	r.faults.Isolate(other, "n1", "n2", "n3")
	require.Eventually(t, func() bool { return n.Status().Lease == 0 }, 10*time.Second, 5*time.Millisecond)
	open, _ := n.Gate(n.ServedVersion())
	assert.True(t, open)
	n = reopen()
	open, _ = n.Gate(n.ServedVersion())
	assert.True(t, open)
	assert.Equal(t, uint64(1), n.ServedVersion())
	r.faults.Clear()
	r.waitUntilServing(1)
	require.Equal(t, sharedconfig.Done, r.nodes[lead].Execute(Command{Remove: other}, 10*time.Second).Status)
	require.Eventually(t, func() bool { open, _ := n.Gate(n.ServedVersion()); return !open }, 10*time.Second, 5*time.Millisecond)
	r.faults.Isolate(other, "n1", "n2", "n3")
	n = reopen()
	open, _ = n.Gate(n.ServedVersion())
	assert.False(t, open, "it was removed and forgot it")
}
