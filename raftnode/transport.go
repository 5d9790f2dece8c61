package raftnode

import (
	"io"
	"sync"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/raft"

	"alderproxy/peer"
)

const (
	raftRPCTimeout         = time.Second
	installSnapshotTimeout = 30 * time.Second
)

// transport is a raft.Transport that sends Raft's RPCs through a peer.Endpoint. The handlers of received RPCs are in
// raft_handlers.go.
type transport struct {
	endpoint *peer.Endpoint
	address  raft.ServerAddress
	requests chan raft.RPC

	mu               sync.Mutex
	heartbeatHandler func(raft.RPC)
}

var (
	_ raft.Transport   = (*transport)(nil)
	_ raft.WithPreVote = (*transport)(nil)
)

var msgpackHandle = &codec.MsgpackHandle{}

func newTransport(address string) *transport {
	return &transport{
		address:  raft.ServerAddress(address),
		requests: make(chan raft.RPC),
	}
}

// Consumer returns the channel of received requests.
func (t *transport) Consumer() <-chan raft.RPC { return t.requests }

// LocalAddr returns the address at which the other instances reach this one.
func (t *transport) LocalAddr() raft.ServerAddress { return t.address }

// AppendEntriesPipeline returns an error, so that Raft sends one AppendEntries request at a time to each instance.
func (t *transport) AppendEntriesPipeline(raft.ServerID, raft.ServerAddress) (raft.AppendPipeline, error) {
	return nil, raft.ErrPipelineReplicationNotSupported
}

// EncodePeer encodes an address for a log entry.
func (t *transport) EncodePeer(_ raft.ServerID, address raft.ServerAddress) []byte {
	return []byte(address)
}

// DecodePeer is the inverse of EncodePeer.
func (t *transport) DecodePeer(encoded []byte) raft.ServerAddress { return raft.ServerAddress(encoded) }

// SetHeartbeatHandler sets the function that gets heartbeats instead of the consumer.
func (t *transport) SetHeartbeatHandler(handler func(raft.RPC)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heartbeatHandler = handler
}

// AppendEntries sends log entries or a heartbeat to an instance.
func (t *transport) AppendEntries(
	id raft.ServerID, address raft.ServerAddress, request *raft.AppendEntriesRequest, response *raft.AppendEntriesResponse,
) error {
	return t.call(peerTarget(id, address), rpcAppendEntries, request, response)
}

// RequestVote requests an instance's vote.
func (t *transport) RequestVote(
	id raft.ServerID, address raft.ServerAddress, request *raft.RequestVoteRequest, response *raft.RequestVoteResponse,
) error {
	return t.call(peerTarget(id, address), rpcRequestVote, request, response)
}

// RequestPreVote asks whether an instance would vote for this one.
func (t *transport) RequestPreVote(
	id raft.ServerID, address raft.ServerAddress, request *raft.RequestPreVoteRequest, response *raft.RequestPreVoteResponse,
) error {
	return t.call(peerTarget(id, address), rpcRequestPreVote, request, response)
}

// TimeoutNow makes an instance start an election, to transfer the leadership to it.
func (t *transport) TimeoutNow(
	id raft.ServerID, address raft.ServerAddress, request *raft.TimeoutNowRequest, response *raft.TimeoutNowResponse,
) error {
	return t.call(peerTarget(id, address), rpcTimeoutNow, request, response)
}

// InstallSnapshot sends a snapshot to an instance.
func (t *transport) InstallSnapshot(
	id raft.ServerID, address raft.ServerAddress, request *raft.InstallSnapshotRequest,
	response *raft.InstallSnapshotResponse, data io.Reader,
) error {
	return t.callWithStream(peerTarget(id, address), rpcInstallSnapshot, request, response, data, installSnapshotTimeout)
}

func (t *transport) call(target peer.Target, rpcType byte, request, response any) error {
	return t.callWithStream(target, rpcType, request, response, nil, raftRPCTimeout)
}

func (t *transport) callWithStream(
	target peer.Target, rpcType byte, request, response any, stream io.Reader, timeout time.Duration,
) error {
	body, err := encodeRPC(request)
	if err != nil {
		return err
	}
	result, err := t.endpoint.Call(target, rpcType, body, stream, timeout)
	if err != nil {
		return err
	}
	return decodeRPC(result, response)
}

func encodeRPC(message any) ([]byte, error) {
	var encoded []byte
	err := codec.NewEncoderBytes(&encoded, msgpackHandle).Encode(message)
	return encoded, err
}

func decodeRPC(encoded []byte, message any) error {
	return codec.NewDecoderBytes(encoded, msgpackHandle).Decode(message)
}
