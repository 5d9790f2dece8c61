// Package clock is the clock that agreement and membership rest on.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now is in microseconds. It goes on while the process is stopped and while the machine sleeps, and nobody can set it.
// Its rate may differ between machines by less than the slack that leases have.
func Now() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil { // never on Linux
		return time.Since(began).Microseconds()
	}
	return t.Nano() / 1000
}

var began = time.Now()
