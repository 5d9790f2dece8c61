package opensearch

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/broker"
	"alderproxy/document"
	"alderproxy/internal/testserver"
	"alderproxy/policy"
	"alderproxy/storepool"
)

// Guards against a change of terms that does not apply to the next search, or that affects a search admitted before.
func TestTermsChangeDuringASearch(t *testing.T) {
	r := startTestFront(t, 1000)
	var release []func()
	for _, s := range r.stores {
		release = append(release, s.HoldAnswers())
	}
	pending := r.search(t, "/catalogue/_search", `{}`)
	testserver.NextRequest(t, r.stores[0])
	require.NoError(t, r.SetTerms(r.terms(t, 2, `
[layout]
slices = 2
[team sales]
[class sales/lookup]
aim = 600ms
give_up = 2s
[index sales]
class = sales/lookup
slices = 0-1
`)))
	assert.Equal(t, 404, r.search(t, "/catalogue/_search", `{}`).ReadResponse().Status, "the index has been removed")
	for _, f := range release {
		f()
	}
	assert.Equal(t, 200, pending.ReadResponse().Status)
	assert.Equal(t, 200, r.search(t, "/sales/_search", `{}`).ReadResponse().Status)
	assert.Equal(t, uint64(2), r.Version())
}

// Guards against searches that are lost or rejected because the terms change while they are parsed and submitted.
func TestSearchesWhileTermsChangeQuickly(t *testing.T) {
	// A busy machine does not reach these times; otherwise a correct 429 or 504 would fail the test.
	text := strings.NewReplacer("600ms", "20s", "2s", "30s").Replace(documentTemplate)
	r := startTestFront(t, 1000)
	require.NoError(t, r.SetTerms(r.terms(t, 1, fmt.Sprintf(text, 1000))))
	for _, s := range r.stores { // not checked, but a full channel would block the store
		go func() {
			for range s.Requests {
			}
		}()
	}
	done := make(chan map[int]int)
	for range 4 {
		go func() {
			c, statuses := testserver.Dial(t, r.Addr()), map[int]int{}
			for range 100 {
				c.SendRequest("POST", "/_msearch", "{\"index\":\"catalogue\"}\n{}\n{\"index\":\"families\"}\n{}\n")
				var response responseBody
				assert.NoError(t, json.Unmarshal(c.ReadResponse().Body, &response))
				for _, item := range response.Responses {
					statuses[item.Status]++
				}
			}
			done <- statuses
		}()
	}
	totals, version := map[int]int{}, uint64(1)
	for finished := 0; finished < 4; {
		select {
		case statuses := <-done:
			finished++
			for status, responses := range statuses {
				totals[status] += responses
			}
		case <-time.After(time.Millisecond):
			version++
			require.NoError(t, r.SetTerms(r.terms(t, version, fmt.Sprintf(text, 500+version%2))))
		}
	}
	assert.Equal(t, map[int]int{200: 800}, totals)
	assert.Greater(t, version, uint64(20), "too few changes of the terms during the searches")
}

// Guards against searches that are admitted while the gate is closed. They must be rejected at once, with a Retry-After.
func TestClosedGate(t *testing.T) {
	r := &testFront{}
	s := testserver.NewSearchStore(t, storedHits)
	r.config = &Config{Listen: "127.0.0.1:0", InstanceCount: 1, Limits: storepool.Limits{
		MaxInFlight: 1, MaxConnections: 16, ConnectTimeout: 250_000,
		IdleTimeout: 15_000_000,
	}, Stores: []storepool.Store{{Addr: s.Addr, Endpoint: policy.Endpoint{ID: 1, State: policy.Ready}}}}
	var open atomic.Bool
	open.Store(true)
	var err error
	r.Service, err = Start(r.config, r.terms(t, 3, fmt.Sprintf(documentTemplate, 10)), func(t *broker.Terms) (bool, time.Duration) {
		return open.Load() && t.Version == 3, 1500 * time.Millisecond
	}, testserver.DiscardLog())
	require.NoError(t, err)
	t.Cleanup(func() { r.server.Close(); r.broker.Close(); r.pool.Close() })
	resp := r.search(t, "/catalogue/_search", `{}`).ReadResponse()
	assert.Equal(t, 200, resp.Status)
	assert.Equal(t, "3", resp.Header.Get("X-Config-Version"))
	open.Store(false)
	resp = r.search(t, "/catalogue/_search", `{}`).ReadResponse()
	assert.Equal(t, 503, resp.Status)
	assert.Equal(t, "2", resp.Header.Get("Retry-After"))
	assert.Equal(t, "cluster_block_exception", decode(t, resp.Body).Error.Type)
	c := testserver.Dial(t, r.Addr())
	c.SendRequest("GET", "/healthz", "")
	assert.Equal(t, 503, c.ReadResponse().Status)
}

// Guards against terms that are accepted although the front cannot serve them. The error must say why.
func TestTermsThatThisFrontCannotServe(t *testing.T) {
	r := startTestFront(t, 1000)
	for text, want := range map[string]string{
		"[layout]\nslices = 2\ncells = 2\n[class a]\naim = 1s\ngive_up = 2s\n[index i]\nclass = a\nslices = 0-1\n": "index i: no store here holds slice 1",
		"[layout]\nslices = 2\n": "Classes is empty",
	} {
		d, err := document.Parse("test", text)
		require.NoError(t, err)
		_, err = r.config.Terms(1, d)
		assert.ErrorContains(t, err, want)
	}
}
