package maintenance

import "slices"

// NextTransitions returns the transitions that a leader proposes now: the start of drains, the recall of drains that are
// not complete and no longer permitted, and the end of permits that expired or completed. A fault, described for
// operators, recalls all drains and starts none; empty is no fault.
func (s State) NextTransitions(now Micros, fault string) []Transition {
	s.Now = max(s.Now, now)
	if s.Layout == nil {
		return nil
	}
	transitions := s.transitionsOfOpenPermits(fault)
	if fault != "" || s.Freeze != nil || s.anyReturnedUnhealthy() {
		return transitions
	}
	return append(transitions, s.drainsToStart()...)
}

// anyReturnedUnhealthy reports whether a machine is unhealthy after its maintenance. No further drain starts then.
func (s State) anyReturnedUnhealthy() bool {
	return slices.ContainsFunc(s.Permits, func(permit Permit) bool {
		returned := permit.Step == Returning || permit.Step == WarmingUp
		return returned && s.Unhealthy[permit.Machine] != ""
	})
}

// transitionsOfOpenPermits returns the expirations, recalls and completions.
func (s State) transitionsOfOpenPermits(fault string) []Transition {
	var transitions []Transition
	outages := s.outageCounts()
	for _, permit := range s.Permits {
		switch permit.Step {
		case Requested:
			if permit.isExpiredAt(s.Now) {
				transitions = append(transitions, permit.transition(Expired, "its window passed"))
			}
		case Draining:
			if reason := s.recallReason(outages, permit, fault); reason != "" {
				transitions = append(transitions, permit.transition(Requested, reason))
			}
		case WarmingUp:
			warm := s.Now-permit.StepReachedAt >= s.Rules.WarmUpDuration
			if warm && s.Unhealthy[permit.Machine] == "" {
				transitions = append(transitions, permit.transition(Completed, ""))
			}
		default: // the next transition is an operator's or an instance's
		}
	}
	return transitions
}

// recallReason returns why a drain is to be recalled, or an empty string: there is a fault, or the rules no longer permit
// it, since another machine went out or the rules were tightened. A machine to be recalled is removed from the outages,
// so that the remaining drains are judged without it.
func (s State) recallReason(outages *outageCounts, permit Permit, fault string) string {
	machine := s.Layout.Machine(permit.Machine)
	if fault != "" || permit.OverrideReason != "" || machine == nil {
		return fault
	}
	outages.setUnavailable(machine, false)
	if violation := outages.violationIfUnavailable(machine); violation != nil {
		return violation.String()
	}
	outages.setUnavailable(machine, true)
	return ""
}

// drainsToStart returns the drains that the rules permit together.
func (s State) drainsToStart() []Transition {
	waiting := slices.DeleteFunc(slices.Clone(s.Permits), func(permit Permit) bool {
		return permit.Step != Requested ||
			permit.NotBefore > s.Now ||
			permit.isExpiredAt(s.Now) ||
			s.Layout.Machine(permit.Machine) == nil
	})
	s.sortByPriority(waiting)
	var transitions []Transition
	outages := s.outageCounts()
	for _, permit := range waiting {
		machine := s.Layout.Machine(permit.Machine)
		if start, _ := outages.earliestDrainStart(machine, s.Now); start != s.Now || outages.violationIfUnavailable(machine) != nil {
			continue
		}
		outages.startDrain(machine, s.Now)
		transitions = append(transitions, permit.transition(Draining, ""))
	}
	return transitions
}
