package broker

import (
	"container/heap"
	"time"
)

// timer is something to do at a moment.
type timer struct {
	at   time.Time
	fire func(now time.Time)
	heapIndex   int // its place in the heap; -1: no longer there
}

// timerHeap is the owner's heap of them.
type timerHeap []*timer

func (t timerHeap) Len() int           { return len(t) }
func (t timerHeap) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timerHeap) Swap(i, j int)      { t[i], t[j] = t[j], t[i]; t[i].heapIndex, t[j].heapIndex = i, j }
func (t *timerHeap) Push(x any)        { x.(*timer).heapIndex = len(*t); *t = append(*t, x.(*timer)) }
func (t *timerHeap) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	last.heapIndex = -1
	return last
}

func (t *timerHeap) add(at time.Time, fire func(time.Time)) *timer {
	added := &timer{at: at, fire: fire}
	heap.Push(t, added)
	return added
}

// cancel takes a timer back whose work is done: it would hold a query with all its values up to its deadline. One
// that has fired, or nil, is of no matter.
func (t *timerHeap) cancel(old *timer) {
	if old != nil && old.heapIndex >= 0 {
		heap.Remove(t, old.heapIndex)
	}
}

// untilNext is the time until the next one.
func (t timerHeap) untilNext(now time.Time) time.Duration {
	if len(t) == 0 {
		return time.Hour
	}
	return max(0, t[0].at.Sub(now))
}

// popDue takes off the first one whose moment has come, if any.
func (t *timerHeap) popDue(now time.Time) func(time.Time) {
	if len(*t) == 0 || (*t)[0].at.After(now) {
		return nil
	}
	return heap.Pop(t).(*timer).fire
}
