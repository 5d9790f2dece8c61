package sharedconfig

import "fmt"

// stepState holds the clock reading and the collected actions of the current step of a Core or Follower.
type stepState struct {
	now     Micros
	actions []Action
}

// begin starts a step. Time never goes backwards, even if the caller passes an earlier time.
func (s *stepState) begin(now Micros) {
	s.now = max(now, s.now)
	s.actions = nil
}

func (s *stepState) emit(action Action) { s.actions = append(s.actions, action) }

func (s *stepState) logf(format string, args ...any) {
	s.emit(LogMessage{Text: fmt.Sprintf(format, args...)})
}
