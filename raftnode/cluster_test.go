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

// testCluster is a group whose instances reach each other only over a faulty network.
type testCluster struct {
	t              *testing.T
	directory      string
	faults         *faultnet.Network
	stalenessBound time.Duration
	nodes          map[string]*Node // those that run
	configs        map[string]Config
}

func newTestCluster(t *testing.T, stalenessBound time.Duration) *testCluster {
	t.Helper()
	c := &testCluster{
		t:              t,
		directory:      t.TempDir(), // before the cleanup below: it is removed after the instances have stopped
		faults:         faultnet.New(1),
		stalenessBound: stalenessBound,
		nodes:          map[string]*Node{},
		configs:        map[string]Config{},
	}
	t.Cleanup(func() {
		for _, node := range c.nodes {
			assert.NoError(t, node.Close())
		}
	})
	return c
}

// testInstance is a Node or a Follower.
type testInstance interface {
	ServedVersion() uint64
	AllowsQueries(version uint64) (open bool, retry time.Duration)
	Status() Status
}

const anyLocalPort = "127.0.0.1:0"

func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	return listener
}

// newConfig returns the configuration of an instance that does not run yet. It rejects text with "bad for" its name.
func (c *testCluster) newConfig(name string) Config {
	c.t.Helper()
	config := Config{
		Name:              name,
		DataDirectory:     filepath.Join(c.directory, name),
		Key:               []byte("k"),
		StalenessBound:    c.stalenessBound,
		RaftSpeedup:       5,
		SnapshotThreshold: 8,
		Log:               testserver.DiscardLog(),
		ActivateVersion:   func(sharedconfig.Version) error { return nil },
		CheckDocument: func(text string) error {
			if strings.Contains(text, "bad for "+name) {
				return fmt.Errorf("%s has no such index", name)
			}
			return nil
		},
	}
	c.moveToNewAddress(&config)
	c.configs[name] = config
	return config
}

// moveToNewAddress gives an instance a new listener and a new address in the faulty network.
func (c *testCluster) moveToNewAddress(config *Config) {
	c.t.Helper()
	proxyListener := listen(c.t, anyLocalPort)
	config.Address = proxyListener.Addr().String()
	config.Listener = listen(c.t, anyLocalPort)
	c.faults.ProxyConnections(config.Name, proxyListener).SetTarget(config.Listener.Addr().String())
}

func (c *testCluster) open(config Config) *Node {
	c.t.Helper()
	node, err := StartNode(config)
	require.NoError(c.t, err)
	c.nodes[config.Name] = node
	return node
}

// closeNode stops an instance and returns its configuration, whose listener is closed.
func (c *testCluster) closeNode(name string) Config {
	c.t.Helper()
	require.NoError(c.t, c.nodes[name].Close())
	delete(c.nodes, name)
	return c.configs[name]
}

// reopenListener gives a stopped instance a listener at the port that it had.
func (c *testCluster) reopenListener(config *Config) {
	c.t.Helper()
	config.Listener = listen(c.t, config.Listener.Addr().String())
}

// bootstrapSingle starts a group of one that serves version 1.
func (c *testCluster) bootstrapSingle(name string) *Node {
	c.t.Helper()
	config := c.newConfig(name)
	require.NoError(c.t, Bootstrap(config.DataDirectory, name, config.Address, "one", "d1", "test", 100, time.Now()))
	return c.open(config)
}

// bootstrap starts a group of three that serves version 1.
func (c *testCluster) bootstrap() {
	c.t.Helper()
	n1 := c.bootstrapSingle("n1")
	for _, name := range []string{"n2", "n3"} {
		config := c.newConfig(name)
		c.open(config)
		outcome := n1.Execute(addCommand(name, config.Address), 15*time.Second)
		require.Equal(c.t, sharedconfig.StatusDone, outcome.Status, outcome.Reason)
	}
	c.waitUntilServing(1)
}

// waitUntilServing waits until all running instances serve a version.
func (c *testCluster) waitUntilServing(version uint64) {
	c.t.Helper()
	for _, node := range c.nodes {
		waitUntilServes(c.t, node, version)
	}
}

// leader waits until a leader knows that it is.
func (c *testCluster) leader() (leader *Node) {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		for name, node := range c.nodes {
			if node.Status().Leader == name {
				leader = node
				return true
			}
		}
		return false
	}, 15*time.Second, 5*time.Millisecond)
	return leader
}

// otherNames returns the names of the running instances but one.
func (c *testCluster) otherNames(name string) []string {
	var others []string
	for other := range c.nodes {
		if other != name {
			others = append(others, other)
		}
	}
	return others
}

// isServing reports whether queries may be served by the version that an instance serves.
func isServing(i testInstance) bool {
	open, _ := i.AllowsQueries(i.ServedVersion())
	return open
}

// waitUntilServes waits until an instance serves a version.
func waitUntilServes(t *testing.T, i testInstance, version uint64) {
	t.Helper()
	require.Eventually(t, func() bool {
		return i.ServedVersion() == version && isServing(i)
	}, 15*time.Second, 5*time.Millisecond, "version %d: %+v", version, i.Status())
}

func changeCommand(request string, expected uint64, text string) Command {
	return Command{Change: &sharedconfig.Change{
		RequestID:       request,
		ExpectedVersion: expected,
		Text:            text,
		Digest:          text,
		Author:          "test",
	}}
}

func addCommand(name, address string) Command {
	return Command{AddMember: &sharedconfig.Member{Name: name, Addr: address}}
}
