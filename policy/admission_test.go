package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// manyInstances is a number of aggregators at which own capacity says nothing about the load of a server.
const manyInstances = 32

// A new aggregator knows no latency but the latency objective, which must not make it reject queries.
func TestNewAggregatorRejectsNothing(t *testing.T) {
	h := newHarness(t, singleRingSettings())
	for range 10 {
		_, events := h.newQuery(idempotentClass, 3)
		h.step(testTick, events...)
	}
	assert.Empty(t, actionsOf[Reject](h.actions))
}

// The owner rejects queries at MaxOpen. If the aggregator did so too, the limit would be one query stricter.
func TestMaxOpenIsLeftToTheOwner(t *testing.T) {
	s := singleRingSettings()
	s.MaxOpen = 12
	h := newHarness(t, s)
	var all []Event
	for range 4 {
		_, events := h.newQuery(idempotentClass, 3)
		all = append(all, events...)
	}
	assert.Empty(t, actionsOf[Reject](h.step(0, all...)))
}

// A query whose client leaves before the usual latency is rejected at once.
func TestQueryWithTooShortADeadlineIsRejected(t *testing.T) {
	const latency = 200_000
	for _, timeout := range []Micros{50_000, 1_500_000} {
		s := singleRingSettings()
		s.InstanceCount = manyInstances
		h := newHarness(t, s)
		h.answerQueries(idempotentClass, 30, latency)
		h.actions = nil
		id, events := h.newQuery(idempotentClass, 1)
		q := events[0].(Query)
		q.Deadline = h.now + timeout
		events[0] = q
		sent := len(h.stepSends(0, events...))
		assert.Equal(t, timeout > latency, sent > 0, "timeout of %d us", timeout)
		assert.Equal(t, 1-sent, h.finalActionCount(id), "timeout of %d us", timeout)
	}
}

// The slowest of a query's parts takes longer than the mean part, which the wait ratio accounts for.
func TestAdmissionAccountsForTheResponseTimeRatio(t *testing.T) {
	s := singleRingSettings()
	s.InstanceCount = manyInstances
	h := newHarness(t, s)
	h.answerQueries(idempotentClass, 30, 200_000)
	h.aggregator.classes[idempotentClass].responseTimeRatio = 20
	id, events := h.newQuery(idempotentClass, 1)
	h.step(0, events...)
	assert.Equal(t, 1, h.finalActionCount(id), "queries took 20 times their predicted wait")
}

// A class that is rejected because of its statistics is admitted once in a mean latency objective, so that they are
// renewed.
func TestRejectedClassIsAdmittedPeriodically(t *testing.T) {
	const (
		objectives          = 3
		queriesPerObjective = 10
	)
	s := singleRingSettings()
	s.InstanceCount = manyInstances
	h := newHarness(t, s)
	h.answerQueries(idempotentClass, 30, 200_000)
	h.aggregator.classes[idempotentClass].responseTimeRatio = 20
	h.actions = nil
	for range objectives * queriesPerObjective {
		_, events := h.newQuery(idempotentClass, 1)
		h.step(Micros(h.aggregator.meanLatencyObjective)/queriesPerObjective, events...)
	}
	admitted := len(actionsOf[SendAttempt](h.actions))
	assert.GreaterOrEqual(t, admitted, 2)
	assert.LessOrEqual(t, admitted, 4)
}

func TestQueryOfAShardWithoutReplicasIsRejected(t *testing.T) {
	s := singleRingSettings()
	s.ReplicationFactor = 1
	h := newHarness(t, s, readyEndpoints(1, 2)...)
	id, events := h.newQuery(idempotentClass, 3)
	actions := h.step(0, events...)
	assert.Empty(t, actionsOf[SendAttempt](actions))
	assert.Equal(t, 1, h.finalActionCount(id))
	assert.Equal(t, []Reject{{QueryID: id, RetryAfter: s.MaxRetryAfter}}, actionsOf[Reject](actions))
}

// Queries that end because of overload reduce the admissions of their class, and answers in time raise them again.
func TestOverloadedClassIsPaced(t *testing.T) {
	h := newHarness(t, singleRingSettings())
	a := h.aggregator
	h.answerQueries(idempotentClass, 40, 100_000)
	rejectedOf100 := func() int {
		rejected := 0
		for range 100 {
			_, events := h.newQuery(idempotentClass, 1)
			actions := h.step(200_000, events...)
			rejected += len(actionsOf[Reject](actions))
			for _, sent := range actionsOf[SendAttempt](actions) {
				h.step(1000, resultOf(sent, OK))
			}
		}
		return rejected
	}
	require.Zero(t, rejectedOf100(), "before any overload")
	overloaded := &query{class: a.classes[idempotentClass], hadRejectedAttempt: true}
	a.queriesByID[overloaded.ID] = overloaded
	a.rejectOrFail(overloaded)
	a.rejectOrFail(overloaded)
	a.settings.InstanceCount = 11 // own capacity says nothing about the load
	rejected := rejectedOf100()
	assert.GreaterOrEqual(t, rejected, 10)
	assert.LessOrEqual(t, rejected, 90)
	assert.Zero(t, a.classes[idempotentClass].overloadCount)
}
