package policy

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Random valid events must violate no invariant, with and without hedging, cancellation, batching and reconfiguration,
// and the same events must produce the same actions.
func TestInvariantsHoldForRandomEvents(t *testing.T) {
	const firstSeedWithReconfiguration = 16
	for seed := range uint64(24) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			settings := randomEventSettings(seed)
			reconfigures := seed >= firstSeedWithReconfiguration
			run := func() []Action {
				checker := newInvariantChecker(t, settings, seed)
				if !reconfigures {
					checker.reconfigurations = -1
				}
				checker.run(2000)
				// A run with fewer of these would hardly test the invariants.
				if reconfigures {
					require.GreaterOrEqual(t, checker.reconfigurations, 10)
				}
				require.GreaterOrEqual(t, checker.endedQueryCount, 100)
				require.GreaterOrEqual(t, checker.sentAttemptCount, 150)
				return checker.actions
			}
			first := run()
			require.Equal(t, first, run(), "the same events produced different actions")
		})
	}
}

func randomEventSettings(seed uint64) Settings {
	s := testSettings()
	s.AllowHedging = seed%2 == 0
	s.AllowCancel = seed%3 != 0
	s.InstanceCount = []int{2, 11, 32, 90}[seed%4]
	s.InstanceIndex = int(seed) % s.InstanceCount
	s.PollEndpoints = seed%2 == 1
	s.MaxPollInterval = 10_000_000
	if seed%5 == 0 {
		s.Tenants = nil
	}
	if seed%4 < 2 {
		s.MaxBatchSize = 4
		s.BatchOverhead = 100_000
	}
	return s
}

// Repeating unchanged settings in every step must make no difference: a reconfiguration must keep the statistics of
// latencies, outliers, slow starts and budgets, and the attempts in flight.
func TestUnchangedSettingsChangeNothing(t *testing.T) {
	for seed := range uint64(4) {
		settings := testSettings()
		settings.AllowHedging = seed%2 == 0
		settings.InstanceIndex = int(seed % 2)
		run := func(repeatSettings bool) []Action {
			checker := newInvariantChecker(t, settings, seed)
			checker.reconfigurations = -1
			checker.repeatSettings = repeatSettings
			checker.run(600)
			return checker.actions
		}
		assert.Equal(t, run(false), run(true), "seed %d", seed)
	}
}
