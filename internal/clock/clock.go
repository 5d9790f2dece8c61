// Package clock provides the clock of leases and of failure detection.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, in microseconds. The clock advances while the process is stopped and
// while the machine is suspended, and cannot be set. Leases require that the rates of two machines' clocks differ by
// less than the safety margin of a lease.
func Now() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil { // does not occur on Linux
		return time.Since(processStart).Microseconds()
	}
	return t.Nano() / 1000
}

// processStart is the start of the clock that Now falls back to.
var processStart = time.Now()
