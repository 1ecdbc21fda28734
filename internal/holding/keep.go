package holding

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// keep holds one worker for as long as this host should.
func (m *Manager) keep(ctx context.Context, w *machine) error {
	delay, since := m.opts.RetryMin, m.opts.Now()
	for {
		client, ok := m.proceed(ctx, w)
		if !ok {
			return nil
		}
		if m.listUnread() {
			sleep(ctx, jitter(m.opts.RetryMin), w.kick)
			continue
		}
		err := m.acquire(ctx, w, client)
		if err == nil {
			m.renew(ctx, w)
			delay, since = m.opts.RetryMin, m.opts.Now()
			continue
		}
		pause := jitter(delay)
		var held *worker.HeldError
		if errors.As(err, &held) {
			// The lease of a dead holder is taken right after its end.
			pause = min(pause, held.Remaining+jitter(m.opts.RetryMin/2))
		}
		// A former holder's death or handover ends within two leases. Until
		// then the tries stay close, so that the worker is not idle for long.
		if m.opts.Now().Sub(since) > 2*m.opts.LeaseTTL {
			delay = min(2*delay, m.opts.RetryMax)
		}
		sleep(ctx, pause, w.kick)
	}
}

// proceed returns the client to use, or false if the goroutine must end. The
// decision and the end are one step, so that scan starts a new goroutine if
// the worker is wanted again later.
func (m *Manager) proceed(ctx context.Context, w *machine) (worker.Worker, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ctx.Err() == nil && w.wanted && !w.removed {
		return w.client, true
	}
	w.active = false
	if w.removed {
		m.forget(w)
	}
	close(m.idle)
	m.idle = make(chan struct{})
	return nil, false
}

// acquire asks for the worker lease once and adopts the running tasks.
func (m *Manager) acquire(ctx context.Context, w *machine, client worker.Worker) error {
	callCtx, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
	defer cancel()
	sentAt := m.opts.Now()
	reply, err := client.Hold(callCtx, worker.HoldRequest{Holder: m.opts.Self, TTL: m.opts.LeaseTTL})
	if err != nil {
		return err
	}
	now := m.opts.Now()
	l := &lease{
		WorkerLease: WorkerLease{Epoch: reply.Epoch, Incarnation: reply.Incarnation},
		capacity:    reply.Capacity,
		end:         m.leaseEnd(sentAt),
		openAt:      now,
		opened:      true,
	}
	capacity := reply.Capacity
	if m.opts.LeaseOnly {
		// The worker granted the lease before now, so the former holder's
		// lease had ended and the last task under it ends TaskTTL later.
		l.openAt, l.opened = now.Add(m.opts.TaskTTL+m.opts.ClockError), false
		capacity = worker.Capacity{}
	}
	m.adopt(w, l, capacity, reply.Tasks)
	return nil
}

// leaseEnd returns the end of a lease by the own clock. The worker counts from
// the arrival of the call, which is not before sentAt.
func (m *Manager) leaseEnd(sentAt time.Time) time.Time {
	return sentAt.Add(m.opts.LeaseTTL - m.opts.ExpiryMargin)
}

// adopt passes the running tasks to the sink and then allows starts.
func (m *Manager) adopt(w *machine, l *lease, capacity worker.Capacity, listed []worker.Task) {
	tasks := make(map[worker.TaskID]*task)
	var running, ended []worker.Task
	for _, t := range listed {
		if t.State == worker.TaskRunning {
			running = append(running, t)
			tasks[t.ID] = &task{incarnation: l.Incarnation, desc: t}
		} else {
			ended = append(ended, m.checked(w.name, t))
		}
	}
	m.mu.Lock()
	info := w.info
	m.mu.Unlock()
	m.opts.Sink.Gained(info, capacity, running)

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
		m.opts.Sink.Leaving(info.Name)
	}
}

// renew renews the lease until it is lost or released. The first renewal comes
// at once, because the leases of adopted tasks may be about to end.
func (m *Manager) renew(ctx context.Context, w *machine) {
	next := time.Duration(0)
	for {
		sleep(ctx, m.untilOpen(w, next), w.kick)
		if ctx.Err() != nil {
			return
		}
		if m.shouldRelease(w) {
			m.release(ctx, w)
			return
		}
		m.open(w)
		err := m.renewOnce(ctx, w)
		next = m.untilRenewal()
		if err != nil {
			next = jitter(m.opts.RetryMin)
			if errors.Is(err, worker.ErrStaleEpoch) || !m.unexpired(w) {
				m.lose(w, err.Error())
				return
			}
		}
	}
}

// untilRenewal returns the time until the next renewal, at most RenewEvery.
// Renewals fall on two moments in RenewEvery, the same for all workers of this
// host: with 113 workers, one wake-up of the processor for many renewals takes
// a third of the time of one for each. Hosts differ by their start times.
func (m *Manager) untilRenewal() time.Duration {
	grid := m.opts.RenewEvery / 2
	sinceStart := m.opts.Now().Sub(m.started)
	next := (sinceStart + m.opts.RenewEvery) / grid * grid
	return next - sinceStart
}

func (m *Manager) unexpired(w *machine) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.valid(w)
}

// shouldRelease closes the lease if it has to be given up. A worker that the
// host list no longer has keeps its lease until its tasks have ended.
func (m *Manager) shouldRelease(w *machine) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if w.wanted && !w.removed || w.removed && !m.stopping && len(w.tasks) > 0 {
		return false
	}
	w.lease.closed = true
	return true
}

// untilOpen returns the shorter of d and the time until the worker has settled.
func (m *Manager) untilOpen(w *machine, d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if w.lease.opened {
		return d
	}
	return min(d, max(w.lease.openAt.Sub(m.opts.Now()), 0))
}

// open tells the sink the whole capacity once a lease-only worker has settled,
// and then allows starts.
func (m *Manager) open(w *machine) {
	m.mu.Lock()
	l := w.lease
	if l.opened || m.opts.Now().Before(l.openAt) {
		m.mu.Unlock()
		return
	}
	info := w.info
	var running []worker.Task
	for _, t := range w.tasks {
		running = append(running, t.desc)
	}
	m.mu.Unlock()
	m.opts.Sink.Gained(info, l.capacity, running)

	m.mu.Lock()
	l.opened = true
	// A start from before this lease may have been answered meanwhile, and the
	// sink may have been told before it had the task.
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

func (m *Manager) renewOnce(ctx context.Context, w *machine) error {
	ctx, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
	defer cancel()
	m.mu.Lock()
	client, l := w.client, w.lease
	req := worker.RenewRequest{
		Holder: m.opts.Self, Epoch: l.Epoch, TTL: m.opts.LeaseTTL, TaskTTL: m.opts.TaskTTL,
	}
	for id := range w.tasks {
		req.Tasks = append(req.Tasks, id)
	}
	m.mu.Unlock()
	sentAt := m.opts.Now()
	reply, err := client.Renew(ctx, req)
	if err != nil {
		return err
	}
	m.mu.Lock()
	l.end = m.leaseEnd(sentAt)
	m.mu.Unlock()
	for _, t := range reply.Ended {
		m.taskEnded(w, t)
	}
	m.resolve(ctx, w, client)
	if !reply.Usage.MeasuredAt.IsZero() {
		m.opts.Sink.Usage(w.name, reply.Usage)
	}
	return nil
}

// lose gives up a lease that has ended without a release.
func (m *Manager) lose(w *machine, reason string) {
	m.mu.Lock()
	epoch := w.lease.Epoch
	w.lease = nil
	m.mu.Unlock()
	m.opts.OnEvent(w.name, "worker_lost", epoch, reason)
	m.opts.Sink.Lost(w.name)
}

// release gives the lease up in favour of the successor. It tries until the
// lease has ended by itself. The tasks go on under the leases that they have.
func (m *Manager) release(ctx context.Context, w *machine) {
	for {
		m.mu.Lock()
		client, l := w.client, w.lease
		req := worker.ReleaseRequest{Holder: m.opts.Self, Epoch: l.Epoch, Successor: w.successor}
		expired := !m.opts.Now().Before(l.end)
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
	m.lose(w, "released")
}

// jitter returns a random time between half of d and one and a half of it, so
// that the hosts' calls do not coincide.
func jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return d
	}
	return d/2 + rand.N(d)
}

// sleep waits for d, the end of ctx or a value from kick.
func sleep(ctx context.Context, d time.Duration, kick <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-kick:
	case <-timer.C:
	}
}
