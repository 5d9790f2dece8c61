package simnet

import (
	"cmp"
	"container/heap"
)

// event is a callback that is called at a time.
type event struct {
	at Micros
	// firstDueAt is the time for which it was scheduled. Events that a pause postponed are called in this order.
	firstDueAt  Micros
	sequence    uint64 // orders events of the same time
	node        NodeID
	incarnation int // of the node
	callback    func()
}

// push schedules an event of the current incarnation of a node.
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

// eventQueue is a heap of events, the next one first.
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

// Pop implements heap.Interface. It releases the callback's memory.
func (q *eventQueue) Pop() any {
	end := len(*q) - 1
	last := (*q)[end]
	(*q)[end].callback = nil
	*q = (*q)[:end]
	return last
}
