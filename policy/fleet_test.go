package policy_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"alderproxy/internal/simnet/simfleet"
)

const second = 1_000_000

// What 300 aggregators do together must not be worse than what they would do by drawing a replica for each part. Each
// of them sees a three-hundredth of the traffic, and what it spends on saving its own queries all others pay for.
func TestFleetAtFullLoadIsNoWorseThanChance(t *testing.T) {
	for seed := uint64(1); seed <= 2; seed++ {
		p := simfleet.Large(seed, 300, 46, 0.45)
		p.Rate = simfleet.Burst(p.Rate, 3*second, 6*second)
		r := simfleet.New(p).Run(9 * second)
		p.Plain = true
		chance := simfleet.New(p).Run(9 * second)
		assert.Greater(t, r.Share(), chance.Share()-0.05, "seed %d: served, and by chance", seed)
		assert.Less(t, r.Wasted/r.Work, 0.05, "seed %d: work for nobody", seed)
		assert.Less(t, float64(r.Sends)/float64(r.Parts), 1.05, "seed %d: attempts a part", seed)
	}
}

// The other side of the same decision: where there is room, copies save the queries that met a slow store.
func TestFleetWithRoomSavesWhatSlowStoresHold(t *testing.T) {
	p := simfleet.Large(1, 300, 46, 0.25)
	f := simfleet.New(p)
	f.At(3*second, func() {
		for i := 3; i < len(f.Stores); i += 8 {
			f.Stores[i].Slow(6, 4*second)
		}
	})
	assert.Greater(t, f.Run(9*second).Share(), 0.85)
}

// Cold stores bear only so much from all aggregators together, and each of these knows only its own share.
func TestFleetReplacingSixInTenStoresPushesNoneOver(t *testing.T) {
	for seed := uint64(1); seed <= 2; seed++ {
		p := simfleet.Large(seed, 300, 30, 0.3)
		p.Skew = 0.5 // hot shards are more than their gatherers expect
		f := simfleet.New(p)
		for i := range 36 {
			f.At(2*second+simfleet.Micros(i)*7*second/36, func() {
				f.Replace(i)
				f.List(second / 2)
			})
		}
		r := f.Run(16 * second)
		t.Logf("seed %d: served %.3f, most sent %.2f of what a store can do", seed, r.Share(), r.Peak)
		assert.Zero(t, r.Fell, "seed %d: cold stores pushed over, one was sent %.2f of what it can do", seed, r.Peak)
		assert.Less(t, r.Peak, 0.9*p.Settings.OverloadFactor, "seed %d", seed)
		assert.Greater(t, r.Share(), 0.57, "seed %d: cold stores are used", seed)
	}
}

// Aggregators that begin anew together know no latencies, and have no connection.
func TestFleetRestartedInOneInstantRecovers(t *testing.T) {
	p := simfleet.Large(2, 300, 46, 0.4)
	f := simfleet.New(p)
	f.At(4*second, func() {
		for i := range f.Nodes {
			f.Restart(i, second/5)
		}
	})
	r := f.Run(10 * second)
	before, after := r.Seconds[2], r.Seconds[6]
	assert.Greater(t, after.Served/after.Asked, before.Served/before.Asked-0.1, "a second after all are back")
	assert.Less(t, float64(r.Sends)/float64(r.Parts), 1.1, "attempts a part")
}

// One seed is one run, to the byte: a day that fails can be played again alone.
func TestFleetRepeatsFromItsSeed(t *testing.T) {
	run := func(seed uint64) simfleet.Result {
		return simfleet.New(simfleet.Large(seed, 30, 10, 0.4)).Run(3 * second)
	}
	assert.Equal(t, run(5), run(5))
	assert.NotEqual(t, run(5).Digest, run(6).Digest)
}
