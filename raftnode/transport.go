package raftnode

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/raft"

	"alderproxy/peer"
)

// Kinds of calls between instances.
const (
	callAppend byte = 0x10 + iota
	callVote
	callPreVote
	callSnapshot
	callTimeoutNow
	callLease
	callCheck
	callForward
	callApplied
	callFollow
)

// rpcLimit is how long a Raft call may take; a snapshot has more.
const (
	rpcLimit      = time.Second
	snapshotLimit = 30 * time.Second
)

// transport carries Raft's calls over a peer.Net. It is a raft.Transport.
type transport struct {
	net   *peer.Endpoint
	addr  raft.ServerAddress
	calls chan raft.RPC

	mu        sync.Mutex
	heartbeat func(raft.RPC)
}

var (
	_         raft.Transport   = (*transport)(nil)
	_         raft.WithPreVote = (*transport)(nil)
	msgpack                    = &codec.MsgpackHandle{}
	errClosed                  = errors.New("the instance is stopping")
)

func (t *transport) Consumer() <-chan raft.RPC     { return t.calls }
func (t *transport) LocalAddr() raft.ServerAddress { return t.addr }

func (t *transport) AppendEntriesPipeline(raft.ServerID, raft.ServerAddress) (raft.AppendPipeline, error) {
	return nil, raft.ErrPipelineReplicationNotSupported
}

func (t *transport) EncodePeer(_ raft.ServerID, addr raft.ServerAddress) []byte { return []byte(addr) }

func (t *transport) DecodePeer(text []byte) raft.ServerAddress { return raft.ServerAddress(text) }

func (t *transport) SetHeartbeatHandler(h func(raft.RPC)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heartbeat = h
}

func encode(v any) ([]byte, error) {
	var text []byte
	err := codec.NewEncoderBytes(&text, msgpack).Encode(v)
	return text, err
}

func decode(text []byte, v any) error { return codec.NewDecoderBytes(text, msgpack).Decode(v) }

func (t *transport) call(id raft.ServerID, addr raft.ServerAddress, kind byte, args, resp any, data io.Reader, limit time.Duration) error {
	body, err := encode(args)
	if err != nil {
		return err
	}
	answer, err := t.net.Call(peer.Target{ID: string(id), Addr: string(addr)}, kind, body, data, limit)
	if err != nil {
		return err
	}
	return decode(answer, resp)
}

func (t *transport) AppendEntries(id raft.ServerID, addr raft.ServerAddress, args *raft.AppendEntriesRequest, resp *raft.AppendEntriesResponse) error {
	return t.call(id, addr, callAppend, args, resp, nil, rpcLimit)
}

func (t *transport) RequestVote(id raft.ServerID, addr raft.ServerAddress, args *raft.RequestVoteRequest, resp *raft.RequestVoteResponse) error {
	return t.call(id, addr, callVote, args, resp, nil, rpcLimit)
}

func (t *transport) RequestPreVote(id raft.ServerID, addr raft.ServerAddress, args *raft.RequestPreVoteRequest, resp *raft.RequestPreVoteResponse) error {
	return t.call(id, addr, callPreVote, args, resp, nil, rpcLimit)
}

func (t *transport) InstallSnapshot(id raft.ServerID, addr raft.ServerAddress, args *raft.InstallSnapshotRequest, resp *raft.InstallSnapshotResponse, data io.Reader) error {
	return t.call(id, addr, callSnapshot, args, resp, data, snapshotLimit)
}

func (t *transport) TimeoutNow(id raft.ServerID, addr raft.ServerAddress, args *raft.TimeoutNowRequest, resp *raft.TimeoutNowResponse) error {
	return t.call(id, addr, callTimeoutNow, args, resp, nil, rpcLimit)
}

// handlers are the receiving end. stop closes with the instance.
func (t *transport) handlers(stop <-chan struct{}) map[byte]peer.Handler {
	all := map[byte]peer.Handler{}
	for kind, fresh := range map[byte]func() any{
		callAppend:     func() any { return &raft.AppendEntriesRequest{} },
		callVote:       func() any { return &raft.RequestVoteRequest{} },
		callPreVote:    func() any { return &raft.RequestPreVoteRequest{} },
		callSnapshot:   func() any { return &raft.InstallSnapshotRequest{} },
		callTimeoutNow: func() any { return &raft.TimeoutNowRequest{} },
	} {
		all[kind] = func(_ string, body []byte, stream io.Reader) ([]byte, error) {
			args := fresh()
			if err := decode(body, args); err != nil {
				return nil, err
			}
			answer := make(chan raft.RPCResponse, 1)
			rpc := raft.RPC{Command: args, RespChan: answer}
			if kind == callSnapshot {
				rpc.Reader = stream
			}
			if a, ok := args.(*raft.AppendEntriesRequest); ok && t.beat(a, rpc) {
				return result(answer, stop)
			}
			select {
			case t.calls <- rpc:
			case <-stop:
				return nil, errClosed
			}
			return result(answer, stop)
		}
	}
	return all
}

// beat hands a heartbeat over past the queue, so that a slow disk does not look like a dead leader.
func (t *transport) beat(a *raft.AppendEntriesRequest, rpc raft.RPC) bool {
	t.mu.Lock()
	h := t.heartbeat
	t.mu.Unlock()
	if h == nil || a.Term == 0 || len(a.Addr) == 0 || a.PrevLogEntry != 0 || a.PrevLogTerm != 0 || len(a.Entries) != 0 ||
		a.LeaderCommitIndex != 0 {
		return false
	}
	h(rpc)
	return true
}

func result(answer <-chan raft.RPCResponse, stop <-chan struct{}) ([]byte, error) {
	select {
	case r := <-answer:
		if r.Error != nil {
			return nil, r.Error
		}
		return encode(r.Response)
	case <-stop:
		return nil, errClosed
	}
}

// serverID and splitID are between a member and its id: its name, a dot and its folder.
func serverID(name, folder string) raft.ServerID { return raft.ServerID(name + "." + folder) }

func parseServerID(id string) (name, folder string, err error) {
	name, folder, ok := strings.Cut(id, ".")
	if !ok || name == "" || folder == "" {
		return "", "", fmt.Errorf("%q is no id of an instance", id)
	}
	return name, folder, nil
}
