package broker

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"alderproxy/policy"
)

// deadlineToleranceTicks is how many ticks of the decisions before its answer deadline a query may end to count as one whose
// time was up.
const deadlineToleranceTicks = 3

// activeQuery is a query that was admitted.
type activeQuery struct {
	*Query
	policyID uint64
	// termsVersion is the version of the terms at admission.
	termsVersion uint64
	// class is the query's class by the settings at admission.
	class policy.Class
	// answerDeadline is when the decisions end the query at the latest.
	answerDeadline time.Time
	deadlineTimer  *timer
	parts          []*activePart
}

// activePart is a part of an admitted query.
type activePart struct {
	policyID uint64
	query    *activeQuery
	spec     Part
	attempts []*Attempt
	answered bool
	// body is the answer, if any.
	body []byte
}

// respond gives an open query the final answer that the decisions chose.
func (b *Broker) respond(id uint64, response Response, now time.Time) {
	q := b.queriesByPolicyID[id]
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

// expireQuery ends a query that is still open at its deadline or at that of a drain.
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
		}).Warn("query ended at its deadline")
	}
	b.emit(policy.ClientCanceled{QueryID: q.policyID})
	b.removeQuery(q, now)
	q.Responder.Respond(Response{Status: status, DeadlineExceeded: true, Version: q.termsVersion})
}

// removeQuery takes an ended query out of the tables. Its attempts that are not started never are, whether or not the settings
// allow cancellation: no store knows of them. The others are kept until their outcome is known.
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

// releasePart forgets a part whose query has ended and whose attempts are all finished.
func (b *Broker) releasePart(p *activePart) {
	unfinished := func(a *Attempt) bool { return !a.finished }
	if !b.isOpen(p.query) && !slices.ContainsFunc(p.attempts, unfinished) {
		delete(b.partsByPolicyID, p.policyID)
	}
}

// isOpen reports whether a query has had no final answer yet.
func (b *Broker) isOpen(q *activeQuery) bool { return b.queriesByPolicyID[q.policyID] == q }

// answeredParts returns the answers that have arrived, in the order of the parts.
func (q *activeQuery) answeredParts() []PartResult {
	var results []PartResult
	for _, p := range q.parts {
		if p.answered {
			results = append(results, PartResult{Shard: p.spec.Shard, Body: p.body})
		}
	}
	return results
}

// anyAttemptStarted reports whether a store may have run a part of the query.
func (q *activeQuery) anyAttemptStarted() bool {
	return slices.ContainsFunc(q.parts, func(p *activePart) bool {
		return slices.ContainsFunc(p.attempts, (*Attempt).started)
	})
}

// failed reports whether a part has no answer and an attempt that ended in another way than by rejection.
func (p *activePart) failed() bool {
	return !p.answered && slices.ContainsFunc(p.attempts, func(a *Attempt) bool {
		return a.finished && a.status != policy.Rejected
	})
}

// retryDeadline is when another attempt must have been started if earlier ones may have run, since stores recognize
// duplicates for a limited time. The decisions observe that time too, but the attempt may then wait for a connection. The
// zero time sets no limit.
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
