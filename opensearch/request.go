package opensearch

import (
	"bytes"
	"fmt"
	"strconv"
	"time"

	"alderproxy/internal/jsonscan"
)

// maxResultWindow is the maximum of from + size, as OpenSearch's index.max_result_window is.
const maxResultWindow = 10_000

// searchRequest is the part of a search that the front interprets, and the body that it sends to the stores.
type searchRequest struct {
	from    int
	size    int
	sort    []sortKey
	timeout time.Duration // 0 if the search names none
	body    []byte        // sent to the stores: asks for hits from 0 on, as many as the merge may need
}

// forwardedMembers is the set of members of a search body that are sent to every store unchanged, and whose results can be
// merged. Others would need a merge of their own, so they are rejected rather than merged wrongly.
var forwardedMembers = map[string]bool{
	"query": true, "_source": true, "fields": true, "stored_fields": true,
	"docvalue_fields": true, "script_fields": true, "highlight": true, "post_filter": true, "min_score": true,
	"version": true, "seq_no_primary_term": true, "explain": true, "track_total_hits": true,
	"track_scores": true,
}

// defaultSize is the number of hits of a search that names none, as in OpenSearch.
const defaultSize = 10

// parseSearch parses a search body and the parameters of its URL, which take precedence over the body.
func parseSearch(body []byte, params map[string]string) (*searchRequest, error) {
	s := &searchRequest{size: defaultSize, body: []byte{'{'}}
	if len(bytes.TrimSpace(body)) == 0 {
		body = []byte("{}")
	}
	if err := jsonscan.CheckEncoding(body); err != nil {
		return nil, err
	}
	if err := jsonscan.Object(body, s.parseMember); err != nil {
		return nil, err
	}
	for name, value := range params {
		if err := s.parseParam(name, value); err != nil {
			return nil, err
		}
	}
	resultWindow := s.from + s.size
	if resultWindow > maxResultWindow {
		return nil, fmt.Errorf("Result window is too large, from + size must be less than or equal to: [%d]", maxResultWindow) //nolint:revive,staticcheck // OpenSearch's wording
	}
	s.body = appendMember(s.body, "from", []byte("0"))
	s.body = appendMember(s.body, "size", strconv.AppendInt(nil, int64(resultWindow), 10))
	s.body = append(s.body, '}')
	return s, nil
}

// parseMember parses one member of a search body.
func (s *searchRequest) parseMember(key string, raw []byte) (err error) {
	switch key {
	case "from":
		s.from, err = parseCount(raw)
	case "size":
		s.size, err = parseCount(raw)
	case "timeout":
		var text string
		if text, err = jsonscan.String(raw); err == nil {
			s.timeout, err = parseTimeValue(text)
		}
	case "sort":
		s.sort, err = parseSort(raw)
		s.body = appendMember(s.body, key, raw)
	default:
		if !forwardedMembers[key] {
			return unsupported(key)
		}
		s.body = appendMember(s.body, key, raw)
	}
	if err != nil {
		return fmt.Errorf("[%s]: %w", key, err)
	}
	return nil
}

// parseParam parses one parameter of the URL.
func (s *searchRequest) parseParam(name, value string) (err error) {
	switch name {
	case "from":
		s.from, err = parseCount([]byte(value))
	case "size":
		s.size, err = parseCount([]byte(value))
	case "timeout":
		s.timeout, err = parseTimeValue(value)
	case "pretty", "human", "typed_keys":
	default:
		return unsupported("parameter " + name)
	}
	if err != nil {
		return fmt.Errorf("parameter [%s]: %w", name, err)
	}
	return nil
}

// appendMember appends a member to a JSON object, of which to holds the opening brace and any members before.
func appendMember(to []byte, key string, raw []byte) []byte {
	if len(to) > 1 {
		to = append(to, ',')
	}
	to = jsonscan.AppendString(to, []byte(key))
	to = append(to, ':')
	return append(to, raw...)
}

// parseCount parses a number of hits.
func parseCount(raw []byte) (int, error) {
	count, err := jsonscan.Int(raw)
	if err == nil && (count < 0 || count > maxResultWindow) {
		err = fmt.Errorf("%d is not between 0 and %d", count, maxResultWindow)
	}
	return int(count), err
}
