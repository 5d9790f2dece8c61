package broker

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"alderproxy/policy"
)

// execute carries out the actions of one step in order. Attempts are sent last, and those to the same server share calls
// of up to Settings.MaxBatchSize attempts.
func (b *Broker) execute(actions []policy.Action, now time.Time) {
	var servers []uint32
	attemptsByServer := map[uint32][]*Attempt{}
	for _, action := range actions {
		send, isSend := action.(policy.SendAttempt)
		if !isSend {
			b.executeAction(action, now)
			continue
		}
		a := b.newAttempt(send, now)
		if a == nil {
			continue
		}
		if len(attemptsByServer[send.ServerID]) == 0 {
			servers = append(servers, send.ServerID)
		}
		attemptsByServer[send.ServerID] = append(attemptsByServer[send.ServerID], a)
	}
	for _, server := range servers {
		for call := range slices.Chunk(attemptsByServer[server], max(1, b.settings.MaxBatchSize)) {
			b.sendCall(server, call, now)
		}
	}
}

// executeAction carries out any action other than policy.SendAttempt.
func (b *Broker) executeAction(action policy.Action, now time.Time) {
	switch action := action.(type) {
	case policy.CancelAttempt:
		if p := b.partsByPolicyID[action.PartID]; p != nil && action.AttemptIndex >= 0 && action.AttemptIndex < len(p.attempts) {
			b.cancelAttempt(p.attempts[action.AttemptIndex], policy.Canceled, now)
		}
	case policy.Answer:
		b.respond(action.QueryID, Response{Status: Served, Complete: action.Complete}, now)
	case policy.Reject:
		b.respond(action.QueryID, Response{Status: Rejected, RetryAfter: duration(action.RetryAfter)}, now)
	case policy.Fail:
		b.respond(action.QueryID, Response{Status: Failed}, now)
	case policy.CloseIdleConnections:
		b.transport.CloseIdleConnections(action.ServerID)
	case policy.HealthCheck:
		b.checkHealth(action.ServerID, now)
	case policy.SetTimer:
		b.timers.add(now.Add(duration(action.Delay)), func(time.Time) { b.emit(policy.TimerFired{}) })
	case policy.Log:
		b.log.Info(action.Text)
	}
}

// newAttempt records an attempt that the aggregator ordered. If the attempt must not be sent, newAttempt reports it to
// the aggregator as withdrawn and returns nil. It also returns nil if the part is unknown.
func (b *Broker) newAttempt(order policy.SendAttempt, now time.Time) *Attempt {
	p := b.partsByPolicyID[order.PartID]
	if p == nil {
		b.log.WithField("part", order.PartID).Error("cannot send an attempt at an unknown part")
		return nil
	}
	deadline := now.Add(duration(order.Timeout))
	if order.Timeout == 0 || deadline.After(p.query.Deadline) {
		deadline = p.query.Deadline
	}
	a := &Attempt{
		Query:         p.query.Query,
		Shard:         p.spec.Shard,
		ServerID:      order.ServerID,
		Deadline:      deadline,
		RetryDeadline: p.retryDeadline(),
		broker:        b,
		part:          p,
		index:         len(p.attempts),
		sentAt:        now,
	}
	p.attempts = append(p.attempts, a)
	overLimit := b.settings.MaxAttempts > 0 && a.index >= b.settings.MaxAttempts
	if overLimit || !b.isOpen(p.query) || !deadline.After(now) {
		a.Withdraw()
		b.finishAttempt(a, Unanswered(policy.Withdrawn), now)
		return nil
	}
	a.deadlineTimer = b.timers.add(deadline, func(now time.Time) { b.cancelAttempt(a, policy.TimedOut, now) })
	return a
}

// sendCall passes a call to the transport. If that fails, its attempts end with the status ConnectFailed.
func (b *Broker) sendCall(serverID uint32, call []*Attempt, now time.Time) {
	err := b.transport.Send(serverID, call)
	if err == nil {
		return
	}
	if suppressed, due := b.sendErrorLog.Due(now); due {
		b.log.WithError(err).WithFields(logrus.Fields{"server": serverID, "more": suppressed}).Warn("cannot send call to store")
	}
	for _, a := range call {
		a.Withdraw()
		b.finishAttempt(a, Unanswered(policy.ConnectFailed), now)
	}
}

// checkHealth has the transport request a server's load report. Only the first result counts.
func (b *Broker) checkHealth(serverID uint32, now time.Time) {
	var once sync.Once
	b.transport.CheckHealth(serverID, func(result AttemptResult) {
		once.Do(func() { b.post(healthCheckFinished{serverID, now, result}) })
	})
}

// finishAttempt reports an attempt's outcome to the aggregator. Only the first outcome counts, since an answer may arrive
// after a timeout.
func (b *Broker) finishAttempt(a *Attempt, result AttemptResult, now time.Time) {
	if a.finished {
		return
	}
	a.finished = true
	a.status = result.Status
	b.timers.cancel(a.deadlineTimer)
	p := a.part
	if result.Status == policy.OK && b.isOpen(p.query) && !p.answered {
		p.answered = true
		p.body = result.Body
	}
	b.emit(policy.AttemptResult{
		PartID:       p.policyID,
		AttemptIndex: a.index,
		ServerID:     a.ServerID,
		Status:       result.Status,
		Elapsed:      now.Sub(a.sentAt).Microseconds(),
		Report:       result.Report,
	})
	b.releasePart(p)
}

// cancelAttempt cancels an unfinished attempt, which ends with the given status. If it timed out before it was started,
// it ends with ConnectFailed instead.
func (b *Broker) cancelAttempt(a *Attempt, status policy.Status, now time.Time) {
	if a.finished {
		return
	}
	if a.Withdraw() && status == policy.TimedOut {
		status = policy.ConnectFailed // it has only waited for a connection
	}
	b.transport.Cancel(a)
	b.finishAttempt(a, Unanswered(status), now)
}
