// Package ratelog bounds the rate of log lines that peers can cause.
package ratelog

import (
	"sync"
	"time"
)

// Every is the least time between two lines of one Line.
const Every = time.Second

// Line is one kind of log line. Its zero value is ready, and any goroutine may use it.
type Line struct {
	mu   sync.Mutex
	next time.Time
	left int
}

// Due tells whether the line may be written now, and how many were left out since the last one.
func (l *Line) Due(now time.Time) (left int, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.next) {
		l.left++
		return 0, false
	}
	left, l.left, l.next = l.left, 0, now.Add(Every)
	return left, true
}
