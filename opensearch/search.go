// Package opensearch is the front for OpenSearch-style queries, with the transport to stores that speak the same
// API. Queries go through the same broker as the platform's: the same decisions, limits and single final answer.
package opensearch

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"alderproxy/internal/jsonscan"
)

// maxWindow is the most hits that from and size may reach, as in OpenSearch's index.max_result_window.
const maxWindow = 10_000

// search is what a search body asks of the front. The rest of the body goes to the stores as it came.
type search struct {
	from, size int
	sort       []sortKey
	timeout    time.Duration // 0: not told
	body       []byte        // for the stores: from 0, as many hits as the merge may need
}

// sortKey is one key of a sort.
type sortKey struct {
	field        string
	desc         bool
	missingFirst bool
}

// passed names the parts of a search body that are safe to hand to every store and merge. What is not named here
// would need a merge of its own, so it is refused rather than merged wrongly.
var passed = map[string]bool{
	"query": true, "_source": true, "fields": true, "stored_fields": true,
	"docvalue_fields": true, "script_fields": true, "highlight": true, "post_filter": true, "min_score": true,
	"version": true, "seq_no_primary_term": true, "explain": true, "track_total_hits": true,
	"track_scores": true,
}

// parseSearch reads a search body and the parameters of its URL, which win.
func parseSearch(body []byte, params map[string]string) (*search, error) {
	s := &search{size: 10}
	out := []byte{'{'}
	if len(bytes.TrimSpace(body)) == 0 {
		body = []byte("{}")
	}
	err := jsonscan.Object(body, func(key string, raw []byte) (err error) {
		switch key {
		case "from":
			s.from, err = count(raw)
		case "size":
			s.size, err = count(raw)
		case "timeout":
			var text string
			if text, err = jsonscan.String(raw); err == nil {
				s.timeout, err = parseTime(text)
			}
		case "sort":
			s.sort, err = parseSort(raw)
			out = member(out, key, raw)
		case "search_after":
			return unsupported("search_after")
		default:
			if !passed[key] {
				return unsupported(key)
			}
			out = member(out, key, raw)
		}
		if err != nil {
			return fmt.Errorf("[%s]: %w", key, err)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	for name, value := range params {
		switch name {
		case "from":
			s.from, err = count([]byte(value))
		case "size":
			s.size, err = count([]byte(value))
		case "timeout":
			s.timeout, err = parseTime(value)
		case "pretty", "human", "typed_keys":
		default:
			return nil, unsupported("parameter " + name)
		}
		if err != nil {
			return nil, fmt.Errorf("parameter [%s]: %w", name, err)
		}
	}
	if s.from+s.size > maxWindow {
		return nil, fmt.Errorf("Result window is too large, from + size must be less than or equal to: [%d]", maxWindow)
	}
	out = member(out, "from", []byte("0"))
	s.body = append(member(out, "size", strconv.AppendInt(nil, int64(s.from+s.size), 10)), '}')
	return s, nil
}

func member(to []byte, key string, raw []byte) []byte {
	if len(to) > 1 {
		to = append(to, ',')
	}
	return append(append(jsonscan.AppendString(to, []byte(key)), ':'), raw...)
}

var errUnsupported = errors.New("not supported by this broker")

func unsupported(what string) error { return fmt.Errorf("[%s] is %w", what, errUnsupported) }

func count(raw []byte) (int, error) {
	v, err := jsonscan.Int(raw)
	if err == nil && (v < 0 || v > maxWindow) {
		err = fmt.Errorf("%d is not between 0 and %d", v, maxWindow)
	}
	return int(v), err
}

var units = []struct {
	name string
	span time.Duration
}{
	{"nanos", time.Nanosecond},
	{"micros", time.Microsecond},
	{"ms", time.Millisecond},
	{"s", time.Second},
	{"m", time.Minute},
	{"h", time.Hour},
	{"d", 24 * time.Hour},
}

// parseTime reads a time value such as 500ms.
func parseTime(text string) (time.Duration, error) {
	for _, u := range units {
		if digits, ok := strings.CutSuffix(text, u.name); ok {
			n, err := strconv.ParseUint(digits, 10, 32)
			if err == nil && n > 0 {
				return time.Duration(min(n, uint64(24*time.Hour/u.span))) * u.span, nil
			}
		}
	}
	return 0, fmt.Errorf("%q is no time value", text)
}

// parseSort reads a sort in any of its forms: a name, an object, or a list of these.
func parseSort(raw []byte) ([]sortKey, error) {
	var keys []sortKey
	one := func(raw []byte) error {
		if raw[0] == '"' {
			name, err := jsonscan.String(raw)
			keys = append(keys, sortKey{field: name, desc: name == "_score"})
			return err
		}
		return jsonscan.Object(raw, func(name string, raw []byte) error {
			k, err := parseSortKey(name, raw)
			keys = append(keys, k)
			return err
		})
	}
	var err error
	if raw[0] == '[' {
		err = jsonscan.Array(raw, one)
	} else {
		err = one(raw)
	}
	if err != nil {
		return nil, err
	}
	for _, k := range keys {
		if k.field == "_geo_distance" || k.field == "_script" || k.field == "_shard_doc" {
			return nil, unsupported("sort by " + k.field)
		}
	}
	return keys, nil
}

func parseSortKey(name string, raw []byte) (sortKey, error) {
	k := sortKey{field: name, desc: name == "_score"}
	order := func(raw []byte) error {
		text, err := jsonscan.String(raw)
		if err == nil && text != "asc" && text != "desc" {
			err = fmt.Errorf("order %q", text)
		}
		k.desc = text == "desc"
		return err
	}
	if raw[0] == '"' {
		return k, order(raw)
	}
	return k, jsonscan.Object(raw, func(key string, raw []byte) error {
		switch key {
		case "order":
			return order(raw)
		case "missing":
			k.missingFirst = string(raw) == `"_first"`
		case "mode", "unmapped_type", "format", "numeric_type": // the stores see to these
		default:
			return unsupported("sort option " + key)
		}
		return nil
	})
}

// appendError appends an error in OpenSearch's shape.
func appendError(to []byte, status int, kind, reason string) []byte {
	why, err := json.Marshal(reason)
	if err != nil { // a string always has a form
		why = []byte(`""`)
	}
	return fmt.Appendf(to, `{"error":{"root_cause":[{"type":%q,"reason":%s}],"type":%q,"reason":%s},"status":%d}`,
		kind, why, kind, why, status)
}
