package raftnode

import (
	"io"

	"github.com/hashicorp/raft"

	"alderproxy/peer"
)

// addHandlers adds the handlers of Raft's RPCs. They return ErrStopping if stop is closed.
func (t *transport) addHandlers(handlers map[byte]peer.Handler, stop <-chan struct{}) {
	newRequests := map[byte]func() any{
		rpcAppendEntries:   func() any { return &raft.AppendEntriesRequest{} },
		rpcRequestVote:     func() any { return &raft.RequestVoteRequest{} },
		rpcRequestPreVote:  func() any { return &raft.RequestPreVoteRequest{} },
		rpcInstallSnapshot: func() any { return &raft.InstallSnapshotRequest{} },
		rpcTimeoutNow:      func() any { return &raft.TimeoutNowRequest{} },
	}
	for rpcType, newRequest := range newRequests {
		handlers[rpcType] = func(_ string, body []byte, stream io.Reader) ([]byte, error) {
			request := newRequest()
			if err := decodeRPC(body, request); err != nil {
				return nil, err
			}
			responses := make(chan raft.RPCResponse, 1)
			rpc := raft.RPC{Command: request, RespChan: responses}
			if rpcType == rpcInstallSnapshot {
				rpc.Reader = stream
			}
			if err := t.deliver(rpc, stop); err != nil {
				return nil, err
			}
			return awaitResponse(responses, stop)
		}
	}
}

// deliver passes a request to Raft. Heartbeats bypass the queue: behind requests that wait for a slow disk they would come
// too late, and this instance would take the leader for failed.
func (t *transport) deliver(rpc raft.RPC, stop <-chan struct{}) error {
	t.mu.Lock()
	heartbeatHandler := t.heartbeatHandler
	t.mu.Unlock()
	request, ok := rpc.Command.(*raft.AppendEntriesRequest)
	if ok && heartbeatHandler != nil && isHeartbeat(request) {
		heartbeatHandler(rpc)
		return nil
	}
	select {
	case t.requests <- rpc:
		return nil
	case <-stop:
		return ErrStopping
	}
}

// isHeartbeat reports whether a request is a heartbeat: it has a term and a leader's address, but no entries and no
// indexes.
func isHeartbeat(request *raft.AppendEntriesRequest) bool {
	hasLeader := request.Term != 0 && len(request.Addr) != 0
	hasEntries := request.PrevLogEntry != 0 || request.PrevLogTerm != 0 || len(request.Entries) != 0
	return hasLeader && !hasEntries && request.LeaderCommitIndex == 0
}

func awaitResponse(responses <-chan raft.RPCResponse, stop <-chan struct{}) ([]byte, error) {
	select {
	case response := <-responses:
		if response.Error != nil {
			return nil, response.Error
		}
		return encodeRPC(response.Response)
	case <-stop:
		return nil, ErrStopping
	}
}
