// Package raftnode runs one instance of a group that replicates a configuration. Package sharedconfig makes the
// decisions; this package passes it events and the time, and carries out its actions with Raft, RPCs to other instances
// and the data directory. A Node takes part in Raft; a Follower polls the voters.
package raftnode

import (
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"alderproxy/sharedconfig"
)

// Config is the configuration of an instance.
type Config struct {
	// Name is unique in the group.
	Name string
	// DataDirectory is the path of the directory with the log, the votes, the snapshots and what the instance stores about
	// itself. With a new directory the instance counts as another instance.
	DataDirectory string
	// Listener accepts the connections of the other instances. Nil for a follower.
	Listener net.Listener
	// Address is the address at which the other instances reach the listener, as host:port.
	Address string
	// Key is the secret that the instances of the group share. Empty: the group has no key.
	Key []byte
	// StalenessBound is the maximum time for which a version is served after it was replaced, unless ServeWhenStale is set.
	StalenessBound time.Duration
	// SeedVoters are the addresses of the voters that a follower polls until it knows the group's voters.
	SeedVoters []string
	// ServeWhenStale lets the instance serve without a valid lease, unless it was removed from its group.
	ServeWhenStale bool
	// RaftSpeedup divides Raft's default heartbeat, election, leader lease and commit timeouts. 0 and 1 leave them
	// unchanged.
	RaftSpeedup int
	// SnapshotThreshold is the number of entries since the last snapshot at which Raft takes the next one and compacts the
	// log. 0: Raft's defaults.
	SnapshotThreshold int
	Log               *logrus.Entry
	// CheckDocument returns an error if the instance could not serve a document.
	CheckDocument func(text string) error
	// ActivateVersion makes the instance serve a version. Calls are never concurrent.
	ActivateVersion func(sharedconfig.Version) error
	// OnChangeStep is called, from any goroutine, before the leader appends an entry (StepDecide for a decision, StepPropose
	// for any other, including one that retires a directory ID), before it has a member check a change (StepCheck), and
	// after the entry of a change is committed and applied (StepProposed, StepDecided). Nil: no calls. Tests stop the
	// instance at these steps.
	OnChangeStep func(step string)
}

// Steps of a configuration change at the leader, passed to Config.OnChangeStep.
const (
	StepPropose  = "propose"
	StepProposed = "proposed"
	StepCheck    = "check"
	StepDecide   = "decide"
	StepDecided  = "decided"
)
