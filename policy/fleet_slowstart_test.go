package policy_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"alderproxy/internal/simnet/simfleet"
)

// workFactor multiplies the work of the parts, and the times of the classes, of simfleet.Large. With parts this heavy, a
// warming server's limit is some tens of them per overload duration, so that chance matters.
const workFactor = 4

// restarts schedule restarts of aggregators during a run, by name. An aggregator that restarts loses the record of its
// earlier attempts.
var restarts = map[string]func(*simfleet.Fleet){
	"none": func(*simfleet.Fleet) {},
	"a tenth at a time": func(f *simfleet.Fleet) {
		for i := range f.Aggregators {
			f.ScheduleAt(3*second+simfleet.Micros(i*10/len(f.Aggregators))*second, func() { f.RestartAggregator(i, second/2) })
		}
	},
	"all at once": func(f *simfleet.Fleet) {
		for _, at := range []simfleet.Micros{4 * second, 8 * second} {
			f.ScheduleAt(at, func() {
				for i := range f.Aggregators {
					f.RestartAggregator(i, second/5)
				}
			})
		}
	},
}

// A warming server crashes if all aggregators together exceed its limit. Whatever their number, they must stay within
// the limit, apart from random variation (see simfleet.StoreStats.ExcessParts), when the traffic is uneven, endpoint lists
// reach some of them late, all replicas of a third of the ring positions are replaced at once and aggregators restart.
func TestFleetOfAnySizeKeepsWarmingServersBelowTheirLimit(t *testing.T) {
	for _, size := range []struct{ aggregators, positions int }{{3, 8}, {20, 16}, {30, 20}, {300, 30}} {
		for name, restart := range restarts {
			t.Run(fmt.Sprint(size.aggregators, " aggregators, restarts: ", name), func(t *testing.T) {
				t.Parallel()
				seeds := uint64(2)
				if size.aggregators > 100 { // these runs are slow
					seeds = 1
				}
				for seed := uint64(1); seed <= seeds; seed++ {
					f := newFleetWithReplacements(seed, size.aggregators, size.positions)
					restart(f)
					r := f.Run(11 * second)
					t.Logf("seed %d: served fraction %.3f, peak load %.2f times the capacity, %.1f parts beyond random variation",
						seed, r.ServedFraction(), r.PeakOverload, r.ExcessParts)
					assert.LessOrEqual(t, r.ExcessParts, 0.0, "seed %d: parts beyond random variation", seed)
				}
			})
		}
	}
}

// newFleetWithReplacements returns a fleet that replaces all servers at each third ring position after two seconds.
func newFleetWithReplacements(seed uint64, aggregators, positions int) *simfleet.Fleet {
	p := simfleet.Large(seed, aggregators, positions, 0.55)
	p.ShardSkew = 0.5
	p.AggregatorSkew = 1
	rate := p.Rate
	p.Rate = func(now simfleet.Micros) float64 { return rate(now) / workFactor }
	for i := range p.Mix {
		p.Mix[i].MeanWork *= workFactor
	}
	for i := range p.Settings.Classes {
		class := &p.Settings.Classes[i]
		class.LatencyObjective *= workFactor
		class.Timeout *= workFactor
	}
	f := simfleet.New(p)
	for i := range f.Stores {
		if i%positions%3 == 0 {
			f.ScheduleAt(2*second, func() { f.ReplaceStore(i) })
		}
	}
	f.ScheduleAt(2*second, func() { f.AnnounceEndpoints(3 * second) })
	return f
}
