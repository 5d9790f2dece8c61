package maintenance

import (
	"fmt"
	"maps"
	"slices"
)

const (
	// maxFinishedPermits is the maximum number of finished permits that are kept for reports and to detect repeated
	// requests.
	maxFinishedPermits = 200 * 52
	// maxOpenPermits is the maximum number of unfinished permits. A request that exceeds it is assumed to be a mistake.
	maxOpenPermits = 10_000
	// maxReportedLoad is the maximum load that an entry may report, as a ratio of the total store weight.
	maxReportedLoad = 100

	microsPerSecond = 1_000_000
)

// State is the result of all entries applied so far. The values that it references are never modified, so a copy of a
// State is a snapshot.
type State struct {
	// Now is the latest time of the entries so far.
	Now    Micros  `json:"now"`
	Layout *Layout `json:"layout,omitempty"`
	Rules  Rules   `json:"rules"`
	// Load is the load of all stores as a ratio of the total store weight; 0 if unknown. It exceeds 1 under overload.
	Load float64 `json:"load"`
	// Permits are in the order of their requests. The oldest finished ones beyond maxFinishedPermits are dropped.
	Permits []Permit `json:"permits"`
	// Unhealthy maps each machine that is unavailable for a reason other than its permit to that reason; see
	// HealthChange.
	Unhealthy map[string]string `json:"unsound,omitempty"`
	// Freeze is the active freeze; nil if there is none.
	Freeze *Freeze `json:"held,omitempty"`
	// LastDrainStartByType maps each type of machine to the time at which the latest drain of such a machine started.
	LastDrainStartByType map[string]Micros `json:"began,omitempty"`
}

// Apply returns the state after an entry, and the outcome of the entry. It is deterministic: all instances that apply
// the same entries have the same state. A rejected entry changes nothing but the time.
func (s State) Apply(entry Entry) (State, Outcome) {
	s.Now = max(s.Now, entry.At)
	switch {
	case entry.Layout != nil:
		if err := entry.Layout.Validate(); err != nil {
			return s, rejectedf("%v", err)
		}
		s.Layout = entry.Layout
	case entry.Rules != nil:
		if err := entry.Rules.Validate(); err != nil {
			return s, rejectedf("%v", err)
		}
		s.Rules = *entry.Rules
	case entry.Load != nil:
		load := *entry.Load
		inRange := load >= 0 && load <= maxReportedLoad // false if the load is NaN
		if !inRange {
			return s, rejectedf("load %v is out of range: it must be from 0 to %d, where 1 is the total store weight", load, maxReportedLoad)
		}
		s.Load = load
	case entry.Request != nil:
		return s.applyRequest(*entry.Request)
	case entry.Transition != nil:
		return s.applyTransition(*entry.Transition)
	case entry.HealthChange != nil:
		s.Unhealthy = s.unhealthyAfter(*entry.HealthChange)
	case entry.Freeze != nil:
		s.Freeze = nil
		if entry.Freeze.Active {
			s.Freeze = entry.Freeze
		}
	}
	return s, applied()
}

// unhealthyAfter returns Unhealthy after a change.
func (s State) unhealthyAfter(change HealthChange) map[string]string {
	unhealthy := make(map[string]string, len(s.Unhealthy)+1)
	maps.Copy(unhealthy, s.Unhealthy)
	if change.Healthy {
		delete(unhealthy, change.Machine)
	} else {
		unhealthy[change.Machine] = change.Reason
	}
	return unhealthy
}

// permitIndex returns the index of the permit for a machine in a request, or -1 if there is none.
func (s State) permitIndex(request, machine string) int {
	return slices.IndexFunc(s.Permits, func(permit Permit) bool {
		return permit.RequestName == request && permit.Machine == machine
	})
}

// applyRequest adds a permit for each machine of a request. A request whose name is that of an existing permit is taken
// for a repetition: it has no effect and counts as applied, even if it differs from the first one.
func (s State) applyRequest(request Request) (State, Outcome) {
	repeated := slices.ContainsFunc(s.Permits, func(permit Permit) bool { return permit.RequestName == request.Name })
	if repeated {
		return s, applied()
	}
	openRequestByMachine := map[string]string{}
	openPermits := 0
	for _, permit := range s.Permits {
		if !permit.Step.isFinal() {
			openRequestByMachine[permit.Machine] = permit.RequestName
			openPermits++
		}
	}
	switch {
	case s.Layout == nil:
		return s, rejectedf("cannot accept request %s: the layout is not known yet", request.Name)
	case request.Name == "" || len(request.Machines) == 0:
		return s, rejectedf("request %q for %d machines must have a name and at least one machine", request.Name, len(request.Machines))
	case request.WorkDuration <= 0 || request.WorkDuration > maxDuration:
		return s, rejectedf("request %s: work duration of %d us must be from 1 us to %d us (30 days)", request.Name, request.WorkDuration, maxDuration)
	case !request.hasValidWindow(s.Now):
		return s, rejectedf("request %s: time window from %d to %d us has a negative limit, ends before it starts, or has passed at %d us", request.Name, request.NotBefore, request.NotAfter, s.Now)
	case openPermits+len(request.Machines) > maxOpenPermits:
		return s, rejectedf("request %s: %d open permits and %d requested machines exceed the maximum of %d open permits", request.Name, openPermits, len(request.Machines), maxOpenPermits)
	}
	permits := slices.Clone(s.Permits)
	for _, machine := range request.Machines {
		if s.Layout.Machine(machine) == nil {
			return s, rejectedf("request %s: machine %s is not in the layout", request.Name, machine)
		}
		if openRequestByMachine[machine] != "" {
			return s, rejectedf("request %s: machine %s is already part of open request %s", request.Name, machine, openRequestByMachine[machine])
		}
		openRequestByMachine[machine] = request.Name
		permits = append(permits, request.newPermit(machine, s.Now))
	}
	s.Permits = permits
	return s, applied()
}

func (r Request) hasValidWindow(now Micros) bool {
	if r.NotBefore < 0 || r.NotAfter < 0 {
		return false
	}
	return r.NotAfter == 0 || r.NotAfter >= max(r.NotBefore, now)
}

// newPermit returns a new permit for a machine of the request.
func (r Request) newPermit(machine string, now Micros) Permit {
	return Permit{
		RequestName:   r.Name,
		Machine:       machine,
		RequestedBy:   r.RequestedBy,
		Reason:        r.Reason,
		Urgency:       r.Urgency,
		WorkDuration:  r.WorkDuration,
		NotBefore:     r.NotBefore,
		NotAfter:      r.NotAfter,
		RequestedAt:   now,
		Step:          Requested,
		StepReachedAt: now,
	}
}

// applyTransition moves a permit to another step. A transition to Draining must keep the rules unless it overrides
// them.
func (s State) applyTransition(transition Transition) (State, Outcome) {
	i := s.permitIndex(transition.RequestName, transition.Machine)
	if i < 0 {
		return s, rejectedf("cannot move machine %s of request %s: there is no such permit", transition.Machine, transition.RequestName)
	}
	permit := s.Permits[i]
	if permit.Step == transition.To {
		return s, applied() // the transition is repeated
	}
	if permit.Step != transition.From || !slices.Contains(allowedTransitions[permit.Step], transition.To) {
		return s, rejectedf("cannot move machine %s of request %s from step %s to %s: it is at step %s, which may be followed by %v", permit.Machine, permit.RequestName, transition.From, transition.To, permit.Step, allowedTransitions[permit.Step])
	}
	if transition.To == Draining {
		if transition.OverrideReason == "" {
			if violation := s.drainViolation(permit); violation != nil {
				return s, Outcome{Rule: violation.Rule, Reason: violation.Reason}
			}
		}
		s.LastDrainStartByType = s.lastDrainStartsAfter(permit.Machine)
		permit.DrainStartedAt = s.Now
		permit.OverrideReason = transition.OverrideReason
	}
	permit.Step = transition.To
	permit.StepReachedAt = s.Now
	permit.StepReason = transition.Reason
	s.Permits = slices.Clone(s.Permits)
	s.Permits[i] = permit
	s.dropOldestFinishedPermits()
	return s, applied()
}

// lastDrainStartsAfter returns LastDrainStartByType after the start of the drain of a machine.
func (s State) lastDrainStartsAfter(machineName string) map[string]Micros {
	machine := s.Layout.Machine(machineName)
	if machine == nil {
		return s.LastDrainStartByType
	}
	lastDrainStarts := make(map[string]Micros, len(s.LastDrainStartByType)+1)
	maps.Copy(lastDrainStarts, s.LastDrainStartByType)
	lastDrainStarts[machine.Type] = s.Now
	return lastDrainStarts
}

// dropOldestFinishedPermits drops the oldest finished permits beyond maxFinishedPermits. It modifies Permits in place,
// so the caller must have cloned them.
func (s *State) dropOldestFinishedPermits() {
	finished := 0
	for _, permit := range s.Permits {
		if permit.Step.isFinal() {
			finished++
		}
	}
	s.Permits = slices.DeleteFunc(s.Permits, func(permit Permit) bool {
		drop := permit.Step.isFinal() && finished > maxFinishedPermits
		if drop {
			finished--
		}
		return drop
	})
}

// availability returns a tracker that records what is unavailable in this state.
func (s State) availability() *availabilityTracker {
	tracker := newAvailabilityTracker(s.Layout, s.Rules, s.Load)
	for _, permit := range s.Permits {
		if permit.Step.isUnavailable() {
			tracker.setUnavailable(s.Layout.Machine(permit.Machine), true)
		}
	}
	for machine := range s.Unhealthy {
		tracker.setUnavailable(s.Layout.Machine(machine), true)
	}
	maps.Copy(tracker.lastDrainStartByType, s.LastDrainStartByType)
	return tracker
}

// drainViolation returns the violation that forbids starting the drain of a permit now, or nil.
func (s State) drainViolation(permit Permit) *RuleViolation {
	machine := s.Layout.Machine(permit.Machine)
	switch {
	case machine == nil:
		return violationf("", "machine %s is not in the layout", permit.Machine)
	case s.Freeze != nil:
		return violationf(RuleFreeze, "drains are frozen by %s: %s", s.Freeze.RequestedBy, s.Freeze.Reason)
	case permit.NotBefore > s.Now:
		return violationf(RuleTimeWindow, "the time window of the request has not started")
	case permit.isExpiredAt(s.Now):
		return violationf(RuleTimeWindow, "the time window of the request has passed")
	}
	tracker := s.availability()
	if violation := tracker.violationIfUnavailable(machine); violation != nil {
		return violation
	}
	if start, rule := tracker.earliestDrainStart(machine, s.Now); start != s.Now {
		return &RuleViolation{Rule: rule, Reason: fmt.Sprintf("the drain of machine %s cannot start for at least %d s", permit.Machine, (start-s.Now)/microsPerSecond)}
	}
	return nil
}
