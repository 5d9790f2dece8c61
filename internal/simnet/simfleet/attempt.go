package simfleet

import "alderproxy/policy"

const (
	// idleConnectionTimeout is the time after which an unused connection is closed.
	idleConnectionTimeout Micros = 15_000_000
	// healthCheckTimeout is the timeout of a health check.
	healthCheckTimeout Micros = 62_500
)

// startAttempt sends a part to a store with a timeout.
func (a *Aggregator) startAttempt(action policy.SendAttempt) {
	p := a.parts[action.PartID]
	index := len(p.attempts)
	a.send(p, a.fleet.store(action.ServerID), func(status policy.Status, report policy.LoadReport) {
		a.finishAttempt(p, index, status, report)
	})
	a.fleet.Network.Schedule(a.node, action.Timeout, func() {
		a.finishAttempt(p, index, policy.TimedOut, policy.NoLoadReport)
	})
}

// finishAttempt reports the result of an attempt to the policy, unless a result was reported before.
func (a *Aggregator) finishAttempt(p *part, index int, status policy.Status, report policy.LoadReport) {
	current := p.attempts[index]
	if current.finished {
		return
	}
	current.finished = true
	a.dropPartIfFinished(p)
	a.stepLater(policy.AttemptResult{
		PartID:       p.id,
		AttemptIndex: index,
		ServerID:     current.store,
		Status:       status,
		Elapsed:      a.fleet.Network.Now() - current.startedAt,
		Report:       report,
	})
}

// send sends a part to a store and calls respond with the response.
func (a *Aggregator) send(p *part, store *Store, respond func(policy.Status, policy.LoadReport)) {
	f := a.fleet
	f.result.Attempts++
	current := &attempt{store: store.Endpoint.ID, startedAt: f.Network.Now()}
	p.attempts = append(p.attempts, current)
	request := job{
		work:        p.work,
		nominalWork: float64(f.scenario.Mix[p.query.class].MeanWork),
		respond: func(status policy.Status, report policy.LoadReport) bool {
			f.Network.SendOrdered(store.node, a.node, func() { respond(status, report) })
			return !current.finished
		},
	}
	a.sendOnConnection(store, func() { store.accept(request) })
}

// checkHealth sends a health check to a store and reports its result or its timeout, whichever is first, to the policy.
func (a *Aggregator) checkHealth(id uint32) {
	network := a.fleet.Network
	store := a.fleet.store(id)
	startedAt := network.Now()
	finished := false
	finish := func(status policy.Status, report policy.LoadReport) {
		if finished {
			return
		}
		finished = true
		a.step(policy.HealthCheckResult{ServerID: id, Status: status, Elapsed: network.Now() - startedAt, Report: report})
	}
	a.sendOnConnection(store, func() {
		store.checkHealth(func(report policy.LoadReport) {
			network.SendOrdered(store.node, a.node, func() { finish(policy.OK, report) })
		})
	})
	network.Schedule(a.node, healthCheckTimeout, func() { finish(policy.TimedOut, policy.NoLoadReport) })
}

// sendOnConnection sends a request to a store and calls arrive when it arrives there. If there is no open connection, a
// handshake of one round trip precedes the request.
func (a *Aggregator) sendOnConnection(store *Store, arrive func()) {
	network := a.fleet.Network
	usedAt, open := a.connectionUsedAt[store.Endpoint.ID]
	a.connectionUsedAt[store.Endpoint.ID] = network.Now()
	if open && network.Now()-usedAt <= idleConnectionTimeout {
		network.SendOrdered(a.node, store.node, arrive)
		return
	}
	network.SendOrdered(a.node, store.node, store.connect)
	network.SendOrdered(a.node, store.node, func() {
		network.SendOrdered(store.node, a.node, func() {
			network.SendOrdered(a.node, store.node, arrive)
		})
	})
}
