package raftnode

import (
	"github.com/anishathalye/porcupine"

	"alderproxy/sharedconfig"
)

// registerCall is a read or a write of the configuration in a history that is checked for linearizability.
type registerCall struct {
	write    bool
	expected uint64 // version that a write expects to replace
	text     string // new text of a write
}

// registerResult is the result of a registerCall.
type registerResult struct {
	status  sharedconfig.Status // of a write
	version uint64
	text    string // of a read
}

type registerState struct {
	version uint64
	text    string
}

// registerModel is the sequential model of the group: one register with a version and a text, changed by
// compare-and-swap.
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

// statesAfterWrite returns the states in which the register may be after a write with the given result.
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
	default: // the outcome is not known: the write takes effect now or not at all
		if expectationHolds {
			return []any{current, written}
		}
		return []any{current}
	}
}
