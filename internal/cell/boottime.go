package cell

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// bootClock holds the clock that a test has set in place of the system's.
var bootClock atomic.Pointer[func() time.Duration]

// BootTime returns the time since the machine's start, including the time in
// which it was suspended. Leases are measured with it: Go's monotonic clock
// stands still while the machine is suspended.
func BootTime() time.Duration {
	if clock := bootClock.Load(); clock != nil {
		return (*clock)()
	}
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("read CLOCK_BOOTTIME: " + err.Error()) // present since Linux 2.6.39
	}
	return time.Duration(t.Nano())
}

// SetBootClock replaces the clock of BootTime until restore is called. It is
// for tests that simulate time.
func SetBootClock(clock func() time.Duration) (restore func()) {
	bootClock.Store(&clock)
	return func() { bootClock.Store(nil) }
}
