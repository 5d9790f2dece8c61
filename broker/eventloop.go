package broker

import (
	"runtime/debug"
	"time"

	"alderproxy/policy"
)

// message is a request or report of another goroutine to the event loop.
type message interface {
	// handle is called by the event loop.
	handle(b *Broker, now time.Time)
}

// The messages to the event loop.
type (
	querySubmitted   struct{ query *Query }
	queryCanceled    struct{ query *Query }
	endpointsUpdated struct{ endpoints []policy.Endpoint }
	termsChanged     struct{ terms *Terms }
	drainStarted     struct{ deadline time.Time }

	attemptFinished struct {
		attempt *Attempt
		result  AttemptResult
	}

	healthCheckFinished struct {
		serverID  uint32
		startedAt time.Time
		result    AttemptResult
	}
)

// post appends a message to the queue of the event loop. It blocks while the queue is full, which delays only the
// connection that the caller serves. It returns false if it drops the message because the broker is closed.
func (b *Broker) post(m message) bool {
	select {
	case b.messages <- m:
		return true
	case <-b.stopping:
		return false
	}
}

// run is the event loop.
func (b *Broker) run() {
	defer close(b.stopped)
	wakeup := time.NewTimer(maxTimerWait)
	defer wakeup.Stop()
	for {
		wakeup.Reset(b.timers.untilNext(time.Now()))
		select {
		case <-b.stopping:
			return
		case m := <-b.messages:
			m.handle(b, time.Now())
		case <-wakeup.C:
		}
		b.handleQueued()
		now := time.Now()
		b.runDueTimers(now)
		// Actions may cause events immediately, for example if an attempt cannot be sent. Further steps handle them.
		for len(b.pendingEvents) > 0 {
			b.step(now)
		}
		b.signalDrained()
	}
}

// handleQueued handles the messages that are queued already, so that one step of the aggregator covers all their events.
func (b *Broker) handleQueued() {
	for range cap(b.messages) {
		select {
		case m := <-b.messages:
			m.handle(b, time.Now())
		default:
			return
		}
	}
}

func (b *Broker) runDueTimers(now time.Time) {
	for callback := b.timers.popDue(now); callback != nil; callback = b.timers.popDue(now) {
		callback(now)
	}
}

// emit queues an event for the next step of the aggregator.
func (b *Broker) emit(e policy.Event) { b.pendingEvents = append(b.pendingEvents, e) }

// step reports the pending events to the aggregator and carries out the actions that it returns.
func (b *Broker) step(now time.Time) {
	events := b.pendingEvents
	b.pendingEvents = nil
	b.execute(b.decide(events, now), now)
}

// decide runs one step of the aggregator. It recovers from a panic and returns no actions then. Queries that the panic
// affects are still ended at their deadlines, by the deadline timers.
func (b *Broker) decide(events []policy.Event, now time.Time) []policy.Action {
	defer func() {
		if r := recover(); r != nil {
			b.log.WithField("stack", string(debug.Stack())).Errorf("aggregator panicked: %v", r)
		}
	}()
	return b.aggregator.Step(b.policyTime(now), events)
}

func (m querySubmitted) handle(b *Broker, now time.Time) { b.admit(m.query, now) }

func (m queryCanceled) handle(b *Broker, now time.Time) {
	if q := b.queriesBySubmission[m.query]; q != nil {
		b.emit(policy.ClientCanceled{QueryID: q.policyID})
		b.removeQuery(q, now)
	}
}

func (m attemptFinished) handle(b *Broker, now time.Time) { b.finishAttempt(m.attempt, m.result, now) }

func (m healthCheckFinished) handle(b *Broker, now time.Time) {
	b.emit(policy.HealthCheckResult{
		ServerID: m.serverID,
		Status:   m.result.Status,
		Elapsed:  now.Sub(m.startedAt).Microseconds(),
		Report:   m.result.Report,
	})
}

func (m endpointsUpdated) handle(b *Broker, _ time.Time) {
	b.emit(policy.EndpointList{Endpoints: m.endpoints})
}

func (m termsChanged) handle(b *Broker, _ time.Time) {
	b.settings = m.terms.Settings
	b.terms.Store(m.terms)
	b.emit(policy.Reconfigure{Settings: b.settings})
}

func (m drainStarted) handle(b *Broker, _ time.Time) { b.startDrain(m.deadline) }
