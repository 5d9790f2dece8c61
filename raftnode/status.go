package raftnode

import (
	"time"

	"alderproxy/internal/clock"
	"alderproxy/sharedconfig"
)

// Status describes an instance, and its group as the instance knows it.
type Status struct {
	Name    string `json:"name"`
	GroupID string `json:"group"`
	Leader  string `json:"leader"` // the leader's name; empty: no leader is known
	Term    uint64 `json:"term"`
	// ActiveVersion is the number of the active version by this instance's log, or by a follower's last poll.
	ActiveVersion uint64 `json:"version"`
	// ServedVersion is the number of the version that this instance serves; 0: none.
	ServedVersion    uint64 `json:"serving"`
	Digest           string `json:"digest"`            // of the active version
	PendingRequestID string `json:"pending,omitempty"` // request ID of the change in progress
	// LeaseRemainingMillis is the remaining time for which the lease covers the served version.
	LeaseRemainingMillis int64 `json:"lease_ms"`
	// NotCoveredReason is the reason why no lease covers the served version. It is empty if one does.
	NotCoveredReason string                `json:"why,omitempty"`
	Members          []sharedconfig.Member `json:"members"`
	// VoterAddresses are the addresses of a follower's voters, in the order in which it prefers them.
	VoterAddresses []string `json:"follows,omitempty"`
	FirstLogIndex  uint64   `json:"log_first"` // index of the log's first entry; 0: the log is empty or cannot be read
	LastLogIndex   uint64   `json:"log_last"`  // index of the log's last entry
}

// Status returns the status of this instance and of its group.
func (n *Node) Status() Status {
	state := n.state.Load()
	now := clock.Now()
	_, leaderID := n.raft.LeaderWithID()
	leader, _, _ := parseServerID(string(leaderID)) // empty without a leader
	served := n.servedVersion.Load()
	firstIndex, _ := n.directory.store.FirstIndex() // 0 after an error
	status := Status{
		Name:                 n.config.Name,
		GroupID:              state.GroupID,
		Leader:               leader,
		Term:                 n.raft.CurrentTerm(),
		ActiveVersion:        state.Active().Number,
		ServedVersion:        served,
		Digest:               state.Active().Digest,
		LeaseRemainingMillis: n.leaseRemainingMillis(),
		NotCoveredReason:     n.lease.Load().NotCoveredReason(now, served),
		Members:              n.Members(),
		FirstLogIndex:        firstIndex,
		LastLogIndex:         n.raft.LastIndex(),
	}
	if state.PendingChange != nil {
		status.PendingRequestID = state.PendingChange.RequestID
	}
	return status
}

// State returns the state after the entries that this instance has applied. It may be stale; see Read.
func (n *Node) State() sharedconfig.State { return *n.state.Load() }

// Read returns a state that includes every change that was committed before the call. The error is ErrNoQuorum,
// ErrRemoved, ErrLagging or ErrStopping.
func (n *Node) Read(timeout time.Duration) (sharedconfig.State, error) {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		changed := n.activeVersionChange()
		reply, err := n.requestLeaseFromLeader(min(time.Until(deadline), leaderAttemptTimeout))
		if err == nil && reply.Removed {
			return sharedconfig.State{}, ErrRemoved
		}
		if err == nil && reply.OK {
			return n.waitForVersion(reply.Version, changed, deadline)
		}
		select {
		case <-time.After(leaderRetryInterval / 2):
		case <-n.stop:
			return sharedconfig.State{}, ErrStopping
		}
	}
	return sharedconfig.State{}, ErrNoQuorum
}

// waitForVersion returns the state once its active version is the given one or a newer one. changed is closed when the
// active version changes.
func (n *Node) waitForVersion(version uint64, changed <-chan struct{}, deadline time.Time) (sharedconfig.State, error) {
	for {
		if state := n.State(); state.Active().Number >= version {
			return state, nil
		}
		select {
		case <-changed:
			changed = n.activeVersionChange()
		case <-time.After(time.Until(deadline)):
			return sharedconfig.State{}, ErrLagging
		}
	}
}

// activeVersionChange returns a channel that is closed when another version becomes active.
func (n *Node) activeVersionChange() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.activeVersionChanged
}
