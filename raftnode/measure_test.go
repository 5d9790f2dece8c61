//go:build measure

package raftnode

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
)

// The longest time that an instance served a replaced version over 200 random fault runs, beside the staleness bound.
func TestMeasureStaleness(t *testing.T) {
	const (
		runs           = 200
		concurrentRuns = 8
		firstSeed      = 1000
		stalenessBound = time.Second
	)
	var mu sync.Mutex
	var total faultRunResult
	notLinearizable := 0
	undecided := 0
	runsByStaleness := map[time.Duration]int{}
	t.Run("runs", func(t *testing.T) {
		slots := make(chan struct{}, concurrentRuns)
		for seed := range uint64(runs) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				slots <- struct{}{}
				defer func() { <-slots }()
				result := runUnderFaults(t, firstSeed+seed, stalenessBound, 4*time.Second)
				mu.Lock()
				defer mu.Unlock()
				total.staleness = max(total.staleness, result.staleness)
				runsByStaleness[result.staleness.Truncate(100*time.Millisecond)]++
				total.done += result.done
				total.unknown += result.unknown
				total.reads += result.reads
				total.writes += result.writes
				switch result.linearizable {
				case porcupine.Illegal:
					notLinearizable++
				case porcupine.Unknown:
					undecided++
				case porcupine.Ok:
				}
			})
		}
	})
	t.Logf("%d runs: longest service under a replaced version %v, bound %v; "+
		"%d reads, %d changes asked for, %d done, %d unknown; not linearizable %d, not decided %d",
		runs, total.staleness, stalenessBound,
		total.reads, total.writes, total.done, total.unknown, notLinearizable, undecided)
	t.Logf("runs by their longest: %v", runsByStaleness)
	assert.LessOrEqual(t, total.staleness, stalenessBound)
	assert.Zero(t, notLinearizable)
}
