package pool

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/shard"
	"github.com/laburnumpass/laburnumpass/internal/store"
)

// checkServing returns an error if this scheduler cannot serve calls.
func (p *Pool) checkServing() error {
	if !p.loaded || p.ctx.Err() != nil {
		return errors.WithStack(ErrNotScheduler)
	}
	return nil
}

// Submit stores a job and returns once it is stored. If the ID is known, the
// call counts as a repetition: it stores nothing and waits until the known job
// is stored. Errors are wrapped: ErrNotScheduler, ErrStoreUnavailable and
// ErrNotStored mean that this call will never cause the job to run, ErrRecordRejected that
// no call will, ErrExceedsQuota that no call will while the quota of the team stays. Neither does a TeamOverloadedError, which
// is returned only for an ID that is not known.
// ErrSubmitPending means that an earlier call may have stored it and the store
// is unavailable. ErrOutcomeUnknown means that this call may have stored it.
// The job belongs to team, which is empty for a caller without one.
func (p *Pool) Submit(ctx context.Context, id string, queue cell.Queue, team string, spec *api.Job) error {
	return p.submit(ctx, id, queue, team, spec, shard.Portion{})
}

func (p *Pool) submit(ctx context.Context, id string, queue cell.Queue, team string, spec *api.Job, portion shard.Portion) error {
	done := make(chan error, 1)
	p.mu.Lock()
	if err := p.checkServing(); err != nil {
		p.mu.Unlock()
		return err
	}
	j := p.jobs[id]
	switch {
	case j != nil && j.stored:
		p.mu.Unlock()
		return nil
	case j != nil && p.journal.stalled():
		p.mu.Unlock()
		return errors.WithStack(ErrSubmitPending)
	case j != nil:
		j.waiters = append(j.waiters, func(err error) { done <- err })
	case p.journal.stalled():
		p.mu.Unlock()
		return errors.WithStack(ErrStoreUnavailable)
	default:
		j = p.newShardJob(id, queue, team, spec, time.Now(), portion)
		if p.exceedsQuota(j) {
			p.mu.Unlock()
			return errors.WithStack(ErrExceedsQuota)
		}
		// The shard that owns a job counts it; portions elsewhere are no jobs of their own.
		j.beyondRate = portion.Whole() && !p.takeFromRate(team, j.accepted)
		if err := p.checkOverload(j, j.accepted); err != nil {
			p.mu.Unlock()
			return err
		}
		record, err := j.record(p.jobRecordLimit(j))
		if err != nil {
			p.log.Info("job rejected", "job", id, "queue", queue.Name, "error", err.Error())
			p.mu.Unlock()
			return err
		}
		j.waiters = append(j.waiters, func(err error) { done <- err })
		p.jobs[id], p.openJobs[id] = j, j
		p.tryStoreRecords([]store.Record{record}, func(err error) { p.finishSubmit(j, err) })
		p.requestPass()
	}
	p.mu.Unlock()
	return awaitStored(ctx, done)
}

// awaitStored returns the result of storing a record, or a wrapped ErrOutcomeUnknown
// if ctx ends first.
func awaitStored(ctx context.Context, done <-chan error) error {
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errors.Wrap(ErrOutcomeUnknown, ctx.Err().Error())
	}
}

// finishSubmit passes the result of storing the job to the callers that wait
// for it.
func (p *Pool) finishSubmit(j *Job, err error) {
	if err == nil {
		j.stored = true
		p.log.Info("job accepted", "job", j.id, "team", j.team, "queue", j.queue.Name, "steps", len(j.spec.Steps), "took_ms", time.Since(j.accepted).Milliseconds())
		p.incrementMetric("jobs.accepted")
		if j.beyondRate {
			p.incrementMetric("jobs.beyond_rate")
		}
		p.event("accepted", j.id, "", "", j.queue.Name)
		if j.spread {
			p.handOutPortions(j)
		}
	} else if errors.Is(err, ErrRecordRejected) {
		delete(p.jobs, j.id)
		delete(p.openJobs, j.id)
		j.final = api.JobCancelled // placements that are being stored are not sent
	}
	for _, notify := range j.waiters {
		notify(err)
	}
	j.waiters = nil
}

// Visible reports whether callers of a team may learn about a job: it is unknown here,
// belongs to that team or to none. It returns a wrapped ErrNotScheduler if this host
// cannot tell, since a job that is not loaded yet may belong to another team.
func (p *Pool) Visible(id, team string) (bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.checkServing(); err != nil {
		return false, err
	}
	j := p.jobs[id]
	return j == nil || j.team == "" || j.team == team, nil
}

// State returns the state of a job and whether the job is known. It returns a
// wrapped ErrNotScheduler if this host cannot tell.
func (p *Pool) State(id string) (api.JobState, bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.checkServing(); err != nil {
		return "", false, err
	}
	j := p.jobs[id]
	if j == nil {
		if p.term.ConfirmationAge() > maxConfirmationAgeForNotFound {
			return "", false, errors.Wrap(ErrNotScheduler, "another host may know the job")
		}
		return "", false, nil
	}
	switch {
	case j.state.Terminal():
		return j.state, true, nil
	case j.cancelled:
		return api.JobCancelled, true, nil
	case j.failureStored:
		return api.JobFailed, true, nil
	case j.mayHaveStarted():
		return api.JobRunning, true, nil
	}
	return api.JobQueued, true, nil
}

// Cancel stores the cancellation of a job and returns once it is stored. It
// stores nothing for a job that has ended or is unknown. known reports whether
// the job exists; it is false with ErrNotScheduler. Errors are wrapped: after
// ErrNotScheduler, ErrStoreUnavailable, ErrNotStored and ErrRecordRejected the
// cancellation will never take effect, after ErrOutcomeUnknown it may.
func (p *Pool) Cancel(ctx context.Context, id string) (known bool, err error) {
	p.mu.Lock()
	if err := p.checkServing(); err != nil {
		p.mu.Unlock()
		return false, err
	}
	j := p.jobs[id]
	switch {
	case j == nil && p.term.ConfirmationAge() > maxConfirmationAgeForNotFound:
		p.mu.Unlock()
		return false, errors.Wrap(ErrNotScheduler, "another host may know the job")
	case j == nil:
		p.mu.Unlock()
		return false, nil
	case j.state.Terminal():
		p.mu.Unlock()
		return true, nil
	case p.journal.stalled():
		p.mu.Unlock()
		return true, errors.WithStack(ErrStoreUnavailable)
	}
	done := make(chan error, 1)
	p.tryStoreRecords([]store.Record{{Key: keyCancelPrefix + id, Value: []byte("{}")}}, func(err error) {
		done <- err
		if err == nil && !j.cancelled && !j.state.Terminal() {
			j.cancelled = true
			p.log.Info("job cancelled", "job", id, "queue", j.queue.Name)
			p.event("cancelled", id, "", "", "")
			p.stopRuns(j, "cancelled")
			if j.spread {
				p.cancelPortions(j)
			}
			p.endIfFinished(j)
		}
	})
	p.mu.Unlock()
	return true, awaitStored(ctx, done)
}

// Pending returns the number of jobs of a queue that are stored and not known to have
// started.
func (p *Pool) Pending(queue string) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.checkServing(); err != nil {
		return 0, err
	}
	count := 0
	for _, j := range p.openJobs {
		if j.queue.Name == queue && j.active() && !j.started && j.stored && (j.portion.Whole() || j.spread) {
			count++
		}
	}
	return count, nil
}
