package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// waitForPoll advances the time until the endpoint list is polled, and returns the wait.
func (h *harness) waitForPoll(events ...Event) Micros {
	const longest = 20_000_000
	start := h.now
	actions := h.step(testTick, events...)
	for len(actionsOf[PollEndpoints](actions)) == 0 && h.now < start+longest {
		actions = h.step(testTick, TimerFired{})
	}
	return h.now - start
}

// The polls after failed ones are further and further apart, up to the poll interval, and differ between the
// instances. A list resets the backoff.
func TestFailedEndpointPollsAreBackedOff(t *testing.T) {
	const instances = 8
	firstWaits := map[Micros]bool{}
	for index := range instances {
		s := fullReplicationSettings()
		s.InstanceCount = instances
		s.InstanceIndex = index
		s.PollEndpoints = true
		s.MaxPollInterval = 10_000_000
		h := newHarness(t, s)
		require.Len(t, actionsOf[PollEndpoints](h.actions), 1, "at the start")
		var waits []Micros
		for range 5 {
			waits = append(waits, h.waitForPoll(EndpointListFailed{}))
		}
		firstWaits[waits[0]] = true
		assert.GreaterOrEqual(t, waits[0], Micros(h.aggregator.meanLatencyObjective)/2, "instance %d: %v", index, waits)
		assert.GreaterOrEqual(t, waits[1], waits[0]*3/2, "instance %d: %v", index, waits)
		assert.LessOrEqual(t, waits[4], s.MaxPollInterval+2*testTick, "instance %d: %v", index, waits)
		h.step(testTick, EndpointList{readyEndpoints(1, 2, 3)})
		assert.Zero(t, h.aggregator.polling.consecutiveFailures, "instance %d", index)
	}
	assert.Len(t, firstWaits, instances)
}
