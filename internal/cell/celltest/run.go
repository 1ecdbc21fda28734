package celltest

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/cell"
)

// Observer is told what happens on a worker. Its methods must not call the worker.
type Observer interface {
	// Started reports a run that has begun. late is set if its request was delayed.
	Started(worker string, s cell.StartRequest, late bool)
	// Ended reports a run that has ended.
	Ended(worker string, e cell.EndedTask)
	// Acknowledged reports that the scheduler has acknowledged the end of a run.
	Acknowledged(worker string, e cell.EndedTask)
	// Forgotten reports the end of a run that the worker has lost before the
	// scheduler acknowledged it.
	Forgotten(worker string, e cell.EndedTask)
	// Crashed reports that the worker's process has ended, and with it the runs of
	// the tasks.
	Crashed(worker string, tasks []string)
}

// Downtime is how long a worker is down after a crash, and crashDelay how long after
// its start a task crashes its worker.
const (
	Downtime   = 3 * time.Second
	crashDelay = 10 * time.Millisecond
)

type taskRun struct {
	start     cell.StartRequest
	startedAt time.Time
	endsAt    time.Time
	// resumedFrom is the work that was done before this run.
	resumedFrom time.Duration
	fails       bool
	crashes     bool
	pace        int
}

// endDueRuns ends the runs whose time is over, and all runs if the lease has
// expired.
func (w *Worker) endDueRuns() {
	now := time.Now()
	if !w.downUntil.IsZero() {
		if now.After(w.downUntil) {
			w.reset()
			if w.Recovered != nil {
				go w.Recovered()
			}
		}
		return
	}
	for _, r := range w.runs {
		if r.crashes && now.Sub(r.startedAt) > crashDelay {
			w.endProcess()
			w.reset()
			w.downUntil = now.Add(Downtime)
			return
		}
	}
	if now.After(w.leaseEnd) {
		w.forgetEnded()
	}
	for task, r := range w.runs {
		switch {
		case now.After(w.leaseEnd):
			w.end(task, cell.EndLeaseExpired)
		case w.Gangs.member(task):
			w.endGangMember(task, r)
		case w.hung:
		case now.After(r.endsAt) && r.fails:
			w.end(task, cell.EndFailed)
		case now.After(r.endsAt):
			w.end(task, cell.EndDone)
		}
	}
}

// endProcess ends all runs with the worker's process.
func (w *Worker) endProcess() {
	var tasks []string
	for task, r := range w.runs {
		tasks = append(tasks, task)
		w.Recorder.recordEnd(task, w.Entry.ID, cell.EndStopped)
		if w.Gangs.member(task) {
			w.Gangs.breakUp(task, r.start.Run)
		}
	}
	w.forgetEnded()
	if w.Observer != nil {
		w.Observer.Crashed(w.Entry.ID, tasks)
	}
}

// endGangMember ends the run of a gang member if its gang has ended or broken up.
func (w *Worker) endGangMember(task string, r *taskRun) {
	done, broken, alone := w.Gangs.status(task, r.start.Run, r.startedAt)
	switch {
	case broken:
		w.end(task, cell.EndGangBroken)
	case alone:
		w.end(task, cell.EndGangIncomplete)
	case done && r.fails:
		w.end(task, cell.EndFailed)
	case done:
		w.end(task, cell.EndDone)
	}
}

// forgetEnded drops the ends that were not acknowledged before the lease expired
// or the worker restarted. A completion among them does not count: the task may
// start again on another worker.
func (w *Worker) forgetEnded() {
	for _, e := range w.ended {
		w.lapsed[e.Sequence] = true
		w.Recorder.forgetCompletion(e.Task)
		if w.Observer != nil {
			w.Observer.Forgotten(w.Entry.ID, e)
		}
	}
}

func (w *Worker) end(task string, kind cell.EndKind) {
	r := w.runs[task]
	delete(w.runs, task)
	w.highestRun[task] = max(w.highestRun[task], r.start.Run)
	w.lastSequence++
	ended := cell.EndedTask{Sequence: w.lastSequence, Task: task, Run: r.start.Run, Kind: kind}
	if w.checkpointable(task) && kind != cell.EndDone {
		ended.Checkpoint = w.checkpoint(r)
	}
	w.ended = append(w.ended, ended)
	w.Recorder.recordEnd(task, w.Entry.ID, kind)
	if w.Gangs.member(task) && kind != cell.EndDone {
		w.Gangs.breakUp(task, r.start.Run)
	}
	if w.Observer != nil {
		w.Observer.Ended(w.Entry.ID, ended)
	}
}

func (w *Worker) checkpointable(task string) bool {
	return w.Checkpointable != nil && w.Checkpointable(task)
}

// checkpoint returns the checkpoint that a run has written: its work so far, and
// the step that it belongs to.
func (w *Worker) checkpoint(r *taskRun) string {
	work := r.resumedFrom + min(time.Since(r.startedAt), r.endsAt.Sub(r.startedAt))
	return strings.Repeat("0", w.CheckpointPadding) + EncodeCheckpoint(work, r.start.Task)
}

// EncodeCheckpoint returns the checkpoint of a task after the given work.
// Checkpoints with more work are greater.
func EncodeCheckpoint(work time.Duration, task string) string {
	return fmt.Sprintf("%09d-%s", work.Milliseconds(), task)
}

// DecodeCheckpoint returns the work and the task of a checkpoint.
func DecodeCheckpoint(checkpoint string) (work time.Duration, task string, err error) {
	digits, task, ok := strings.Cut(checkpoint, "-")
	ms, err := strconv.ParseInt(digits, 10, 64)
	if !ok || err != nil {
		return 0, "", errors.Errorf("malformed checkpoint %q", checkpoint)
	}
	return time.Duration(ms) * time.Millisecond, task, nil
}

// TicketFor returns the ticket that permits the step of a task to run on a worker.
// The ID of the step is the part of the task ID before the last dot; without a dot
// the ticket is empty.
func TicketFor(task, workerID string) string {
	for n := len(task) - 1; n >= 0; n-- {
		if task[n] == '.' {
			return "ticket-" + task[:n] + "-" + workerID
		}
	}
	return ""
}

// progressPercent returns the progress of a run. On a hung worker it is 0.
func (w *Worker) progressPercent(r *taskRun) int {
	if w.hung {
		return 0
	}
	return int(100 * time.Since(r.startedAt) / max(r.endsAt.Sub(r.startedAt), 1))
}

// HangTasks makes all runs on the worker stop making progress, until it restarts.
func (w *Worker) HangTasks() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hung = true
}
