package raftnode

import (
	"errors"
	"time"

	"github.com/hashicorp/raft"

	"alderproxy/sharedconfig"
)

// watchLeadership notifies the event loop when this instance becomes the leader and when it stops being the leader.
func (n *Node) watchLeadership(changes <-chan bool) {
	for {
		select {
		case leading := <-changes:
			term := n.raft.CurrentTerm()
			n.events.push(sharedconfig.LeadershipChanged{Leading: leading, Term: term})
			n.logWithState().WithField("leading", leading).Info("leadership changed")
			if leading {
				go n.waitUntilReady(term)
			}
		case <-n.stop:
			return
		}
	}
}

// waitUntilReady notifies the event loop when this instance, a new leader, has applied all entries of earlier terms.
func (n *Node) waitUntilReady(term uint64) {
	const noTimeout = 0
	if n.raft.Barrier(noTimeout).Error() == nil {
		n.events.push(sharedconfig.LeaderReady{Term: term})
	}
}

// verifyLeadership has a majority of the voters confirm that this instance is still the leader of its term.
func (n *Node) verifyLeadership(seq uint64) {
	term := n.raft.CurrentTerm()
	err := n.raft.VerifyLeader().Error()
	if n.raft.CurrentTerm() != term {
		term = 0 // the result may be about either term
	}
	n.events.push(sharedconfig.VerifyLeadershipResult{Seq: seq, OK: err == nil, Term: term})
}

// TransferLeadership transfers the leadership to any other voter if this instance is the leader. Before a planned stop,
// this spares the group the time without a leader until the others' election timeout. It returns after the timeout at the
// latest.
func (n *Node) TransferLeadership(timeout time.Duration) {
	if n.raft.State() != raft.Leader || len(n.Members()) < 2 {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.transferLeadershipTo("")
	}()
	select {
	case <-done:
	case <-time.After(timeout):
	}
}

// transferLeadershipTo transfers the leadership to the voter with the given name, or to any voter if the name is empty.
// This instance must be the leader.
func (n *Node) transferLeadershipTo(name string) sharedconfig.Outcome {
	if name != "" && name == n.config.Name {
		return sharedconfig.Outcome{Status: sharedconfig.StatusDone, Reason: name + " is already the leader"}
	}
	var future raft.Future
	if name == "" {
		future = n.raft.LeadershipTransfer()
	} else {
		voter, found := n.voter(name)
		if !found {
			return rejectedOutcome("cannot transfer the leadership to " + name + ": it is not a voter")
		}
		future = n.raft.LeadershipTransferToServer(serverID(voter.Name, voter.DirectoryID), raft.ServerAddress(voter.Addr))
	}
	err := future.Error()
	if errors.Is(err, raft.ErrNotLeader) {
		return sharedconfig.Outcome{Reason: "this instance is not the leader"}
	}
	if err != nil {
		return rejectedOutcome(err.Error())
	}
	return sharedconfig.Outcome{Status: sharedconfig.StatusDone}
}

// voter returns the voter with the given name.
func (n *Node) voter(name string) (sharedconfig.Member, bool) {
	for _, member := range n.Members() {
		if member.Name == name && member.Voter {
			return member, true
		}
	}
	return sharedconfig.Member{}, false
}
