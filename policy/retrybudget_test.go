package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Retries of parts that fail everywhere must not multiply the load on the servers.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	h := newHarness(t, fullReplicationSettings())
	accepted := 0
	for range 40 {
		_, events := h.newQuery(idempotentClass, 1)
		accepted += len(events)
		sent := h.stepSends(testTick, events...)
		for range 3 {
			var results []Event
			for _, s := range sent {
				attempt := h.aggregator.partsByID[s.PartID].attemptCount - 1
				results = append(results, resultOfAttempt(s, attempt, ServerError))
			}
			sent = h.stepSends(testTick, results...)
		}
	}
	attempts := map[uint64]int{}
	retries := 0
	for _, s := range actionsOf[SendAttempt](h.actions) {
		retries += boolToInt(attempts[s.PartID] > 0)
		attempts[s.PartID]++
	}
	settings := h.aggregator.settings
	limit := int(settings.RetryBudgetMinimum + settings.RetryBudgetRatio*float64(accepted))
	assert.Positive(t, retries, "retries")
	assert.LessOrEqual(t, retries, limit, "retries, compared with the budget for %d queries and parts", accepted)
}

// Without a retry budget nothing trims the histories of the budget. If they were kept, they would grow without limit.
func TestNoHistoryIsKeptWithoutARetryBudget(t *testing.T) {
	settings := fullReplicationSettings()
	settings.RetryBudgetWindow = 0
	h := newHarness(t, settings)
	h.answerQueries(idempotentClass, 50, 1000)
	assert.Empty(t, h.aggregator.retryBudget.accepted, "accepted queries and parts")
	assert.Empty(t, h.aggregator.retryBudget.retries, "retries")
}
