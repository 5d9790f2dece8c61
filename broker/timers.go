package broker

import (
	"container/heap"
	"time"
)

// timer is something to do at a moment. Timers are never taken back: what fires late finds its work done.
type timer struct {
	at   time.Time
	fire func(now time.Time)
}

// timers is the owner's heap of them.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return last
}

func (t *timers) add(at time.Time, fire func(time.Time)) { heap.Push(t, timer{at, fire}) }

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
	return heap.Pop(t).(timer).fire
}
