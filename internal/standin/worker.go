package standin

import (
	"fmt"
	"sync"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/worker"
)

const (
	// endedTaskRetention is how long a worker remembers tasks that ended or were
	// fenced. It equals the time for which entry hosts keep request records.
	endedTaskRetention = 15 * time.Minute
	// answerRetention is how long a worker keeps answers. It is the minimum that
	// worker.Task allows.
	answerRetention = 60 * time.Second
)

// WorkerOptions configures a Worker.
type WorkerOptions struct {
	// LeaseOnly makes Start accept any epoch. Task leases are still enforced,
	// and Renew still rejects a stale epoch: otherwise a former holder would
	// believe that its worker lease was extended and issue later task leases.
	LeaseOnly bool
	// UsageLag is the age of the measurements that the worker reports.
	UsageLag time.Duration
}

// Worker is an in-memory worker. It never rejects a start for lack of capacity;
// CheckJournals finds such starts in its journal. Its methods may be called
// concurrently.
type Worker struct {
	opts    WorkerOptions
	journal *Journal

	mu       sync.Mutex
	info     worker.Info
	restarts int
	lease    lease
	// holders maps each epoch of this incarnation to its holder.
	holders map[uint64]string
	tasks   map[worker.TaskID]*task
	running map[worker.TaskID]*task
	// finished lists the tasks that ended or were fenced, in the order in which
	// they did. The answers of the first expiredAnswers tasks have been dropped.
	finished       []*task
	expiredAnswers int
	faults         faults
	// disconnect cuts off the connections of a worker served over HTTP; else nil.
	disconnect func(now time.Time)
}

var _ worker.Worker = (*Worker)(nil)

// lease is the worker lease.
type lease struct {
	epoch    uint64
	holder   string
	end      time.Time
	released bool
	// successor, if set, is the only new holder that may take a released lease
	// before its end.
	successor string
}

// current reports whether epoch is that of the latest lease granted by this
// incarnation, not released since. It ignores the end of the lease: until the
// next grant no other holder can act.
func (l *lease) current(epoch uint64) bool {
	return l.holder != "" && !l.released && epoch == l.epoch
}

// task is a running, ended or fenced task.
type task struct {
	worker.Task
	epoch       uint64
	holder      string
	body        TaskBody
	actualUsage worker.Resources
	answer      *worker.Answer
	began       time.Time
	ended       time.Time
	leaseEnd    time.Time
	// done is closed when the task ends.
	done chan struct{}
	// runTimer fires at the end of the run time, leaseTimer at the end of the
	// task lease. Both are nil for a run time of 0.
	runTimer   *time.Timer
	leaseTimer *time.Timer
}

// NewWorker returns a newly started worker without faults. It generates an
// incarnation if info has none.
func NewWorker(info worker.Info, opts WorkerOptions) *Worker {
	w := &Worker{
		opts:    opts,
		info:    info,
		journal: newJournal(info),
	}
	w.resetState(time.Now())
	return w
}

// resetState sets the state of a newly started worker. The epochs start at the
// current time in milliseconds but never decrease, even if the worker restarts
// twice within a millisecond.
func (w *Worker) resetState(now time.Time) {
	w.lease = lease{epoch: max(w.lease.epoch, uint64(now.UnixMilli()))}
	w.holders = make(map[uint64]string)
	w.tasks = make(map[worker.TaskID]*task)
	w.running = make(map[worker.TaskID]*task)
	w.finished, w.expiredAnswers = nil, 0
	if w.info.Incarnation == "" || w.restarts > 0 {
		w.info.Incarnation = fmt.Sprintf("%s-%d-%d", w.info.Name, now.UnixMilli(), w.restarts)
	}
}

// Info returns the worker's description with its current incarnation.
func (w *Worker) Info() worker.Info {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.info
}

// Lease returns the holder of the worker lease, or "" if no lease is valid, and
// the epoch of the last grant.
func (w *Worker) Lease() (holder string, epoch uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lease.released || !time.Now().Before(w.lease.end) {
		return "", w.lease.epoch
	}
	return w.lease.holder, w.lease.epoch
}

// Journal returns the journal of this worker.
func (w *Worker) Journal() *Journal { return w.journal }

// Restart simulates a crash and restart: the worker loses all tasks, the worker
// lease and the fenced tasks, and starts a new incarnation. Calls in progress
// get no reply, and a pause ends.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.disconnect != nil {
		// This comes first, so that no call in progress ends before it is cut off.
		w.disconnect(now)
	}
	for _, t := range w.running {
		w.finishTask(t, now, worker.TaskUnknown)
	}
	w.restarts++
	w.resetState(now)
	w.faults.endPause()
}

// startTask starts a task. The caller holds w.mu.
func (w *Worker) startTask(req worker.StartRequest, now time.Time) *task {
	t := &task{
		Task: worker.Task{
			ID: req.Task, State: worker.TaskRunning,
			Team: req.Team, Service: req.Service, Resources: req.Resources,
		},
		epoch: req.Epoch, holder: w.holders[req.Epoch],
		body: parseTaskBody(req.Body), actualUsage: req.Resources,
		began: now, done: make(chan struct{}),
	}
	if t.body.ActualUsage != nil {
		t.actualUsage = *t.body.ActualUsage
	}
	w.tasks[t.ID], w.running[t.ID] = t, t
	w.recordEvent(EventStart, t, now)
	run := t.body.duration()
	failed := t.body.Fail || w.faults.failMode != FailNone
	if w.faults.failMode == FailImmediately {
		run = 0
	}
	request, _, _ := SplitTaskID(t.ID)
	body := []byte(FailureText(request))
	if !failed {
		body = ExpectedAnswer(request, req.Body)
	}
	t.answer = newAnswer(t.ID, failed, body)
	if run <= 0 {
		w.finishTask(t, now, worker.TaskEnded)
		return t
	}
	t.runTimer = time.AfterFunc(run, func() { w.onTimer(t, worker.TaskEnded) })
	w.setLease(t, req.LeaseEnd, now)
	return t
}

// setLease sets the end of the lease of a running task.
func (w *Worker) setLease(t *task, end, now time.Time) {
	t.leaseEnd = end
	if t.leaseTimer != nil {
		t.leaseTimer.Stop()
	}
	t.leaseTimer = time.AfterFunc(end.Sub(now), func() { w.onTimer(t, worker.TaskStopped) })
}

// onTimer ends a task when its run time or its lease is over. If the lease was
// extended while its timer fired, or the wall clock was set back, it sets the
// lease timer again.
func (w *Worker) onTimer(t *task, state worker.TaskState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	switch {
	case t.State != worker.TaskRunning:
	case state == worker.TaskStopped && now.Before(t.leaseEnd):
		w.setLease(t, t.leaseEnd, now)
	default:
		w.finishTask(t, now, state)
	}
}

// finishTask ends a running task. The caller holds w.mu.
func (w *Worker) finishTask(t *task, now time.Time, state worker.TaskState) {
	t.State = state
	t.ended = now
	if state != worker.TaskEnded {
		t.answer = nil
	}
	if t.runTimer != nil {
		t.runTimer.Stop()
		t.leaseTimer.Stop()
	}
	delete(w.running, t.ID)
	w.finished = append(w.finished, t)
	w.recordEvent(EventEnd, t, now)
	close(t.done)
}

// fence ensures that the task with that ID never starts on this worker.
func (w *Worker) fence(id worker.TaskID, now time.Time) *task {
	t := &task{Task: worker.Task{ID: id, State: worker.TaskFenced}, began: now, ended: now}
	w.tasks[id] = t
	w.finished = append(w.finished, t)
	return t
}

// prune drops the answers and the finished tasks that are past their retention.
func (w *Worker) prune(now time.Time) {
	for w.expiredAnswers < len(w.finished) && now.Sub(w.finished[w.expiredAnswers].ended) > answerRetention {
		w.finished[w.expiredAnswers].answer = nil
		w.expiredAnswers++
	}
	n := 0
	for n < len(w.finished) && now.Sub(w.finished[n].ended) > endedTaskRetention {
		delete(w.tasks, w.finished[n].ID)
		n++
	}
	clear(w.finished[:n])
	w.finished = w.finished[n:]
	w.expiredAnswers -= n
}

// reportedTask returns the task as the worker reports it at that time.
func (w *Worker) reportedTask(t *task, now time.Time) worker.Task {
	d := t.Task
	if t.State == worker.TaskRunning {
		d.LeaseRemaining = t.leaseEnd.Sub(now)
	}
	if t.answer != nil && t.State == worker.TaskEnded {
		d.Answer = w.outgoingAnswer(t)
	}
	return d
}

// measuredUsage returns the usage that the worker reports at that time, which
// is UsageLag old.
func (w *Worker) measuredUsage(now time.Time) worker.Usage {
	at := now.Add(-w.opts.UsageLag)
	usage := worker.Usage{MeasuredAt: at.Round(0), Tasks: make(map[worker.TaskID]worker.Resources)}
	for id, t := range w.running {
		if !t.began.After(at) {
			usage.Tasks[id] = t.actualUsage
		}
	}
	for i := len(w.finished) - 1; i >= 0 && w.finished[i].ended.After(at); i-- {
		if t := w.finished[i]; t.State != worker.TaskFenced && !t.began.After(at) {
			usage.Tasks[t.ID] = t.actualUsage
		}
	}
	return usage
}

func (w *Worker) recordEvent(kind EventKind, t *task, now time.Time) {
	e := Event{
		Kind: kind, Time: now, Epoch: t.epoch, Holder: t.holder,
		Task: t.ID, Resources: t.Resources, ActualUsage: t.actualUsage,
	}
	if kind == EventEnd {
		e.State = t.State
	}
	w.journal.add(e)
}
