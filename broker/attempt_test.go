package broker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/policy"
)

// A client leaves between the decision to send and the write, before the event loop handles the cancellation: nothing is
// written. A queued attempt is withdrawn at once, whether or not the settings allow attempts to be canceled at stores.
func TestCanceledQueryStartsNoAttempt(t *testing.T) {
	for _, allowCancel := range []bool{true, false} {
		settings := newSettings(policy.Idempotent)
		settings.AllowCancel = allowCancel
		settings.Classes[0].LatencyObjective = time.Hour.Microseconds()
		settings.Classes[0].Timeout = time.Hour.Microseconds()
		b, transport := startBroker(t, settings)
		q, received := newQuery(time.Hour)
		transport.onSend = func(a *Attempt) {
			b.Cancel(q)
			assert.False(t, a.Start(), "started before the event loop has handled the cancellation")
		}
		require.True(t, b.Submit(q))
		a := <-transport.sent
		select {
		case canceled := <-transport.canceled:
			assert.Same(t, a, canceled)
		case <-time.After(eventTimeout):
			require.Fail(t, "the attempt was not canceled", "cancellation allowed: %v", allowCancel)
		}
		transport.onSend = nil
		_, nextReceived := submit(b, time.Second)
		finishOK(<-transport.sent)
		<-nextReceived
		assert.Empty(t, received)
		b.Close()
		assert.Empty(t, b.partsByPolicyID, "the attempt's part was not released")
	}
}

// Cancel marks all queries before it posts the first cancellation, which may wait for a busy event loop.
func TestCancelMarksAllQueriesBeforePosting(t *testing.T) {
	transport := newFakeTransport()
	blocked := make(chan *Attempt)
	release := make(chan struct{})
	calls := 0
	transport.onSend = func(a *Attempt) {
		if calls++; calls == 2 {
			blocked <- a
			<-release
		}
	}
	b := startBrokerWith(t, Config{
		Settings: newSettings(policy.Idempotent), Transport: transport, Log: discardLog(), QueueLength: 1,
	})
	firstQuery, _ := submit(b, time.Second)
	first := <-transport.sent
	secondQuery, _ := submit(b, time.Second)
	second := <-blocked
	submit(b, time.Second) // fills the message queue
	canceled := make(chan struct{})
	go func() {
		b.Cancel(firstQuery, secondQuery)
		close(canceled)
	}()
	assert.Eventually(t, secondQuery.canceled.Load, eventTimeout, time.Millisecond)
	assert.False(t, first.Start())
	assert.False(t, second.Start())
	select {
	case <-canceled:
		assert.Fail(t, "the event loop was not blocked")
	default:
	}
	close(release)
	<-canceled
}

// An attempt is not started after its deadline even if the event loop has yet to run its timer.
func TestAttemptIsNotStartedAfterDeadline(t *testing.T) {
	b, transport := startBroker(t, newSettings(policy.Idempotent))
	started := make(chan bool, 1)
	transport.onSend = func(a *Attempt) {
		time.Sleep(time.Until(a.Deadline)) // the deadline is a matter of real time
		started <- a.Start()
	}
	submit(b, 100*time.Millisecond)
	assert.False(t, <-started)
}

// The client leaves between the decision to send a hedged request and the write.
func TestCanceledQueryStartsNoHedgedRequest(t *testing.T) {
	settings := newSettings(policy.Idempotent)
	settings.AllowHedging = true
	b, transport := startBroker(t, settings)
	serveQueries(t, b, transport, 20)
	q, received := newQuery(time.Second)
	transport.onSend = func(a *Attempt) {
		if a.index == 1 {
			b.Cancel(q)
			assert.False(t, a.Start(), "started before the event loop has handled the cancellation")
		}
	}
	require.True(t, b.Submit(q))
	require.True(t, (<-transport.sent).Start())
	hedge := <-transport.sent
	assert.Equal(t, 1, hedge.index)
	assert.False(t, hedge.Start())
	for range 2 { // both attempts are canceled
		<-transport.canceled
	}
	assert.Empty(t, received)
}

// A part that is idempotent by key and may have run is retried only while stores recognize duplicates. It isn't enough that
// the decisions observe that time, since the attempt may wait for its connection.
func TestRetryIsNotStartedAfterDeduplicationWindow(t *testing.T) {
	for _, c := range []struct {
		started bool
		status  policy.Status
		limited bool // the retry may not be started after the window
	}{
		{started: true, status: policy.ConnectionBroken, limited: true},
		{started: true, status: policy.ServerError, limited: true},
		{started: true, status: policy.Rejected, limited: false},
		{started: false, status: policy.ConnectFailed, limited: false},
	} {
		settings := newSettings(policy.IdempotentByKey)
		settings.Classes[0].DeduplicationWindow = 100_000
		b, transport := startBroker(t, settings)
		submit(b, 5*time.Second)
		first := <-transport.sent
		if c.started {
			require.True(t, first.Start())
		}
		first.Finish(AttemptResult{Status: c.status, Report: policy.NoLoadReport})
		second := <-transport.sent
		time.Sleep(time.Until(first.sentAt.Add(110 * time.Millisecond))) // the window is a matter of real time
		assert.Equal(t, !c.limited, second.Start(), c.status)
	}
}
