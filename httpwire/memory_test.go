package httpwire_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/httpwire"
	"alderproxy/internal/testserver"
)

const (
	// memoryLimit is the limit of the tests: a few bodies of the maximum size.
	memoryLimit = 256 << 10
	// releaseTimeout limits the wait for the release of memory.
	releaseTimeout = 10 * time.Second
)

// unfinishedRequests are requests that lack their last byte. Each takes far more memory than a usual request.
var unfinishedRequests = map[string]string{
	"body": fmt.Sprintf("POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", httpwire.MaxBody, strings.Repeat(" ", httpwire.MaxBody-1)),
	"chunked body": "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" +
		strings.Repeat(fmt.Sprintf("400\r\n%s\r\n", strings.Repeat(" ", 0x400)), 60),
	"long header lines": "POST / HTTP/1.1\r\n" + strings.Repeat(fmt.Sprintf("a: %s\n", strings.Repeat("b", 1000)), 16),
}

// Guards against clients that stop in the middle of their requests and thereby take the process over its limit on memory: at
// the limit, the request that has been read for the longest time must get a 429, and usual clients must be served.
func TestUnfinishedRequestsAreEvictedAtTheMemoryLimit(t *testing.T) {
	for name, text := range unfinishedRequests {
		t.Run(name, func(t *testing.T) {
			memory := httpwire.NewRequestMemory(memoryLimit)
			addr, _, _ := startServer(t, &httpwire.Server{Memory: memory})
			var clients []*testserver.Client
			for range 40 {
				c := testserver.Dial(t, addr)
				write(t, c, text)
				clients = append(clients, c)
			}
			first := clients[0].ReadResponse()
			assert.Equal(t, 429, first.Status)
			assert.Equal(t, "1", first.Header.Get("Retry-After"))
			assert.True(t, first.Close, "the connection stays open")
			assert.LessOrEqual(t, memory.ReservedBytes(), int64(memoryLimit))
			c := testserver.Dial(t, addr)
			assert.Equal(t, 200, requestStatus(c, "/"), "a small request is not served")
			c.SendRequest("POST", "/", strings.Repeat("x", httpwire.MaxBody))
			assert.Equal(t, 200, c.ReadResponse().Status, "a complete large request is not served")
			for _, c := range clients {
				c.Close()
			}
			assert.Eventually(t, func() bool { return memory.ReservedBytes() == 0 }, releaseTimeout, time.Millisecond,
				"the memory of ended requests stays reserved")
		})
	}
}

// Guards against the eviction of a request that awaits its response. If such requests hold all memory, a new large one is
// rejected with a 429, and small ones are served.
func TestOpenRequestIsNotEvictedAtTheMemoryLimit(t *testing.T) {
	addr, release, disconnects := startServer(t, &httpwire.Server{Memory: httpwire.NewRequestMemory(100 << 10)})
	open := testserver.Dial(t, addr)
	open.SendRequest("POST", "/wait", strings.Repeat("x", httpwire.MaxBody))
	<-disconnects
	rejected := testserver.Dial(t, addr)
	rejected.SendRequest("POST", "/", strings.Repeat("x", httpwire.MaxBody))
	assert.Equal(t, 429, rejected.ReadResponse().Status)
	assert.Equal(t, 200, requestStatus(testserver.Dial(t, addr), "/"))
	close(release)
	require.Equal(t, 200, open.ReadResponse().Status)
	open.SendRequest("POST", "/", strings.Repeat("x", httpwire.MaxBody))
	assert.Equal(t, 200, open.ReadResponse().Status, "the connection cannot be used any longer")
}

// Guards against a limit on memory that stays in force after it was raised.
func TestMemoryLimitCanBeRaised(t *testing.T) {
	memory := httpwire.NewRequestMemory(0)
	addr, _, _ := startServer(t, &httpwire.Server{Memory: memory})
	for limit, want := range map[int64]int{0: 429, memoryLimit: 200} {
		memory.SetLimit(limit)
		c := testserver.Dial(t, addr)
		c.SendRequest("POST", "/", strings.Repeat("x", httpwire.MaxBody))
		assert.Equal(t, want, c.ReadResponse().Status)
	}
}
