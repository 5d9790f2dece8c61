package opensearch

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"alderproxy/broker"
	"alderproxy/internal/jsonscan"
)

// result is one store's answer, as far as the merge looks into it.
type result struct {
	failed    int64 // shards
	total     int64
	atLeast   bool // the total is a lower bound
	counted   bool // there is a total
	maxScore  float64
	scored    bool
	timedOut  bool
	hits      []hit
	sawShards bool
	sawHits   bool
}

// hit is one document, kept as the bytes that came.
type hit struct {
	raw   []byte
	score float64
	sort  [][]byte
}

// errPart is behind every reason for which a success status still leaves its part missing.
var errPart = errors.New("part is missing from a store's answer")

// parseResult reads an answer to a search. An answer with a failed shard, a time-out or an error in it is an
// error here, whatever status it came with: what it lacks must never pass for a whole answer.
func parseResult(body []byte) (*result, error) {
	r := &result{}
	var failure []byte
	err := jsonscan.Object(body, func(key string, raw []byte) (err error) {
		switch key {
		case "error":
			failure = raw
		case "timed_out":
			r.timedOut, err = jsonscan.Bool(raw)
		case "_shards":
			r.sawShards = true
			err = jsonscan.Object(raw, func(key string, raw []byte) (err error) {
				if key == "failed" {
					r.failed, err = jsonscan.Int(raw)
				}
				return err
			})
		case "hits":
			r.sawHits = true
			err = r.parseHits(raw)
		}
		return err
	})
	switch {
	case err != nil:
		return nil, err
	case failure != nil:
		return nil, fmt.Errorf("%w: error %.200s", errPart, failure)
	case r.failed != 0:
		return nil, fmt.Errorf("%w: %d shards failed", errPart, r.failed)
	case r.timedOut:
		return nil, fmt.Errorf("%w: timed out", errPart)
	case !r.sawShards || !r.sawHits:
		return nil, fmt.Errorf("%w: no _shards or no hits", errPart)
	}
	return r, nil
}

func (r *result) parseHits(raw []byte) error {
	return jsonscan.Object(raw, func(key string, raw []byte) (err error) {
		switch key {
		case "total":
			r.counted = true
			if raw[0] != '{' {
				r.total, err = jsonscan.Int(raw)
				return err
			}
			return jsonscan.Object(raw, func(key string, raw []byte) (err error) {
				switch key {
				case "value":
					r.total, err = jsonscan.Int(raw)
				case "relation":
					r.atLeast = string(raw) == `"gte"`
				}
				return err
			})
		case "max_score":
			if r.scored = string(raw) != "null"; r.scored {
				r.maxScore, err = jsonscan.Number(raw)
			}
		case "hits":
			return jsonscan.Array(raw, func(raw []byte) error {
				h, err := parseHit(raw)
				r.hits = append(r.hits, h)
				return err
			})
		}
		return err
	})
}

func parseHit(raw []byte) (hit, error) {
	h := hit{raw: raw}
	err := jsonscan.Object(raw, func(key string, raw []byte) (err error) {
		switch {
		case key == "_score" && string(raw) != "null":
			h.score, err = jsonscan.Number(raw)
		case key == "sort":
			err = jsonscan.Array(raw, func(raw []byte) error {
				h.sort = append(h.sort, raw)
				return nil
			})
		}
		return err
	})
	return h, err
}

// compare orders hits as the query asks: by its sort, or else by falling score.
func (s *search) compare(x, y hit) int {
	if len(s.sort) == 0 {
		return cmp.Compare(y.score, x.score)
	}
	for i, key := range s.sort {
		a, b := x.sort[i], y.sort[i]
		noA, noB := string(a) == "null", string(b) == "null"
		switch {
		case noA && noB:
			continue
		case noA || noB:
			if noA == key.missingFirst {
				return -1
			}
			return 1
		}
		c := compareValues(a, b)
		if key.desc {
			c = -c
		}
		if c != 0 {
			return c
		}
	}
	return 0
}

// compareValues compares sort values. Whole numbers are compared as such: dates in nanoseconds and long ids
// differ where floating point does not.
func compareValues(a, b []byte) int {
	if a[0] == '"' || b[0] == '"' {
		x, errX := jsonscan.String(a)
		y, errY := jsonscan.String(b)
		if errX != nil || errY != nil {
			return bytes.Compare(a, b)
		}
		return strings.Compare(x, y)
	}
	if x, okX := wholeNumber(a); okX {
		if y, okY := wholeNumber(b); okY {
			return cmp.Compare(x, y)
		}
	}
	x, errX := jsonscan.Number(a)
	y, errY := jsonscan.Number(b)
	if errX != nil || errY != nil {
		return bytes.Compare(a, b)
	}
	return cmp.Compare(x, y)
}

func wholeNumber(raw []byte) (v int64, ok bool) {
	digits, negative := bytes.CutPrefix(raw, []byte("-"))
	if len(digits) == 0 || len(digits) > 18 {
		return 0, false
	}
	for _, c := range digits {
		if c < '0' || c > '9' {
			return 0, false
		}
		v = v*10 + int64(c-'0')
	}
	if negative {
		v = -v
	}
	return v, true
}

// merge makes one answer of the parts that are in. Parts that are missing are counted as failed shards.
func (s *search) merge(values []broker.PartResult, parts int, took int64) ([]byte, error) {
	var all []hit
	var sum result
	for _, v := range values {
		r, err := parseResult(v.Body)
		if err != nil {
			return nil, fmt.Errorf("slice %d: %w", v.Shard, err)
		}
		for _, h := range r.hits {
			if len(h.sort) < len(s.sort) {
				return nil, fmt.Errorf("slice %d: %w: a hit has no sort values", v.Shard, errPart)
			}
		}
		all = append(all, r.hits...)
		sum.total += r.total
		sum.atLeast = sum.atLeast || r.atLeast
		sum.counted = sum.counted || r.counted
		if r.scored && (!sum.scored || r.maxScore > sum.maxScore) {
			sum.scored, sum.maxScore = true, r.maxScore
		}
	}
	slices.SortStableFunc(all, s.compare)
	all = all[min(s.from, len(all)):min(s.from+s.size, len(all))]
	out := fmt.Appendf(nil, `{"took":%d,"timed_out":false,"_shards":{"total":%d,"successful":%d,"skipped":0,"failed":%d},"hits":{`,
		took, parts, len(values), parts-len(values))
	if sum.counted {
		relation := "eq"
		if sum.atLeast {
			relation = "gte"
		}
		out = fmt.Appendf(out, `"total":{"value":%d,"relation":%q},`, sum.total, relation)
	}
	if sum.scored {
		out = fmt.Appendf(out, `"max_score":%v,"hits":[`, sum.maxScore)
	} else {
		out = append(out, `"max_score":null,"hits":[`...)
	}
	for i, h := range all {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(out, h.raw...)
	}
	return append(out, "]}}"...), nil
}
