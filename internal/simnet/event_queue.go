package simnet

import (
	"cmp"
	"container/heap"
)

// event is a callback that is due at a time.
type event struct {
	at Micros
	// firstDueAt is the time for which the event was scheduled. Events that a pause postponed are called in this order.
	firstDueAt  Micros
	sequence    uint64 // orders events that were scheduled for the same time
	node        NodeID
	incarnation int // of the node, when the event was scheduled
	callback    func()
}

// push schedules a callback for the current incarnation of a node.
func (n *Network) push(at Micros, id NodeID, callback func()) {
	n.lastSequence++
	heap.Push(&n.queue, event{
		at:          at,
		firstDueAt:  at,
		sequence:    n.lastSequence,
		node:        id,
		incarnation: n.node(id).incarnation,
		callback:    callback,
	})
}

// eventQueue is a heap of events whose first element is the next event.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(
		cmp.Compare(q[i].at, q[j].at),
		cmp.Compare(q[i].firstDueAt, q[j].firstDueAt),
		cmp.Compare(q[i].sequence, q[j].sequence),
	) < 0
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface. It clears the callback in the slice, so that its memory can be freed.
func (q *eventQueue) Pop() any {
	end := len(*q) - 1
	last := (*q)[end]
	(*q)[end].callback = nil
	*q = (*q)[:end]
	return last
}
