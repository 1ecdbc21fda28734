package pool

import "time"

const (
	// suspectFailures is how many failures in a row make a worker suspect: at the
	// usual failure rates of 0.5 to 10% of the runs, three in a row are rare.
	suspectFailures = 3
	// minQuarantine and quarantineMax bound how long a suspect worker gets no
	// work before the next try.
	minQuarantine = 2 * time.Second
	maxQuarantine = 8 * time.Second
)

// nodeHealth counts how runs on a worker ended.
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

// admits tells whether the worker may be given work.
func (h *nodeHealth) admits(now time.Time) bool { return now.After(h.quarantinedUntil) }

// suspicion is 0 for a worker without recent failures and at most 1.
func (h *nodeHealth) suspicion() float64 {
	return min(float64(h.consecutiveFailures)/suspectFailures, 1)
}
