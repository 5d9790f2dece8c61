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

// The longest time that an instance served a replaced version over 200 random fault runs, beside the bound.
func TestMeasureStaleness(t *testing.T) {
	const runs, bound = 200, time.Second
	var mu sync.Mutex
	var sum faultRunResult
	illegal, undecided := 0, 0
	over := map[time.Duration]int{}
	t.Run("runs", func(t *testing.T) {
		room := make(chan struct{}, 8)
		for seed := range uint64(runs) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				room <- struct{}{}
				defer func() { <-room }()
				one := runUnderFaults(t, 1000+seed, bound, 4*time.Second)
				mu.Lock()
				defer mu.Unlock()
				sum.stale = max(sum.stale, one.stale)
				over[one.stale.Truncate(100*time.Millisecond)]++
				sum.done, sum.unknown, sum.reads, sum.changes = sum.done+one.done, sum.unknown+one.unknown, sum.reads+one.reads, sum.changes+one.changes
				switch one.linear {
				case porcupine.Illegal:
					illegal++
				case porcupine.Unknown:
					undecided++
				}
			})
		}
	})
	t.Logf("%d runs: longest service under a replaced version %v, bound %v; %d reads, %d changes asked for, %d done, %d unknown; not linearizable %d, not decided %d",
		runs, sum.stale, bound, sum.reads, sum.changes, sum.done, sum.unknown, illegal, undecided)
	t.Logf("runs by their longest: %v", over)
	assert.LessOrEqual(t, sum.stale, bound)
	assert.Zero(t, illegal)
}
