package opensearch

import (
	"bytes"
	"fmt"
	"strconv"
	"time"

	"alderproxy/internal/jsonscan"
)

// maxResultWindow bounds from + size, as OpenSearch's index.max_result_window does.
const maxResultWindow = 10_000

// searchRequest is the part of a search that the front interprets. The rest goes to the stores as the bytes that came.
type searchRequest struct {
	from    int
	size    int
	sort    []sortKey
	timeout time.Duration // 0: none was given
	body    []byte        // for the stores: from 0, as many hits as the merge may need
}

// forwardedMembers names the members of a search body that every store can be given and whose results can be merged. Others
// would need a merge of their own, so they are rejected rather than merged wrongly.
var forwardedMembers = map[string]bool{
	"query": true, "_source": true, "fields": true, "stored_fields": true,
	"docvalue_fields": true, "script_fields": true, "highlight": true, "post_filter": true, "min_score": true,
	"version": true, "seq_no_primary_term": true, "explain": true, "track_total_hits": true,
	"track_scores": true,
}

// defaultSize is the number of hits where a search names none.
const defaultSize = 10

// parseSearch reads a search body and the parameters of its URL, which take precedence.
func parseSearch(body []byte, params map[string]string) (*searchRequest, error) {
	s := &searchRequest{size: defaultSize, body: []byte{'{'}}
	if len(bytes.TrimSpace(body)) == 0 {
		body = []byte("{}")
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
		return nil, fmt.Errorf("Result window is too large, from + size must be less than or equal to: [%d]", maxResultWindow) //nolint:revive,staticcheck // OpenSearch's own words
	}
	s.body = appendMember(s.body, "from", []byte("0"))
	s.body = appendMember(s.body, "size", strconv.AppendInt(nil, int64(resultWindow), 10))
	s.body = append(s.body, '}')
	return s, nil
}

// parseMember reads one member of a search body.
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

// parseParam reads one parameter of the URL.
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

// appendMember appends a member to a JSON object that has been begun.
func appendMember(to []byte, key string, raw []byte) []byte {
	if len(to) > 1 {
		to = append(to, ',')
	}
	to = jsonscan.AppendString(to, []byte(key))
	to = append(to, ':')
	return append(to, raw...)
}

// parseCount reads a number of hits.
func parseCount(raw []byte) (int, error) {
	count, err := jsonscan.Int(raw)
	if err == nil && (count < 0 || count > maxResultWindow) {
		err = fmt.Errorf("%d is not between 0 and %d", count, maxResultWindow)
	}
	return int(count), err
}
