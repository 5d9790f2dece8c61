package opensearch

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"alderproxy/broker"
	"alderproxy/httpwire"
	"alderproxy/internal/jsonscan"
)

// maxItems bounds the searches of one multi-search.
const maxItems = 100

// front answers searches.
type front struct {
	broker *broker.Broker
	ready  func() bool
	agreed bool   // answers tell the version of the agreed document
	prefix string // of query ids: no two starts of a front share one
	seq    atomic.Uint64
}

// indices are the front's part of the terms, by name.
type indices map[string]index

// index is what the configuration says of an index: the class of its queries and the slices that hold it.
type index struct {
	class  int
	slices []int
}

// target is a query's Meta: where its parts are searched.
type target struct{ index string }

// failure is an error with its status and OpenSearch's name for it.
type failure struct {
	status int
	kind   string
	err    error
	advice time.Duration // Retry-After; 0: none
}

func (f *failure) body() []byte { return appendError(nil, f.status, f.kind, f.err.Error()) }

// closed is the refusal of an instance that cannot tell that its configuration is the agreed one.
func closed(comeBack time.Duration) *failure {
	return &failure{503, "cluster_block_exception", errors.New("this instance cannot tell that its configuration is the agreed one"), comeBack}
}

func illegal(err error) *failure { return &failure{400, "illegal_argument_exception", err, 0} }

func (f *failure) reply() *httpwire.Reply {
	return &httpwire.Reply{Status: f.status, Header: retryAfter(f.advice), Body: f.body()}
}

// retryAfter is the header that says when to come back, if there is something to say.
func retryAfter(advice time.Duration) httpwire.Header {
	if advice <= 0 {
		return nil
	}
	return httpwire.Header{{Name: "Retry-After", Value: strconv.Itoa(int(math.Ceil(advice.Seconds())))}}
}

// item is one search on its way: its query, or what was wrong with it.
type item struct {
	*search
	query  *broker.Query
	answer broker.Response
	bad    *failure
	group  *group
}

// group is the searches of one request. The last answer wakes the connection.
type group struct {
	x    *httpwire.Exchange
	left atomic.Int32
}

// Respond takes an item's answer. It never blocks.
func (it *item) Respond(a broker.Response) {
	it.answer = a
	if it.group.left.Add(-1) == 0 {
		it.group.x.CancelWait()
	}
}

// handle answers one request.
func (f *front) handle(x *httpwire.Exchange) *httpwire.Reply {
	path, rawQuery, _ := strings.Cut(x.Target, "?")
	params, err := parseParams(rawQuery)
	if err != nil {
		return illegal(err).reply()
	}
	words := strings.Split(strings.Trim(path, "/"), "/")
	last := words[len(words)-1]
	switch {
	case path == "/healthz" && x.Method == http.MethodGet:
		if !f.ready() {
			return (&failure{503, "not_ready", errors.New("not ready"), 0}).reply()
		}
		return &httpwire.Reply{Status: 200, Body: []byte(`{"ready":true}`)}
	case last != "_search" && last != "_msearch" || len(words) > 2:
		return illegal(fmt.Errorf("no handler found for uri [%s] and method [%s]", path, x.Method)).reply()
	case x.Method != http.MethodGet && x.Method != http.MethodPost:
		return (&failure{405, "method_not_allowed", fmt.Errorf("method [%s] is not allowed", x.Method), 0}).reply()
	}
	name := ""
	if len(words) == 2 {
		name = words[0]
	}
	if last == "_msearch" {
		return f.multi(x, name, params)
	}
	items := f.run(x, func(t *broker.Terms) ([]*item, error) {
		return []*item{f.item(x, t, name, x.Body, params)}, nil
	})
	if items == nil {
		return nil
	}
	body, bad := f.word(x, items[0])
	if bad != nil {
		reply := bad.reply()
		reply.Header = append(reply.Header, f.version(items)...)
		return reply
	}
	return &httpwire.Reply{Status: 200, Header: f.version(items), Body: body}
}

// version is the header that tells by which version of the agreed document a request was answered.
func (f *front) version(items []*item) httpwire.Header {
	if !f.agreed || len(items) == 0 || items[0].bad != nil || items[0].answer.Version == 0 {
		return nil
	}
	return httpwire.Header{{Name: "X-Config-Version", Value: strconv.FormatUint(items[0].answer.Version, 10)}}
}

func parseParams(raw string) (map[string]string, error) {
	values, err := url.ParseQuery(raw)
	if err != nil {
		return nil, fmt.Errorf("parameters: %w", err)
	}
	params := map[string]string{}
	for name, v := range values {
		if params[name] = v[0]; len(v) > 1 {
			return nil, fmt.Errorf("parameter [%s] comes twice", name)
		}
	}
	return params, nil
}

// item makes a query of a search, or says what is wrong with it.
func (f *front) item(x *httpwire.Exchange, t *broker.Terms, name string, body []byte, params map[string]string) *item {
	it := &item{}
	if f.agreed && t.Version == 0 { // nothing is agreed on yet: nobody can tell what exists
		it.bad = closed(time.Second)
		return it
	}
	ix := t.FrontData.(indices)[name]
	if len(ix.slices) == 0 {
		it.bad = &failure{404, "index_not_found_exception", fmt.Errorf("no such index [%s]", name), 0}
		return it
	}
	var err error
	if it.search, err = parseSearch(body, params); err != nil {
		kind := "parsing_exception"
		if errors.Is(err, errUnsupported) {
			kind = "illegal_argument_exception"
		}
		it.bad = &failure{400, kind, err, 0}
		return it
	}
	wait := time.Duration(t.Settings.Classes[ix.class].Timeout) * time.Microsecond
	if it.timeout > 0 {
		wait = min(wait, it.timeout)
	}
	it.query = &broker.Query{
		ID: f.prefix + strconv.FormatUint(f.seq.Add(1), 10), Class: ix.class, Payload: it.body,
		Deadline: x.Start.Add(wait), FrontData: &target{name}, Responder: it, Terms: t,
	}
	for _, s := range ix.slices {
		it.query.Parts = append(it.query.Parts, broker.Part{Shard: s, Weight: 1 / float64(len(ix.slices))})
	}
	return it
}

// run has the request read by the terms of the moment, submits its items and waits until all are answered. Where the
// terms changed on the way, so that the broker would not take an item as it was read, that one is read again. Nil, and
// no error: the client has left.
func (f *front) run(x *httpwire.Exchange, read func(*broker.Terms) ([]*item, error)) []*item {
	items, _ := read(f.broker.Terms())
	for {
		g := &group{x: x}
		var out []*item
		for _, it := range items {
			if it.bad == nil && (it.group == nil || it.answer.StaleTerms) {
				it.group = g
				out = append(out, it)
			}
		}
		if len(out) == 0 {
			return items
		}
		if x.ClientGone() {
			return nil
		}
		g.left.Store(int32(len(out)))
		var queries []*broker.Query
		for _, it := range out {
			queries = append(queries, it.query)
			if !f.broker.Submit(it.query) {
				it.Respond(broker.Response{Status: broker.Rejected})
			}
		}
		if x.AwaitClientGone() {
			f.broker.Cancel(queries...)
			return nil
		}
		if !slices.ContainsFunc(out, func(it *item) bool { return it.answer.StaleTerms }) {
			return items
		}
		x.ResetWait()
		again, _ := read(f.broker.Terms())
		for i, it := range items {
			if it.bad == nil && it.answer.StaleTerms {
				items[i] = again[i]
			}
		}
	}
}

// word puts an item's answer into words.
func (f *front) word(x *httpwire.Exchange, it *item) ([]byte, *failure) {
	a := it.answer
	switch {
	case it.bad != nil:
		return nil, it.bad
	case a.Status == broker.Served:
		body, err := it.merge(a.Parts, len(it.query.Parts), time.Since(x.Start).Milliseconds())
		if err != nil {
			return nil, &failure{502, "search_phase_execution_exception", err, 0}
		}
		return body, nil
	case a.GateClosed:
		return nil, closed(a.RetryAfter)
	case a.DeadlineExceeded:
		return nil, &failure{504, "timeout_exception", errors.New("the query's time was up before all parts were in"), a.RetryAfter}
	case a.PartsFailed:
		return nil, &failure{503, "search_phase_execution_exception", errors.New("parts of the query are lost"), a.RetryAfter}
	case a.Status == broker.Rejected:
		return nil, &failure{429, "rejected_execution_exception", errors.New("the broker takes no more queries now"), a.RetryAfter}
	}
	return nil, &failure{503, "search_phase_execution_exception", errors.New("the query failed"), 0}
}

// multi answers a multi-search: each item has a class, a query, limits and a status of its own.
func (f *front) multi(x *httpwire.Exchange, name string, params map[string]string) *httpwire.Reply {
	for key := range params {
		if key != "pretty" && key != "human" && key != "typed_keys" {
			return illegal(unsupported("parameter " + key)).reply()
		}
	}
	if _, err := f.items(x, f.broker.Terms(), name); err != nil {
		return (&failure{400, "parse_exception", err, 0}).reply()
	}
	items := f.run(x, func(t *broker.Terms) ([]*item, error) { return f.items(x, t, name) })
	if items == nil {
		return nil
	}
	out := []byte(nil)
	var advice time.Duration
	for i, it := range items {
		if i > 0 {
			out = append(out, ',')
		}
		body, bad := f.word(x, it)
		if bad != nil {
			advice = max(advice, bad.advice)
			out = append(out, bad.body()...)
			continue
		}
		out = append(append(out, body[:len(body)-1]...), `,"status":200}`...)
	}
	body := fmt.Appendf(nil, `{"took":%d,"responses":[%s]}`, time.Since(x.Start).Milliseconds(), out)
	return &httpwire.Reply{Status: 200, Header: append(retryAfter(advice), f.version(items)...), Body: body}
}

// items reads pairs of lines: a header that names the index, then a body.
func (f *front) items(x *httpwire.Exchange, t *broker.Terms, name string) ([]*item, error) {
	if !bytes.HasSuffix(x.Body, []byte("\n")) {
		return nil, errors.New("The msearch request must be terminated by a newline [\\n]")
	}
	lines := bytes.Split(bytes.TrimSuffix(x.Body, []byte("\n")), []byte("\n"))
	if len(lines)%2 != 0 {
		return nil, errors.New("a header line without a search")
	}
	if len(lines)/2 > maxItems {
		return nil, fmt.Errorf("%d searches, at most %d", len(lines)/2, maxItems)
	}
	var items []*item
	for i := 0; i < len(lines); i += 2 {
		own, ignored := name, error(nil)
		if head := bytes.TrimSpace(lines[i]); len(head) > 0 {
			err := jsonscan.Object(head, func(key string, raw []byte) (err error) {
				if key != "index" {
					ignored = unsupported("header " + key)
					return nil
				}
				if raw[0] == '[' {
					n := 0
					return jsonscan.Array(raw, func(raw []byte) (err error) {
						if n++; n > 1 {
							ignored = unsupported("more than one index")
						}
						own, err = jsonscan.String(raw)
						return err
					})
				}
				own, err = jsonscan.String(raw)
				return err
			})
			if err != nil {
				return nil, fmt.Errorf("header of search %d: %w", i/2, err)
			}
		}
		if err := jsonscan.Valid(lines[i+1]); err != nil {
			return nil, fmt.Errorf("search %d: %w", i/2, err)
		}
		it := f.item(x, t, own, lines[i+1], nil)
		if ignored != nil {
			it.bad = illegal(ignored)
		}
		items = append(items, it)
	}
	return items, nil
}
