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

// Measures the longest time for which an instance serves a replaced version, in 200 runs with random faults, and compares
// it with the staleness bound.
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
	t.Logf("%d runs: a replaced version was served for at most %v, bound %v; "+
		"%d reads, %d writes, %d done, %d with unknown outcome; %d histories not linearizable, %d not checked in time",
		runs, total.staleness, stalenessBound,
		total.reads, total.writes, total.done, total.unknown, notLinearizable, undecided)
	t.Logf("number of runs by the longest time: %v", runsByStaleness)
	assert.LessOrEqual(t, total.staleness, stalenessBound)
	assert.Zero(t, notLinearizable)
}
