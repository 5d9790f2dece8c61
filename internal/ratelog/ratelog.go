// Package ratelog limits the rate of log lines that other processes can cause.
package ratelog

import (
	"sync"
	"time"
)

// Interval is the minimum time between two log lines of a Limiter.
const Interval = time.Second

// Limiter limits the rate of one kind of log line. Its zero value is ready to use. It is safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	next    time.Time // time from which the next line may be written
	omitted int       // lines that were not written since the last one
}

// Due reports whether a line may be written now. If so, it also returns the number of lines omitted since the last one;
// if not, it counts the line as omitted.
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
