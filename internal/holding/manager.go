// Package holding implements the holder's side of the worker leases: it
// acquires, renews and hands over the leases of the workers that this entry host
// should hold, adopts the tasks that run there and starts new ones.
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

// Sink receives changes of workers and tasks; schedule.Scheduler implements it.
// Calls for one worker are sequential, except for TaskEnded and WorkerLeaving,
// which may come concurrently with others. TaskEnded may name a task that the
// sink does not know. The Manager holds no lock during a call.
type Sink interface {
	// LeaseAcquired reports that this host has acquired the worker's lease, and
	// which tasks run there. It replaces all previous state of the worker. No
	// task is started before it returns. In lease-only mode it is first called
	// with a capacity of zero, and again once the previous holder's task leases
	// have expired.
	LeaseAcquired(info worker.Info, capacity worker.Capacity, tasks []worker.Task)
	// LeaseLost reports that this host no longer holds the worker's lease.
	LeaseLost(worker string)
	// TaskEnded reports that a task does not run any more and cannot start
	// later. It may be repeated after LeaseAcquired.
	TaskEnded(worker string, task worker.Task)
	// UsageMeasured reports a measurement of the worker's resource usage.
	UsageMeasured(worker string, u worker.Usage)
	// WorkerLeaving reports that the worker accepts no new tasks.
	WorkerLeaving(worker string)
}

// Options configures a Manager. Zero durations take the defaults.
type Options struct {
	// Self is the name of this entry host.
	Self string
	// Owner returns the name of the entry host that should hold a worker, or ""
	// if there is none. It is called without a lock, so it may call Info.
	Owner func(worker string) string
	// Dial returns a client for a worker. A client that implements io.Closer is
	// closed when the worker is removed, its address changes or Run returns.
	Dial func(worker.Info) worker.Worker
	Sink Sink
	// Now is the clock; its readings must be monotonic. Default time.Now.
	Now func() time.Time
	// OnEvent is called with events for the timeline. It may be nil.
	OnEvent func(worker, kind string, epoch uint64, detail string)

	// LeaseTTL is the length of the worker lease. Default 1.5 s.
	LeaseTTL time.Duration
	// RenewEvery is the time between renewals. Default 500 ms.
	RenewEvery time.Duration
	// ExpiryMargin is how much earlier than the worker this host regards its
	// worker lease as expired. Default 200 ms.
	ExpiryMargin time.Duration
	// TaskTTL is the length of a task lease after a renewal. Default 3 s.
	TaskTTL time.Duration
	// StartTTL is the length of a task's first lease, until a renewal extends it. A
	// start that is pending at a paused worker may take effect until that lease
	// ends, so StartTTL bounds how long a leaving worker can still begin tasks: the
	// sum of StartTTL, the 500 ms between two reads of the host list, the duration
	// of a read and MaxClockSkew must stay within 3 s. StartTTL exceeds LeaseTTL by
	// more than a successor needs to adopt the task. Default 2.2 s.
	StartTTL time.Duration
	// CallTimeout bounds each attempt to acquire, renew or release a lease. A
	// renewal includes the Status calls for tasks whose state is not known. All
	// other calls to a worker are bounded by the caller's context. The default
	// of 400 ms leaves time for two more attempts before a lease expires.
	CallTimeout time.Duration
	// RetryMin and RetryMax bound the delay before the next attempt to acquire a
	// lease. Defaults 75 ms and 2 s.
	RetryMin, RetryMax time.Duration
	// RescanEvery is the interval at which Owner is called for all workers, in
	// addition to the calls that Rescan causes. Default 1 s.
	RescanEvery time.Duration
	// ListMaxAge is the age above which a host list is stale: it can still mark
	// workers as leaving, but changes nothing else. Default 5 s.
	ListMaxAge time.Duration
	// ListReadMaxAge is how long ago the latest completed read of the host list may
	// have begun for a worker lease to be acquired. It is below the 3 s after which
	// a leaving worker must get no new tasks, and above the longest time between
	// the beginning of a read and the end of the next one. Default 2.75 s.
	ListReadMaxAge time.Duration
	// LeaseOnly is set if the workers honour the expiry of task leases but do not
	// check epochs: delayed starts of a previous holder may take effect after this
	// host has acquired a worker. The worker is then settling until all task
	// leases of the previous holder have expired, and this host starts no tasks.
	LeaseOnly bool
	// MaxClockSkew bounds the clock skew of workers and entry hosts. Default 250 ms.
	MaxClockSkew time.Duration
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
	o.MaxClockSkew = cmp.Or(o.MaxClockSkew, 250*time.Millisecond)
}

// WorkerLease identifies a worker lease of this host: its epoch and the
// incarnation of the worker that granted it.
type WorkerLease struct {
	Epoch       uint64
	Incarnation string
}

// WorkerState describes a known worker, that is, one in the host list or one that
// was removed from it while this host still maintains its lease.
type WorkerState struct {
	Info    worker.Info
	Leaving bool
	// Held is set while this host has a valid lease, which Lease identifies.
	Held bool
	// Settling is set while this host has a valid lease but starts no tasks yet.
	// See Options.LeaseOnly.
	Settling bool
	Lease    WorkerLease
	// Tasks is the number of tasks under this host's lease.
	Tasks int
}

// lease is the state of a worker lease of this host.
type lease struct {
	WorkerLease
	capacity worker.Capacity
	// expiry is when this host regards the lease as expired, by its own clock.
	// It is ExpiryMargin before the expiry at the worker.
	expiry time.Time
	// settledAt is when settling ends: the worker can no longer run tasks that
	// this host does not know. See Options.LeaseOnly.
	settledAt time.Time
	// startsAllowed is set once the sink knows the full capacity.
	startsAllowed bool
	// releasing is set when the release of the lease begins.
	releasing bool
}

// task is a task under this host's lease.
type task struct {
	// inFlight is set while Start waits for the worker's reply.
	inFlight bool
	// unresolved is set while it is not known whether the task runs. Renewals
	// then query its status.
	unresolved bool
	// incarnation is the incarnation of the worker that the task was sent to.
	incarnation string
	description worker.Task
}

// managedWorker is the state of a known worker, guarded by Manager.mu.
type managedWorker struct {
	// name never changes and may be read without the lock.
	name   string
	info   worker.Info
	client worker.Worker
	// incarnationListedAt is the AsOf time of the list that introduced the incarnation.
	incarnationListedAt time.Time
	leaving             bool
	// removed is set while the newest list does not contain the worker.
	removed bool
	// wanted is set while this host should hold the worker.
	wanted bool
	// successor is the host that should hold the worker instead, empty if none.
	successor string
	// loopRunning is set while a goroutine runs maintainLease for the worker.
	loopRunning bool
	lease       *lease
	tasks       map[worker.TaskID]*task
	// wakeCh ends the current wait of that goroutine.
	wakeCh chan struct{}
}

// wake ends the current or the next wait of the worker's goroutine.
func (w *managedWorker) wake() {
	select {
	case w.wakeCh <- struct{}{}:
	default:
	}
}

// Manager maintains the worker leases of this entry host. All methods may be
// called concurrently.
type Manager struct {
	opts      Options
	startedAt time.Time

	mu      sync.Mutex
	workers map[string]*managedWorker
	// listAsOf is the AsOf time of the newest list that was not stale.
	listAsOf time.Time
	// currentHosts are the hosts of the newest list that was applied in full.
	currentHosts []platform.Host
	// largestCapacity is the largest capacity of any worker of currentHosts in
	// each dimension.
	largestCapacity worker.Capacity
	// lastListReadBegan is when the newest completed read of the list began.
	lastListReadBegan time.Time
	stopping          bool
	rescan            chan struct{}
	// loopEnded is closed and replaced whenever a worker's goroutine ends.
	loopEnded chan struct{}
}

// New returns a Manager without workers. SetHosts adds them.
func New(opts Options) *Manager {
	opts.setDefaults()
	return &Manager{
		opts:      opts,
		startedAt: opts.Now(),
		workers:   make(map[string]*managedWorker),
		rescan:    make(chan struct{}, 1),
		loopEnded: make(chan struct{}),
	}
}

// Rescan makes the Manager call Owner for all workers immediately. It is called
// after a change of the membership or of the host list.
func (m *Manager) Rescan() {
	select {
	case m.rescan <- struct{}{}:
	default:
	}
}

// Run acquires and renews leases until ctx ends, then closes the clients and
// returns the context's error. Leases that were not handed over by then expire.
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

// scan calls Owner for each worker and starts goroutines for the workers that
// this host should hold.
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
			if w.wanted && !w.loopRunning {
				w.loopRunning = true
				group.Go(func() error { return m.maintainLease(ctx, w) })
			}
		}
		m.mu.Unlock()
	}
}

func (m *Manager) setOwner(w *managedWorker, owner string) {
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
		// No other host would acquire the worker, so its tasks stay under this
		// host's lease.
		return
	default:
		w.wanted, w.successor = false, owner
	}
	if w.loopRunning {
		w.wake()
	}
}

// Handover rejects all further starts and releases each worker to the host that
// Owner returns, which must no longer be this one. It returns nil when no worker
// is held any more, or an error with the number of remaining workers when ctx
// ends first. Replies to pending starts still arrive while Run is running.
func (m *Manager) Handover(ctx context.Context) error {
	m.mu.Lock()
	m.stopping = true
	m.mu.Unlock()
	m.Rescan()
	for {
		m.mu.Lock()
		remaining := 0
		for _, w := range m.workers {
			if w.loopRunning {
				remaining++
			}
		}
		loopEnded := m.loopEnded
		m.mu.Unlock()
		if remaining == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d workers were not handed over", remaining)
		case <-loopEnded:
		}
	}
}

// Held returns the lease of a worker if this host may start tasks under it. The
// lease may expire at any time, so Start checks it again.
func (m *Manager) Held(name string) (WorkerLease, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.workers[name]
	if w == nil || !m.leaseValidLocked(w) || !w.lease.startsAllowed {
		return WorkerLease{}, false
	}
	return w.lease.WorkerLease, true
}

// leaseValidLocked reports whether the lease may still be used. It needs m.mu.
func (m *Manager) leaseValidLocked(w *managedWorker) bool {
	return w.lease != nil && !w.lease.releasing && m.opts.Now().Before(w.lease.expiry)
}

// Info returns the description of a worker from the host list.
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
		if m.leaseValidLocked(w) {
			s.Held, s.Lease, s.Settling = true, w.lease.WorkerLease, !w.lease.startsAllowed
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
