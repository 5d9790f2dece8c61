package sharedconfig

import "fmt"

// stepState is the clock reading and the collected actions of a Core's or Follower's current step.
type stepState struct {
	now     Micros
	actions []Action
}

// begin starts a step. The clock never runs backwards, whatever the caller passes.
func (s *stepState) begin(now Micros) {
	s.now = max(now, s.now)
	s.actions = nil
}

func (s *stepState) emit(action Action) { s.actions = append(s.actions, action) }

func (s *stepState) logf(format string, args ...any) {
	s.emit(LogMessage{Text: fmt.Sprintf(format, args...)})
}
