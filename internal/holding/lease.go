package holding

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// maintainLease acquires and renews the lease of one worker for as long as this
// host should hold it.
func (m *Manager) maintainLease(ctx context.Context, w *managedWorker) error {
	delay, attemptsBegan := m.opts.RetryMin, m.opts.Now()
	for {
		client, ok := m.clientIfWanted(ctx, w)
		if !ok {
			return nil
		}
		if m.listReadOverdue() {
			sleep(ctx, jitter(m.opts.RetryMin), w.wakeCh)
			continue
		}
		err := m.acquire(ctx, w, client)
		if err == nil {
			m.renewLoop(ctx, w)
			delay, attemptsBegan = m.opts.RetryMin, m.opts.Now()
			continue
		}
		pause := jitter(delay)
		var held *worker.HeldError
		if errors.As(err, &held) {
			// Retry as soon as the other holder's lease can have expired, which
			// it does if that holder is dead.
			pause = min(pause, held.Remaining+jitter(m.opts.RetryMin/2))
		}
		// If the previous holder died or hands the worker over, its lease ends
		// within 2*LeaseTTL. The retry interval stays short until then, so that
		// the worker is not idle for long.
		if m.opts.Now().Sub(attemptsBegan) > 2*m.opts.LeaseTTL {
			delay = min(2*delay, m.opts.RetryMax)
		}
		sleep(ctx, pause, w.wakeCh)
	}
}

// clientIfWanted returns the client to use, or false if the goroutine must end.
// The decision and the update of loopRunning happen under one lock, so that scan
// starts a new goroutine if the worker is wanted again later.
func (m *Manager) clientIfWanted(ctx context.Context, w *managedWorker) (worker.Worker, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ctx.Err() == nil && w.wanted && !w.removed {
		return w.client, true
	}
	w.loopRunning = false
	if w.removed {
		m.removeWorker(w)
	}
	close(m.loopEnded)
	m.loopEnded = make(chan struct{})
	return nil, false
}

// acquire makes one attempt to acquire the worker lease and adopts the running
// tasks.
func (m *Manager) acquire(ctx context.Context, w *managedWorker, client worker.Worker) error {
	callCtx, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
	defer cancel()
	sentAt := m.opts.Now()
	reply, err := client.Hold(callCtx, worker.HoldRequest{Holder: m.opts.Self, TTL: m.opts.LeaseTTL})
	if err != nil {
		return err
	}
	now := m.opts.Now()
	l := &lease{
		WorkerLease:   WorkerLease{Epoch: reply.Epoch, Incarnation: reply.Incarnation},
		capacity:      reply.Capacity,
		expiry:        m.leaseExpiry(sentAt),
		settledAt:     now,
		startsAllowed: true,
	}
	capacity := reply.Capacity
	if m.opts.LeaseOnly {
		// The worker granted the lease before now, so the previous holder's
		// lease had ended by then. The last task started under that lease ends
		// at most TaskTTL later.
		l.settledAt, l.startsAllowed = now.Add(m.opts.TaskTTL+m.opts.MaxClockSkew), false
		capacity = worker.Capacity{}
	}
	m.adopt(w, l, capacity, reply.Tasks)
	return nil
}

// leaseExpiry returns the time on the local clock at which a lease expires. The
// worker counts the TTL from the arrival of the call, which is not before sentAt.
func (m *Manager) leaseExpiry(sentAt time.Time) time.Time {
	return sentAt.Add(m.opts.LeaseTTL - m.opts.ExpiryMargin)
}

// adopt reports the running tasks to the sink and only then installs the lease,
// so that no task is started before the sink knows the running ones.
func (m *Manager) adopt(w *managedWorker, l *lease, capacity worker.Capacity, listed []worker.Task) {
	tasks := make(map[worker.TaskID]*task)
	var running, ended []worker.Task
	for _, t := range listed {
		if t.State == worker.TaskRunning {
			running = append(running, t)
			tasks[t.ID] = &task{incarnation: l.Incarnation, description: t}
		} else {
			ended = append(ended, m.withoutDamagedAnswer(w.name, t))
		}
	}
	m.mu.Lock()
	info := w.info
	m.mu.Unlock()
	m.opts.Sink.LeaseAcquired(info, capacity, running)

	m.mu.Lock()
	known := make(map[worker.TaskID]bool, len(listed))
	for _, t := range listed {
		known[t.ID] = true
	}
	for id, old := range w.tasks {
		if t := tasks[id]; t != nil {
			t.inFlight = old.inFlight
		} else if !old.inFlight && !known[id] {
			ended = append(ended, worker.Task{ID: id, State: worker.TaskUnknown})
		}
	}
	w.tasks = tasks
	w.lease = l
	leaving := w.leaving
	m.mu.Unlock()

	m.opts.OnEvent(info.Name, "worker_held", l.Epoch, "")
	for _, t := range ended {
		m.opts.Sink.TaskEnded(info.Name, t)
	}
	if leaving {
		m.opts.Sink.WorkerLeaving(info.Name)
	}
}

// renewLoop renews the lease until it is lost or released. The first renewal is
// immediate, because the leases of adopted tasks may be about to expire.
func (m *Manager) renewLoop(ctx context.Context, w *managedWorker) {
	next := time.Duration(0)
	for {
		sleep(ctx, m.untilSettled(w, next), w.wakeCh)
		if ctx.Err() != nil {
			return
		}
		if m.shouldRelease(w) {
			m.release(ctx, w)
			return
		}
		m.finishSettling(w)
		err := m.renewOnce(ctx, w)
		next = m.untilRenewal()
		if err != nil {
			next = jitter(m.opts.RetryMin)
			if errors.Is(err, worker.ErrStaleEpoch) || !m.leaseValid(w) {
				m.dropLease(w, err.Error())
				return
			}
		}
	}
}

// untilRenewal returns the time until the next renewal, at most RenewEvery.
// Renewals are aligned to two points in each RenewEvery, the same for all
// workers of this host. With 113 workers, one processor wake-up for many
// renewals takes a third of the time of one wake-up for each. Hosts are out of
// phase with each other because they count from their own start times.
func (m *Manager) untilRenewal() time.Duration {
	step := m.opts.RenewEvery / 2
	sinceStart := m.opts.Now().Sub(m.startedAt)
	next := (sinceStart + m.opts.RenewEvery) / step * step
	return next - sinceStart
}

func (m *Manager) leaseValid(w *managedWorker) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaseValidLocked(w)
}

// shouldRelease reports whether the lease must be released, and if so marks it
// as releasing. The lease of a worker that is no longer in the host list is kept
// until its tasks have ended, unless this host is stopping.
func (m *Manager) shouldRelease(w *managedWorker) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if w.wanted && !w.removed || w.removed && !m.stopping && len(w.tasks) > 0 {
		return false
	}
	w.lease.releasing = true
	return true
}

// untilSettled returns the shorter of d and the time until the worker has
// settled. It returns d if starts are already allowed.
func (m *Manager) untilSettled(w *managedWorker, d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if w.lease.startsAllowed {
		return d
	}
	return min(d, max(w.lease.settledAt.Sub(m.opts.Now()), 0))
}

// finishSettling ends the settling of a lease-only worker once settledAt has
// passed: it reports the worker's full capacity to the sink and then allows starts.
func (m *Manager) finishSettling(w *managedWorker) {
	m.mu.Lock()
	l := w.lease
	if l.startsAllowed || m.opts.Now().Before(l.settledAt) {
		m.mu.Unlock()
		return
	}
	info := w.info
	var running []worker.Task
	for _, t := range w.tasks {
		running = append(running, t.description)
	}
	m.mu.Unlock()
	m.opts.Sink.LeaseAcquired(info, l.capacity, running)

	m.mu.Lock()
	l.startsAllowed = true
	// A start made before this lease may have been answered in the meantime, so
	// that the sink received TaskEnded before it knew the task.
	var ended []worker.Task
	for _, t := range running {
		if w.tasks[t.ID] == nil {
			ended = append(ended, worker.Task{ID: t.ID, State: worker.TaskUnknown})
		}
	}
	m.mu.Unlock()
	for _, t := range ended {
		m.opts.Sink.TaskEnded(w.name, t)
	}
}

// renewOnce makes one attempt to renew the worker lease and the leases of its
// tasks, and processes the reply. A worker without another holder would renew a
// lease that has expired too, so renewOnce returns ErrNotHeld for one: acquiring it
// again requires a read of the host list.
func (m *Manager) renewOnce(ctx context.Context, w *managedWorker) error {
	ctx, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
	defer cancel()
	sentAt := m.opts.Now()
	m.mu.Lock()
	client, l := w.client, w.lease
	if !sentAt.Before(l.expiry) {
		m.mu.Unlock()
		return ErrNotHeld
	}
	req := worker.RenewRequest{
		Holder: m.opts.Self, Epoch: l.Epoch, TTL: m.opts.LeaseTTL, TaskTTL: m.opts.TaskTTL,
	}
	for id := range w.tasks {
		req.Tasks = append(req.Tasks, id)
	}
	m.mu.Unlock()
	reply, err := client.Renew(ctx, req)
	if err != nil {
		return err
	}
	m.mu.Lock()
	l.expiry = m.leaseExpiry(sentAt)
	m.mu.Unlock()
	for _, t := range reply.Ended {
		m.handleTaskEnded(w, t)
	}
	m.resolveTasks(ctx, w, client)
	if !reply.Usage.MeasuredAt.IsZero() {
		m.opts.Sink.UsageMeasured(w.name, reply.Usage)
	}
	return nil
}

// dropLease discards the lease and reports the worker as lost. The reason is the
// detail of the event.
func (m *Manager) dropLease(w *managedWorker, reason string) {
	m.mu.Lock()
	epoch := w.lease.Epoch
	w.lease = nil
	m.mu.Unlock()
	m.opts.OnEvent(w.name, "worker_lost", epoch, reason)
	m.opts.Sink.LeaseLost(w.name)
}

// release releases the lease to the successor. It retries until the lease has
// expired by itself. Running tasks continue under their own leases.
func (m *Manager) release(ctx context.Context, w *managedWorker) {
	for {
		m.mu.Lock()
		client, l := w.client, w.lease
		req := worker.ReleaseRequest{Holder: m.opts.Self, Epoch: l.Epoch, Successor: w.successor}
		expired := !m.opts.Now().Before(l.expiry)
		m.mu.Unlock()
		if expired || ctx.Err() != nil {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
		err := client.Release(callCtx, req)
		cancel()
		if err == nil || errors.Is(err, worker.ErrStaleEpoch) {
			break
		}
		sleep(ctx, jitter(m.opts.RetryMin), nil)
	}
	m.dropLease(w, "released")
}

// jitter returns a random duration between 0.5*d and 1.5*d, so that calls of
// different hosts do not coincide.
func jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return d
	}
	return d/2 + rand.N(d)
}

// sleep returns after d, at the end of ctx or on a value from wake, whichever is
// first.
func sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.C:
	}
}
