package entryhost

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/holding"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

const (
	// statusPoll is the first pause between questions about a task whose reply
	// was lost; it doubles up to statusPollMax.
	statusPoll    = 20 * time.Millisecond
	statusPollMax = time.Second
	// statusCall bounds one question to a worker.
	statusCall = time.Second
	// resolveFor bounds how long a run waits for a worker that does not answer
	// before its outcome is unknown.
	resolveFor = 10 * time.Second
	// startWait bounds the start call of a task, which returns its answer. A
	// longer task is followed by lease renewals and status calls.
	startWait = 30 * time.Second
)

// taskTable starts tasks and learns their ends.
type taskTable struct {
	host *Host

	mu      sync.Mutex
	waiting map[worker.TaskID]chan worker.Task
}

func newTaskTable(h *Host) *taskTable {
	return &taskTable{host: h, waiting: make(map[worker.TaskID]chan worker.Task)}
}

// ended passes the end of a task that was reported with a lease renewal.
func (t *taskTable) ended(task worker.Task) {
	t.mu.Lock()
	ch := t.waiting[task.ID]
	t.mu.Unlock()
	if ch == nil {
		return
	}
	select {
	case ch <- task:
	default:
	}
}

func (t *taskTable) wait(id worker.TaskID) (<-chan worker.Task, func()) {
	ch := make(chan worker.Task, 1)
	t.mu.Lock()
	t.waiting[id] = ch
	t.mu.Unlock()
	return ch, func() {
		t.mu.Lock()
		delete(t.waiting, id)
		t.mu.Unlock()
	}
}

// run starts a task and returns its end: TaskEnded with its answer,
// TaskFenced if it has certainly not begun, TaskStopped, or TaskUnknown. It
// calls release once the task certainly occupies its worker no longer, which
// may be after run has returned TaskUnknown.
func (t *taskTable) run(ctx context.Context, name string, hold holding.WorkerLease, start worker.StartRequest, release func(ran, failed bool)) (*worker.Answer, worker.TaskState) {
	answer, state := t.start(ctx, name, hold, start, release)
	t.host.telemetry.count("tasks." + string(state))
	if answer != nil && answer.Failed {
		t.host.telemetry.count("tasks.failed")
	}
	return answer, state
}

func (t *taskTable) start(ctx context.Context, name string, hold holding.WorkerLease, start worker.StartRequest, release func(ran, failed bool)) (*worker.Answer, worker.TaskState) {
	ends, forget := t.wait(start.Task)
	startCtx, cancel := context.WithTimeout(ctx, startWait)
	start.Wait = true
	reply, err := t.host.holding.Start(startCtx, name, start)
	long := startCtx.Err() != nil && ctx.Err() == nil
	cancel()
	switch {
	case err == nil && reply.Answer != nil:
		forget()
		release(true, reply.Answer.Failed)
		return reply.Answer, worker.TaskEnded
	case notBegun(err):
		t.host.telemetry.count("tasks.start_refused." + startRefusal(err))
		forget()
		release(false, false)
		return nil, worker.TaskFenced
	case err != nil && !long:
		t.host.log.V(1).Info("no usable reply to a task start", "task", start.Task, "worker", name, "error", err.Error())
		t.host.telemetry.count("tasks.start_reply_lost")
	}
	f := &follower{table: t, name: name, hold: hold, id: start.Task, ends: ends, forget: forget, release: release}
	return f.await(ctx)
}

// notBegun reports whether an error of a start means that the task has not
// begun and will not.
func notBegun(err error) bool {
	return errors.Is(err, worker.ErrNotDelivered) || errors.Is(err, worker.ErrStaleEpoch) ||
		errors.Is(err, worker.ErrFenced) || err != nil && holding.NotRun(err)
}

// startRefusals are the reasons for which a task was not started, in the order
// in which an error is compared with them.
var startRefusals = []struct {
	err  error
	name string
}{
	{worker.ErrNotDelivered, "not_delivered"},
	{worker.ErrStaleEpoch, "stale_epoch"},
	{worker.ErrFenced, "fenced"},
	{holding.ErrUnknownWorker, "unknown_worker"},
	{holding.ErrNotHeld, "not_held"},
	{holding.ErrLeaving, "leaving"},
	{holding.ErrStopping, "stopping"},
	{holding.ErrSettling, "settling"},
}

// startRefusal names the reason of an error for which notBegun holds.
func startRefusal(err error) string {
	for _, r := range startRefusals {
		if errors.Is(err, r.err) {
			return r.name
		}
	}
	return "other"
}

// follower asks about a task whose start call did not bring its answer, until
// it has ended.
type follower struct {
	table   *taskTable
	name    string
	hold    holding.WorkerLease
	id      worker.TaskID
	ends    <-chan worker.Task
	forget  func()
	release func(ran, failed bool)
	// contact is the time of the last reply about the task in Unix nanoseconds.
	contact atomic.Int64
}

// await returns the end of the task. It returns TaskUnknown when ctx ends or
// the worker has not replied for resolveFor, and goes on in the background,
// since the task may still occupy the worker.
func (f *follower) await(ctx context.Context) (*worker.Answer, worker.TaskState) {
	f.contact.Store(time.Now().UnixNano())
	found := make(chan worker.Task, 1)
	go func() {
		defer f.forget()
		task := f.poll()
		ran := task.State != worker.TaskFenced
		f.release(ran, ran && (task.Answer == nil || task.Answer.Failed))
		found <- task
	}()
	ticker := time.NewTicker(statusPollMax)
	defer ticker.Stop()
	for {
		select {
		case task := <-found:
			return task.Answer, task.State
		case <-ctx.Done():
			return nil, worker.TaskUnknown
		case <-ticker.C:
			if time.Since(time.Unix(0, f.contact.Load())) > resolveFor {
				return nil, worker.TaskUnknown
			}
		}
	}
}

// poll asks the worker until the task does not run any more. It ends with
// TaskUnknown when this host has lost a worker that does not reply: then its
// ledger here is gone as well.
func (f *follower) poll() worker.Task {
	wait := statusPoll
	for {
		task, err := f.table.status(f.table.host.life, f.name, f.hold, f.id)
		if err == nil {
			f.contact.Store(time.Now().UnixNano())
			if task.State != worker.TaskRunning {
				return task
			}
		} else if now, ok := f.table.host.holding.Held(f.name); !ok || now.Epoch != f.hold.Epoch {
			return worker.Task{ID: f.id, State: worker.TaskUnknown}
		}
		timer := time.NewTimer(wait)
		select {
		case task := <-f.ends:
			timer.Stop()
			if task.Answer != nil {
				return task
			}
		case <-timer.C:
		case <-f.table.host.life.Done():
			timer.Stop()
			return worker.Task{ID: f.id, State: worker.TaskUnknown}
		}
		wait = min(2*wait, statusPollMax)
	}
}

func (t *taskTable) status(ctx context.Context, name string, hold holding.WorkerLease, id worker.TaskID) (worker.Task, error) {
	ctx, cancel := context.WithTimeout(ctx, statusCall)
	defer cancel()
	return t.host.holding.Status(ctx, name, worker.StatusRequest{Task: id, Incarnation: hold.Incarnation, Fence: true})
}
