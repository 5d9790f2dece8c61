// Package ratelog limits the rate of log lines that peers can cause.
package ratelog

import (
	"sync"
	"time"
)

// Interval is the least time between two lines of one Line.
const Interval = time.Second

// Limiter is one kind of log line. Its zero value is ready, and any goroutine may use it.
type Limiter struct {
	mu      sync.Mutex
	next    time.Time // from when on the line may be written again
	omitted int
}

// Due reports whether the line may be written now, and how many lines were omitted since the last one.
func (l *Limiter) Due(now time.Time) (omitted int, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.next) {
		l.omitted++
		return 0, false
	}
	omitted = l.omitted
	l.omitted = 0
	l.next = now.Add(Interval)
	return omitted, true
}
