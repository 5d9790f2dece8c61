package broker

import (
	"time"

	"alderproxy/policy"
)

// expiryMargin is how long before a query's deadline the broker answers it if the decisions have not.
const expiryMargin = time.Millisecond

// admit opens a query or rejects it at once.
func (b *Broker) admit(submitted *Query, now time.Time) {
	if submitted.canceled.Load() {
		return // nobody waits for an answer
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
	// The decisions end every query in time. If they ever fail to, the client still gets its answer.
	q.deadlineTimer = b.timers.add(submitted.Deadline.Add(-expiryMargin), func(now time.Time) { b.expireQuery(q, now) })
}

// rejectAtAdmission returns the answer to a query that is not admitted. The order of the checks decides which reason the
// client is given.
func (b *Broker) rejectAtAdmission(submitted *Query, terms *Terms, now time.Time) (rejection Response, rejected bool) {
	// The decisions leave the limit on open queries to the broker, whose memory it protects.
	full := b.settings.MaxOpen > 0 && b.openQueriesAndParts >= b.settings.MaxOpen
	if full || b.drainDeadlinePassed(now) {
		return Response{Status: Rejected, RetryAfter: b.overloadRetryAfter()}, true
	}
	if !submitted.Deadline.After(now) {
		return Response{Status: Rejected, DeadlineExceeded: true}, true
	}
	// The gate is asked here and not where the query was parsed, since the process may have been suspended in between.
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

// overloadRetryAfter is the advice to clients that find the broker full or shutting down; 0 where the settings allow none.
func (b *Broker) overloadRetryAfter() time.Duration {
	if !b.settings.SendRetryAfter {
		return 0
	}
	return duration(b.settings.MaxRetryAfter)
}

// answerDeadline is when the decisions end a query at the latest: where a late answer has no weight, by the class's latency
// objective already.
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
