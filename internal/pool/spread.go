package pool

import (
	"context"
	"time"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/shard"
	"github.com/laburnumpass/laburnumpass/internal/store"
)

// A long-running job may need more workers than its shard has: its policy approves
// only some, and max_per_worker bounds the tasks on each. Its tasks are independent of
// each other, so such a job is spread: its own shard stores the job, answers for it and
// runs a portion of its tasks, and hands the other portions to the other shards. They
// run theirs until they are told to cancel it.

const (
	// minSpreadTasks is the number of tasks of a step from which on a long-running job
	// is spread over the shards. Fewer fit into one.
	minSpreadTasks = 8
	// portionTimeout bounds one call to another shard about a portion, and
	// portionRetryDelay is the pause after a failed one.
	portionTimeout    = 2 * time.Second
	portionRetryDelay = 250 * time.Millisecond
	// portionCheckInterval is the time between two checks whether a portion has failed.
	portionCheckInterval = 5 * time.Second
)

// Shards calls the schedulers of the other shards of the service. SubmitPortion and
// CancelPortion return nil once the other shard has stored the request. They may be
// repeated.
type Shards interface {
	// SubmitPortion hands a portion of a job to the shard.
	SubmitPortion(ctx context.Context, to shard.Shard, id string, queue cell.Queue, team string, spec *api.Job, portion shard.Portion) error
	// CancelPortion cancels the shard's portion of a job, also one that it has not
	// received yet.
	CancelPortion(ctx context.Context, to shard.Shard, id string) error
	// PortionState returns the state of the shard's portion of a job, empty if it is
	// not known there.
	PortionState(ctx context.Context, to shard.Shard, id string) (api.JobState, error)
}

// spreads reports whether the tasks of the job are spread over the shards of the
// service.
func (p *Pool) spreads(spec *api.Job) bool {
	if p.opts.Shard.Count <= 1 || p.opts.Shards == nil || spec.Occurrences > 0 {
		return false
	}
	widest := 0
	for _, s := range spec.Steps {
		if !s.LongRunning || s.Gang || len(s.DependsOn) > 0 {
			return false
		}
		widest = max(widest, s.Count)
	}
	return widest >= minSpreadTasks
}

// spreadShards returns the other shards that run a portion of a job of this shard.
func (p *Pool) spreadShards(spec *api.Job) map[shard.Shard]shard.Portion {
	portions := make(map[shard.Shard]shard.Portion)
	for _, other := range shard.All(p.opts.Shard.Service, p.opts.Shard.Count) {
		portion := other.PortionOf(p.opts.Shard.Index)
		for _, s := range spec.Steps {
			if other != p.opts.Shard && portion.Offset < s.Count {
				portions[other] = portion
			}
		}
	}
	return portions
}

// handOutPortions hands the portions of a stored job to the other shards. The caller
// must hold p.mu.
func (p *Pool) handOutPortions(j *Job) {
	if j.cancelled {
		p.cancelPortions(j)
		return
	}
	for other, portion := range p.spreadShards(j.spec) {
		go p.repeatUntilStored(j, "submit", other, func() bool { return !j.cancelled && !j.failed }, func(ctx context.Context) error {
			return p.opts.Shards.SubmitPortion(ctx, other, j.id, j.queue, j.team, j.spec, portion)
		}, func() { go p.watchPortion(j, other) })
	}
}

// watchPortion fails the job once its portion in another shard has failed. It returns
// when the job is no longer active or the term ends.
func (p *Pool) watchPortion(j *Job, other shard.Shard) {
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-time.After(portionCheckInterval):
		}
		p.mu.Lock()
		active := j.active()
		p.mu.Unlock()
		if !active {
			return
		}
		ctx, cancel := context.WithTimeout(p.ctx, portionTimeout)
		state, err := p.opts.Shards.PortionState(ctx, other, j.id)
		cancel()
		if err == nil && state == api.JobFailed {
			p.mu.Lock()
			p.log.Info("portion failed", "job", j.id, "shard", other.String())
			j.portionFailed = true
			p.endIfFinished(j)
			p.mu.Unlock()
		}
	}
}

// cancelPortions cancels the portions of the other shards. The job ends once all of
// them have stored that. The caller must hold p.mu.
func (p *Pool) cancelPortions(j *Job) {
	if j.cancelsSent {
		return
	}
	j.cancelsSent = true
	others := p.spreadShards(j.spec)
	j.openPortions = len(others)
	for other := range others {
		go p.repeatUntilStored(j, "cancel", other, func() bool { return true }, func(ctx context.Context) error {
			return p.opts.Shards.CancelPortion(ctx, other, j.id)
		}, func() {
			j.openPortions--
			p.endIfFinished(j)
		})
	}
}

// repeatUntilStored repeats a call about a portion until it succeeds, wanted returns
// false or the term ends, and then calls onStored. wanted and onStored are called with
// p.mu held.
func (p *Pool) repeatUntilStored(j *Job, what string, to shard.Shard, wanted func() bool, call func(context.Context) error, onStored func()) {
	for p.ctx.Err() == nil {
		p.mu.Lock()
		ok := wanted()
		p.mu.Unlock()
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(p.ctx, portionTimeout)
		err := call(ctx)
		cancel()
		if err == nil {
			p.mu.Lock()
			onStored()
			p.mu.Unlock()
			return
		}
		p.log.Info("another shard did not take a portion", "job", j.id, "what", what, "to", to.String(), "error", err.Error())
		select {
		case <-p.ctx.Done():
		case <-time.After(portionRetryDelay):
		}
	}
}

// SubmitPortion stores a portion of a job of another shard and returns once it is
// stored. It has no effect if the portion is known, also as cancelled. Its errors are
// those of Submit.
func (p *Pool) SubmitPortion(ctx context.Context, id string, queue cell.Queue, team string, spec *api.Job, portion shard.Portion) error {
	return p.submit(ctx, id, queue, team, spec, portion)
}

// CancelPortion cancels a portion of a job of another shard and returns once that is
// stored. If the portion is not known yet, it is stored as ended, so that a request to
// submit it that arrives later has no effect. Its errors are those of Cancel.
func (p *Pool) CancelPortion(ctx context.Context, id string) error {
	p.mu.Lock()
	if err := p.checkServing(); err != nil {
		p.mu.Unlock()
		return err
	}
	if p.jobs[id] != nil {
		p.mu.Unlock()
		_, err := p.Cancel(ctx, id)
		return err
	}
	now := time.Now()
	j := &Job{id: id, state: api.JobCancelled, endedAt: now, started: true}
	p.jobs[id] = j
	done := make(chan error, 1)
	p.storeRecords([]store.Record{encodeRecord(keyEndPrefix+id, endRecord{State: api.JobCancelled, Ended: now.UnixMilli()})}, func(err error) {
		j.stored = err == nil
		done <- err
	})
	p.mu.Unlock()
	return awaitStored(ctx, done)
}
