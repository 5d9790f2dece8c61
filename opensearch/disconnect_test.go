package opensearch

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/internal/testserver"
)

func TestClientThatDisconnectsCancelsItsSearches(t *testing.T) {
	r := startTestFront(t, 1000)
	for _, s := range r.stores {
		s.SetFault(testserver.Unresponsive)
	}
	c := r.search(t, "/catalogue/_search", `{}`)
	testserver.NextRequest(t, r.stores[0])
	c.Close()
	<-r.stores[0].Closed
}

// Guards against searches that are sent although their client has disconnected while they waited for a connection to a store.
func TestSearchesOfAClientThatDisconnectedAreNotSentOnALateConnection(t *testing.T) {
	r := startTestFront(t, 1000)
	dialing, resumeDial := make(chan struct{}, 64), make(chan struct{})
	r.pool.SetDialer(func(addr string, limit time.Duration) (net.Conn, error) {
		dialing <- struct{}{}
		<-resumeDial
		return (&net.Dialer{Timeout: limit}).Dial("tcp", addr)
	})
	c := r.search(t, "/_msearch", "{\"index\":\"catalogue\"}\n{\"size\":7}\n{\"index\":\"families\"}\n{\"size\":7}\n")
	<-dialing
	c.Close()
	require.Eventually(t, func() bool { return r.server.Connections() == 0 }, 5*time.Second, time.Millisecond)
	next := r.search(t, "/catalogue/_search", `{"size":3}`)
	close(resumeDial)
	assert.Equal(t, 200, next.ReadResponse().Status)
	for _, s := range r.stores {
		for len(s.Requests) > 0 {
			assert.NotContains(t, <-s.Requests, `"size":7`)
		}
	}
}

// Guards against searches that are sent although their client disconnected before the request was read, which can happen when
// the process was suspended.
func TestRequestReadAfterItsClientHasDisconnectedIsNotSent(t *testing.T) {
	r := startTestFront(t, 1000)
	for target, body := range map[string]string{"/catalogue/_search": `{"size":7}`, "/_msearch": "{\"index\":\"catalogue\"}\n{\"size\":7}\n"} {
		release := testserver.SendAndDisconnect(t, r.server.Handle, func(c *testserver.Client) { c.SendRequest("POST", target, body) })
		assert.Equal(t, 200, r.search(t, "/catalogue/_search", `{"size":3}`).ReadResponse().Status)
		for _, s := range r.stores {
			for len(s.Requests) > 0 {
				assert.NotContains(t, <-s.Requests, `"size":7`)
			}
		}
		release()
	}
}
