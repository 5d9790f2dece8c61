package storepool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/broker"
	"alderproxy/internal/testserver"
	"alderproxy/policy"
)

// changed returns a list of one store, to which it has applied the change.
func changed(s Store, change func(*Store)) []Store {
	change(&s)
	return []Store{s}
}

// Calls and health checks that were queued before a change of the endpoint list must not be written after it to a store
// that is draining, removed or replaced. They may be queued because the connection is not established yet or another
// write blocks. An attempt that was started before the change is not affected, since its first byte was written in time.
func TestUpdateEndpointsStopsQueuedRequests(t *testing.T) {
	ready := listedStore("a:1")
	for name, c := range map[string]struct {
		list         []Store
		acceptsCalls bool // the store accepts calls on new connections after the change
	}{
		"draining":                   {list: changed(ready, func(s *Store) { s.State = policy.Draining })},
		"not listed":                 {},
		"other address":              {changed(ready, func(s *Store) { s.Addr = "b:1" }), true},
		"other ring position":        {changed(ready, func(s *Store) { s.RingPosition = 3 }), true},
		"restarted":                  {changed(ready, func(s *Store) { s.StartedAt = inOneHour() }), true},
		"other address and draining": {list: changed(ready, func(s *Store) { s.Addr, s.State = "b:1", policy.Draining })},
		"other store, same number":   {changed(ready, func(s *Store) { s.Name, s.Addr = "t", "c:1" }), true},
	} {
		t.Run(name, func(t *testing.T) {
			attempts, _ := submitQuery(t)
			a := <-attempts
			queued := unconnected(32)
			p := queued.pool
			p.UpdateEndpoints([]Store{ready})
			p.stores[1].connections = []*connection{queued}
			var checkResult *broker.AttemptResult
			check := &healthCheck{done: func(result broker.AttemptResult) { checkResult = &result }}
			require.True(t, queued.tryEnqueue(callOf(a), requireCapacity))
			require.True(t, queued.tryEnqueue(writeRequest{healthCheck: check}, requireCapacity))
			p.UpdateEndpoints(c.list)
			assert.False(t, a.Start(), "the call can still be written")
			assert.False(t, queued.tryEnqueue(callOf(&broker.Attempt{Query: a.Query, Shard: 9}), requireCapacity))
			for request, ok := queued.dequeue(); ok; request, ok = queued.dequeue() {
				_, err := queued.write(nil, request, nil) // a write would panic, since there is no socket
				require.NoError(t, err)
			}
			require.NotNil(t, checkResult, "the health check was not finished")
			assert.Equal(t, policy.ConnectFailed, checkResult.Status)
			assert.NotSame(t, a, <-attempts, "the part was not retried")
			if !c.acceptsCalls {
				assert.Error(t, p.Send(1, []*broker.Attempt{a}), "accepted a hedged request or a retry after the change")
			}
		})
	}
}

// A store that is removed, drained or replaced may never answer the attempts in flight, for example because its machine
// has vanished. Its connection must be closed once these attempts are canceled or withdrawn. Otherwise each such store
// would hold a descriptor forever.
func TestRetiredConnectionIsClosedAfterCancel(t *testing.T) {
	for name, change := range map[string]func(Store) []Store{
		"not listed":    func(Store) []Store { return nil },
		"draining":      func(s Store) []Store { return changed(s, func(s *Store) { s.State = policy.Draining }) },
		"other address": func(s Store) []Store { return changed(s, func(s *Store) { s.Addr = "127.0.0.1:1" }) },
		"restarted":     func(s Store) []Store { return changed(s, func(s *Store) { s.StartedAt = inOneHour() }) },
	} {
		for _, written := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, written: %v", name, written), func(t *testing.T) {
				testRetiredConnection(t, change, written)
			})
		}
	}
}

// testRetiredConnection applies a change of the endpoint list while an attempt is in flight, before or after it is
// written, and checks that its connection is closed.
func testRetiredConnection(t *testing.T, change func(Store) []Store, written bool) {
	t.Helper()
	server := testserver.NewFrameStore(t)
	server.SetFault(testserver.Unresponsive)
	limits := Limits{ConnectTimeout: 5_000_000, IdleTimeout: time.Hour.Microseconds(), MaxInFlight: 32}
	p := New(limits, callOnlyCodec{}, testserver.DiscardLog())
	t.Cleanup(p.Close)
	paused := newPausedDial()
	p.SetDialer(paused.dial)
	ready := listedStore(server.Addr)
	p.UpdateEndpoints([]Store{ready})
	attempts, _ := submitQuery(t)
	a := <-attempts
	require.NoError(t, p.Send(1, []*broker.Attempt{a}))
	<-paused.started
	if written {
		close(paused.release)
		testserver.NextRequest(t, server)
		p.UpdateEndpoints(change(ready))
		p.Cancel(a)
	} else {
		p.UpdateEndpoints(change(ready))
		close(paused.release)
	}
	select {
	case <-server.Closed:
	case <-time.After(eventTimeout):
		assert.Fail(t, "the connection is still open")
	}
	assert.Eventually(t, func() bool { return openConnections(p) == 0 }, eventTimeout, time.Millisecond,
		"the pool still counts the connection")
}

// inOneHour returns the start time of a process that is newer than every connection, in microseconds.
func inOneHour() policy.Micros { return time.Now().Add(time.Hour).UnixMicro() }
