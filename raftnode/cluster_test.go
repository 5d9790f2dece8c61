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

// testCluster is a group whose instances reach each other only through a faulty network.
type testCluster struct {
	t              *testing.T
	directory      string
	faults         *faultnet.Network
	stalenessBound time.Duration
	nodes          map[string]*Node  // running nodes by name
	configs        map[string]Config // by name
}

func newTestCluster(t *testing.T, stalenessBound time.Duration) *testCluster {
	t.Helper()
	c := &testCluster{
		t:              t,
		directory:      t.TempDir(), // created before the cleanup below, and so removed after the instances have stopped
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
	AllowsQueries(version uint64) (allowed bool, retry time.Duration)
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

// newConfig returns the configuration of an instance that does not run yet. The instance rejects documents that contain
// "bad for" and its name.
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

// moveToNewAddress sets a new listener and a new address in the faulty network.
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

// closeNode stops a node and returns its configuration, whose listener is closed.
func (c *testCluster) closeNode(name string) Config {
	c.t.Helper()
	require.NoError(c.t, c.nodes[name].Close())
	delete(c.nodes, name)
	return c.configs[name]
}

// reopenListener replaces a closed listener with one at the same port.
func (c *testCluster) reopenListener(config *Config) {
	c.t.Helper()
	config.Listener = listen(c.t, config.Listener.Addr().String())
}

// bootstrapSingle starts a group with one member and version 1.
func (c *testCluster) bootstrapSingle(name string) *Node {
	c.t.Helper()
	config := c.newConfig(name)
	require.NoError(c.t, Bootstrap(config.DataDirectory, name, config.Address, "one", "d1", "test", 100, time.Now()))
	return c.open(config)
}

// bootstrap starts a group with the members n1, n2 and n3, and waits until they serve version 1.
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

// waitUntilServing waits until all running nodes serve a version and accept queries.
func (c *testCluster) waitUntilServing(version uint64) {
	c.t.Helper()
	for _, node := range c.nodes {
		waitUntilServes(c.t, node, version)
	}
}

// leader waits until a node considers itself the leader, and returns it.
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
	}, 15*time.Second, 5*time.Millisecond, "no node considers itself the leader")
	return leader
}

// otherNames returns the names of all running nodes except one.
func (c *testCluster) otherNames(name string) []string {
	var others []string
	for other := range c.nodes {
		if other != name {
			others = append(others, other)
		}
	}
	return others
}

// isServing reports whether an instance accepts queries under the version that it serves.
func isServing(i testInstance) bool {
	open, _ := i.AllowsQueries(i.ServedVersion())
	return open
}

// waitUntilServes waits until an instance serves a version and accepts queries.
func waitUntilServes(t *testing.T, i testInstance, version uint64) {
	t.Helper()
	require.Eventually(t, func() bool {
		return i.ServedVersion() == version && isServing(i)
	}, 15*time.Second, 5*time.Millisecond, "not serving version %d; status before the wait: %+v", version, i.Status())
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
