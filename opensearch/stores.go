package opensearch

import (
	"bufio"
	"fmt"
	"time"

	"alderproxy/broker"
	"alderproxy/httpwire"
	"alderproxy/policy"
	"alderproxy/storepool"
)

// maxAnswer bounds a store's answer: hits are larger than what clients may send.
const maxAnswer = 4 << 20

// codec words searches to stores. HTTP/1.1 carries one at a time on a connection, so answers need no names, and
// to give a search up is to close its connection.
type codec struct{}

// AppendCall appends the search of one part. The settings allow one part a call.
func (codec) AppendCall(to []byte, store storepool.Store, call []*broker.Attempt, now time.Time) []byte {
	a := call[0]
	target := fmt.Sprintf("/%s/_search?preference=_shards:%d&timeout=%dms&allow_partial_search_results=false",
		a.Query.FrontData.(*target).index, a.Shard, max(1, a.Deadline.Sub(now).Milliseconds()))
	extra := httpwire.Header{{Name: "X-Opaque-Id", Value: storepool.PartID(a)}}
	return httpwire.AppendRequest(to, "POST", target, store.Addr, extra, a.Query.Payload)
}

// AppendCancel appends nothing: only closing gives a search up.
func (codec) AppendCancel(to []byte, _ string) []byte { return to }

// AppendHealthCheck appends nothing: the API has no cheap question for load.
func (codec) AppendHealthCheck(to []byte) []byte { return to }

// Read reads a response. A success whose body tells of a failed shard is an error, like any other status but
// 429, which says that the search was turned away unseen.
func (codec) Read(r *bufio.Reader) (storepool.Message, error) {
	resp, err := httpwire.ReadResponseUpTo(r, maxAnswer)
	if err != nil {
		return storepool.Message{}, err
	}
	o := broker.AttemptResult{Status: policy.ServerError, Report: policy.NoLoadReport}
	switch {
	case resp.Status == 429:
		o.Status = policy.Rejected
	case resp.Status == 200:
		if _, err := parseResult(resp.Body); err == nil {
			o.Status, o.Value = policy.OK, resp.Body
		}
	case resp.Status < 200:
		return storepool.Message{}, fmt.Errorf("%w: status %d", storepool.ErrMalformed, resp.Status)
	}
	return storepool.Message{Kind: storepool.Answer, Last: resp.Close, Outcome: o}, nil
}
