package broker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/policy"
)

// A client that disconnects after an attempt was ordered and before it is written must not cause a write, even if the
// event loop has yet to handle the cancellation. The queued attempt must be withdrawn whether or not the settings allow
// stores to be sent cancellations.
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
			assert.False(t, a.Start(), "the attempt was started although its query was canceled")
		}
		require.True(t, b.Submit(q))
		a := <-transport.sent
		select {
		case canceled := <-transport.canceled:
			assert.Same(t, a, canceled)
		case <-time.After(eventTimeout):
			require.Fail(t, "the attempt was not canceled", "AllowCancel: %v", allowCancel)
		}
		transport.onSend = nil
		_, nextReceived := submit(b, time.Second)
		finishOK(<-transport.sent)
		<-nextReceived
		assert.Empty(t, received)
		b.Close()
		assert.Empty(t, b.partsByPolicyID, "the part of the attempt is still in memory")
	}
}

// Cancel must mark all queries as canceled before it posts the first cancellation, which blocks while the event loop is
// busy. Otherwise attempts of the later queries could still be started.
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
		assert.Fail(t, "Cancel returned although the event loop is blocked and its queue is full")
	default:
	}
	close(release)
	<-canceled
}

// An attempt must not be started after its deadline, even if the event loop has yet to run the attempt's timer.
func TestAttemptIsNotStartedAfterDeadline(t *testing.T) {
	b, transport := startBroker(t, newSettings(policy.Idempotent))
	started := make(chan bool, 1)
	transport.onSend = func(a *Attempt) {
		time.Sleep(time.Until(a.Deadline)) // Start reads the system clock
		started <- a.Start()
	}
	submit(b, 100*time.Millisecond)
	assert.False(t, <-started)
}

// A client that disconnects after a hedged request was ordered and before it is written must not cause a write.
func TestCanceledQueryStartsNoHedgedRequest(t *testing.T) {
	settings := newSettings(policy.Idempotent)
	settings.AllowHedging = true
	b, transport := startBroker(t, settings)
	serveQueries(t, b, transport, 20)
	q, received := newQuery(time.Second)
	transport.onSend = func(a *Attempt) {
		if a.index == 1 {
			b.Cancel(q)
			assert.False(t, a.Start(), "the hedged request was started although its query was canceled")
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

// A retry of a part that is idempotent by key and may have run must not be started after stores have stopped recognizing
// duplicates. The aggregator orders retries only before that time, but an attempt may then wait for a connection.
func TestRetryIsNotStartedAfterDeduplicationWindow(t *testing.T) {
	for _, c := range []struct {
		started bool
		status  policy.Status
		limited bool // the retry must not be started after the window
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
		time.Sleep(time.Until(first.sentAt.Add(110 * time.Millisecond))) // Start reads the system clock
		assert.Equal(t, !c.limited, second.Start(), "first attempt: started %v, status %v", c.started, c.status)
	}
}
