package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A server that answers nothing must be avoided before the first timeout, which comes late.
func TestUnresponsiveServerIsAnOutlierBeforeTheTimeout(t *testing.T) {
	h := newHarness(t, fullReplicationSettings())
	h.answerQueries(idempotentClass, 30, 200_000)
	_, events := h.newQuery(idempotentClass, 3)
	h.step(testTick, events...)
	h.step(900_000, TimerFired{})
	server := h.aggregator.serversByID[1]
	assert.True(t, h.aggregator.isOutlier(server), "slowness %v", h.aggregator.slowness(server))
}

// If all servers slow down together, treating them as outliers would leave no server to send parts to.
func TestUniformSlowdownMakesNoOutliers(t *testing.T) {
	h := newHarness(t, fullReplicationSettings())
	h.answerQueries(idempotentClass, 60, 100_000)
	h.answerQueries(idempotentClass, 60, 250_000)
	for _, s := range h.aggregator.sortedServers {
		assert.False(t, h.aggregator.isOutlier(s), "server %d is an outlier", s.ID)
	}
}

// countTrials returns the number of parts that are sent to server 1, which answers none, within 20 mean latency
// objectives. Its health checks end with the given status.
func countTrials(t *testing.T, s Settings, healthCheckStatus Status) int {
	t.Helper()
	const unresponsive = 1
	h := newHarness(t, s)
	h.answerQueries(idempotentClass, 40, 100_000)
	trials := 0
	for end := h.now + 20*Micros(h.aggregator.meanLatencyObjective); h.now < end; {
		_, events := h.newQuery(idempotentClass, 1)
		queue := h.stepSends(100_000, events...)
		healthChecks := actionsOf[HealthCheck](h.actions)
		h.actions = nil
		for _, check := range healthChecks {
			result := HealthCheckResult{ServerID: check.ServerID, Status: OK, Report: NoLoadReport}
			if check.ServerID == unresponsive {
				result.Status = healthCheckStatus
			}
			h.step(0, result)
		}
		for ; len(queue) > 0; queue = queue[1:] { // retries join the queue
			sent := queue[0]
			attempt := h.aggregator.partsByID[sent.PartID].attemptCount - 1
			latency, status := Micros(100_000), OK
			if sent.ServerID == unresponsive {
				trials++
				latency, status = 400_000, TimedOut
			}
			queue = append(queue, h.stepSends(latency, resultOfAttempt(sent, attempt, status))...)
		}
	}
	return trials
}

// Each trial of an unresponsive server costs a timeout. Trials must be rare, and rarer while its health checks fail, but
// without any the aggregator would not detect the recovery.
func TestUnresponsiveServerIsTriedRarely(t *testing.T) {
	withoutChecks := countTrials(t, fullReplicationSettings(), OK)
	withFailedChecks := countTrials(t, healthCheckSettings(), TimedOut)
	assert.GreaterOrEqual(t, withoutChecks, 2, "trials without health checks")
	assert.LessOrEqual(t, withoutChecks, 10, "trials without health checks")
	assert.Less(t, withFailedChecks, withoutChecks, "trials with failed health checks, compared with those without checks")
}
