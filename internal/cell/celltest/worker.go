// Package celltest has a worker in memory that keeps the platform's promises
// and can break connections, and a record of what must not happen.
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

// pollInterval is how often a worker looks whether a task is over.
const pollInterval = 5 * time.Millisecond

// Fault is how a worker treats an order.
type Fault int

const (
	// NoFault: the order is carried out and answered.
	NoFault Fault = iota
	// DropRequest: the order is not carried out and not answered.
	DropRequest
	// DropReply: the order is carried out and not answered.
	DropReply
	// DelayRequest: the order is not answered and carried out RequestDelay later.
	DelayRequest
	// DelayReply: the order is carried out and answered ReplyDelay later.
	DelayReply
)

// ReplyDelay is how much later a slow answer comes; it is below all time-outs.
const ReplyDelay = 100 * time.Millisecond

// RequestDelay is how much later a late order is carried out.
const RequestDelay = 3 * time.Second

type running struct {
	start  cell.StartRequest
	begins time.Time
	ends   time.Time
	fails  bool
	pace   int
}

// Worker is a worker in memory.
type Worker struct {
	Entry    cell.WorkerEntry
	Recorder *RunRecorder
	// Demand returns what a task takes, and Duration how long it runs.
	Demand   func(task string) worker.Resources
	Duration func(task string) time.Duration
	// Fails tells whether a run fails at its end.
	Fails func(task string, run int) bool
	// MaxLease bounds the lease.
	MaxLease time.Duration
	// Tickets, if set, must be carried by starts.
	RequireTickets bool

	mu      sync.Mutex
	born    time.Time
	fence   int64
	lease   time.Time
	runs    map[string]*running
	highest map[string]int
	ended   []cell.EndedTask
	number  int64
	cut     bool
	hung    bool
	fault   func(call, task string) Fault
	load    map[string]int64
}

// Boot starts the worker's life. It ends what is over until ctx ends.
func (w *Worker) Boot(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reset()
	go func() {
		for ctx.Err() == nil {
			w.mu.Lock()
			w.advance()
			w.mu.Unlock()
			time.Sleep(pollInterval)
		}
	}()
}

func (w *Worker) reset() {
	w.born = time.Now()
	w.Entry.Incarnation = w.born.UnixMilli()
	w.fence, w.number, w.ended = 0, 0, nil
	w.runs, w.highest, w.load = make(map[string]*running), make(map[string]int), make(map[string]int64)
	w.lease = w.born
}

// Restart ends everything on the worker and starts it anew under its ID.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task := range w.runs {
		w.Recorder.end(task, cell.EndStopped)
	}
	w.reset()
}

// SetPartitioned lets no call through, or lets calls through again. What runs goes on.
func (w *Worker) SetPartitioned(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
}

// SetFault sets how orders ("start", "stop") are treated; nil ends all faults.
func (w *Worker) SetFault(fault func(call, task string) Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = fault
}

// SetLoad sets the load that the worker reports for a task.
func (w *Worker) SetLoad(task string, load int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.load[task] = load
}

// PaceOf returns the pace of a task, -1 if it does not run.
func (w *Worker) PaceOf(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.runs[task]; r != nil {
		return r.pace
	}
	return -1
}

// Running returns the tasks that run.
func (w *Worker) Running() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	var tasks []string
	for task := range w.runs {
		tasks = append(tasks, task)
	}
	slices.Sort(tasks)
	return tasks
}

func (w *Worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// advance ends what is over.
func (w *Worker) advance() {
	now := time.Now()
	if now.After(w.lease) {
		// An end that was not taken note of before the lease ran out does not
		// count: the task may start again elsewhere.
		for _, e := range w.ended {
			w.Recorder.forget(e.Task)
		}
	}
	for task, r := range w.runs {
		switch {
		case now.After(w.lease):
			w.end(task, cell.EndLeaseExpired)
		case w.hung:
		case now.After(r.ends) && r.fails:
			w.end(task, cell.EndFailed)
		case now.After(r.ends):
			w.end(task, cell.EndDone)
		}
	}
}

func (w *Worker) end(task string, kind cell.EndKind) {
	r := w.runs[task]
	delete(w.runs, task)
	w.highest[task] = max(w.highest[task], r.start.Run)
	w.number++
	w.ended = append(w.ended, cell.EndedTask{Sequence: w.number, Task: task, Run: r.start.Run, Kind: kind})
	w.Recorder.end(task, kind)
}

// call applies the faults to an order and carries it out.
func (w *Worker) call(ctx context.Context, name, task string, do func() error) error {
	w.mu.Lock()
	cut, fault := w.cut, NoFault
	if w.fault != nil {
		fault = w.fault(name, task)
	}
	w.mu.Unlock()
	if cut || fault == DropRequest || fault == DelayRequest {
		if fault == DelayRequest {
			time.AfterFunc(RequestDelay, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.advance()
				_ = do() // nobody waits for the answer
			})
		}
		<-ctx.Done()
		return errors.Wrap(httpcall.ErrNoReply, "injected")
	}
	w.mu.Lock()
	w.advance()
	err := do()
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

// order is like call and returns the worker's clock.
func (w *Worker) order(ctx context.Context, name, task string, do func() error) (int64, error) {
	err := w.call(ctx, name, task, do)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clock(), err
}

func (w *Worker) fenced(fence int64) error {
	if fence < w.fence {
		return errors.WithStack(&cell.RejectedError{Reason: cell.RejectedFence, ClockMS: w.clock()})
	}
	w.fence = fence
	return nil
}

func (w *Worker) extend(untilMS int64) {
	until := w.born.Add(time.Duration(untilMS) * time.Millisecond)
	if limit := time.Now().Add(w.MaxLease); until.After(limit) {
		until = limit
	}
	if until.After(w.lease) {
		w.lease = until
	}
}

// Start implements the pool's client.
func (w *Worker) Start(ctx context.Context, s cell.StartRequest) (int64, error) {
	return w.order(ctx, "start", s.Task, func() error { return w.start(s) })
}

func (w *Worker) start(s cell.StartRequest) error {
	if err := w.fenced(s.Fence); err != nil {
		return err
	}
	reject := func(reason cell.RejectReason) error {
		return errors.WithStack(&cell.RejectedError{Reason: reason, ClockMS: w.clock()})
	}
	if r := w.runs[s.Task]; r != nil && r.start.Run == s.Run {
		return nil
	}
	if s.Run <= w.highest[s.Task] {
		return reject(cell.RejectedStaleRun)
	}
	if s.LeaseUntilMS < w.clock() {
		return reject(cell.RejectedExpired)
	}
	if w.RequireTickets && s.Ticket != TicketFor(s.Task, w.Entry.ID) {
		w.Recorder.violate("%s started on %s without a ticket", s.Task, w.Entry.ID)
		return reject(cell.RejectedTicket)
	}
	w.extend(s.LeaseUntilMS)
	used := w.Demand(s.Task)
	for task := range w.runs {
		used = used.Add(w.Demand(task))
	}
	if !used.Fits(w.Entry.Capacity) {
		w.Recorder.violate("%s brings %s over its capacity", s.Task, w.Entry.ID)
	}
	w.Recorder.start(s.Task, w.Entry.ID)
	w.runs[s.Task] = &running{start: s, begins: time.Now(), ends: time.Now().Add(w.Duration(s.Task)), fails: w.Fails != nil && w.Fails(s.Task, s.Run), pace: 100}
	return nil
}

// Stop implements the pool's client.
func (w *Worker) Stop(ctx context.Context, task string, run int, fence int64) (int64, error) {
	return w.order(ctx, "stop", task, func() error {
		if err := w.fenced(fence); err != nil {
			return err
		}
		if r := w.runs[task]; r != nil && r.start.Run == run {
			w.end(task, cell.EndStopped)
		}
		w.highest[task] = max(w.highest[task], run)
		return nil
	})
}

// Pace implements the pool's client.
func (w *Worker) Pace(ctx context.Context, task string, run, percent int, fence int64) (int64, error) {
	return w.order(ctx, "pace", task, func() error {
		if err := w.fenced(fence); err != nil {
			return err
		}
		if r := w.runs[task]; r != nil && r.start.Run == run {
			r.pace = percent
		}
		return nil
	})
}

// Hold implements the pool's client.
func (w *Worker) Hold(ctx context.Context, h cell.HoldRequest) (*cell.HoldReply, error) {
	var holding *cell.HoldReply
	deadline := time.Now().Add(h.Wait)
	for {
		err := w.call(ctx, "hold", "", func() error {
			if err := w.fenced(h.Fence); err != nil {
				return err
			}
			w.ended = slices.DeleteFunc(w.ended, func(e cell.EndedTask) bool { return e.Sequence <= h.AckCursor })
			if h.LeaseUntilMS > 0 {
				w.extend(h.LeaseUntilMS)
			}
			holding = w.list()
			return nil
		})
		if err != nil || len(holding.Ended) > 0 || !time.Now().Before(deadline) {
			return holding, err
		}
		select {
		case <-ctx.Done():
			return nil, errors.Wrap(httpcall.ErrNoReply, ctx.Err().Error())
		case <-time.After(pollInterval):
		}
	}
}

func (w *Worker) list() *cell.HoldReply {
	h := &cell.HoldReply{ClockMS: w.clock(), Incarnation: w.Entry.Incarnation, Ended: slices.Clone(w.ended)}
	for task, r := range w.runs {
		h.Running = append(h.Running, cell.RunningTask{Task: task, Run: r.start.Run, Percent: w.percent(r), Load: w.load[task]})
	}
	return h
}

// percent returns how far a run is; a hung worker's runs stand still.
func (w *Worker) percent(r *running) int {
	if w.hung {
		return 0
	}
	return int(100 * time.Since(r.begins) / max(r.ends.Sub(r.begins), 1))
}

// HangTasks makes all tasks on the worker stand still for good.
func (w *Worker) HangTasks() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hung = true
}

// Close implements the pool's client.
func (w *Worker) Close() {}

// TicketFor returns the ticket with which a task's step may run on a worker.
func TicketFor(task, workerID string) string {
	for n := len(task) - 1; n >= 0; n-- {
		if task[n] == '.' {
			return "ticket-" + task[:n] + "-" + workerID
		}
	}
	return ""
}
