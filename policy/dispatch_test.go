package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A retry of a part that may have run would execute it twice. That is permitted for idempotent parts, and for parts
// that are idempotent by key while the server still drops duplicates.
func TestPartsThatMayHaveRunAreRetriedOnlyIfIdempotent(t *testing.T) {
	for _, c := range []struct {
		class   int
		status  Status
		after   Micros
		retried bool
	}{
		{nonIdempotentClass, ServerError, 10_000, false},
		{nonIdempotentClass, TimedOut, 10_000, false},
		{nonIdempotentClass, ConnectionBroken, 10_000, false},
		{nonIdempotentClass, Canceled, 10_000, false},
		{nonIdempotentClass, Rejected, 10_000, true},
		{nonIdempotentClass, ConnectFailed, 10_000, true},
		{keyedClass, ServerError, 10_000, true},
		{keyedClass, ServerError, 1_100_000, false},
		{keyedClass, Rejected, 1_100_000, true},
		{idempotentClass, ServerError, 1_100_000, true},
	} {
		h := newHarness(t, fullReplicationSettings())
		_, events := h.newQuery(c.class, 1)
		sent := h.stepSends(0, events...)
		retries := h.stepSends(c.after, resultOf(sent[0], c.status))
		assert.Equal(t, c.retried, len(retries) > 0, "retried, class %d, status %d", c.class, c.status)
		if c.class == nonIdempotentClass {
			assert.Empty(t, actionsOf[Reject](h.actions), "rejections, class %d, status %d", c.class, c.status)
		}
	}
}

// A draining server would drop the parts sent to it when it stops. Parts must be sent neither to such a server nor to
// one that is not on the endpoint list.
func TestDrainingServersReceiveNoParts(t *testing.T) {
	servers := readyEndpoints(1, 2, 3)
	servers[1].State = Draining
	h := newHarness(t, fullReplicationSettings(), servers[:2]...) // 2 is draining, 3 is not listed
	for range 20 {
		_, events := h.newQuery(idempotentClass, 3)
		h.step(testTick, events...)
	}
	sent := actionsOf[SendAttempt](h.actions)
	require.NotEmpty(t, sent)
	for _, s := range sent {
		require.Equal(t, uint32(1), s.ServerID)
	}

	// sendPart must itself refuse a draining server, whatever its caller has checked.
	h = newHarness(t, fullReplicationSettings(), servers...)
	a := h.aggregator
	_, events := h.newQuery(idempotentClass, 1)
	h.step(0, events...)
	p := a.openQueries[0].parts[0]
	p.state = partQueued
	p.attemptCount = 0
	p.inFlight = nil
	a.serversByID[3].inFlight = nil
	assert.False(t, a.sendPart(p, a.serversByID[2]), "draining")
	assert.True(t, a.sendPart(p, a.serversByID[3]), "ready")
}
