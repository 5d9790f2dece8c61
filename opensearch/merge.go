package opensearch

import (
	"fmt"
	"slices"

	"alderproxy/broker"
)

// mergedResult is the combined result of several stores.
type mergedResult struct {
	hits        []hit
	total       int64
	lowerBound  bool // the total is a lower bound
	hasTotal    bool
	maxScore    float64
	hasMaxScore bool
}

// merge returns the body of one response that combines the parts that were answered. parts is the number of parts of the query;
// those without an answer are counted as failed shards. took is in milliseconds.
func (s *searchRequest) merge(answeredParts []broker.PartResult, parts int, took int64) ([]byte, error) {
	var merged mergedResult
	for _, part := range answeredParts {
		result, err := parseResult(part.Body)
		if err != nil {
			return nil, fmt.Errorf("slice %d: %w", part.Shard, err)
		}
		for _, h := range result.hits {
			if len(h.sort) < len(s.sort) {
				return nil, fmt.Errorf("slice %d: %w: a hit has no sort values", part.Shard, errPartMissing)
			}
		}
		merged.add(result)
	}
	slices.SortStableFunc(merged.hits, s.compare)
	first := min(s.from, len(merged.hits))
	last := min(s.from+s.size, len(merged.hits))
	merged.hits = merged.hits[first:last]
	body := fmt.Appendf(nil, `{"took":%d,"timed_out":false,"_shards":{"total":%d,"successful":%d,"skipped":0,"failed":%d},"hits":{`,
		took, parts, len(answeredParts), parts-len(answeredParts))
	body = merged.appendHits(body)
	return append(body, "}}"...), nil
}

// add adds the result of one store.
func (m *mergedResult) add(result *storeResult) {
	m.hits = append(m.hits, result.hits...)
	m.total += result.total
	m.lowerBound = m.lowerBound || result.lowerBound
	m.hasTotal = m.hasTotal || result.hasTotal
	if result.hasMaxScore && (!m.hasMaxScore || result.maxScore > m.maxScore) {
		m.hasMaxScore = true
		m.maxScore = result.maxScore
	}
}

// appendHits appends the members of the response's hits object, with its list of hits.
func (m *mergedResult) appendHits(body []byte) []byte {
	if m.hasTotal {
		relation := "eq"
		if m.lowerBound {
			relation = "gte"
		}
		body = fmt.Appendf(body, `"total":{"value":%d,"relation":%q},`, m.total, relation)
	}
	if m.hasMaxScore {
		body = fmt.Appendf(body, `"max_score":%v,"hits":[`, m.maxScore)
	} else {
		body = append(body, `"max_score":null,"hits":[`...)
	}
	for i, h := range m.hits {
		if i > 0 {
			body = append(body, ',')
		}
		body = append(body, h.raw...)
	}
	return append(body, ']')
}
