package pool

import "time"

// idleTime tells since when something has been in use by less than half.
type idleTime struct{ since, notedAt time.Time }

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
