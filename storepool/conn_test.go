package storepool

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/broker"
	"alderproxy/internal/ratelog"
	"alderproxy/internal/simcodec"
	"alderproxy/internal/testserver"
	"alderproxy/policy"
)

// capture is a transport that hands over what it is given.
type capture chan *broker.Attempt

func (c capture) Send(_ uint32, call []*broker.Attempt) error  { c <- call[0]; return nil }
func (capture) Cancel(*broker.Attempt)                         {}
func (capture) CloseIdleConnections(uint32)                    {}
func (capture) CheckHealth(uint32, func(broker.AttemptResult)) {}

type sink chan broker.Response

func (s sink) Respond(a broker.Response) { s <- a }

// attempts returns where a query's attempts come out, one after the other as each ends, and its final answer.
func attempts(t *testing.T) (capture, sink) {
	facts, err := simcodec.FlattenFacts(fmt.Appendf(nil, testserver.Settings, testserver.Save, 0, 15_000_000))
	require.NoError(t, err)
	set, err := facts.Settings()
	require.NoError(t, err)
	to, answers := make(capture, 16), make(sink, 1)
	b, err := broker.New(broker.Config{Settings: set, Transport: to, Log: testserver.Log()})
	require.NoError(t, err)
	t.Cleanup(b.Close)
	b.UpdateEndpoints([]policy.Endpoint{{ID: 1, State: policy.Ready}, {ID: 2, State: policy.Ready}})
	b.Submit(&broker.Query{
		ID: "q", Deadline: time.Now().Add(2 * time.Second), Responder: answers,
		Parts: []broker.Part{{Weight: 1}},
	})
	return to, answers
}

// waiting is a connection that is not up yet.
func waiting(streams int) *connection {
	return newConnection(New(Limits{ConnectTimeout: 250_000, IdleTimeout: 15_000_000, MaxInFlight: streams}, nil, testserver.Log()), Store{})
}

// A store that ends every connection costs one log line a second, which tells how many it stands for.
func TestEndsOfConnectionsAreLoggedSeldom(t *testing.T) {
	log, lines := test.NewNullLogger()
	p := New(Limits{ConnectTimeout: 250_000, IdleTimeout: 15_000_000, MaxInFlight: 1}, nil, log.WithField("test", true))
	p.UpdateEndpoints([]Store{{Name: "s", Endpoint: policy.Endpoint{ID: 1, State: policy.Ready}}})
	began := time.Now()
	for range 200 {
		newConnection(p, Store{Name: "s", Endpoint: policy.Endpoint{ID: 1}}).close(io.ErrUnexpectedEOF)
	}
	most := 1 + int(time.Since(began)/ratelog.Every)
	assert.LessOrEqual(t, len(lines.AllEntries()), most)
	assert.NotEmpty(t, lines.AllEntries())
}

// The rule on drains counts when a frame is sent: what still waits for its connection must not go out. It has not
// run, so it may go elsewhere at once, in a keyed class too.
func TestQueuedCallIsTakenBackWhenItsStoreDrains(t *testing.T) {
	to, _ := attempts(t)
	c, a := waiting(32), <-to
	require.True(t, c.tryEnqueue(writeRequest{attempts: []*broker.Attempt{a}}, hasCapacity))
	c.fence()
	assert.False(t, a.Start(), "it could still be written")
	assert.False(t, c.tryEnqueue(writeRequest{cancelID: "x"}, hasCapacity), "something new could still go out")
	assert.NotSame(t, a, <-to)
}

func TestStreamsLimitAndNamesOnAConnection(t *testing.T) {
	to, _ := attempts(t)
	c, a := waiting(1), <-to
	call := writeRequest{attempts: []*broker.Attempt{a}}
	require.True(t, c.tryEnqueue(call, hasCapacity))
	assert.False(t, c.tryEnqueue(call, hasCapacity), "more than the connection carries")
	c.pool.SetLimits(Limits{ConnectTimeout: 250_000, IdleTimeout: 15_000_000, MaxInFlight: 9})
	assert.False(t, c.tryEnqueue(call, hasCapacity), "two parts of one name")
	assert.False(t, c.cancel(&broker.Attempt{Query: a.Query}), "another attempt of that name")
}

// What a connection carried when it ended has never run if it was not written, and may have if it was.
func TestEndOfAConnectionTellsWhatMayHaveRun(t *testing.T) {
	for written, want := range map[bool]broker.Status{false: broker.Rejected, true: broker.Failed} {
		to, answers := attempts(t)
		for ended := false; !ended; {
			select {
			case a := <-to:
				c := waiting(32)
				require.True(t, c.tryEnqueue(writeRequest{attempts: []*broker.Attempt{a}}, hasCapacity))
				if written {
					require.True(t, a.Start())
					c.inFlight[PartID(a)].written = true
				}
				c.close(errClosed)
			case answer := <-answers:
				assert.Equal(t, want, answer.Status)
				ended = true
			}
		}
	}
}

// An answer of an unknown id stands for one that will not come, and what follows an answer though nothing else is
// out belongs to nothing: neither connection may serve on.
func TestConnectionThatBroughtWhatIsNotOursServesNoFurtherUse(t *testing.T) {
	to, _ := attempts(t)
	c, a := waiting(32), <-to
	require.True(t, c.tryEnqueue(writeRequest{attempts: []*broker.Attempt{a}}, hasCapacity))
	c.dequeue() // as if written
	assert.ErrorIs(t, c.handleMessage(Message{Kind: Answer, ID: "other"}, false), ErrMalformed)
	c.canceledIDs["late"] = true
	assert.NoError(t, c.handleMessage(Message{Kind: Answer, ID: "late"}, true), "a late answer is ordinary")
	assert.NoError(t, c.closeCause)
	assert.NoError(t, c.handleMessage(Message{Kind: Answer, ID: PartID(a)}, true))
	assert.Error(t, c.closeCause, "it is still open")
}

// Between the list and the wire lie calls and probes that wait: for their connection to come up, behind a frame that is
// written, dealt before the list came. None of it may go out once the list is in force, whatever the change was. What
// was begun is on its way: its first byte went out in time.
func TestNothingThatWaitsReachesAStoreThatTheListTakesAway(t *testing.T) {
	ready := Store{Name: "s", Addr: "a:1", Endpoint: policy.Endpoint{ID: 1, State: policy.Ready, RingPosition: 2}}
	change := func(by func(*Store)) []Store { s := ready; by(&s); return []Store{s} }
	for name, c := range map[string]struct {
		list []Store
		on   bool // and the store gets new calls, on new connections
	}{
		"drains":                              {list: change(func(s *Store) { s.State = policy.Draining })},
		"not listed":                          {},
		"another address":                     {change(func(s *Store) { s.Addr = "b:1" }), true},
		"another cell":                        {change(func(s *Store) { s.RingPosition = 3 }), true},
		"another process":                     {change(func(s *Store) { s.StartedAt = time.Now().Add(time.Hour).UnixMicro() }), true},
		"another address, and drains":         {list: change(func(s *Store) { s.Addr, s.State = "b:1", policy.Draining })},
		"one with its number takes its place": {change(func(s *Store) { s.Name, s.Addr = "t", "c:1" }), true},
	} {
		t.Run(name, func(t *testing.T) {
			to, _ := attempts(t)
			a := <-to
			w := waiting(32)
			p := w.pool
			p.UpdateEndpoints([]Store{ready})
			p.stores[1].connections = []*connection{w}
			var probed *broker.AttemptResult
			pr := &healthCheck{done: func(o broker.AttemptResult) { probed = &o }}
			require.True(t, w.tryEnqueue(writeRequest{attempts: []*broker.Attempt{a}}, hasCapacity))
			require.True(t, w.tryEnqueue(writeRequest{healthCheck: pr}, hasCapacity))
			p.UpdateEndpoints(c.list)
			assert.False(t, a.Start(), "the call can still be written")
			assert.False(t, w.tryEnqueue(writeRequest{attempts: []*broker.Attempt{{Query: a.Query, Shard: 9}}}, hasCapacity))
			for it, ok := w.dequeue(); ok; it, ok = w.dequeue() {
				_, err := w.write(nil, it, nil) // nothing is written: there is nothing to write to
				assert.NoError(t, err)
			}
			require.NotNil(t, probed, "the probe has no end")
			assert.Equal(t, policy.ConnectFailed, probed.Status)
			assert.NotSame(t, a, <-to, "it has not run, and may go elsewhere at once")
			if !c.on {
				assert.Error(t, p.Send(1, []*broker.Attempt{a}), "a second copy, or a try dealt before the decisions heard of it")
			}
		})
	}
}

// A connection that is closed while it is dialled holds its descriptor until the dial has ended, and counts until then.
func TestConnectionCountsUntilItsDialHasEnded(t *testing.T) {
	s := testserver.NewFrameStore(t)
	p := waiting(32).pool
	began, hold := make(chan struct{}, 1), make(chan struct{})
	p.SetDialer(func(addr string, limit time.Duration) (net.Conn, error) {
		began <- struct{}{}
		<-hold
		return net.DialTimeout("tcp", addr, limit)
	})
	open := func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.openConnections
	}
	p.UpdateEndpoints([]Store{{Name: "s", Addr: s.Addr, Endpoint: policy.Endpoint{ID: 1, State: policy.Ready}}})
	to, _ := attempts(t)
	require.NoError(t, p.Send(1, []*broker.Attempt{<-to}))
	<-began
	p.Close()
	assert.Equal(t, 1, open())
	close(hold)
	assert.Eventually(t, func() bool { return open() == 0 }, 5*time.Second, time.Millisecond)
}

// What is out at a store when the list takes it away may never be answered: its machine has vanished. Once it is given up,
// and so is what was not written, the connection ends, whatever the change was. Else each such store would hold a
// descriptor for good.
func TestConnectionToAStoreThatLeftEndsWithWhatIsOut(t *testing.T) {
	changed := func(by func(*Store)) func(Store) []Store { return func(s Store) []Store { by(&s); return []Store{s} } }
	for name, list := range map[string]func(Store) []Store{
		"not listed":      func(Store) []Store { return nil },
		"drains":          changed(func(s *Store) { s.State = policy.Draining }),
		"another address": changed(func(s *Store) { s.Addr = "127.0.0.1:1" }),
		"another process": changed(func(s *Store) { s.StartedAt = time.Now().Add(time.Hour).UnixMicro() }),
	} {
		for _, written := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, written: %v", name, written), func(t *testing.T) {
				s := testserver.NewFrameStore(t)
				s.SetFault(testserver.Silent)
				p := New(Limits{ConnectTimeout: 5_000_000, IdleTimeout: time.Hour.Microseconds(), MaxInFlight: 32}, frames{}, testserver.Log())
				t.Cleanup(p.Close)
				began, hold := make(chan struct{}, 1), make(chan struct{})
				p.SetDialer(func(addr string, limit time.Duration) (net.Conn, error) {
					began <- struct{}{}
					<-hold
					return net.DialTimeout("tcp", addr, limit)
				})
				ready := Store{Name: "s", Addr: s.Addr, Endpoint: policy.Endpoint{ID: 1, State: policy.Ready}}
				p.UpdateEndpoints([]Store{ready})
				to, _ := attempts(t)
				a := <-to
				require.NoError(t, p.Send(1, []*broker.Attempt{a}))
				<-began
				if written {
					close(hold)
					testserver.Next(t, s)
					p.UpdateEndpoints(list(ready))
					p.Cancel(a)
				} else {
					p.UpdateEndpoints(list(ready))
					close(hold)
				}
				select {
				case <-s.Closed:
				case <-time.After(5 * time.Second):
					assert.Fail(t, "it is held")
				}
				assert.Eventually(t, func() bool { p.mu.Lock(); defer p.mu.Unlock(); return p.openConnections == 0 }, 5*time.Second, time.Millisecond)
			})
		}
	}
}

// frames is as much of the platform's codec as a call takes.
type frames struct{}

func (frames) AppendCall(to []byte, _ Store, call []*broker.Attempt, _ time.Time) []byte {
	text := "1" + PartID(call[0]) + " 0 d=1 0\n"
	return append(binary.BigEndian.AppendUint32(to, uint32(len(text))), text...)
}

func (frames) AppendCancel(to []byte, id string) []byte {
	return append(binary.BigEndian.AppendUint32(to, uint32(len(id)+1)), "2"+id...)
}
func (frames) AppendHealthCheck(to []byte) []byte    { return to }
func (frames) Read(r *bufio.Reader) (Message, error) { _, err := r.ReadByte(); return Message{}, err }
