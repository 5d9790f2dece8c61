package raftnode

import (
	"fmt"
	"io"
	"sync"

	"github.com/hashicorp/raft"

	"alderproxy/sharedconfig"
)

// stateMachine is the raft.FSM that derives the state of the shared configuration from the log's entries. Raft never calls
// Apply, Snapshot and Restore concurrently.
type stateMachine struct {
	notify func(sharedconfig.Event) // gets an EntriesApplied event after each entry and each restored snapshot

	mu    sync.Mutex
	state sharedconfig.State
}

// Apply applies an entry and returns its sharedconfig.Outcome. An entry that cannot be decoded changes the state
// of no instance.
func (m *stateMachine) Apply(log *raft.Log) any {
	state, outcome := m.apply(log)
	m.notify(sharedconfig.EntriesApplied{State: state, Outcomes: []sharedconfig.Outcome{outcome}})
	return outcome
}

func (m *stateMachine) apply(log *raft.Log) (sharedconfig.State, sharedconfig.Outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry, err := sharedconfig.DecodeEntry(log.Data)
	if err != nil {
		return m.state, sharedconfig.Outcome{}
	}
	var outcome sharedconfig.Outcome
	m.state, outcome = m.state.Apply(entry)
	return m.state, outcome
}

func (m *stateMachine) currentState() sharedconfig.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// Snapshot returns a snapshot of the current state, which later entries do not modify.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	return snapshot{state: m.currentState()}, nil
}

// Restore replaces the state with that of a snapshot.
func (m *stateMachine) Restore(reader io.ReadCloser) error {
	state, err := readSnapshot(reader)
	if err != nil {
		return fmt.Errorf("cannot read the snapshot of the shared configuration: %w", err)
	}
	m.mu.Lock()
	m.state = state
	m.mu.Unlock()
	m.notify(sharedconfig.EntriesApplied{State: state})
	return nil
}
