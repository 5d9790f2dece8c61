package broker

import (
	"container/heap"
	"time"

	"alderproxy/policy"
)

// maxTimerWait is the maximum time for which the event loop sleeps if no timer is set.
const maxTimerWait = time.Hour

// notInHeap is the heap index of a timer that has fired or has been canceled.
const notInHeap = -1

// timer calls a function at a point in time.
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

// cancel removes a timer, which would otherwise keep its query in memory until it fires. It ignores a nil timer and one
// that has fired or been canceled.
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

// popDue removes the earliest timer and returns its callback. It returns nil if no timer is due.
func (t *timerHeap) popDue(now time.Time) func(now time.Time) {
	if len(*t) == 0 || (*t)[0].at.After(now) {
		return nil
	}
	return heap.Pop(t).(*timer).callback
}

// policyTime converts a time to the clock of the aggregator, which is the wall clock time at the start of the broker
// advanced by the monotonic clock.
func (b *Broker) policyTime(t time.Time) policy.Micros {
	return b.epoch.UnixMicro() + t.Sub(b.epoch).Microseconds()
}

// duration converts a duration of package policy.
func duration(m policy.Micros) time.Duration { return time.Duration(m) * time.Microsecond }
