package standin

import (
	"fmt"
	"sync"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/worker"
)

const (
	// endedKept is the time for which a worker knows the tasks that ended or
	// were fenced, as long as entry hosts keep records of requests.
	endedKept = 15 * time.Minute
	// answerKept is the time for which a worker keeps answers, the least that
	// worker.Task allows.
	answerKept = 60 * time.Second
)

// WorkerOptions sets how a Worker behaves.
type WorkerOptions struct {
	// LeaseOnly makes Start accept any epoch. Task leases are still honoured,
	// and Renew still rejects a stale epoch: otherwise a former holder would
	// take its worker lease as extended and issue later task leases.
	LeaseOnly bool
	// UsageLag is the age of the measurements that the worker reports.
	UsageLag time.Duration
}

// Worker is an in-memory worker. It never rejects a start for lack of
// capacity; Check finds such starts in its journal. Its methods may be called
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
	// finished lists the tasks that ended or were fenced, in that order. The
	// first expired ones have no answer any more.
	finished []*task
	expired  int
	faults   faults
	// disconnect closes the connections of a served worker.
	disconnect func()
}

var _ worker.Worker = (*Worker)(nil)

// lease is the worker lease.
type lease struct {
	epoch    uint64
	holder   string
	end      time.Time
	released bool
	// successor may take a released lease before its end.
	successor string
}

// current reports whether epoch is that of a lease that was granted by this
// incarnation and not released. The end of the lease doesn't matter: until it
// is granted anew, nobody else acts.
func (l *lease) current(epoch uint64) bool {
	return l.holder != "" && !l.released && epoch == l.epoch
}

// task is a task that runs, has ended or is fenced.
type task struct {
	worker.Task
	epoch    uint64
	holder   string
	work     TaskBody
	use      worker.Resources
	answer   *worker.Answer
	began    time.Time
	ended    time.Time
	leaseEnd time.Time
	// done is closed when the task no longer runs.
	done chan struct{}
	// runTimer fires at the end of the work, endTimer at that of the lease.
	// Both are nil for work of no length.
	runTimer *time.Timer
	endTimer *time.Timer
}

// NewWorker returns a worker without faults that has just started. An empty
// incarnation is replaced.
func NewWorker(info worker.Info, opts WorkerOptions) *Worker {
	w := &Worker{
		opts:    opts,
		info:    info,
		journal: newJournal(info),
	}
	w.boot(time.Now())
	return w
}

// boot sets the state of a worker that has just started. Its epochs begin at
// the time in milliseconds, but never fall, also if it restarts twice within a
// millisecond.
func (w *Worker) boot(now time.Time) {
	w.lease = lease{epoch: max(w.lease.epoch, uint64(now.UnixMilli()))}
	w.holders = make(map[uint64]string)
	w.tasks = make(map[worker.TaskID]*task)
	w.running = make(map[worker.TaskID]*task)
	w.finished, w.expired = nil, 0
	if w.info.Incarnation == "" || w.restarts > 0 {
		w.info.Incarnation = fmt.Sprintf("%s-%d-%d", w.info.Name, now.UnixMilli(), w.restarts)
	}
}

// Info returns the worker's description with its present incarnation.
func (w *Worker) Info() worker.Info {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.info
}

// Lease returns the holder of a valid worker lease, or an empty name, and the
// epoch of the last grant.
func (w *Worker) Lease() (holder string, epoch uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lease.released || !time.Now().Before(w.lease.end) {
		return "", w.lease.epoch
	}
	return w.lease.holder, w.lease.epoch
}

// Journal returns the record of what ran here.
func (w *Worker) Journal() *Journal { return w.journal }

// Restart ends all tasks without a trace, forgets the worker lease and the
// fenced tasks, and starts a new incarnation. Calls in progress get no reply,
// and a pause ends.
func (w *Worker) Restart() {
	w.mu.Lock()
	now := time.Now()
	for _, t := range w.running {
		w.finish(t, now, worker.TaskUnknown)
	}
	w.restarts++
	w.boot(now)
	w.faults.restart()
	disconnect := w.disconnect
	w.mu.Unlock()
	if disconnect != nil {
		disconnect()
	}
}

// begin starts a task. The caller holds w.mu.
func (w *Worker) begin(req worker.StartRequest, now time.Time) *task {
	t := &task{
		Task: worker.Task{
			ID: req.Task, State: worker.TaskRunning,
			Team: req.Team, Service: req.Service, Resources: req.Resources,
		},
		epoch: req.Epoch, holder: w.holders[req.Epoch],
		work: parseWork(req.Body), use: req.Resources,
		began: now, done: make(chan struct{}),
	}
	if t.work.ActualUsage != nil {
		t.use = *t.work.ActualUsage
	}
	w.tasks[t.ID], w.running[t.ID] = t, t
	w.record(EventBegin, t, now)
	run := t.work.duration()
	failed := t.work.Fail || w.faults.fail != FailNone
	if w.faults.fail == FailImmediately {
		run = 0
	}
	request, _, _ := SplitTaskID(t.ID)
	body := []byte(FailureText(request))
	if !failed {
		body = ExpectedAnswer(request, req.Body)
	}
	t.answer = newAnswer(t.ID, failed, body)
	if run <= 0 {
		w.finish(t, now, worker.TaskEnded)
		return t
	}
	t.runTimer = time.AfterFunc(run, func() { w.expire(t, worker.TaskEnded) })
	w.setLease(t, req.LeaseEnd, now)
	return t
}

// setLease sets the end of the lease of a running task.
func (w *Worker) setLease(t *task, end, now time.Time) {
	t.leaseEnd = end
	if t.endTimer != nil {
		t.endTimer.Stop()
	}
	t.endTimer = time.AfterFunc(end.Sub(now), func() { w.expire(t, worker.TaskStopped) })
}

// expire is called by the timers of a task. A lease may have been extended
// while its timer fired, or the wall clock may have been set back; then the
// timer is set again.
func (w *Worker) expire(t *task, state worker.TaskState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	switch {
	case t.State != worker.TaskRunning:
	case state == worker.TaskStopped && now.Before(t.leaseEnd):
		w.setLease(t, t.leaseEnd, now)
	default:
		w.finish(t, now, state)
	}
}

// finish ends a running task. The caller holds w.mu.
func (w *Worker) finish(t *task, now time.Time, state worker.TaskState) {
	t.State = state
	t.ended = now
	if state != worker.TaskEnded {
		t.answer = nil
	}
	if t.runTimer != nil {
		t.runTimer.Stop()
		t.endTimer.Stop()
	}
	delete(w.running, t.ID)
	w.finished = append(w.finished, t)
	w.record(EventEnd, t, now)
	close(t.done)
}

// fence makes sure that the task of that ID never begins here.
func (w *Worker) fence(id worker.TaskID, now time.Time) *task {
	t := &task{Task: worker.Task{ID: id, State: worker.TaskFenced}, began: now, ended: now}
	w.tasks[id] = t
	w.finished = append(w.finished, t)
	return t
}

// prune forgets old answers and old tasks.
func (w *Worker) prune(now time.Time) {
	for w.expired < len(w.finished) && now.Sub(w.finished[w.expired].ended) > answerKept {
		w.finished[w.expired].answer = nil
		w.expired++
	}
	n := 0
	for n < len(w.finished) && now.Sub(w.finished[n].ended) > endedKept {
		delete(w.tasks, w.finished[n].ID)
		n++
	}
	clear(w.finished[:n])
	w.finished = w.finished[n:]
	w.expired -= n
}

// describe returns the task as the worker tells about it at that time.
func (w *Worker) describe(t *task, now time.Time) worker.Task {
	d := t.Task
	if t.State == worker.TaskRunning {
		d.LeaseRemaining = t.leaseEnd.Sub(now)
	}
	if t.answer != nil && t.State == worker.TaskEnded {
		d.Answer = w.reply(t)
	}
	return d
}

// usage returns the measurement that is known at that time.
func (w *Worker) usage(now time.Time) worker.Usage {
	at := now.Add(-w.opts.UsageLag)
	usage := worker.Usage{MeasuredAt: at.Round(0), Tasks: make(map[worker.TaskID]worker.Resources)}
	for id, t := range w.running {
		if !t.began.After(at) {
			usage.Tasks[id] = t.use
		}
	}
	for i := len(w.finished) - 1; i >= 0 && w.finished[i].ended.After(at); i-- {
		if t := w.finished[i]; t.State != worker.TaskFenced && !t.began.After(at) {
			usage.Tasks[t.ID] = t.use
		}
	}
	return usage
}

func (w *Worker) record(kind EventKind, t *task, now time.Time) {
	e := Event{
		Kind: kind, Time: now, Epoch: t.epoch, Holder: t.holder,
		Task: t.ID, Resources: t.Resources, ActualUsage: t.use,
	}
	if kind == EventEnd {
		e.State = t.State
	}
	w.journal.add(e)
}
