package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Several connections broken by the same server must not end a query: only breaks by distinct servers suggest that the
// query crashes them.
func TestServerThatBreaksSeveralConnectionsCountsOnce(t *testing.T) {
	h := newHarness(t, fullReplicationSettings(), readyEndpoints(1)...)
	h.answerQueries(idempotentClass, 20, 100_000)
	id, events := h.newQuery(idempotentClass, 2)
	for _, sent := range h.stepSends(testTick, events...) {
		h.step(1000, resultOf(sent, ConnectionBroken))
	}
	assert.Zero(t, h.finalActionCount(id), "final actions after one server broke all connections")
}

// sendQueryWithKey starts a query of three parts and returns its ID and the attempts sent at once.
func (h *harness) sendQueryWithKey(key uint64) (uint64, []SendAttempt) {
	id, events := h.newQuery(idempotentClass, 3)
	q := events[0].(Query)
	q.RequestKey = key
	events[0] = q
	return id, h.stepSends(testTick, events...)
}

// A query that crashes servers would crash one after the other if it were retried everywhere. It must be ended once two
// servers have broken its connections, and the next query with its key must send one part ahead of the others.
func TestQueriesThatCrashServersAreContained(t *testing.T) {
	const crashingKey = 7
	h := newHarness(t, fullReplicationSettings(), readyEndpoints(1, 2, 3, 4, 5, 6)...)
	h.answerQueries(idempotentClass, 40, 100_000)

	id, sent := h.sendQueryWithKey(crashingKey)
	require.Len(t, sent, 3)
	for _, s := range sent[:2] {
		h.step(testTick, resultOf(s, ConnectionBroken))
	}
	require.Equal(t, 1, h.finalActionCount(id), "final actions after two servers broke connections")

	_, sent = h.sendQueryWithKey(crashingKey)
	require.Len(t, sent, 1, "parts sent first, with the same key")
	assert.Len(t, h.stepSends(testTick, resultOf(sent[0], OK)), 2, "parts sent after the first answer")

	_, sent = h.sendQueryWithKey(8)
	assert.Len(t, sent, 3, "parts sent first, with another key")

	// Broken connections are no evidence once a part of the query is answered.
	id, sent = h.sendQueryWithKey(9)
	h.step(testTick, resultOf(sent[2], OK))
	for _, s := range sent[:2] {
		h.step(testTick, resultOf(s, ConnectionBroken))
	}
	assert.Zero(t, h.finalActionCount(id), "final actions after an answer and two broken connections")

	h.now += h.aggregator.settings.SlowStartDuration
	_, sent = h.sendQueryWithKey(crashingKey)
	assert.Len(t, sent, 3, "parts sent first, after the slow start duration")
}
