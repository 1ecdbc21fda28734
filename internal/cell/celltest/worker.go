// Package celltest provides an in-memory worker that meets the platform's contract
// and supports fault injection, and a recorder that detects violations of the
// scheduler's invariants.
package celltest

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/httpcall"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// pollInterval is the interval at which a worker checks whether runs have ended.
const pollInterval = 5 * time.Millisecond

// Fault determines how a worker handles a request.
type Fault int

const (
	// NoFault executes the request and replies.
	NoFault Fault = iota
	// DropRequest does not execute the request and does not reply.
	DropRequest
	// DropReply executes the request and does not reply.
	DropReply
	// DelayRequest does not reply and executes the request after RequestDelay.
	DelayRequest
	// DelayReply executes the request and replies after ReplyDelay.
	DelayReply
)

// ReplyDelay is the delay of a reply with DelayReply. It is shorter than every
// timeout.
const ReplyDelay = 100 * time.Millisecond

// RequestDelay is the delay of the execution with DelayRequest.
const RequestDelay = 3 * time.Second

// Worker is an in-memory worker. Boot must be called before any other method.
type Worker struct {
	Entry    cell.WorkerEntry
	Recorder *RunRecorder
	// Demand returns the resources that a task needs, and Duration how long it runs.
	Demand   func(task string) worker.Resources
	Duration func(task string) time.Duration
	// Fails reports whether a run fails. It may be nil.
	Fails func(task string, run int) bool
	// Crashes reports whether a task crashes the worker that starts it, and Recovered
	// is called when the worker is back. Both may be nil.
	Crashes   func(task string) bool
	Recovered func()
	// MaxLease limits how far in the future the lease may end.
	MaxLease time.Duration
	// Rejects returns why a start request of a task is rejected, empty if it is not. It
	// may be nil.
	Rejects func(task string) cell.RejectReason
	// RequestDelays returns the delay of the execution with DelayRequest. If it is nil,
	// the delay is RequestDelay.
	RequestDelays func() time.Duration
	// DelayedRequestsOutliveProcess makes the next process of the worker execute a delayed
	// request if the process that it was sent to has ended.
	DelayedRequestsOutliveProcess bool
	// ClockRate is how fast the worker's clock runs; 0 counts as 1.
	ClockRate float64
	// RequireTickets rejects starts without a valid ticket.
	RequireTickets bool
	// Gangs connects the members of gangs. It may be nil if there are none.
	Gangs *Gangs
	// Checkpointable reports whether a task writes checkpoints. It may be nil, and so
	// may Observer.
	Checkpointable func(task string) bool
	Observer       Observer
	// CheckpointPadding is the number of bytes that checkpoints are longer than usual.
	CheckpointPadding int

	mu           sync.Mutex
	bootedAt     time.Time
	highestFence int64
	leaseEnd     time.Time
	runs         map[string]*taskRun
	highestRun   map[string]int
	ended        []cell.EndedTask
	// lapsed holds the numbers of ends that were listed when the lease expired.
	lapsed       map[int64]bool
	lastSequence int64
	partitioned  bool
	refusing     bool
	hung         bool
	// left is set once the worker has gone and another one has its address, and late
	// while a delayed request is executed.
	left, late bool
	// downUntil is when the worker is back after a crash; zero if it is up.
	downUntil time.Time
	fault     func(call, task string) Fault
	loads     map[string]int64
}

// Boot starts the worker, which ends runs when they are due until ctx is done.
func (w *Worker) Boot(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reset()
	go func() {
		for ctx.Err() == nil {
			w.mu.Lock()
			w.endDueRuns()
			w.mu.Unlock()
			time.Sleep(pollInterval)
		}
	}()
}

// reset starts a new incarnation of the worker, without runs, lease or fencing
// token. The caller must hold w.mu.
func (w *Worker) reset() {
	w.bootedAt = time.Now()
	w.Entry.Incarnation = w.bootedAt.UnixMilli()
	w.highestFence, w.lastSequence, w.ended = 0, 0, nil
	w.runs, w.highestRun, w.loads = make(map[string]*taskRun), make(map[string]int), make(map[string]int64)
	w.lapsed = make(map[int64]bool)
	w.leaseEnd, w.hung, w.downUntil = w.bootedAt, false, time.Time{}
}

// Restart ends all runs on the worker and starts a new incarnation with the same
// ID.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.left {
		return
	}
	w.endProcess()
	w.reset()
}

// SetPartitioned cuts off the worker from all calls or reconnects it. Its runs
// continue.
func (w *Worker) SetPartitioned(partitioned bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.partitioned = partitioned
}

// SetRefusing makes the worker refuse all calls, as if no process listened at its
// address, or ends that. Its runs continue.
func (w *Worker) SetRefusing(refusing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refusing = refusing
}

// SetFault sets the function that chooses the fault of each call ("start", "stop",
// "pace" or "hold"). nil ends all faults.
func (w *Worker) SetFault(fault func(call, task string) Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = fault
}

// SetLoad sets the load that the worker reports for a running task.
func (w *Worker) SetLoad(task string, load int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loads[task] = load
}

// PaceOf returns the pace of a task in percent, -1 if it does not run.
func (w *Worker) PaceOf(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.runs[task]; r != nil {
		return r.pace
	}
	return -1
}

// Running returns the running tasks, sorted.
func (w *Worker) Running() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDueRuns()
	var tasks []string
	for task := range w.runs {
		tasks = append(tasks, task)
	}
	slices.Sort(tasks)
	return tasks
}

// call executes a request and applies the injected faults to it.
func (w *Worker) call(ctx context.Context, name, task string, execute func() error) error {
	w.mu.Lock()
	partitioned, refuses, fault := w.partitioned, w.refusing || !w.downUntil.IsZero(), NoFault
	left := w.left
	if w.fault != nil {
		fault = w.fault(name, task)
	}
	w.mu.Unlock()
	if refuses && !partitioned {
		return errors.Wrap(httpcall.ErrConnRefused, "injected")
	}
	if partitioned || fault == DropRequest || fault == DelayRequest {
		if fault == DelayRequest {
			w.executeLate(execute)
		}
		<-ctx.Done()
		return errors.Wrap(httpcall.ErrNoReply, "injected")
	}
	if left {
		return errors.WithStack(&cell.RejectedError{Reason: cell.RejectedWorkerID})
	}
	w.mu.Lock()
	w.endDueRuns()
	err := execute()
	w.mu.Unlock()
	if fault == DelayReply {
		time.Sleep(ReplyDelay)
	}
	if fault == DropReply {
		<-ctx.Done()
		return errors.Wrap(httpcall.ErrNoReply, "injected")
	}
	return err
}

// CurrentIncarnation returns the incarnation of the worker's present process.
func (w *Worker) CurrentIncarnation() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Entry.Incarnation
}

// callReturningClock is like call and also returns the worker's clock.
func (w *Worker) callReturningClock(ctx context.Context, name, task string, execute func() error) (int64, error) {
	err := w.call(ctx, name, task, execute)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clockMS(), err
}

func (w *Worker) checkFence(fence int64) error {
	if fence < w.highestFence {
		return errors.WithStack(&cell.RejectedError{Reason: cell.RejectedFence, ClockMS: w.clockMS()})
	}
	w.highestFence = fence
	return nil
}

// Start implements the pool's client.
func (w *Worker) Start(ctx context.Context, s cell.StartRequest) (int64, error) {
	return w.callReturningClock(ctx, "start", s.Task, func() error { return w.start(s) })
}

func (w *Worker) start(s cell.StartRequest) error {
	if err := w.checkFence(s.Fence); err != nil {
		return err
	}
	reject := func(reason cell.RejectReason) error {
		return errors.WithStack(&cell.RejectedError{Reason: reason, ClockMS: w.clockMS()})
	}
	if r := w.runs[s.Task]; r != nil && r.start.Run == s.Run {
		w.extendLease(s.LeaseUntilMS)
		return nil
	}
	if s.Run <= w.highestRun[s.Task] {
		w.extendLease(s.LeaseUntilMS)
		return reject(cell.RejectedStaleRun)
	}
	if s.LeaseUntilMS < w.clockMS() {
		return reject(cell.RejectedExpired)
	}
	if w.Rejects != nil {
		if reason := w.Rejects(s.Task); reason != "" {
			if reason == cell.RejectedCapacity {
				w.extendLease(s.LeaseUntilMS)
			}
			return reject(reason)
		}
	}
	if w.RequireTickets && s.Ticket != TicketFor(s.Task, w.Entry.ID) {
		w.Recorder.addViolation("%s started on %s without a valid ticket", s.Task, w.Entry.ID)
		return reject(cell.RejectedTicket)
	}
	w.extendLease(s.LeaseUntilMS)
	demand := w.Demand(s.Task)
	for task := range w.runs {
		demand = demand.Add(w.Demand(task))
	}
	if !demand.Fits(w.Entry.Capacity) {
		w.Recorder.addViolation("%s exceeds the capacity of %s", s.Task, w.Entry.ID)
	}
	w.Recorder.recordStart(s.Task, w.Entry.ID, w.late)
	if w.Observer != nil {
		w.Observer.Started(w.Entry.ID, s, w.late)
	}
	r := &taskRun{start: s, startedAt: time.Now(), fails: w.Fails != nil && w.Fails(s.Task, s.Run), crashes: w.Crashes != nil && w.Crashes(s.Task), pace: 100}
	work := w.Duration(s.Task)
	if s.Checkpoint != "" {
		done, _, err := DecodeCheckpoint(s.Checkpoint)
		if err != nil {
			w.Recorder.addViolation("%s started with a checkpoint that nobody wrote: %v", s.Task, err)
		}
		r.resumedFrom = min(done, work)
	}
	r.endsAt = r.startedAt.Add(work - r.resumedFrom)
	w.runs[s.Task] = r
	if w.Gangs.member(s.Task) {
		w.Gangs.join(s.Task, s.Run, work-r.resumedFrom)
	}
	return nil
}

// Stop implements the pool's client.
func (w *Worker) Stop(ctx context.Context, task string, run int, fence int64) (int64, error) {
	return w.callReturningClock(ctx, "stop", task, func() error {
		if err := w.checkFence(fence); err != nil {
			return err
		}
		if r := w.runs[task]; r != nil && r.start.Run == run {
			w.end(task, cell.EndStopped)
		}
		w.highestRun[task] = max(w.highestRun[task], run)
		return nil
	})
}

// Pace implements the pool's client.
func (w *Worker) Pace(ctx context.Context, task string, run, percent int, fence int64) (int64, error) {
	return w.callReturningClock(ctx, "pace", task, func() error {
		if err := w.checkFence(fence); err != nil {
			return err
		}
		if r := w.runs[task]; r != nil && r.start.Run == run {
			r.pace = percent
		}
		return nil
	})
}

// Hold implements the pool's client for a caller that opens a connection for each call.
func (w *Worker) Hold(ctx context.Context, h cell.HoldRequest) (*cell.HoldReply, error) {
	return w.hold(ctx, h, w.CurrentIncarnation())
}

func (w *Worker) acknowledge(cursor int64) {
	w.ended = slices.DeleteFunc(w.ended, func(e cell.EndedTask) bool {
		if e.Sequence > cursor {
			return false
		}
		if e.Kind == cell.EndDone && !w.lapsed[e.Sequence] {
			w.Recorder.recordAcknowledged(e.Task)
		}
		if w.Observer != nil {
			w.Observer.Acknowledged(w.Entry.ID, e)
		}
		return true
	})
}

func (w *Worker) holdReply() *cell.HoldReply {
	reply := &cell.HoldReply{ClockMS: w.clockMS(), Incarnation: w.Entry.Incarnation, Ended: slices.Clone(w.ended)}
	for task, r := range w.runs {
		running := cell.RunningTask{Task: task, Run: r.start.Run, Percent: w.progressPercent(r), Load: w.loads[task]}
		if w.checkpointable(task) {
			running.Checkpoint = w.checkpoint(r)
		}
		reply.Running = append(reply.Running, running)
	}
	return reply
}

// Close implements the pool's client.
func (w *Worker) Close() {}
