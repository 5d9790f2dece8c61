package testserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"alderproxy/httpwire"
)

// Discovery is a discovery service. It answers a call at once with the list or change that was published last, unless the
// caller already has that version. In that case, it answers with the next one, or with an empty change when the timeout of
// the watch is over.
type Discovery struct {
	Addr  string
	Calls chan string // the targets of calls; those beyond the capacity of the channel are dropped

	mu           sync.Mutex
	listener     net.Listener
	version      int
	answer       string
	changed      chan struct{} // closed and replaced when a list or change is published
	nextStatus   int           // status of the next response, without a list; 0: none
	unresponsive bool
	rawAnswer    string                 // sent instead of a response; empty: none
	connections  map[net.Conn]chan bool // the open ones; the channel is closed to stall one
}

// NewDiscovery starts a discovery service with a full list of entries.
func NewDiscovery(t *testing.T, entries ...string) *Discovery {
	t.Helper()
	d := &Discovery{
		Addr:        "127.0.0.1:0",
		Calls:       make(chan string, recordCapacity),
		changed:     make(chan struct{}),
		connections: map[net.Conn]chan bool{},
	}
	require.NoError(t, d.Start())
	t.Cleanup(d.Stop)
	d.Publish(true, entries...)
	return d
}

// EndpointEntry returns an entry of an endpoint list for a store.
func EndpointEntry(name string, s *Store, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"a","kind":"m","cell":0,"state":%q,"weight":1,"started_ms":0}`,
		name, s.Addr, state)
}

// Start starts listening on the address, the first time or after Stop.
func (d *Discovery) Start() error {
	listener, err := net.Listen("tcp", d.Addr) //nolint:noctx // it may be called after the test's context is done
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listener = listener
	d.Addr = listener.Addr().String()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	return nil
}

// Stop closes the listener and all open connections.
func (d *Discovery) Stop() {
	d.mu.Lock()
	d.listener.Close()
	d.mu.Unlock()
	d.ResetConnections()
}

// ResetConnections closes all open connections.
func (d *Discovery) ResetConnections() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.connections {
		c.Close()
	}
}

// StallConnections makes the open connections stall: they stay open, but their pending calls are never answered, nor are
// later ones that have to wait for a change. Connections that are opened later are served.
func (d *Discovery) StallConnections() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c, stalled := range d.connections {
		d.connections[c] = nil
		if stalled != nil {
			close(stalled)
		}
	}
}

// SetUnresponsive sets whether the service is unresponsive: it then leaves the pending calls and all later ones unanswered.
// After the end of that state, calls on new connections are answered again.
func (d *Discovery) SetUnresponsive(on bool) {
	d.mu.Lock()
	d.unresponsive = on
	d.mu.Unlock()
	if on {
		d.StallConnections()
	}
}

// SetRawAnswer stalls the open connections, as StallConnections does, and makes the service answer later calls with a text
// instead of a response, after which their connections send nothing. After a call with an empty text, calls on new connections
// are answered normally again.
func (d *Discovery) SetRawAnswer(text string) {
	d.mu.Lock()
	d.rawAnswer = text
	d.mu.Unlock()
	d.StallConnections()
}

// Publish publishes a full list, or a change to it.
func (d *Discovery) Publish(full bool, entries ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.answer = fmt.Sprintf(`{"version":%d,"full":%t,"servers":[%s]}`, d.version, full, strings.Join(entries, ","))
	close(d.changed)
	d.changed = make(chan struct{})
}

// Version returns the version of the list or change that was published last.
func (d *Discovery) Version() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version
}

// RejectNext makes the service answer the next call with a status and without a list. Status 0 undoes it.
func (d *Discovery) RejectNext(status int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nextStatus = status
}

// takeRejection returns the status that RejectNext set, and resets it.
func (d *Discovery) takeRejection() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	status := d.nextStatus
	d.nextStatus = 0
	return status
}

func (d *Discovery) serve(c net.Conn) {
	stalled := make(chan bool)
	d.mu.Lock()
	d.connections[c] = stalled
	d.mu.Unlock()
	defer func() {
		c.Close()
		d.mu.Lock()
		delete(d.connections, c)
		d.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for d.serveCall(c, r, stalled) == nil {
		continue
	}
}

// serveCall answers one call. After an error, the connection is closed.
func (d *Discovery) serveCall(c net.Conn, r *bufio.Reader, stalled <-chan bool) error {
	request, err := httpwire.ReadRequest(r)
	if err != nil {
		return err
	}
	select {
	case d.Calls <- request.Target:
	default:
	}
	if status := d.takeRejection(); status != 0 {
		_, _ = c.Write(httpwire.AppendResponse(nil, status, nil, nil, false)) // after an error, the next read fails
		return nil
	}
	answer, keepServing := d.awaitAnswer(request.Target, stalled)
	_, _ = c.Write(answer)
	if !keepServing { // the connection stays open until the other side closes it
		_, _ = io.Copy(io.Discard, r)
		return io.EOF
	}
	return nil
}

// awaitAnswer waits until an answer is due and returns it. keepServing is false if the connection must not send anything
// after it.
func (d *Discovery) awaitAnswer(target string, stalled <-chan bool) (answer []byte, keepServing bool) {
	timeout := time.After(watchTimeout(target))
	for {
		d.mu.Lock()
		list, changed := d.answer, d.changed
		upToDate := strings.Contains(target, "from="+strconv.Itoa(d.version)+"&")
		unchanged := fmt.Sprintf(`{"version":%d,"full":false,"servers":[]}`, d.version)
		unresponsive, raw := d.unresponsive, d.rawAnswer
		d.mu.Unlock()
		switch {
		case unresponsive:
			return nil, false
		case raw != "":
			return []byte(raw), false
		case !upToDate:
			return httpwire.AppendResponse(nil, http.StatusOK, nil, []byte(list), false), true
		}
		select {
		case <-changed:
		case <-stalled:
			return nil, false
		case <-timeout:
			return httpwire.AppendResponse(nil, http.StatusOK, nil, []byte(unchanged), false), true
		}
	}
}

// watchTimeout returns the timeout of a watch, or 0 if the call is not a watch.
func watchTimeout(target string) time.Duration {
	_, text, _ := strings.Cut(target, "hold_ms=")
	ms, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
