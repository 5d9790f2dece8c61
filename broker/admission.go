package broker

import (
	"time"

	"alderproxy/policy"
)

// expiryMargin is the time before a query's deadline at which the broker ends the query if the aggregator has not.
const expiryMargin = time.Millisecond

// admit opens a submitted query or rejects it.
func (b *Broker) admit(submitted *Query, now time.Time) {
	if submitted.canceled.Load() {
		return // the client no longer waits for an answer
	}
	terms := b.terms.Load()
	if rejection, rejected := b.rejectAtAdmission(submitted, terms, now); rejected {
		submitted.Responder.Respond(rejection)
		return
	}
	b.lastPolicyID++
	q := &activeQuery{
		Query:          submitted,
		policyID:       b.lastPolicyID,
		termsVersion:   terms.Version,
		answerDeadline: submitted.Deadline,
	}
	if submitted.Class >= 0 && submitted.Class < len(b.settings.Classes) {
		q.class = b.settings.Classes[submitted.Class]
		q.answerDeadline = answerDeadline(submitted, q.class, now)
	}
	b.queriesByPolicyID[q.policyID] = q
	b.queriesBySubmission[submitted] = q
	b.openQueriesAndParts += 1 + len(submitted.Parts)
	b.emit(policy.Query{
		ID:        q.policyID,
		Number:    q.policyID,
		Class:     submitted.Class,
		Deadline:  b.policyTime(submitted.Deadline),
		PartCount: len(submitted.Parts),
		Retry:     submitted.Retry,
	})
	for _, spec := range submitted.Parts {
		b.openPart(q, spec)
	}
	// The aggregator ends every query in time. If it fails to, for example because it panics, this timer does.
	q.deadlineTimer = b.timers.add(submitted.Deadline.Add(-expiryMargin), func(now time.Time) { b.expireQuery(q, now) })
}

// rejectAtAdmission reports whether a query must not be admitted, and returns the answer to it in that case. The order of
// the checks determines which reason the client receives.
func (b *Broker) rejectAtAdmission(submitted *Query, terms *Terms, now time.Time) (rejection Response, rejected bool) {
	// The aggregator does not enforce MaxOpen. The limit protects the memory of the broker.
	full := b.settings.MaxOpen > 0 && b.openQueriesAndParts >= b.settings.MaxOpen
	if full || b.drainDeadlinePassed(now) {
		return Response{Status: Rejected, RetryAfter: b.overloadRetryAfter()}, true
	}
	if !submitted.Deadline.After(now) {
		return Response{Status: Rejected, DeadlineExceeded: true}, true
	}
	// The gate is checked here and not when the query is parsed, since the process may be suspended in between.
	if b.gate != nil {
		if open, retryAfter := b.gate(terms); !open {
			return Response{Status: Rejected, GateClosed: true, RetryAfter: retryAfter}, true
		}
	}
	if submitted.Terms != nil && submitted.Terms != terms {
		return Response{Status: Rejected, StaleTerms: true}, true
	}
	return Response{}, false
}

// overloadRetryAfter returns the time after which clients should retry if the broker is full or shutting down; 0 if the
// settings allow no such advice.
func (b *Broker) overloadRetryAfter() time.Duration {
	if !b.settings.SendRetryAfter {
		return 0
	}
	return duration(b.settings.MaxRetryAfter)
}

// answerDeadline returns the time at which the aggregator ends a query at the latest: the client's deadline or, if the
// class gives late answers no weight, the latency objective if that is earlier.
func answerDeadline(submitted *Query, class policy.Class, now time.Time) time.Time {
	objective := now.Add(duration(class.LatencyObjective))
	if class.LateWeight <= 0 && objective.Before(submitted.Deadline) {
		return objective
	}
	return submitted.Deadline
}

// openPart adds a part to an open query.
func (b *Broker) openPart(q *activeQuery, spec Part) {
	b.lastPolicyID++
	p := &activePart{policyID: b.lastPolicyID, query: q, spec: spec}
	q.parts = append(q.parts, p)
	b.partsByPolicyID[p.policyID] = p
	b.emit(policy.Part{
		ID:          p.policyID,
		QueryNumber: q.policyID,
		Shard:       spec.Shard,
		AffinityKey: spec.AffinityKey,
		Weight:      spec.Weight,
		CostHint:    spec.CostHint,
	})
}
