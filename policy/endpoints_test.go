package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// waitForPoll reports events, advances the time until the endpoint list is polled and returns the time that it took.
func (h *harness) waitForPoll(events ...Event) Micros {
	const maxWait = 20_000_000
	start := h.now
	actions := h.step(testTick, events...)
	for len(actionsOf[PollEndpoints](actions)) == 0 && h.now < start+maxWait {
		actions = h.step(testTick, TimerFired{})
	}
	return h.now - start
}

// Instances that poll a failing discovery service at the same time, or too often, keep it overloaded. The interval
// grows with each failed poll up to the maximum, differs between instances and is reset by an endpoint list.
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
		require.Len(t, actionsOf[PollEndpoints](h.actions), 1, "polls at the start")
		var waits []Micros
		for range 5 {
			waits = append(waits, h.waitForPoll(EndpointListFailed{}))
		}
		firstWaits[waits[0]] = true
		assert.GreaterOrEqual(t, waits[0], Micros(h.aggregator.meanLatencyObjective)/2, "first wait of instance %d: %v", index, waits)
		assert.GreaterOrEqual(t, waits[1], waits[0]*3/2, "second wait of instance %d: %v", index, waits)
		assert.LessOrEqual(t, waits[4], s.MaxPollInterval+2*testTick, "last wait of instance %d: %v", index, waits)
		h.step(testTick, EndpointList{readyEndpoints(1, 2, 3)})
		assert.Zero(t, h.aggregator.polling.consecutiveFailures, "failures of instance %d after a list", index)
	}
	assert.Len(t, firstWaits, instances, "different first waits")
}
