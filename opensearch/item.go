package opensearch

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"alderproxy/broker"
	"alderproxy/httpwire"
)

// unknownConfigRetryAfter is the Retry-After of searches that arrive before the instance knows any version of the replicated
// configuration.
const unknownConfigRetryAfter = time.Second

// searchItem is one search of a request, with its query and the query's response, or with the error that prevents a query.
type searchItem struct {
	*searchRequest

	query    *broker.Query
	response broker.Response
	failure  *apiError
	batch    *searchBatch // nil if the item was not submitted yet
}

// searchBatch is the searches of a request that are submitted together. The last response ends the wait for them.
type searchBatch struct {
	exchange   *httpwire.Exchange
	unanswered atomic.Int32
}

// Respond implements broker.Responder. It does not block.
func (it *searchItem) Respond(response broker.Response) {
	it.response = response
	if it.batch.unanswered.Add(-1) == 0 {
		it.batch.exchange.CancelWait()
	}
}

// needsSubmission reports whether the item must be submitted, for the first time or again because its terms are stale.
func (it *searchItem) needsSubmission() bool {
	return it.failure == nil && (it.batch == nil || it.response.StaleTerms)
}

// newItem parses a search by the given terms. An error becomes the item's failure.
func (f *front) newItem(x *httpwire.Exchange, t *broker.Terms, indexName string, body []byte, params map[string]string) *searchItem {
	it := &searchItem{}
	if f.replicatedConfig && t.Version == 0 { // the instance does not know yet which indices exist
		it.failure = configStale(unknownConfigRetryAfter)
		return it
	}
	index := t.FrontData.(indices)[indexName]
	if len(index.shards) == 0 {
		it.failure = newError(http.StatusNotFound, errorTypeIndexNotFound, fmt.Errorf("no such index [%s]", indexName))
		return it
	}
	var err error
	if it.searchRequest, err = parseSearch(body, params); err != nil {
		errorType := errorTypeParsing
		if errors.Is(err, errUnsupported) {
			errorType = errorTypeIllegalArgument
		}
		it.failure = newError(http.StatusBadRequest, errorType, err)
		return it
	}
	timeout := time.Duration(t.Settings.Classes[index.class].Timeout) * time.Microsecond
	if it.timeout > 0 {
		timeout = min(timeout, it.timeout)
	}
	it.query = &broker.Query{
		ID:        f.queryIDPrefix + strconv.FormatUint(f.lastQueryNumber.Add(1), 10),
		Class:     index.class,
		Payload:   it.body,
		Deadline:  x.Start.Add(timeout),
		FrontData: &searchTarget{indexName},
		Responder: it,
		Terms:     t,
	}
	weight := 1 / float64(len(index.shards))
	for _, shard := range index.shards {
		it.query.Parts = append(it.query.Parts, broker.Part{Shard: shard, Weight: weight})
	}
	return it
}

// submitAndWait parses a request by the current terms, submits its items and waits until all have their responses. If the
// broker rejects an item because the terms have changed since, that item is parsed and submitted again. The result is nil if
// the client has disconnected.
func (f *front) submitAndWait(x *httpwire.Exchange, parse func(*broker.Terms) ([]*searchItem, error)) []*searchItem {
	items, _ := parse(f.broker.Terms())
	for {
		batch, submitted := newBatch(x, items)
		if len(submitted) == 0 {
			return items
		}
		if x.ClientDisconnected() {
			return nil
		}
		batch.unanswered.Store(int32(len(submitted)))
		if disconnected := f.submitBatchAndWait(x, submitted); disconnected {
			return nil
		}
		if !slices.ContainsFunc(submitted, func(it *searchItem) bool { return it.response.StaleTerms }) {
			return items
		}
		x.ResetWait()
		reparsed, _ := parse(f.broker.Terms())
		for i, it := range items {
			if it.failure == nil && it.response.StaleTerms {
				items[i] = reparsed[i]
			}
		}
	}
}

// newBatch returns a batch and those of the items that must be submitted in it.
func newBatch(x *httpwire.Exchange, items []*searchItem) (*searchBatch, []*searchItem) {
	batch := &searchBatch{exchange: x}
	var pending []*searchItem
	for _, it := range items {
		if it.needsSubmission() {
			it.batch = batch
			pending = append(pending, it)
		}
	}
	return batch, pending
}

// submitBatchAndWait submits items and waits for their responses. If the client disconnects before, it cancels them and returns
// true.
func (f *front) submitBatchAndWait(x *httpwire.Exchange, items []*searchItem) (disconnected bool) {
	var queries []*broker.Query
	for _, it := range items {
		queries = append(queries, it.query)
		if !f.broker.Submit(it.query) {
			it.Respond(broker.Response{Status: broker.Rejected})
		}
	}
	if x.AwaitDisconnect() {
		f.broker.Cancel(queries...)
		return true
	}
	return false
}

// render returns the body of an item's response, or the error to respond with.
func (f *front) render(x *httpwire.Exchange, it *searchItem) ([]byte, *apiError) {
	response := it.response
	switch {
	case it.failure != nil:
		return nil, it.failure
	case response.Status == broker.Served:
		body, err := it.merge(response.Parts, len(it.query.Parts), time.Since(x.Start).Milliseconds())
		if err != nil {
			return nil, newError(http.StatusBadGateway, errorTypeSearchPhase, err)
		}
		return body, nil
	case response.GateClosed:
		return nil, configStale(response.RetryAfter)
	}
	failure := unservedError(response)
	failure.retryAfter = response.RetryAfter
	return nil, failure
}

// unservedError returns the error for a query that was rejected or has failed.
func unservedError(response broker.Response) *apiError {
	switch {
	case response.DeadlineExceeded:
		return newError(http.StatusGatewayTimeout, errorTypeTimeout, errors.New("the query's deadline passed before all parts were answered"))
	case response.PartsFailed:
		return newError(http.StatusServiceUnavailable, errorTypeSearchPhase, errors.New("parts of the query failed"))
	case response.Status == broker.Rejected:
		return newError(http.StatusTooManyRequests, errorTypeRejected, errors.New("the broker admits no more queries now"))
	}
	return newError(http.StatusServiceUnavailable, errorTypeSearchPhase, errors.New("the query failed"))
}
