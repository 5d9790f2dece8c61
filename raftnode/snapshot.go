package raftnode

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/raft"

	"alderproxy/sharedconfig"
)

const (
	snapshotChecksumSize = 8       // bytes of the checksum before the state
	maxSnapshotSize      = 1 << 30 // bytes
)

// snapshot is the raft.FSMSnapshot that contains a state.
type snapshot struct{ state sharedconfig.State }

// Persist writes the checksum and the state.
func (s snapshot) Persist(sink raft.SnapshotSink) error {
	encoded, err := encodeState(s.state)
	if err == nil {
		_, err = sink.Write(encoded)
	}
	if err != nil {
		return errors.Join(fmt.Errorf("cannot write a snapshot: %w", err), sink.Cancel())
	}
	return sink.Close()
}

// Release does nothing: a snapshot holds no resources.
func (snapshot) Release() {}

func encodeState(state sharedconfig.State) ([]byte, error) {
	text, err := json.Marshal(state)
	if err != nil {
		return nil, err
	}
	encoded := binary.BigEndian.AppendUint64(nil, xxhash.Sum64(text))
	return append(encoded, text...), nil
}

// readSnapshot reads and validates a state that Persist has written, and closes the reader.
func readSnapshot(reader io.ReadCloser) (state sharedconfig.State, err error) {
	encoded, err := io.ReadAll(io.LimitReader(reader, maxSnapshotSize))
	_ = reader.Close() // an error while closing does not affect the content that was read
	if err != nil {
		return state, err
	}
	if len(encoded) < snapshotChecksumSize {
		return state, ErrSnapshotChecksum
	}
	text := encoded[snapshotChecksumSize:]
	if binary.BigEndian.Uint64(encoded) != xxhash.Sum64(text) {
		return state, ErrSnapshotChecksum
	}
	if err := json.Unmarshal(text, &state); err != nil {
		return state, err
	}
	return state, state.Validate()
}
