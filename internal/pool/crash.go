package pool

import (
	"slices"
	"time"
)

// A task may crash the process of each worker that starts it, and everything else on
// the worker ends with it. Which task did it cannot be observed directly. Tasks that
// were started shortly before the crash are suspects. A suspect runs next as a probe:
// on a worker that starts nothing for other jobs meanwhile. A probe that outlives
// crashWindow is no longer suspected; a crash under it is attributed to its job. See
// docs/decisions/crashing-tasks.md.

const (
	// crashWindow is how long before the end of a worker's process a run must have
	// been started for its task to be suspected, and how long a probe keeps other
	// starts away from its worker.
	crashWindow = 500 * time.Millisecond
	// minCrashes is the number of workers that must have crashed under a task before
	// its job may be given up.
	minCrashes = 2
	// maxCrashes is the number of crashes under a task after which its job is given
	// up, whatever else ran on these workers.
	maxCrashes = 4
	// simultaneousCrashes is the time within which crashes of several workers count as
	// one event with a cause of its own.
	simultaneousCrashes = 250 * time.Millisecond
	// stableRunTime is how long a long-running task must have run for the crashes
	// before that not to count any more.
	stableRunTime = 30 * time.Second
)

// processEnd says how a run relates to the end of its worker's process.
type processEnd struct {
	// begun is set if the run had certainly begun and not ended by itself, and mayHaveRun
	// if it had begun.
	begun, mayHaveRun bool
	// recent is set if the run may have been started within crashWindow before.
	recent bool
	// attributed is set if only runs of its job are recent and nothing else explains
	// the end.
	attributed bool
	// since is when the worker stopped replying.
	since time.Time
	// presumed is set if only refused connections speak for the end.
	presumed bool
}

// noteProcessEnd records that the process of n has ended. The crash counts when its
// runs are released.
func (p *Pool) noteProcessEnd(n *node, now time.Time) {
	if p.judgeProcessEnd(n, now) {
		p.log.Info("worker process ended", "worker", n.entry.ID, "runs", len(n.runs))
		p.incrementMetric("workers.crashed")
	}
}

// judgeProcessEnd determines for each run on n how it relates to the end of the
// process, which was noticed at now, and reports whether there are such runs. A
// worker that drains leaves as planned. One that this scheduler has had no entry of
// may have left as planned too.
func (p *Pool) judgeProcessEnd(n *node, now time.Time) bool {
	if n.entry.Draining {
		return false
	}
	at, endedBy, dated := now, now, true
	if n.failingSince.After(n.repliedAt) {
		at, dated = n.failingSince, !n.firstFailureTimedOut
		if dated {
			endedBy = at
		}
	}
	recent, job := n.recentRuns(at)
	if recent == 0 && !n.endNoted && n.hadEntry() {
		n.unexplainedEnd = at
	}
	n.endNoted = true
	if len(n.runs) == 0 {
		return false
	}
	n.crashedUnder = job
	attributed := job != nil && !p.hasCommonCause(n, job, at)
	for _, r := range n.runs {
		if r.state == runPlanned {
			continue
		}
		end := &processEnd{since: at, mayHaveRun: r.begun && n.hadEntry(), recent: r.startedWithin(crashWindow, at)}
		// Behind a cut a run may end before the process does. A probe is more likely to
		// have crashed its machine, which breaks no connection either.
		end.begun = end.mayHaveRun && (dated || r.probe)
		end.attributed = attributed && end.recent
		if end.attributed && endedBy.Sub(r.startSentAt) < firstStartTimeout {
			// The reply was lost with the process.
			end.begun = true
		}
		r.processEnd = end
	}
	p.log.Info("runs judged by the end of their worker", "worker", n.entry.ID, "silent_ms", now.Sub(at).Milliseconds(), "runs", len(n.runs), "recent", recent, "attributed", attributed)
	return true
}

// recentRuns returns how many runs on n may have been started within crashWindow before
// at, and their job; job is nil if there are none or of several jobs, or if the start
// of one is not known.
func (n *node) recentRuns(at time.Time) (count int, job *Job) {
	single := true
	for _, r := range n.runs {
		if !r.startedWithin(crashWindow, at) {
			continue
		}
		count++
		single = single && (job == nil || job == r.task.step.job) && !r.startSentAt.IsZero()
		job = r.task.step.job
	}
	if !single {
		return count, nil
	}
	return count, job
}

// startedWithin reports whether r may have been started within window before at. The
// start of a run of a predecessor is not known.
func (r *run) startedWithin(window time.Duration, at time.Time) bool {
	switch {
	case r.state == runPlanned:
		return false
	case r.startSentAt.IsZero():
		return r.startedAt.IsZero() || at.Sub(r.startedAt) < window
	}
	return at.Sub(r.startSentAt) < window
}

// hasCommonCause reports whether another worker ended at about the same time as n and
// the job does not explain that too: one of its rack, or any on which nothing had been
// started recently.
func (p *Pool) hasCommonCause(n *node, job *Job, at time.Time) bool {
	rack := n.entry.Rack()
	sharesCause := func(other *node) bool {
		return other != n && (other.endedUnexplained(at) ||
			rack != "" && other.entry.Rack() == rack && other.failingSince.Sub(at).Abs() < simultaneousCrashes &&
				other.crashedUnder != job && !other.startedRecently(job, at))
	}
	for _, other := range p.nodes {
		if sharesCause(other) {
			return true
		}
	}
	return slices.ContainsFunc(p.removed, sharesCause)
}

// endedUnexplained reports whether the worker's process ended at about the given time
// and no run on it had been started within crashWindow before.
func (n *node) endedUnexplained(at time.Time) bool {
	if n.unexplainedEnd.Sub(at).Abs() < simultaneousCrashes {
		return true
	}
	if n.endNoted || n.entry.Draining || !n.unresponsive || !n.refusesConnections || n.failingSince.Sub(at).Abs() >= simultaneousCrashes {
		return false
	}
	for _, r := range n.runs {
		if r.startedWithin(crashWindow, n.failingSince) {
			return false
		}
	}
	return true
}

// startedRecently reports whether a run of the job may have been started on n within
// crashWindow before at.
func (n *node) startedRecently(job *Job, at time.Time) bool {
	for _, r := range n.runs {
		if r.task.step.job == job && r.startedWithin(crashWindow, at) {
			return true
		}
	}
	return false
}

// countCrash records that a worker's process ended under r, and gives the task up if
// the evidence is sufficient. The caller must hold p.mu.
func (p *Pool) countCrash(r *run) {
	t, end := r.task, r.processEnd
	switch {
	case end.begun:
		t.crashes++
	case end.recent, end.mayHaveRun:
		t.possibleCrashes++
	}
	r.suspectTask()
	if t.crashes >= minCrashes && (end.attributed || t.crashes+t.possibleCrashes >= maxCrashes) && !t.givenUp {
		t.givenUp = true
		p.log.Info("task given up, it crashes its workers", "job", t.step.job.id, "task", t.name(), "crashes", t.crashes, "possible_crashes", t.possibleCrashes, "attributed", end.attributed)
		p.incrementMetric("tasks.given_up")
		p.event("given_up", t.step.job.id, t.name(), r.node.entry.ID, "")
	}
	if t.step.job.final == "" {
		p.storeTask(t)
	}
}

// suspectTask makes the task of r a suspect if the evidence is sufficient. For a long-running
// one the wait for the lease of its worker counts as a wait for other probes.
func (r *run) suspectTask() {
	t := r.task
	t.suspect, t.suspectSince = t.suspect || r.processEnd.recent || t.crashes >= minCrashes, time.Now()
	if t.step.spec.LongRunning {
		t.suspectSince = r.processEnd.since
	}
}

// updateSuspicion ends the suspicion against the task of a run that its worker lists
// as running.
func (p *Pool) updateSuspicion(r *run, now time.Time) {
	t := r.task
	if r.probe && !r.startedWithin(crashWindow, now) {
		r.node.endProbe(r)
		t.suspect = false
		if t.currentRun == r && t.step.job.final == "" {
			p.storeTask(t)
		}
	}
	if t.crashes > 0 && t.step.spec.LongRunning && now.Sub(r.startedAt) > stableRunTime {
		t.crashes, t.possibleCrashes = 0, 0
		p.storeTask(t)
	}
}
