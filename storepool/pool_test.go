package storepool

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/broker"
	"alderproxy/internal/ratelog"
	"alderproxy/internal/testserver"
)

// A store that closes every connection must not flood the log: one line is written per ratelog.Interval.
func TestClosedConnectionsAreLoggedAtLimitedRate(t *testing.T) {
	log, hook := test.NewNullLogger()
	p := New(limitsWith(1), nil, log.WithField("test", true))
	store := listedStore("")
	p.UpdateEndpoints([]Store{store})
	startedAt := time.Now()
	for range 200 {
		newConnection(p, store).close(io.ErrUnexpectedEOF)
	}
	maxLines := 1 + int(time.Since(startedAt)/ratelog.Interval)
	assert.LessOrEqual(t, len(hook.AllEntries()), maxLines, "more than one line per interval")
	assert.NotEmpty(t, hook.AllEntries(), "closed connections are not logged")
}

// A connection that is closed during its dial holds a descriptor until the dial returns, so it must count as open until
// then.
func TestConnectionCountsUntilDialReturns(t *testing.T) {
	server := testserver.NewFrameStore(t)
	p := New(limitsWith(32), nil, testserver.DiscardLog())
	paused := newPausedDial()
	p.SetDialer(paused.dial)
	p.UpdateEndpoints([]Store{listedStore(server.Addr)})
	attempts, _ := submitQuery(t)
	require.NoError(t, p.Send(1, []*broker.Attempt{<-attempts}))
	<-paused.started
	p.Close()
	assert.Equal(t, 1, openConnections(p), "the dial has not returned")
	close(paused.release)
	assert.Eventually(t, func() bool { return openConnections(p) == 0 }, eventTimeout, time.Millisecond)
}

// Guards against a pool that closes more idle connections than it needs: one that was evicted counts as open until its goroutine
// has ended, and must not be counted against the allowance again meanwhile.
func TestEvictedConnectionMakesRoomAtOnce(t *testing.T) {
	const idleConnections, newConnections = 4, 2
	p := New(limitsWith(1), nil, testserver.DiscardLog())
	p.ConnectionAllowance = func() int { return idleConnections }
	var list []Store
	for id := range uint32(idleConnections + newConnections) {
		store := listedStore("")
		store.ID = id
		list = append(list, store)
	}
	p.UpdateEndpoints(list)
	var idle []*connection
	for _, store := range list[:idleConnections] { // established, but without the goroutine that ends with the connection
		c := newConnection(p, store)
		c.netConn, _ = net.Pipe()
		p.stores[store.ID].connections = []*connection{c}
		p.openConnections++
		idle = append(idle, c)
	}
	paused := newPausedDial()
	paused.started = make(chan struct{}, newConnections)
	p.SetDialer(paused.dial)
	t.Cleanup(func() { close(paused.release) })
	for _, store := range list[idleConnections:] {
		require.NoError(t, p.enqueue(store.ID, writeRequest{healthCheck: &healthCheck{done: func(broker.AttemptResult) {}}}))
	}
	evicted := 0
	for _, c := range idle {
		c.mu.Lock()
		if c.retired {
			evicted++
		}
		c.mu.Unlock()
	}
	assert.Equal(t, newConnections, evicted)
}
