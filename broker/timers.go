package broker

import (
	"container/heap"
	"time"
)

// timer is something to do at a moment.
type timer struct {
	at   time.Time
	fire func(now time.Time)
	in   int // its place in the heap; -1: no longer there
}

// timers is the owner's heap of them.
type timers []*timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i]; t[i].in, t[j].in = i, j }
func (t *timers) Push(x any)        { x.(*timer).in = len(*t); *t = append(*t, x.(*timer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	last.in = -1
	return last
}

func (t *timers) add(at time.Time, fire func(time.Time)) *timer {
	added := &timer{at: at, fire: fire}
	heap.Push(t, added)
	return added
}

// drop takes a timer back whose work is done: it would hold a query with all its values up to its deadline. One
// that has fired, or nil, is of no matter.
func (t *timers) drop(old *timer) {
	if old != nil && old.in >= 0 {
		heap.Remove(t, old.in)
	}
}

// wait is the time until the next one.
func (t timers) wait(now time.Time) time.Duration {
	if len(t) == 0 {
		return time.Hour
	}
	return max(0, t[0].at.Sub(now))
}

// due takes off the first one whose moment has come, if any.
func (t *timers) due(now time.Time) func(time.Time) {
	if len(*t) == 0 || (*t)[0].at.After(now) {
		return nil
	}
	return heap.Pop(t).(*timer).fire
}
