package maintenance

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
)

// noTime stands for a missing time where 0 is a valid time.
const noTime Micros = -1

// PlannedDrain is the predicted drain and return of one machine.
type PlannedDrain struct {
	RequestName string `json:"request"`
	Machine     string `json:"machine"`
	// Wave is the number, from 1, of the group of drains that start at the same time; 0 if the machine is already
	// unavailable.
	Wave     int    `json:"wave"`
	StartsAt Micros `json:"begin"`
	// AvailableAt is the time at which the machine counts as available again.
	AvailableAt Micros `json:"back"`
}

// UndrainableMachine is a machine whose maintenance was requested but that the plan cannot drain.
type UndrainableMachine struct {
	RequestName string `json:"request"`
	Machine     string `json:"machine"`
	RuleViolation
	// Remedy tells an operator how to resolve the violation. Other rules may still forbid the drain.
	Remedy string `json:"nearest"`
}

// Plan is the predicted order of the drains.
type Plan struct {
	// Drains are sorted by StartsAt.
	Drains      []PlannedDrain       `json:"turns"`
	Undrainable []UndrainableMachine `json:"never,omitempty"`
	// End is the time at which the last machine counts as available again.
	End Micros `json:"end"`
}

// Plan predicts the drains of all open permits. Each wave starts the drains that the rules allow at its time,
// considered in the order of sortByPriority. The first wave is at State.Now, and the next ones are when another machine
// returns or a restriction on time ends. The prediction ignores a freeze, and does not stop while a machine is
// unhealthy after its maintenance. It assumes that the load stays the same and that unhealthy machines stay unhealthy.
func (s State) Plan() Plan {
	if s.Layout == nil {
		return Plan{}
	}
	p := newPlanner(s)
	for len(p.waiting) > 0 {
		p.startWave()
		if p.nextTime == noTime {
			p.markWaitingUndrainable()
			break
		}
		p.advanceTime()
	}
	slices.SortStableFunc(p.plan.Drains, func(a, b PlannedDrain) int { return cmp.Compare(a.StartsAt, b.StartsAt) })
	return p.plan
}

// planner simulates the drains of a plan.
type planner struct {
	state   State
	tracker *availabilityTracker
	returns returnQueue
	waiting []Permit // by priority
	now     Micros
	wave    int
	// nextTime is the first time after now at which another drain may become possible, or noTime.
	nextTime Micros
	plan     Plan
}

func newPlanner(s State) *planner {
	p := &planner{state: s, tracker: s.availability(), now: s.Now, nextTime: noTime}
	for _, permit := range s.Permits {
		machine := s.Layout.Machine(permit.Machine)
		switch {
		case permit.Step.isUnavailable():
			p.addDrain(machine, PlannedDrain{
				RequestName: permit.RequestName,
				Machine:     permit.Machine,
				StartsAt:    permit.DrainStartedAt,
				AvailableAt: s.Now + s.remainingUnavailableDuration(permit),
			})
		case permit.Step == Requested:
			if undrainable := s.checkDrainable(permit, machine); undrainable != nil {
				p.plan.Undrainable = append(p.plan.Undrainable, *undrainable)
			} else {
				p.waiting = append(p.waiting, permit)
			}
		}
	}
	s.sortByPriority(p.waiting)
	return p
}

// addDrain adds a drain to the plan and the return of the machine to the queue.
func (p *planner) addDrain(machine *Machine, drain PlannedDrain) {
	p.plan.Drains = append(p.plan.Drains, drain)
	p.plan.End = max(p.plan.End, drain.AvailableAt)
	heap.Push(&p.returns, machineReturn{at: drain.AvailableAt, machine: machine})
}

// lowerNextTime sets nextTime to the given time if that is after now and before nextTime.
func (p *planner) lowerNextTime(at Micros) {
	if at > p.now && (p.nextTime == noTime || at < p.nextTime) {
		p.nextTime = at
	}
}

// startWave moves expired permits to the undrainable ones, starts all drains that the rules allow now, and sets
// nextTime.
func (p *planner) startWave() {
	p.nextTime = noTime
	wave := p.wave + 1
	p.waiting = slices.DeleteFunc(p.waiting, func(permit Permit) bool {
		machine := p.state.Layout.Machine(permit.Machine)
		if permit.isExpiredAt(p.now) {
			p.addUndrainable(permit, RuleViolation{RuleTimeWindow, "the drain could start only after the end of its time window"}, "cancel the permit and request the machine under a new request name, with a later end of the time window or a higher urgency")
			return true
		}
		if !p.mayDrain(permit, machine) {
			return false
		}
		p.wave = wave
		p.tracker.startDrain(machine, p.now)
		p.addDrain(machine, PlannedDrain{
			RequestName: permit.RequestName,
			Machine:     permit.Machine,
			Wave:        wave,
			StartsAt:    p.now,
			AvailableAt: p.now + p.state.unavailableDuration(permit),
		})
		return true
	})
	if len(p.returns) > 0 {
		p.lowerNextTime(p.returns[0].at)
	}
}

// mayDrain reports whether the drain of a permit may start now. If it is too early, mayDrain lowers nextTime to the
// earliest start.
func (p *planner) mayDrain(permit Permit, machine *Machine) bool {
	if permit.NotBefore > p.now {
		p.lowerNextTime(permit.NotBefore)
		return false
	}
	if start, _ := p.tracker.earliestDrainStart(machine, p.now); start != p.now {
		p.lowerNextTime(start)
		return false
	}
	return p.tracker.violationIfUnavailable(machine) == nil
}

// advanceTime sets the time to nextTime and records the machines that return by then as available, except unhealthy
// ones.
func (p *planner) advanceTime() {
	p.now = p.nextTime
	for len(p.returns) > 0 && p.returns[0].at <= p.now {
		returned := heap.Pop(&p.returns).(machineReturn)
		if returned.machine != nil && p.state.Unhealthy[returned.machine.Name] == "" {
			p.tracker.setUnavailable(returned.machine, false)
		}
	}
}

// markWaitingUndrainable adds all waiting machines to the undrainable ones, as they wait for unavailable machines whose
// return is not known.
func (p *planner) markWaitingUndrainable() {
	for _, permit := range p.waiting {
		violation := RuleViolation{}
		if v := p.tracker.violationIfUnavailable(p.state.Layout.Machine(permit.Machine)); v != nil {
			violation = *v
		}
		p.addUndrainable(permit, violation, "return the unavailable machines to service")
	}
}

func (p *planner) addUndrainable(permit Permit, violation RuleViolation, remedy string) {
	p.plan.Undrainable = append(p.plan.Undrainable, UndrainableMachine{
		RequestName:   permit.RequestName,
		Machine:       permit.Machine,
		RuleViolation: violation,
		Remedy:        remedy,
	})
}

// unavailableDuration returns the time for which a machine is unavailable, from the start of the drain to the end of
// the warm-up.
func (s State) unavailableDuration(permit Permit) Micros {
	return s.Rules.DrainDuration + permit.WorkDuration + s.Rules.WarmUpDuration
}

// remainingUnavailableDuration returns the time after which an unavailable machine is expected to be available. For a
// machine at step Drained, too, DrainDuration counts from the time at which it reached its step.
func (s State) remainingUnavailableDuration(permit Permit) Micros {
	elapsed := s.Now - permit.StepReachedAt
	switch permit.Step {
	case Draining, Drained:
		return max(0, s.Rules.DrainDuration-elapsed) + permit.WorkDuration + s.Rules.WarmUpDuration
	case InMaintenance:
		return max(0, permit.WorkDuration-elapsed) + s.Rules.WarmUpDuration
	case WarmingUp:
		return max(0, s.Rules.WarmUpDuration-elapsed)
	default: // Returning
		return s.Rules.WarmUpDuration
	}
}

// checkDrainable returns why a machine cannot be drained even while all others are available, or nil if it can.
func (s State) checkDrainable(permit Permit, machine *Machine) *UndrainableMachine {
	result := &UndrainableMachine{RequestName: permit.RequestName, Machine: permit.Machine}
	if machine == nil {
		result.RuleViolation = RuleViolation{Reason: "the machine is not in the layout"}
		result.Remedy = "add the machine to the layout"
		return result
	}
	tracker := newAvailabilityTracker(s.Layout, s.Rules, s.Load)
	violation := tracker.violationIfUnavailable(machine)
	if violation == nil {
		return nil
	}
	result.RuleViolation = *violation
	tracker.setUnavailable(machine, true)
	result.Remedy = tracker.remedy(violation.Rule, machine)
	return result
}

// remedy returns a change after which a rule allows a machine to be unavailable. The machine must be the only one that
// is recorded as unavailable.
func (t *availabilityTracker) remedy(rule Rule, machine *Machine) string {
	switch rule {
	case RuleReplicas:
		fewest := unlimitedReplicas
		for _, store := range machine.Stores {
			_, replicas := t.leastReplicatedShard(store.RingPosition)
			fewest = min(fewest, replicas)
		}
		if fewest < 1 {
			return "add another replica of its shards"
		}
		return fmt.Sprintf("set keep_sound to %d, or add another replica of its shards", fewest)
	case RuleLoad:
		return fmt.Sprintf("set room above %.2f (maximum 1), or reduce the load", t.remainingLoad())
	case RuleVoters:
		return "add another voter"
	default:
		return "relax the rule " + string(rule) + " until it allows one machine"
	}
}

// machineReturn is the predicted return of a machine to service. The machine is nil if it is no longer in the layout.
type machineReturn struct {
	at      Micros
	machine *Machine
}

// returnQueue is a heap of machine returns, the earliest first.
type returnQueue []machineReturn

func (q returnQueue) Len() int { return len(q) }

func (q returnQueue) Less(i, j int) bool { return q[i].at < q[j].at }

func (q returnQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *returnQueue) Push(x any) { *q = append(*q, x.(machineReturn)) }

// Pop implements heap.Interface.
func (q *returnQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
