package policy_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"alderproxy/internal/simnet/simfleet"
)

const second = 1_000_000

// Each of 300 aggregators sees little of the traffic, and hedged requests add to the load of all servers. In a burst to
// two thirds of the capacity, they must serve nearly as much as with each part sent to a random replica.
func TestFleetUnderHighLoadIsNoWorseThanRandomSelection(t *testing.T) {
	for seed := uint64(1); seed <= 2; seed++ {
		p := simfleet.Large(seed, 300, 46, 0.45)
		p.Rate = simfleet.Burst(p.Rate, 3*second, 6*second)
		r := simfleet.New(p).Run(9 * second)
		p.RandomReplicas = true
		random := simfleet.New(p).Run(9 * second)
		assert.Greater(t, r.ServedFraction(), random.ServedFraction()-0.05,
			"seed %d: served fraction, compared with random selection", seed)
		assert.Less(t, r.Wasted/r.Work, 0.05, "seed %d: wasted fraction of the work", seed)
		assert.Less(t, float64(r.Attempts)/float64(r.Parts), 1.05, "seed %d: attempts per part", seed)
	}
}

// With spare capacity, queries with a part at a server that became slow must be answered by hedged requests.
func TestFleetWithCapacityHedgesAroundSlowServers(t *testing.T) {
	p := simfleet.Large(1, 300, 46, 0.25)
	f := simfleet.New(p)
	f.ScheduleAt(3*second, func() {
		for i := 3; i < len(f.Stores); i += 8 {
			f.Stores[i].SlowDown(6, 4*second)
		}
	})
	assert.Greater(t, f.Run(9*second).ServedFraction(), 0.85, "served fraction")
}

// A warming server crashes if the load of all aggregators together exceeds its limit, and each of them knows only its
// own attempts.
func TestFleetReplacingSixInTenServersOverloadsNone(t *testing.T) {
	for seed := uint64(1); seed <= 2; seed++ {
		p := simfleet.Large(seed, 300, 30, 0.3)
		p.ShardSkew = 0.5 // hot shards receive more parts than the aggregators expect
		f := simfleet.New(p)
		for i := range 36 {
			f.ScheduleAt(2*second+simfleet.Micros(i)*7*second/36, func() {
				f.ReplaceStore(i)
				f.AnnounceEndpoints(second / 2)
			})
		}
		r := f.Run(16 * second)
		t.Logf("seed %d: served fraction %.3f, peak load %.2f times the capacity", seed, r.ServedFraction(), r.PeakOverload)
		assert.Zero(t, r.OverloadedStores, "seed %d: crashed servers, peak load %.2f times the capacity", seed, r.PeakOverload)
		assert.Less(t, r.PeakOverload, 0.9*p.Settings.OverloadFactor, "seed %d: peak load", seed)
		assert.Greater(t, r.ServedFraction(), 0.57,
			"seed %d: served fraction, which is lower if warming servers are left unused", seed)
	}
}

// Aggregators that restart at the same time have no latency statistics and no connections. Two seconds later, they must
// serve nearly as much as before, with few retries.
func TestFleetRecoversFromASimultaneousRestart(t *testing.T) {
	p := simfleet.Large(2, 300, 46, 0.4)
	f := simfleet.New(p)
	f.ScheduleAt(4*second, func() {
		for i := range f.Aggregators {
			f.RestartAggregator(i, second/5)
		}
	})
	r := f.Run(10 * second)
	before, after := r.Seconds[2], r.Seconds[6]
	assert.Greater(t, after.Served/after.Offered, before.Served/before.Offered-0.1,
		"served fraction two seconds after the restart")
	assert.Less(t, float64(r.Attempts)/float64(r.Parts), 1.1, "attempts per part")
}

// A failed run can only be reproduced if the seed determines the whole run.
func TestFleetRunIsReproducible(t *testing.T) {
	run := func(seed uint64) simfleet.Result {
		return simfleet.New(simfleet.Large(seed, 30, 10, 0.4)).Run(3 * second)
	}
	first, repeated, other := run(5), run(5), run(6)
	assert.Equal(t, first, repeated, "runs with the same seed")
	assert.NotEqual(t, first.Digest, other.Digest, "digests with different seeds")
}
