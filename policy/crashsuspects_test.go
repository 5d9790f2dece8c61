package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestServerThatBreaksSeveralConnectionsCountsOnce(t *testing.T) {
	h := newHarness(t, singleRingSettings(), readyEndpoints(1)...)
	h.answerQueries(idempotentClass, 20, 100_000)
	id, events := h.newQuery(idempotentClass, 2)
	for _, sent := range h.stepSends(testTick, events...) {
		h.step(1000, resultOf(sent, ConnectionBroken))
	}
	assert.Zero(t, h.finalActionCount(id), "the query has attempts left")
}

// sendQueryWithKey starts a query of three parts and returns its ID and the attempts sent at once.
func (h *harness) sendQueryWithKey(key uint64) (uint64, []SendAttempt) {
	id, events := h.newQuery(idempotentClass, 3)
	q := events[0].(Query)
	q.RequestKey = key
	events[0] = q
	return id, h.stepSends(testTick, events...)
}

// A query that breaks two servers' connections is ended at once. The next query with its key sends one part ahead
// of the others.
func TestQueriesThatCrashServersAreContained(t *testing.T) {
	const crashingKey = 7
	h := newHarness(t, singleRingSettings(), readyEndpoints(1, 2, 3, 4, 5, 6)...)
	h.answerQueries(idempotentClass, 40, 100_000)

	id, sent := h.sendQueryWithKey(crashingKey)
	require.Len(t, sent, 3)
	for _, s := range sent[:2] {
		h.step(testTick, resultOf(s, ConnectionBroken))
	}
	require.Equal(t, 1, h.finalActionCount(id), "after two broken connections")

	_, sent = h.sendQueryWithKey(crashingKey)
	require.Len(t, sent, 1, "ahead of the others")
	assert.Len(t, h.stepSends(testTick, resultOf(sent[0], OK)), 2, "after the first answer")

	_, sent = h.sendQueryWithKey(8)
	assert.Len(t, sent, 3, "with another key")

	id, sent = h.sendQueryWithKey(9)
	h.step(testTick, resultOf(sent[2], OK))
	for _, s := range sent[:2] {
		h.step(testTick, resultOf(s, ConnectionBroken))
	}
	assert.Zero(t, h.finalActionCount(id), "resets that spared a part are no evidence")

	h.now += h.aggregator.settings.SlowStartDuration
	_, sent = h.sendQueryWithKey(crashingKey)
	assert.Len(t, sent, 3, "after the slow start duration")
}
