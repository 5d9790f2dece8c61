package broker

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/policy"
)

// A transport that reports several results of an attempt must not cause several responses.
func TestRepeatedFinishGivesOneResponse(t *testing.T) {
	b, transport := startBroker(t, newSettings(policy.Idempotent))
	_, received := submit(b, time.Second)
	a := <-transport.sent
	require.True(t, a.Start())
	for range 3 {
		finishOK(a)
	}
	want := Response{Status: Served, Complete: true, Parts: []PartResult{{Shard: 0, Body: []byte("v")}}}
	assert.Equal(t, want, <-received)
	// The answer to another query shows that the event loop has handled the earlier messages.
	_, nextReceived := submit(b, time.Second)
	finishOK(<-transport.sent)
	<-nextReceived
	assert.Empty(t, received)
}

// Ended queries must be removed from memory. A deadline timer that is not removed would keep its query until it fires.
func TestEndedQueriesAreReleased(t *testing.T) {
	b, transport := startBroker(t, newSettings(policy.Idempotent))
	serveQueries(t, b, transport, 50)
	b.Close()
	assert.Less(t, len(b.timers), 10, "more timers are left than the aggregator sets")
	assert.Empty(t, b.queriesByPolicyID, "queries in memory")
	assert.Empty(t, b.partsByPolicyID, "parts in memory")
}

// At its deadline, a query that is idempotent by key must be rejected, and thereby may be retried, if none of its
// attempts was started. If one was started, it may have run, so the query must fail.
func TestTimeoutStatusDependsOnStart(t *testing.T) {
	for started, want := range map[bool]Status{true: Failed, false: Rejected} {
		b, transport := startBroker(t, newSettings(policy.IdempotentByKey))
		_, received := submit(b, 150*time.Millisecond)
		a := <-transport.sent
		if started {
			require.True(t, a.Start())
		}
		assert.Same(t, a, <-transport.canceled)
		assert.Equal(t, !started, a.Withdraw())
		assert.False(t, a.Start(), "the canceled attempt can still be started")
		response := <-received
		assert.Equal(t, want, response.Status)
		assert.True(t, response.DeadlineExceeded)
	}
}

// A query without an answer from a store must be ended by its deadline, and one that arrives after its deadline
// immediately.
func TestResponseBeforeClientDeadline(t *testing.T) {
	b, _ := startBroker(t, newSettings(policy.Idempotent))
	q, received := submit(b, 100*time.Millisecond)
	assert.Equal(t, Rejected, (<-received).Status)
	assert.True(t, time.Now().Before(q.Deadline.Add(20*time.Millisecond)), "the response came after the deadline")
	_, received = submit(b, -time.Millisecond)
	assert.True(t, (<-received).DeadlineExceeded)
}

// The cancellation of a query must cancel its attempt and cause no response.
func TestCancelCancelsAttempts(t *testing.T) {
	b, transport := startBroker(t, newSettings(policy.Idempotent))
	q, received := submit(b, time.Second)
	a := <-transport.sent
	b.Cancel(q)
	assert.Same(t, a, <-transport.canceled)
	assert.Empty(t, received)
}

// If no attempt can be sent, a query must be rejected and not failed, as no store can have run it.
func TestSendErrorRejectsAfterRetries(t *testing.T) {
	b, transport := startBroker(t, newSettings(policy.IdempotentByKey))
	transport.sendError = errors.New("cannot send")
	_, received := submit(b, time.Second)
	response := <-received
	assert.Equal(t, Rejected, response.Status)
	assert.True(t, response.PartsFailed)
	assert.Equal(t, time.Second, response.RetryAfter)
}

// A query of one part counts twice, as a query and as a part. The limit must apply only while other queries are open.
func TestMaxOpenRejectsUntilQueriesEnd(t *testing.T) {
	settings := newSettings(policy.Idempotent)
	settings.MaxOpen = 2
	b, transport := startBroker(t, settings)
	_, first := submit(b, time.Second)
	a := <-transport.sent
	_, second := submit(b, time.Second)
	assert.Equal(t, Response{Status: Rejected, RetryAfter: time.Second}, <-second)
	finishOK(a)
	<-first
	_, third := submit(b, time.Second)
	finishOK(<-transport.sent)
	assert.Equal(t, Served, (<-third).Status)
}

// A drain must end open queries by its deadline, close its channel, and then reject new queries.
func TestDrainEndsOpenQueriesByDeadline(t *testing.T) {
	b, transport := startBroker(t, newSettings(policy.IdempotentByKey))
	_, received := submit(b, 10*time.Second)
	require.True(t, (<-transport.sent).Start())
	drained := b.Drain(time.Now().Add(50 * time.Millisecond))
	assert.Equal(t, Failed, (<-received).Status)
	<-drained
	_, received = submit(b, time.Second)
	assert.Equal(t, Rejected, (<-received).Status)
}
