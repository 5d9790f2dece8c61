package maintenance

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// completeRequest takes all permits to their end, as leaders, operators and instances would. It returns the elapsed
// time and the minimum number of available replicas that any shard had.
func completeRequest(tb testing.TB, s State) (elapsed Micros, minReplicas int) {
	tb.Helper()
	startedAt := s.Now
	minReplicas = unlimitedReplicas
	for now := s.Now; ; now += 10 * second {
		for _, transition := range s.NextTransitions(now, "") {
			s = mustApply(tb, s, Entry{At: now, Transition: &transition})
		}
		minReplicas = min(minReplicas, minAvailableReplicas(s))
		openPermits := 0
		for _, permit := range slices.Clone(s.Permits) {
			if to, after := nextExternalStep(s, permit); to != "" && now-permit.StepReachedAt >= after {
				transition := permit.transition(to, "")
				s = mustApply(tb, s, Entry{At: now, Transition: &transition})
			}
			if !permit.Step.isFinal() {
				openPermits++
			}
		}
		if openPermits == 0 {
			return now - startedAt, minReplicas
		}
		require.Less(tb, now-startedAt, 100*hour, "the permits are not completed after 100 hours")
	}
}

// minAvailableReplicas returns the minimum number of available replicas of any shard.
func minAvailableReplicas(s State) int {
	tracker := s.availability()
	fewest := unlimitedReplicas
	for shard := range s.Layout.Shards {
		fewest = min(fewest, tracker.availableReplicas(shard))
	}
	return fewest
}

// nextExternalStep returns the next step to which operators or instances move a permit, and the time after which they
// do. The step is empty if the next transition is a leader's.
func nextExternalStep(s State, permit Permit) (to Step, after Micros) {
	switch permit.Step {
	case Draining:
		return Drained, s.Rules.DrainDuration
	case Drained:
		return InMaintenance, 0
	case InMaintenance:
		return Returning, permit.WorkDuration
	case Returning:
		return WarmingUp, 0
	default:
		return "", 0
	}
}

// A poor order of the drains, or drains that start late, would make the maintenance of all machines much longer than
// the limit on unavailable stores requires.
func TestRollingMaintenanceDurationNearLowerBound(t *testing.T) {
	const stores, maxUnavailable = 198, 19 // a tenth of the stores may be unavailable at a time
	rules := Rules{
		MinAvailableReplicas:        2,
		MaxUnavailableStoreFraction: 0.1,
		MaxUnavailableZoneFraction:  0.2,
		MaxLoad:                     0.8,
		WarmUpDuration:              minute,
		DrainDuration:               30 * second,
	}
	s := requestedState(t, uniformLayout(stores/3, 3), rules, 0.5)
	plan := s.Plan()
	elapsed, minReplicas := completeRequest(t, s)
	perMachine := rules.DrainDuration + rules.WarmUpDuration + 5*minute
	lowerBound := Micros((stores+maxUnavailable-1)/maxUnavailable) * perMachine
	// The drains take 1.17 times the lower bound, and the plan predicts 7% less; the limits leave a margin.
	assert.Less(t, float64(elapsed), 1.3*float64(lowerBound))
	predicted := plan.End - s.Now
	assert.InDelta(t, float64(predicted), float64(elapsed), 0.15*float64(elapsed), "duration predicted by the plan")
	assert.Equal(t, 2, minReplicas)
	assert.Empty(t, plan.Undrainable)
	t.Logf("%d stores: completed in %d s, lower bound %d s, predicted %d s", stores, elapsed/second, lowerBound/second, predicted/second)
}

// Without a reason and a remedy, an operator cannot tell why a machine is never drained.
func TestUndrainableMachinesNameRuleAndRemedy(t *testing.T) {
	onlyVoter := &Layout{RingSize: 1, ReplicationFactor: 1, Shards: 1, Machines: []Machine{{Name: "v", Voter: true}}}
	for name, testCase := range map[string]struct {
		rules  Rules
		load   float64
		layout *Layout
		rule   Rule
		remedy string
	}{
		"no second replica":            {Rules{}, 0, uniformLayout(2, 1), RuleReplicas, "add another replica of its shards"},
		"one of two required replicas": {Rules{MinAvailableReplicas: 2}, 0, uniformLayout(2, 2), RuleReplicas, "set keep_sound to 1, or add another replica of its shards"},
		"overload":                     {Rules{MaxLoad: 0.5}, 0.6, uniformLayout(2, 2), RuleLoad, "set room above 0.80 (maximum 1), or reduce the load"},
		"only voter":                   {Rules{}, 0, onlyVoter, RuleVoters, "add another voter"},
	} {
		s := requestedState(t, testCase.layout, testCase.rules, testCase.load)
		plan := s.Plan()
		require.Len(t, plan.Undrainable, len(testCase.layout.Machines), name)
		assert.Equal(t, testCase.rule, plan.Undrainable[0].Rule, name)
		assert.Equal(t, testCase.remedy, plan.Undrainable[0].Remedy, name)
		assert.Empty(t, s.NextTransitions(s.Now, ""), name)
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, machines := range []int{100, 1000, 5000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			rules := Rules{MinAvailableReplicas: 1, MaxUnavailableStoreFraction: 0.1, WarmUpDuration: minute, DrainDuration: minute}
			s := requestedState(b, uniformLayout(machines/2, 2), rules, 0)
			for b.Loop() {
				s.Plan()
			}
		})
	}
}
