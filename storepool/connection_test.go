package storepool

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/broker"
)

// A call that still waits for its connection when the store drains must not be written. It must end as one that has not
// run, so that it is retried at another store immediately, also in a class that is idempotent by key.
func TestFenceWithdrawsQueuedCall(t *testing.T) {
	attempts, _ := submitQuery(t)
	a := <-attempts
	c := unconnected(32)
	require.True(t, c.tryEnqueue(callOf(a), requireCapacity))
	c.fence()
	assert.False(t, a.Start(), "the queued call can still be written")
	assert.False(t, c.tryEnqueue(writeRequest{cancelID: "x"}, requireCapacity), "the connection accepts a new request")
	assert.NotSame(t, a, <-attempts, "the part was not retried")
}

// A connection must reject attempts beyond its limit and a second attempt with the same ID, whose answer could not be
// told from that to the first one. A cancellation must not affect another attempt with the same ID.
func TestConnectionLimitsAttemptsAndIDs(t *testing.T) {
	attempts, _ := submitQuery(t)
	a := <-attempts
	c := unconnected(1)
	require.True(t, c.tryEnqueue(callOf(a), requireCapacity))
	assert.False(t, c.tryEnqueue(callOf(a), requireCapacity), "accepted more attempts than MaxInFlight")
	c.pool.SetLimits(limitsWith(9))
	assert.False(t, c.tryEnqueue(callOf(a), requireCapacity), "accepted two attempts with the same ID")
	assert.False(t, c.cancel(&broker.Attempt{Query: a.Query}), "canceled another attempt with the same ID")
}

// When a connection is closed, its attempts that were not written must end as ones that have not run, and those that were
// written as ones that may have run. Otherwise a written attempt could run twice.
func TestCloseStatusDependsOnWrite(t *testing.T) {
	for written, want := range map[bool]broker.Status{false: broker.Rejected, true: broker.Failed} {
		attempts, received := submitQuery(t)
		for answered := false; !answered; {
			select {
			case a := <-attempts:
				c := unconnected(32)
				require.True(t, c.tryEnqueue(callOf(a), requireCapacity))
				if written {
					require.True(t, a.Start())
					c.inFlight[WirePartID(a)].written = true
				}
				c.close(errClosed)
			case response := <-received:
				assert.Equal(t, want, response.Status)
				answered = true
			}
		}
	}
}

// If a store answers with an unknown ID, some attempt gets no answer. If bytes follow the only outstanding answer, they
// belong to no request and could be taken for the answer to the next one. In both cases the connection must not be used
// any longer.
func TestUnexpectedAnswersEndConnection(t *testing.T) {
	attempts, _ := submitQuery(t)
	a := <-attempts
	c := unconnected(32)
	require.True(t, c.tryEnqueue(callOf(a), requireCapacity))
	c.dequeue() // in place of the writer
	for _, id := range []string{"", WirePartID(a)} {
		require.ErrorIs(t, c.handleMessage(Message{Kind: Answer, ID: id}, false), ErrMalformed, "an answer before the call")
	}
	c.inFlight[WirePartID(a)].begun = true
	require.ErrorIs(t, c.handleMessage(Message{Kind: Answer, ID: "other"}, false), ErrMalformed)
	c.canceledIDs["late"] = true
	require.NoError(t, c.handleMessage(Message{Kind: Answer, ID: "late"}, true), "the late answer is an error")
	require.NoError(t, c.closeCause, "the connection was closed by the late answer")
	require.NoError(t, c.handleMessage(Message{Kind: Answer, ID: WirePartID(a)}, true))
	assert.Error(t, c.closeCause, "the connection is still open")
}

// Guards against bytes that arrive while no answer is outstanding and are taken for the answer to the next request. A call or
// health check must not be written behind them.
func TestNothingIsWrittenBehindUnexpectedBytes(t *testing.T) {
	for name, request := range map[string]func(*broker.Attempt) writeRequest{
		"call":         callOf,
		"health check": func(*broker.Attempt) writeRequest { return writeRequest{healthCheck: &healthCheck{}} },
	} {
		t.Run(name, func(t *testing.T) {
			attempts, _ := submitQuery(t)
			c := unconnected(32)
			next := request(<-attempts)
			require.True(t, c.tryEnqueue(next, requireCapacity))
			require.True(t, c.begin(next), "nothing has arrived")
			clear(c.inFlight)
			c.inFlightCount = 0
			c.receiving = true
			assert.False(t, c.begin(next), "the request can be written")
			assert.False(t, c.tryEnqueue(next, requireCapacity), "the connection accepts a request")
		})
	}
}
