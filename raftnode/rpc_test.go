package raftnode

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/sharedconfig"
)

// The types of RPCs and the names of JSON fields must not change: during an upgrade, instances of different releases call
// each other.
func TestRPCEncoding(t *testing.T) {
	rpcTypes := []byte{
		rpcAppendEntries, rpcRequestVote, rpcRequestPreVote, rpcInstallSnapshot, rpcTimeoutNow,
		rpcRequestLease, rpcCheckChange, rpcExecuteCommand, rpcAppliedIndex, rpcPollVoter,
	}
	assert.Equal(t, []byte{0x10, 0x11, 0x12, 0x13, 0x14, 0x15, 0x16, 0x17, 0x18, 0x19}, rpcTypes)

	name := "n2"
	for want, message := range map[string]any{
		`{"Call":1,"OK":true,"Version":2,"Removed":true}`: sharedconfig.LeaseReply{
			CallID: 1, OK: true, Version: 2, Removed: true,
		},
		`{"remove":"n2"}`:    Command{RemoveMember: name},
		`{"hand_over":"n2"}`: Command{TransferLeadershipTo: &name},
		`{"add":{"name":"n2","folder":"f","addr":"a","voter":true}}`: Command{
			AddMember: &sharedconfig.Member{Name: name, DirectoryID: "f", Addr: "a", Voter: true},
		},
		`{"change":{"request":"r","expect":1,"text":"t","digest":"d","author":"a","reason":"w","at":2}}`: Command{
			Change: &sharedconfig.Change{RequestID: "r", ExpectedVersion: 1, Text: "t", Digest: "d", Author: "a", Reason: "w", RequestedAtMillis: 2},
		},
	} {
		encoded, err := json.Marshal(message)
		require.NoError(t, err)
		assert.JSONEq(t, want, string(encoded))
	}
}
