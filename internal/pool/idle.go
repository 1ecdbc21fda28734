package pool

import "time"

// idleTime tells since when something has been in use by less than half.
type idleTime struct{ since, notedAt time.Time }

const (
	// reservationTime is how long reservations that keep others waiting are in force while
	// less than half is in use, and reservationPause how long they then are not. What waits
	// behind them starts in a pause, also if it needs a call for advice of 0.7 s first.
	reservationTime, reservationPause = time.Second, 500 * time.Millisecond
)

// reservationsLapse reports whether reservations are out of force. They come back into
// force, since what they are for would not get through otherwise.
func (t idleTime) reservationsLapse(now time.Time) bool {
	return !t.since.IsZero() && now.Sub(t.since)%(reservationTime+reservationPause) >= reservationTime
}

// idleMemory is for how long an idleTime that is not noted stays valid.
const idleMemory = time.Second

// note returns the time that follows from an observation.
func (t idleTime) note(idle bool, now time.Time) idleTime {
	if !idle {
		return idleTime{}
	}
	if t.since.IsZero() || now.Sub(t.notedAt) > idleMemory {
		t.since = now
	}
	t.notedAt = now
	return t
}

// lasts reports whether that is so since the given time at least.
func (t idleTime) lasts(d time.Duration, now time.Time) bool {
	return !t.since.IsZero() && now.Sub(t.since) >= d
}
