package policy_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"alderproxy/internal/simnet/simfleet"
)

const second = 1_000_000

// 300 aggregators at full load must answer no fewer queries than they would by sending each part to a random replica.
// Each of them sees little of the traffic, and its hedged requests add to the load of all.
func TestFleetAtFullLoadIsNoWorseThanRandomSelection(t *testing.T) {
	for seed := uint64(1); seed <= 2; seed++ {
		p := simfleet.Large(seed, 300, 46, 0.45)
		p.Rate = simfleet.Burst(p.Rate, 3*second, 6*second)
		r := simfleet.New(p).Run(9 * second)
		p.RandomReplicas = true
		random := simfleet.New(p).Run(9 * second)
		assert.Greater(t, r.ServedFraction(), random.ServedFraction()-0.05, "seed %d: share answered, against random selection", seed)
		assert.Less(t, r.Wasted/r.Work, 0.05, "seed %d: wasted share of the work", seed)
		assert.Less(t, float64(r.Attempts)/float64(r.Parts), 1.05, "seed %d: attempts per part", seed)
	}
}

// With capacity to spare, hedged requests save the queries that meet a slow server.
func TestFleetWithCapacityHedgesAroundSlowServers(t *testing.T) {
	p := simfleet.Large(1, 300, 46, 0.25)
	f := simfleet.New(p)
	f.ScheduleAt(3*second, func() {
		for i := 3; i < len(f.Stores); i += 8 {
			f.Stores[i].SlowDown(6, 4*second)
		}
	})
	assert.Greater(t, f.Run(9*second).ServedFraction(), 0.85)
}

// A warming server bears a limited load from all aggregators together, and each of them knows only its own.
func TestFleetReplacingSixInTenServersOverloadsNone(t *testing.T) {
	for seed := uint64(1); seed <= 2; seed++ {
		p := simfleet.Large(seed, 300, 30, 0.3)
		p.ShardSkew = 0.5 // hot shards receive more parts than the aggregators expect
		f := simfleet.New(p)
		for i := range 36 {
			f.ScheduleAt(2*second+simfleet.Micros(i)*7*second/36, func() {
				f.Replace(i)
				f.AnnounceEndpoints(second / 2)
			})
		}
		r := f.Run(16 * second)
		t.Logf("seed %d: share answered %.3f, peak load %.2f of what a server can do", seed, r.ServedFraction(), r.PeakOverload)
		assert.Zero(t, r.OverloadedStores, "seed %d: servers crashed, peak load %.2f of what a server can do", seed, r.PeakOverload)
		assert.Less(t, r.PeakOverload, 0.9*p.Settings.OverloadFactor, "seed %d", seed)
		assert.Greater(t, r.ServedFraction(), 0.57, "seed %d: share answered, which takes warming servers", seed)
	}
}

// Aggregators that restart at the same time know no latencies and have no connections.
func TestFleetRecoversFromASimultaneousRestart(t *testing.T) {
	p := simfleet.Large(2, 300, 46, 0.4)
	f := simfleet.New(p)
	f.ScheduleAt(4*second, func() {
		for i := range f.Aggregators {
			f.Restart(i, second/5)
		}
	})
	r := f.Run(10 * second)
	before, after := r.Seconds[2], r.Seconds[6]
	assert.Greater(t, after.Served/after.Offered, before.Served/before.Offered-0.1,
		"share answered a second after the restart")
	assert.Less(t, float64(r.Attempts)/float64(r.Parts), 1.1, "attempts per part")
}

// A run is determined by its seed, so that a failed one can be reproduced.
func TestFleetRunIsReproducible(t *testing.T) {
	run := func(seed uint64) simfleet.Result {
		return simfleet.New(simfleet.Large(seed, 30, 10, 0.4)).Run(3 * second)
	}
	first, second, other := run(5), run(5), run(6)
	assert.Equal(t, first, second)
	assert.NotEqual(t, first.Digest, other.Digest)
}
