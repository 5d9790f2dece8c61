package processtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
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

// lateAttemptDelay is the time after a client's close from which no attempt may begin for it, by the platform's pages.
const lateAttemptDelay = 100 * time.Millisecond

// receivedRequests records what a store receives.
type receivedRequests struct {
	mu       sync.Mutex
	requests []receivedRequest
}

type receivedRequest struct {
	text string
	at   time.Time
}

// recordRequests records what a store receives from now on.
func recordRequests(s *testserver.Store) *receivedRequests {
	r := &receivedRequests{}
	go func() {
		for text := range s.Requests {
			r.mu.Lock()
			r.requests = append(r.requests, receivedRequest{text, time.Now()})
			r.mu.Unlock()
		}
	}()
	return r
}

// containing returns the requests that contain a text.
func (r *receivedRequests) containing(text string) (found []receivedRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, request := range r.requests {
		if strings.Contains(request.text, text) {
			found = append(found, request)
		}
	}
	return found
}

// Guards against requests that are sent on to stores although their client has closed its connection, with much of what it sent
// still unread. The process is suspended meanwhile, as a busy machine does.
func TestRequestsOfAClientThatClosedWithMuchUnreadAreNotSent(t *testing.T) {
	program := buildProgram(t)
	r := startBothFronts(t, program, 64, 672)
	for _, f := range r.fronts {
		received := recordRequests(f.store)
		for _, c := range []struct {
			name              string
			requests, padding int
		}{
			{"one request", 1, 0},
			{"some small requests", 10, 0},
			{"more small requests than a buffer holds", 100, 0},
			{"a megabyte of small requests", 6000, 0},
			{"large requests", 3, largePadding},
			{"many large requests", 60, largePadding},
		} {
			t.Run(f.name+"/"+c.name, func(t *testing.T) {
				require.NoError(t, r.process.Process.Signal(syscall.SIGSTOP))
				require.Eventually(t, func() bool { return allThreadsStopped(t, r.process.Process.Pid) }, 5*time.Second, time.Millisecond)
				marker := fmt.Sprintf("left-%d-%d", c.requests, c.padding)
				var sent []byte
				for n := range c.requests {
					sent = append(sent, f.query(fmt.Sprintf("%s-%d", marker, n), c.padding)...)
				}
				client := testserver.Dial(t, f.addr)
				written := make(chan struct{})
				go func() { // what the receiving side has no room for stays in the system until it has
					defer close(written)
					_, _ = client.Write(sent)
				}()
				select {
				case <-written:
				case <-time.After(300 * time.Millisecond):
				}
				require.NoError(t, client.Close())
				<-written
				closedAt := time.Now()
				time.Sleep(2 * lateAttemptDelay)
				require.NoError(t, r.process.Process.Signal(syscall.SIGCONT))
				usual := testserver.Dial(t, f.addr)
				for n := range 20 {
					_, err := usual.Write(f.query(fmt.Sprintf("usual-%d-%d-%d", c.requests, c.padding, n), 0))
					require.NoError(t, err)
					assert.Equal(t, 200, usual.ReadResponse().Status)
				}
				late := 0
				for _, request := range received.containing(marker + "-") {
					if request.at.Sub(closedAt) > lateAttemptDelay {
						late++
					}
				}
				t.Logf("%d bytes sent, %d requests sent on after the close", len(sent), late)
				assert.Zero(t, late, "requests sent on after their client has closed")
			})
		}
	}
	r.stop(t)
}

// Guards against an ID that runs twice: its client leaves while an attempt is at a store, and the same ID comes again.
func TestIDOfAClientThatHasLeftDoesNotRunTwice(t *testing.T) {
	r := startBothFronts(t, buildProgram(t), 64, 672)
	release := r.frameStore.HoldAnswers()
	defer release()
	received := recordRequests(r.frameStore)
	const id = "left"
	for attempt := range 3 {
		client := testserver.Dial(t, r.fronts[0].addr)
		_, err := client.Write(lookupOfClass("assign", id, "x"))
		require.NoError(t, err)
		if attempt == 0 {
			require.Eventually(t, func() bool { return len(received.containing("1"+id+".0 ")) > 0 }, 5*time.Second, time.Millisecond)
		} else {
			assert.Equal(t, 409, client.ReadResponse().Status)
		}
		client.Close()
		if attempt == 0 { // the store is told that the client has left
			require.Eventually(t, func() bool { return len(received.containing("2"+id+".0")) > 0 }, 5*time.Second, time.Millisecond)
		}
	}
	release()
	r.stop(t)
	assert.Len(t, received.containing("1"+id+".0 "), 1, "the store got the same ID more than once")
}

// The OpenSearch front makes the IDs of parts itself: a client that leaves and comes again with the same X-Opaque-Id must not
// have a part with the same ID as before.
func TestSearchOfAClientThatHasLeftGetsAnotherID(t *testing.T) {
	ids := make(chan string, 16)
	store := testserver.NewStore(t, func(conn net.Conn) {
		if request, err := httpwire.ReadRequest(bufio.NewReader(conn)); err == nil {
			ids <- request.Header.Get("X-Opaque-Id")
		}
		_, _ = io.Copy(io.Discard, conn) // never answers
	})
	r := startBothFrontsWith(t, buildProgram(t), 64, 672, store)
	seen := map[string]bool{}
	for range 3 {
		client := testserver.Dial(t, r.fronts[1].addr)
		client.SendRequest("POST", "/names/_search", "{}", "X-Opaque-Id", "left")
		select {
		case id := <-ids:
			assert.False(t, seen[id], "the store got the same ID more than once")
			seen[id] = true
		case <-time.After(5 * time.Second):
			require.Fail(t, "the search did not reach the store")
		}
		client.Close()
	}
	r.stop(t)
}
