package raftnode

import (
	"encoding/json"
	"io"
	"time"

	"alderproxy/internal/clock"
	"alderproxy/sharedconfig"
)

const (
	// leaseRequestTimeoutIntervals is the timeout of a lease request, in lease renewal intervals.
	leaseRequestTimeoutIntervals = 4
	// leaseVerificationTimeout limits the wait for the reply to a lease request. The leader replies once a majority has
	// confirmed its leadership.
	leaseVerificationTimeout = 2 * time.Second
)

// requestLease requests a lease and passes the reply to the event loop. It reports no failure: the event loop sends the
// next request after a lease renewal interval.
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

// requestLeaseFromLeader requests a lease from the leader, which may be this instance. If no leader is known, it requests
// one from the other members.
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

// requestLeaseFromMembers requests a lease from one other member after another until one replies with OK. An instance that
// was removed learns of its removal this way, since no leader contacts it any more.
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

// handleLeaseRequest replies to an instance that requests a lease. The instance need not be a member.
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

// handlePoll replies to the poll of a follower.
func (n *Node) handlePoll(_ string, body []byte, _ io.Reader) ([]byte, error) {
	var request sharedconfig.PollRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	// The state and the lease may be of different times. Either order of reading them is safe, since a grant covers its
	// version and all newer ones, and no older one. If the lease is the newer of the two, it may not cover the state's
	// version, and the reply is not OK; the follower polls again.
	state := n.state.Load()
	lease := n.lease.Load()
	return json.Marshal(sharedconfig.NewPollReply(*state, *lease, clock.Now(), n.Members(), request))
}
