package opensearch

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"

	"alderproxy/broker"
	"alderproxy/httpwire"
)

// front answers the requests of clients.
type front struct {
	broker           *broker.Broker
	ready            func() bool
	replicatedConfig bool   // the terms come from the replicated configuration; responses name its version
	queryIDPrefix    string // differs between any two starts of the front
	lastQueryNumber  atomic.Uint64
}

// indices maps the names of the indices that can be searched to their configuration. It is the FrontData of the broker's terms.
type indices map[string]index

// index is the configuration of one index: the class of its queries and the shards that hold it.
type index struct {
	class  int
	shards []int
}

// searchTarget is the FrontData of a query: the name of the index that its parts search.
type searchTarget struct{ index string }

// handle answers one request.
func (f *front) handle(x *httpwire.Exchange) *httpwire.Reply {
	path, rawQuery, _ := strings.Cut(x.Target, "?")
	params, err := parseParams(rawQuery)
	if err != nil {
		return illegalArgument(err).reply()
	}
	segments := strings.Split(strings.Trim(path, "/"), "/")
	operation := segments[len(segments)-1]
	switch {
	case path == "/healthz" && x.Method == http.MethodGet:
		return f.handleHealthCheck()
	case operation != "_search" && operation != "_msearch" || len(segments) > 2:
		return illegalArgument(fmt.Errorf("no handler found for uri [%s] and method [%s]", path, x.Method)).reply()
	case x.Method != http.MethodGet && x.Method != http.MethodPost:
		return newError(http.StatusMethodNotAllowed, errorTypeMethodNotAllowed, fmt.Errorf("method [%s] is not allowed", x.Method)).reply()
	}
	indexName := ""
	if len(segments) == 2 {
		indexName = segments[0]
	}
	if operation == "_msearch" {
		return f.handleMultiSearch(x, indexName, params)
	}
	return f.handleSearch(x, indexName, params)
}

func (f *front) handleHealthCheck() *httpwire.Reply {
	if !f.ready() {
		return newError(http.StatusServiceUnavailable, errorTypeNotReady, errors.New("not ready")).reply()
	}
	return &httpwire.Reply{Status: http.StatusOK, Body: []byte(`{"ready":true}`)}
}

// handleSearch answers a single search.
func (f *front) handleSearch(x *httpwire.Exchange, indexName string, params map[string]string) *httpwire.Reply {
	items := f.submitAndWait(x, func(t *broker.Terms) ([]*searchItem, error) {
		return []*searchItem{f.newItem(x, t, indexName, x.Body, params)}, nil
	})
	if items == nil {
		return nil
	}
	body, failure := f.render(x, items[0])
	if failure != nil {
		reply := failure.reply()
		reply.Header = append(reply.Header, f.versionHeader(items)...)
		return reply
	}
	return &httpwire.Reply{Status: http.StatusOK, Header: f.versionHeader(items), Body: body}
}

// versionHeader returns the header with the version of the replicated configuration by which a request was answered. It is that
// of the first search's response. The result is nil if there is none.
func (f *front) versionHeader(items []*searchItem) httpwire.Header {
	if !f.replicatedConfig || len(items) == 0 || items[0].failure != nil || items[0].response.Version == 0 {
		return nil
	}
	return httpwire.Header{{Name: "X-Config-Version", Value: strconv.FormatUint(items[0].response.Version, 10)}}
}

// parseParams returns the parameters of a URL's query string, and an error if one of them is repeated.
func parseParams(raw string) (map[string]string, error) {
	parsed, err := url.ParseQuery(raw)
	if err != nil {
		return nil, fmt.Errorf("parameters: %w", err)
	}
	params := map[string]string{}
	for name, values := range parsed {
		if len(values) > 1 {
			return nil, fmt.Errorf("parameter [%s] comes twice", name)
		}
		params[name] = values[0]
	}
	return params, nil
}
