package pool

import (
	"time"

	"github.com/laburnumpass/laburnumpass/internal/cell"
)

// lateRequestWindow is how long a start request without a reply may still be executed.
// The platform says only that it may be seconds.
const lateRequestWindow = 15 * time.Second

// mayStartLate reports whether a start request of the run may still be executed.
func (r *run) mayStartLate(now time.Time) bool {
	return r.maybeDelivered && now.Sub(r.unansweredAt) < lateRequestWindow
}

// endIncarnation releases the runs of a worker that no longer exists, and resets
// what is known about its process.
func (p *Pool) endIncarnation(n *node) {
	p.settlePresumedEnd(n.entry.ID, 0)
	p.noteProcessEnd(n, time.Now())
	for _, r := range n.runs {
		p.release(r, "address_reused")
	}
	n.forgetProcess()
}

// restartIncarnation releases the runs of a worker that has restarted under its
// ID. The new incarnation may have received start requests that were meant for
// the one before, so runs that no list has contained yet are kept until the new
// incarnation has listed its runs. So are runs with a start request that was not answered:
// the new incarnation may still execute it, unless it accepts a stop first.
func (p *Pool) restartIncarnation(n *node) {
	p.settlePresumedEnd(n.entry.ID, 0)
	p.noteProcessEnd(n, time.Now())
	for _, r := range n.runs {
		if (r.listed || r.state == runStopAccepted) && r.mayStartLate(time.Now()) {
			// A stop that the earlier incarnation accepted does not count.
			r.state = runActive
			p.unsettle(r)
			continue
		}
		if !r.listed && (r.state == runStartSent || r.state == runActive || r.state == runInherited || r.rejectedAsStale) {
			p.unsettle(r)
			continue
		}
		p.release(r, "restarted")
	}
	n.forgetProcess()
	if _, stored := p.settledProcesses[n.entry.ID]; !stored {
		p.storeSettledProcess(n, 0)
	}
	// The lease in those requests ends on the clock of the earlier incarnation, so
	// the new one may run them for the longest lease.
	n.restartLeaseEnd = cell.BootTime() + p.longestLease()
	p.stopUnansweredStarts(n)
}

// forgetProcess resets what is known about the worker's process.
func (n *node) forgetProcess() {
	n.processedEnd, n.ackCursor, n.leaseUntilMS = 0, 0, 0
	n.hasReplied = false
	n.inheritedLeases, n.restartLeaseEnd, n.lateStartLeaseEnd = nil, 0, 0
	n.clockAt = 0
}
