package raftnode

import (
	"sync"

	"alderproxy/sharedconfig"
)

// eventQueue is the unbounded queue of events for an event loop.
type eventQueue struct {
	mu     sync.Mutex
	events []sharedconfig.Event
	wake   chan struct{} // has an element while the loop must run
}

func newEventQueue() *eventQueue { return &eventQueue{wake: make(chan struct{}, 1)} }

// push adds an event and wakes the event loop. It never waits for the loop.
func (q *eventQueue) push(event sharedconfig.Event) {
	q.mu.Lock()
	q.events = append(q.events, event)
	q.mu.Unlock()
	q.wakeLoop()
}

// wakeLoop makes the event loop run, even if no event is queued.
func (q *eventQueue) wakeLoop() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// drain removes and returns all events.
func (q *eventQueue) drain() []sharedconfig.Event {
	q.mu.Lock()
	defer q.mu.Unlock()
	events := q.events
	q.events = nil
	return events
}
