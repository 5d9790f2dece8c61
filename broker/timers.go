package broker

import (
	"container/heap"
	"time"

	"alderproxy/policy"
)

// maxTimerWait is how long the event loop sleeps when no timer is set.
const maxTimerWait = time.Hour

// notInHeap is the heap index of a timer that has fired or was canceled.
const notInHeap = -1

// timer is a callback at a point in time.
type timer struct {
	at        time.Time
	callback  func(now time.Time)
	heapIndex int
}

// timerHeap holds the timers of the event loop, the earliest first. It implements heap.Interface.
type timerHeap []*timer

// Len implements heap.Interface.
func (t timerHeap) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timerHeap) Less(i, j int) bool { return t[i].at.Before(t[j].at) }

// Swap implements heap.Interface.
func (t timerHeap) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].heapIndex = i
	t[j].heapIndex = j
}

// Push implements heap.Interface.
func (t *timerHeap) Push(x any) {
	added := x.(*timer)
	added.heapIndex = len(*t)
	*t = append(*t, added)
}

// Pop implements heap.Interface.
func (t *timerHeap) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	last.heapIndex = notInHeap
	return last
}

// add sets a timer.
func (t *timerHeap) add(at time.Time, callback func(now time.Time)) *timer {
	added := &timer{at: at, callback: callback}
	heap.Push(t, added)
	return added
}

// cancel removes a timer, which would otherwise keep its query in memory until it fires. A nil timer and one that has fired
// are ignored.
func (t *timerHeap) cancel(canceled *timer) {
	if canceled != nil && canceled.heapIndex != notInHeap {
		heap.Remove(t, canceled.heapIndex)
	}
}

// untilNext returns the time until the earliest timer, or maxTimerWait if there is none.
func (t timerHeap) untilNext(now time.Time) time.Duration {
	if len(t) == 0 {
		return maxTimerWait
	}
	return max(0, t[0].at.Sub(now))
}

// popDue removes the earliest timer if it is due and returns its callback, else nil.
func (t *timerHeap) popDue(now time.Time) func(now time.Time) {
	if len(*t) == 0 || (*t)[0].at.After(now) {
		return nil
	}
	return heap.Pop(t).(*timer).callback
}

// policyTime converts a time to the decisions' clock: the system's time at the start of the broker, advanced by the
// monotonic clock.
func (b *Broker) policyTime(t time.Time) policy.Micros {
	return b.epoch.UnixMicro() + t.Sub(b.epoch).Microseconds()
}

// duration converts the decisions' unit of time.
func duration(m policy.Micros) time.Duration { return time.Duration(m) * time.Microsecond }
