package maintenance

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
)

// noTime is the absence of a time.
const noTime Micros = -1

// PlannedDrain is the predicted drain of one machine.
type PlannedDrain struct {
	Request string `json:"request"`
	Machine string `json:"machine"`
	// Wave numbers the drains that start at the same time, from 1; 0 is a machine that is out already.
	Wave     int    `json:"wave"`
	StartsAt Micros `json:"begin"`
	// AvailableAt is when the machine counts as healthy again.
	AvailableAt Micros `json:"back"`
}

// Undrainable is a machine that the rules never allow to drain.
type Undrainable struct {
	Request string `json:"request"`
	Machine string `json:"machine"`
	RuleViolation
	// Remedy is the smallest change that would allow it.
	Remedy string `json:"nearest"`
}

// Plan is the predicted order of the drains.
type Plan struct {
	// Drains are sorted by their start.
	Drains      []PlannedDrain `json:"turns"`
	Undrainable []Undrainable  `json:"never,omitempty"`
	// End is when the last machine counts as healthy again.
	End Micros `json:"end"`
}

// Plan predicts the drains of all open permits. They start in the order of sortByPriority, as early as the rules allow:
// at the return of another machine or at the end of a closed window.
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
	outages *outageCounts
	returns returnQueue
	waiting []Permit // by priority
	now     Micros
	wave    int
	// nextTime is the first time after now at which another drain may become possible.
	nextTime Micros
	plan     Plan
}

func newPlanner(s State) *planner {
	p := &planner{state: s, outages: s.outageCounts(), now: s.Now, nextTime: noTime}
	for _, permit := range s.Permits {
		machine := s.Layout.Machine(permit.Machine)
		switch {
		case permit.Step.isUnavailable():
			p.addDrain(machine, PlannedDrain{
				Request:     permit.Request,
				Machine:     permit.Machine,
				StartsAt:    permit.DrainStartedAt,
				AvailableAt: s.Now + s.remainingUnavailableDuration(permit),
			})
		case permit.Step == Requested:
			if undrainable := s.undrainable(permit, machine); undrainable != nil {
				p.plan.Undrainable = append(p.plan.Undrainable, *undrainable)
			} else {
				p.waiting = append(p.waiting, permit)
			}
		}
	}
	s.sortByPriority(p.waiting)
	return p
}

// addDrain adds a drain to the plan and queues the machine's return.
func (p *planner) addDrain(machine *Machine, drain PlannedDrain) {
	p.plan.Drains = append(p.plan.Drains, drain)
	p.plan.End = max(p.plan.End, drain.AvailableAt)
	heap.Push(&p.returns, machineReturn{at: drain.AvailableAt, machine: machine})
}

// lowerNextTime lowers nextTime to a time after now.
func (p *planner) lowerNextTime(at Micros) {
	if at > p.now && (p.nextTime == noTime || at < p.nextTime) {
		p.nextTime = at
	}
}

// startWave starts all drains that the rules allow now, and determines nextTime.
func (p *planner) startWave() {
	p.nextTime = noTime
	wave := p.wave + 1
	p.waiting = slices.DeleteFunc(p.waiting, func(permit Permit) bool {
		machine := p.state.Layout.Machine(permit.Machine)
		if permit.isExpiredAt(p.now) {
			p.addUndrainable(permit, RuleViolation{RuleTimeWindow, "its turn would come after its window"}, "a window that ends later, or a higher urgency")
			return true
		}
		if !p.mayDrain(permit, machine) {
			return false
		}
		p.wave = wave
		p.outages.startDrain(machine, p.now)
		p.addDrain(machine, PlannedDrain{
			Request:     permit.Request,
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

// mayDrain reports whether the drain of a permit may start now, and otherwise considers when it may by time.
func (p *planner) mayDrain(permit Permit, machine *Machine) bool {
	if permit.NotBefore > p.now {
		p.lowerNextTime(permit.NotBefore)
		return false
	}
	if start, _ := p.outages.earliestDrainStart(machine, p.now); start != p.now {
		p.lowerNextTime(start)
		return false
	}
	return p.outages.violationIfUnavailable(machine) == nil
}

// advanceTime advances the time to nextTime and returns the machines that are back by then. Unhealthy ones stay out.
func (p *planner) advanceTime() {
	p.now = p.nextTime
	for len(p.returns) > 0 && p.returns[0].at <= p.now {
		returned := heap.Pop(&p.returns).(machineReturn)
		if returned.machine != nil && p.state.Unhealthy[returned.machine.Name] == "" {
			p.outages.setUnavailable(returned.machine, false)
		}
	}
}

// markWaitingUndrainable adds the permits that still wait as undrainable, because of machines that are out without a known return.
func (p *planner) markWaitingUndrainable() {
	for _, permit := range p.waiting {
		violation := RuleViolation{}
		if v := p.outages.violationIfUnavailable(p.state.Layout.Machine(permit.Machine)); v != nil {
			violation = *v
		}
		p.addUndrainable(permit, violation, "the return of what is out now")
	}
}

func (p *planner) addUndrainable(permit Permit, violation RuleViolation, remedy string) {
	p.plan.Undrainable = append(p.plan.Undrainable, Undrainable{
		Request:       permit.Request,
		Machine:       permit.Machine,
		RuleViolation: violation,
		Remedy:        remedy,
	})
}

// unavailableDuration returns how long a machine is out, from the start of the drain to the end of the warm-up.
func (s State) unavailableDuration(permit Permit) Micros {
	return s.Rules.DrainDuration + permit.WorkDuration + s.Rules.WarmUpDuration
}

// remainingUnavailableDuration returns how long a machine that is out will still be.
func (s State) remainingUnavailableDuration(permit Permit) Micros {
	elapsed := s.Now - permit.StepReachedAt
	switch permit.Step {
	case Draining, Drained:
		return max(0, s.Rules.DrainDuration-elapsed) + permit.WorkDuration + s.Rules.WarmUpDuration
	case InMaintenance:
		return max(0, permit.WorkDuration-elapsed) + s.Rules.WarmUpDuration
	case WarmingUp:
		return max(0, s.Rules.WarmUpDuration-elapsed)
	default:
		return s.Rules.WarmUpDuration
	}
}

// undrainable returns why the rules never allow a machine to drain, even if everything else is healthy, or nil.
func (s State) undrainable(permit Permit, machine *Machine) *Undrainable {
	result := &Undrainable{Request: permit.Request, Machine: permit.Machine}
	if machine == nil {
		result.RuleViolation = RuleViolation{Reason: "it is not in the layout"}
		result.Remedy = "a layout that has it"
		return result
	}
	outages := newOutageCounts(s.Layout, s.Rules, s.Load)
	violation := outages.violationIfUnavailable(machine)
	if violation == nil {
		return nil
	}
	result.RuleViolation = *violation
	outages.setUnavailable(machine, true)
	result.Remedy = outages.remedy(violation.Rule, machine)
	return result
}

// remedy returns the smallest change that would allow a machine, which is the only one out, to be out.
func (o *outageCounts) remedy(rule Rule, machine *Machine) string {
	switch rule {
	case RuleReplicas:
		fewest := noReplicaLimit
		for _, store := range machine.Stores {
			_, replicas := o.leastReplicatedShard(store.RingPosition)
			fewest = min(fewest, replicas)
		}
		if fewest < 1 {
			return "another replica of its shards first"
		}
		return fmt.Sprintf("keep_sound = %d, or another replica first", fewest)
	case RuleLoad:
		return fmt.Sprintf("room = %.2f, or less load", o.remainingLoad())
	case RuleVoters:
		return "another voter first"
	default:
		return "a rule " + string(rule) + " that allows one machine"
	}
}

// machineReturn is the predicted return of a machine. The machine is nil if it is no longer in the layout.
type machineReturn struct {
	at      Micros
	machine *Machine
}

// returnQueue is a heap of returns, the earliest first.
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
