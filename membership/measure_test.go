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

// detectionTimeout is the maximum time that a measurement waits until all members know a death.
const detectionTimeout = 120 * second

// countAwareOf returns the number of living members that see a member as dead or left, and the number of living
// members.
func (c *cluster) countAwareOf(index int) (aware, alive int) {
	for _, node := range c.nodes {
		if !node.isAlive() {
			continue
		}
		alive++
		if member, found := c.memberSeenBy(node.index, index); found && !member.State.Present() {
			aware++
		}
	}
	return aware, alive
}

// secondsSince returns the simulated time since start in seconds.
func (c *cluster) secondsSince(start Micros) float64 { return float64(c.network.Now()-start) / second }

func medianAndMax(values []float64) (median, maximum float64) {
	slices.Sort(values)
	return values[len(values)/2], values[len(values)-1]
}

// detection contains the seconds from a death until the first, half and all of the living members know it.
type detection struct {
	first float64
	half  float64
	all   float64
}

// measureDetection kills a member and measures the time until the others know it.
func (c *cluster) measureDetection(killed int) detection {
	c.kill(killed)
	killedAt := c.network.Now()
	var result detection
	for {
		aware, alive := c.countAwareOf(killed)
		elapsed := c.secondsSince(killedAt)
		if aware > 0 && result.first == 0 {
			result.first = elapsed
		}
		if 2*aware >= alive && result.half == 0 {
			result.half = elapsed
		}
		if aware == alive || elapsed > detectionTimeout/second {
			result.all = elapsed
			return result
		}
		c.run(pollInterval)
	}
}

// measureFact publishes a fact and returns the seconds until all members have stored it.
func (c *cluster) measureFact(publisher int) float64 {
	c.nodes[publisher].step(PublishFact{Name: "list", Value: "v", TTL: 600 * second})
	publishedAt := c.network.Now()
	owner := c.nodes[publisher].self.ID
	for {
		holders := 0
		for _, node := range c.nodes {
			if member := node.members[owner]; member != nil && len(member.facts) > 0 {
				holders++
			}
		}
		if holders == len(c.nodes) || c.network.Now()-publishedAt > 60*second {
			return c.secondsSince(publishedAt)
		}
		c.run(pollInterval)
	}
}

// Measures the time from a death until one, half and all of the members know it, the traffic per member, and the time
// until a fact has reached all members.
func TestMeasureDetectionAndCost(t *testing.T) {
	const trafficSeconds = 10
	for _, testCase := range []struct{ size, deaths int }{{10, 9}, {100, 9}, {300, 5}, {1000, 1}} {
		var first, half, all, facts []float64
		var datagramRate, byteRate float64
		for seed := range testCase.deaths {
			c := newCluster(t, uint64(seed+1), testCase.size, lan)
			c.waitForAgreement(testCase.size, 300*second)
			c.run(30 * second)
			datagrams, bytes := c.datagrams, c.bytes
			c.run(trafficSeconds * second)
			samples := float64(trafficSeconds * testCase.size * testCase.deaths)
			datagramRate += float64(c.datagrams-datagrams) / samples
			byteRate += float64(c.bytes-bytes) / samples
			facts = append(facts, c.measureFact(1))
			killed := 2 + c.network.Rand().IntN(testCase.size-2)
			result := c.measureDetection(killed)
			first = append(first, result.first)
			half = append(half, result.half)
			all = append(all, result.all)
			assert.Zero(t, c.falsePositives())
		}
		firstMedian, _ := medianAndMax(first)
		halfMedian, _ := medianAndMax(half)
		allMedian, allMax := medianAndMax(all)
		factMedian, factMax := medianAndMax(facts)
		t.Logf("%4d members, %d deaths: known to one after %.1f s, half %.1f s, all %.1f s (max %.1f s); a fact reaches all after %.1f s (max %.1f s); %.1f datagrams and %.0f bytes per member and second",
			testCase.size, testCase.deaths, firstMedian, halfMedian, allMedian, allMax, factMedian, factMax, datagramRate, byteRate)
	}
}

// soakResult is the combined result of the runs of a soak test.
type soakResult struct {
	runs             int
	memberHours      float64
	falsePositives   int // living members that were declared dead in any view, each counted once per run
	detectionSeconds []float64
	datagramRate     float64 // per member and second
	undetected       int     // deaths that not all members knew within detectionTimeout
}

func (r *soakResult) add(other soakResult) {
	r.runs += other.runs
	r.memberHours += other.memberHours
	r.falsePositives += other.falsePositives
	r.detectionSeconds = append(r.detectionSeconds, other.detectionSeconds...)
	r.datagramRate += other.datagramRate
	r.undetected += other.undetected
}

// soak is the configuration of a soak test: clusters in which each member pauses once a minute for up to 5 s and one
// dies at the end.
type soak struct {
	runs               int
	size               int
	minutes            int
	loss               float64
	disabledSafeguards safeguard
}

// run runs the clusters in parallel and combines their results.
func (s soak) run(t *testing.T) soakResult {
	t.Helper()
	var mu sync.Mutex
	var sum soakResult
	t.Run(fmt.Sprint(s.loss, s.disabledSafeguards), func(t *testing.T) {
		for seed := range uint64(s.runs) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				result := s.runOnce(t, seed+1)
				mu.Lock()
				defer mu.Unlock()
				sum.add(result)
			})
		}
	})
	sum.datagramRate /= float64(s.runs)
	return sum
}

func (s soak) runOnce(t *testing.T, seed uint64) soakResult {
	t.Helper()
	c := newClusterWithout(t, seed, s.size, simnet.Link{MinDelay: 300, MaxDelay: 5000, LossRate: s.loss}, s.disabledSafeguards)
	c.run(120 * second)
	c.declaredDeaths = nil
	datagramsBefore := c.datagrams
	for _, node := range c.nodes {
		for minute := range s.minutes {
			at := Micros(60*minute)*second + c.network.Rand().Int64N(55*second)
			duration := c.network.Rand().Int64N(5 * second)
			c.network.Schedule(-1, at, func() { c.network.Pause(node.networkID(), duration) })
		}
	}
	c.run(Micros(s.minutes) * 60 * second)
	falsePositives := map[int]bool{}
	for _, death := range c.declaredDeaths {
		falsePositives[death.subject] = true
	}
	datagrams := c.datagrams - datagramsBefore
	killed := s.size - 1
	c.kill(killed)
	killedAt := c.network.Now()
	detected := false
	for !detected && c.network.Now()-killedAt < detectionTimeout {
		c.run(pollInterval)
		aware, alive := c.countAwareOf(killed)
		detected = aware == alive
	}
	result := soakResult{
		runs:             1,
		memberHours:      float64(s.size*s.minutes) / 60,
		falsePositives:   len(falsePositives),
		detectionSeconds: []float64{c.secondsSince(killedAt)},
		datagramRate:     float64(datagrams) / float64(s.size) / float64(60*s.minutes),
	}
	if !detected {
		result.undetected = 1
	}
	return result
}

// Measures the number of living members that are declared dead, per member-hour.
func TestMeasureFalsePositives(t *testing.T) {
	for _, testCase := range []struct {
		loss float64
		runs int
	}{{0, 4}, {0.1, 6}, {0.3, 2}} {
		result := soak{runs: testCase.runs, size: 50, minutes: 60, loss: testCase.loss}.run(t)
		median, maximum := medianAndMax(result.detectionSeconds)
		t.Logf("loss %.0f %%, pauses up to 5 s: %d false positives in %.0f member-hours; a death known to all after %.1f s (max %.1f s); %.1f datagrams per member and second",
			100*testCase.loss, result.falsePositives, result.memberHours, median, maximum, result.datagramRate)
	}
}

// Measures false positives and the detection time with each safeguard disabled in turn, to determine its effect and
// cost.
func TestMeasureSafeguardsDisabled(t *testing.T) {
	for _, testCase := range []struct {
		name               string
		disabledSafeguards safeguard
	}{
		{"all enabled", 0},
		{"without probe retry", probeRetry},
		{"without indirect probing", indirectProbing},
		{"without pause detection", pauseDetection},
		{"without local health scaling", localHealthScaling},
		{"without suspicion restart", suspicionRestart},
		{"without accuser comparison", accuserComparison},
	} {
		for _, loss := range []float64{0.1, 0.3} {
			result := soak{runs: 4, size: 40, minutes: 10, loss: loss, disabledSafeguards: testCase.disabledSafeguards}.run(t)
			median, maximum := medianAndMax(result.detectionSeconds)
			t.Logf("%-34s loss %2.0f %%: %3d false positives in %.0f member-hours; a death known to all after %.1f s (max %.1f s), %d of %d not within 2 min; %.1f datagrams per member and second",
				testCase.name, 100*loss, result.falsePositives, result.memberHours, median, maximum, result.undetected, result.runs, result.datagramRate)
		}
	}
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Measures the CPU time and memory per member, including those of the simulated network.
func TestMeasureStepAndMemory(t *testing.T) {
	const measuredSeconds = 10
	for _, size := range []int{10, 100, 300} {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		c := newCluster(t, 1, size, lan)
		c.waitForAgreement(size, 300*second)
		c.run(30 * second)
		runtime.GC()
		runtime.ReadMemStats(&after)
		cpuBefore := cpuTime(t)
		c.run(measuredSeconds * second)
		cpu := cpuTime(t) - cpuBefore
		t.Logf("%4d members: %.2f ms of CPU time per member and second, %.0f KB per member",
			size, cpu.Seconds()*1000/float64(size)/measuredSeconds, float64(after.HeapAlloc-before.HeapAlloc)/float64(size)/1024)
	}
}

// injectRandomFault schedules a pause, a one-way cut or a restart.
func (c *cluster) injectRandomFault(rng *rand.Rand) {
	size := len(c.nodes)
	at := Micros(rng.IntN(60)) * second
	index, otherIndex := rng.IntN(size), rng.IntN(size)
	duration := Micros(1+rng.IntN(30)) * second
	c.network.Schedule(-1, at, func() {
		one, others := nodeRange(index, index+1), nodeRange(otherIndex, size)
		switch rng.IntN(4) {
		case 0:
			c.network.Pause(simnet.NodeID(index), duration)
		case 1:
			c.network.Cut(one, others)
			c.network.Schedule(-1, duration, func() { c.network.Heal(one, others) })
		case 2:
			c.network.Cut(others, one)
			c.network.Schedule(-1, duration, func() { c.network.Heal(others, one) })
		case 3:
			if index > 0 && c.nodes[index].isAlive() {
				c.kill(index)
				c.network.Schedule(-1, duration, func() { c.revive(index) })
			}
		}
	})
}

// Checks that all views agree some time after the last random fault, and measures the time until they do.
func TestMeasureRandomFaults(t *testing.T) {
	const runs = 200
	var settled []float64
	for seed := range uint64(runs) {
		rng := rand.New(rand.NewPCG(seed, 9))
		size := 3 + rng.IntN(28)
		link := simnet.Link{
			MinDelay:        300,
			MaxDelay:        Micros(5000 + rng.IntN(200_000)),
			LossRate:        0.2 * rng.Float64(),
			DuplicationRate: 0.2 * rng.Float64(),
		}
		c := newCluster(t, seed+1, size, link)
		c.waitForAgreement(size, 120*second)
		for range 3 + rng.IntN(6) {
			c.injectRandomFault(rng)
		}
		c.run(95 * second)
		lastFaultEnded := c.network.Now()
		c.waitForAgreement(size, 120*second)
		settled = append(settled, c.secondsSince(lastFaultEnded))
		if t.Failed() {
			t.Fatalf("seed %d, %d members", seed, size)
		}
	}
	median, maximum := medianAndMax(settled)
	t.Logf("%d runs with random faults: all views agree %.1f s after the last fault (median), %.1f s (max)", runs, median, maximum)
}
