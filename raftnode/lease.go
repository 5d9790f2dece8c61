package raftnode

import (
	"encoding/json"
	"io"
	"time"

	"alderproxy/internal/clock"
	"alderproxy/sharedconfig"
)

const (
	// leaseRequestTimeoutIntervals bounds a lease request, in lease renewal intervals.
	leaseRequestTimeoutIntervals = 4
	// leaseVerificationTimeout bounds the wait for a majority before a lease request is answered.
	leaseVerificationTimeout = 2 * time.Second
)

// requestLease requests a lease for the event loop. It reports nothing if the request fails: the event loop sends the
// next one after a lease renewal interval.
func (n *Node) requestLease(seq uint64) {
	timeout := leaseRequestTimeoutIntervals * microseconds(n.settings.LeaseRenewalInterval)
	reply, err := n.requestLeaseFromLeader(timeout)
	if err != nil || !reply.OK {
		n.config.Log.WithError(err).WithField("ask", seq).Debug("no lease granted")
		return
	}
	n.events.push(sharedconfig.LeaseReplyReceived{
		Seq:     seq,
		OK:      reply.OK,
		Version: reply.Version,
		Removed: reply.Removed,
	})
}

// requestLeaseFromLeader requests a lease from the leader, which may be this instance, or from the other members if no
// leader is known.
func (n *Node) requestLeaseFromLeader(timeout time.Duration) (sharedconfig.LeaseReply, error) {
	address, id := n.raft.LeaderWithID()
	var body []byte
	var err error
	switch id {
	case "":
		return n.requestLeaseFromMembers(timeout)
	case n.directory.serverID:
		body, err = n.handleLeaseRequest(string(id), nil, nil)
	default:
		body, err = n.endpoint.Call(peerTarget(id, address), rpcRequestLease, nil, nil, timeout)
	}
	if err != nil {
		return sharedconfig.LeaseReply{}, err
	}
	var reply sharedconfig.LeaseReply
	err = json.Unmarshal(body, &reply)
	return reply, err
}

// requestLeaseFromMembers requests a lease from one member after the other: an instance that was removed hears from no
// leader any more, and learns of its removal this way.
func (n *Node) requestLeaseFromMembers(timeout time.Duration) (sharedconfig.LeaseReply, error) {
	for _, member := range n.Members() {
		target := memberTarget(member)
		if target.ID == string(n.directory.serverID) {
			continue
		}
		body, err := n.endpoint.Call(target, rpcRequestLease, nil, nil, timeout/2)
		var reply sharedconfig.LeaseReply
		if err == nil && json.Unmarshal(body, &reply) == nil && reply.OK {
			return reply, nil
		}
	}
	return sharedconfig.LeaseReply{}, ErrNoLeader
}

// handleLeaseRequest answers a member that requests a lease.
func (n *Node) handleLeaseRequest(clientID string, _ []byte, _ io.Reader) ([]byte, error) {
	_, directoryID, err := parseServerID(clientID)
	if err != nil {
		return nil, err
	}
	reply, ok := callEventLoop(n, n.leaseRequests, leaseVerificationTimeout, func(callID uint64) sharedconfig.Event {
		return sharedconfig.LeaseRequested{CallID: callID, DirectoryID: directoryID}
	})
	if !ok {
		return nil, errNotVerified
	}
	return json.Marshal(reply)
}

// handlePoll answers a follower.
func (n *Node) handlePoll(_ string, body []byte, _ io.Reader) ([]byte, error) {
	var request sharedconfig.PollRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	// The state is read before the lease: a lease for a later version does not cover an earlier one.
	state := n.state.Load()
	lease := n.lease.Load()
	return json.Marshal(sharedconfig.NewPollReply(*state, *lease, clock.Now(), n.Members(), request))
}
