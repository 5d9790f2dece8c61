package processtest

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
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

const (
	// unfinishedRounds is the number of requests that each client of these tests leaves unfinished.
	unfinishedRounds = 3
	// badClientTimeout is the time within which the platform's pages owe a bad client an error or a close.
	badClientTimeout = 3 * time.Second
	// memorySampleInterval is the time between two looks at the memory of the program.
	memorySampleInterval = 20 * time.Millisecond
)

// Guards against clients that stop in the middle of a request and thereby take the program over its limit on memory, for which
// the platform kills it. The limits and the numbers of clients are within those of the platform's pages: clients hold at most a
// third of the descriptors.
func TestUnfinishedRequestsStayWithinTheMemoryLimit(t *testing.T) {
	program := buildProgram(t)
	const startLine, chunkSize = "POST /lookup HTTP/1.1\r\n", 1 << 10
	bodyLength := httpwire.MaxBody - 1000
	chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkSize, strings.Repeat(" ", chunkSize))
	for name, c := range map[string]struct {
		memoryMB, sockets, clients int
		request                    string
	}{
		"many header lines": {
			memoryMB: 64, sockets: 672, clients: 200,
			request: fmt.Sprintf("%sContent-Length: %d\r\n%s\r\n%s", startLine, bodyLength,
				strings.Repeat("a:\n", 5200), strings.Repeat(" ", bodyLength-1)),
		},
		"chunked bodies behind long header lines": {
			memoryMB: 32, sockets: 1024, clients: 320,
			request: startLine + strings.Repeat("a: "+strings.Repeat("b", 1000)+"\n", 15) +
				"Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, bodyLength/chunkSize),
		},
	} {
		t.Run(name, func(t *testing.T) {
			store := testserver.NewFrameStore(t)
			go discard(store.Requests)
			d := testserver.NewDiscovery(t, testserver.EndpointEntry("s-0", store, "in_service"))
			limits := fmt.Sprintf(`"limits":{"cores":1,"memory_mb":%d,"sockets":%d},"settings":`, c.memoryMB, c.sockets)
			process, addr := startProgram(t, program, strings.Replace(platformConfig(d), `"settings":`, limits, 1))
			errs := make(chan error, c.clients+1)
			done := make(chan struct{})
			var badClients, usualClient sync.WaitGroup
			for range c.clients {
				badClients.Go(func() { errs <- leaveRequestsUnfinished(addr, c.request) })
			}
			served := 0
			usualClient.Go(func() {
				var err error
				served, err = queryUntil(addr, done)
				errs <- err
			})
			go func() {
				badClients.Wait()
				close(done)
			}()
			peakKB := peakAnonymousMemory(t, process.Process.Pid, done)
			usualClient.Wait()
			close(errs)
			for err := range errs {
				require.NoError(t, err)
			}
			assert.Positive(t, served, "no query was served")
			t.Logf("peak of the program's memory: %d KB of %d", peakKB, c.memoryMB<<10)
			assert.Less(t, peakKB, c.memoryMB<<10, "the program holds more memory than its limit, in KB")
			require.NoError(t, process.Process.Signal(syscall.SIGTERM))
			assert.NoError(t, process.Wait())
		})
	}
}

// buildProgram builds the program without the race detector, which takes several times as much memory.
func buildProgram(t *testing.T) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "alderproxy")
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", path, "../cmd/alderproxy").CombinedOutput()
	require.NoError(t, err, "%s", out)
	return path
}

// startProgram starts a built program and returns it with the address of its platform front.
func startProgram(t *testing.T, path, config string) (process *exec.Cmd, addr string) {
	t.Helper()
	process, _ = processCommand(t, config)
	process.Path, process.Args = path, []string{path}
	client, log := startCommand(t, process)
	go discardLog(log)
	return process, client.RemoteAddr().String()
}

// errNotEnded means that a bad client got neither an error nor a close in time.
var errNotEnded = errors.New("the program neither answered nor closed the connection in time")

// leaveRequestsUnfinished sends a request that lacks its end, waits for an error or a close, and repeats that.
func leaveRequestsUnfinished(addr, request string) error {
	for range unfinishedRounds {
		conn, err := (&net.Dialer{Timeout: badClientTimeout}).Dial("tcp", addr)
		if err != nil {
			return err
		}
		conn.SetDeadline(time.Now().Add(badClientTimeout))
		_, _ = conn.Write([]byte(request)) // fails if the program closes the connection, which the read reports too
		_, err = conn.Read(make([]byte, 1))
		conn.Close()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return errNotEnded
		}
	}
	return nil
}

// queryUntil makes queries until a channel is closed. It returns how many were served, and an error if one got no response.
func queryUntil(addr string, done <-chan struct{}) (served int, err error) {
	for n := 0; ; n++ {
		select {
		case <-done:
			return served, nil
		default:
		}
		status, _, err := sendOnce(addr, lookupRequest(fmt.Sprint("usual-", n)))
		if err != nil {
			return served, fmt.Errorf("query %d got no response: %w", n, err)
		}
		if status == http.StatusOK {
			served++
		}
	}
}

var anonymousMemoryPattern = regexp.MustCompile(`RssAnon:\s+(\d+) kB`)

// peakAnonymousMemory returns the peak of a process's anonymous memory in KB until a channel is closed.
func peakAnonymousMemory(t *testing.T, pid int, done <-chan struct{}) (peakKB int) {
	t.Helper()
	for {
		peakKB = max(peakKB, anonymousMemoryKB(t, pid))
		select {
		case <-done:
			return peakKB
		case <-time.After(memorySampleInterval):
		}
	}
}
