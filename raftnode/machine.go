package raftnode

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/raft"

	"alderproxy/sharedconfig"
)

// machine is what Raft applies the log to. Raft calls Apply, Snapshot and Restore from one goroutine.
type machine struct {
	tell func(sharedconfig.Event)

	mu    sync.Mutex
	state sharedconfig.State
	index uint64 // of the newest entry applied
}

// Apply makes an entry. What no instance can read changes nothing at any of them.
func (m *machine) Apply(l *raft.Log) any {
	e, err := sharedconfig.DecodeEntry(l.Data)
	m.mu.Lock()
	next, o := m.state, sharedconfig.Outcome{}
	if err == nil {
		next, o = m.state.Apply(e)
	}
	m.state, m.index = next, l.Index
	m.mu.Unlock()
	m.tell(sharedconfig.Applied{State: next, Outcomes: []sharedconfig.Outcome{o}})
	return o
}

func (m *machine) now() (sharedconfig.State, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state, m.index
}

// Snapshot is cheap: states are never changed.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
	s, _ := m.now()
	return snapshot(s), nil
}

type snapshot sharedconfig.State

// Persist writes the state behind its checksum.
func (s snapshot) Persist(to raft.SnapshotSink) error {
	text, err := encodeState(sharedconfig.State(s))
	if err == nil {
		_, err = to.Write(text)
	}
	if err != nil {
		return errors.Join(fmt.Errorf("keep the agreed state: %w", err), to.Cancel())
	}
	return to.Close()
}

// Release has nothing to do.
func (snapshot) Release() {}

func encodeState(s sharedconfig.State) ([]byte, error) {
	text, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	return append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(text)), text...), nil
}

// maxState bounds a snapshot, in bytes: the versions that are kept, each at its largest, would be far under it.
const maxState = 1 << 30

func decodeState(from io.Reader) (s sharedconfig.State, err error) {
	text, err := io.ReadAll(io.LimitReader(from, maxState))
	switch {
	case err != nil:
		return s, err
	case len(text) < 8 || binary.BigEndian.Uint64(text) != xxhash.Sum64(text[8:]):
		return s, errors.New("its checksum does not fit")
	}
	if err := json.Unmarshal(text[8:], &s); err != nil {
		return s, err
	}
	return s, s.Check()
}

// Restore replaces the state by a snapshot's.
func (m *machine) Restore(from io.ReadCloser) error {
	defer from.Close()
	s, err := decodeState(from)
	if err != nil {
		return fmt.Errorf("snapshot of the agreed state: %w", err)
	}
	m.mu.Lock()
	m.state = s
	m.mu.Unlock()
	m.tell(sharedconfig.Applied{State: s})
	return nil
}
