package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// manyInstances is a number of aggregators at which the attempts of a single one say nothing about a server's load.
const manyInstances = 32

// A new aggregator has no latency estimate but the latency objective. It must not reject queries because of that.
func TestNewAggregatorRejectsNothing(t *testing.T) {
	h := newHarness(t, fullReplicationSettings())
	for range 10 {
		_, events := h.newQuery(idempotentClass, 3)
		h.step(testTick, events...)
	}
	assert.Empty(t, actionsOf[Reject](h.actions))
}

// The owner rejects queries beyond MaxOpen. The aggregator must not reject queries because of it as well, which would
// make the limit one query stricter.
func TestMaxOpenIsLeftToTheOwner(t *testing.T) {
	s := fullReplicationSettings()
	s.MaxOpen = 12
	h := newHarness(t, s)
	var all []Event
	for range 4 {
		_, events := h.newQuery(idempotentClass, 3)
		all = append(all, events...)
	}
	assert.Empty(t, actionsOf[Reject](h.step(0, all...)))
}

// A query whose client stops waiting before the usual latency has passed is rejected at once.
func TestQueryWithTooShortADeadlineIsRejected(t *testing.T) {
	const latency = 200_000
	for _, timeout := range []Micros{50_000, 1_500_000} {
		s := fullReplicationSettings()
		s.InstanceCount = manyInstances
		h := newHarness(t, s)
		h.answerQueries(idempotentClass, 30, latency)
		h.actions = nil
		id, events := h.newQuery(idempotentClass, 1)
		q := events[0].(Query)
		q.Deadline = h.now + timeout
		events[0] = q
		sent := len(h.stepSends(0, events...))
		assert.Equal(t, timeout > latency, sent > 0, "part sent, timeout of %d us", timeout)
		assert.Equal(t, 1-sent, h.finalActionCount(id), "final actions, timeout of %d us", timeout)
	}
}

// A query waits for its slowest part, which takes longer than the mean part that predictions are based on. Admission
// must scale the predicted response time by the observed ratio.
func TestAdmissionAccountsForTheResponseTimeRatio(t *testing.T) {
	s := fullReplicationSettings()
	s.InstanceCount = manyInstances
	h := newHarness(t, s)
	h.answerQueries(idempotentClass, 30, 200_000)
	h.aggregator.classes[idempotentClass].responseTimeRatio = 20
	id, events := h.newQuery(idempotentClass, 1)
	h.step(0, events...)
	assert.Equal(t, 1, h.finalActionCount(id), "final actions, queries took 20 times their predicted response time")
}

// A class whose statistics cause rejections must be admitted once in each mean latency objective. Otherwise the
// statistics would never be refreshed and the rejections never end.
func TestRejectedClassIsAdmittedPeriodically(t *testing.T) {
	const (
		objectives          = 3
		queriesPerObjective = 10
	)
	s := fullReplicationSettings()
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

// A query with a part whose shard has no replica can't reach a required coverage of 1. It must be rejected before any
// of its parts is sent.
func TestQueryOfAShardWithoutReplicasIsRejected(t *testing.T) {
	s := fullReplicationSettings()
	s.ReplicationFactor = 1
	h := newHarness(t, s, readyEndpoints(1, 2)...)
	id, events := h.newQuery(idempotentClass, 3)
	actions := h.step(0, events...)
	assert.Empty(t, actionsOf[SendAttempt](actions))
	assert.Equal(t, 1, h.finalActionCount(id))
	assert.Equal(t, []Reject{{QueryID: id, RetryAfter: s.MaxRetryAfter}}, actionsOf[Reject](actions))
}

// Queries that end because of overload must reduce the admissions of their class, and answers in time raise them again.
func TestOverloadedClassIsPaced(t *testing.T) {
	h := newHarness(t, fullReplicationSettings())
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
	a.settings.InstanceCount = 11 // own attempts in flight say nothing about the load
	rejected := rejectedOf100()
	assert.GreaterOrEqual(t, rejected, 10)
	assert.LessOrEqual(t, rejected, 90)
	assert.Zero(t, a.classes[idempotentClass].overloadCount)
}
