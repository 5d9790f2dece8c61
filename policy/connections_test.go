package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// closesAfterTimeouts lets all attempts on idle connections time out and ends those on fresh ones with the given
// status. It returns how many servers' idle connections are closed after that, none of them being suspect itself.
func closesAfterTimeouts(t *testing.T, freshStatus Status) int {
	t.Helper()
	h := newHarness(t, fullReplicationSettings())
	a := h.aggregator
	h.answerQueries(idempotentClass, 30, 100_000)
	longIdle := 2 * Micros(a.meanLatencyObjective)
	for range 20 {
		h.actions = nil
		h.step(longIdle, TimerFired{})
		_, events := h.newQuery(idempotentClass, 1)
		sent := h.stepSends(0, events...)
		require.Len(t, sent, 1)
		status := TimedOut
		if len(actionsOf[CloseIdleConnections](h.actions)) > 0 {
			status = freshStatus
		}
		h.step(300_000, resultOf(sent[0], status))
		for _, q := range a.openQueries {
			a.closeQuery(q)
		}
	}
	for _, s := range a.sortedServers {
		s.idleConnectionsSuspect = false
	}
	if freshStatus == ConnectFailed { // one failure to connect revokes any evidence against idle connections
		a.connections.freshSuccessRate = 0.9
		a.recordConnectionResult(&attempt{server: a.sortedServers[0], freshConnection: true}, ConnectFailed)
	}
	h.actions = nil
	h.step(longIdle, TimerFired{})
	_, events := h.newQuery(idempotentClass, 3)
	h.step(0, events...)
	require.NotEmpty(t, actionsOf[SendAttempt](h.actions))
	return len(actionsOf[CloseIdleConnections](h.actions))
}

// Timeouts on idle connections that end on fresh ones prove all idle connections stale. A server that can't be
// reached fails on fresh connections too, which proves nothing.
func TestIdleConnectionsAreClosedOnceProvenStale(t *testing.T) {
	assert.NotZero(t, closesAfterTimeouts(t, OK), "fresh connections were answered")
	assert.Zero(t, closesAfterTimeouts(t, ConnectFailed), "fresh connections could not be made")
}

// Attempts that are late at busy servers look like those on stale connections, and fresh connections bring answers
// there too. With many aggregators, all connections are idle for long. If they answer, late or in time, they must
// not be closed, or each part would cost a handshake.
func TestLateAnswersClearIdleConnections(t *testing.T) {
	h := newHarness(t, fullReplicationSettings())
	a := h.aggregator
	h.answerQueries(idempotentClass, 30, 100_000)
	closed := 0
	for i := range 60 {
		h.actions = nil
		for _, s := range a.sortedServers { // latencies stay those before the servers became busy
			s.latencyRatio = 1
		}
		a.classes[idempotentClass].referenceLatency = 100_000
		h.step(Micros(a.meanLatencyObjective), TimerFired{})
		_, events := h.newQuery(idempotentClass, 1)
		for _, sent := range h.stepSends(0, events...) {
			latency := Micros(100_000)
			if i%2 == 0 {
				latency = 700_000
			}
			for range latency / 50_000 {
				h.step(50_000, TimerFired{})
			}
			h.step(0, resultOf(sent, OK))
		}
		closed += len(actionsOf[CloseIdleConnections](h.actions))
	}
	assert.LessOrEqual(t, closed, 3, "idle connections closed, of 60 that were answered on")
}
