package broker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/policy"
)

func TestFetchPhaseIsUnsupported(t *testing.T) {
	settings := newSettings(policy.Idempotent)
	settings.Classes[0].MaxFetchParts = 1
	_, err := New(Config{Settings: settings})
	assert.ErrorIs(t, err, ErrFetchPhaseUnsupported)
}

// When the terms change, an open query is answered by the terms of its admission, a query that was parsed by the old terms
// and arrives later is rejected to be parsed again, and new queries are admitted by the new terms.
func TestSetTermsKeepsTermsOfOpenQueries(t *testing.T) {
	b, transport := startBroker(t, newSettings(policy.Idempotent))
	oldTerms := b.Terms()
	submitWith := func(terms *Terms) responses {
		q, received := newQuery(5 * time.Second)
		q.Terms = terms
		b.Submit(q)
		return received
	}
	open := submitWith(oldTerms)
	a := <-transport.sent
	newTerms := &Terms{Version: 2, Settings: newSettings(policy.Idempotent)}
	newTerms.Settings.Classes = []policy.Class{{
		Name: "other", LatencyObjective: 50_000, Timeout: 50_000, PriorityWeight: 1, RequiredCoverage: 1, MinCoverage: 1,
	}}
	require.NoError(t, b.SetTerms(newTerms))
	assert.Equal(t, Response{Status: Rejected, StaleTerms: true}, <-submitWith(oldTerms))
	assert.Same(t, newTerms, b.Terms())
	admitted := submitWith(newTerms)
	(<-transport.sent).Finish(AttemptResult{Status: policy.OK, Report: policy.NoLoadReport})
	response := <-admitted
	assert.Equal(t, Served, response.Status)
	assert.Equal(t, uint64(2), response.Version)
	time.Sleep(60 * time.Millisecond) // past the timeout of the new class, which must not end the open query
	finishOK(a)
	response = <-open
	assert.Equal(t, Served, response.Status)
	assert.Equal(t, uint64(0), response.Version)
}

func TestInvalidTermsChangeNothing(t *testing.T) {
	b, _ := startBroker(t, newSettings(policy.Idempotent))
	oldTerms := b.Terms()
	withFetchPhase := &Terms{Version: 2, Settings: newSettings(policy.Idempotent)}
	withFetchPhase.Settings.Classes[0].MaxFetchParts = 1
	require.ErrorIs(t, b.SetTerms(withFetchPhase), ErrFetchPhaseUnsupported)
	require.Error(t, b.SetTerms(&Terms{Version: 3}))
	_, received := submit(b, 20*time.Millisecond)
	<-received
	assert.Same(t, oldTerms, b.Terms())
}

// The gate is asked at the admission of each query, with the terms in force. A query that is open when the gate closes is
// still answered.
func TestClosedGateRejectsNewQueriesOnly(t *testing.T) {
	transport := newFakeTransport()
	closed := make(chan bool, 1)
	b := startBrokerWith(t, Config{
		Terms:     &Terms{Version: 7, Settings: newSettings(policy.Idempotent)},
		Transport: transport,
		Log:       discardLog(),
		Gate: func(terms *Terms) (bool, time.Duration) {
			select {
			case <-closed:
				closed <- true
				return false, 3 * time.Second
			default:
				return terms.Version == 7, 0
			}
		},
	})
	_, open := submit(b, 5*time.Second)
	a := <-transport.sent
	closed <- true
	_, received := submit(b, 5*time.Second)
	assert.Equal(t, Response{Status: Rejected, GateClosed: true, RetryAfter: 3 * time.Second}, <-received)
	finishOK(a)
	assert.Equal(t, Served, (<-open).Status)
}
