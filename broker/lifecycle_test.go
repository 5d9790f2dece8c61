package broker

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/policy"
)

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
	// The answer to another query shows that the messages before it were handled.
	_, nextReceived := submit(b, time.Second)
	finishOK(<-transport.sent)
	<-nextReceived
	assert.Empty(t, received)
}

// A timer that stays until a distant deadline would keep its query and the answers in memory.
func TestEndedQueriesAreReleased(t *testing.T) {
	b, transport := startBroker(t, newSettings(policy.Idempotent))
	serveQueries(t, b, transport, 50)
	b.Close()
	assert.Less(t, len(b.timers), 10) // those of the decisions
	assert.Empty(t, b.queriesByPolicyID)
	assert.Empty(t, b.partsByPolicyID)
}

// An attempt that was not started has never run, so a query that is idempotent by key may be rejected. Once an attempt was
// started, the query may only fail.
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
		assert.False(t, a.Start(), "a canceled attempt can still be started")
		response := <-received
		assert.Equal(t, want, response.Status)
		assert.True(t, response.DeadlineExceeded)
	}
}

func TestResponseBeforeClientDeadline(t *testing.T) {
	b, _ := startBroker(t, newSettings(policy.Idempotent))
	q, received := submit(b, 100*time.Millisecond)
	assert.Equal(t, Rejected, (<-received).Status)
	assert.True(t, time.Now().Before(q.Deadline.Add(20*time.Millisecond)))
	_, received = submit(b, -time.Millisecond)
	assert.True(t, (<-received).DeadlineExceeded)
}

func TestCancelCancelsAttempts(t *testing.T) {
	b, transport := startBroker(t, newSettings(policy.Idempotent))
	q, received := submit(b, time.Second)
	a := <-transport.sent
	b.Cancel(q)
	assert.Same(t, a, <-transport.canceled)
	assert.Empty(t, received)
}

func TestSendErrorRejectsAfterRetries(t *testing.T) {
	b, transport := startBroker(t, newSettings(policy.IdempotentByKey))
	transport.sendError = errors.New("cannot send")
	_, received := submit(b, time.Second)
	response := <-received
	assert.Equal(t, Rejected, response.Status)
	assert.True(t, response.PartsFailed)
	assert.Equal(t, time.Second, response.RetryAfter)
}

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
