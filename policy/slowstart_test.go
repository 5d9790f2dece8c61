package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// loadWarmingServer simulates aggregators that all have more parts than they may send to a single warming server, the
// only replica of their shard. It returns the peak load, which is the maximum work sent within the overload duration as
// a share of the server's limit, and the work rate in seconds of work per second.
func loadWarmingServer(t *testing.T, instances int, report LoadReport) (peak, rate float64) {
	t.Helper()
	const work = 100_000
	s := fullReplicationSettings()
	s.OverloadFactor = 2
	s.SlowStartFraction = 0.25
	s.InstanceCount = instances
	var harnesses []*harness
	for i := range instances {
		s.InstanceIndex = i
		h := newHarness(t, s)
		h.answerQueries(idempotentClass, 60, work)
		for range 40 {
			h.aggregator.recordLoad(h.aggregator.serversByID[1], report)
		}
		harnesses = append(harnesses, h)
	}
	start := harnesses[0].now
	server := Endpoint{ID: 9, State: Ready, StartedAt: start}
	var sentAt []Micros
	for now := start; now < start+s.SlowStartDuration; now += 4 * s.Tick {
		for _, h := range harnesses {
			for range h.sendToWarmingServer(now, server, work) {
				sentAt = append(sentAt, now)
			}
		}
		recentWork := float64(work * countSince(sentAt, now-s.OverloadDuration+1))
		progress := float64(now-start) / float64(s.SlowStartDuration)
		fraction := s.SlowStartFraction + (1-s.SlowStartFraction)*progress
		limit := s.OverloadFactor * fraction * float64(s.OverloadDuration) * harnesses[0].aggregator.fleet.sustainedWorkRate
		peak = max(peak, recentWork/limit)
	}
	return peak, work * float64(len(sentAt)) / float64(s.SlowStartDuration)
}

// sendToWarmingServer starts a query, answers its attempts at once and returns them. It first closes queries that are
// still open, and keeps the latency statistics at the given work.
func (h *harness) sendToWarmingServer(now Micros, server Endpoint, work float64) []SendAttempt {
	a := h.aggregator
	h.now = now
	for _, q := range a.openQueries {
		a.closeQuery(q)
	}
	_, events := h.newQuery(idempotentClass, 1)
	sent := h.stepSends(0, append(events, EndpointList{[]Endpoint{server}})...)
	for _, attempt := range sent {
		h.step(0, resultOf(attempt, OK))
		a.classes[idempotentClass].referenceLatency = work
		a.fleet.meanLatency = work
		a.fleet.baseLatency = work
	}
	return sent
}

// A warming server crashes if all aggregators together exceed its limit, and each of them knows only its own attempts.
// Whatever their number, they must stay within the limit and still use the server.
func TestWarmingServersAreNotOverloaded(t *testing.T) {
	for _, instances := range []int{1, 2, 11, 32, 90} {
		peak, rate := loadWarmingServer(t, instances, NoLoadReport)
		assert.LessOrEqual(t, peak, 1.0, "peak load with %d aggregators", instances)
		// On average, the server can execute 0.62 parts at a time.
		assert.GreaterOrEqual(t, rate, 0.2, "work rate with %d aggregators", instances)
	}
	report := NoLoadReport
	report.RequestRate = 30
	_, defaultRate := loadWarmingServer(t, 11, NoLoadReport)
	_, higherRate := loadWarmingServer(t, 11, report)
	assert.Greater(t, higherRate, defaultRate, "work rate if warm servers report a higher one")
}
