package raftnode

import (
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
	"github.com/sirupsen/logrus"

	"alderproxy/peer"
	"alderproxy/sharedconfig"
)

const (
	maxAppendEntries = 16 // maximum number of entries in one AppendEntries request
	// snapshotInterval is the minimum time between two checks whether a snapshot is due, if Config.SnapshotThreshold is
	// set. Raft adds a random delay of up to the same time.
	snapshotInterval = 2 * time.Second
	// trailingLogsDivisor sets the number of newest entries that a compaction leaves in the log: Config.SnapshotThreshold
	// divided by it.
	trailingLogsDivisor = 4
	// leadershipQueueSize is the maximum number of leadership changes that wait to be handled.
	leadershipQueueSize = 8
)

// Node is an instance that takes part in Raft.
type Node struct {
	*instance
	endpoint *peer.Endpoint
	raft     *raft.Raft
	core     *sharedconfig.Core // used by the event loop only
	state    atomic.Pointer[sharedconfig.State]
	groupID  atomic.Pointer[string] // empty: not a member of a group yet

	lastCallID    atomic.Uint64 // ID of the newest call into the event loop
	commands      *pendingCalls[sharedconfig.Outcome]
	leaseRequests *pendingCalls[sharedconfig.LeaseReply]

	mu                   sync.Mutex
	activeVersionChanged chan struct{} // closed and replaced when another version becomes active
}

// StartNode starts an instance that takes part in Raft. With a new data directory it waits until it is added to a group.
func StartNode(config Config) (*Node, error) {
	directory, err := openDataDirectory(config.DataDirectory, config.Name)
	if err != nil {
		return nil, err
	}
	n, err := newNode(config, directory)
	if err == nil {
		err = n.run()
	}
	if err != nil {
		directory.closeAfterError()
		return nil, err
	}
	return n, nil
}

// newNode returns a node that does not run yet.
func newNode(config Config, directory *dataDirectory) (*Node, error) {
	_, directoryID, _ := parseServerID(string(directory.serverID)) // valid: made by loadOrCreateServerID
	groupID, err := directory.groupID()
	if err != nil {
		return nil, err
	}
	isRemoved, err := directory.isRemoved()
	if err != nil {
		return nil, err
	}
	n := &Node{
		instance:             newInstance(config, directory, directoryID),
		commands:             newPendingCalls[sharedconfig.Outcome](),
		leaseRequests:        newPendingCalls[sharedconfig.LeaseReply](),
		activeVersionChanged: make(chan struct{}),
	}
	n.logWithState = n.withNodeFields
	n.groupID.Store(&groupID)
	n.settings.Removed = isRemoved
	n.core = sharedconfig.NewCore(n.settings, sharedconfig.State{})
	lease := n.core.Lease()
	n.lease.Store(&lease)
	n.state.Store(&sharedconfig.State{})
	return n, nil
}

// run checks the data directory, activates the stored version and starts Raft.
func (n *Node) run() error {
	snapshots, err := n.directory.openSnapshots(n.newRaftLogger())
	if err != nil {
		return n.directory.wrapError(err)
	}
	if err := n.directory.deleteObsoleteEntries(snapshots); err != nil {
		return n.directory.wrapError(err)
	}
	if err := n.activateStoredVersion(); err != nil {
		return err
	}
	return n.startRaft(snapshots)
}

// activateStoredVersion activates the version that was served last, before Raft has read the log. It serves queries only
// once a lease covers it, or if Config.ServeWhenStale is set.
func (n *Node) activateStoredVersion() error {
	version, err := n.directory.activeVersion()
	if err != nil {
		return err
	}
	if version.Number > 0 {
		n.activate(version)
	}
	return nil
}

// startRaft starts the endpoint for the other instances, then Raft, then the goroutines. The endpoint answers no RPC
// before Raft has started.
func (n *Node) startRaft(snapshots raft.SnapshotStore) error {
	ready := make(chan struct{}) // closed when RPCs can be handled
	raftTransport := newTransport(n.config.Address)
	n.endpoint = peer.Listen(n.endpointConfig(ready), n.config.Listener, n.handlers(raftTransport, ready))
	raftTransport.endpoint = n.endpoint
	leadership := make(chan bool, leadershipQueueSize)
	raftConfig := n.raftConfig()
	raftConfig.Logger = n.newRaftLogger()
	raftConfig.NotifyCh = leadership
	store := n.directory.store
	machine := &stateMachine{notify: n.events.push}
	var err error
	n.raft, err = raft.NewRaft(raftConfig, machine, store, store, snapshots, raftTransport)
	if err != nil {
		close(n.stop)
		n.endpoint.Close()
		return n.directory.wrapError(err)
	}
	close(ready)
	n.start(
		func() { n.runEventLoop(n.step) },
		n.activateVersions,
		func() { n.watchLeadership(leadership) },
	)
	return nil
}

func (n *Node) endpointConfig(ready <-chan struct{}) peer.Config {
	return peer.Config{
		ID:    string(n.directory.serverID),
		Group: func() string { return *n.groupID.Load() },
		Key:   n.config.Key,
		Log:   n.config.Log,
		IsMember: func(id string) bool {
			select {
			case <-ready:
				return n.isMember(id)
			default:
				return false // the members are not known yet
			}
		},
	}
}

func (n *Node) raftConfig() *raft.Config {
	config := raft.DefaultConfig()
	config.LocalID = n.directory.serverID
	config.MaxAppendEntries = maxAppendEntries
	if speed := time.Duration(n.config.RaftSpeedup); speed > 1 {
		config.HeartbeatTimeout /= speed
		config.ElectionTimeout /= speed
		config.LeaderLeaseTimeout /= speed
		config.CommitTimeout /= speed
	}
	if n.config.SnapshotThreshold > 0 {
		config.SnapshotThreshold = uint64(n.config.SnapshotThreshold)
		config.TrailingLogs = uint64(n.config.SnapshotThreshold) / trailingLogsDivisor
		config.SnapshotInterval = snapshotInterval
	}
	return config
}

// Close stops the instance. It does not transfer the leadership; see TransferLeadership.
func (n *Node) Close() error {
	close(n.stop)
	err := n.raft.Shutdown().Error()
	n.endpoint.Close()
	n.goroutines.Wait()
	return errors.Join(err, n.directory.close())
}

// withNodeFields returns the log with the fields that describe the node's state.
func (n *Node) withNodeFields() *logrus.Entry {
	fields := logrus.Fields{
		"instance": n.config.Name,
		"version":  n.state.Load().Active().Number,
		"term":     uint64(0),
		"leader":   "",
	}
	if n.raft != nil { // nil while the stored version is activated
		_, leader := n.raft.LeaderWithID()
		fields["leader"], _, _ = strings.Cut(string(leader), serverIDSeparator)
		fields["term"] = n.raft.CurrentTerm()
	}
	return n.config.Log.WithFields(fields)
}
