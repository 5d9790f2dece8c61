package simfleet

import (
	"slices"

	"alderproxy/internal/simnet"
	"alderproxy/policy"
)

// Aggregator is an aggregator of a fleet.
type Aggregator struct {
	fleet  *Fleet
	node   simnet.NodeID // the aggregator's index in the fleet
	policy *policy.Aggregator
	// connectionUsedAt is the time of the last use of the connection to a store, by the store's ID. There is no
	// connection to a store without an entry.
	connectionUsedAt map[uint32]Micros
	openQueries      map[uint64]*query
	parts            map[uint64]*part
	lastID           uint64 // the last ID that was assigned to a query or part
}

// query is a query of a client.
type query struct {
	id        uint64
	class     int
	startedAt Micros
	deadline  Micros
	parts     []*part
}

// part is the part of a query that concerns one shard.
type part struct {
	id       uint64
	query    *query
	shard    int
	work     float64
	attempts []*attempt
	answered bool
}

// attempt is one request for a part to a store.
type attempt struct {
	store     uint32
	startedAt Micros
	finished  bool
}

// start starts the aggregator with no state but the current endpoint list.
func (a *Aggregator) start() {
	settings := a.fleet.scenario.Settings
	settings.InstanceIndex = int(a.node)
	aggregator, err := policy.New(settings, a.fleet.scenario.Seed)
	if err != nil {
		panic(err) // the settings of the test's scenario are invalid
	}
	a.policy = aggregator
	a.connectionUsedAt = map[uint32]Micros{}
	a.openQueries = map[uint64]*query{}
	a.parts = map[uint64]*part{}
	a.step(policy.EndpointList{Endpoints: a.fleet.endpoints()})
}

// accept accepts a query and passes it and its parts to the policy, or sends the parts to random replicas if the scenario
// says so.
func (a *Aggregator) accept(q *query) {
	q.id = a.nextID()
	a.openQueries[q.id] = q
	events := []policy.Event{
		policy.Query{ID: q.id, Number: q.id, Class: q.class, Deadline: q.deadline, PartCount: len(q.parts)},
	}
	for _, p := range q.parts {
		p.id = a.nextID()
		a.parts[p.id] = p
		events = append(events, policy.Part{ID: p.id, QueryNumber: q.id, Shard: p.shard, Weight: 1 / float64(len(q.parts))})
	}
	if !a.fleet.scenario.RandomReplicas {
		a.step(events...)
		return
	}
	for _, p := range q.parts {
		a.sendToRandomReplica(p)
	}
}

func (a *Aggregator) nextID() uint64 {
	a.lastID++
	return a.lastID
}

// step passes events to the policy and performs the resulting actions.
func (a *Aggregator) step(events ...policy.Event) {
	for _, action := range a.policy.Step(a.fleet.Network.Now(), events) {
		a.perform(action)
	}
}

func (a *Aggregator) perform(action policy.Action) {
	switch action := action.(type) {
	case policy.SendAttempt:
		a.startAttempt(action)
	case policy.CancelAttempt:
		a.fleet.result.Cancellations++
		if p := a.parts[action.PartID]; p != nil {
			a.finishAttempt(p, action.AttemptIndex, policy.Canceled, policy.NoLoadReport)
		}
	case policy.Answer:
		a.finishQuery(a.openQueries[action.QueryID], outcomeServed)
	case policy.Reject:
		a.finishQuery(a.openQueries[action.QueryID], outcomeRejected)
	case policy.Fail:
		a.finishQuery(a.openQueries[action.QueryID], outcomeFailed)
	case policy.HealthCheck:
		a.checkHealth(action.ServerID)
	case policy.CloseIdleConnections:
		delete(a.connectionUsedAt, action.ServerID)
	case policy.SetTimer:
		a.fleet.Network.Schedule(a.node, action.Delay, func() { a.step(policy.TimerFired{}) })
	}
}

// stepLater passes an event to the policy at the current time, but after the current step.
func (a *Aggregator) stepLater(event policy.Event) {
	a.fleet.Network.Schedule(a.node, 0, func() { a.step(event) })
}

// finishQuery closes a query and adds its outcome to the result. It does nothing if the query is not open.
func (a *Aggregator) finishQuery(q *query, outcome queryOutcome) {
	if q == nil || a.openQueries[q.id] != q {
		return
	}
	delete(a.openQueries, q.id)
	f := a.fleet
	class := f.scenario.Settings.Classes[q.class]
	result := &f.result
	second := result.second(q.startedAt)
	weight := class.PriorityWeight
	switch outcome {
	case outcomeServed:
		if f.Network.Now()-q.startedAt > class.LatencyObjective {
			result.Late += weight
			weight *= class.LateWeight
		}
		result.Served += weight
		second.Served += weight
		f.servedByClass[q.class] += weight
	case outcomeFailed:
		result.Failed += weight
		second.Failed += weight
	case outcomeRejected:
		result.Rejected += weight
		second.Rejected += weight
	}
	for _, p := range q.parts {
		a.dropPartIfFinished(p)
	}
}

// dropPartIfFinished removes a part if its query is finished and none of its attempts is in flight.
func (a *Aggregator) dropPartIfFinished(p *part) {
	inFlight := slices.ContainsFunc(p.attempts, func(t *attempt) bool { return !t.finished })
	if a.openQueries[p.query.id] != p.query && !inFlight {
		delete(a.parts, p.id)
	}
}

// sendToRandomReplica implements the baseline: it sends a part to a random replica, without retries.
func (a *Aggregator) sendToRandomReplica(p *part) {
	position := p.shard % a.fleet.scenario.Settings.RingSize
	var replicas []*Store
	for _, store := range a.fleet.Stores {
		if store.Endpoint.State == policy.Ready && store.Endpoint.RingPosition == position {
			replicas = append(replicas, store)
		}
	}
	replica := replicas[a.fleet.Network.Rand().IntN(len(replicas))]
	a.send(p, replica, func(status policy.Status, _ policy.LoadReport) { a.recordRandomReplicaResponse(p, status) })
}

// recordRandomReplicaResponse records the response to a part of the baseline. The query fails with the first error and is
// served once all its parts are answered.
func (a *Aggregator) recordRandomReplicaResponse(p *part, status policy.Status) {
	q := p.query
	if a.openQueries[q.id] != q {
		return
	}
	if status != policy.OK {
		a.finishQuery(q, outcomeFailed)
		return
	}
	p.answered = true
	incomplete := slices.ContainsFunc(q.parts, func(p *part) bool { return !p.answered })
	if !incomplete {
		a.finishQuery(q, outcomeServed)
	}
}
