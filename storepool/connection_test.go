package storepool

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/broker"
)

// A call that still waits for its connection when the store drains must not be written. It has not run, so another store may
// run it at once, in a class that is idempotent by key too.
func TestFenceWithdrawsQueuedCall(t *testing.T) {
	attempts, _ := submitQuery(t)
	a := <-attempts
	c := unconnected(32)
	require.True(t, c.tryEnqueue(callOf(a), requireCapacity))
	c.fence()
	assert.False(t, a.Start(), "the call can still be written")
	assert.False(t, c.tryEnqueue(writeRequest{cancelID: "x"}, requireCapacity), "new requests are accepted")
	assert.NotSame(t, a, <-attempts)
}

func TestConnectionLimitsAttemptsAndIDs(t *testing.T) {
	attempts, _ := submitQuery(t)
	a := <-attempts
	c := unconnected(1)
	require.True(t, c.tryEnqueue(callOf(a), requireCapacity))
	assert.False(t, c.tryEnqueue(callOf(a), requireCapacity), "more attempts than the limit")
	c.pool.SetLimits(limitsWith(9))
	assert.False(t, c.tryEnqueue(callOf(a), requireCapacity), "two attempts with the same id")
	assert.False(t, c.cancel(&broker.Attempt{Query: a.Query}), "canceled another attempt with the same id")
}

// An attempt that was in flight when its connection closed has never run if it was not written, and may have run if it was.
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

// An answer with an unknown id stands for one that will not come, and bytes that follow an answer while nothing else is in
// flight answer nothing that was sent. Neither connection may be used any longer.
func TestUnexpectedAnswersEndConnection(t *testing.T) {
	attempts, _ := submitQuery(t)
	a := <-attempts
	c := unconnected(32)
	require.True(t, c.tryEnqueue(callOf(a), requireCapacity))
	c.dequeue() // as the writer would
	require.ErrorIs(t, c.handleMessage(Message{Kind: Answer, ID: "other"}, false), ErrMalformed)
	c.canceledIDs["late"] = true
	require.NoError(t, c.handleMessage(Message{Kind: Answer, ID: "late"}, true), "a late answer is no error")
	require.NoError(t, c.closeCause)
	require.NoError(t, c.handleMessage(Message{Kind: Answer, ID: WirePartID(a)}, true))
	assert.Error(t, c.closeCause, "the connection is still open")
}
