package opensearch

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"time"

	"alderproxy/broker"
	"alderproxy/httpwire"
	"alderproxy/internal/jsonscan"
)

// maxSearches is the maximum number of searches in one multi-search.
const maxSearches = 100

// handleMultiSearch answers a multi-search. Each of its searches is a query of its own, with its own class, admission and
// status.
func (f *front) handleMultiSearch(x *httpwire.Exchange, indexName string, params map[string]string) *httpwire.Reply {
	for key := range params {
		if key != "pretty" && key != "human" && key != "typed_keys" {
			return illegalArgument(unsupported("parameter " + key)).reply()
		}
	}
	if _, err := f.parseMultiSearch(x, f.broker.Terms(), indexName); err != nil {
		return newError(http.StatusBadRequest, errorTypeParse, err).reply()
	}
	items := f.submitAndWait(x, func(t *broker.Terms) ([]*searchItem, error) { return f.parseMultiSearch(x, t, indexName) })
	if items == nil {
		return nil
	}
	var responses []byte
	var retryAfter time.Duration
	for i, it := range items {
		if i > 0 {
			responses = append(responses, ',')
		}
		body, failure := f.render(x, it)
		if failure != nil {
			retryAfter = max(retryAfter, failure.retryAfter)
			responses = append(responses, failure.body()...)
			continue
		}
		responses = append(responses, body[:len(body)-1]...)
		responses = append(responses, `,"status":200}`...)
	}
	body := fmt.Appendf(nil, `{"took":%d,"responses":[%s]}`, time.Since(x.Start).Milliseconds(), responses)
	return &httpwire.Reply{Status: http.StatusOK, Header: append(retryAfterHeader(retryAfter), f.versionHeader(items)...), Body: body}
}

// parseMultiSearch parses the body of a multi-search, which is pairs of lines: a header that may name the index, and a search
// body.
func (f *front) parseMultiSearch(x *httpwire.Exchange, t *broker.Terms, indexName string) ([]*searchItem, error) {
	if !bytes.HasSuffix(x.Body, []byte("\n")) {
		return nil, errors.New("The msearch request must be terminated by a newline [\\n]") //nolint:revive,staticcheck // OpenSearch's wording
	}
	if err := jsonscan.CheckEncoding(x.Body); err != nil {
		return nil, err
	}
	lines := bytes.Split(bytes.TrimSuffix(x.Body, []byte("\n")), []byte("\n"))
	if len(lines)%2 != 0 {
		return nil, errors.New("a header line without a search")
	}
	if len(lines)/2 > maxSearches {
		return nil, fmt.Errorf("%d searches, at most %d", len(lines)/2, maxSearches)
	}
	var items []*searchItem
	for i := 0; i < len(lines); i += 2 {
		header, err := parseSearchHeader(lines[i], indexName)
		if err != nil {
			return nil, fmt.Errorf("header of search %d: %w", i/2, err)
		}
		if err := jsonscan.Valid(lines[i+1]); err != nil {
			return nil, fmt.Errorf("search %d: %w", i/2, err)
		}
		it := f.newItem(x, t, header.index, lines[i+1], nil)
		if header.unsupported != nil {
			it.failure = illegalArgument(header.unsupported)
		}
		items = append(items, it)
	}
	return items, nil
}

// searchHeader is the header line of one search in a multi-search.
type searchHeader struct {
	index       string
	unsupported error // nil unless the header needs a feature that the front does not have
}

// parseSearchHeader parses a header line, which may be empty. If it names no index, defaultIndex applies.
func parseSearchHeader(line []byte, defaultIndex string) (searchHeader, error) {
	header := searchHeader{index: defaultIndex}
	text := bytes.TrimSpace(line)
	if len(text) == 0 {
		return header, nil
	}
	err := jsonscan.Object(text, func(key string, raw []byte) error {
		if key != "index" {
			header.unsupported = unsupported("header " + key)
			return nil
		}
		return header.parseIndex(raw)
	})
	return header, err
}

// parseIndex parses the name of an index, or a list of names. A list of more than one is unsupported.
func (h *searchHeader) parseIndex(raw []byte) (err error) {
	if raw[0] != '[' {
		h.index, err = jsonscan.String(raw)
		return err
	}
	count := 0
	return jsonscan.Array(raw, func(raw []byte) (err error) {
		if count++; count > 1 {
			h.unsupported = unsupported("more than one index")
		}
		h.index, err = jsonscan.String(raw)
		return err
	})
}
