package processtest

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/httpwire"
	"alderproxy/internal/testserver"
)

func TestShutdownExitsWithStatusZero(t *testing.T) {
	s := testserver.NewFrameStore(t)
	c, _, cl, lines := startProcess(t, platformConfig(testserver.NewDiscovery(t, testserver.EndpointEntry("s-1", s, "in_service"))))
	sendLookup(cl, "q")
	assert.Equal(t, 200, cl.ReadResponse().Status)
	require.NoError(t, c.Process.Signal(syscall.SIGTERM))
	discardLog(lines)
	assert.NoError(t, c.Wait())
}

// stoppingProcess is a process with one open request, about to receive SIGTERM.
type stoppingProcess struct {
	t         *testing.T
	command   *exec.Cmd
	discovery *testserver.Discovery
	store     *testserver.Store
	release   func() // makes the store answer
}

func (p *stoppingProcess) signal(s syscall.Signal) {
	assert.NoError(p.t, p.command.Process.Signal(s))
}

var (
	served           = []int{200}
	rejectedOrFailed = []int{429, 503}
)

// shutdownScenarios are functions that each send SIGTERM at another moment and return the statuses that the open
// request may be answered with.
var shutdownScenarios = map[string]func(p *stoppingProcess) (statuses []int){
	"before the answer": func(p *stoppingProcess) []int {
		p.signal(syscall.SIGTERM)
		p.release()
		return served
	},
	"twice, with SIGHUP in between": func(p *stoppingProcess) []int {
		p.signal(syscall.SIGTERM)
		p.signal(syscall.SIGHUP)
		p.signal(syscall.SIGTERM)
		p.release()
		return served
	},
	"right after SIGHUP": func(p *stoppingProcess) []int {
		p.signal(syscall.SIGHUP)
		p.signal(syscall.SIGTERM)
		p.release()
		return served
	},
	"right after a watch event": func(p *stoppingProcess) []int {
		p.discovery.Publish(false, testserver.EndpointEntry("s-1", p.store, "terminating"))
		p.signal(syscall.SIGTERM)
		p.release()
		return served
	},
	"while discovery is unresponsive": func(p *stoppingProcess) []int {
		p.discovery.SetUnresponsive(true)
		p.signal(syscall.SIGTERM)
		p.release()
		return served
	},
	"while the store is unresponsive": func(p *stoppingProcess) []int {
		p.signal(syscall.SIGTERM)
		return rejectedOrFailed
	},
	"right before the store closes": func(p *stoppingProcess) []int {
		p.signal(syscall.SIGTERM)
		p.store.SetFault(testserver.Down)
		return rejectedOrFailed
	},
}

// Guards against a graceful shutdown that loses an accepted request at some moment. Whenever it begins, every accepted
// request gets its complete answer, which a client can also read after the process has exited, and the process exits with
// status 0 within 5 s.
func TestShutdownAtAnyMoment(t *testing.T) {
	for name, terminate := range shutdownScenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := testserver.NewFrameStore(t)
			d := testserver.NewDiscovery(t, testserver.EndpointEntry("s-1", s, "in_service"))
			c, _, cl, lines := startProcess(t, platformConfig(d))
			release := s.HoldAnswers()
			sendLookup(cl, "q1")
			testserver.NextRequest(t, s)
			_, err := cl.Write([]byte("POST /lookup HTTP/1.1\r\nConte")) // the next request is incomplete
			require.NoError(t, err)
			began := time.Now()
			want := terminate(&stoppingProcess{t: t, command: c, discovery: d, store: s, release: release})
			discardLog(lines)
			require.NoError(t, c.Wait())
			assert.Less(t, time.Since(began), 5*time.Second)
			assert.Contains(t, want, cl.ReadResponse().Status)
			if _, err := cl.Reader.Peek(1); err == nil { // the answer to the incomplete request
				assert.Equal(t, 408, cl.ReadResponse().Status)
			}
			_, err = cl.Reader.Peek(1)
			assert.ErrorIs(t, err, io.EOF, "the connection must end without a reset")
		})
	}
	t.Run("before it is ready", func(t *testing.T) {
		t.Parallel()
		d := testserver.NewDiscovery(t)
		d.SetUnresponsive(true)
		c, _ := processCommand(t, platformConfig(d))
		out, err := c.StderrPipe()
		require.NoError(t, err)
		require.NoError(t, c.Start())
		lines := bufio.NewScanner(out)
		waitForLog(t, lines, "msg=serving")
		require.NoError(t, c.Process.Signal(syscall.SIGTERM))
		discardLog(lines)
		assert.NoError(t, c.Wait())
	})
}

// Guards against requests that a graceful shutdown loses. Clients connect, keep their connections, leave them idle until the
// process closes them, and write slowly, while stores serve or fail. Every forwarded request is answered, no kept connection
// is reset, and the process exits with status 0. A request on a connection that ended with EOF before an answer was not read
// by the process, and its client retries it. At most one in two hundred requests may fail on a new connection, as the system
// may hold the connection in its accept queue when the listener closes.
func TestShutdownUnderRandomClients(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			stopUnderRandomClients(t, seed)
		})
	}
}

func stopUnderRandomClients(t *testing.T, seed uint64) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 7))
	clients := &randomClients{t: t, stopping: make(chan struct{})}
	var stores []*testserver.Store
	var list []string
	for i := range 3 {
		s := testserver.NewFrameStore(t)
		stores = append(stores, s)
		list = append(list, testserver.EndpointEntry(fmt.Sprint("s-", i), s, "in_service"))
		go clients.recordForwarded(s)
	}
	c, _, cl, lines := startProcess(t, platformConfig(testserver.NewDiscovery(t, list...)))
	go discardLog(lines)
	clients.addr = cl.RemoteAddr().String()
	for i := range 40 {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		clients.running.Go(func() { clients.run(i, r) })
	}
	time.Sleep(time.Duration(300+rng.IntN(400)) * time.Millisecond) // a random moment
	for _, s := range stores {
		s.SetFault([]testserver.Fault{testserver.None, testserver.Unresponsive, testserver.Stalled, testserver.Reset, testserver.Rejecting}[seed%5])
	}
	require.NoError(t, c.Process.Signal(syscall.SIGTERM))
	require.NoError(t, c.Wait())
	close(clients.stopping)
	clients.running.Wait()
	assert.LessOrEqual(t, clients.resets, clients.requests/200, "new connections reset, of %d requests", clients.requests)
	t.Logf("%d requests, %d new connections reset", clients.requests, clients.resets)
}

// randomClients send requests at random times and check the outcome of each.
type randomClients struct {
	t         *testing.T
	addr      string
	stopping  chan struct{}
	running   sync.WaitGroup
	forwarded sync.Map // ids of the requests that reached a store

	mu       sync.Mutex
	requests int
	resets   int // of new connections
}

func (c *randomClients) recordForwarded(s *testserver.Store) {
	for {
		select {
		case <-c.t.Context().Done():
			return
		case frame := <-s.Requests:
			id, _, _ := strings.Cut(frame[1:], ".")
			c.forwarded.Store(id, frame)
		}
	}
}

// run sends the requests of one client until it is stopped. One client in three writes slowly, and one in four opens a
// connection for each request.
func (c *randomClients) run(number int, r *rand.Rand) {
	var nc net.Conn
	var br *bufio.Reader
	for n := 0; ; n++ {
		select {
		case <-c.stopping:
			return
		default:
		}
		time.Sleep(time.Duration(r.IntN(120)) * time.Millisecond) // the interval between requests
		first := nc == nil
		if first {
			var err error
			if nc, err = (&net.Dialer{Timeout: time.Second}).Dial("tcp", c.addr); err != nil {
				nc = nil
				continue // the process has exited
			}
			br = bufio.NewReader(nc)
		}
		c.write(r, nc, lookupRequest(requestID(number, n)), number%3 == 0)
		if keep := c.read(br, requestID(number, n), first); !keep || number%4 == 1 {
			nc.Close()
			nc = nil
		}
	}
}

func requestID(client, n int) string { return fmt.Sprintf("q%d-%d", client, n) }

// write sends a request. It ignores errors, as the read that follows fails then.
func (c *randomClients) write(r *rand.Rand, nc net.Conn, request []byte, slowly bool) {
	nc.SetDeadline(time.Now().Add(10 * time.Second))
	at := 0
	if slowly {
		at = r.IntN(len(request))
		_, _ = nc.Write(request[:at])
		time.Sleep(time.Duration(r.IntN(150)) * time.Millisecond)
	}
	_, _ = nc.Write(request[at:])
}

// read reads the answer and reports whether the connection can be used again.
func (c *randomClients) read(br *bufio.Reader, id string, first bool) (keep bool) {
	resp, err := httpwire.ReadResponse(br)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	_, forwarded := c.forwarded.Load(id)
	closed := errors.Is(err, io.EOF) || errors.Is(err, syscall.EPIPE) // EPIPE follows an EOF that was not read
	switch {
	case err == nil:
		assert.Contains(c.t, []int{200, 408, 429, 502, 503, 504}, resp.Status)
	case forwarded:
		assert.Fail(c.t, "a forwarded request got no answer", "%s: %v", id, err)
	case first:
		c.resets++
	case !closed:
		assert.Fail(c.t, "a kept connection was reset", "%s: %v", id, err)
	}
	return err == nil && !resp.Close
}
