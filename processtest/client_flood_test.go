package processtest

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/httpwire"
)

const (
	// floodDuration is the time for which one client sends at full speed.
	floodDuration = time.Second
	// maxServedRate is the number of requests per second that a client may have answered which does not wait for responses.
	maxServedRate = 1000
	// floodBatch is the number of requests that the client writes at once.
	floodBatch = 100
	// floodWriteTimeout limits one write of the client, which may not wait beyond the end of the flood.
	floodWriteTimeout = 100 * time.Millisecond
	// usualTimeout is the time within which usual clients must have their responses: the deadline of their queries and the slack
	// of half a second in which the platform's pages only forget an answer.
	usualTimeout = 2500 * time.Millisecond
	// usualInterval is the time between two queries of a usual client.
	usualInterval = 20 * time.Millisecond
	// usualClients is the number of usual clients.
	usualClients = 4
)

// usualResult is what a usual client saw.
type usualResult struct {
	latencies []time.Duration // of answered queries, whatever their status
	served    int
	failed    int // neither answered nor rejected in time
}

// queryAtIntervals makes queries, each on the same connection while it stays open, until a channel is closed.
func queryAtIntervals(f frontUnderTest, name string, done <-chan struct{}) (result usualResult) {
	var conn net.Conn
	var reader *bufio.Reader
	for n := 0; ; n++ {
		select {
		case <-done:
			return result
		case <-time.After(usualInterval):
		}
		if conn == nil {
			var err error
			if conn, err = (&net.Dialer{Timeout: usualTimeout}).Dial("tcp", f.addr); err != nil {
				result.failed++
				continue
			}
			reader = bufio.NewReader(conn)
		}
		start := time.Now()
		conn.SetDeadline(start.Add(usualTimeout))
		_, err := conn.Write(f.query(fmt.Sprintf("%s-%d", name, n), 0))
		var response *httpwire.Response
		if err == nil {
			response, err = httpwire.ReadResponse(reader)
		}
		if err != nil {
			result.failed++
			conn.Close()
			conn = nil
			continue
		}
		result.latencies = append(result.latencies, time.Since(start))
		if response.Status == http.StatusOK {
			result.served++
		}
		if response.Close {
			conn.Close()
			conn = nil
		}
	}
}

// floodMode is how a client reads the responses to its flood.
type floodMode string

const (
	readsAll   floodMode = "reads all"
	readsNone  floodMode = "reads nothing"
	oneAtATime floodMode = "one at a time" // waits for each response before the next request
)

// floodResult is what a flooding client did.
type floodResult struct {
	sent, connections int
	answered          int // only counted by a client that reads
}

// flood sends requests at full speed on one connection until a channel is closed, and on a new one whenever it is closed.
func flood(addr string, request func(n int) []byte, mode floodMode, done <-chan struct{}) (result floodResult) {
	for !isClosed(done) {
		conn, err := (&net.Dialer{Timeout: usualTimeout}).Dial("tcp", addr)
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		result.connections++
		if mode == oneAtATime {
			result.floodOneAtATime(conn, request, done)
			conn.Close()
			continue
		}
		var reading sync.WaitGroup
		if mode == readsAll {
			reading.Go(func() { result.answered += countResponses(conn) })
		}
		result.floodOne(conn, request, done)
		conn.Close()
		reading.Wait()
	}
	return result
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// countResponses reads responses until the connection is closed.
func countResponses(conn net.Conn) (count int) {
	reader := bufio.NewReader(conn)
	for {
		if _, err := httpwire.ReadResponse(reader); err != nil {
			return count
		}
		count++
	}
}

// floodOneAtATime sends requests until the connection or the channel is closed, each after the response to the one before.
func (r *floodResult) floodOneAtATime(conn net.Conn, request func(n int) []byte, done <-chan struct{}) {
	reader := bufio.NewReader(conn)
	for !isClosed(done) {
		conn.SetDeadline(time.Now().Add(usualTimeout))
		if _, err := conn.Write(request(r.sent)); err != nil {
			return
		}
		r.sent++
		response, err := httpwire.ReadResponse(reader)
		if err != nil {
			return
		}
		r.answered++
		if response.Close {
			return
		}
	}
}

// floodOne sends requests without waiting for responses until the connection or the channel is closed.
func (r *floodResult) floodOne(conn net.Conn, request func(n int) []byte, done <-chan struct{}) {
	for {
		var batch []byte
		for range floodBatch {
			batch = append(batch, request(r.sent)...)
			r.sent++
		}
		for len(batch) > 0 {
			if isClosed(done) {
				return
			}
			conn.SetWriteDeadline(time.Now().Add(floodWriteTimeout))
			n, err := conn.Write(batch)
			batch = batch[n:]
			if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				return
			}
		}
	}
}

// floodKind is a kind of requests that one client sends at full speed.
type floodKind struct {
	name    string
	request func(f frontUnderTest, n int) []byte
}

// floodKinds are small or unsound requests. Those of new names have a new one each.
func floodKinds() []floodKind {
	get := func(target string) []byte { return httpwire.AppendRequest(nil, "GET", target, "test", nil, nil) }
	return []floodKind{
		{"health checks", func(frontUnderTest, int) []byte { return get("/healthz") }},
		{"unknown paths of new names", func(_ frontUnderTest, n int) []byte { return get(fmt.Sprintf("/name-%d/_search", n)) }},
		{"bodies that are no JSON", func(f frontUnderTest, n int) []byte {
			return httpwire.AppendRequest(nil, "POST", strings.Fields(f.startLine)[1], "test", httpwire.Header{
				{Name: "Request-Id", Value: fmt.Sprint("bad-", n)}, {Name: "Request-Timeout", Value: "2"},
			}, fmt.Appendf(nil, `{"name-%d":`, n))
		}},
		{"queries of new names", func(f frontUnderTest, n int) []byte { return f.query(fmt.Sprint("flood-", n), 0) }},
		{"new header names", func(f frontUnderTest, n int) []byte {
			return fmt.Appendf(nil, "%sName-%d: x\r\n\r\n", f.startLine, n)
		}},
		{"malformed requests", func(_ frontUnderTest, n int) []byte { return fmt.Appendf(nil, "name-%d\r\n\r\n", n) }},
		{"searches of 100 searches", func(_ frontUnderTest, n int) []byte {
			line := fmt.Sprintf("{\"index\":\"names\"}\n{\"query\":{\"match\":{\"name\":\"%d\"}}}\n", n)
			return httpwire.AppendRequest(nil, "POST", "/_msearch", "test", nil, []byte(strings.Repeat(line, 100)))
		}},
		{"searches of 100 unknown indices", func(_ frontUnderTest, n int) []byte {
			line := fmt.Sprintf("{\"index\":\"name-%d\"}\n{}\n", n)
			return httpwire.AppendRequest(nil, "POST", "/_msearch", "test", nil, []byte(strings.Repeat(line, 100)))
		}},
	}
}

// Guards against one client that sends small or unsound requests at full speed on one connection, also under ever new names:
// other clients must get their responses in time, and memory must not grow without end.
func TestFloodOfOneClientDelaysNoOther(t *testing.T) {
	program := buildProgram(t)
	const memoryMB, descriptors = 64, 672
	for _, kind := range floodKinds() {
		t.Run(kind.name, func(t *testing.T) {
			r := startBothFronts(t, program, memoryMB, descriptors)
			go discard(r.frameStore.Requests)
			go discard(r.searchStore.Requests)
			for _, f := range r.fronts {
				for _, mode := range []floodMode{readsAll, readsNone, oneAtATime} {
					usual, flooded, peakKB := r.playFlood(t, f, kind, mode)
					n := len(usual.latencies)
					t.Logf("%s, %s: %d requests on %d connections, %d answered; usual: %d served, %d other statuses, %d failed, "+
						"median %v, 99 %% %v, max %v; peak %d KB", f.name, mode, flooded.sent, flooded.connections, flooded.answered,
						usual.served, n-usual.served, usual.failed, usual.latencies[n/2], usual.latencies[n*99/100], usual.latencies[n-1], peakKB)
					assert.Zero(t, usual.failed, "%s, %s: usual queries without a response in time", f.name, mode)
					assert.Less(t, peakKB, memoryMB<<10, "%s, %s: the program holds more memory than its limit, in KB", f.name, mode)
					if mode == readsAll {
						limit := int((floodDuration+time.Second).Seconds()*maxServedRate) + flooded.connections
						assert.LessOrEqual(t, flooded.answered, limit, "%s: requests of a client that does not wait for responses", f.name)
					}
				}
			}
			r.stop(t)
		})
	}
}

// playFlood has one client flood a front while usual clients query it.
func (r *bothFronts) playFlood(t *testing.T, f frontUnderTest, kind floodKind, mode floodMode) (usual usualResult, flooded floodResult, peakKB int) {
	t.Helper()
	done := make(chan struct{})
	results := make(chan usualResult, usualClients)
	for client := range usualClients {
		go func() { results <- queryAtIntervals(f, fmt.Sprintf("%s-%s-%d", f.name, mode[:3], client), done) }()
	}
	time.AfterFunc(floodDuration, func() { close(done) })
	floodEnded := make(chan floodResult, 1)
	go func() {
		request := func(n int) []byte { return kind.request(f, n) }
		floodEnded <- flood(f.addr, request, mode, done)
	}()
	peakKB = peakAnonymousMemory(t, r.process.Process.Pid, done)
	for range usualClients {
		one := <-results
		usual.latencies = append(usual.latencies, one.latencies...)
		usual.served += one.served
		usual.failed += one.failed
	}
	require.NotEmpty(t, usual.latencies)
	slices.Sort(usual.latencies)
	return usual, <-floodEnded, peakKB
}
