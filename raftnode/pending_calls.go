package raftnode

import (
	"sync"
	"time"

	"alderproxy/sharedconfig"
)

// pendingCalls are the calls into the event loop that wait for their replies.
type pendingCalls[T any] struct {
	mu      sync.Mutex
	replies map[uint64]chan T // by call ID
}

func newPendingCalls[T any]() *pendingCalls[T] {
	return &pendingCalls[T]{replies: map[uint64]chan T{}}
}

func (p *pendingCalls[T]) add(callID uint64) <-chan T {
	replyChannel := make(chan T, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replies[callID] = replyChannel
	return replyChannel
}

func (p *pendingCalls[T]) remove(callID uint64) chan T {
	p.mu.Lock()
	defer p.mu.Unlock()
	replyChannel := p.replies[callID]
	delete(p.replies, callID)
	return replyChannel
}

// complete passes the reply to the caller, unless the call has ended without one.
func (p *pendingCalls[T]) complete(callID uint64, reply T) {
	if replyChannel := p.remove(callID); replyChannel != nil {
		replyChannel <- reply
	}
}

// callEventLoop passes a call to the event loop as an event and waits for the reply. ok is false if the call timed out or
// the node stops.
func callEventLoop[T any](
	n *Node, pending *pendingCalls[T], timeout time.Duration, newEvent func(callID uint64) sharedconfig.Event,
) (reply T, ok bool) {
	callID := n.lastCallID.Add(1)
	replyChannel := pending.add(callID)
	n.events.push(newEvent(callID))
	select {
	case reply = <-replyChannel:
		return reply, true
	case <-time.After(timeout):
	case <-n.stop:
	}
	pending.remove(callID)
	return reply, false
}
