package cell

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the machine's start, including the time in
// which it was suspended. Leases are measured with it: Go's monotonic clock
// stands still while the machine is suspended.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("read CLOCK_BOOTTIME: " + err.Error()) // present since Linux 2.6.39
	}
	return time.Duration(t.Nano())
}
