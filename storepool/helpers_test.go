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

// eventTimeout is the maximum time for which a test waits for an event that must occur.
const eventTimeout = 5 * time.Second

// attemptQueue is a broker.Transport that sends the first attempt of each call to a channel.
type attemptQueue chan *broker.Attempt

func (q attemptQueue) Send(_ uint32, call []*broker.Attempt) error {
	q <- call[0]
	return nil
}

func (attemptQueue) Cancel(*broker.Attempt) {}

func (attemptQueue) CloseIdleConnections(uint32) {}

func (attemptQueue) CheckHealth(uint32, func(broker.AttemptResult)) {}

// responses is a broker.Responder that sends each response to a channel.
type responses chan broker.Response

func (r responses) Respond(response broker.Response) { r <- response }

// submitQuery submits a query of one part to a new broker. The first channel receives the attempts at the part, each one
// after the previous one has ended, and the second one the final answer.
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

// callOf returns a request to write a call with one attempt.
func callOf(a *broker.Attempt) writeRequest { return writeRequest{attempts: []*broker.Attempt{a}} }

// limitsWith returns limits with the given MaxInFlight.
func limitsWith(maxInFlight int) Limits {
	return Limits{ConnectTimeout: 250_000, IdleTimeout: 15_000_000, MaxInFlight: maxInFlight}
}

// unconnected returns a connection that is not established, of a pool without stores.
func unconnected(maxInFlight int) *connection {
	return newConnection(New(limitsWith(maxInFlight), nil, testserver.DiscardLog()), Store{})
}

// listedStore returns a ready store with the number 1.
func listedStore(addr string) Store {
	return Store{Name: "s", Addr: addr, Endpoint: policy.Endpoint{ID: 1, State: policy.Ready, RingPosition: 2}}
}

// pausedDial provides a Dial that blocks until release is closed.
type pausedDial struct {
	started chan struct{} // receives a value when a dial starts
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

// openConnections returns the number of connections that the pool counts as open.
func openConnections(p *Pool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openConnections
}

// callOnlyCodec writes calls and cancellations like the codec of package platform. It supports no health checks and
// decodes no messages.
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
