package pool

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/lead"
)

const (
	// holdWait is how long a worker waits for an end before it replies.
	holdWait = 750 * time.Millisecond
	// holdWaitAfterLoss takes its place for a while after a reply was lost: a lost
	// reply delays the ends that it lists by the whole wait.
	holdWaitAfterLoss = 200 * time.Millisecond
	// lossMemory is that while.
	lossMemory = 3 * time.Second
	// holdTimeout bounds the reply beside the wait: regions are 16 ms apart.
	holdTimeout = 300 * time.Millisecond
	// holdPause is the least time between two calls. Ends that come within it
	// are listed in one reply.
	holdPause = 20 * time.Millisecond
	// holdRetry is the pause after a failed call.
	holdRetry = 100 * time.Millisecond
	// unstoredPause is the pause while ends cannot be stored: the worker
	// replies at once as long as it lists ends.
	unstoredPause = 300 * time.Millisecond
	// maxListedEnds is how many ends a worker lists in one reply.
	maxListedEnds = 500
)

// watch renews the lease of a worker and takes in its ends until ctx ends.
func (p *Pool) watch(ctx context.Context, n *node) {
	for ctx.Err() == nil {
		begin := time.Now()
		rest := p.holdOnce(ctx, n)
		rest = max(rest, holdPause-time.Since(begin))
		select {
		case <-ctx.Done():
		case <-time.After(rest):
		}
	}
}

// holdOnce makes one call and returns the pause before the next one.
func (p *Pool) holdOnce(ctx context.Context, n *node) time.Duration {
	p.mu.Lock()
	hold := p.nextHold(n)
	unstored := n.processed > n.acked
	p.mu.Unlock()

	sent := cell.BootTime()
	callCtx, cancel := context.WithTimeout(ctx, hold.Wait+holdTimeout)
	holding, err := n.client.Hold(callCtx, hold)
	cancel()
	if ctx.Err() != nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.holdFailed(n, err)
		return holdRetry
	}
	if n.failing {
		p.log.Info("worker replies", "worker", n.entry.ID, "runs", len(n.runs))
	}
	n.failing = false
	p.takeIn(n, holding, sent)
	p.wake()
	if unstored && n.processed > n.acked {
		return unstoredPause
	}
	return 0
}

// nextHold returns the next call to a worker.
func (p *Pool) nextHold(n *node) cell.HoldRequest {
	hold := cell.HoldRequest{Fence: p.term.Epoch, AckCursor: n.acked, Wait: holdWait}
	switch {
	case !n.confirmed:
		// Its clock is not known yet.
		hold.Wait = 0
	case n.failing:
		// While the worker does not reply, its lease must run out at a known time.
		hold.Wait = 0
	case p.term.ConfirmationAge() < lead.MaxConfirmationAge:
		hold.LeaseUntilMS = n.extend(p.leaseTerm())
	}
	if n.processed > n.acked {
		// Ends that are stored by now can be acknowledged.
		hold.Wait = 0
	}
	if time.Since(n.lostAt) < lossMemory {
		hold.Wait = min(hold.Wait, holdWaitAfterLoss)
	}
	return hold
}

// holdFailed notes that a worker has not replied, or why it refused.
func (p *Pool) holdFailed(n *node, err error) {
	if !n.failing {
		p.log.Info("worker does not reply", "worker", n.entry.ID, "error", err.Error(), "runs", len(n.runs))
	}
	n.failing = true
	n.lostAt = time.Now()
	var rejected *cell.RejectedError
	if !errors.As(err, &rejected) {
		return
	}
	switch rejected.Reason {
	case cell.RejectedFence:
		p.log.Info("fenced at a worker", "worker", n.entry.ID, "epoch", p.term.Epoch)
		p.term.End()
	case cell.RejectedIncarnation:
		// Another worker has the address, so this one has ended.
		p.endIncarnation(n, "address_reused")
	}
}

// takeIn applies a worker's reply to a call that was sent at boot time sent.
func (p *Pool) takeIn(n *node, h *cell.HoldReply, sent time.Duration) {
	if h.Incarnation != 0 && n.entry.Incarnation != 0 && h.Incarnation != n.entry.Incarnation {
		if h.Incarnation < n.entry.Incarnation {
			return // a reply of the incarnation before
		}
		p.endIncarnation(n, "restarted")
	}
	if h.Incarnation != 0 {
		n.entry.Incarnation = h.Incarnation
	}
	n.clockMS, n.clockAt, n.repliedAt = h.ClockMS, cell.BootTime(), time.Now()
	if !n.confirmed {
		n.confirmed = true
		// Leases of earlier schedulers may reach this far; they cannot be
		// extended any more.
		n.leaseUntilMS = max(n.leaseUntilMS, h.ClockMS+p.leaseTerm().Milliseconds())
	}
	listed := make(map[string]bool, len(h.Running))
	now := time.Now()
	for _, running := range h.Running {
		listed[runKey(running.Task, running.Run)] = true
		p.takeRunning(n, running, now)
	}
	last := n.processed
	for _, end := range h.Ended {
		if end.Sequence <= n.processed {
			continue
		}
		last = max(last, end.Sequence)
		listed[runKey(end.Task, end.Run)] = true
		p.takeEnd(n, end, now)
	}
	if len(h.Ended) < maxListedEnds {
		p.dropUnlisted(n, listed, sent)
	}
	if last > n.processed {
		n.processed = last
		incarnation := n.entry.Incarnation
		p.store(nil, func(err error) {
			if err == nil && n.entry.Incarnation == incarnation {
				n.acked = max(n.acked, last)
			}
		})
	}
	p.control(n, now)
}

// takeRunning applies one entry of what runs on a worker.
func (p *Pool) takeRunning(n *node, running cell.RunningTask, now time.Time) {
	r := n.runs[runKey(running.Task, running.Run)]
	if r == nil {
		t, err := p.findTask(running.Task)
		if err != nil || t == nil {
			p.log.Info("worker runs an unknown task", "worker", n.entry.ID, "task", running.Task, "run", running.Run)
			go p.stopUnknown(n, running.Task, running.Run)
			return
		}
		// An order of an earlier scheduler that was given up.
		r = n.add(t, running.Run, runActive)
		p.stop(r, "not_current")
	}
	if r.state == runOrdered || r.state == runUnconfirmed {
		p.activate(r, now)
	}
	if running.Checkpoint != "" {
		r.checkpoint = running.Checkpoint
	}
	if running.Percent != r.percent || r.percentAt.IsZero() {
		r.percent, r.percentAt = running.Percent, now
	}
	r.load = running.Load
	p.stopUnwanted(r)
}

// activate notes that the worker runs r.
func (p *Pool) activate(r *run, now time.Time) {
	r.state, r.settledAt = runActive, cell.BootTime()
	if r.startedAt.IsZero() {
		r.startedAt = now
	}
	r.task.step.job.began = true
}

// takeEnd applies an end and stores what it changes.
func (p *Pool) takeEnd(n *node, end cell.EndedTask, now time.Time) {
	r := n.runs[runKey(end.Task, end.Run)]
	if r == nil {
		p.log.V(1).Info("end of a run that is not current", "worker", n.entry.ID, "task", end.Task, "run", end.Run, "how", string(end.Kind))
		return
	}
	n.remove(r)
	t := r.task
	if t.current != r {
		return
	}
	t.current = nil
	if end.Checkpoint != "" {
		t.checkpoint = end.Checkpoint
	} else if r.checkpoint != "" {
		t.checkpoint = r.checkpoint
	}
	p.log.Info("task ended", "job", t.step.job.id, "task", end.Task, "run", end.Run, "worker", n.entry.ID, "how", string(end.Kind), "number", end.Sequence, "stop_reason", r.stopReason)
	p.count("tasks.ended." + string(end.Kind))
	p.event("task_ended", t.step.job.id, end.Task, n.entry.ID, string(end.Kind))
	switch end.Kind {
	case cell.EndDone:
		if !t.step.spec.LongRunning {
			p.finish(t)
		}
		n.health.succeeded()
		p.learn(r, now)
	case cell.EndFailed:
		p.fail(t, r, n, now)
	}
	if t.step.spec.Gang {
		p.shareCheckpoint(t.step)
	}
	if t.step.job.ending == "" {
		// Before the records of a job that ends now, which replace this one.
		p.storeTask(t)
	}
	p.review(t.step.job)
}

// finish marks a task as successfully ended; one end of a gang stands for all.
func (p *Pool) finish(t *task) {
	members := []*task{t}
	if t.step.spec.Gang {
		members = t.step.tasks
	}
	for _, m := range members {
		if m.done {
			continue
		}
		m.done = true
		t.step.done++
		if m != t {
			p.storeTask(m)
		}
	}
	if t.step.done == len(t.step.tasks) {
		t.step.occ.done++
	}
}

// fail counts a failed run.
func (p *Pool) fail(t *task, r *run, n *node, now time.Time) {
	t.failures++
	t.lastWorker = n.entry.ID
	n.health.failed(now)
	if t.step.spec.Gang && t.step.lastFailedRun != r.number {
		t.step.lastFailedRun = r.number
		t.step.gangFailures++
	}
}

// dropUnlisted ends the runs that a worker's complete list does not have.
func (p *Pool) dropUnlisted(n *node, listed map[string]bool, sent time.Duration) {
	for key, r := range n.runs {
		if listed[key] {
			continue
		}
		switch r.state {
		case runUnconfirmed:
			// The worker has seen this scheduler's fencing token, so an order of
			// an earlier one that is not carried out never will be.
			p.release(r, "never_started")
		case runActive, runRevoked:
			if r.settledAt < sent {
				p.release(r, "not_listed")
			}
		}
	}
}

// release ends a run that certainly is not on its worker and never will be.
func (p *Pool) release(r *run, reason string) {
	t := r.task
	r.node.remove(r)
	if t.current != r {
		return
	}
	t.current = nil
	if r.checkpoint != "" {
		t.checkpoint = r.checkpoint
	}
	p.log.Info("run released", "job", t.step.job.id, "task", t.name(), "run", r.number, "worker", r.node.entry.ID, "reason", reason)
	p.count("tasks.released." + reason)
	p.event("run_released", t.step.job.id, t.name(), r.node.entry.ID, reason)
	if t.step.spec.Gang {
		p.shareCheckpoint(t.step)
	}
	p.review(t.step.job)
	p.wake()
}

// endIncarnation forgets what ran on a worker that has restarted or ended.
func (p *Pool) endIncarnation(n *node, reason string) {
	for _, r := range n.runs {
		p.release(r, reason)
	}
	n.processed, n.acked, n.leaseUntilMS = 0, 0, 0
	n.confirmed = false
	n.lapsesAt = 0
	n.clockAt = 0
}

// shareCheckpoint gives all members of a gang the same checkpoint.
func (p *Pool) shareCheckpoint(s *step) {
	best := ""
	for _, t := range s.tasks {
		if t.checkpoint > best {
			best = t.checkpoint
		}
	}
	for _, t := range s.tasks {
		t.checkpoint = best
	}
}
