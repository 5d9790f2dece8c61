package policy

import (
	"fmt"
	"reflect"
	"testing"
)

// TestRulesHoldForRandomEvents asserts the rules under arbitrary legal events, with and without
// second copies, cancelling and changes of the settings, and that the same events bring the same actions.
func TestRulesHoldForRandomEvents(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			set := testSettings()
			set.AllowHedging = seed%2 == 0
			set.AllowCancel = seed%3 != 0
			set.InstanceCount = []int{2, 11, 32, 90}[seed%4]
			set.PollEndpoints, set.PollInterval = seed%2 == 1, 10_000_000
			if seed%5 == 0 {
				set.Tenants = nil
			}
			if seed%4 < 2 {
				set.MaxBatchSize, set.BatchOverhead = 4, 100_000
			}
			set.InstanceIndex = int(seed) % set.InstanceCount
			var first []Action
			for round := range 2 {
				w := newRuleChecker(t, set, seed)
				if seed < 16 {
					w.reconfigurations = -1
				}
				w.run(2000)
				if seed >= 16 && w.reconfigurations < 10 {
					t.Fatalf("only %d changes: the test saw nothing", w.reconfigurations)
				}
				if w.endedQueries < 100 || w.sentAttempts < 150 {
					t.Fatalf("only %d queries ended and %d attempts were sent: the test saw nothing", w.endedQueries, w.sentAttempts)
				}
				if round == 0 {
					first = w.actions
				} else if !reflect.DeepEqual(first, w.actions) {
					t.Fatal("the same events brought other actions")
				}
			}
		})
	}
}
