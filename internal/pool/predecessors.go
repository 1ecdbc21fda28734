package pool

import (
	"time"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/lead"
)

// NoteHost takes what a host reports about itself as evidence about predecessors.
func (p *Pool) NoteHost(r lead.HostReport) {
	for _, stopped := range p.term.NoteHost(r) {
		p.log.Info("predecessor has stopped", "predecessor", stopped.Host, "its_epoch", stopped.Epoch, "restarted", stopped.Incarnation != r.Incarnation, "stopped_ms", (cell.BootTime() - stopped.StoppedAt).Milliseconds())
		p.incrementMetric("predecessors.stopped")
	}
}

// leaseEnds tells when the leases of a worker that has not replied in this term have
// expired, as readings of the boot clock.
type leaseEnds struct {
	// usual is for leases of the usual duration.
	usual time.Duration
	// longest is for all leases, also those of processes that were not known when a start
	// request was sent.
	longest time.Duration
}

// end returns when the leases have expired that a run may have. settled is run.settled.
func (e leaseEnds) end(settled bool) time.Duration {
	if settled {
		return e.usual
	}
	return e.longest
}

// endOfPredecessorLeases returns when all leases from predecessors have expired, by what is
// known about them now.
func (p *Pool) endOfPredecessorLeases() leaseEnds {
	var ends leaseEnds
	for _, predecessor := range p.term.Predecessors() {
		usual := predecessor.ActsUntil(lead.MaxConfirmationAge) + workerTime(p.leaseDuration()) + leaseExpirySlack
		started := predecessor.ActsUntil(p.maxStartConfirmationAge()) + p.longestLease()
		ends.usual = max(ends.usual, usual)
		ends.longest = max(ends.longest, usual, started)
	}
	return ends
}

// lastActing returns the predecessor that may extend leases for the longest time.
func (p *Pool) lastActing() (last lead.Predecessor, found bool) {
	for _, predecessor := range p.term.Predecessors() {
		if !found || predecessor.ActsUntil(lead.MaxConfirmationAge) > last.ActsUntil(lead.MaxConfirmationAge) {
			last, found = predecessor, true
		}
	}
	return last, found
}

// lastPredecessorAction returns the reading of the boot clock until which predecessors may
// extend leases, 0 if there are none.
func (p *Pool) lastPredecessorAction() time.Duration {
	last, found := p.lastActing()
	if !found {
		return 0
	}
	return last.ActsUntil(lead.MaxConfirmationAge)
}

// unrepliedLeaseEnds returns when the leases of a worker have expired whose process has not
// replied in this term.
func (p *Pool) unrepliedLeaseEnds(n *node) leaseEnds {
	ends := p.predecessorLeases
	if n.inheritedLeases != nil {
		ends.usual, ends.longest = min(ends.usual, n.inheritedLeases.usual), min(ends.longest, n.inheritedLeases.longest)
	}
	return leaseEnds{max(ends.usual, n.restartLeaseEnd), max(ends.longest, n.restartLeaseEnd)}
}
