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
	// orderTimeout bounds one order; workers answer in milliseconds, and regions
	// are 16 ms apart.
	orderTimeout = 500 * time.Millisecond
	// firstTimeout bounds the first try of a start, and each later one twice the
	// time of the one before, up to orderTimeout. Short tasks bear no more: with 7%
	// of the orders lost, every second job of nine tasks loses one.
	firstTimeout = 130 * time.Millisecond
	// orderRetry is the pause before an order is repeated.
	orderRetry = 30 * time.Millisecond
	// startTries is how often a start without an answer is repeated before it is
	// revoked instead: a repeat is harmless, since a worker starts a run once.
	startTries = 3
)

// start orders a stored run until its outcome is known.
func (p *Pool) start(r *run) {
	for try := 0; ; try++ {
		p.mu.Lock()
		if r.state != runPlanned && r.state != runOrdered || !p.present(r) {
			p.mu.Unlock()
			return // a list of the worker has told
		}
		n := r.node
		neverSent := r.state == runPlanned
		wanted := r.task.current == r && r.task.step.job.live() && !r.stopping
		if neverSent && (!wanted || r.ticket.expired(time.Now()) || !n.usable(time.Now()) || p.ctx.Err() != nil || p.term.ConfirmationAge() > lead.MaxConfirmationAge) {
			p.release(r, "not_sent")
			p.mu.Unlock()
			return
		}
		if !wanted || n.entry.Draining || !n.listed || try >= startTries || p.ctx.Err() != nil {
			p.mu.Unlock()
			p.revoke(r)
			return
		}
		r.state = runOrdered
		if r.orderedAt.IsZero() {
			r.orderedAt = time.Now()
		}
		order := cell.StartRequest{
			Task: r.task.name(), Run: r.number, Payload: r.task.step.job.spec.Payload,
			LeaseUntilMS: n.extend(p.leaseTerm()), Fence: p.term.Epoch,
			Checkpoint: r.checkpoint, Ticket: r.ticket.text,
		}
		client := n.client
		p.mu.Unlock()

		ctx, cancel := context.WithTimeout(p.ctx, min(firstTimeout<<try, orderTimeout))
		_, err := client.Start(ctx, order)
		cancel()
		if p.settle(r, err) {
			return
		}
		time.Sleep(orderRetry)
	}
}

// present tells whether r still holds capacity of its worker.
func (p *Pool) present(r *run) bool {
	return r.node.runs[runKey(r.task.name(), r.number)] == r
}

// settle applies the answer to a start. It returns false if the start is to be
// repeated.
func (p *Pool) settle(r *run, err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, t := r.node, r.task
	if !p.present(r) {
		return true
	}
	if err == nil {
		if r.state == runOrdered {
			p.activate(r, time.Now())
			p.log.Info("task started", "job", t.step.job.id, "task", t.name(), "run", r.number, "worker", n.entry.ID, "took_ms", time.Since(r.orderedAt).Milliseconds())
			p.count("tasks.started")
			p.event("task_started", t.step.job.id, t.name(), n.entry.ID, "")
		}
		p.stopUnwanted(r)
		return true
	}
	var rejected *cell.RejectedError
	if !errors.As(err, &rejected) {
		if errors.Is(err, httpcall.ErrNotSent) {
			p.log.V(1).Info("start not sent", "task", t.name(), "run", r.number, "worker", n.entry.ID, "error", err.Error())
			if !r.maybeSent && p.ctx.Err() == nil {
				n.pausedUntil = time.Now().Add(unhealthyPause)
				p.release(r, "not_sent")
				return true
			}
		} else {
			r.maybeSent = true
			p.log.Info("start without an answer", "job", t.step.job.id, "task", t.name(), "run", r.number, "worker", n.entry.ID, "error", err.Error())
			p.count("tasks.starts_unanswered")
		}
		return false
	}
	p.log.Info("start rejected", "job", t.step.job.id, "task", t.name(), "run", r.number, "worker", n.entry.ID, "reason", string(rejected.Reason))
	p.count("tasks.rejected." + string(rejected.Reason))
	switch rejected.Reason {
	case cell.RejectedFence:
		p.term.End()
		return true
	case cell.RejectedStaleRun:
		// It has ended or was stopped there; the list tells.
		r.state, r.settledAt = runRevoked, cell.BootTime()
		return true
	case cell.RejectedIncarnation:
		p.endIncarnation(n, "address_reused")
		return true
	case cell.RejectedTicket:
		delete(t.step.advice.tickets, n.entry.ID)
	case cell.RejectedCapacity, cell.RejectedUnhealthy, cell.RejectedInvalid:
		n.pausedUntil = time.Now().Add(unhealthyPause)
	}
	p.release(r, "rejected_"+string(rejected.Reason))
	return true
}

// stop ends a run that the worker may be running. It needs p.mu.
func (p *Pool) stop(r *run, reason string) {
	if r.state == runPlanned || r.state == runRevoked {
		return
	}
	if !r.stopping {
		r.node.markStopping(r)
		r.stopping, r.stopReason = true, reason
	}
	if r.state == runOrdered {
		return // start revokes it, or its answer leads here again
	}
	go p.revoke(r)
}

// stopUnwanted stops a run that is known to be on its worker, if it is not
// wanted or was to be stopped before the worker could be asked to. It needs
// p.mu.
func (p *Pool) stopUnwanted(r *run) {
	if r.stopping || r.task.current != r || !r.task.step.job.live() {
		p.stop(r, "not_wanted")
	}
}

// revoke orders the end of r until the worker has accepted that, or the run is
// known to have ended.
func (p *Pool) revoke(r *run) {
	p.mu.Lock()
	if r.revoking {
		p.mu.Unlock()
		return
	}
	r.revoking = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		r.revoking = false
	}()
	for {
		p.mu.Lock()
		if !p.present(r) || r.state == runRevoked || p.ctx.Err() != nil || p.term.ConfirmationAge() > lead.MaxConfirmationAge {
			p.mu.Unlock()
			return
		}
		r.node.markStopping(r)
		n, name := r.node, r.task.name()
		client := n.client
		p.mu.Unlock()
		if client == nil {
			return // the worker has no entry: its lease runs out, or its list leads here again
		}
		ctx, cancel := context.WithTimeout(p.ctx, orderTimeout)
		_, err := client.Stop(ctx, name, r.number, p.term.Epoch)
		cancel()
		p.mu.Lock()
		var rejected *cell.RejectedError
		switch {
		case err == nil:
			r.state, r.settledAt = runRevoked, cell.BootTime()
			p.log.Info("run stopped", "task", name, "run", r.number, "worker", n.entry.ID, "reason", r.stopReason)
			p.mu.Unlock()
			return
		case errors.As(err, &rejected) && rejected.Reason == cell.RejectedFence:
			p.term.End()
			p.mu.Unlock()
			return
		case errors.As(err, &rejected) && rejected.Reason == cell.RejectedIncarnation:
			p.endIncarnation(n, "address_reused")
		default:
			p.log.V(1).Info("stop failed", "task", name, "run", r.number, "worker", n.entry.ID, "error", err.Error())
		}
		p.mu.Unlock()
		time.Sleep(orderRetry)
	}
}

// stopUnknown stops a run of a job that is not known, once for each listing.
func (p *Pool) stopUnknown(n *node, task string, number int) {
	ctx, cancel := context.WithTimeout(p.ctx, orderTimeout)
	defer cancel()
	if _, err := n.client.Stop(ctx, task, number, p.term.Epoch); err != nil {
		p.log.V(1).Info("stop failed", "task", task, "run", number, "worker", n.entry.ID, "error", err.Error())
	}
}
