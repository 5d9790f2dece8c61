// Package testserver has the stand-ins that the tests of both fronts share: stores that speak frames or searches,
// with faults to inject, discovery, and a client.
package testserver

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"alderproxy/httpwire"
)

// Fault is what a store does with a part instead of answering it.
type Fault string

// The faults that can be injected.
const (
	None         Fault = ""
	ServerError  Fault = "error"     // answers that it failed
	Partial      Fault = "partial"   // a search answers success with a failed shard; frames have only Error for it
	TimedOut     Fault = "late"      // a search answers success, timed out; frames have only Error for it
	Rejecting    Fault = "busy"      // turns the part away
	Reset        Fault = "reset"     // ends the connection instead of answering
	Unresponsive Fault = "silent"    // takes the part and says nothing
	Stalled      Fault = "mute"      // the connection stays open and brings nothing from then on (frames only)
	Malformed    Fault = "malformed" // answers what is not the protocol
	Down         Fault = "down"      // accepts no connection
)

// FaultCase is one row of the table of faults that both fronts must pass alike.
type FaultCase struct {
	Fault            Fault
	OneReplicaStatus int // status when one replica of two has the fault
	PlatformStatus   int // on the platform, when both have
	OpenSearchStatus int // on the OpenSearch front, when both have
}

// FaultCases is the table.
var FaultCases = []FaultCase{
	{None, 200, 200, 200},
	{ServerError, 200, 429, 503},
	{Partial, 200, 429, 503},
	{TimedOut, 200, 429, 503},
	{Rejecting, 200, 429, 429},
	{Reset, 200, 429, 503},
	{Unresponsive, 200, 429, 504},
	{Malformed, 200, 429, 503},
	{Down, 200, 429, 503},
}

// SettingsTemplate are those of all tests, as JSON: two slices in one cell, held by every store. A class that is safe,
// one that may be answered in part, and one that is keyed.
const SettingsTemplate = `{"my_number":0,"fleet_size":1,"tick_us":5000,"dcs":["a"],
 "family_info":{"slices":2,"cells":1,"reach":1,"batch":1,"need_by_class":[1,1,1],"least_share":[1,0.5,1]},
 "grades":[%s],
 "guarantees":{"answer_slack_us":20000,"drain_grace_us":500000},
 "permissions":{"cancel":true,"second_copies":true,"retry_after":true,"max_retry_after_us":2000000,
  "max_attempts":4,"max_open":%d,"max_streams":32,"conn_idle_us":%d,"connect_timeout_us":250000}}`

// Classes of the settings.
const (
	LookupClass = `{"name":"lookup","effect":"read_like","promise_us":600000,"give_up_us":2000000,"gain":1}`
	ReportClass = `{"name":"report","effect":"read_like","promise_us":600000,"give_up_us":2000000,"gain":5}`
	SaveClass   = `{"name":"save","effect":"idempotency_key","window_us":3000000,"promise_us":600000,"give_up_us":2000000,"gain":1}`
)

// DiscardLog is a logger that says nothing.
func DiscardLog() *logrus.Entry {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l.WithField("test", true)
}

// Store is a stand-in store.
type Store struct {
	Addr     string
	Requests chan string // what came, in order: the frame's text, or a search's line and body

	mu         sync.Mutex
	fault      Fault
	faultShard string        // the slice that has the fault; empty: all
	hold       chan struct{} // answers wait until it is closed; nil: they don't
	listener   net.Listener
	stopped    chan struct{} // the listener is closed for good
	conns      map[net.Conn]bool
	Closed     chan struct{} // gets one for each connection that has ended
}

// SetFault changes what the store does from now on.
func (s *Store) SetFault(f Fault) {
	if f == Down { // while Accept is still to be woken, the kernel would go on taking connections
		s.listener.Close()
		<-s.stopped
	}
	s.mu.Lock()
	s.fault = f
	s.mu.Unlock()
	if f == Down {
		s.CloseConnections()
	}
}

// SetShardFault is SetFault for the parts of one slice.
func (s *Store) SetShardFault(slice int, f Fault) {
	s.SetFault(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultShard = strconv.Itoa(slice)
}

// HoldAnswers makes answers wait until release is called.
func (s *Store) HoldAnswers() (release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	hold := make(chan struct{})
	s.hold = hold
	return sync.OnceFunc(func() { close(hold) })
}

// CloseConnections ends the connections that are open, and not the listener.
func (s *Store) CloseConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// Connections is how many connections are open.
func (s *Store) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *Store) behavior(slice string) (Fault, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faultShard != "" && s.faultShard != slice {
		return None, s.hold
	}
	return s.fault, s.hold
}

func startStore(t *testing.T, speak func(*Store, net.Conn)) *Store {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &Store{
		Addr: l.Addr().String(), listener: l, Requests: make(chan string, 256), conns: map[net.Conn]bool{},
		Closed: make(chan struct{}, 256), stopped: make(chan struct{}),
	}
	t.Cleanup(func() { s.SetFault(Down) })
	go func() {
		defer close(s.stopped)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			go func() {
				defer func() {
					c.Close()
					s.mu.Lock()
					delete(s.conns, c)
					s.mu.Unlock()
					select {
					case s.Closed <- struct{}{}:
					default: // nobody counts them
					}
				}()
				speak(s, c)
			}()
		}
	}()
	return s
}

// NewFrameStore starts a store that speaks the platform's frames. A part's value is "v" and its slice.
func NewFrameStore(t *testing.T) *Store {
	return startStore(t, func(s *Store, c net.Conn) {
		r, w := bufio.NewReader(c), sync.Mutex{}
		send := func(letter byte, rest string) {
			w.Lock()
			defer w.Unlock()
			c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(rest)+1)), string(letter)+rest...))
		}
		for {
			var head [5]byte
			if _, err := io.ReadFull(r, head[:]); err != nil {
				return
			}
			rest := make([]byte, binary.BigEndian.Uint32(head[:4])-1)
			if _, err := io.ReadFull(r, rest); err != nil {
				return
			}
			s.Requests <- string(head[4]) + string(rest)
			if head[4] == '4' {
				send('4', "qps=12.5,queue=3")
			}
			if head[4] != '1' {
				continue
			}
			words := strings.Fields(string(rest))
			fault, hold := s.behavior(words[1])
			switch fault {
			case ServerError, Partial, TimedOut:
				send('5', words[0]+" E 0 -\n")
			case Rejecting:
				send('5', words[0]+" B 0 -\n")
			case Malformed:
				send('5', "nonsense")
			case Stalled:
				io.Copy(io.Discard, r)
				return
			case Reset:
				return
			case None:
				go func() {
					if hold != nil {
						<-hold
					}
					send('5', words[0]+" S 1840277719 qps=12.5,queue=0\nv"+words[1])
				}()
			}
		}
	})
}

// NewSearchStore starts a store that answers searches. Its hits are the lines of docs that begin with the slice
// and a blank; the rest of a line is the hit.
func NewSearchStore(t *testing.T, docs string) *Store {
	return startStore(t, func(s *Store, c net.Conn) {
		r := bufio.NewReader(c)
		for {
			req, err := httpwire.ReadRequest(r)
			if err != nil {
				return
			}
			s.Requests <- req.Target + "\n" + string(req.Body)
			fault, hold := s.behavior(shardOf(req.Target))
			status, body := 200, ""
			switch fault {
			case ServerError:
				status, body = 500, `{"error":{"type":"boom"},"status":500}`
			case Partial:
				body = `{"timed_out":false,"_shards":{"total":1,"failed":1},"hits":{"total":{"value":0},"hits":[]}}`
			case TimedOut:
				body = `{"timed_out":true,"_shards":{"total":1,"failed":0},"hits":{"total":{"value":0},"hits":[]}}`
			case Rejecting:
				status, body = 429, `{"error":{"type":"rejected_execution_exception"},"status":429}`
			case Malformed:
				c.Write([]byte("nonsense\r\n\r\n"))
				return
			case Reset:
				return
			case Unresponsive:
				io.Copy(io.Discard, r)
				return
			case None:
				if hold != nil {
					<-hold
				}
				body = searchHits(docs, req.Target)
			}
			c.Write(httpwire.AppendResponse(nil, status, nil, []byte(body), false))
		}
	})
}

func shardOf(target string) string {
	_, slice, _ := strings.Cut(target, "_shards:")
	slice, _, _ = strings.Cut(slice, "&")
	return slice
}

func searchHits(docs, target string) string {
	slice := shardOf(target)
	var own []string
	for line := range strings.Lines(docs) {
		if hit, ok := strings.CutPrefix(strings.TrimSpace(line), slice+" "); ok {
			own = append(own, hit)
		}
	}
	return fmt.Sprintf(`{"took":1,"timed_out":false,"_shards":{"total":1,"successful":1,"skipped":0,"failed":0},`+
		`"hits":{"total":{"value":%d,"relation":"eq"},"max_score":1.5,"hits":[%s]}}`, len(own), strings.Join(own, ","))
}

// Discovery is a stand-in for discovery: it tells what it is given, at once or when the wait of a watch is over.
type Discovery struct {
	Addr  string
	Calls chan string // what was asked; what nobody takes is dropped

	mu           sync.Mutex
	listener     net.Listener
	version      int
	answer       string
	changed      chan struct{}
	rejectStatus int // status of the next call's answer; 0: the list
	unresponsive bool
	rawAnswer    string                 // goes out in place of an answer, and nothing behind it
	conns        map[net.Conn]chan bool // closed where a connection says nothing more
}

// NewDiscovery starts discovery with a full list of entries.
func NewDiscovery(t *testing.T, entries ...string) *Discovery {
	d := &Discovery{
		Addr: "127.0.0.1:0", Calls: make(chan string, 256), changed: make(chan struct{}),
		conns: map[net.Conn]chan bool{},
	}
	require.NoError(t, d.Start())
	t.Cleanup(d.Stop)
	d.Publish(true, entries...)
	return d
}

// Start has it listen (again) on its address.
func (d *Discovery) Start() error {
	l, err := net.Listen("tcp", d.Addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listener, d.Addr = l, l.Addr().String()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	return nil
}

// Stop ends its process: connections are reset and new ones refused.
func (d *Discovery) Stop() {
	d.mu.Lock()
	d.listener.Close()
	d.mu.Unlock()
	d.ResetConnections()
}

// ResetConnections ends all open connections.
func (d *Discovery) ResetConnections() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		c.Close()
	}
}

// StallConnections has all open connections stay open and say nothing more. New ones are served.
func (d *Discovery) StallConnections() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c, mute := range d.conns {
		d.conns[c] = nil
		if mute != nil {
			close(mute)
		}
	}
}

// SetUnresponsive has calls that come from now on never answered, also not later, and those that are out. False ends it.
func (d *Discovery) SetUnresponsive(on bool) {
	d.mu.Lock()
	d.unresponsive = on
	d.mu.Unlock()
	if on {
		d.StallConnections()
	}
}

// SetRawAnswer has each connection say text where an answer is due, and then nothing more. Empty ends it.
func (d *Discovery) SetRawAnswer(text string) {
	d.mu.Lock()
	d.rawAnswer = text
	d.mu.Unlock()
	d.StallConnections()
}

// Publish brings out news.
func (d *Discovery) Publish(full bool, entries ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.answer = fmt.Sprintf(`{"version":%d,"full":%t,"servers":[%s]}`, d.version, full, strings.Join(entries, ","))
	close(d.changed)
	d.changed = make(chan struct{})
}

// Version is that of the newest news.
func (d *Discovery) Version() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version
}

// RejectNext has the next call answered with a status and no list; 0: with the list.
func (d *Discovery) RejectNext(status int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rejectStatus = status
}

// takeRejection is the status that Refuse set for this call.
func (d *Discovery) takeRejection() (status int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	status, d.rejectStatus = d.rejectStatus, 0
	return status
}

func (d *Discovery) serve(c net.Conn) {
	mute := make(chan bool)
	d.mu.Lock()
	d.conns[c] = mute
	d.mu.Unlock()
	defer func() {
		c.Close()
		d.mu.Lock()
		delete(d.conns, c)
		d.mu.Unlock()
	}()
	for r := bufio.NewReader(c); ; {
		req, err := httpwire.ReadRequest(r)
		if err != nil {
			return
		}
		select {
		case d.Calls <- req.Target:
		default:
		}
		if status := d.takeRejection(); status != 0 {
			c.Write(httpwire.AppendResponse(nil, status, nil, nil, false))
			continue
		}
		out, ok := d.awaitAnswer(req.Target, mute)
		if c.Write(out); !ok { // says nothing more, and stays open until the other side leaves
			io.Copy(io.Discard, r)
			return
		}
	}
}

// awaitAnswer waits until an answer is and returns it; not ok: nothing follows it on its connection.
func (d *Discovery) awaitAnswer(target string, mute chan bool) (out []byte, ok bool) {
	var hold time.Duration
	if _, ms, watch := strings.Cut(target, "hold_ms="); watch {
		n, _ := strconv.Atoi(ms)
		hold = time.Duration(n) * time.Millisecond
	}
	over := time.After(hold)
	for {
		d.mu.Lock()
		answer, changed, held := d.answer, d.changed, strings.Contains(target, "from="+strconv.Itoa(d.version)+"&")
		nothing := fmt.Sprintf(`{"version":%d,"full":false,"servers":[]}`, d.version)
		silent, raw := d.unresponsive, d.rawAnswer
		d.mu.Unlock()
		switch {
		case silent:
			return nil, false
		case raw != "":
			return []byte(raw), false
		case !held:
			return httpwire.AppendResponse(nil, 200, nil, []byte(answer), false), true
		}
		select {
		case <-changed:
		case <-mute:
			return nil, false
		case <-over:
			return httpwire.AppendResponse(nil, 200, nil, []byte(nothing), false), true
		}
	}
}

// EndpointEntry is one line of discovery's list.
func EndpointEntry(name string, s *Store, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"a","kind":"m","cell":0,"state":%q,"weight":1,"started_ms":0}`,
		name, s.Addr, state)
}

// Client is a connection of a client.
type Client struct {
	net.Conn
	Reader *bufio.Reader
	t      *testing.T
}

// Dial connects a client that waits for nothing longer than some seconds.
func Dial(t *testing.T, addr string) *Client {
	c, err := net.DialTimeout("tcp", addr, 5*time.Second)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	return &Client{c, bufio.NewReader(c), t}
}

// gatedListener is a listener whose connections wait before each read: before tells which one it is.
type gatedListener struct {
	*net.TCPListener
	before func(c *net.TCPConn, read int)
}

type gatedConn struct {
	*net.TCPConn
	l     gatedListener
	reads int
}

func (l gatedListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &gatedConn{TCPConn: c, l: l}, nil
}

func (c *gatedConn) Read(b []byte) (int, error) {
	c.reads++
	c.l.before(c.TCPConn, c.reads)
	return c.TCPConn.Read(b)
}

// PeerClosed tells that the other side has ended its side of a connection, whether or not what came before was read.
func PeerClosed(c *net.TCPConn) (ended bool) {
	const closeWait = 8 // TCP_CLOSE_WAIT of Linux
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) {
		state, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO) // its first byte
		ended = err == nil && state&0xff == closeWait
	})
	return ended
}

// SendAndDisconnect has a server with a handle read a request once its client has left, as a process does that was held up. It
// returns when the request is over, or is waited for: what further reads there are wait until release is called.
func SendAndDisconnect(t *testing.T, handle func(*httpwire.Exchange) *httpwire.Reply, ask func(*Client)) (release func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	over, hold := make(chan struct{}), make(chan struct{})
	end := sync.OnceFunc(func() { close(over) })
	s := &httpwire.Server{Log: DiscardLog(), Handle: func(x *httpwire.Exchange) *httpwire.Reply {
		defer end()
		return handle(x)
	}}
	go s.Serve(gatedListener{l.(*net.TCPListener), func(c *net.TCPConn, read int) {
		if read == 1 {
			for late := time.Now().Add(5 * time.Second); !PeerClosed(c) && time.Now().Before(late); {
				time.Sleep(time.Millisecond)
			}
			return
		}
		end()
		<-hold
	}})
	release = sync.OnceFunc(func() { close(hold) })
	t.Cleanup(func() { release(); s.Close() })
	c := Dial(t, l.Addr().String())
	ask(c)
	c.Close()
	select {
	case <-over:
	case <-time.After(10 * time.Second):
		require.Fail(t, "the request was not read")
	}
	return release
}

// SendRequest writes a request.
func (c *Client) SendRequest(method, target, body string, header ...string) {
	var h httpwire.Header
	for i := 0; i+1 < len(header); i += 2 {
		h = append(h, httpwire.Field{Name: header[i], Value: header[i+1]})
	}
	_, err := c.Write(httpwire.AppendRequest(nil, method, target, "test", h, []byte(body)))
	require.NoError(c.t, err)
}

// ReadResponse reads a response.
func (c *Client) ReadResponse() *httpwire.Response {
	resp, err := httpwire.ReadResponse(c.Reader)
	require.NoError(c.t, err)
	return resp
}

// NextRequest is the next part that came to a store, or a failed test.
func NextRequest(t *testing.T, s *Store) string {
	select {
	case p := <-s.Requests:
		return p
	case <-time.After(5 * time.Second):
		require.Fail(t, "nothing came to the store")
		return ""
	}
}
