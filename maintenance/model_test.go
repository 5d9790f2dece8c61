package maintenance

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// unavailableMachines returns the unavailable machines. It is independent of availabilityTracker, which the schedules
// test.
func unavailableMachines(s State) map[string]bool {
	unavailable := map[string]bool{}
	for _, permit := range s.Permits {
		switch permit.Step {
		case Draining, Drained, InMaintenance, Returning, WarmingUp:
			unavailable[permit.Machine] = true
		default:
		}
	}
	for machine := range s.Unhealthy {
		unavailable[machine] = true
	}
	return unavailable
}

// checkDrain returns an error if the start of the drain of a machine has violated a rule on replicas, stores, zones,
// members, voters or exclusion groups, or a freeze. It does not check the rules on weight, load and time. It is
// independent of availabilityTracker, which the schedules test.
func checkDrain(s State, name string) error {
	unavailable := unavailableMachines(s)
	if err := checkReplicas(s, name, unavailable); err != nil {
		return err
	}
	return checkCounts(s, name, unavailable)
}

// checkReplicas checks the number of available replicas of each shard that a machine holds.
func checkReplicas(s State, name string, unavailable map[string]bool) error {
	for shard := range s.Layout.Shards {
		available := 0
		holdsShard := false
		for _, machine := range s.Layout.Machines {
			for _, store := range machine.Stores {
				for i := range s.Layout.ReplicationFactor {
					if (shard+i)%s.Layout.RingSize != store.RingPosition {
						continue
					}
					if !unavailable[machine.Name] {
						available++
					}
					holdsShard = holdsShard || machine.Name == name
				}
			}
		}
		if holdsShard && available < max(1, s.Rules.MinAvailableReplicas) {
			return fmt.Errorf("shard %d has %d available replicas, fewer than required", shard, available)
		}
	}
	return nil
}

// unavailableCount counts how many of a total are unavailable.
type unavailableCount struct {
	unavailable int
	total       int
}

func (c *unavailableCount) add(count int, unavailable bool) {
	c.total += count
	if unavailable {
		c.unavailable += count
	}
}

func (c *unavailableCount) exceeds(fraction float64) bool {
	return fraction > 0 && c.unavailable > 1 && float64(c.unavailable) > fraction*float64(c.total)+1e-6
}

// checkCounts checks the rules on stores, zones, members, voters and exclusion groups, and the freeze.
func checkCounts(s State, name string, unavailable map[string]bool) error {
	drained := s.Layout.Machine(name)
	var stores, zone, members, voters, exclusionGroup unavailableCount
	for _, machine := range s.Layout.Machines {
		isUnavailable := unavailable[machine.Name]
		stores.add(len(machine.Stores), isUnavailable)
		if machine.Zone == drained.Zone {
			zone.add(len(machine.Stores), isUnavailable)
		}
		if machine.Voter {
			voters.add(1, isUnavailable)
		}
		if machine.Member {
			members.add(1, isUnavailable)
		}
		if drained.ExclusionGroup != "" && machine.ExclusionGroup == drained.ExclusionGroup {
			exclusionGroup.add(1, isUnavailable)
		}
	}
	remainingVoters := voters.total - voters.unavailable
	switch {
	case len(drained.Stores) > 0 && stores.exceeds(s.Rules.MaxUnavailableStoreFraction):
		return fmt.Errorf("%d of %d stores are unavailable", stores.unavailable, stores.total)
	case len(drained.Stores) > 0 && zone.exceeds(s.Rules.MaxUnavailableZoneFraction):
		return fmt.Errorf("%d of %d stores of zone %s are unavailable", zone.unavailable, zone.total, drained.Zone)
	case drained.Member && members.exceeds(s.Rules.MaxUnavailableMemberFraction):
		return fmt.Errorf("%d of %d members are unavailable", members.unavailable, members.total)
	case drained.Voter && 2*remainingVoters <= voters.total:
		return fmt.Errorf("%d of %d voters remain available, which is not a majority", remainingVoters, voters.total)
	case exclusionGroup.unavailable > 1:
		return fmt.Errorf("more than one machine of exclusion group %s is unavailable", drained.ExclusionGroup)
	case s.Freeze != nil:
		return fmt.Errorf("a drain started during a freeze")
	}
	return nil
}

func randomLayout(rng *rand.Rand, machines int) *Layout {
	layout := &Layout{RingSize: 1 + rng.IntN(3), Shards: 6}
	layout.ReplicationFactor = 1 + rng.IntN(layout.RingSize)
	for i := range machines {
		machine := Machine{
			Name:   fmt.Sprintf("m%03d", i),
			Zone:   string(rune('a' + i%3)),
			Type:   string(rune('x' + i%2)),
			Member: rng.IntN(2) == 0,
			Voter:  i < 3,
		}
		if rng.IntN(4) == 0 {
			machine.ExclusionGroup = "p"
		}
		for k := range rng.IntN(3) {
			machine.Stores = append(machine.Stores, Store{
				Name:         fmt.Sprintf("s%d-%d", i, k),
				RingPosition: rng.IntN(layout.RingSize),
				Weight:       1,
			})
		}
		layout.Machines = append(layout.Machines, machine)
	}
	return layout
}

func randomRules(rng *rand.Rand) Rules {
	fraction := func() float64 { return []float64{0, 0.2, 0.4, 1}[rng.IntN(4)] }
	return Rules{
		MinAvailableReplicas:         rng.IntN(3),
		MaxUnavailableStoreFraction:  fraction(),
		MaxUnavailableZoneFraction:   fraction(),
		MaxUnavailableMemberFraction: fraction(),
		MaxLoad:                      fraction(),
		DrainSpacing:                 Micros(rng.IntN(3)) * minute,
		WarmUpDuration:               minute,
		DrainDuration:                minute,
		UnreachableMemberTimeout:     minute,
	}
}

const (
	// eventsPerSchedule is the number of events of each schedule, including the first entries for the layout, the rules
	// and the load.
	eventsPerSchedule = 40
	// maxRecentStates is the number of latest states on which leaders base their proposals.
	maxRecentStates = 8
)

// schedule is a random sequence of events. Leaders propose on the basis of outdated states, and some proposals are lost
// or applied again later. Machines crash and return, rules change, and operators freeze drains and cancel permits.
type schedule struct {
	rng    *rand.Rand
	layout *Layout
	// overrideRules makes each random drain override the rules, which the checks must detect.
	overrideRules bool
	now           Micros
	state         State
	// recentStates are the latest states, the oldest first.
	recentStates []State
	// duplicates are entries that are applied again later.
	duplicates []Entry
	// lastSteps holds the last known step of each permit, by request and machine.
	lastSteps map[string]Step
}

// runSchedule runs the schedule of a seed. It returns an error that describes the first violation, or nil.
func runSchedule(seed uint64, overrideRules bool) error {
	rng := rand.New(rand.NewPCG(seed, 21))
	layout := randomLayout(rng, 4+rng.IntN(5))
	load := rng.Float64()
	s := &schedule{rng: rng, layout: layout, overrideRules: overrideRules, now: noon, lastSteps: map[string]Step{}}
	rules := randomRules(rng)
	initial := []Entry{{Layout: layout}, {Rules: &rules}, {Load: &load}}
	for _, entry := range initial {
		s.advanceTime()
		entry.At = s.now
		if err := s.apply(entry); err != nil {
			return err
		}
	}
	for event := len(initial); event < eventsPerSchedule; event++ {
		s.advanceTime()
		if err := s.runEvent(event); err != nil {
			return err
		}
	}
	return nil
}

func (s *schedule) advanceTime() { s.now += Micros(s.rng.IntN(90)) * second }

// runEvent proposes entries, some of which are lost or applied again in a later event, and may apply an earlier entry
// again.
func (s *schedule) runEvent(event int) error {
	for _, entry := range s.propose(event) {
		entry.At = s.now - Micros(s.rng.IntN(200))*second // the clocks of leaders differ
		delivery := s.rng.IntN(10)
		if delivery == 0 {
			continue // lost
		}
		if delivery < 3 {
			s.duplicates = append(s.duplicates, entry)
		}
		if err := s.apply(entry); err != nil {
			return err
		}
	}
	if len(s.duplicates) == 0 || s.rng.IntN(2) != 0 {
		return nil
	}
	entry := s.duplicates[0]
	s.duplicates = s.duplicates[1:]
	if entry.Rules != nil {
		return nil // changed rules are not applied again
	}
	return s.apply(entry)
}

// propose returns the entries of a random event. Some of them are based on an outdated state.
func (s *schedule) propose(event int) []Entry {
	observed := s.recentStates[s.rng.IntN(len(s.recentStates))]
	machine := s.randomMachine()
	switch s.rng.IntN(12) {
	case 0, 1:
		return []Entry{{Request: s.randomRequest(fmt.Sprint("r", event), machine)}}
	case 2:
		return []Entry{{HealthChange: &HealthChange{Machine: machine, Healthy: s.rng.IntN(2) == 0, Reason: "crashed"}}}
	case 3:
		rules := randomRules(s.rng)
		return []Entry{{Rules: &rules}}
	case 4:
		return []Entry{{Freeze: &Freeze{Active: s.rng.IntN(2) == 0, RequestedBy: "op"}}}
	case 5, 6, 7:
		fault := ""
		if s.rng.IntN(6) == 0 {
			fault = "a zone is unreachable"
		}
		var entries []Entry
		for _, transition := range observed.NextTransitions(s.now, fault) {
			entries = append(entries, Entry{Transition: &transition})
		}
		return entries
	default:
		if len(observed.Permits) == 0 {
			return nil
		}
		return []Entry{{Transition: s.randomTransition(observed)}}
	}
}

func (s *schedule) randomMachine() string {
	return s.layout.Machines[s.rng.IntN(len(s.layout.Machines))].Name
}

func (s *schedule) randomRequest(name, machine string) *Request {
	request := &Request{Name: name, Machines: []string{machine}, WorkDuration: minute, Urgency: s.rng.IntN(3)}
	if s.rng.IntN(3) == 0 {
		request.Machines = append(request.Machines, s.randomMachine())
	}
	if s.rng.IntN(4) == 0 {
		request.NotAfter = s.now + 5*minute
	}
	return request
}

// randomTransition returns a transition of a random permit in a state. The transition may not be allowed.
func (s *schedule) randomTransition(observed State) *Transition {
	permit := observed.Permits[s.rng.IntN(len(observed.Permits))]
	steps := []Step{Requested, Draining, Drained, InMaintenance, Returning, WarmingUp, Completed, Cancelled}
	to := steps[s.rng.IntN(len(steps))]
	if allowed := allowedTransitions[permit.Step]; len(allowed) > 0 && s.rng.IntN(3) > 0 {
		to = allowed[s.rng.IntN(len(allowed))]
	}
	transition := permit.transition(to, "")
	if s.overrideRules && to == Draining {
		transition.OverrideReason = "deliberate violation"
	}
	return &transition
}

// apply applies an entry and checks the new state. It returns an error that describes the first violation, or nil.
func (s *schedule) apply(entry Entry) error {
	before := s.state
	next, outcome := before.Apply(entry)
	if err := checkDeterminismAndRepetition(before, next, outcome, entry); err != nil {
		return err
	}
	s.state = next
	if entry.Transition != nil && outcome.Applied {
		if err := checkTransition(before, next, *entry.Transition); err != nil {
			return err
		}
	}
	if err := s.checkStaysInMaintenance(); err != nil {
		return err
	}
	s.recentStates = append(s.recentStates, next)
	if len(s.recentStates) > maxRecentStates {
		s.recentStates = s.recentStates[1:]
	}
	return nil
}

// checkDeterminismAndRepetition checks that an entry always has the same result when it is applied to the same state,
// and that a repeated transition or request has no effect.
func checkDeterminismAndRepetition(before, next State, outcome Outcome, entry Entry) error {
	again, outcomeAgain := before.Apply(entry)
	encoded, err := json.Marshal(next)
	if err != nil {
		return err
	}
	encodedAgain, err := json.Marshal(again)
	if err != nil {
		return err
	}
	if string(encoded) != string(encodedAgain) || outcome != outcomeAgain {
		return fmt.Errorf("the same entry, applied twice to the same state, had different results")
	}
	if entry.Transition == nil && entry.Request == nil {
		return nil
	}
	repeated, _ := next.Apply(entry)
	encodedRepeated, err := json.Marshal(repeated)
	if err != nil {
		return err
	}
	if string(encodedRepeated) != string(encoded) {
		return fmt.Errorf("a repeated entry changed the state: %+v", entry)
	}
	return nil
}

// checkTransition checks a transition that was applied. It does not check the drain of a machine that was unavailable
// before, as that makes no violation worse.
func checkTransition(before, after State, transition Transition) error {
	permit := after.Permits[after.permitIndex(transition.RequestName, transition.Machine)]
	previous := before.Permits[before.permitIndex(transition.RequestName, transition.Machine)]
	if permit.Step == Draining && previous.Step == Requested && !unavailableMachines(before)[permit.Machine] {
		if err := checkDrain(after, permit.Machine); err != nil {
			return err
		}
	}
	if permit.Step == InMaintenance && previous.Step != Drained && previous.Step != Returning && previous.Step != InMaintenance {
		return fmt.Errorf("%s reached maintenance from step %s", permit.Machine, previous.Step)
	}
	return nil
}

// checkStaysInMaintenance checks that a machine in maintenance stays unavailable until it is reported as returning.
func (s *schedule) checkStaysInMaintenance() error {
	for _, permit := range s.state.Permits {
		key := permit.RequestName + permit.Machine
		if s.lastSteps[key] == InMaintenance && permit.Step != InMaintenance && permit.Step != Returning {
			return fmt.Errorf("%s went from maintenance to step %s", permit.Machine, permit.Step)
		}
		s.lastSteps[key] = permit.Step
	}
	return nil
}

// Leaders with outdated states propose drains that the rules permit one by one, but not together. No drain that is
// applied may violate a rule that checkDrain covers.
func TestNoScheduleViolatesRules(t *testing.T) {
	for seed := range uint64(schedules) {
		require.NoError(t, runSchedule(seed, false), "seed %d", seed)
	}
}

// A checker that detects nothing would let every schedule pass. It must detect drains that override the rules.
func TestCheckerDetectsViolation(t *testing.T) {
	violations := 0
	for seed := range uint64(500) {
		if runSchedule(seed, true) != nil {
			violations++
		}
	}
	assert.Greater(t, violations, 50)
	t.Logf("%d of 500 schedules with overridden rules violate a rule", violations)
}
