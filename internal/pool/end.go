package pool

import (
	"time"

	"github.com/laburnumpass/laburnumpass/api"
)

// review completes or fails a job whose last task has ended, or whose attempts
// are used up. It needs p.mu.
func (p *Pool) review(j *Job) {
	if j.spec == nil || j.ending != "" || j.state.Terminal() {
		return
	}
	switch {
	case j.ended():
		p.end(j, api.JobCompleted)
	case j.cancelled:
		// The end is stored only when nothing runs any more: after a change of
		// scheduler the runs still have to be known and stopped.
		if !p.busy(j) {
			p.end(j, api.JobCancelled)
		}
	case exhausted(j):
		if !j.doomed {
			j.doomed = true
			p.stopAll(j, "job_failed")
		}
		if !p.busy(j) {
			p.end(j, api.JobFailed)
		}
	}
}

// busy tells whether a run of the job may still be on a worker.
func (p *Pool) busy(j *Job) bool {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.current != nil {
					return true
				}
			}
		}
	}
	return false
}

func exhausted(j *Job) bool {
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

// end stores the terminal state of a job; callers see it once it is stored.
func (p *Pool) end(j *Job, state api.JobState) {
	j.ending = state
	now := time.Now()
	p.store(j.endRecords(state, now), func(err error) {
		if err != nil {
			return // no longer the scheduler
		}
		j.state, j.endedAt, j.spec = state, now, nil
		j.occurrences = nil
		delete(p.open, j.id)
		p.log.Info("job ended", "job", j.id, "state", string(state), "queue", j.queue.Name, "took_ms", now.Sub(j.accepted).Milliseconds())
		p.count("jobs.ended." + string(state))
		p.event("ended", j.id, "", "", string(state))
	})
}

// stopAll stops all runs of a job.
func (p *Pool) stopAll(j *Job, reason string) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.current != nil {
					p.stop(t.current, reason)
				}
			}
		}
	}
}
