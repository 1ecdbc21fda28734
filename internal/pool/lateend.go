package pool

import (
	"slices"

	"github.com/laburnumpass/laburnumpass/internal/cell"
)

// applyLateEnd processes the end of a run that is not current any more, because it was
// released while its worker did not reply or had not begun it yet. Its worker may have
// listed it as running since. The end will be acknowledged. If the run was successful the
// task is done, and no run of the task may start after that. If it failed, it was one of
// the task's attempts.
func (p *Pool) applyLateEnd(n *node, end cell.EndedTask) {
	p.log.V(1).Info("end of a run that is not current", "worker", n.entry.ID, "task", end.Task, "run", end.Run, "how", string(end.Kind))
	t, err := p.findTask(end.Task)
	if err != nil || t == nil || t.done || t.step.spec.LongRunning || !t.step.job.active() {
		return
	}
	switch end.Kind {
	case cell.EndDone:
		p.applyLateSuccess(t, end, n)
	case cell.EndFailed:
		p.applyLateFailure(t, end, n)
	}
}

func (p *Pool) applyLateSuccess(t *task, end cell.EndedTask, n *node) {
	p.taskLog.Info("task done by an earlier run", "job", t.step.job.id, "task", end.Task, "run", end.Run, "worker", n.entry.ID)
	p.incrementMetric("tasks.done_by_earlier_run")
	for _, m := range t.step.markDone(t) {
		for _, r := range m.allRuns() {
			m.dropRun(r)
			p.stopRun(r, "done_by_earlier_run")
		}
		p.storeTask(m)
	}
	p.observeIfDone(t.step)
	p.endIfFinished(t.step.job)
}

// applyLateFailure counts a failed run unless it has been counted. A worker lists an end
// again to a successor if its predecessor did not acknowledge it.
func (p *Pool) applyLateFailure(t *task, end cell.EndedTask, n *node) {
	counted, complete := t.countedFailures()
	if !complete || slices.Contains(counted, end.Run) {
		return
	}
	p.taskLog.Info("earlier run of a task failed", "job", t.step.job.id, "task", end.Task, "run", end.Run, "worker", n.entry.ID)
	p.incrementMetric("tasks.failed_in_earlier_run")
	t.countFailure(end.Run, n)
	p.storeTask(t)
	p.endIfFinished(t.step.job)
}

// countFailure counts a failed run for the task and its gang.
func (t *task) countFailure(run int, n *node) {
	t.failures++
	t.lastFailedWorker = n.entry.ID
	s := t.step
	switch {
	case s.spec.LongRunning:
		// Its attempts have no limit, so their numbers are not kept.
	case !s.spec.Gang:
		t.failedRuns = append(t.failedRuns, run)
	case run != s.lastFailedRun && !slices.Contains(s.failedRuns, run):
		s.lastFailedRun = max(s.lastFailedRun, run)
		s.failedRuns = append(s.failedRuns, run)
		s.gangFailures++
	}
}

// countedFailures returns the numbers of the failed runs that have been counted for the
// task, or for its gang. It is not complete if an earlier version, which did not store the
// numbers, has counted some.
func (t *task) countedFailures() (runs []int, complete bool) {
	if t.step.spec.Gang {
		return t.step.failedRuns, len(t.step.failedRuns) == t.step.gangFailures
	}
	return t.failedRuns, len(t.failedRuns) == t.failures
}

// restoreFailures takes over the failed runs that a predecessor has counted. Each member
// of a gang has stored those of the gang as of its last record.
func (t *task) restoreFailures(r taskRecord) {
	t.failures = r.Failures
	s := t.step
	if !s.spec.Gang {
		t.failedRuns = r.FailedRuns
		return
	}
	s.gangFailures = max(s.gangFailures, r.GangFailures)
	s.lastFailedRun = max(s.lastFailedRun, r.LastFailedRun)
	for _, run := range r.FailedRuns {
		if !slices.Contains(s.failedRuns, run) {
			s.failedRuns = append(s.failedRuns, run)
		}
	}
}
