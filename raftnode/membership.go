package raftnode

import (
	"encoding/json"
	"io"
	"time"

	"github.com/hashicorp/raft"

	"alderproxy/peer"
	"alderproxy/sharedconfig"
)

const (
	// membershipTimeout limits the wait until Raft accepts a membership change, not the wait for the commit.
	membershipTimeout = 5 * time.Second
	// catchUpPollInterval is the time between two requests for the applied index of a new member.
	catchUpPollInterval = 20 * time.Millisecond
)

// Members returns the members by the newest configuration in this instance's log, committed or not.
func (n *Node) Members() []sharedconfig.Member {
	future := n.raft.GetConfiguration()
	if future.Error() != nil {
		return nil
	}
	return membersFromConfiguration(future.Configuration())
}

func membersFromConfiguration(configuration raft.Configuration) []sharedconfig.Member {
	var members []sharedconfig.Member
	for _, server := range configuration.Servers {
		name, directoryID, err := parseServerID(string(server.ID))
		if err != nil {
			continue
		}
		members = append(members, sharedconfig.Member{
			Name:        name,
			DirectoryID: directoryID,
			Addr:        string(server.Address),
			Voter:       server.Suffrage == raft.Voter,
		})
	}
	return members
}

// isMember reports whether a server ID is that of a member.
func (n *Node) isMember(id string) bool {
	for _, member := range n.Members() {
		if memberTarget(member).ID == id {
			return true
		}
	}
	return false
}

// changeMembership adds, changes or removes a member in Raft's configuration.
func (n *Node) changeMembership(action sharedconfig.ChangeMembership) {
	id := serverID(action.Member.Name, action.Member.DirectoryID)
	address := raft.ServerAddress(action.Member.Addr)
	var future raft.IndexFuture
	switch {
	case action.Remove:
		future = n.raft.RemoveServer(id, 0, membershipTimeout)
	case action.Member.Voter:
		future = n.raft.AddVoter(id, address, 0, membershipTimeout)
	default:
		future = n.raft.AddNonvoter(id, address, 0, membershipTimeout)
	}
	result := sharedconfig.ChangeMembershipResult{Seq: action.Seq, OK: true}
	if err := future.Error(); err != nil {
		result.OK = false
		result.Reason = err.Error()
	}
	n.events.push(sharedconfig.MemberList{Members: n.Members()})
	n.events.push(result)
}

// waitForCatchUp waits until a member has applied all entries that are committed now, and notifies the event loop. It
// reports nothing if the check timeout passes first.
func (n *Node) waitForCatchUp(member sharedconfig.Member) {
	timeout := microseconds(n.settings.CheckTimeout)
	committed := n.raft.CommitIndex()
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		applied, err := n.requestAppliedIndex(memberTarget(member), timeout)
		if err == nil && applied >= committed {
			n.events.push(sharedconfig.CaughtUp{DirectoryID: member.DirectoryID})
			return
		}
		select {
		case <-time.After(catchUpPollInterval):
		case <-n.stop:
			return
		}
	}
}

func (n *Node) requestAppliedIndex(target peer.Target, timeout time.Duration) (index uint64, err error) {
	body, err := n.endpoint.Call(target, rpcAppliedIndex, nil, nil, timeout)
	if err != nil {
		return 0, err
	}
	err = json.Unmarshal(body, &index)
	return index, err
}

// handleAppliedIndex replies with the index of the last entry that this instance has applied.
func (n *Node) handleAppliedIndex(string, []byte, io.Reader) ([]byte, error) {
	return json.Marshal(n.raft.AppliedIndex())
}
