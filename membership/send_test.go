package membership

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a ping that makes a member drop the synchronization responses that wait for its send budget.
func TestDeferredMessagesDropOneAtATime(t *testing.T) {
	t.Parallel()
	const responses, pings = 2 * maxDeferredSends, 10
	g, err := New(testConfig(0), second)
	require.NoError(t, err)
	for range responses {
		g.deferredSends = append(g.deferredSends, SendMessage{address(1), Message{Kind: KindSyncResponse}})
	}
	waiting := func() int { return len(g.deferredSends) }
	g.sendTokens = 0
	for number := range uint32(pings) {
		g.send(address(2), Message{Kind: KindPing, ProbeNumber: number}, nil)
	}
	require.Equal(t, responses, waiting(), "waiting messages")
	for _, deferred := range g.deferredSends[:responses-1] {
		assert.Equal(t, KindSyncResponse, deferred.Message.Kind)
	}
	last := g.deferredSends[responses-1].Message
	assert.Equal(t, KindPing, last.Kind)
	assert.Equal(t, uint32(pings-1), last.ProbeNumber, "the newest ping waits")
}

// The messages that wait for the send budget must not grow without limit.
func TestDeferredMessagesAreLimited(t *testing.T) {
	t.Parallel()
	g, err := New(testConfig(0), second)
	require.NoError(t, err)
	g.sendTokens = 0
	for range 2 * maxDeferredSends {
		g.send(address(2), Message{Kind: KindAck}, nil)
	}
	waiting := len(g.deferredSends)
	assert.Equal(t, maxDeferredSends, waiting)
}
