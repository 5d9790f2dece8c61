// Package broker is the core round the decisions: it takes queries, hands what happens to policy.Aggregator and
// carries out what that returns. It deals in queries, parts, attempts and outcomes and knows no wire.
//
// One goroutine owns the aggregator and all tables. Everything else reaches it through a bounded queue. What
// the owner calls (Transport and Sink) must not block, so that a slow peer costs only itself.
package broker

import (
	"errors"
	"fmt"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"alderproxy/internal/ratelog"
	"alderproxy/policy"
)

// Part is a piece of a query that one store answers.
type Part struct {
	Shard       int
	Weight      float64
	CostHint    policy.Micros // expected work; 0: not told
	AffinityKey uint64        // 0: none
}

// Query is a client's query. Once it is submitted, none of it may change.
type Query struct {
	ID             string // new with every try of a client
	Class          int
	IdempotencyKey string    // idempotency key, in a keyed class
	Payload        []byte    // what each part has to carry, as it came
	Deadline       time.Time // the client leaves then
	Retry          bool      // the client said that it tries again
	Parts          []Part
	Responder      Responder
	FrontData      any    // the front's own, for its transport
	Terms          *Terms // by which it was read; nil: by whatever stands when it is taken

	canceled atomic.Bool // its client has left: seen wherever an attempt waits, before the owner comes to it
}

// Terms are what queries are served by. Once they are handed in, none of it may change.
type Terms struct {
	Version   uint64 // 0: of no agreed configuration
	Settings  policy.Settings
	FrontData any // the front's own, for reading queries
}

// Gate says whether new queries may be taken by terms at this moment, and if not, when to come back. The owner calls
// it, so it must not block.
type Gate func(*Terms) (open bool, comeBack time.Duration)

// Responder takes the one final answer of a query. The owner calls it, so it must not block.
type Responder interface{ Respond(Response) }

// Status says how a query ended.
type Status uint8

// The ways a query ends.
const (
	Served   Status = iota
	Rejected        // trying again is harmless
	Failed
)

// Response is a query's final answer.
type Response struct {
	Status           Status
	Complete         bool          // Served: nothing that a whole answer needs is missing
	Parts            []PartResult  // Served: of the parts that are in, in the order of the query's parts
	RetryAfter       time.Duration // Refused: how long to wait before another try; 0: no advice
	DeadlineExceeded bool          // Refused or Failed: the query's time was up
	PartsFailed      bool          // Refused or Failed: a part was tried in vain, and not only turned away
	StaleTerms       bool          // Refused: the terms that it was read by stand no more; read it again
	GateClosed       bool          // Refused: the gate is closed
	Version          uint64        // of the terms that the query was taken by
}

// PartResult is what a store gave for a part.
type PartResult struct {
	Shard int
	Body  []byte
}

// AttemptResult is how an attempt or a probe ended.
type AttemptResult struct {
	Status policy.Status
	Report policy.LoadReport
	Value  []byte
}

// Transport reaches the stores. The owner calls it, so none of its methods may block. It calls Finish once for
// each attempt that Send has taken and that was not given up. Finish and a probe's done may wait for the owner, so
// they must never be called from within a call of the owner's.
type Transport interface {
	// Send starts attempts that share one call. An error says that none of them can be sent.
	Send(server uint32, call []*Attempt) error
	// Cancel tells that nobody waits for an attempt any more.
	Cancel(a *Attempt)
	// CloseIdleConnections closes the idle connections to a server.
	CloseIdleConnections(server uint32)
	// CheckHealth asks a server for its load and calls done once.
	CheckHealth(server uint32, done func(AttemptResult))
}

// Attempt is one sending of a part.
type Attempt struct {
	Query    *Query
	Shard    int
	Server   uint32
	Deadline time.Time // nobody waits any longer then
	// RetryDeadline is when the attempt must have been written at the latest: an earlier one of a keyed part may have run, and
	// stores drop repeats for a while only. Zero: it is no such repeat.
	RetryDeadline time.Time

	broker *Broker
	part   *activePart
	number    int
	sentAt   time.Time
	deadlineTimer  *timer
	state  atomic.Int32
	finished   bool // owner's: its outcome was told
	status  policy.Status
}

const (
	attemptQueued int32 = iota
	attemptStarted
	attemptWithdrawn
)

// Start is called before the first byte is written. False means that it must not be written: it was given up, its
// client has left or waits no longer, or it comes too late to be a repeat that the stores still drop. What was not begun
// has never run, whatever becomes of it.
func (a *Attempt) Start() bool {
	now := time.Now()
	if a.Query.canceled.Load() || !now.Before(a.Deadline) || !a.RetryDeadline.IsZero() && !now.Before(a.RetryDeadline) {
		return false
	}
	return a.state.CompareAndSwap(attemptQueued, attemptStarted)
}

// Withdraw takes an attempt back for good and tells whether it has never run: whether it had not been begun.
func (a *Attempt) Withdraw() (never bool) {
	return a.state.CompareAndSwap(attemptQueued, attemptWithdrawn) || a.state.Load() == attemptWithdrawn
}

// Finish hands in the attempt's outcome. Only the first counts.
func (a *Attempt) Finish(o AttemptResult) { a.broker.post(attemptFinished{a, o}) }

// Config is what a broker needs.
type Config struct {
	Settings  policy.Settings
	Seed      uint64
	Transport Transport
	Log       *logrus.Entry
	QueueLength     int    // length of the owner's queue; 0: a default
	Terms     *Terms // to begin with, in place of Settings; nil: Settings alone
	Gate      Gate   // nil: always open
}

// Broker runs the decisions for one gatherer.
type Broker struct {
	terms  atomic.Pointer[Terms] // the owner's to change
	gate   Gate
	transport     Transport
	log    *logrus.Entry
	policy *policy.Aggregator
	epoch  time.Time
	messages  chan any
	stopping   chan struct{}
	stopped   chan struct{}
	closeOnce   sync.Once
	drained   chan struct{} // closed when a drain has ended and nothing is open

	// The rest is the owner's.
	settings     policy.Settings // of the terms
	queriesByID map[uint64]*activeQuery
	partsByID   map[uint64]*activePart
	queriesBySubmission map[*Query]*activeQuery
	openItems    int // queries and parts held
	lastID  uint64
	timers  timerHeap
	pendingEvents  []policy.Event
	drainDeadline  time.Time // of a drain; zero: none
	expiryLog ratelog.Line
	sendErrorLog ratelog.Line
}

type activeQuery struct {
	*Query
	id      uint64
	termsVersion uint64    // of the terms it was taken by
	answerDeadline    time.Time // from about then on it ends because its time is up
	deadlineTimer   *timer
	parts   []*activePart
	class     policy.Class // as it was taken
}

type activePart struct {
	id    uint64
	query     *activeQuery
	spec  Part
	attempts []*Attempt
	body []byte
	answered    bool
}

// What comes through the queue.
type (
	attemptFinished struct {
		attempt *Attempt
		result AttemptResult
	}
	healthCheckFinished struct {
		server uint32
		startedAt     time.Time
		result      AttemptResult
	}
	queryCanceled  struct{ query *Query }
	endpointsUpdated struct{ endpoints []policy.Endpoint }
	termsChanged  struct{ terms *Terms }
	drainStarted   struct{ deadline time.Time }
)

// ErrFetchPhaseUnsupported refuses settings whose classes bring a second step after the first answer.
var ErrFetchPhaseUnsupported = errors.New("classes with a second step are not supported")

// New checks the settings and starts the owner.
func New(c Config) (*Broker, error) {
	if c.Terms == nil {
		c.Terms = &Terms{Settings: c.Settings}
	}
	if err := c.Terms.Check(); err != nil {
		return nil, err
	}
	p, err := policy.New(c.Terms.Settings, c.Seed)
	if err != nil {
		return nil, fmt.Errorf("start decisions: %w", err)
	}
	if c.QueueLength <= 0 {
		c.QueueLength = 1024
	}
	b := &Broker{
		settings: c.Terms.Settings, gate: c.Gate, transport: c.Transport, log: c.Log, policy: p, epoch: time.Now(),
		messages: make(chan any, c.QueueLength), stopping: make(chan struct{}), stopped: make(chan struct{}),
		drained: make(chan struct{}), queriesByID: map[uint64]*activeQuery{}, partsByID: map[uint64]*activePart{},
		queriesBySubmission: map[*Query]*activeQuery{},
	}
	b.terms.Store(c.Terms)
	go b.run()
	return b, nil
}

// Check tells whether a broker can serve by the terms.
func (t *Terms) Check() error {
	for _, class := range t.Settings.Classes {
		if class.FetchParts > 0 {
			return fmt.Errorf("class %s: %w", class.Name, ErrFetchPhaseUnsupported)
		}
	}
	return t.Settings.Check()
}

// Terms are those by which queries are taken now.
func (b *Broker) Terms() *Terms { return b.terms.Load() }

// SetTerms has the broker take queries by other terms from now on. What was taken is answered as it was taken, and what
// is known of the stores stays. Terms that fail Check change nothing.
func (b *Broker) SetTerms(t *Terms) error {
	if err := t.Check(); err != nil {
		return err
	}
	b.post(termsChanged{t})
	return nil
}

// post puts something into the owner's queue. It waits where the queue is full: that holds up the caller's own
// connection and nothing else. After Close it drops what comes.
func (b *Broker) post(item any) bool {
	select {
	case b.messages <- item:
		return true
	case <-b.stopping:
		return false
	}
}

// Submit hands in a query. Its Sink gets exactly one final answer, unless the broker was closed.
func (b *Broker) Submit(q *Query) bool { return b.post(q) }

// Cancel tells that the client of some queries left: no attempt of any of them begins any more, however long the owner's
// queue is. A final answer may still come if it was on its way.
func (b *Broker) Cancel(queries ...*Query) {
	for _, q := range queries {
		q.canceled.Store(true)
	}
	for _, q := range queries { // each may wait for the owner
		b.post(queryCanceled{q})
	}
}

// UpdateEndpoints hands in the whole server list as it now is.
func (b *Broker) UpdateEndpoints(servers []policy.Endpoint) { b.post(endpointsUpdated{servers}) }

// Drain makes the broker end every query by cutoff and returns a channel that closes once nothing is open.
func (b *Broker) Drain(cutoff time.Time) <-chan struct{} {
	b.post(drainStarted{cutoff})
	return b.drained
}

// Close stops the owner. Open queries get no answer: drain first.
func (b *Broker) Close() {
	b.closeOnce.Do(func() { close(b.stopping) })
	<-b.stopped
}

// policyTime is a moment on the clock that decisions use: the system's at the start, never running backwards.
func (b *Broker) policyTime(t time.Time) policy.Micros {
	return b.epoch.UnixMicro() + t.Sub(b.epoch).Microseconds()
}

func duration(m policy.Micros) time.Duration { return time.Duration(m) * time.Microsecond }

func (b *Broker) run() {
	defer close(b.stopped)
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	for {
		wake.Reset(b.timers.untilNext(time.Now()))
		select {
		case <-b.stopping:
			return
		case item := <-b.messages:
			b.handle(item)
		case <-wake.C:
		}
		b.handleQueued()
		now := time.Now()
		for fire := b.timers.popDue(now); fire != nil; fire = b.timers.popDue(now) {
			fire(now)
		}
		// What carrying out brings about at once (an attempt that cannot be sent) is told in a step of its own.
		for len(b.pendingEvents) > 0 {
			b.step(now)
		}
		if !b.drainDeadline.IsZero() && len(b.queriesByID) == 0 {
			select {
			case <-b.drained:
			default:
				close(b.drained)
			}
		}
	}
}

// handleQueued takes what else is there already, so that one turn sees all of it, as one tick would.
func (b *Broker) handleQueued() {
	for range cap(b.messages) {
		select {
		case item := <-b.messages:
			b.handle(item)
		default:
			return
		}
	}
}

func (b *Broker) emit(e policy.Event) { b.pendingEvents = append(b.pendingEvents, e) }

func (b *Broker) handle(item any) {
	now := time.Now()
	switch it := item.(type) {
	case *Query:
		b.admit(it, now)
	case queryCanceled:
		if q := b.queriesBySubmission[it.query]; q != nil {
			b.emit(policy.ClientCanceled{Query: q.id})
			b.remove(q, now)
		}
	case attemptFinished:
		b.finishAttempt(it.attempt, it.result, now)
	case healthCheckFinished:
		b.emit(policy.HealthCheckResult{
			Server: it.server, Status: it.result.Status, Elapsed: now.Sub(it.startedAt).Microseconds(),
			Report: it.result.Report,
		})
	case endpointsUpdated:
		b.emit(policy.EndpointList{Endpoints: it.endpoints})
	case termsChanged:
		b.settings = it.terms.Settings
		b.terms.Store(it.terms)
		b.emit(policy.Reconfigure{Settings: b.settings})
	case drainStarted:
		if b.drainDeadline.IsZero() {
			b.drainDeadline = it.deadline
			b.timers.add(it.deadline, b.expireOpenQueries)
		}
	}
}

func (b *Broker) admit(spec *Query, now time.Time) {
	if spec.canceled.Load() {
		return // nobody waits for an answer
	}
	advice := time.Duration(0)
	if b.settings.SendRetryAfter {
		advice = duration(b.settings.MaxRetryAfter)
	}
	// The module leaves the limit on what is held to its owner. Holding on to more would use up the memory.
	if b.settings.MaxOpen > 0 && b.openItems >= b.settings.MaxOpen || !b.drainDeadline.IsZero() && !now.Before(b.drainDeadline) {
		spec.Responder.Respond(Response{Status: Rejected, RetryAfter: advice})
		return
	}
	if !spec.Deadline.After(now) {
		spec.Responder.Respond(Response{Status: Rejected, DeadlineExceeded: true})
		return
	}
	// Here, and not where the query was read: whatever held this process up in between, it ends here.
	terms := b.terms.Load()
	if b.gate != nil {
		if open, comeBack := b.gate(terms); !open {
			spec.Responder.Respond(Response{Status: Rejected, GateClosed: true, RetryAfter: comeBack})
			return
		}
	}
	if spec.Terms != nil && spec.Terms != terms {
		spec.Responder.Respond(Response{Status: Rejected, StaleTerms: true})
		return
	}
	b.lastID++
	q := &activeQuery{Query: spec, id: b.lastID, answerDeadline: spec.Deadline, termsVersion: terms.Version}
	if spec.Class >= 0 && spec.Class < len(b.settings.Classes) {
		q.class = b.settings.Classes[spec.Class]
		// Where an answer past the aim earns nothing, the decisions stop there.
		if c := q.class; c.LateWeight <= 0 && now.Add(duration(c.LatencyObjective)).Before(q.answerDeadline) {
			q.answerDeadline = now.Add(duration(c.LatencyObjective))
		}
	}
	b.queriesByID[q.id], b.queriesBySubmission[spec] = q, q
	b.openItems += 1 + len(spec.Parts)
	b.emit(policy.Query{
		ID: q.id, Number: q.id, Class: spec.Class, Deadline: b.policyTime(spec.Deadline),
		Parts: len(spec.Parts), Retry: spec.Retry,
	})
	for _, s := range spec.Parts {
		b.lastID++
		p := &activePart{id: b.lastID, query: q, spec: s}
		q.parts = append(q.parts, p)
		b.partsByID[p.id] = p
		b.emit(policy.Part{ID: p.id, Number: q.id, Shard: s.Shard, Key: s.AffinityKey, Weight: s.Weight, CostHint: s.CostHint})
	}
	// The module ends every query in time. Should it ever not, the client still gets its one answer.
	q.deadlineTimer = b.timers.add(spec.Deadline.Add(-time.Millisecond), func(now time.Time) { b.expire(q, now) })
}

// expire ends a query for which the decisions have no more time.
func (b *Broker) expire(q *activeQuery, now time.Time) {
	if b.queriesByID[q.id] != q {
		return
	}
	ending := Rejected
	for _, p := range q.parts {
		for _, a := range p.attempts {
			if a.state.Load() == attemptStarted && q.class.Idempotency != policy.Idempotent {
				ending = Failed
			}
		}
	}
	if more, due := b.expiryLog.Due(now); due {
		b.log.WithFields(logrus.Fields{"query": q.ID, "refused": ending == Rejected, "more": more}).Warn("query cut off at its end of time")
	}
	b.emit(policy.ClientCanceled{Query: q.id})
	b.remove(q, now)
	q.Responder.Respond(Response{Status: ending, DeadlineExceeded: true, Version: q.termsVersion})
}

// expireOpenQueries ends what a drain finds open at its cutoff.
func (b *Broker) expireOpenQueries(now time.Time) {
	open := make([]*activeQuery, 0, len(b.queriesByID))
	for _, q := range b.queriesByID {
		open = append(open, q)
	}
	slices.SortFunc(open, func(x, y *activeQuery) int { return int(int64(x.id) - int64(y.id)) })
	for _, q := range open {
		b.expire(q, now)
	}
}

// remove takes a query that is over out of the tables. Its attempts that wait to be written never are, whether the
// settings allow to cancel others or not: nobody has seen them. The rest stay until each has its outcome.
func (b *Broker) remove(q *activeQuery, now time.Time) {
	delete(b.queriesByID, q.id)
	delete(b.queriesBySubmission, q.Query)
	b.openItems -= 1 + len(q.parts)
	b.timers.cancel(q.deadlineTimer)
	for _, p := range q.parts {
		p.body = nil // an attempt that is still out holds its part
		for _, a := range p.attempts {
			if !a.finished && a.Withdraw() {
				b.cancelAttempt(a, policy.Canceled, now)
			}
		}
		b.releasePart(p)
	}
}

// releasePart drops a part that is over and of which no attempt is out.
func (b *Broker) releasePart(p *activePart) {
	live := func(a *Attempt) bool { return !a.finished }
	if b.queriesByID[p.query.id] != p.query && !slices.ContainsFunc(p.attempts, live) {
		delete(b.partsByID, p.id)
	}
}

// finishAttempt tells the end of an attempt. Only the first end counts: a store's answer may cross a time-out.
func (b *Broker) finishAttempt(a *Attempt, o AttemptResult, now time.Time) {
	if a.finished {
		return
	}
	a.finished, a.status = true, o.Status
	b.timers.cancel(a.deadlineTimer)
	if o.Status == policy.OK && b.queriesByID[a.part.query.id] == a.part.query && !a.part.answered {
		a.part.answered, a.part.body = true, o.Value
	}
	b.emit(policy.AttemptResult{
		Part: a.part.id, Attempt: a.number, Server: a.Server, Status: o.Status,
		Elapsed: now.Sub(a.sentAt).Microseconds(), Report: o.Report,
	})
	b.releasePart(a.part)
}

// cancelAttempt ends the wait for an attempt, with status where it may have run.
func (b *Broker) cancelAttempt(a *Attempt, status policy.Status, now time.Time) {
	if a.finished {
		return
	}
	if a.Withdraw() && status == policy.TimedOut {
		status = policy.ConnectFailed // it was never written: it waited for a connection all the time
	}
	b.transport.Cancel(a)
	b.finishAttempt(a, AttemptResult{Status: status, Report: policy.NoLoadReport}, now)
}

// step hands the decisions what has happened and carries out what they return. A panic there must not take
// the other queries with it: it is logged, and each query still ends by its time.
func (b *Broker) step(now time.Time) {
	events := b.pendingEvents
	b.pendingEvents = nil
	var acts []policy.Action
	func() {
		defer func() {
			if r := recover(); r != nil {
				b.log.WithField("stack", string(debug.Stack())).Errorf("decisions panicked: %v", r)
			}
		}()
		acts = b.policy.Step(b.policyTime(now), events)
	}()
	b.execute(acts, now)
}

func (b *Broker) execute(acts []policy.Action, now time.Time) {
	var order []uint32
	calls := map[uint32][]*Attempt{}
	for _, act := range acts {
		switch act := act.(type) {
		case policy.SendAttempt:
			if a := b.newAttempt(act, now); a != nil {
				if len(calls[act.Server]) == 0 {
					order = append(order, act.Server)
				}
				calls[act.Server] = append(calls[act.Server], a)
			}
		case policy.CancelAttempt:
			if p := b.partsByID[act.Part]; p != nil && act.Attempt >= 0 && act.Attempt < len(p.attempts) {
				b.cancelAttempt(p.attempts[act.Attempt], policy.Canceled, now)
			}
		case policy.Answer:
			b.respond(act.Query, Response{Status: Served, Complete: act.Complete}, now)
		case policy.Reject:
			b.respond(act.Query, Response{Status: Rejected, RetryAfter: duration(act.RetryAfter)}, now)
		case policy.Fail:
			b.respond(act.Query, Response{Status: Failed}, now)
		case policy.CloseIdleConnections:
			b.transport.CloseIdleConnections(act.Server)
		case policy.HealthCheck:
			b.checkHealth(act.Server, now)
		case policy.SetTimer:
			b.timers.add(now.Add(duration(act.After)), func(time.Time) { b.emit(policy.Timer{}) })
		case policy.Log:
			b.log.Info(act.Text)
		}
	}
	for _, server := range order {
		for call := range slices.Chunk(calls[server], max(1, b.settings.MaxBatchSize)) {
			b.send(server, call, now)
		}
	}
}

// newAttempt books a Send. What may not be sent is told as moot, which proves that it never ran.
func (b *Broker) newAttempt(act policy.SendAttempt, now time.Time) *Attempt {
	p := b.partsByID[act.Part]
	if p == nil {
		b.log.WithField("part", act.Part).Error("decisions sent a part that is over")
		return nil
	}
	until := now.Add(duration(act.Timeout))
	if act.Timeout == 0 || until.After(p.query.Deadline) {
		until = p.query.Deadline
	}
	a := &Attempt{
		Query: p.query.Query, Shard: p.spec.Shard, Server: act.Server, Deadline: until,
		broker: b, part: p, number: len(p.attempts), sentAt: now,
	}
	a.RetryDeadline = p.retryDeadline()
	p.attempts = append(p.attempts, a)
	if b.queriesByID[p.query.id] != p.query || !until.After(now) || b.settings.MaxAttempts > 0 && a.number >= b.settings.MaxAttempts {
		a.Withdraw()
		b.finishAttempt(a, AttemptResult{Status: policy.Withdrawn, Report: policy.NoLoadReport}, now)
		return nil
	}
	a.deadlineTimer = b.timers.add(until, func(now time.Time) { b.cancelAttempt(a, policy.TimedOut, now) })
	return a
}

// retryDeadline is when a further attempt must have been written, where what may have run is dropped by stores for a while
// only; zero: at no time. It waits for connections meanwhile, so the decisions' own look at the window is not enough.
func (p *activePart) retryDeadline() (at time.Time) {
	if p.query.class.Idempotency != policy.IdempotentByKey {
		return at
	}
	for _, a := range p.attempts {
		never := a.state.Load() == attemptWithdrawn || a.finished && (a.status == policy.Rejected || a.status == policy.ConnectFailed || a.status == policy.Withdrawn)
		if !never && (at.IsZero() || a.sentAt.Before(at)) {
			at = a.sentAt
		}
	}
	if !at.IsZero() {
		at = at.Add(duration(p.query.class.DeduplicationWindow))
	}
	return at
}

func (b *Broker) send(server uint32, call []*Attempt, now time.Time) {
	err := b.transport.Send(server, call)
	if err == nil {
		return
	}
	if more, due := b.sendErrorLog.Due(now); due {
		b.log.WithError(err).WithFields(logrus.Fields{"server": server, "more": more}).Warn("attempt not sent")
	}
	for _, a := range call {
		a.Withdraw()
		b.finishAttempt(a, AttemptResult{Status: policy.ConnectFailed, Report: policy.NoLoadReport}, now)
	}
}

func (b *Broker) checkHealth(server uint32, now time.Time) {
	var once sync.Once
	b.transport.CheckHealth(server, func(o AttemptResult) {
		once.Do(func() { b.post(healthCheckFinished{server, now, o}) })
	})
}

// respond gives a query its final answer.
func (b *Broker) respond(id uint64, answer Response, now time.Time) {
	q := b.queriesByID[id]
	if q == nil {
		return
	}
	if answer.Status == Served {
		for _, p := range q.parts {
			if p.answered {
				answer.Parts = append(answer.Parts, PartResult{p.spec.Shard, p.body})
			}
		}
	} else {
		answer.DeadlineExceeded = time.Until(q.answerDeadline) <= duration(3*b.settings.Tick)
		vain := func(p *activePart) bool {
			return !p.answered && slices.ContainsFunc(p.attempts, func(a *Attempt) bool { return a.finished && a.status != policy.Rejected })
		}
		answer.PartsFailed = slices.ContainsFunc(q.parts, vain)
	}
	b.remove(q, now)
	answer.Version = q.termsVersion
	q.Responder.Respond(answer)
}
