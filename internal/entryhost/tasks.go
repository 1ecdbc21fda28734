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
	// statusPollInterval is the first pause between two status calls about a task
	// whose reply was lost; it doubles up to statusPollIntervalMax.
	statusPollInterval    = 20 * time.Millisecond
	statusPollIntervalMax = time.Second
	// statusCallTimeout bounds one status, stop or overrun action call to a worker.
	statusCallTimeout = time.Second
	// resolveTimeout is how long a request waits for a worker that does not reply
	// before its outcome is unknown, and for a holder before all workers are queried
	// instead.
	resolveTimeout = 10 * time.Second
	// startCallTimeout bounds the call that starts a task and returns its answer. The
	// end of a longer task is learned from lease renewals and status calls.
	startCallTimeout = 30 * time.Second
)

// taskTable starts tasks on workers and tracks them until they end.
type taskTable struct {
	host *Host

	mu          sync.Mutex
	subscribers map[worker.TaskID]chan worker.Task
}

func newTaskTable(h *Host) *taskTable {
	return &taskTable{host: h, subscribers: make(map[worker.TaskID]chan worker.Task)}
}

// reportEnded passes the end of a task, as reported by a lease renewal, to the
// subscriber of the task. It never blocks.
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

// subscribe returns a channel that receives the reported end of a task, and a function
// that ends the subscription.
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

// run starts a task, waits for its end and returns its final state: TaskEnded with its
// answer, TaskFenced if it has certainly not begun, TaskStopped, or TaskUnknown. It
// calls release once the task certainly no longer occupies its worker, which may be
// after run has returned TaskUnknown.
func (t *taskTable) run(ctx context.Context, workerName string, lease holding.WorkerLease, start worker.StartRequest, release func(ran, failed bool)) (*worker.Answer, worker.TaskState) {
	answer, state := t.start(ctx, workerName, lease, start, release)
	t.host.telemetry.count("tasks." + string(state))
	if answer != nil && answer.Failed {
		t.host.telemetry.count("tasks.failed")
	}
	return answer, state
}

// start does the work of run, without its metrics of final states.
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
		t.host.log.V(1).Info("task start call returned no usable reply", "task", start.Task, "worker", workerName, "error", err.Error())
		t.host.telemetry.count("tasks.start_reply_lost")
	}
	poller := &taskPoller{table: t, workerName: workerName, lease: lease, id: start.Task, reports: reports, unsubscribe: unsubscribe, release: release}
	return poller.await(ctx)
}

// certainlyNotStarted reports whether an error of a start call means that the task has
// not begun and never will.
func certainlyNotStarted(err error) bool {
	return errors.Is(err, worker.ErrNotDelivered) || errors.Is(err, worker.ErrStaleEpoch) ||
		errors.Is(err, worker.ErrFenced) || err != nil && holding.NotRun(err)
}

// startRefusals lists the metric names of the errors with which a task is certainly
// not started, in the order in which an error is compared with them.
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

// startRefusal returns the metric name of an error for which certainlyNotStarted
// returns true.
func startRefusal(err error) string {
	for _, r := range startRefusals {
		if errors.Is(err, r.err) {
			return r.name
		}
	}
	return "other"
}

// taskPoller awaits the end of a task whose start call did not return the answer.
type taskPoller struct {
	table       *taskTable
	workerName  string
	lease       holding.WorkerLease
	id          worker.TaskID
	reports     <-chan worker.Task
	unsubscribe func()
	release     func(ran, failed bool)
	// lastReplyAt is when the worker last replied about the task, in Unix nanoseconds.
	lastReplyAt atomic.Int64
}

// await waits for the end of the task and returns its answer and state. It returns
// TaskUnknown when ctx ends or the worker has not replied for resolveTimeout. Polling
// then continues in the background, since the task may still occupy the worker.
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

// poll queries the worker until the task no longer runs. A task that has not begun is
// fenced by the first query that arrives. poll returns TaskUnknown if this host's
// lifetime ends, or if the worker does not reply and this host has lost the worker's
// lease: the scheduler has then removed the worker and its allocations as well.
func (p *taskPoller) poll() worker.Task {
	wait := statusPollInterval
	for {
		task, err := p.table.queryOrFence(p.table.host.lifetime, p.workerName, p.lease, p.id)
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

// queryOrFence returns the state of a task and fences the task if it has not begun.
func (t *taskTable) queryOrFence(ctx context.Context, workerName string, lease holding.WorkerLease, id worker.TaskID) (worker.Task, error) {
	ctx, cancel := context.WithTimeout(ctx, statusCallTimeout)
	defer cancel()
	return t.host.holding.Status(ctx, workerName, worker.StatusRequest{Task: id, Incarnation: lease.Incarnation, Fence: true})
}
