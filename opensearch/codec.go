package opensearch

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"time"

	"alderproxy/broker"
	"alderproxy/httpwire"
	"alderproxy/internal/jsonscan"
	"alderproxy/policy"
	"alderproxy/storepool"
)

// maxResponseBytes is the maximum size of the body of a store's response.
const maxResponseBytes = 4 << 20

// headerOpaqueID is the header that names the part which a store is asked for. Stores that support it send it back.
const headerOpaqueID = "X-Opaque-Id"

// codec encodes searches for stores and decodes their responses. An HTTP/1.1 connection carries one search at a time, so
// responses need no ids, and a search is canceled by closing its connection. A response that names another part than the one
// that was asked for is malformed.
type codec struct{}

// AppendCall appends the search of one part. The settings allow only one part per call.
func (codec) AppendCall(to []byte, store storepool.Store, attempts []*broker.Attempt, now time.Time) []byte {
	attempt := attempts[0]
	target := fmt.Sprintf("/%s/_search?preference=_shards:%d&timeout=%dms&allow_partial_search_results=false",
		attempt.Query.FrontData.(*searchTarget).index, attempt.Shard, max(1, attempt.Deadline.Sub(now).Milliseconds()))
	header := httpwire.Header{{Name: headerOpaqueID, Value: storepool.WirePartID(attempt)}}
	return httpwire.AppendRequest(to, http.MethodPost, target, store.Addr, header, attempt.Query.Payload)
}

// AppendCancel appends nothing: a search is canceled by closing its connection.
func (codec) AppendCancel(to []byte, _ string) []byte { return to }

// AppendHealthCheck appends nothing: the API has no cheap request that returns a load report.
func (codec) AppendHealthCheck(to []byte) []byte { return to }

// Read reads a response. A status 429 means that the store rejected the search before running it. A 200 whose body does
// not hold a complete result (see parseResult) is a server error, as is any higher status. If the body cannot be read as JSON,
// nothing else that comes on the connection is trusted either. A status below 200 is malformed.
func (codec) Read(r *bufio.Reader) (storepool.Message, error) {
	resp, err := httpwire.ReadResponseUpTo(r, maxResponseBytes)
	if err != nil {
		return storepool.Message{}, err
	}
	result := broker.AttemptResult{Status: policy.ServerError, Report: policy.NoLoadReport}
	switch {
	case resp.Status == http.StatusTooManyRequests:
		result.Status = policy.Rejected
	case resp.Status == http.StatusOK:
		_, err := parseResult(resp.Body)
		if err == nil {
			result.Status = policy.OK
			result.Body = resp.Body
		}
		resp.Close = resp.Close || errors.Is(err, jsonscan.ErrSyntax)
	case resp.Status < http.StatusOK:
		return storepool.Message{}, fmt.Errorf("%w: status %d", storepool.ErrMalformed, resp.Status)
	}
	return storepool.Message{Kind: storepool.Answer, ID: resp.Header.Get(headerOpaqueID), Closing: resp.Close, Result: result}, nil
}
