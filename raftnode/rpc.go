package raftnode

import (
	"io"

	"github.com/hashicorp/raft"

	"alderproxy/peer"
	"alderproxy/sharedconfig"
)

// Types of the RPCs between instances. The numbers are part of the protocol.
const (
	rpcAppendEntries byte = 0x10 + iota
	rpcRequestVote
	rpcRequestPreVote
	rpcInstallSnapshot
	rpcTimeoutNow
	rpcRequestLease
	rpcCheckChange
	rpcExecuteCommand
	rpcAppliedIndex
	rpcPollVoter
)

// handlers returns the handlers of all RPCs. They wait until ready is closed.
func (n *Node) handlers(raftTransport *transport, ready <-chan struct{}) map[byte]peer.Handler {
	handlers := map[byte]peer.Handler{
		rpcRequestLease:   n.handleLeaseRequest,
		rpcCheckChange:    n.handleCheck,
		rpcExecuteCommand: n.handleCommand,
		rpcAppliedIndex:   n.handleAppliedIndex,
		rpcPollVoter:      n.handlePoll,
	}
	raftTransport.addHandlers(handlers, n.stop)
	for rpcType, handler := range handlers {
		handlers[rpcType] = func(clientID string, body []byte, stream io.Reader) ([]byte, error) {
			select {
			case <-ready:
				return handler(clientID, body, stream)
			case <-n.stop:
				return nil, ErrStopping
			}
		}
	}
	return handlers
}

func peerTarget(id raft.ServerID, address raft.ServerAddress) peer.Target {
	return peer.Target{ID: string(id), Addr: string(address)}
}

func memberTarget(member sharedconfig.Member) peer.Target {
	return peerTarget(serverID(member.Name, member.DirectoryID), raft.ServerAddress(member.Addr))
}
