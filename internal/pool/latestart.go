package pool

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/lead"
)

// The process of a worker that starts again under its ID has seen no stop, no end and no
// fencing token. It may execute a start request without a reply that was sent to an earlier
// process, although the run has ended or was released since. So the runs of such requests
// are stopped at each new process.

// unansweredStart is a start request of a run without a reply.
type unansweredStart struct {
	task   string
	number int
	at     time.Time
}

func (u unansweredStart) expired() bool { return time.Since(u.at) >= lateRequestWindow }

// noteUnansweredStart records that a start request of r was not answered. The caller must
// hold p.mu.
func (p *Pool) noteUnansweredStart(r *run) {
	worker := r.node.entry.ID
	name := r.task.name()
	starts := slices.DeleteFunc(p.unansweredStarts[worker], func(u unansweredStart) bool {
		return u.task == name && u.number == r.number
	})
	p.unansweredStarts[worker] = append(starts, unansweredStart{task: name, number: r.number, at: r.unansweredAt})
	p.boundLateStarts(r.node)
}

// lateStartRemaining returns how long a start request that was meant for an earlier process
// of the worker may still be executed, 0 if there is none.
func (p *Pool) lateStartRemaining(n *node) (remaining time.Duration) {
	for _, u := range p.unansweredStarts[n.entry.ID] {
		if u.at.Before(n.firstRepliedAt.Add(workerCallTimeout)) {
			remaining = max(remaining, lateRequestWindow-time.Since(u.at))
		}
	}
	return remaining
}

// boundLateStarts makes the wait for the worker's leases last until those have expired that
// a late start request may bring to its present process.
func (p *Pool) boundLateStarts(n *node) {
	if remaining := p.lateStartRemaining(n); n.hasReplied && remaining > 0 {
		n.lateStartLeaseEnd = max(n.lateStartLeaseEnd, cell.BootTime()+remaining+p.longestLease())
	}
}

// forgetUnansweredStarts drops the start requests that are too old to be executed. The
// caller must hold p.mu.
func (p *Pool) forgetUnansweredStarts() {
	for worker, starts := range p.unansweredStarts {
		starts = slices.DeleteFunc(starts, unansweredStart.expired)
		if len(starts) == 0 {
			delete(p.unansweredStarts, worker)
			continue
		}
		p.unansweredStarts[worker] = starts
	}
}

// stopUnansweredStarts stops the runs of start requests without a reply at a new process of
// a worker. Runs that are kept are left to releaseUnlisted. The caller must hold p.mu.
func (p *Pool) stopUnansweredStarts(n *node) {
	for _, u := range p.unansweredStarts[n.entry.ID] {
		if n.runs[runKey(u.task, u.number)] == nil && !u.expired() {
			go p.stopUnansweredStart(n, u)
		}
	}
}

// stopUnansweredStart sends stop requests until the worker replies to one or the start
// request cannot be executed any more.
func (p *Pool) stopUnansweredStart(n *node, u unansweredStart) {
	for ; !u.expired() && p.ctx.Err() == nil; time.Sleep(workerCallRetryDelay) {
		if p.term.ConfirmationAge() > lead.MaxConfirmationAge {
			continue
		}
		p.mu.Lock()
		client, removed := n.client, p.nodes[n.entry.ID] != n
		p.mu.Unlock()
		if client == nil || removed {
			return
		}
		ctx, cancel := context.WithTimeout(p.ctx, workerCallTimeout)
		_, err := client.Stop(ctx, u.task, u.number, p.term.Epoch)
		cancel()
		var rejected *cell.RejectedError
		if err == nil || errors.As(err, &rejected) && rejected.Reason != cell.RejectedUnhealthy {
			p.log.V(1).Info("unanswered start stopped", "worker", n.entry.ID, "task", u.task, "run", u.number, "accepted", err == nil)
			return
		}
	}
}
