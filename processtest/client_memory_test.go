package processtest

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"alderproxy/httpwire"
)

const (
	// slowWriteDuration is the time in which a slow client writes a request: the platform's pages have some that take 2 s.
	slowWriteDuration = 2 * time.Second
	// slowWritePieces is the number of pieces in which a slow client writes a request.
	slowWritePieces = 40
)

// outcomes counts how the requests of clients ended, by status; 0 stands for a connection that was closed.
type outcomes struct {
	mu     sync.Mutex
	counts map[int]int
	late   int // neither answered nor closed in time
}

func (o *outcomes) add(status int, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.counts == nil {
		o.counts = map[int]int{}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		o.late++
		return
	}
	o.counts[status]++
}

// writeSlowly writes a request in pieces.
func writeSlowly(conn net.Conn, request []byte) {
	for piece := range slowWritePieces {
		from, to := len(request)*piece/slowWritePieces, len(request)*(piece+1)/slowWritePieces
		if _, err := conn.Write(request[from:to]); err != nil {
			return
		}
		time.Sleep(slowWriteDuration / slowWritePieces)
	}
}

// clientKind is how each of many clients writes its request.
type clientKind struct {
	name       string
	write      func(conn net.Conn, f frontUnderTest, id string)
	storesHang bool // the stores don't answer, so that the program keeps the requests
}

// clientKinds are clients that write slowly, stop half way through a request or send many short fields.
func clientKinds() []clientKind {
	shortFields := strings.Repeat("a:\r\n", httpwire.MaxHeaderLines-6)
	writing := func(request func(f frontUnderTest, id string) string) func(net.Conn, frontUnderTest, string) {
		return func(conn net.Conn, f frontUnderTest, id string) { _, _ = conn.Write([]byte(request(f, id))) }
	}
	return []clientKind{
		{name: "slow writers", write: func(conn net.Conn, f frontUnderTest, id string) { writeSlowly(conn, f.query(id, largePadding)) }},
		{name: "slow writers of small requests", write: func(conn net.Conn, f frontUnderTest, id string) { writeSlowly(conn, f.query(id, 3<<10)) }},
		{name: "half of a large request", write: writing(func(f frontUnderTest, id string) string {
			request := f.query(id, largePadding)
			return string(request[:len(request)/2])
		})},
		{name: "large requests", write: writing(func(f frontUnderTest, id string) string { return string(f.query(id, largePadding)) })},
		{name: "short fields, unfinished", write: writing(func(f frontUnderTest, _ string) string { return f.startLine + shortFields })},
		{name: "short fields, too many", write: writing(func(f frontUnderTest, _ string) string { return f.startLine + strings.Repeat("a:\n", 5400) })},
		{name: "short fields, complete", write: writing(func(f frontUnderTest, id string) string {
			return strings.Replace(string(f.query(id, 0)), "\r\n", "\r\n"+shortFields, 1)
		})},
		{name: "half of a long line", write: writing(func(f frontUnderTest, _ string) string { return f.startLine + "a: " + strings.Repeat("b", 15<<10) })},
		{name: "many tiny chunks, unfinished", write: writing(func(f frontUnderTest, _ string) string {
			return f.startLine + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\n \n", 3<<10)
		})},
		{name: "large requests to stores that hang", storesHang: true, write: writing(func(f frontUnderTest, id string) string {
			return string(f.query(id, largePadding))
		})},
		{name: "large searches of many short fields", storesHang: true, write: writing(func(frontUnderTest, string) string {
			body := `{"sort":[` + strings.Repeat(`"bb",`, 12500) + `"a"]}`
			return string(httpwire.AppendRequest(nil, "POST", "/names/_search", "test", nil, []byte(body)))
		})},
		{name: "large requests behind a small one", write: writing(func(f frontUnderTest, id string) string {
			return string(f.query(id, 0)) + string(f.query(id+"-behind", largePadding))
		})},
	}
}

// Guards against hundreds of clients that are connected at once and take the program over its limit on memory, for which the
// platform kills it: they write slowly, stop half way through a large request, or send heads of very many short fields. The
// limits and the number of clients are the extremes of the platform's pages: 32 MB, 1,024 descriptors and a third of them.
func TestManyClientsStayWithinTheMemoryLimit(t *testing.T) {
	program := buildProgram(t)
	const memoryMB, descriptors, clients = 32, 1024, 320
	for _, kind := range clientKinds() {
		t.Run(kind.name, func(t *testing.T) {
			r := startBothFronts(t, program, memoryMB, descriptors)
			go discard(r.frameStore.Requests)
			go discard(r.searchStore.Requests)
			if kind.storesHang {
				r.frameStore.HoldAnswers()
				r.searchStore.HoldAnswers()
			}
			for _, f := range r.fronts {
				ended, peakKB := r.playClients(t, f, kind, clients)
				t.Logf("%s: peak %d KB of %d, outcomes %v, late %d", f.name, peakKB, memoryMB<<10, ended.counts, ended.late)
				assert.Less(t, peakKB, memoryMB<<10, "%s: the program holds more memory than its limit, in KB", f.name)
				assert.Zero(t, ended.late, "%s: neither answered nor closed in time", f.name)
			}
			r.stop(t)
		})
	}
}

// playClients has clients of a kind send one request each at once, and returns how the requests ended and the peak of the
// program's memory.
func (r *bothFronts) playClients(t *testing.T, f frontUnderTest, kind clientKind, clients int) (ended *outcomes, peakKB int) {
	t.Helper()
	ended = &outcomes{}
	var running sync.WaitGroup
	for client := range clients {
		running.Go(func() {
			conn, err := (&net.Dialer{Timeout: badClientTimeout}).Dial("tcp", f.addr)
			if err != nil {
				ended.add(0, err)
				return
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(badClientTimeout))
			kind.write(conn, f, fmt.Sprint("c", client))
			conn.SetDeadline(time.Now().Add(badClientTimeout))
			status, _, err := readAnswer(bufio.NewReader(conn))
			ended.add(status, err)
		})
	}
	done := make(chan struct{})
	go func() {
		running.Wait()
		close(done)
	}()
	return ended, peakAnonymousMemory(t, r.process.Process.Pid, done)
}
