package pool

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/httpcall"
)

const (
	// holdWait is how long a worker may wait for a run to end before it
	// replies.
	holdWait = 750 * time.Millisecond
	// holdWaitAfterLoss replaces holdWait for lossWindow after a reply was
	// lost, and while the worker has a probe. A lost reply delays the ended runs
	// that it lists by the whole wait.
	holdWaitAfterLoss = 200 * time.Millisecond
	// holdWaitWithheld replaces holdWait until the lease of a worker that has been silent
	// may be renewed again.
	holdWaitWithheld = 50 * time.Millisecond
	// lossWindow is how long after a lost reply the shorter wait is used.
	lossWindow = 3 * time.Second
	// holdReplyTimeout is the time allowed for the reply in addition to the
	// wait. Regions are 16 ms apart.
	holdReplyTimeout = 300 * time.Millisecond
	// minHoldInterval is the minimum time between two calls. Runs that end
	// within it are listed in one reply.
	minHoldInterval = 20 * time.Millisecond
	// holdRetryDelay is the pause after a failed call.
	holdRetryDelay = 100 * time.Millisecond
	// unstoredEndsPause is the pause while ended runs cannot be stored. The
	// worker replies at once as long as it has ended runs to list.
	unstoredEndsPause = 300 * time.Millisecond
	// maxListedEnds is the maximum number of ended runs that a worker lists in
	// one reply.
	maxListedEnds = 500
)

// holdLoop renews the lease of a worker and processes its ended runs until ctx
// is cancelled.
func (p *Pool) holdLoop(ctx context.Context, n *node) {
	for ctx.Err() == nil {
		begin := time.Now()
		pause := p.holdOnce(ctx, n)
		pause = max(pause, minHoldInterval-time.Since(begin))
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// holdOnce makes one hold call and returns the pause before the next one.
func (p *Pool) holdOnce(ctx context.Context, n *node) time.Duration {
	p.mu.Lock()
	hold := p.nextHold(n)
	unstored := n.processedEnd > n.ackCursor
	p.mu.Unlock()

	sent := cell.BootTime()
	callCtx, cancel := context.WithTimeout(ctx, hold.Wait+holdReplyTimeout)
	reply, err := n.client.Hold(callCtx, hold)
	timedOut := callCtx.Err() != nil
	cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	if ctx.Err() != nil {
		return 0
	}
	if errors.Is(err, httpcall.ErrConnChanged) {
		p.log.V(1).Info("connection to a worker changed", "worker", n.entry.ID)
		n.connectionChanged = true
		return 0
	}
	if err != nil {
		if !n.unresponsive {
			n.firstFailureTimedOut = timedOut
		}
		p.handleHoldError(n, err)
		return holdRetryDelay
	}
	n.connectionChanged = false
	if n.unresponsive {
		p.log.Info("worker replies", "worker", n.entry.ID, "runs", len(n.runs))
	}
	n.unresponsive = false
	p.applyHoldReply(n, reply, sent)
	p.requestPass()
	if unstored && n.processedEnd > n.ackCursor {
		return unstoredEndsPause
	}
	return 0
}

// nextHold returns the parameters of the next call to a worker.
func (p *Pool) nextHold(n *node) cell.HoldRequest {
	hold := cell.HoldRequest{Fence: p.term.Epoch, AckCursor: n.ackCursor, Wait: holdWait}
	switch {
	case !n.hasReplied:
		// The worker's clock is not known yet.
		hold.Wait = 0
	case n.unresponsive, n.connectionChanged:
		// While the worker does not reply, its lease is not extended, so that
		// it expires at a known time. It may have restarted, and its ended runs
		// are then numbered anew: the old cursor would acknowledge unseen ones.
		hold.Wait, hold.AckCursor = 0, 0
	case n.leasesWithheld:
		hold.Wait = holdWaitWithheld
	case p.term.MayExtendLeases():
		hold.LeaseUntilMS = n.extendLease(p.leaseDuration())
	}
	if n.processedEnd > n.ackCursor {
		// Ended runs still have to be acknowledged, so the call must not wait.
		hold.Wait = 0
	}
	if time.Since(n.lastHoldFailure) < lossWindow || n.probes > 0 {
		hold.Wait = min(hold.Wait, holdWaitAfterLoss)
	}
	// A worker that restarts within the time between two calls is noticed by its
	// connection only.
	hold.SameConnection = hold.AckCursor > 0 || hold.LeaseUntilMS > 0
	return hold
}

// handleHoldError records that a worker did not reply, and handles a rejection.
func (p *Pool) handleHoldError(n *node, err error) {
	if !n.unresponsive {
		p.log.Info("worker does not reply", "worker", n.entry.ID, "error", err.Error(), "runs", len(n.runs))
		n.failingSince = time.Now()
	}
	n.unresponsive, n.refusesConnections = true, errors.Is(err, httpcall.ErrConnRefused)
	n.lastHoldFailure = time.Now()
	var rejected *cell.RejectedError
	if !errors.As(err, &rejected) {
		return
	}
	switch rejected.Reason {
	case cell.RejectedFence:
		p.log.Info("fenced at a worker", "worker", n.entry.ID, "epoch", p.term.Epoch)
		p.term.End()
	case cell.RejectedWorkerID:
		// Another worker has the address, so this one no longer exists.
		p.endIncarnation(n)
	}
}

// applyHoldReply applies a worker's reply to a hold call that was sent when the
// boot clock read sent.
func (p *Pool) applyHoldReply(n *node, h *cell.HoldReply, sent time.Duration) {
	if h.Incarnation != 0 && n.entry.Incarnation != 0 && h.Incarnation != n.entry.Incarnation {
		if h.Incarnation < n.entry.Incarnation {
			return // a reply from an earlier incarnation
		}
		p.restartIncarnation(n)
	}
	if h.Incarnation != 0 {
		n.entry.Incarnation = h.Incarnation
	}
	p.settlePresumedEnd(n.entry.ID, n.entry.Incarnation)
	p.resumeLeases(n)
	n.clockMS, n.clockAt, n.repliedAt, n.endNoted = h.ClockMS, cell.BootTime(), time.Now(), false
	if !n.hasReplied {
		n.hasReplied, n.firstRepliedAt = true, n.repliedAt
		// Predecessors may have extended the lease up to this time, and by the
		// longest one if the process was not the one that they knew. They cannot
		// extend it further, since the worker has seen this term's epoch, a
		// higher fencing token.
		longest := p.opts.MaxLease
		if p.noteFirstReply(n, h.Incarnation) {
			longest = workerTime(p.leaseDuration())
		}
		n.firstLeaseUntilMS = h.ClockMS + longest.Milliseconds()
		n.leaseUntilMS = max(n.leaseUntilMS, n.firstLeaseUntilMS)
		p.boundLateStarts(n)
	}
	listed := make(map[string]bool, len(h.Running))
	now := time.Now()
	for _, running := range h.Running {
		listed[runKey(running.Task, running.Run)] = true
		p.applyRunning(n, running, now)
	}
	last := n.processedEnd
	for _, end := range h.Ended {
		if end.Sequence <= n.processedEnd {
			continue
		}
		last = max(last, end.Sequence)
		listed[runKey(end.Task, end.Run)] = true
		p.applyEnd(n, end, now)
	}
	if len(h.Ended) < maxListedEnds {
		p.releaseUnlisted(n, listed, sent)
	}
	if last > n.processedEnd {
		n.processedEnd = last
		incarnation := n.entry.Incarnation
		// A request without records is done once all earlier ones are stored,
		// so the ended runs are acknowledged only after their records.
		p.storeRecords(nil, func(err error) {
			if err == nil && n.entry.Incarnation == incarnation {
				n.ackCursor = max(n.ackCursor, last)
			}
		})
	}
	p.settleProcess(n)
	p.adjustPaces(n, now)
}

// applyRunning applies one entry of a worker's list of running tasks.
func (p *Pool) applyRunning(n *node, running cell.RunningTask, now time.Time) {
	r := n.runs[runKey(running.Task, running.Run)]
	if r == nil {
		t, err := p.findTask(running.Task)
		if err != nil || t == nil {
			p.taskLog.Info("worker runs an unknown task", "worker", n.entry.ID, "task", running.Task, "run", running.Run)
			go p.stopUnknown(n, running.Task, running.Run)
			return
		}
		// A predecessor sent this start request and later abandoned the run.
		r = n.addRun(t, running.Run, runActive)
		p.stopRun(r, "not_current")
	}
	if r.state == runStartSent || r.state == runInherited {
		p.markActive(r, now)
	}
	r.listed, r.processEnd = true, nil
	if running.Checkpoint != "" && p.canStoreCheckpoint(running.Checkpoint) {
		r.checkpoint = running.Checkpoint
	}
	if running.Percent != r.percent || r.percentChangedAt.IsZero() {
		r.percent, r.percentChangedAt = running.Percent, now
	}
	r.reportedLoad = running.Load
	p.updateSuspicion(r, now)
	p.stopUnwanted(r)
}

// markActive records that the worker runs r.
func (p *Pool) markActive(r *run, now time.Time) {
	r.state, r.acknowledgedAt = runActive, cell.BootTime()
	r.noteStart(now)
	if !r.begun {
		r.begun = true
		if r.task.step.spec.Gang {
			r.task.step.noteMemberBegan(r.number)
		}
		if r.probe && r.task.currentRun == r && r.task.step.job.final == "" {
			// A new scheduler has to know that a crash counts.
			p.storeTask(r.task)
		}
	}
	p.noteStarted(r, now)
}

// noteStarted records that a worker has begun r.
func (p *Pool) noteStarted(r *run, now time.Time) {
	r.task.started = true
	j := r.task.step.job
	if j.started {
		return
	}
	j.started = true
	p.log.Info("job started", "job", j.id, "queue", j.queue.Name, "waited_ms", now.Sub(j.dueAt(0)).Milliseconds(), "inherited", r.storedAt.IsZero())
}

// applyEnd processes the end of a run and stores the resulting changes.
func (p *Pool) applyEnd(n *node, end cell.EndedTask, now time.Time) {
	r := n.runs[runKey(end.Task, end.Run)]
	if r == nil {
		p.applyLateEnd(n, end)
		return
	}
	n.removeRun(r)
	r.noteEnd(end.Kind == cell.EndFailed, now)
	p.noteStarted(r, now)
	t := r.task
	if !p.detachRun(r, end.Kind, now) {
		p.applyLateEnd(n, end)
		return
	}
	if end.Kind == cell.EndDone || end.Kind == cell.EndFailed {
		t.suspect = false
	}
	if end.Checkpoint != "" && p.canStoreCheckpoint(end.Checkpoint) {
		t.checkpoint = end.Checkpoint
	} else if r.checkpoint != "" {
		t.checkpoint = r.checkpoint
	}
	p.taskLog.Info("task ended", "job", t.step.job.id, "task", end.Task, "run", end.Run, "worker", n.entry.ID, "how", string(end.Kind), "number", end.Sequence, "stop_reason", r.stopReason)
	p.incrementMetric("tasks.ended." + string(end.Kind))
	p.event("task_ended", t.step.job.id, end.Task, n.entry.ID, string(end.Kind))
	switch end.Kind {
	case cell.EndDone:
		p.stopLoser(t, r, now)
		if !t.step.spec.LongRunning {
			for _, m := range t.step.markDone(t) {
				if m != t {
					p.storeTask(m)
				}
			}
			p.observeIfDone(t.step)
		}
		n.health.succeeded()
		p.recordRunTime(r, now)
	case cell.EndFailed:
		p.countFailure(t, r, n, now)
	}
	if t.step.spec.Gang {
		p.shareCheckpoint(t.step)
		p.stopIncompleteGang(r, "ended_"+string(end.Kind))
	}
	if t.step.job.final == "" {
		// This must precede the records of a job that ends now, which replace
		// it.
		p.storeTask(t)
	}
	p.endIfFinished(t.step.job)
}

// countFailure records a failed run for the task, the gang and the worker.
func (p *Pool) countFailure(t *task, r *run, n *node, now time.Time) {
	t.countFailure(r.number, n)
	n.health.failed(now)
}

// releaseUnlisted releases the runs that a worker's complete list does not
// contain.
func (p *Pool) releaseUnlisted(n *node, listed map[string]bool, sent time.Duration) {
	for key, r := range n.runs {
		if listed[key] {
			continue
		}
		switch r.state {
		case runInherited:
			// The worker has seen this term's epoch, which is the fencing
			// token, so a predecessor's start request that has not been carried
			// out never will be.
			p.release(r, "never_started")
		case runActive, runStopAccepted:
			if r.acknowledgedAt >= sent {
				continue
			}
			if r.state == runActive && r.mayStartLate(time.Now()) {
				r.state = runStartSent
				p.abandonStart(r, "not_listed")
				continue
			}
			p.release(r, "not_listed")
		}
	}
}

// release removes a run that is certainly not on its worker and never will be,
// and frees its capacity. details are further fields of its log line.
func (p *Pool) release(r *run, reason string, details ...any) {
	t := r.task
	r.node.removeRun(r)
	if !p.detachRun(r, "", time.Now()) {
		return
	}
	if r.checkpoint != "" {
		t.checkpoint = r.checkpoint
	}
	fields := []any{"job", t.step.job.id, "task", t.name(), "run", r.number, "worker", r.node.entry.ID, "reason", reason}
	p.taskLog.Info("run released", append(fields, details...)...)
	p.incrementMetric("tasks.released." + reason)
	p.event("run_released", t.step.job.id, t.name(), r.node.entry.ID, reason)
	switch {
	case r.processEnd == nil:
	case r.processEnd.presumed:
		r.suspectTask()
	default:
		p.countCrash(r)
	}
	if t.step.spec.Gang {
		p.shareCheckpoint(t.step)
		p.stopIncompleteGang(r, reason)
	}
	p.endIfFinished(t.step.job)
	p.requestPass()
}
