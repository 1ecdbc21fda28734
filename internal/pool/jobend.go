package pool

import (
	"time"

	"github.com/laburnumpass/laburnumpass/api"
)

// endIfFinished completes, cancels or fails a job if all its tasks are done, it
// was cancelled, or a task has used up its attempts, was given up or belongs to a
// portion that failed. The caller must hold p.mu.
func (p *Pool) endIfFinished(j *Job) {
	if j.spec == nil || j.final != "" || j.state.Terminal() {
		return
	}
	switch {
	case j.allTasksDone():
		p.endJob(j, api.JobCompleted)
	case j.cancelled:
		// The end is stored only when no run is left and all portions are cancelled:
		// after a change of scheduler the new one still has to know and stop them.
		if !p.hasRuns(j) && (!j.spread || j.cancelsSent && j.openPortions == 0) {
			p.endJob(j, api.JobCancelled)
		}
	case j.portionFailed || hasExhaustedTask(j):
		if !j.failed {
			j.failed = true
			if !j.portionFailed {
				// A request without records is done once all earlier ones are stored.
				p.storeRecords(nil, func(err error) { j.failureStored = err == nil })
			}
			p.stopRuns(j, "job_failed")
			if j.spread {
				p.cancelPortions(j)
			}
		}
		if !p.hasRuns(j) && j.openPortions == 0 {
			p.endJob(j, api.JobFailed)
		}
	}
}

// hasRuns reports whether a run of the job may still be on a worker.
func (p *Pool) hasRuns(j *Job) bool {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.currentRun != nil {
					return true
				}
			}
		}
	}
	return false
}

// hasExhaustedTask reports whether a task of the job has used up its attempts.
func hasExhaustedTask(j *Job) bool {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if !t.done && t.exhausted() {
					return true
				}
			}
		}
	}
	return false
}

// endJob stores the terminal state of a job and sets j.state once it is stored.
func (p *Pool) endJob(j *Job, state api.JobState) {
	j.final = state
	now := time.Now()
	p.storeRecords(j.endRecords(state, now), func(err error) {
		if err != nil {
			return // no longer the scheduler
		}
		steps := j.stepSummaries(now)
		j.state, j.endedAt, j.spec = state, now, nil
		j.occurrences = nil
		delete(p.openJobs, j.id)
		p.logEnd(j, state, steps, now)
		p.recordEnd(j, now)
		p.incrementMetric("jobs.ended." + string(state))
		p.event("ended", j.id, "", "", string(state))
	})
}

// stopRuns stops all runs of a job.
func (p *Pool) stopRuns(j *Job, reason string) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				for _, r := range t.allRuns() {
					p.stopRun(r, reason)
				}
			}
		}
	}
}
