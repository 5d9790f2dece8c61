// Package broker carries out the decisions of package policy. It admits queries, reports events to policy.Aggregator, sends
// the attempts that it orders and answers the queries. It deals in queries, parts, attempts and results and knows no wire
// protocol.
//
// One goroutine, the event loop, owns the aggregator and all tables. Other goroutines reach it by messages in a bounded
// queue. What the event loop calls (Transport, Responder and Gate) must not block, so that a slow peer delays nothing but
// its own queries.
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

// defaultQueueLength is the capacity of the message queue where Config sets none.
const defaultQueueLength = 1024

// Config configures a broker.
type Config struct {
	// Settings are served by where Terms is nil.
	Settings policy.Settings
	// Seed initializes the random choices of the decisions.
	Seed uint64
	// Transport sends the attempts.
	Transport Transport
	// Log receives the log lines of the broker and of the decisions.
	Log *logrus.Entry
	// QueueLength is the capacity of the message queue; 0 stands for a default.
	QueueLength int
	// Terms are the first terms to serve by; nil stands for Settings without a version.
	Terms *Terms
	// Gate can stop the admission of queries; nil never does.
	Gate Gate
}

// Broker runs the decisions of one aggregator. Its methods may be called from any goroutine.
type Broker struct {
	// terms are those of new queries. The event loop changes them.
	terms     atomic.Pointer[Terms]
	gate      Gate
	transport Transport
	log       *logrus.Entry
	// epoch is the time on both clocks, the system's and the monotonic one, when the broker was started.
	epoch     time.Time
	messages  chan message
	closeOnce sync.Once
	// stopping is closed by Close.
	stopping chan struct{}
	// stopped is closed when the event loop has returned.
	stopped chan struct{}
	// drained is closed when no query is open during a drain.
	drained chan struct{}

	// The event loop owns everything below.

	policy *policy.Aggregator
	// pendingEvents are reported to the decisions in the next step.
	pendingEvents []policy.Event
	// settings are those of terms.
	settings            policy.Settings
	queriesByID         map[uint64]*activeQuery
	queriesBySubmission map[*Query]*activeQuery
	// partsByID also holds the parts of ended queries that have unfinished attempts.
	partsByID map[uint64]*activePart
	// openItems is the number of open queries and of their parts, which the settings limit.
	openItems int
	// lastID is the last number given to a query or part.
	lastID uint64
	timers timerHeap
	// drainDeadline is when a drain ends every open query; zero while there is none.
	drainDeadline time.Time
	expiryLog     ratelog.Limiter
	sendErrorLog  ratelog.Limiter
}

// New checks the terms and starts a broker. It returns the error of Terms.Check or of policy.New.
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
		return nil, fmt.Errorf("start decisions: %w", err)
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
		policy:              aggregator,
		settings:            terms.Settings,
		queriesByID:         map[uint64]*activeQuery{},
		queriesBySubmission: map[*Query]*activeQuery{},
		partsByID:           map[uint64]*activePart{},
	}
	b.terms.Store(terms)
	go b.run()
	return b, nil
}

// Submit hands in a query, whose Responder receives exactly one final answer unless the broker is closed or the client has
// left. It returns false, and there is no answer, if the broker was closed already.
func (b *Broker) Submit(q *Query) bool { return b.post(querySubmitted{q}) }

// Cancel reports that the client of some queries has left. When it returns, no attempt of theirs is started any more,
// however long the message queue is. A final answer may still follow if it was under way.
func (b *Broker) Cancel(queries ...*Query) {
	for _, q := range queries {
		q.canceled.Store(true)
	}
	// Posting waits while the message queue is full, so every query is marked before.
	for _, q := range queries {
		b.post(queryCanceled{q})
	}
}

// UpdateEndpoints replaces the endpoint list.
func (b *Broker) UpdateEndpoints(endpoints []policy.Endpoint) { b.post(endpointsUpdated{endpoints}) }

// Drain makes the broker end every query by the deadline. The channel that it returns is closed once no query is open.
func (b *Broker) Drain(deadline time.Time) <-chan struct{} {
	b.post(drainStarted{deadline})
	return b.drained
}

// Close stops the event loop and waits for its end. Open queries get no answer, so drain first.
func (b *Broker) Close() {
	b.closeOnce.Do(func() { close(b.stopping) })
	<-b.stopped
}
