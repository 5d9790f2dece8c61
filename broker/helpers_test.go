package broker

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/policy"
)

// eventTimeout is the maximum time for which a test waits for an event that must occur.
const eventTimeout = 5 * time.Second

// fakeTransport is a Transport that records the attempts that the event loop sends and cancels.
type fakeTransport struct {
	sent     chan *Attempt
	canceled chan *Attempt
	// sendError is returned by Send.
	sendError error
	// onSend is called first by Send, with the first attempt of the call; nil if it is not needed.
	onSend func(*Attempt)
}

func newFakeTransport() *fakeTransport {
	return &fakeTransport{sent: make(chan *Attempt, 64), canceled: make(chan *Attempt, 64)}
}

func (f *fakeTransport) Send(_ uint32, call []*Attempt) error {
	if f.onSend != nil {
		f.onSend(call[0])
	}
	if f.sendError != nil {
		return f.sendError
	}
	for _, a := range call {
		f.sent <- a
	}
	return nil
}

func (f *fakeTransport) Cancel(a *Attempt) { f.canceled <- a }

func (f *fakeTransport) CloseIdleConnections(uint32) {}

func (f *fakeTransport) CheckHealth(_ uint32, done func(AttemptResult)) {
	go done(AttemptResult{Report: policy.NoLoadReport})
}

// responses is a Responder that sends each response to a channel.
type responses chan Response

func (r responses) Respond(response Response) { r <- response }

// discardLog returns a log without output.
func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// newSettings returns settings with one shard and one class.
func newSettings(idempotency policy.Idempotency) policy.Settings {
	return policy.Settings{
		InstanceCount: 1, Tick: 5000, Shards: 1, RingSize: 1, ReplicationFactor: 1, MaxAttempts: 2, AllowCancel: true,
		SendRetryAfter: true, MaxRetryAfter: 1_000_000, Classes: []policy.Class{{
			Name: "c", LatencyObjective: 300_000, Timeout: 900_000, PriorityWeight: 1,
			RequiredCoverage: 1, MinCoverage: 1, Idempotency: idempotency, DeduplicationWindow: 900_000,
		}},
	}
}

// startBroker starts a broker with two ready endpoints and closes it at the end of the test.
func startBroker(t *testing.T, settings policy.Settings) (*Broker, *fakeTransport) {
	t.Helper()
	transport := newFakeTransport()
	return startBrokerWith(t, Config{Settings: settings, Transport: transport, Log: discardLog()}), transport
}

// startBrokerWith is like startBroker, with the given configuration.
func startBrokerWith(t *testing.T, config Config) *Broker {
	t.Helper()
	b, err := New(config)
	require.NoError(t, err)
	t.Cleanup(b.Close)
	b.UpdateEndpoints([]policy.Endpoint{{ID: 1, State: policy.Ready}, {ID: 2, State: policy.Ready}})
	return b
}

// newQuery returns a query of one part and the channel that receives its responses.
func newQuery(timeout time.Duration) (*Query, responses) {
	received := make(responses, 8)
	q := &Query{ID: "q", Deadline: time.Now().Add(timeout), Parts: []Part{{Weight: 1}}, Responder: received}
	return q, received
}

// submit submits a new query.
func submit(b *Broker, timeout time.Duration) (*Query, responses) {
	q, received := newQuery(timeout)
	b.Submit(q)
	return q, received
}

// serveQueries submits a number of queries, one after another, and answers them immediately. The transport itself answers
// them, so that pauses of the test's goroutine do not count as latency of a store.
func serveQueries(t *testing.T, b *Broker, transport *fakeTransport, count int) {
	t.Helper()
	transport.onSend = func(a *Attempt) {
		assert.True(t, a.Start())
		finishOK(a) // does not block the event loop, since its queue has capacity
	}
	for range count {
		_, received := submit(b, time.Hour)
		<-transport.sent
		require.Equal(t, Served, (<-received).Status)
	}
	transport.onSend = nil
}

// finishOK finishes an attempt with an answer.
func finishOK(a *Attempt) {
	a.Finish(AttemptResult{Status: policy.OK, Report: policy.NoLoadReport, Body: []byte("v")})
}
