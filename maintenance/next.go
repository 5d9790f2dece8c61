package maintenance

import "slices"

// NextTransitions returns the transitions that a leader proposes now: the start of drains, the recall of drains that
// are no longer permitted, and the end of permits that expired or completed. A recall moves a permit from Draining back
// to Requested.
//
// The fault describes a condition outside this package during which no machine may be drained, for example an
// unreachable zone; it is empty if there is none. During a fault, all permits at step Draining are recalled, with the
// fault as the reason. No drain is started during a fault or a freeze, or while a machine is unhealthy after its
// maintenance.
func (s State) NextTransitions(now Micros, fault string) []Transition {
	s.Now = max(s.Now, now)
	if s.Layout == nil {
		return nil
	}
	transitions := s.dueTransitions(fault)
	if fault != "" || s.Freeze != nil || s.anyReturnedUnhealthy() {
		return transitions
	}
	return append(transitions, s.drainsToStart()...)
}

// anyReturnedUnhealthy reports whether a machine is unhealthy after its maintenance. No further drain is started then.
func (s State) anyReturnedUnhealthy() bool {
	return slices.ContainsFunc(s.Permits, func(permit Permit) bool {
		returned := permit.Step == Returning || permit.Step == WarmingUp
		return returned && s.Unhealthy[permit.Machine] != ""
	})
}

// dueTransitions returns the expirations, recalls and completions that are due.
func (s State) dueTransitions(fault string) []Transition {
	var transitions []Transition
	tracker := s.availability()
	for _, permit := range s.Permits {
		switch permit.Step {
		case Requested:
			if permit.isExpiredAt(s.Now) {
				transitions = append(transitions, permit.transition(Expired, "its window passed"))
			}
		case Draining:
			if reason := s.checkRecall(tracker, permit, fault); reason != "" {
				transitions = append(transitions, permit.transition(Requested, reason))
			}
		case WarmingUp:
			warm := s.Now-permit.StepReachedAt >= s.Rules.WarmUpDuration
			if warm && s.Unhealthy[permit.Machine] == "" {
				transitions = append(transitions, permit.transition(Completed, ""))
			}
		default: // the next transition is proposed by an operator or an instance
		}
	}
	return transitions
}

// checkRecall returns the reason to recall a drain, or an empty string if the drain continues. A drain is recalled
// during a fault, or when the rules no longer permit it, for example because another machine became unavailable, the
// load rose, or the rules or the layout changed. The rules on time are not checked. A drain that overrides the rules,
// or whose machine is not in the layout, is recalled only during a fault. If the rules are the reason, checkRecall
// records the machine as available in tracker, so that the remaining drains are checked without it.
func (s State) checkRecall(tracker *availabilityTracker, permit Permit, fault string) string {
	machine := s.Layout.Machine(permit.Machine)
	if fault != "" || permit.OverrideReason != "" || machine == nil {
		return fault
	}
	tracker.setUnavailable(machine, false)
	if violation := tracker.violationIfUnavailable(machine); violation != nil {
		return violation.String()
	}
	tracker.setUnavailable(machine, true)
	return ""
}

// drainsToStart returns the starts of the drains that the rules permit now, all together. Machines are considered in
// the order of their priority.
func (s State) drainsToStart() []Transition {
	waiting := slices.DeleteFunc(slices.Clone(s.Permits), func(permit Permit) bool {
		return permit.Step != Requested ||
			permit.NotBefore > s.Now ||
			permit.isExpiredAt(s.Now) ||
			s.Layout.Machine(permit.Machine) == nil
	})
	s.sortByPriority(waiting)
	var transitions []Transition
	tracker := s.availability()
	for _, permit := range waiting {
		machine := s.Layout.Machine(permit.Machine)
		if start, _ := tracker.earliestDrainStart(machine, s.Now); start != s.Now || tracker.violationIfUnavailable(machine) != nil {
			continue
		}
		tracker.startDrain(machine, s.Now)
		transitions = append(transitions, permit.transition(Draining, ""))
	}
	return transitions
}
