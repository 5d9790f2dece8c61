package policy_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"alderproxy/internal/simnet/simfleet"
)

// heavy is how many times the parts' work, and the times of their classes, are those of simfleet.Large.
const heavy = 4

// What a cold store is sent by all aggregators together stays within what the rule puts down to chance, whatever their
// number: with uneven traffic, lists that come late to some, a release of all replicas of a third of the cells at once, and aggregators
// that begin anew meanwhile, a tenth at a time or all in one instant, and know nothing of what they have sent.
func TestFleetOfAnySizeKeepsWithinWhatColdStoresBear(t *testing.T) {
	for _, size := range []struct{ gatherers, cells int }{{3, 8}, {20, 16}, {30, 20}, {300, 30}} {
		for name, restart := range map[string]func(*simfleet.Fleet){
			"none": func(*simfleet.Fleet) {},
			"a tenth at a time": func(f *simfleet.Fleet) {
				for i := range f.Nodes {
					f.At(3*second+simfleet.Micros(i*10/len(f.Nodes))*second, func() { f.Restart(i, second/2) })
				}
			},
			"all at once": func(f *simfleet.Fleet) {
				for _, at := range []simfleet.Micros{4 * second, 8 * second} {
					f.At(at, func() {
						for i := range f.Nodes {
							f.Restart(i, second/5)
						}
					})
				}
			},
		} {
			t.Run(fmt.Sprint(size.gatherers, " aggregators, restarts: ", name), func(t *testing.T) {
				t.Parallel()
				seeds := uint64(2)
				if size.gatherers > 100 { // it takes a while
					seeds = 1
				}
				for seed := uint64(1); seed <= seeds; seed++ {
					p := simfleet.Large(seed, size.gatherers, size.cells, 0.55)
					p.Skew, p.Uneven = 0.5, 1
					// Parts as heavy as our operators': a cold store bears some tens in the rule's span, and chance is large.
					rate := p.Rate
					p.Rate = func(now simfleet.Micros) float64 { return rate(now) / heavy }
					for i := range p.Mix {
						p.Mix[i].Work *= heavy
					}
					for i := range p.Settings.Classes {
						c := &p.Settings.Classes[i]
						c.LatencyObjective, c.Timeout = c.LatencyObjective*heavy, c.Timeout*heavy
					}
					f := simfleet.New(p)
					for i := range f.Stores { // all replicas of each third cell: nobody else has their shards
						if i%size.cells%3 == 0 {
							f.At(2*second, func() { f.Replace(i) })
						}
					}
					f.At(2*second, func() { f.List(3 * second) })
					restart(f)
					r := f.Run(11 * second)
					t.Logf("seed %d: served %.3f, most %.2f of what a store can do, %.1f parts beyond what chance accounts for",
						seed, r.Share(), r.Peak, r.Excess)
					assert.LessOrEqual(t, r.Excess, 0.0, "seed %d", seed)
				}
			})
		}
	}
}
