// Package holding is the holder's side of the worker leases: it takes, renews
// and hands over the leases of the workers that this entry host should hold,
// adopts the tasks that run there and starts new ones.
package holding

import (
	"cmp"
	"context"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/laburnumpass/laburnumpass/internal/platform"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// Sink takes in what happens to workers; the capacity ledger implements it.
// Calls about one worker come one after the other, except for TaskEnded and
// Leaving, which may come at any time, also for a task that the ledger does not
// have. The Manager holds no lock during a call.
type Sink interface {
	// Gained tells that the worker is held and which tasks run there. It
	// replaces all that was known about the worker. No task is started before
	// it returns. In lease-only mode it is first called with a capacity of
	// zero, and again once the former holder's task leases have expired.
	Gained(info worker.Info, capacity worker.Capacity, tasks []worker.Task)
	// Lost tells that the worker is no longer held.
	Lost(worker string)
	// TaskEnded tells that a task no longer runs and cannot begin any more. It
	// may be repeated after Gained.
	TaskEnded(worker string, task worker.Task)
	// Usage passes on a measurement.
	Usage(worker string, u worker.Usage)
	// Leaving tells that the worker takes no new task.
	Leaving(worker string)
}

// Options configures a Manager. Zero durations take the defaults.
type Options struct {
	// Self is the name of this entry host.
	Self string
	// Owner returns the entry host that should hold a worker, empty if there
	// is none. It is called without a lock, so it may call Info.
	Owner func(worker string) string
	// Dial makes the client of a worker. A client that implements io.Closer is
	// closed when the worker is gone or its address changes.
	Dial func(worker.Info) worker.Worker
	Sink Sink
	// Now is the clock; its readings must be monotonic. Default time.Now.
	Now func() time.Time
	// OnEvent is called with events for the time line. It may be nil.
	OnEvent func(worker, kind string, epoch uint64, detail string)

	// LeaseTTL is the length of the worker lease. Default 1.5 s.
	LeaseTTL time.Duration
	// RenewEvery is the time between renewals. Default 500 ms.
	RenewEvery time.Duration
	// ExpiryMargin is the time by which the own lease is regarded as expired before
	// the worker regards it so. Default 200 ms.
	ExpiryMargin time.Duration
	// TaskTTL is the length of the task leases. Default 3 s.
	TaskTTL time.Duration
	// StartTTL is the length of a task's first lease, until a renewal extends
	// it. A start that waits at a paused worker may take effect until that
	// lease ends, so it bounds new work on a leaving worker: together with the
	// 500 ms between two readings of the host list, the time of a reading and
	// ClockError it stays within 3 s. It exceeds LeaseTTL by more than the time
	// that a successor needs to adopt the task. Default 2.2 s.
	StartTTL time.Duration
	// CallTimeout bounds all calls to a worker but Start, Status and Stop,
	// which the caller bounds. Default 400 ms, which leaves time for two more
	// tries before a lease ends.
	CallTimeout time.Duration
	// RetryMin and RetryMax bound the delay before the next try to take a
	// lease. Defaults 75 ms and 2 s.
	RetryMin, RetryMax time.Duration
	// RescanEvery is the time between calls of Owner for all workers without
	// a Rescan. Default 1 s.
	RescanEvery time.Duration
	// ListMaxAge is the age above which a host list only marks workers as
	// leaving. Default 5 s.
	ListMaxAge time.Duration
	// ListReadMaxAge is the time within which a read of the host list must have
	// begun and ended for a worker lease to be taken. It is below the 3 s after
	// which a leaving worker gets no new work, and above the longest time
	// between the beginning of a read and the end of the next one. Default
	// 2.75 s.
	ListReadMaxAge time.Duration
	// LeaseOnly is set for workers that honour the expiry of task leases but
	// do not check epochs.
	LeaseOnly bool
	// ClockError bounds the difference between the clocks of workers and entry
	// hosts. Default 250 ms.
	ClockError time.Duration
}

func (o *Options) setDefaults() {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.OnEvent == nil {
		o.OnEvent = func(string, string, uint64, string) {}
	}
	o.LeaseTTL = cmp.Or(o.LeaseTTL, 1500*time.Millisecond)
	o.RenewEvery = cmp.Or(o.RenewEvery, 500*time.Millisecond)
	o.ExpiryMargin = cmp.Or(o.ExpiryMargin, 200*time.Millisecond)
	o.TaskTTL = cmp.Or(o.TaskTTL, 3*time.Second)
	o.StartTTL = cmp.Or(o.StartTTL, 2200*time.Millisecond)
	o.CallTimeout = cmp.Or(o.CallTimeout, 400*time.Millisecond)
	o.RetryMin = cmp.Or(o.RetryMin, 75*time.Millisecond)
	o.RetryMax = cmp.Or(o.RetryMax, 2*time.Second)
	o.RescanEvery = cmp.Or(o.RescanEvery, time.Second)
	o.ListMaxAge = cmp.Or(o.ListMaxAge, 5*time.Second)
	o.ListReadMaxAge = cmp.Or(o.ListReadMaxAge, 2750*time.Millisecond)
	o.ClockError = cmp.Or(o.ClockError, 250*time.Millisecond)
}

// WorkerLease describes a valid worker lease of this host.
type WorkerLease struct {
	Epoch       uint64
	Incarnation string
}

// WorkerState describes a known worker.
type WorkerState struct {
	Info    worker.Info
	Leaving bool
	// Held is set while this host has a valid lease.
	Held bool
	// Settling is set while unknown tasks of the former holder may run.
	Settling bool
	Lease    WorkerLease
	// Tasks counts the tasks under this host's lease.
	Tasks int
}

// lease is a worker lease of this host.
type lease struct {
	WorkerLease
	capacity worker.Capacity
	// end is the end by the own clock, ExpiryMargin before the worker's.
	end time.Time
	// openAt is the time from which a lease-only worker is free of unknown tasks.
	openAt time.Time
	// opened is set once the sink knows the whole capacity, so that tasks may
	// be started.
	opened bool
	// closed is set when the lease is being given up.
	closed bool
}

// task is a task under this host's lease.
type task struct {
	// inFlight is set while Start waits for the worker's reply.
	inFlight bool
	// unresolved is set when it is not known whether the task runs.
	unresolved  bool
	incarnation string
	desc        worker.Task
}

// machine is a known worker. Its fields are guarded by Manager.mu.
type machine struct {
	// name is constant.
	name   string
	info   worker.Info
	client worker.Worker
	// listed is the time of the list that brought the present incarnation.
	listed  time.Time
	leaving bool
	// removed is set when the newest list does not have the worker.
	removed bool
	// wanted is set while this host should hold the worker. successor is set
	// while another one should and this host holds it.
	wanted    bool
	successor string
	// active is set while the worker's goroutine runs.
	active bool
	lease  *lease
	tasks  map[worker.TaskID]*task
	// kick wakes the goroutine.
	kick chan struct{}
}

func (w *machine) wake() {
	select {
	case w.kick <- struct{}{}:
	default:
	}
}

// Manager holds the workers of this entry host. All methods may be called
// concurrently.
type Manager struct {
	opts    Options
	started time.Time

	mu       sync.Mutex
	workers  map[string]*machine
	listAsOf time.Time
	// lastHosts is the newest list that was taken in whole.
	lastHosts []platform.Host
	// largest is the largest capacity of any worker in each dimension, by the
	// newest list that changed something.
	largest worker.Capacity
	// listRead is the beginning of the newest read of the list that has ended.
	listRead time.Time
	stopping bool
	rescan   chan struct{}
	// idle is closed and replaced whenever a worker's goroutine ends.
	idle chan struct{}
}

// New returns a Manager that knows of no worker.
func New(opts Options) *Manager {
	opts.setDefaults()
	return &Manager{
		opts:    opts,
		started: opts.Now(),
		workers: make(map[string]*machine),
		rescan:  make(chan struct{}, 1),
		idle:    make(chan struct{}),
	}
}

// Rescan makes the Manager ask Owner about all workers at once. It is called
// after a change of the membership.
func (m *Manager) Rescan() {
	select {
	case m.rescan <- struct{}{}:
	default:
	}
}

// Run takes and renews leases until ctx ends, then closes the clients and
// returns the context's error. Leases that were not handed over before expire.
func (m *Manager) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		ticker := time.NewTicker(m.opts.RescanEvery)
		defer ticker.Stop()
		for {
			m.scan(ctx, group)
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-ticker.C:
			case <-m.rescan:
			}
		}
	})
	err := group.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range m.workers {
		w.lease = nil
		closeClient(w.client)
	}
	return err
}

// scan asks who should hold each worker and starts goroutines for those that
// this host should.
func (m *Manager) scan(ctx context.Context, group *errgroup.Group) {
	m.mu.Lock()
	names := make([]string, 0, len(m.workers))
	for name := range m.workers {
		names = append(names, name)
	}
	m.mu.Unlock()
	for _, name := range names {
		owner := m.opts.Owner(name)
		m.mu.Lock()
		if w := m.workers[name]; w != nil {
			m.setOwner(w, owner)
			if w.wanted && !w.active {
				w.active = true
				group.Go(func() error { return m.keep(ctx, w) })
			}
		}
		m.mu.Unlock()
	}
}

func (m *Manager) setOwner(w *machine, owner string) {
	switch {
	case m.stopping, w.removed:
		w.wanted = false
		w.successor = owner
		if owner == m.opts.Self {
			w.successor = ""
		}
	case owner == m.opts.Self:
		w.wanted, w.successor = true, ""
		return
	case owner == "" && w.lease != nil:
		// Nobody else would take the worker, so its tasks stay under this lease.
		return
	default:
		w.wanted, w.successor = false, owner
	}
	if w.active {
		w.wake()
	}
}

// Handover stops all starts and releases each worker to the host that Owner
// names, which must no longer name this one. It returns when nothing is held
// any more, or an error with the number of workers left when ctx ends. Replies
// to starts that are under way still arrive as long as Run goes on.
func (m *Manager) Handover(ctx context.Context) error {
	m.mu.Lock()
	m.stopping = true
	m.mu.Unlock()
	m.Rescan()
	for {
		m.mu.Lock()
		left := 0
		for _, w := range m.workers {
			if w.active {
				left++
			}
		}
		idle := m.idle
		m.mu.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d workers were not handed over", left)
		case <-idle:
		}
	}
}

// Held returns the lease of a worker if this host may start tasks under it. It
// may expire at any time; Start checks again.
func (m *Manager) Held(name string) (WorkerLease, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.workers[name]
	if w == nil || !m.valid(w) || !w.lease.opened {
		return WorkerLease{}, false
	}
	return w.lease.WorkerLease, true
}

func (m *Manager) valid(w *machine) bool {
	return w.lease != nil && !w.lease.closed && m.opts.Now().Before(w.lease.end)
}

// Info returns what the host list tells about a worker.
func (m *Manager) Info(name string) (worker.Info, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if w := m.workers[name]; w != nil {
		return w.info, true
	}
	return worker.Info{}, false
}

// Workers returns all known workers, sorted by name.
func (m *Manager) Workers() []WorkerState {
	m.mu.Lock()
	defer m.mu.Unlock()
	states := make([]WorkerState, 0, len(m.workers))
	for _, w := range m.workers {
		s := WorkerState{Info: w.info, Leaving: w.leaving, Tasks: len(w.tasks)}
		if m.valid(w) {
			s.Held, s.Lease, s.Settling = true, w.lease.WorkerLease, !w.lease.opened
		}
		states = append(states, s)
	}
	slices.SortFunc(states, func(a, b WorkerState) int { return strings.Compare(a.Info.Name, b.Info.Name) })
	return states
}

func closeClient(w worker.Worker) {
	if c, ok := w.(io.Closer); ok {
		_ = c.Close()
	}
}
