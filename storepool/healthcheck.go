package storepool

import (
	"sync"
	"time"

	"alderproxy/broker"
	"alderproxy/policy"
)

// healthCheck is a request for a store's load report.
type healthCheck struct {
	once sync.Once
	done func(broker.AttemptResult)
}

// Finish reports the outcome. Calls after the first are ignored.
func (h *healthCheck) Finish(result broker.AttemptResult) { h.once.Do(func() { h.done(result) }) }

// CheckHealth requests a store's load report. Another goroutine calls done once, with the report or with the status of
// the failure.
func (p *Pool) CheckHealth(serverID uint32, done func(broker.AttemptResult)) {
	check := &healthCheck{done: done}
	if len(p.codec.AppendHealthCheck(nil)) == 0 {
		go check.Finish(broker.Unanswered(policy.ServerError))
		return
	}
	if err := p.enqueue(serverID, writeRequest{healthCheck: check}); err != nil {
		go check.Finish(broker.Unanswered(policy.ConnectFailed))
		return
	}
	// The settings have no timeout for health checks, so the connect timeout applies.
	time.AfterFunc(p.connectTimeout(), func() { check.Finish(broker.Unanswered(policy.TimedOut)) })
}
