// Package timeline records events with timestamps of hybrid logical clocks, so
// that the events of all processes can be merged in causal order.
package timeline

import (
	"sync"
	"time"
)

// counterBits is the width of the counter in the low bits of a reading. The
// counter overflows into the milliseconds if there are more than 65,536 readings
// within one millisecond.
const counterBits = 16

// Clock is a hybrid logical clock (Kulkarni et al., "Logical Physical Clocks",
// 2014). A reading is the Unix time in milliseconds shifted left by 16 bits,
// plus a counter. Readings strictly increase, even if the wall clock is set
// back. The zero value uses time.Now. Its methods may be called concurrently.
type Clock struct {
	mu   sync.Mutex
	last uint64
	// now reads the wall clock; time.Now if nil.
	now func() time.Time
}

// NewClock returns a clock that reads the wall clock with now; time.Now if nil.
func NewClock(now func() time.Time) *Clock { return &Clock{now: now} }

// Now returns a reading for a local event or for a message to be sent.
func (c *Clock) Now() uint64 { return c.Observe(0) }

// Observe returns a reading that is greater than remote, the reading received
// with a message, and than all earlier readings. If the remote clock is ahead,
// this clock stays ahead too until the wall clock has caught up.
func (c *Clock) Observe(remote uint64) uint64 {
	now := c.now
	if now == nil {
		now = time.Now
	}
	wall := uint64(now().UnixMilli()) << counterBits
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(wall, c.last+1, remote+1)
	return c.last
}

// Time returns the physical part of a reading, in whole milliseconds.
func Time(reading uint64) time.Time { return time.UnixMilli(int64(reading >> counterBits)) }
