package pool

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/store"
)

// ready returns an error if calls cannot be served.
func (p *Pool) ready() error {
	if !p.loaded || p.ctx.Err() != nil {
		return errors.WithStack(ErrNotScheduler)
	}
	return nil
}

// Submit stores a job and returns when it is stored. A job with a known ID is
// the same job. It returns ErrNotScheduler, ErrStoreUnavailable or ErrNotStored if the
// job will never run because of this call, ErrSubmitPending if an earlier call may have
// stored it and the store does not answer, else ErrOutcomeUnknown, all wrapped.
func (p *Pool) Submit(ctx context.Context, id string, queue cell.Queue, spec *api.Job) error {
	done := make(chan error, 1)
	p.mu.Lock()
	if err := p.ready(); err != nil {
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
		j = newJob(id, queue, spec, time.Now())
		j.waiters = append(j.waiters, func(err error) { done <- err })
		p.jobs[id], p.open[id] = j, j
		p.store([]store.Record{j.record()}, func(err error) { p.submitted(j, err) })
		p.wake()
	}
	p.mu.Unlock()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errors.Wrap(ErrOutcomeUnknown, ctx.Err().Error())
	}
}

// submitted tells those who wait for the job's storing.
func (p *Pool) submitted(j *Job, err error) {
	if err == nil {
		j.stored = true
		p.log.Info("job accepted", "job", j.id, "queue", j.queue.Name, "steps", len(j.spec.Steps), "took_ms", time.Since(j.accepted).Milliseconds())
		p.count("jobs.accepted")
		p.event("accepted", j.id, "", "", j.queue.Name)
	}
	for _, tell := range j.waiters {
		tell(err)
	}
	j.waiters = nil
}

// State returns the state of a job and whether it is known. It returns
// ErrNotScheduler, wrapped, if it cannot tell.
func (p *Pool) State(id string) (api.JobState, bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.ready(); err != nil {
		return "", false, err
	}
	j := p.jobs[id]
	if j == nil {
		if p.term.Age() > freshTerm {
			return "", false, errors.Wrap(ErrNotScheduler, "another host may know the job")
		}
		return "", false, nil
	}
	switch {
	case j.state.Terminal():
		return j.state, true, nil
	case j.cancelled:
		return api.JobCancelled, true, nil
	case j.doomed:
		return api.JobFailed, true, nil
	case j.began:
		return api.JobRunning, true, nil
	}
	return api.JobQueued, true, nil
}

// Cancel stores that a job is cancelled and returns when that is stored, with
// whether the job is known. Errors are like Submit's.
func (p *Pool) Cancel(ctx context.Context, id string) (known bool, err error) {
	p.mu.Lock()
	if err := p.ready(); err != nil {
		p.mu.Unlock()
		return false, err
	}
	j := p.jobs[id]
	switch {
	case j == nil && p.term.Age() > freshTerm:
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
	p.store([]store.Record{{Key: keyCancel + id, Value: []byte("{}")}}, func(err error) {
		done <- err
		if err == nil && !j.cancelled && !j.state.Terminal() {
			j.cancelled = true
			p.log.Info("job cancelled", "job", id, "queue", j.queue.Name)
			p.event("cancelled", id, "", "", "")
			p.stopAll(j, "cancelled")
			p.review(j)
		}
	})
	p.mu.Unlock()
	select {
	case err := <-done:
		return true, err
	case <-ctx.Done():
		return true, errors.Wrap(ErrOutcomeUnknown, ctx.Err().Error())
	}
}

// Pending returns how many jobs of a queue have been stored and have not begun.
func (p *Pool) Pending(queue string) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.ready(); err != nil {
		return 0, err
	}
	count := 0
	for _, j := range p.open {
		if j.queue.Name == queue && j.live() && !j.began && j.stored {
			count++
		}
	}
	return count, nil
}
