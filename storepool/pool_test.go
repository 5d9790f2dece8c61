package storepool

import (
	"io"
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
