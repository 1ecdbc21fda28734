package celltest

import "time"

// executeLate executes a request after a delay. No caller receives the reply.
func (w *Worker) executeLate(execute func() error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	incarnation, delay := w.Entry.Incarnation, RequestDelay
	if w.RequestDelays != nil {
		delay = w.RequestDelays()
	}
	time.AfterFunc(delay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.left || !w.downUntil.IsZero() {
			return
		}
		if w.Entry.Incarnation != incarnation && !w.DelayedRequestsOutliveProcess {
			return // the request was lost with the process that received it
		}
		w.endDueRuns()
		w.late = true
		_ = execute()
		w.late = false
	})
}

// Crash ends the worker's process and all runs. The worker refuses calls until the next
// process with its ID starts after the given time.
func (w *Worker) Crash(downtime time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.left {
		return
	}
	w.endProcess()
	w.reset()
	w.downUntil = time.Now().Add(downtime)
}

// Leave ends the worker for good. From then on another worker has its address, which
// rejects calls that name this one.
func (w *Worker) Leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endProcess()
	w.reset()
	w.left = true
}

// Left reports whether Leave was called.
func (w *Worker) Left() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.left
}

// Disturbed reports whether the worker is down, cut off or has another injected fault.
func (w *Worker) Disturbed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.left || w.partitioned || w.refusing || w.fault != nil || !w.downUntil.IsZero()
}

func (w *Worker) clockRate() float64 {
	if w.ClockRate == 0 {
		return 1
	}
	return w.ClockRate
}

// clockMS returns the worker's clock, on which its lease is measured.
func (w *Worker) clockMS() int64 {
	return int64(float64(time.Since(w.bootedAt)) * w.clockRate() / float64(time.Millisecond))
}

// extendLease extends the lease to a time on the worker's clock, at most by MaxLease.
func (w *Worker) extendLease(untilMS int64) {
	onRealClock := func(d time.Duration) time.Duration { return time.Duration(float64(d) / w.clockRate()) }
	until := w.bootedAt.Add(onRealClock(time.Duration(untilMS) * time.Millisecond))
	if limit := time.Now().Add(onRealClock(w.MaxLease)); until.After(limit) {
		until = limit
	}
	if until.After(w.leaseEnd) {
		w.leaseEnd = until
	}
}
