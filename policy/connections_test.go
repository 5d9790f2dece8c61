package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// countClosesAfterTimeouts lets all attempts on idle connections time out and ends those on fresh connections with the
// given status. It returns the number of servers whose idle connections are closed after that although they are not
// suspect.
func countClosesAfterTimeouts(t *testing.T, freshStatus Status) int {
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
	if freshStatus == ConnectFailed { // a single failure to connect resets the evidence
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

// Idle connections that became stale without notice cost a timeout for each part, so they are closed before use once
// attempts succeed on fresh connections only. An unreachable server fails on fresh connections too and is no evidence.
func TestIdleConnectionsAreClosedOnceProvenStale(t *testing.T) {
	assert.NotZero(t, countClosesAfterTimeouts(t, OK), "closed idle connections if fresh ones are answered")
	assert.Zero(t, countClosesAfterTimeouts(t, ConnectFailed), "closed idle connections if connecting fails")
}

// Late attempts at busy servers look like attempts on stale connections, since fresh connections are answered there too,
// and with many aggregators all connections are idle for long. Connections that bring answers, late or in time, must not
// be closed, or each part costs a handshake.
func TestLateAnswersClearIdleConnections(t *testing.T) {
	h := newHarness(t, fullReplicationSettings())
	a := h.aggregator
	h.answerQueries(idempotentClass, 30, 100_000)
	closed := 0
	for i := range 60 {
		h.actions = nil
		for _, s := range a.sortedServers { // keep the latencies from before the servers became busy
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
	assert.LessOrEqual(t, closed, 3, "closed idle connections, of 60 that brought answers")
}
