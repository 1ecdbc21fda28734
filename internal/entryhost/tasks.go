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
	// statusPollInterval is the first pause between questions about a task whose reply
	// was lost; it doubles up to statusPollIntervalMax.
	statusPollInterval    = 20 * time.Millisecond
	statusPollIntervalMax = time.Second
	// statusCallTimeout bounds one question to a worker.
	statusCallTimeout = time.Second
	// resolveTimeout bounds how long a run waits for a worker that does not answer
	// before its outcome is unknown.
	resolveTimeout = 10 * time.Second
	// startCallTimeout bounds the start call of a task, which returns its answer. A
	// longer task is followed by lease renewals and status calls.
	startCallTimeout = 30 * time.Second
)

// taskTable starts tasks and learns their ends.
type taskTable struct {
	host *Host

	mu          sync.Mutex
	subscribers map[worker.TaskID]chan worker.Task
}

func newTaskTable(h *Host) *taskTable {
	return &taskTable{host: h, subscribers: make(map[worker.TaskID]chan worker.Task)}
}

// reportEnded passes the end of a task that was reported with a lease renewal.
func (t *taskTable) reportEnded(task worker.Task) {
	t.mu.Lock()
	ch := t.subscribers[task.ID]
	t.mu.Unlock()
	if ch == nil {
		return
	}
	select {
	case ch <- task:
	default:
	}
}

func (t *taskTable) subscribe(id worker.TaskID) (<-chan worker.Task, func()) {
	ch := make(chan worker.Task, 1)
	t.mu.Lock()
	t.subscribers[id] = ch
	t.mu.Unlock()
	return ch, func() {
		t.mu.Lock()
		delete(t.subscribers, id)
		t.mu.Unlock()
	}
}

// run starts a task and returns its end: TaskEnded with its answer,
// TaskFenced if it has certainly not begun, TaskStopped, or TaskUnknown. It
// calls release once the task certainly occupies its worker no longer, which
// may be after run has returned TaskUnknown.
func (t *taskTable) run(ctx context.Context, workerName string, lease holding.WorkerLease, start worker.StartRequest, release func(ran, failed bool)) (*worker.Answer, worker.TaskState) {
	answer, state := t.start(ctx, workerName, lease, start, release)
	t.host.telemetry.count("tasks." + string(state))
	if answer != nil && answer.Failed {
		t.host.telemetry.count("tasks.failed")
	}
	return answer, state
}

func (t *taskTable) start(ctx context.Context, workerName string, lease holding.WorkerLease, start worker.StartRequest, release func(ran, failed bool)) (*worker.Answer, worker.TaskState) {
	reports, unsubscribe := t.subscribe(start.Task)
	startCtx, cancel := context.WithTimeout(ctx, startCallTimeout)
	start.Wait = true
	reply, err := t.host.holding.Start(startCtx, workerName, start)
	timedOut := startCtx.Err() != nil && ctx.Err() == nil
	cancel()
	switch {
	case err == nil && reply.Answer != nil:
		unsubscribe()
		release(true, reply.Answer.Failed)
		return reply.Answer, worker.TaskEnded
	case certainlyNotStarted(err):
		t.host.telemetry.count("tasks.start_refused." + startRefusal(err))
		unsubscribe()
		release(false, false)
		return nil, worker.TaskFenced
	case err != nil && !timedOut:
		t.host.log.V(1).Info("no usable reply to a task start", "task", start.Task, "worker", workerName, "error", err.Error())
		t.host.telemetry.count("tasks.start_reply_lost")
	}
	poller := &taskPoller{table: t, workerName: workerName, lease: lease, id: start.Task, reports: reports, unsubscribe: unsubscribe, release: release}
	return poller.await(ctx)
}

// certainlyNotStarted reports whether an error of a start means that the task has not
// begun and will not.
func certainlyNotStarted(err error) bool {
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

// startRefusal names the reason of an error for which certainlyNotStarted holds.
func startRefusal(err error) string {
	for _, r := range startRefusals {
		if errors.Is(err, r.err) {
			return r.name
		}
	}
	return "other"
}

// taskPoller asks about a task whose start call did not bring its answer, until
// it has ended.
type taskPoller struct {
	table       *taskTable
	workerName  string
	lease       holding.WorkerLease
	id          worker.TaskID
	reports     <-chan worker.Task
	unsubscribe func()
	release     func(ran, failed bool)
	// lastReplyAt is the time of the last reply about the task in Unix nanoseconds.
	lastReplyAt atomic.Int64
}

// await returns the end of the task. It returns TaskUnknown when ctx ends or
// the worker has not replied for resolveTimeout, and goes on in the background,
// since the task may still occupy the worker.
func (p *taskPoller) await(ctx context.Context) (*worker.Answer, worker.TaskState) {
	p.lastReplyAt.Store(time.Now().UnixNano())
	found := make(chan worker.Task, 1)
	go func() {
		defer p.unsubscribe()
		task := p.poll()
		ran := task.State != worker.TaskFenced
		p.release(ran, ran && (task.Answer == nil || task.Answer.Failed))
		found <- task
	}()
	ticker := time.NewTicker(statusPollIntervalMax)
	defer ticker.Stop()
	for {
		select {
		case task := <-found:
			return task.Answer, task.State
		case <-ctx.Done():
			return nil, worker.TaskUnknown
		case <-ticker.C:
			if time.Since(time.Unix(0, p.lastReplyAt.Load())) > resolveTimeout {
				return nil, worker.TaskUnknown
			}
		}
	}
}

// poll asks the worker until the task does not run any more. It ends with
// TaskUnknown when this host has lost a worker that does not reply: then its
// ledger here is gone as well.
func (p *taskPoller) poll() worker.Task {
	wait := statusPollInterval
	for {
		task, err := p.table.status(p.table.host.lifetime, p.workerName, p.lease, p.id)
		if err == nil {
			p.lastReplyAt.Store(time.Now().UnixNano())
			if task.State != worker.TaskRunning {
				return task
			}
		} else if current, ok := p.table.host.holding.Held(p.workerName); !ok || current.Epoch != p.lease.Epoch {
			return worker.Task{ID: p.id, State: worker.TaskUnknown}
		}
		timer := time.NewTimer(wait)
		select {
		case task := <-p.reports:
			timer.Stop()
			if task.Answer != nil {
				return task
			}
		case <-timer.C:
		case <-p.table.host.lifetime.Done():
			timer.Stop()
			return worker.Task{ID: p.id, State: worker.TaskUnknown}
		}
		wait = min(2*wait, statusPollIntervalMax)
	}
}

func (t *taskTable) status(ctx context.Context, workerName string, lease holding.WorkerLease, id worker.TaskID) (worker.Task, error) {
	ctx, cancel := context.WithTimeout(ctx, statusCallTimeout)
	defer cancel()
	return t.host.holding.Status(ctx, workerName, worker.StatusRequest{Task: id, Incarnation: lease.Incarnation, Fence: true})
}
