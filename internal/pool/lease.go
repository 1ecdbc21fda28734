package pool

import (
	"time"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/lead"
)

// A lease ends on the clock of the process that the request was meant for. A process that
// has restarted under the worker's ID counts time from anew, so a start request that
// reaches it instead gives it the longest lease that workers grant.

// minStartConfirmationAge is the least that maxStartConfirmationAge returns, so that a
// scheduler can start tasks although two renewals in a row have failed.
const minStartConfirmationAge = 2 * time.Second

// workerTime returns how long d on a worker's clock may last.
func workerTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + maxClockDrift))
}

// longestLease returns how long a lease that was requested in the past can still be in
// force, whatever process granted it.
func (p *Pool) longestLease() time.Duration {
	return workerTime(p.opts.MaxLease) + leaseExpirySlack
}

// maxStartConfirmationAge returns how long after its last confirmed renewal a scheduler
// may send start requests. The longest lease that one may bring about ends no later than
// the leases that hold calls extend for lead.MaxConfirmationAge.
func (p *Pool) maxStartConfirmationAge() time.Duration {
	return max(lead.MaxConfirmationAge-workerTime(p.opts.MaxLease-p.leaseDuration()), minStartConfirmationAge)
}

// mayStart reports whether this scheduler may send start requests now.
func (p *Pool) mayStart() bool {
	return p.term.MayExtendLeases() && p.term.ConfirmationAge() <= p.maxStartConfirmationAge()
}

// runLeaseEnd returns the reading of the boot clock by which r has certainly ended if no
// lease of its worker is extended.
func (p *Pool) runLeaseEnd(r *run) time.Duration {
	n := r.node
	if !n.hasReplied {
		return p.unrepliedLeaseEnds(n).end(r.settled)
	}
	end := n.repliedLeaseEnd()
	if r.processUnknown() {
		end = max(end, n.lastStartAt+p.longestLease())
	}
	return max(end, n.lateStartLeaseEnd)
}

// repliedLeaseEnd returns the reading of the boot clock by which the lease has expired that
// the process which has replied may have.
func (n *node) repliedLeaseEnd() time.Duration {
	left := milliseconds(n.leaseUntilMS-n.clockMS) + leaseExpirySlack
	return n.clockAt + time.Duration(float64(left)/(1-maxClockDrift))
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// runExpired reports whether r has ended because every lease that it may have has expired.
func (p *Pool) runExpired(r *run) bool { return cell.BootTime() > p.runLeaseEnd(r) }

// processUnknown reports whether r may be on another process than the one that has last
// replied.
func (r *run) processUnknown() bool {
	return r.node.hasReplied && !r.listed && !r.processConfirmed && r.node.lastStartAt != 0
}

// leaseDetails returns log fields that tell on which bound the release of r rests.
func (p *Pool) leaseDetails(r *run) []any {
	n := r.node
	bound := "requested_lease"
	switch {
	case !n.hasReplied && n.restartLeaseEnd > 0 && p.runLeaseEnd(r) == n.restartLeaseEnd:
		bound = "restart"
	case !n.hasReplied && n.inheritedLeases != nil && p.runLeaseEnd(r) < p.predecessorLeases.end(r.settled):
		bound = "record"
	case !n.hasReplied:
		bound = "predecessors"
	case p.runLeaseEnd(r) == n.lateStartLeaseEnd:
		bound = "late_start"
	case r.processUnknown():
		bound = "last_start"
	case n.leaseUntilMS == n.firstLeaseUntilMS:
		bound = "first_reply"
	}
	details := []any{"bound", bound, "settled", r.settled, "process_settled", n.isSettled()}
	if bound == "predecessors" {
		if last, found := p.lastActing(); found {
			details = append(details, "predecessor", last.Host, "its_epoch", last.Epoch, "stopped", last.StoppedAt != lead.NotStopped, "acts_for_ms", max(last.ActsUntil(lead.MaxConfirmationAge)-cell.BootTime(), 0).Milliseconds())
		}
	}
	if !n.repliedAt.IsZero() {
		details = append(details, "last_reply_ms", time.Since(n.repliedAt).Milliseconds())
	}
	if n.lastStartAt != 0 {
		details = append(details, "last_start_ms", (cell.BootTime() - n.lastStartAt).Milliseconds())
	}
	return details
}

// leaseRemaining returns how long r may still run on its worker if no lease is extended, 0
// if it has ended.
func (p *Pool) leaseRemaining(r *run) time.Duration {
	return max(p.runLeaseEnd(r)-cell.BootTime(), 0)
}

// logLeaseWait logs once for each silence of a worker which bound its runs wait for. The
// caller must hold p.mu.
func (p *Pool) logLeaseWait(n *node) {
	if n.leaseWaitLogged || len(n.runs) == 0 {
		return
	}
	n.leaseWaitLogged = true
	var last *run
	for _, r := range n.runs {
		if r.state != runPlanned && (last == nil || p.leaseRemaining(r) > p.leaseRemaining(last)) {
			last = r
		}
	}
	if last == nil {
		return
	}
	fields := []any{"worker", n.entry.ID, "runs", len(n.runs), "remaining_ms", p.leaseRemaining(last).Milliseconds(), "refused", n.refusesConnections}
	p.log.Info("runs wait for a lease", append(fields, p.leaseDetails(last)...)...)
	p.incrementMetric("workers.lease_waits")
}

// confirmProcess notes that the process that the scheduler knows has carried out a start
// request of r. A reply proves that if its clock has reached minClockMS, the least that
// this process showed when the request was sent: a process that has started since is
// behind.
func (p *Pool) confirmProcess(r *run, clockMS, minClockMS int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.processConfirmed = clockMS >= minClockMS
	p.settleRun(r)
}
