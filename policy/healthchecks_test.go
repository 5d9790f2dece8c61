package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// healthCheckSettings are settings under which each part may pay for health checks of all its replicas.
func healthCheckSettings() Settings {
	s := fullReplicationSettings()
	s.AllowHealthChecks = true
	s.LoadReportsOnHealthChecksOnly = true
	s.HealthCheckPrice = 0.001
	return s
}

// The delay of a health check shows the queue that other aggregators' parts have caused.
func TestReplicaWithASlowHealthCheckIsAvoided(t *testing.T) {
	for _, slow := range []uint32{1, 2, 3} {
		h := newHarness(t, healthCheckSettings())
		h.step(2_000_000, TimerFired{}) // all load reports are out of date now
		_, events := h.newQuery(idempotentClass, 1)
		actions := h.step(0, events...)
		require.Len(t, actionsOf[HealthCheck](actions), 3)
		require.Empty(t, actionsOf[SendAttempt](actions))
		var results []Event
		for _, id := range []uint32{1, 2, 3} {
			if id != slow {
				results = append(results, HealthCheckResult{ServerID: id, Status: OK, Report: NoLoadReport})
			}
		}
		h.step(testTick, results...)
		h.step(testTick, TimerFired{})
		for range 3 { // by utility alone some of these parts would go to the slow server
			_, events := h.newQuery(idempotentClass, 1)
			h.step(0, events...)
			h.step(2*testTick, TimerFired{})
		}
		sent := actionsOf[SendAttempt](h.actions)
		assert.GreaterOrEqual(t, len(sent), 3, "slow server %d", slow)
		for _, s := range sent {
			assert.NotEqual(t, slow, s.ServerID, "sent %+v", sent)
		}
	}
}

func TestUnansweredHealthChecksDelayPartsByTwoTicks(t *testing.T) {
	h := newHarness(t, healthCheckSettings())
	h.step(2_000_000, TimerFired{})
	_, events := h.newQuery(idempotentClass, 1)
	h.step(0, events...)
	assert.Len(t, h.stepSends(2*testTick, TimerFired{}), 1)
}
