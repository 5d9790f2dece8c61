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

// changed returns a list with a store to which a change was applied.
func changed(s Store, change func(*Store)) []Store {
	change(&s)
	return []Store{s}
}

// Calls and health checks that wait, for a connection to be established or for a write to end, and that were ordered before
// the endpoint list changed, must not be written once the list is in force. An attempt that was started is not affected: its
// first byte was written in time.
func TestUpdateEndpointsStopsQueuedRequests(t *testing.T) {
	ready := listedStore("a:1")
	for name, c := range map[string]struct {
		list         []Store
		acceptsCalls bool // on new connections
	}{
		"draining":                   {list: changed(ready, func(s *Store) { s.State = policy.Draining })},
		"not listed":                 {},
		"other address":              {changed(ready, func(s *Store) { s.Addr = "b:1" }), true},
		"other ring position":        {changed(ready, func(s *Store) { s.RingPosition = 3 }), true},
		"restarted":                  {changed(ready, func(s *Store) { s.StartedAt = inOneHour() }), true},
		"other address and draining": {list: changed(ready, func(s *Store) { s.Addr, s.State = "b:1", policy.Draining })},
		"replaced under its number":  {changed(ready, func(s *Store) { s.Name, s.Addr = "t", "c:1" }), true},
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
				_, err := queued.write(nil, request, nil) // a write would panic, as there is no socket
				require.NoError(t, err)
			}
			require.NotNil(t, checkResult, "the health check was not finished")
			assert.Equal(t, policy.ConnectFailed, checkResult.Status)
			assert.NotSame(t, a, <-attempts, "the attempt has not run and may be retried elsewhere at once")
			if !c.acceptsCalls {
				assert.Error(t, p.Send(1, []*broker.Attempt{a}), "accepted a hedged request, or a retry ordered before the change")
			}
		})
	}
}

// What is in flight at a store that leaves the list may never be answered, as when its machine has vanished. Once it is
// canceled, and so is what was not written, the connection must be closed, whatever the change was. Otherwise every such
// store would hold a descriptor forever.
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
		assert.Fail(t, "the connection stays open")
	}
	assert.Eventually(t, func() bool { return openConnections(p) == 0 }, eventTimeout, time.Millisecond)
}

// inOneHour is the start time of a process that is newer than every connection, in microseconds.
func inOneHour() policy.Micros { return time.Now().Add(time.Hour).UnixMicro() }
