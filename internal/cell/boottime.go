package cell

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// bootClock overrides the system clock in tests.
var bootClock atomic.Pointer[func() time.Duration]

// BootTime returns the time since the machine booted, including time in which it
// was suspended. Leases are measured with it because Go's monotonic clock does not
// advance while the machine is suspended.
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

// SetBootClock replaces the clock of BootTime until restore is called. Tests that
// simulate time use it.
func SetBootClock(clock func() time.Duration) (restore func()) {
	bootClock.Store(&clock)
	return func() { bootClock.Store(nil) }
}
