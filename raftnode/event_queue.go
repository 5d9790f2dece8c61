package raftnode

import (
	"sync"

	"alderproxy/sharedconfig"
)

// eventQueue passes events to an event loop.
type eventQueue struct {
	mu     sync.Mutex
	events []sharedconfig.Event
	wake   chan struct{} // holds one element while the loop has to run
}

func newEventQueue() *eventQueue { return &eventQueue{wake: make(chan struct{}, 1)} }

// push adds an event and wakes the loop. It never blocks.
func (q *eventQueue) push(event sharedconfig.Event) {
	q.mu.Lock()
	q.events = append(q.events, event)
	q.mu.Unlock()
	q.wakeLoop()
}

// wakeLoop makes the loop run without an event.
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
