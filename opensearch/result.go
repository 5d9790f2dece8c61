package opensearch

import (
	"errors"
	"fmt"

	"alderproxy/internal/jsonscan"
)

// errPartMissing is wrapped by the errors for responses that do not hold a complete result.
var errPartMissing = errors.New("part is missing from a store's answer")

// storeResult is the part of a store's response that the merge interprets.
type storeResult struct {
	hits        []hit
	total       int64
	lowerBound  bool // the total is a lower bound
	hasTotal    bool
	maxScore    float64
	hasMaxScore bool

	failure      []byte // the response's error; nil if it has none
	failedShards int64
	timedOut     bool
	hasShards    bool
	hasHits      bool
}

// hit is one document that was found: its JSON as received, and the values by which it is sorted.
type hit struct {
	raw   []byte
	score float64
	sort  [][]byte
}

// parseResult parses the body of a store's response. If the body reports an error, a failed shard or a timeout, or lacks its
// shards or hits, it returns an error that wraps errPartMissing: an incomplete result must not be taken for a complete one.
func parseResult(body []byte) (*storeResult, error) {
	r := &storeResult{}
	if err := jsonscan.CheckEncoding(body); err != nil {
		return nil, err
	}
	if err := jsonscan.Object(body, r.parseMember); err != nil {
		return nil, err
	}
	switch {
	case r.failure != nil:
		return nil, fmt.Errorf("%w: error %.200s", errPartMissing, r.failure)
	case r.failedShards != 0:
		return nil, fmt.Errorf("%w: %d shards failed", errPartMissing, r.failedShards)
	case r.timedOut:
		return nil, fmt.Errorf("%w: timed out", errPartMissing)
	case !r.hasShards || !r.hasHits:
		return nil, fmt.Errorf("%w: no _shards or no hits", errPartMissing)
	}
	return r, nil
}

func (r *storeResult) parseMember(key string, raw []byte) (err error) {
	switch key {
	case "error":
		r.failure = raw
	case "timed_out":
		r.timedOut, err = jsonscan.Bool(raw)
	case "_shards":
		r.hasShards = true
		err = jsonscan.Object(raw, r.parseShards)
	case "hits":
		r.hasHits = true
		err = jsonscan.Object(raw, r.parseHits)
	}
	return err
}

func (r *storeResult) parseShards(key string, raw []byte) (err error) {
	if key == "failed" {
		r.failedShards, err = jsonscan.Int(raw)
	}
	return err
}

func (r *storeResult) parseHits(key string, raw []byte) (err error) {
	switch key {
	case "total":
		r.hasTotal = true
		if raw[0] == '{' {
			return jsonscan.Object(raw, r.parseTotal)
		}
		r.total, err = jsonscan.Int(raw)
	case "max_score":
		r.hasMaxScore = string(raw) != "null"
		if r.hasMaxScore {
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
}

func (r *storeResult) parseTotal(key string, raw []byte) (err error) {
	switch key {
	case "value":
		r.total, err = jsonscan.Int(raw)
	case "relation":
		r.lowerBound = string(raw) == `"gte"`
	}
	return err
}

func parseHit(raw []byte) (hit, error) {
	h := hit{raw: raw}
	err := jsonscan.Object(raw, func(key string, raw []byte) (err error) {
		switch {
		case key == "_score" && string(raw) != "null":
			h.score, err = jsonscan.Number(raw)
		case key == "sort":
			err = jsonscan.Array(raw, h.addSortValue)
		}
		return err
	})
	return h, err
}

// addSortValue adds a value by which the hit is sorted. A string that cannot be decoded has no place in the order.
func (h *hit) addSortValue(raw []byte) error {
	h.sort = append(h.sort, raw)
	if raw[0] != '"' {
		return nil
	}
	_, err := jsonscan.String(raw)
	return err
}
