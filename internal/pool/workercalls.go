package pool

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/httpcall"
	"github.com/laburnumpass/laburnumpass/internal/lead"
)

const (
	// workerCallTimeout bounds one call to a worker. Workers reply in
	// milliseconds, and regions are 16 ms apart.
	workerCallTimeout = 500 * time.Millisecond
	// firstStartTimeout bounds the first attempt to start a run. Each later
	// attempt gets twice the time of the one before, up to workerCallTimeout.
	// Jobs of short tasks cannot wait longer: with 7% of the requests lost,
	// every second job of nine tasks loses at least one.
	firstStartTimeout = 130 * time.Millisecond
	// workerCallRetryDelay is the pause before a request is repeated.
	workerCallRetryDelay = 30 * time.Millisecond
	// maxStartAttempts is the number of attempts to send the start request of a
	// run. If none gets a reply, stop requests for the run are sent instead.
	// Repeating a start request is harmless, since a process of a worker starts a run once.
	maxStartAttempts = 3
	// maxStartTime is how long after the first attempt an attempt may begin. The last one
	// begins after 0.5 s unless this process stands still, and it may then miss that the
	// worker has restarted.
	maxStartTime = 2 * time.Second
)

// startRun sends start requests for a stored run until the outcome is known.
func (p *Pool) startRun(r *run) {
	for attempt := 0; ; time.Sleep(workerCallRetryDelay) {
		p.mu.Lock()
		if r.state != runPlanned && r.state != runStartSent || !p.holdsCapacity(r) {
			p.mu.Unlock()
			return // the worker's list has settled the outcome
		}
		n := r.node
		barred := p.startBarred(r)
		if r.state == runPlanned && (barred || r.ticket.expired(time.Now()) || !n.usable(time.Now()) || n.overCapacity()) {
			p.release(r, "not_sent")
			p.mu.Unlock()
			return
		}
		late := attempt > 0 && time.Since(r.startSentAt) > maxStartTime
		if barred || late || n.entry.Draining || !n.listed || attempt >= r.maxStartAttempts() {
			p.abandonStart(r, "start_given_up")
			p.mu.Unlock()
			return
		}
		r.state = runStartSent
		if r.startSentAt.IsZero() {
			r.startSentAt = time.Now()
		}
		n.lastStartAt = cell.BootTime()
		minClockMS := n.minClockMS()
		request := cell.StartRequest{
			Task: r.task.name(), Run: r.number, Payload: r.task.step.job.spec.Payload,
			LeaseUntilMS: p.startLease(r), Fence: p.term.Epoch,
			Checkpoint: r.checkpoint, Ticket: r.ticket.text,
		}
		client := n.client
		p.mu.Unlock()

		ctx, cancel := context.WithTimeout(p.ctx, min(firstStartTimeout<<attempt, workerCallTimeout))
		clockMS, err := client.Start(ctx, request)
		cancel()
		if err == nil {
			p.confirmProcess(r, clockMS, minClockMS)
		}
		if p.handleStartReply(r, err) {
			return
		}
		attempt++
	}
}

// startBarred reports whether no start request for r may be sent any more. The caller must
// hold p.mu.
func (p *Pool) startBarred(r *run) bool {
	n := r.node
	switch {
	case !r.task.wants(r), !r.task.step.job.active(), r.stopping:
		return true
	case n.entry.Address != r.address:
		// A successor takes the run for over if another worker has the stored address.
		return true
	case n.leasesWithheld:
		return true
	case n.entry.Incarnation != r.incarnation:
		// A successor may have released the run. Its fencing token, which rejects the
		// start then, is not known to a process that has started since.
		return true
	}
	return p.ctx.Err() != nil || !p.mayStart()
}

// holdsCapacity reports whether r still holds capacity on its worker.
func (p *Pool) holdsCapacity(r *run) bool {
	return r.node.runs[runKey(r.task.name(), r.number)] == r
}

// handleStartReply processes the reply to a start request. It returns false if
// the request has to be repeated.
func (p *Pool) handleStartReply(r *run, err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, t := r.node, r.task
	if !p.holdsCapacity(r) {
		return true
	}
	if err == nil {
		if r.state == runStartSent {
			p.markActive(r, time.Now())
			p.taskLog.Info("task started", "job", t.step.job.id, "task", t.name(), "run", r.number, "worker", n.entry.ID, "took_ms", time.Since(r.startSentAt).Milliseconds())
			p.incrementMetric("tasks.started")
			p.event("task_started", t.step.job.id, t.name(), n.entry.ID, "")
		}
		p.stopUnwanted(r)
		return true
	}
	var rejected *cell.RejectedError
	if !errors.As(err, &rejected) {
		if errors.Is(err, httpcall.ErrNotSent) {
			p.log.V(1).Info("start request not sent", "task", t.name(), "run", r.number, "worker", n.entry.ID, "error", err.Error())
			if !r.maybeDelivered && p.ctx.Err() == nil {
				n.pausedUntil = time.Now().Add(refusalPause)
				p.release(r, "not_sent")
				return true
			}
		} else {
			r.maybeDelivered, r.unansweredAt = true, time.Now()
			p.noteUnansweredStart(r)
			p.taskLog.Info("start request not answered", "job", t.step.job.id, "task", t.name(), "run", r.number, "worker", n.entry.ID, "error", err.Error())
			p.incrementMetric("tasks.starts_unanswered")
		}
		return false
	}
	p.taskLog.Info("start rejected", "job", t.step.job.id, "task", t.name(), "run", r.number, "worker", n.entry.ID, "reason", string(rejected.Reason))
	p.incrementMetric("tasks.rejected." + string(rejected.Reason))
	switch rejected.Reason {
	case cell.RejectedFence:
		p.term.End()
		return true
	case cell.RejectedStaleRun:
		// The run has ended or was stopped there; the worker's list will show
		// it.
		r.state, r.acknowledgedAt, r.rejectedAsStale = runStopAccepted, cell.BootTime(), true
		return true
	case cell.RejectedWorkerID:
		if !r.maybeDelivered {
			// Its process never got the request, so the run cannot have ended it.
			p.release(r, "not_sent")
		}
		if n.entry.Address == r.address {
			p.endIncarnation(n)
		} else {
			p.release(r, "address_reused") // the worker has moved since
		}
		return true
	case cell.RejectedTicket:
		delete(t.step.advice.tickets, n.entry.ID)
	case cell.RejectedCapacity, cell.RejectedUnhealthy, cell.RejectedInvalid:
		n.pausedUntil = time.Now().Add(refusalPause)
	}
	reason := "rejected_" + string(rejected.Reason)
	if r.maybeDelivered {
		// An earlier attempt without a reply may still be carried out.
		p.abandonStart(r, reason)
		return true
	}
	p.release(r, reason)
	return true
}

// abandonStart stops a run whose start is not repeated although it may have been or may
// still be carried out: a worker rejects a start that arrives after a stop. The caller
// must hold p.mu.
func (p *Pool) abandonStart(r *run, reason string) {
	r.node.markStopping(r)
	if r.stopReason == "" {
		r.stopReason = reason
	}
	p.stopIncompleteGang(r, reason)
	go p.sendStopRequests(r)
}

// stopRun stops a run that may be on its worker. The caller must hold p.mu.
func (p *Pool) stopRun(r *run, reason string) {
	if r.state == runPlanned || r.state == runStopAccepted {
		return
	}
	if !r.stopping {
		r.node.markStopping(r)
		r.stopping, r.stopReason = true, reason
		p.noteStop(r, reason)
	}
	if r.state == runStartSent {
		return // startRun sends stop requests, or the reply to its request triggers them
	}
	go p.sendStopRequests(r)
}

// stopUnwanted stops a run that is known to be on its worker if it is no longer
// wanted, or if a stop was requested before the worker could be asked. The
// caller must hold p.mu.
func (p *Pool) stopUnwanted(r *run) {
	if r.stopping || !r.task.wants(r) || !r.task.step.job.active() {
		p.stopRun(r, "not_wanted")
	}
}

// sendStopRequests sends stop requests for r until the worker accepts one or
// the run is known to have ended.
func (p *Pool) sendStopRequests(r *run) {
	p.mu.Lock()
	if r.sendingStop {
		p.mu.Unlock()
		return
	}
	r.sendingStop = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		r.sendingStop = false
	}()
	for ; ; time.Sleep(workerCallRetryDelay) {
		p.mu.Lock()
		if !p.holdsCapacity(r) || r.state == runStopAccepted || p.ctx.Err() != nil {
			p.mu.Unlock()
			return
		}
		if p.term.ConfirmationAge() > lead.MaxConfirmationAge {
			// If the term goes on, a run without a reply needs the stop to be released.
			p.mu.Unlock()
			continue
		}
		r.node.markStopping(r)
		n, name := r.node, r.task.name()
		client, incarnation := n.client, n.entry.Incarnation
		p.mu.Unlock()
		if client == nil {
			return // no registry entry: its lease expires, or a later list triggers the stop again
		}
		ctx, cancel := context.WithTimeout(p.ctx, workerCallTimeout)
		_, err := client.Stop(ctx, name, r.number, p.term.Epoch)
		cancel()
		p.mu.Lock()
		var rejected *cell.RejectedError
		switch {
		case err == nil && n.entry.Incarnation != incarnation && r.mayStartLate(time.Now()):
			// The process that accepted it may have ended.
		case err == nil:
			r.state, r.acknowledgedAt = runStopAccepted, cell.BootTime()
			p.taskLog.Info("stop accepted", "task", name, "run", r.number, "worker", n.entry.ID, "reason", r.stopReason)
			p.mu.Unlock()
			return
		case errors.As(err, &rejected) && rejected.Reason == cell.RejectedFence:
			p.term.End()
			p.mu.Unlock()
			return
		case errors.As(err, &rejected) && rejected.Reason == cell.RejectedWorkerID:
			if n.client == client { // else the worker has moved since
				p.endIncarnation(n)
			}
		default:
			p.log.V(1).Info("stop request failed", "task", name, "run", r.number, "worker", n.entry.ID, "error", err.Error())
		}
		p.mu.Unlock()
	}
}

// stopUnknown makes one attempt to stop a run of an unknown job. The worker's
// next list triggers another one.
func (p *Pool) stopUnknown(n *node, task string, number int) {
	ctx, cancel := context.WithTimeout(p.ctx, workerCallTimeout)
	defer cancel()
	if _, err := n.client.Stop(ctx, task, number, p.term.Epoch); err != nil {
		p.log.V(1).Info("stop request failed", "task", task, "run", number, "worker", n.entry.ID, "error", err.Error())
	}
}
