package holding

import (
	"context"
	"fmt"
	"hash/crc32"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/platform"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// fakeWorker implements the worker's side of leases and tasks; its only resource
// is slots. A task runs until finish is called for it or its lease ends.
type fakeWorker struct {
	mu          sync.Mutex
	epoch       uint64
	incarnation string
	holder      string
	leaseUntil  time.Time
	successor   string
	leaseOnly   bool
	slots       int
	tasks       map[worker.TaskID]*fakeTask
	fenced      map[worker.TaskID]bool
	maxRunning  int
	startCount  int
}

type fakeTask struct {
	worker.Task
	leaseEnd time.Time
	done     chan struct{}
}

func newFakeWorker(leaseOnly bool) *fakeWorker {
	w := &fakeWorker{leaseOnly: leaseOnly, slots: 8}
	w.restart()
	return w
}

func (w *fakeWorker) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.epoch += 1000
	w.incarnation = fmt.Sprint("i", w.epoch)
	w.leaseUntil, w.successor = time.Time{}, ""
	w.tasks, w.fenced = map[worker.TaskID]*fakeTask{}, map[worker.TaskID]bool{}
}

// expireTasks stops the tasks whose lease has ended and returns the number of
// tasks that still run.
func (w *fakeWorker) expireTasks() int {
	running := 0
	for _, t := range w.tasks {
		if t.State == worker.TaskRunning && !time.Now().Before(t.leaseEnd) {
			t.State = worker.TaskStopped
			close(t.done)
		}
		if t.State == worker.TaskRunning {
			running++
		}
	}
	w.maxRunning = max(w.maxRunning, running)
	return running
}

func (w *fakeWorker) state(id worker.TaskID) worker.TaskState {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expireTasks()
	if t := w.tasks[id]; t != nil {
		return t.State
	}
	return ""
}

func (w *fakeWorker) finishOne() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, t := range w.tasks {
		if t.State == worker.TaskRunning {
			w.finishLocked(id)
			return
		}
	}
}

func (w *fakeWorker) finish(id worker.TaskID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finishLocked(id)
}

func (w *fakeWorker) finishLocked(id worker.TaskID) {
	if t := w.tasks[id]; t != nil && t.State == worker.TaskRunning {
		body := []byte("answer of " + id)
		t.State = worker.TaskEnded
		t.Answer = &worker.Answer{Task: id, Body: body, Length: len(body), Checksum: crc32.Checksum(body, castagnoli)}
		close(t.done)
	}
}

// fakeClient is one host's connection to a fakeWorker.
type fakeClient struct {
	worker.Worker
	*fakeWorker
	mu sync.Mutex
	// delay defers the delivery of all calls. A call whose context ends in the
	// meantime is still delivered.
	delay time.Duration
	// dropReply discards the replies to starts; corruptReply modifies them.
	dropReply    bool
	corruptReply func(*worker.StartReply)
	closed       bool
}

func (c *fakeClient) set(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

func (c *fakeClient) Close() error {
	c.set(func() { c.closed = true })
	return nil
}

func (c *fakeClient) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// call runs f after the delay, with the worker locked.
func (c *fakeClient) call(ctx context.Context, f func()) error {
	c.mu.Lock()
	delay := c.delay
	c.mu.Unlock()
	done := make(chan struct{})
	go func() {
		time.Sleep(delay + time.Millisecond)
		c.fakeWorker.mu.Lock()
		defer c.fakeWorker.mu.Unlock()
		c.expireTasks()
		f()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return worker.ErrNoReply
	}
}

func reply[T any](c *fakeClient, ctx context.Context, f func() (T, error)) (r T, err error) {
	var v T
	var callErr error
	if err := c.call(ctx, func() { v, callErr = f() }); err != nil {
		return r, err
	}
	return v, callErr
}

func (c *fakeClient) Hold(ctx context.Context, req worker.HoldRequest) (worker.HoldReply, error) {
	return reply(c, ctx, func() (r worker.HoldReply, err error) {
		if left := time.Until(c.leaseUntil); left > 0 && c.holder != req.Holder && c.successor != req.Holder {
			return r, &worker.HeldError{Holder: c.holder, Remaining: left}
		}
		c.epoch++
		c.holder, c.leaseUntil, c.successor = req.Holder, time.Now().Add(req.TTL), ""
		for _, t := range c.tasks {
			r.Tasks = append(r.Tasks, t.Task)
		}
		r.Epoch, r.Incarnation, r.Capacity = c.epoch, c.incarnation, worker.Capacity{Slots: c.slots}
		return r, nil
	})
}

func (c *fakeClient) Renew(ctx context.Context, req worker.RenewRequest) (worker.RenewReply, error) {
	return reply(c, ctx, func() (r worker.RenewReply, err error) {
		if req.Epoch != c.epoch {
			return r, worker.ErrStaleEpoch
		}
		c.leaseUntil = time.Now().Add(req.TTL)
		for _, id := range req.Tasks {
			t := c.tasks[id]
			switch {
			case t == nil:
				r.Ended = append(r.Ended, worker.Task{ID: id, State: worker.TaskUnknown})
			case t.State == worker.TaskRunning:
				t.leaseEnd = time.Now().Add(req.TaskTTL)
			default:
				r.Ended = append(r.Ended, t.Task)
			}
		}
		return r, nil
	})
}

func (c *fakeClient) Release(ctx context.Context, req worker.ReleaseRequest) error {
	_, err := reply(c, ctx, func() (struct{}, error) {
		if req.Epoch != c.epoch {
			return struct{}{}, worker.ErrStaleEpoch
		}
		c.successor = req.Successor
		return struct{}{}, nil
	})
	return err
}

func (c *fakeClient) Start(ctx context.Context, req worker.StartRequest) (worker.StartReply, error) {
	t := &fakeTask{Task: worker.Task{ID: req.Task, State: worker.TaskRunning}, leaseEnd: req.LeaseEnd, done: make(chan struct{})}
	r, err := reply(c, ctx, func() (r worker.StartReply, err error) {
		switch {
		case !c.leaseOnly && req.Epoch != c.epoch:
			return r, worker.ErrStaleEpoch
		case c.fenced[req.Task] || !time.Now().Before(req.LeaseEnd):
			return r, worker.ErrFenced
		case c.tasks[req.Task] != nil:
			return r, worker.ErrDuplicateTask
		}
		c.tasks[req.Task] = t
		c.startCount++
		c.expireTasks()
		return worker.StartReply{State: worker.TaskRunning}, nil
	})
	if err == nil && req.Wait {
		select {
		case <-t.done:
			c.fakeWorker.mu.Lock()
			r = worker.StartReply{State: t.State}
			if t.Answer != nil {
				answer := *t.Answer
				r.Answer = &answer
			}
			c.fakeWorker.mu.Unlock()
		case <-ctx.Done():
			err = worker.ErrNoReply
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil && c.corruptReply != nil {
		c.corruptReply(&r)
	}
	if err == nil && c.dropReply {
		return worker.StartReply{}, worker.ErrNoReply
	}
	return r, err
}

func (c *fakeClient) Status(ctx context.Context, req worker.StatusRequest) (worker.Task, error) {
	return reply(c, ctx, func() (worker.Task, error) {
		if t := c.tasks[req.Task]; t != nil {
			return t.Task, nil
		}
		if req.Incarnation != c.incarnation {
			return worker.Task{ID: req.Task, State: worker.TaskUnknown}, nil
		}
		c.fenced[req.Task] = c.fenced[req.Task] || req.Fence
		return worker.Task{ID: req.Task, State: worker.TaskFenced}, nil
	})
}

// testHost is an entry host: it runs a Manager for the worker w1 and, as its Sink,
// counts the slots in use there.
type testHost struct {
	*Manager
	client   *fakeClient
	stop     context.CancelFunc
	mu       sync.Mutex
	capacity int
	// used holds the tasks that occupy a slot or are being started.
	used    map[worker.TaskID]bool
	adopted []worker.Task
	// startedEarly is set if a start succeeded before LeaseAcquired had returned.
	startedEarly bool
	ended        []worker.Task
	// pausedNs is how far the Manager's clock is ahead of the bubble's.
	pausedNs atomic.Int64
}

// now returns the time on the Manager's clock.
func (h *testHost) now() time.Time { return time.Now().Add(time.Duration(h.pausedNs.Load())) }

// pause has the effect of a pause of the Manager's process: d passes at once.
func (h *testHost) pause(d time.Duration) { h.pausedNs.Add(int64(d)) }

// newTestHost runs a Manager for the worker w1; owner returns the host that should
// hold it.
func newTestHost(name string, w *fakeWorker, owner func() string) *testHost {
	h := &testHost{client: &fakeClient{fakeWorker: w}}
	h.Manager = New(Options{
		Self: name, Owner: func(string) string { return owner() }, Sink: h, LeaseOnly: w.leaseOnly, Now: h.now,
		Dial: func(worker.Info) worker.Worker { return h.client },
	})
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	h.setHostList("i", platform.HostLive, 0)
	go func() { _ = h.Run(ctx) }()
	return h
}

// setHostList calls SetHosts with a list of the given age.
func (h *testHost) setHostList(incarnation string, state platform.HostState, age time.Duration) {
	h.SetHosts(platform.HostListReply{AsOf: time.Now().Add(-age), Hosts: []platform.Host{
		{Info: worker.Info{Name: "w1", Incarnation: incarnation}, State: state},
	}})
}

func (h *testHost) LeaseAcquired(_ worker.Info, c worker.Capacity, tasks []worker.Task) {
	_, err := h.start("early", false)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.startedEarly = h.startedEarly || err == nil
	h.capacity, h.used, h.adopted = c.Slots, make(map[worker.TaskID]bool), tasks
	for _, t := range tasks {
		h.used[t.ID] = true
	}
}

func (h *testHost) LeaseLost(string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.capacity, h.used = 0, nil
}

func (h *testHost) TaskEnded(_ string, t worker.Task) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.used, t.ID)
	h.ended = append(h.ended, t)
}

func (h *testHost) adoptedTasks() []worker.Task {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.adopted
}

func (h *testHost) endedTasks() []worker.Task {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ended
}

func (h *testHost) UsageMeasured(string, worker.Usage) {}
func (h *testHost) WorkerLeaving(string)               {}

func (h *testHost) start(id worker.TaskID, wait bool) (worker.StartReply, error) {
	return h.Start(context.Background(), "w1", worker.StartRequest{Task: id, Wait: wait})
}

// slots returns the number of slots in use and the worker's capacity, as reported
// to the sink.
func (h *testHost) slots() (used, capacity int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.used), h.capacity
}

// startIfFree starts a task if a slot is free. The slot is freed again only if the
// task certainly did not run.
func (h *testHost) startIfFree(id worker.TaskID) {
	h.mu.Lock()
	if len(h.used) >= h.capacity {
		h.mu.Unlock()
		return
	}
	used := h.used
	used[id] = true
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := h.Start(ctx, "w1", worker.StartRequest{Task: id})
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil && NotRun(err) {
		delete(used, id)
	}
}
