package pool

import "time"

const (
	// suspectRun is how many failures in a row make a worker suspect: at the
	// usual failure rates of 0.5 to 10% of the runs, three in a row are rare.
	suspectRun = 3
	// quarantineFirst and quarantineMax bound how long a suspect worker gets no
	// work before the next try.
	quarantineFirst = 2 * time.Second
	quarantineMax   = 8 * time.Second
)

// nodeHealth counts how runs on a worker ended.
type nodeHealth struct {
	failures   int
	quarantine time.Duration
	until      time.Time
}

func (h *nodeHealth) succeeded() { *h = nodeHealth{} }

func (h *nodeHealth) failed(now time.Time) {
	h.failures++
	if h.failures < suspectRun {
		return
	}
	h.quarantine = min(max(2*h.quarantine, quarantineFirst), quarantineMax)
	h.until = now.Add(h.quarantine)
}

// admits tells whether the worker may be given work.
func (h *nodeHealth) admits(now time.Time) bool { return now.After(h.until) }

// suspicion is 0 for a worker without recent failures and at most 1.
func (h *nodeHealth) suspicion() float64 {
	return min(float64(h.failures)/suspectRun, 1)
}
