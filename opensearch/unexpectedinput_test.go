package opensearch

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"unicode/utf8"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/httpwire"
	"alderproxy/internal/jsonscan"
	"alderproxy/internal/testserver"
)

// hitFor returns the response to a search with one hit of a size, which names the search.
func hitFor(search *httpwire.Request, size int, header httpwire.Header) []byte {
	name, _, _ := strings.Cut(strings.TrimPrefix(string(search.Body), `{"query":{"match":{"name":"`), `"`)
	body := fmt.Sprintf(`{"timed_out":false,"_shards":{"total":1,"failed":0},"hits":{"hits":[{"_id":%q,"_score":1,"text":%q}]}}`,
		name, strings.Repeat("x", size))
	return httpwire.AppendResponse(nil, http.StatusOK, header, []byte(body), false)
}

// Guards against bytes right behind a store's answer, such as a second copy of it, that are taken for the answer to the next
// search on the connection: clients would get hits that were made for others.
func TestBytesBehindAnAnswerReachNoOtherSearch(t *testing.T) {
	const small, large = 10, 20 << 10 // in and around the read buffer of the connection
	wholeCopy := func(answer []byte) (atOnce, later []byte) { return answer, nil }
	halfCopy := func(answer []byte) (atOnce, later []byte) { return answer[:len(answer)/2], answer[len(answer)/2:] }
	lateCopy := func(answer []byte) (atOnce, later []byte) { return nil, answer }
	noise := func([]byte) (atOnce, later []byte) { return []byte("HTTP/1.1 2"), []byte("00 OK\r\n\r\n") }
	for _, c := range []struct {
		name   string
		size   int
		echoes bool // the store sends the X-Opaque-Id back
		behind func(answer []byte) (atOnce, later []byte)
	}{
		{"whole copy of a small answer", small, false, wholeCopy},
		{"whole copy of a large answer", large, false, wholeCopy},
		{"half a copy of a small answer", small, false, halfCopy},
		{"half a copy of a large answer", large, false, halfCopy},
		{"copy behind the next search, with an ID", small, true, lateCopy},
		{"beginning of an answer", large, false, noise},
	} {
		t.Run(c.name, func(t *testing.T) {
			var connections atomic.Int64
			store := testserver.NewStore(t, func(conn net.Conn) {
				isFirst := connections.Add(1) == 1
				reader := bufio.NewReader(conn)
				var later []byte
				for {
					request, err := httpwire.ReadRequest(reader)
					if err != nil {
						return
					}
					var header httpwire.Header
					if c.echoes {
						header = httpwire.Header{{Name: "x-opaque-id", Value: request.Header.Get("X-Opaque-Id")}}
					}
					answer := hitFor(request, c.size, header)
					var atOnce []byte
					sent := slices.Concat(later, answer)
					if isFirst && later == nil {
						atOnce, later = c.behind(answer)
						sent = append(sent, atOnce...)
					}
					_, _ = conn.Write(sent)
				}
			})
			r := startFront(t, documentOfOneShard, store)
			for i := range 20 {
				name := fmt.Sprintf("search-%d", i)
				resp := r.search(t, "/names/_search", fmt.Sprintf(`{"query":{"match":{"name":%q}}}`, name)).ReadResponse()
				if assert.Equal(t, 200, resp.Status) {
					assert.Equal(t, name, decode(t, resp.Body).ids(), "the hits were made for another search")
				}
			}
		})
	}
}

// Guards against noise in a store's hits that reaches a client: its response would not be JSON. The search of that part must
// be retried at the other store.
func TestHitThatIsNotUTF8ReachesNoClient(t *testing.T) {
	r := startTestFront(t, 1000)
	r.stores[0].SetFault(testserver.NotUTF8)
	for range 10 {
		resp := r.search(t, "/catalogue/_search", `{}`).ReadResponse()
		assert.Equal(t, 200, resp.Status)
		assert.True(t, utf8.Valid(resp.Body), "%q", resp.Body)
		assert.Equal(t, "acbd", decode(t, resp.Body).ids())
	}
}

// Guards against a search that is no JSON and reaches the stores. Escapes that are only forwarded must keep their bytes, whatever
// they stand for.
func TestSearchThatIsNotUTF8ReachesNoStore(t *testing.T) {
	store := testserver.NewSearchStore(t, storedHits)
	r := startFront(t, documentOfOneShard, store)
	for _, c := range []struct{ target, body string }{
		{"/names/_search", "{\"query\":{\"match\":{\"name\":\"\xff\"}}}"},
		{"/names/_search", "{\"query\":{\"match\":{\"\xff\":1}}}"},
		{"/names/_search", "{\"\xff\":1}"},
		{"/names/_search", `{"timeout":"1s\ud83d"}`},
		{"/names/_search", `{"sort":["\ud83d"]}`},
		{"/names/_search", `{"sort":[{"\ud83d":"asc"}]}`},
		{"/_msearch", "{\"index\":\"names\"}\n{\"query\":{\"match\":{\"name\":\"\xff\"}}}\n"},
		{"/_msearch", "{\"index\":\"names\",\"x\":\"\xff\"}\n{}\n"},
		{"/_msearch", "{\"index\":\"names\\ud83d\"}\n{}\n"},
	} {
		assert.Equal(t, 400, r.search(t, c.target, c.body).ReadResponse().Status, "%q", c.body)
	}
	assert.Empty(t, store.Requests)
	query := `{"match":{"n\ud83d":"ß\u00df\ud83d\\"}}`
	assert.Equal(t, 200, r.search(t, "/names/_search", `{"query":`+query+`}`).ReadResponse().Status)
	assert.Contains(t, testserver.NextRequest(t, store), query)
}

// Guards against a sort value that cannot be decoded: its hit would have no place in the order.
func TestSortValueThatStandsForNoText(t *testing.T) {
	result := `{"_shards":{"failed":0},"hits":{"hits":[{"sort":["%s"]}]}}`
	_, err := parseResult(fmt.Appendf(nil, result, `\ud83d\ude00`))
	require.NoError(t, err)
	_, err = parseResult(fmt.Appendf(nil, result, `\ud83d`))
	require.ErrorIs(t, err, jsonscan.ErrSyntax)
}
