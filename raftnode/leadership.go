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

// waitUntilReady notifies the event loop when this instance has applied all entries of earlier terms.
func (n *Node) waitUntilReady(term uint64) {
	const noTimeout = 0
	if n.raft.Barrier(noTimeout).Error() == nil {
		n.events.push(sharedconfig.LeaderReady{Term: term})
	}
}

// verifyLeadership asks a majority whether this instance is still the leader of its term.
func (n *Node) verifyLeadership(seq uint64) {
	term := n.raft.CurrentTerm()
	err := n.raft.VerifyLeader().Error()
	if n.raft.CurrentTerm() != term {
		term = 0 // the answer may be about either term
	}
	n.events.push(sharedconfig.VerifyLeadershipResult{Seq: seq, OK: err == nil, Term: term})
}

// TransferLeadership gives the leadership, if this instance has it, to any other voter. Before a planned stop it spares
// the group an election. It waits for the timeout at most.
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

// transferLeadershipTo transfers the leadership to the voter with a name, or to any voter if the name is empty.
func (n *Node) transferLeadershipTo(name string) sharedconfig.Outcome {
	if name != "" && name == n.config.Name {
		return sharedconfig.Outcome{Status: sharedconfig.StatusDone, Reason: name + " leads"}
	}
	var future raft.Future
	if name == "" {
		future = n.raft.LeadershipTransfer()
	} else {
		voter, found := n.voter(name)
		if !found {
			return refusedOutcome("there is no instance " + name + " with a vote")
		}
		future = n.raft.LeadershipTransferToServer(serverID(voter.Name, voter.DirectoryID), raft.ServerAddress(voter.Addr))
	}
	err := future.Error()
	if errors.Is(err, raft.ErrNotLeader) {
		return sharedconfig.Outcome{Reason: "this instance does not lead"}
	}
	if err != nil {
		return refusedOutcome(err.Error())
	}
	return sharedconfig.Outcome{Status: sharedconfig.StatusDone}
}

// voter returns the voter with a name.
func (n *Node) voter(name string) (sharedconfig.Member, bool) {
	for _, member := range n.Members() {
		if member.Name == name && member.Voter {
			return member, true
		}
	}
	return sharedconfig.Member{}, false
}
