// Package broker runs a policy.Aggregator, called the aggregator below. It admits queries, reports events to the
// aggregator, sends the attempts that the aggregator orders, and answers the queries. The package is independent of any
// wire protocol.
//
// One goroutine, the event loop, owns the aggregator and all tables. Other goroutines send it messages through a bounded
// queue. The event loop calls Transport, Responder and Gate, which must not block, so that a slow peer delays only its
// own queries.
package broker

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"alderproxy/internal/ratelog"
	"alderproxy/policy"
)

// defaultQueueLength is the capacity of the message queue if Config sets none.
const defaultQueueLength = 1024

// Config configures a broker.
type Config struct {
	// Settings are the settings to serve queries by if Terms is nil.
	Settings policy.Settings
	// Seed is passed to policy.New, which ignores it.
	Seed uint64
	// Transport sends attempts and health checks to stores.
	Transport Transport
	// Log receives the log lines of the broker and of the aggregator.
	Log *logrus.Entry
	// QueueLength is the capacity of the message queue; 0 selects the default.
	QueueLength int
	// Terms are the initial terms. If they are nil, the terms consist of Settings and version 0.
	Terms *Terms
	// Gate can stop the admission of queries. If it is nil, the gate is always open.
	Gate Gate
}

// Broker admits queries and carries out the actions of one aggregator. Its methods may be called from any goroutine.
type Broker struct {
	// terms apply to new queries. Only the event loop replaces them.
	terms     atomic.Pointer[Terms]
	gate      Gate
	transport Transport
	log       *logrus.Entry
	// epoch is the time at which the broker was started. It has a wall clock and a monotonic clock reading.
	epoch     time.Time
	messages  chan message
	closeOnce sync.Once
	// stopping is closed by Close.
	stopping chan struct{}
	// stopped is closed when the event loop has returned.
	stopped chan struct{}
	// drained is closed once a drain was started and no query is open.
	drained chan struct{}

	// The event loop owns everything below.

	aggregator *policy.Aggregator
	// pendingEvents are reported to the aggregator in the next step.
	pendingEvents []policy.Event
	// settings are those of terms.
	settings policy.Settings
	// queriesByPolicyID and queriesBySubmission hold the open queries.
	queriesByPolicyID   map[uint64]*activeQuery
	queriesBySubmission map[*Query]*activeQuery
	// partsByPolicyID holds the parts of open queries, and those of ended queries that have unfinished attempts.
	partsByPolicyID map[uint64]*activePart
	// openQueriesAndParts is the number of open queries plus that of their parts, which Settings.MaxOpen limits.
	openQueriesAndParts int
	// lastPolicyID is the latest ID that was given to a query or part.
	lastPolicyID uint64
	timers       timerHeap
	// drainDeadline is the time at which a drain ends all open queries; zero if no drain was started.
	drainDeadline time.Time
	expiryLog     ratelog.Limiter
	sendErrorLog  ratelog.Limiter
}

// New checks the terms and starts a broker. An error is that of Terms.Check or wraps that of policy.New.
func New(config Config) (*Broker, error) {
	terms := config.Terms
	if terms == nil {
		terms = &Terms{Settings: config.Settings}
	}
	if err := terms.Check(); err != nil {
		return nil, err
	}
	aggregator, err := policy.New(terms.Settings, config.Seed)
	if err != nil {
		return nil, fmt.Errorf("create aggregator: %w", err)
	}
	queueLength := config.QueueLength
	if queueLength <= 0 {
		queueLength = defaultQueueLength
	}
	b := &Broker{
		gate:                config.Gate,
		transport:           config.Transport,
		log:                 config.Log,
		epoch:               time.Now(),
		messages:            make(chan message, queueLength),
		stopping:            make(chan struct{}),
		stopped:             make(chan struct{}),
		drained:             make(chan struct{}),
		aggregator:          aggregator,
		settings:            terms.Settings,
		queriesByPolicyID:   map[uint64]*activeQuery{},
		queriesBySubmission: map[*Query]*activeQuery{},
		partsByPolicyID:     map[uint64]*activePart{},
	}
	b.terms.Store(terms)
	go b.run()
	return b, nil
}

// Submit submits a query. The query's Responder receives exactly one final answer unless the query is canceled or the
// broker is closed. Submit returns false if the broker was closed before it accepted the query, which then gets no
// answer.
func (b *Broker) Submit(q *Query) bool { return b.post(querySubmitted{q}) }

// Cancel reports that the client no longer waits for some queries. Once it returns, no attempt at their parts is started,
// however long the message queue is. A final answer may still follow until the event loop has handled the cancellation.
func (b *Broker) Cancel(queries ...*Query) {
	for _, q := range queries {
		q.canceled.Store(true)
	}
	// post blocks while the message queue is full, so all queries are marked first.
	for _, q := range queries {
		b.post(queryCanceled{q})
	}
}

// UpdateEndpoints replaces the endpoint list.
func (b *Broker) UpdateEndpoints(endpoints []policy.Endpoint) { b.post(endpointsUpdated{endpoints}) }

// Drain ends every query by the deadline, before which queries are still admitted. The returned channel is closed once no
// query is open. Only the first call sets the deadline.
func (b *Broker) Drain(deadline time.Time) <-chan struct{} {
	b.post(drainStarted{deadline})
	return b.drained
}

// Close stops the event loop and waits until it has returned. Open queries get no answer, so call Drain first.
func (b *Broker) Close() {
	b.closeOnce.Do(func() { close(b.stopping) })
	<-b.stopped
}
