package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// healthCheckSettings returns settings with health checks so cheap that each part allows one of each of its replicas.
func healthCheckSettings() Settings {
	s := fullReplicationSettings()
	s.AllowHealthChecks = true
	s.LoadReportsOnHealthChecksOnly = true
	s.HealthCheckPrice = 0.001
	return s
}

// An aggregator does not see the queue that other aggregators cause at a server. The delay of a health check shows it,
// and parts must avoid that server.
func TestReplicaWithASlowHealthCheckIsAvoided(t *testing.T) {
	for _, slow := range []uint32{1, 2, 3} {
		h := newHarness(t, healthCheckSettings())
		h.step(2_000_000, TimerFired{}) // all load reports are out of date after that
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
		for range 3 { // by utility alone, some of these parts would be sent to the slow server
			_, events := h.newQuery(idempotentClass, 1)
			h.step(0, events...)
			h.step(2*testTick, TimerFired{})
		}
		sent := actionsOf[SendAttempt](h.actions)
		assert.GreaterOrEqual(t, len(sent), 3, "attempts if server %d is slow", slow)
		for _, s := range sent {
			assert.NotEqual(t, slow, s.ServerID, "attempt at the slow server, of %+v", sent)
		}
	}
}

// Health checks that stay unanswered must not delay a part for more than two ticks.
func TestUnansweredHealthChecksDelayPartsByTwoTicks(t *testing.T) {
	h := newHarness(t, healthCheckSettings())
	h.step(2_000_000, TimerFired{})
	_, events := h.newQuery(idempotentClass, 1)
	h.step(0, events...)
	assert.Len(t, h.stepSends(2*testTick, TimerFired{}), 1, "attempts after two ticks")
}
