package broker

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"alderproxy/policy"
)

// deadlineToleranceTicks is the length, in ticks, of the interval before a query's answer deadline in which a rejected or
// failed query counts as having exceeded the deadline. The aggregator ends queries shortly before their deadlines.
const deadlineToleranceTicks = 3

// activeQuery is an admitted query.
type activeQuery struct {
	*Query
	// policyID identifies the query in package policy. Query.ID is the client's ID.
	policyID uint64
	// termsVersion is the version of the terms at admission.
	termsVersion uint64
	// class is the query's class by the settings at admission.
	class policy.Class
	// answerDeadline is the time at which the aggregator ends the query at the latest.
	answerDeadline time.Time
	deadlineTimer  *timer
	parts          []*activePart
}

// activePart is a part of an admitted query.
type activePart struct {
	// policyID identifies the part in package policy.
	policyID uint64
	query    *activeQuery
	spec     Part
	attempts []*Attempt
	answered bool
	// body is the answer if there is one and the query is open.
	body []byte
}

// respond gives a query the final answer that the aggregator decided on. It does nothing if the query is not open.
func (b *Broker) respond(queryID uint64, response Response, now time.Time) {
	q := b.queriesByPolicyID[queryID]
	if q == nil {
		return
	}
	if response.Status == Served {
		response.Parts = q.answeredParts()
	} else {
		response.DeadlineExceeded = time.Until(q.answerDeadline) <= duration(deadlineToleranceTicks*b.settings.Tick)
		response.PartsFailed = slices.ContainsFunc(q.parts, (*activePart).failed)
	}
	b.removeQuery(q, now)
	response.Version = q.termsVersion
	q.Responder.Respond(response)
}

// expireQuery ends a query that is still open shortly before its deadline or at the deadline of a drain. The query fails
// if its class is not Idempotent and a part may have run; otherwise it is rejected.
func (b *Broker) expireQuery(q *activeQuery, now time.Time) {
	if !b.isOpen(q) {
		return
	}
	status := Rejected
	if q.class.Idempotency != policy.Idempotent && q.anyAttemptStarted() {
		status = Failed
	}
	if suppressed, due := b.expiryLog.Due(now); due {
		b.log.WithFields(logrus.Fields{
			"query":   q.ID,
			"refused": status == Rejected,
			"more":    suppressed,
		}).Warn("query ended without an answer at its deadline or at that of the drain")
	}
	b.emit(policy.ClientCanceled{QueryID: q.policyID})
	b.removeQuery(q, now)
	q.Responder.Respond(Response{Status: status, DeadlineExceeded: true, Version: q.termsVersion})
}

// removeQuery removes an ended query from the tables. Its attempts that are not started are withdrawn, whether or not the
// settings allow cancellation, since no store has received them. Its other unfinished attempts are kept until they
// finish.
func (b *Broker) removeQuery(q *activeQuery, now time.Time) {
	delete(b.queriesByPolicyID, q.policyID)
	delete(b.queriesBySubmission, q.Query)
	b.openQueriesAndParts -= 1 + len(q.parts)
	b.timers.cancel(q.deadlineTimer)
	for _, p := range q.parts {
		p.body = nil // unfinished attempts keep their part in memory
		for _, a := range p.attempts {
			if !a.finished && a.Withdraw() {
				b.cancelAttempt(a, policy.Canceled, now)
			}
		}
		b.releasePart(p)
	}
}

// releasePart removes a part from the tables if its query has ended and all attempts at it are finished.
func (b *Broker) releasePart(p *activePart) {
	unfinished := func(a *Attempt) bool { return !a.finished }
	if !b.isOpen(p.query) && !slices.ContainsFunc(p.attempts, unfinished) {
		delete(b.partsByPolicyID, p.policyID)
	}
}

// isOpen reports whether an admitted query has neither been answered nor canceled.
func (b *Broker) isOpen(q *activeQuery) bool { return b.queriesByPolicyID[q.policyID] == q }

// answeredParts returns the results of the answered parts, in the order of the parts.
func (q *activeQuery) answeredParts() []PartResult {
	var results []PartResult
	for _, p := range q.parts {
		if p.answered {
			results = append(results, PartResult{Shard: p.spec.Shard, Body: p.body})
		}
	}
	return results
}

// anyAttemptStarted reports whether an attempt at any part was started, so that a store may have run it.
func (q *activeQuery) anyAttemptStarted() bool {
	return slices.ContainsFunc(q.parts, func(p *activePart) bool {
		return slices.ContainsFunc(p.attempts, (*Attempt).started)
	})
}

// failed reports whether a part has no answer and an attempt at it ended with another status than Rejected.
func (p *activePart) failed() bool {
	return !p.answered && slices.ContainsFunc(p.attempts, func(a *Attempt) bool {
		return a.finished && a.status != policy.Rejected
	})
}

// retryDeadline returns the time before which a further attempt at the part must be started; zero if there is no limit.
// There is one if the part is idempotent by key and an earlier attempt may have run, since stores recognize duplicates
// for a limited time. The aggregator observes that time as well, but the attempt may then have to wait for a connection.
func (p *activePart) retryDeadline() time.Time {
	if p.query.class.Idempotency != policy.IdempotentByKey {
		return time.Time{}
	}
	var firstSent time.Time
	for _, a := range p.attempts {
		if a.neverRan() {
			continue
		}
		if firstSent.IsZero() || a.sentAt.Before(firstSent) {
			firstSent = a.sentAt
		}
	}
	if firstSent.IsZero() {
		return firstSent
	}
	return firstSent.Add(duration(p.query.class.DeduplicationWindow))
}
