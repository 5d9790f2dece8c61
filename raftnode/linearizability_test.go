package raftnode

import (
	"github.com/anishathalye/porcupine"

	"alderproxy/sharedconfig"
)

// registerCall is a write or a read of the configuration, for the check of linearizability.
type registerCall struct {
	write    bool
	expected uint64 // version that a write replaces
	text     string // that a write writes
}

// registerResult is what a call has returned.
type registerResult struct {
	status  sharedconfig.Status // of a write
	version uint64
	text    string // of a read
}

type registerState struct {
	version uint64
	text    string
}

// registerModel is what the group must look like to its clients: one versioned text, changed by compare-and-swap.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{1, "one"}} },
	Step: func(state, input, output any) []any {
		current, call, result := state.(registerState), input.(registerCall), output.(registerResult)
		if call.write {
			return statesAfterWrite(current, call, result)
		}
		if current == (registerState{result.version, result.text}) {
			return []any{current}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// statesAfterWrite returns the states that a write's result allows.
func statesAfterWrite(current registerState, call registerCall, result registerResult) []any {
	written := registerState{call.expected + 1, call.text}
	expectationHolds := current.version == call.expected
	switch result.status {
	case sharedconfig.StatusDone:
		if expectationHolds && result.version == written.version {
			return []any{written}
		}
		return nil
	case sharedconfig.StatusConflict:
		if !expectationHolds {
			return []any{current}
		}
		return nil
	case sharedconfig.StatusRejected:
		return []any{current}
	default: // unknown: it may have been written, now or later, or not
		if expectationHolds {
			return []any{current, written}
		}
		return []any{current}
	}
}
