package raftnode

import (
	"sync"
	"time"

	"alderproxy/sharedconfig"
)

// pendingCalls are the calls into the event loop that wait for their answers, by call id.
type pendingCalls[T any] struct {
	mu      sync.Mutex
	answers map[uint64]chan T
}

func newPendingCalls[T any]() *pendingCalls[T] {
	return &pendingCalls[T]{answers: map[uint64]chan T{}}
}

func (p *pendingCalls[T]) add(call uint64) <-chan T {
	answer := make(chan T, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answers[call] = answer
	return answer
}

func (p *pendingCalls[T]) remove(call uint64) chan T {
	p.mu.Lock()
	defer p.mu.Unlock()
	answer := p.answers[call]
	delete(p.answers, call)
	return answer
}

// complete answers a call, unless it has timed out.
func (p *pendingCalls[T]) complete(call uint64, value T) {
	if answer := p.remove(call); answer != nil {
		answer <- value
	}
}

// callEventLoop pushes an event that is a call and waits for the answer. ok is false if none came in time or the node
// stops.
func callEventLoop[T any](
	n *Node, pending *pendingCalls[T], timeout time.Duration, newEvent func(call uint64) sharedconfig.Event,
) (value T, ok bool) {
	call := n.lastCall.Add(1)
	answer := pending.add(call)
	n.events.push(newEvent(call))
	select {
	case value = <-answer:
		return value, true
	case <-time.After(timeout):
	case <-n.stop:
	}
	pending.remove(call)
	return value, false
}
