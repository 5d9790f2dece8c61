package broker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/policy"
)

// The broker cannot run a fetch phase, so a class with one must be an error at the start.
func TestFetchPhaseIsUnsupported(t *testing.T) {
	settings := newSettings(policy.Idempotent)
	settings.Classes[0].MaxFetchParts = 1
	_, err := New(Config{Settings: settings})
	assert.ErrorIs(t, err, ErrFetchPhaseUnsupported)
}

// When the terms change, an open query must keep its class's settings and its version. A query that was parsed by the old
// terms and is submitted later must be rejected as stale, and new queries must be admitted by the new terms.
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
	time.Sleep(60 * time.Millisecond) // until after the new class's timeout, which must not end the open query
	finishOK(a)
	response = <-open
	assert.Equal(t, Served, response.Status)
	assert.Equal(t, uint64(0), response.Version)
}

// Terms with a fetch phase or invalid settings must be an error and leave the terms in force as they are.
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

// The gate must be checked at the admission of each query, with the terms in force. A query that is open when the gate
// closes must still be answered.
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
