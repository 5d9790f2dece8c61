//go:build measure

package membership

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/internal/simnet"
)

// countAwareOf tells by how many of the living a member is held to be gone.
func (w *cluster) countAwareOf(of int) (n, all int) {
	for _, c := range w.nodes {
		if !w.network.Alive(simnet.Party(c.index)) {
			continue
		}
		all++
		if slices.ContainsFunc(c.view.Members, func(m Member) bool { return m.Name == name(of) && m.State > Suspect }) {
			n++
		}
	}
	return n, all
}

func medianAndMax(xs []float64) (median, most float64) {
	slices.Sort(xs)
	return xs[len(xs)/2], xs[len(xs)-1]
}

// From a death until one, half and all know it, what a member sends, and until a fact is everywhere.
func TestMeasureDetectionAndCost(t *testing.T) {
	for _, c := range []struct{ n, deaths int }{{10, 9}, {100, 9}, {300, 5}, {1000, 1}} {
		var one, half, all, facts []float64
		var rate, bytes float64
		for seed := range c.deaths {
			w := newCluster(t, uint64(seed+1), c.n, lan)
			w.waitForAgreement(0, c.n, 300*second)
			w.run(30 * second)
			sent, size := w.datagrams, w.bytes
			w.run(10 * second)
			rate += float64(w.datagrams-sent) / 10 / float64(c.n) / float64(c.deaths)
			bytes += float64(w.bytes-size) / 10 / float64(c.n) / float64(c.deaths)
			w.nodes[1].step(PublishFact{"list", "v", 600 * second})
			began := w.network.Now()
			for {
				n := 0
				for _, o := range w.nodes {
					if m := o.members[w.nodes[1].self.ID]; m != nil && len(m.facts) > 0 {
						n++
					}
				}
				if n == c.n || w.network.Now()-began > 60*second {
					break
				}
				w.run(second / 10)
			}
			facts = append(facts, float64(w.network.Now()-began)/second)
			victim := 2 + w.network.Rand().IntN(c.n-2)
			w.kill(victim)
			began = w.network.Now()
			first, mid := 0.0, 0.0
			for {
				n, living := w.countAwareOf(victim)
				at := float64(w.network.Now()-began) / second
				if n > 0 && first == 0 {
					first = at
				}
				if 2*n >= living && mid == 0 {
					mid = at
				}
				if n == living || at > 120 {
					one, half, all = append(one, first), append(half, mid), append(all, at)
					break
				}
				w.run(second / 10)
			}
			assert.Zero(t, w.falseRemovals())
		}
		o, _ := medianAndMax(one)
		h, _ := medianAndMax(half)
		a, most := medianAndMax(all)
		f, late := medianAndMax(facts)
		t.Logf("%4d members, %d deaths: known to one after %.1f s, half %.1f, all %.1f (most %.1f); a fact is everywhere after %.1f (most %.1f); %.1f datagrams and %.0f bytes a member and second",
			c.n, c.deaths, o, h, a, most, f, late, rate, bytes)
	}
}

// soakResult is what a hundred minutes or so of a town came to.
type soakResult struct {
	runs             int
	memberHours      float64 // of members
	falsePositives   int     // members that lived and were taken out of any view, each counted once a run
	detectionSeconds []float64
	datagramRate     float64
	undetected       int // deaths that not all knew within two minutes
}

// runSoak runs towns of so many members, in each of which everybody stands still once a minute for up to 5 s and one
// dies at the end.
func runSoak(t *testing.T, runs, n, minutes int, loss float64, off safeguard) (sum soakResult) {
	var mu sync.Mutex
	t.Run(fmt.Sprint(loss, off), func(t *testing.T) {
		for seed := range uint64(runs) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				w := newClusterWithout(t, seed+1, n, simnet.Link{Least: 300, Most: 5000, Loss: loss}, off)
				w.run(120 * second)
				w.removals = nil
				sent := w.datagrams
				for i := range n {
					for k := range minutes {
						at := Micros(60*k)*second + w.network.Rand().Int64N(55*second)
						span := w.network.Rand().Int64N(5 * second)
						w.network.After(-1, at, func() { w.network.Pause(simnet.Party(i), span) })
					}
				}
				w.run(Micros(minutes) * 60 * second)
				out := map[int]bool{}
				for _, f := range w.removals {
					out[f.removed] = out[f.removed] || !f.wasDead
				}
				rate := float64(w.datagrams-sent) / float64(n) / float64(60*minutes)
				w.kill(n - 1)
				began, known := w.network.Now(), false
				for !known && w.network.Now()-began < 120*second {
					w.run(second / 10)
					k, all := w.countAwareOf(n - 1)
					known = k == all
				}
				mu.Lock()
				defer mu.Unlock()
				sum.runs++
				sum.memberHours += float64(n*minutes) / 60
				sum.falsePositives += len(out)
				sum.datagramRate += rate / float64(runs)
				if !known {
					sum.undetected++
				}
				sum.detectionSeconds = append(sum.detectionSeconds, float64(w.network.Now()-began)/second)
			})
		}
	})
	return sum
}

// Members that live and are taken out of a view, by hour of members.
func TestMeasureFalsePositives(t *testing.T) {
	for _, c := range []struct {
		loss float64
		runs int
	}{{0, 4}, {0.1, 6}, {0.3, 2}} {
		s := runSoak(t, c.runs, 50, 60, c.loss, 0)
		m, most := medianAndMax(s.detectionSeconds)
		t.Logf("loss %.0f %%, pauses up to 5 s: %d members taken out in vain in %.0f member-hours; a death known to all after %.1f s (most %.1f); %.1f datagrams a member and second",
			100*c.loss, s.falsePositives, s.memberHours, m, most, s.datagramRate)
	}
}

// The same without one remedy each: what it is good for, and what it costs in time until a death is known.
func TestMeasureSafeguardsDisabled(t *testing.T) {
	names := []string{"a question put three times", "helpers", "own pause", "own health", "starting anew", "doubt by comparison"}
	for i := -1; i < len(names); i++ {
		off, name := safeguard(0), "all in force"
		if i >= 0 {
			off, name = 1<<i, "without "+names[i]
		}
		for _, loss := range []float64{0.1, 0.3} {
			s := runSoak(t, 4, 40, 10, loss, off)
			m, most := medianAndMax(s.detectionSeconds)
			t.Logf("%-34s loss %2.0f %%: %3d taken out in vain in %.0f member-hours; a death known to all after %.1f s (most %.1f), %d of %d not within 2 min; %.1f datagrams a member and second",
				name, 100*loss, s.falsePositives, s.memberHours, m, most, s.undetected, s.runs, s.datagramRate)
		}
	}
}

// cpuTime is how much time of the processor this process has used.
func cpuTime(t *testing.T) time.Duration {
	var u syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// What a member costs in time of the processor and in memory, the network in virtual time included.
func TestMeasureStepAndMemory(t *testing.T) {
	for _, n := range []int{10, 100, 300} {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		w := newCluster(t, 1, n, lan)
		w.waitForAgreement(0, n, 300*second)
		w.run(30 * second)
		runtime.GC()
		runtime.ReadMemStats(&after)
		took := -cpuTime(t)
		w.run(10 * second)
		took += cpuTime(t)
		t.Logf("%4d members: %.2f ms of processor a member and second, %.0f KB a member", n, took.Seconds()*1000/float64(n)/10,
			float64(after.HeapAlloc-before.HeapAlloc)/float64(n)/1024)
	}
}

// Random faults: afterwards every death is known, nobody who is connected stays out, and views are equal.
func TestMeasureRandomFaults(t *testing.T) {
	var settled []float64
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 9))
		n := 3 + rng.IntN(28)
		w := newCluster(t, seed+1, n, simnet.Link{Least: 300, Most: Micros(5000 + rng.IntN(200_000)), Loss: 0.2 * rng.Float64(), Repeat: 0.2 * rng.Float64()})
		w.waitForAgreement(0, n, 120*second)
		for range 3 + rng.IntN(6) {
			at, i, j := Micros(rng.IntN(60))*second, rng.IntN(n), rng.IntN(n)
			span := Micros(1+rng.IntN(30)) * second
			w.network.After(-1, at, func() {
				a, b := partyRange(i, i+1), partyRange(j, n)
				switch rng.IntN(4) {
				case 0:
					w.network.Pause(simnet.Party(i), span)
				case 1:
					w.network.Cut(a, b)
					w.network.After(-1, span, func() { w.network.Heal(a, b) })
				case 2:
					w.network.Cut(b, a)
					w.network.After(-1, span, func() { w.network.Heal(b, a) })
				case 3:
					if i > 0 && w.network.Alive(simnet.Party(i)) {
						w.kill(i)
						w.network.After(-1, span, func() { w.revive(i) })
					}
				}
			})
		}
		w.run(95 * second)
		began := w.network.Now()
		w.waitForAgreement(0, n, 120*second)
		settled = append(settled, float64(w.network.Now()-began)/second)
		if t.Failed() {
			t.Fatalf("seed %d, %d members", seed, n)
		}
	}
	m, most := medianAndMax(settled)
	t.Logf("200 runs of random faults: views equal %.1f s after the last one (median), %.1f s at most", m, most)
}
