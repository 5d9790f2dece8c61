// Package raftnode runs one instance of a group that replicates a configuration: the Raft log, the calls between
// instances and the clock for the decisions of package sharedconfig, whose actions it carries out. A Node votes; a
// Follower polls the voters.
package raftnode

import (
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"alderproxy/sharedconfig"
)

// Config configures an instance.
type Config struct {
	// Name is unique in the group.
	Name string
	// DataDirectory has the log, the votes and the snapshots. An instance with a new one counts as another instance.
	DataDirectory string
	// Listener accepts the connections of the other instances. A follower has none.
	Listener net.Listener
	// Address is where the other instances reach the listener, as host:port.
	Address string
	// Key is shared by the group. Empty: the group has no key.
	Key []byte
	// StalenessBound is how long a version may be served after it was replaced.
	StalenessBound time.Duration
	// SeedVoters are the addresses of voters for a follower to begin with.
	SeedVoters []string
	// ServeWhenStale lets the instance serve without a lease.
	ServeWhenStale bool
	// RaftSpeedup divides Raft's default timeouts. 0 and 1 leave them as they are.
	RaftSpeedup int
	// SnapshotThreshold is how many entries the log may have until it is compacted. 0: Raft's default.
	SnapshotThreshold int
	Log               *logrus.Entry
	// CheckDocument returns why the instance could not serve a document.
	CheckDocument func(text string) error
	// ActivateVersion makes the instance serve a version. It is called for one version after another, never concurrently.
	ActivateVersion func(sharedconfig.Version) error
	// OnChangeStep is called before a leader's steps with a change (StepPropose, StepCheck, StepDecide) and after the commit of
	// their entries (StepProposed, StepDecided), from any goroutine. Nil: no calls. Tests stop the instance there.
	OnChangeStep func(step string)
}

// Steps of a leader with a change, as Config.OnChangeStep gets them.
const (
	StepPropose  = "propose"
	StepProposed = "proposed"
	StepCheck    = "check"
	StepDecide   = "decide"
	StepDecided  = "decided"
)
