package maintenance

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// permitTest is a state in which the maintenance of the two machines with the only replicas of all shards is requested.
type permitTest struct {
	start  State
	first  string
	second string
}

func newPermitTest(t *testing.T) permitTest {
	t.Helper()
	rules := Rules{MinAvailableReplicas: 1, WarmUpDuration: minute, DrainDuration: minute, UnreachableMemberTimeout: 10 * second}
	layout := uniformLayout(1, 2)
	return permitTest{
		start:  requestedState(t, layout, rules, 0),
		first:  layout.Machines[0].Name,
		second: layout.Machines[1].Name,
	}
}

// drain applies the start of the drain of a machine.
func drain(s State, machine string) (State, Outcome) {
	return s.Apply(Entry{At: s.Now, Transition: &Transition{RequestName: "r", Machine: machine, From: Requested, To: Draining}})
}

// applySteps moves the permit of a machine from the first of some steps to the last.
func applySteps(t *testing.T, s State, machine string, steps ...Step) State {
	t.Helper()
	for i := range len(steps) - 1 {
		transition := Transition{RequestName: "r", Machine: machine, From: steps[i], To: steps[i+1]}
		s = mustApply(t, s, Entry{At: s.Now, Transition: &transition})
	}
	return s
}

// Concurrent proposals, crashes, tightened rules and freezes must neither lead to a drain that makes the last replica
// unavailable nor interrupt work that has started.
func TestPermitTransitionsUnderFaults(t *testing.T) {
	const violation = "shard 0 would have 0 available replicas, but needs 1"
	test := newPermitTest(t)
	draining, outcome := drain(test.start, test.first)
	require.True(t, outcome.Applied)
	// Two leaders propose to drain both replicas at the same time.
	_, outcome = drain(draining, test.second)
	assert.Equal(t, Outcome{Rule: RuleReplicas, Reason: violation}, outcome)

	crashed := mustApply(t, draining, Entry{HealthChange: &HealthChange{Machine: test.second, Reason: "crashed"}})
	transitions := crashed.NextTransitions(crashed.Now, "")
	require.Len(t, transitions, 2, "the drain is recalled because the other replica is lost, and the lost machine is drained instead")
	recall := Transition{RequestName: "r", Machine: test.first, From: Draining, To: Requested, Reason: "replicas: " + violation}
	assert.Equal(t, recall, transitions[0])
	assert.Equal(t, Transition{RequestName: "r", Machine: test.second, From: Requested, To: Draining}, transitions[1])

	inMaintenance := applySteps(t, draining, test.first, Draining, Drained, InMaintenance)
	inMaintenance.Now += 30 * day
	assert.True(t, inMaintenance.Permits[0].IsOverdue(inMaintenance.Now))
	assert.Equal(t, InMaintenance, inMaintenance.Permits[0].Step, "an overdue machine stays in maintenance")
	assert.Empty(t, inMaintenance.NextTransitions(inMaintenance.Now, "a zone is unreachable"), "a machine in maintenance is not recalled")

	warm := applySteps(t, inMaintenance, test.first, InMaintenance, Returning, WarmingUp)
	unhealthy := mustApply(t, warm, Entry{HealthChange: &HealthChange{Machine: test.first, Reason: "slow"}})
	unhealthy.Now += hour
	assert.Empty(t, unhealthy.NextTransitions(unhealthy.Now, ""), "no drain starts and no permit completes while a machine is unhealthy after its maintenance")
	healthy := mustApply(t, unhealthy, Entry{HealthChange: &HealthChange{Machine: test.first, Healthy: true}})
	completion := Transition{RequestName: "r", Machine: test.first, From: WarmingUp, To: Completed}
	assert.Equal(t, []Transition{completion}, healthy.NextTransitions(healthy.Now, ""))

	tightened := mustApply(t, draining, Entry{Rules: &Rules{MinAvailableReplicas: 2}})
	assert.Len(t, tightened.NextTransitions(tightened.Now, ""), 1, "tightened rules recall a drain")

	frozen := mustApply(t, test.start, Entry{Freeze: &Freeze{Active: true, RequestedBy: "op", Reason: "incident"}})
	assert.Empty(t, frozen.NextTransitions(frozen.Now, ""))
	_, outcome = drain(frozen, test.first)
	assert.Equal(t, RuleFreeze, outcome.Rule)
	override := Transition{RequestName: "r", Machine: test.first, From: Requested, To: Draining, OverrideReason: "disk failure"}
	overridden := mustApply(t, frozen, Entry{Transition: &override})
	assert.Equal(t, "disk failure", overridden.Permits[0].OverrideReason)
}

// Work that starts too early would interrupt requests that are still in flight, or that are sent by an instance that
// has not acknowledged the drain.
func TestDrainComplete(t *testing.T) {
	s := State{Rules: Rules{UnreachableMemberTimeout: 10 * second}}
	permit := Permit{Step: Draining, DrainStartedAt: hour}
	idle := MemberDrainStatus{DrainAcknowledged: true}
	for name, testCase := range map[string]struct {
		members  map[string]MemberDrainStatus
		trusted  bool
		elapsed  Micros
		complete bool
	}{
		"all acknowledged and idle":         {map[string]MemberDrainStatus{"a": idle, "b": idle}, true, second, true},
		"one has not acknowledged":          {map[string]MemberDrainStatus{"a": {}, "b": idle}, true, hour, false},
		"one has a request in flight":       {map[string]MemberDrainStatus{"a": {DrainAcknowledged: true, RequestsInFlight: 1}}, true, hour, false},
		"one is unreachable":                {map[string]MemberDrainStatus{"a": {UnreachableSince: hour}, "b": idle}, true, 9 * second, false},
		"one is unreachable, but timed out": {map[string]MemberDrainStatus{"a": {RequestsInFlight: 3, UnreachableSince: hour}, "b": idle}, true, 11 * second, true},
		"untrusted view":                    {map[string]MemberDrainStatus{"a": idle}, false, second, false},
		"untrusted view, but timed out":     {map[string]MemberDrainStatus{"a": idle}, false, 11 * second, true},
	} {
		complete, waitReason := s.DrainComplete(permit, permit.DrainStartedAt+testCase.elapsed, testCase.members, testCase.trusted)
		assert.Equal(t, testCase.complete, complete, name)
		assert.Equal(t, testCase.complete, waitReason == "", name)
	}
}

// An invalid entry that was applied in part would corrupt the state of all instances.
func TestInvalidEntriesChangeNothing(t *testing.T) {
	s := requestedState(t, uniformLayout(2, 2), Rules{}, 0, "m-0000")
	before, err := json.Marshal(s)
	require.NoError(t, err)
	hugeLoad := 1e300
	storeOffRing := Machine{Name: "a", Stores: []Store{{Name: "s", RingPosition: 1}}}
	for _, entry := range []Entry{
		{Request: &Request{Name: "x", Machines: []string{"nobody"}, WorkDuration: 1}},
		{Request: &Request{Name: "x", Machines: []string{"m-0000"}, WorkDuration: 1}},
		{Request: &Request{Name: "x", Machines: []string{"m-0001", "m-0001"}, WorkDuration: 1}},
		{Request: &Request{Name: "x", Machines: []string{"m-0001"}, WorkDuration: -1}},
		{Request: &Request{Name: "x", Machines: []string{"m-0001"}, WorkDuration: 1 << 60}},
		{Request: &Request{Machines: []string{"m-0001"}, WorkDuration: 1}},
		{Request: &Request{Name: "x", WorkDuration: 1}},
		{Request: &Request{Name: "x", Machines: []string{"m-0001"}, WorkDuration: 1, NotBefore: 9 * day, NotAfter: day}},
		{Transition: &Transition{RequestName: "r", Machine: "m-0001", From: Requested, To: Draining}},
		{Transition: &Transition{RequestName: "r", Machine: "m-0000", From: Requested, To: InMaintenance}},
		{Rules: &Rules{MaxUnavailableStoreFraction: 2}},
		{Rules: &Rules{MinAvailableReplicas: -1}},
		{Rules: &Rules{DrainSpacing: -1}},
		{Rules: &Rules{ClosedWindows: []DailyWindow{{Start: 5, End: 5}}}},
		{Rules: &Rules{ClosedWindows: []DailyWindow{{0, day / 2}, {day / 2, day}}}},
		{Load: &hugeLoad},
		{Layout: &Layout{}},
		{Layout: &Layout{RingSize: 1, ReplicationFactor: 1, Shards: 1, Machines: []Machine{{Name: "b"}, {Name: "a"}}}},
		{Layout: &Layout{RingSize: 1, ReplicationFactor: 1, Shards: 1, Machines: []Machine{storeOffRing}}},
	} {
		next, outcome := s.Apply(entry)
		after, err := json.Marshal(next)
		require.NoError(t, err)
		encodedEntry, err := json.Marshal(entry)
		require.NoError(t, err)
		assert.False(t, outcome.Applied, string(encodedEntry))
		assert.NotEmpty(t, outcome.Reason, string(encodedEntry))
		assert.Equal(t, string(before), string(after), string(encodedEntry))
	}
}

// Windows that adjoin one another or span midnight must delay a drain until the end of the last of them.
func TestClosedWindows(t *testing.T) {
	rules := Rules{ClosedWindows: []DailyWindow{{8 * hour, 18 * hour}, {23 * hour, 2 * hour}, {18 * hour, 19 * hour}}}
	require.NoError(t, rules.Validate())
	for at, expected := range map[Micros]Micros{
		7 * hour:         7 * hour,
		9 * hour:         19 * hour,
		23*hour + minute: 26 * hour,
		5*day + hour:     5*day + 2*hour,
	} {
		open, ok := rules.nextOpenTime(at)
		assert.True(t, ok)
		assert.Equal(t, expected, open)
	}
}
