package storepool

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"alderproxy/broker"
	"alderproxy/internal/platformsettings"
	"alderproxy/internal/testserver"
	"alderproxy/policy"
)

// eventTimeout is how long a test waits for something that must happen.
const eventTimeout = 5 * time.Second

// attemptQueue is a broker.Transport that hands over the first attempt of each call.
type attemptQueue chan *broker.Attempt

func (q attemptQueue) Send(_ uint32, call []*broker.Attempt) error {
	q <- call[0]
	return nil
}

func (attemptQueue) Cancel(*broker.Attempt) {}

func (attemptQueue) CloseIdleConnections(uint32) {}

func (attemptQueue) CheckHealth(uint32, func(broker.AttemptResult)) {}

// responses is a broker.Responder that passes on what it receives.
type responses chan broker.Response

func (r responses) Respond(response broker.Response) { r <- response }

// submitQuery submits a query to a new broker. The attempts of its only part come out of the first channel, each once the
// one before it has ended, and the final answer out of the second.
func submitQuery(t *testing.T) (attemptQueue, responses) {
	t.Helper()
	facts, err := platformsettings.ParseJSON(fmt.Appendf(nil, testserver.SettingsTemplate, testserver.SaveClass, 0, 15_000_000))
	require.NoError(t, err)
	settings, err := facts.Settings()
	require.NoError(t, err)
	attempts := make(attemptQueue, 16)
	received := make(responses, 1)
	b, err := broker.New(broker.Config{Settings: settings, Transport: attempts, Log: testserver.DiscardLog()})
	require.NoError(t, err)
	t.Cleanup(b.Close)
	b.UpdateEndpoints([]policy.Endpoint{{ID: 1, State: policy.Ready}, {ID: 2, State: policy.Ready}})
	b.Submit(&broker.Query{
		ID: "q", Deadline: time.Now().Add(2 * time.Second), Responder: received,
		Parts: []broker.Part{{Weight: 1}},
	})
	return attempts, received
}

// callOf returns a request to write one attempt.
func callOf(a *broker.Attempt) writeRequest { return writeRequest{attempts: []*broker.Attempt{a}} }

// limitsWith returns limits for connections that carry a number of attempts.
func limitsWith(maxInFlight int) Limits {
	return Limits{ConnectTimeout: 250_000, IdleTimeout: 15_000_000, MaxInFlight: maxInFlight}
}

// unconnected returns a connection that is not established, in a pool without stores.
func unconnected(maxInFlight int) *connection {
	return newConnection(New(limitsWith(maxInFlight), nil, testserver.DiscardLog()), Store{})
}

// listedStore returns a ready store with the number 1.
func listedStore(addr string) Store {
	return Store{Name: "s", Addr: addr, Endpoint: policy.Endpoint{ID: 1, State: policy.Ready, RingPosition: 2}}
}

// pausedDial is a Dial that waits to be released.
type pausedDial struct {
	started chan struct{}
	release chan struct{}
}

func newPausedDial() pausedDial {
	return pausedDial{started: make(chan struct{}, 1), release: make(chan struct{})}
}

func (d pausedDial) dial(addr string, limit time.Duration) (net.Conn, error) {
	d.started <- struct{}{}
	<-d.release
	return dialTCP(addr, limit)
}

// openConnections returns how many connections the pool counts.
func openConnections(p *Pool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openConnections
}

// callOnlyCodec is the part of the platform's codec that writes calls and cancellations.
type callOnlyCodec struct{}

func (callOnlyCodec) AppendCall(to []byte, _ Store, call []*broker.Attempt, _ time.Time) []byte {
	text := "1" + WirePartID(call[0]) + " 0 d=1 0\n"
	return append(binary.BigEndian.AppendUint32(to, uint32(len(text))), text...)
}

func (callOnlyCodec) AppendCancel(to []byte, id string) []byte {
	return append(binary.BigEndian.AppendUint32(to, uint32(len(id)+1)), "2"+id...)
}

func (callOnlyCodec) AppendHealthCheck(to []byte) []byte { return to }

func (callOnlyCodec) Read(r *bufio.Reader) (Message, error) {
	_, err := r.ReadByte()
	return Message{}, err
}
