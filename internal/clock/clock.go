// Package clock is the clock of leases and of failure detection.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, in microseconds. It advances while the process is stopped and while the
// machine sleeps, and can't be set. Its rate may differ between machines by less than the slack of leases.
func Now() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil { // it does not fail on Linux
		return time.Since(processStart).Microseconds()
	}
	return t.Nano() / 1000
}

var processStart = time.Now()
