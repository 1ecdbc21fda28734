package pool

import "time"

const (
	// suspectFailures is how many consecutive failures make a worker suspect.
	// At the usual failure rates of 0.5 to 10% of the runs, three in a row are
	// rare.
	suspectFailures = 3
	// minQuarantine and maxQuarantine bound how long a suspect worker gets no
	// work before the next attempt.
	minQuarantine = 2 * time.Second
	maxQuarantine = 8 * time.Second
)

// nodeHealth tracks the consecutive failures of runs on a worker.
type nodeHealth struct {
	consecutiveFailures int
	quarantine          time.Duration
	quarantinedUntil    time.Time
}

func (h *nodeHealth) succeeded() { *h = nodeHealth{} }

func (h *nodeHealth) failed(now time.Time) {
	h.consecutiveFailures++
	if h.consecutiveFailures < suspectFailures {
		return
	}
	h.quarantine = min(max(2*h.quarantine, minQuarantine), maxQuarantine)
	h.quarantinedUntil = now.Add(h.quarantine)
}

// admits reports whether the worker is out of quarantine and may be given work.
func (h *nodeHealth) admits(now time.Time) bool { return now.After(h.quarantinedUntil) }

// suspicion returns a value from 0, for a worker without recent failures, to 1.
func (h *nodeHealth) suspicion() float64 {
	return min(float64(h.consecutiveFailures)/suspectFailures, 1)
}
