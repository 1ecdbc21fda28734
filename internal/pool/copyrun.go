package pool

import (
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/store"
)

// copyLease bounds how late a start request for a copy may be carried out: its worker
// rejects it after that. The other run may be done and stored right after the request
// was sent, and a task must not start more than 1 s after that. For the same reason the
// request is not repeated. It is longer than the usual time between two hold calls,
// 0.8 s, so that a worker that took it for its whole lease would be renewed in time.
const copyLease = 900 * time.Millisecond

// copyRecord is the part of a taskRecord about the task's copy.
type copyRecord struct {
	Run         int    `json:"run"`
	Worker      string `json:"worker"`
	Incarnation int64  `json:"incarnation,omitempty"`
	Address     string `json:"address,omitempty"`
	Begun       bool   `json:"begun,omitempty"`
}

// wants reports whether r is a run of the task that counts: its first or its copy.
func (t *task) wants(r *run) bool { return t.currentRun == r || t.copyRun == r }

// dropRun removes r from the task. A copy takes the place of the first run.
func (t *task) dropRun(r *run) {
	if t.currentRun == r {
		t.currentRun = t.copyRun
		t.copyRun = nil
	} else if t.copyRun == r {
		t.copyRun = nil
	}
}

// allRuns returns the runs of the task that may still be on a worker and that count.
func (t *task) allRuns() []*run {
	switch {
	case t.currentRun == nil:
		return nil
	case t.copyRun == nil:
		return []*run{t.currentRun}
	}
	return []*run{t.currentRun, t.copyRun}
}

// startCopy stores a copy of the task's run and then starts it. cost is what the budget
// was charged, in core seconds.
func (p *Pool) startCopy(t *task, n *node, cost float64, now time.Time) {
	ticket, _ := t.step.validTicket(n, now)
	t.lastRun = t.nextRun()
	r := n.addRun(t, t.lastRun, runPlanned)
	r.ticket, r.isCopy, r.copyCost = ticket, true, cost
	t.copyRun = r
	p.incrementMetric("copies.started")
	p.event("copy_placed", t.step.job.id, t.name(), n.entry.ID, "")
	p.tryStoreRecords([]store.Record{t.record()}, func(err error) {
		if err == nil {
			go p.startRun(r)
		} else if errors.Is(err, ErrRecordRejected) { // else no longer the scheduler
			p.releaseRejected([]*run{r})
		}
	})
}

// detachRun takes a run that has ended or was released from its task, and reports whether
// it counted. A run that a copy has overtaken, or a copy that came too late, does not. how
// is empty for a run that was released. The caller must hold p.mu.
func (p *Pool) detachRun(r *run, how cell.EndKind, now time.Time) bool {
	counts := r.task.wants(r)
	p.settleCopies(r, counts && how == cell.EndDone, now)
	switch {
	case counts:
		r.task.dropRun(r)
	case how == cell.EndFailed:
		r.node.health.failed(now)
	}
	return counts
}

// stopLoser stops the other run of a task that is done. Its end changes nothing for the
// task. The caller must hold p.mu.
func (p *Pool) stopLoser(t *task, winner *run, now time.Time) {
	r := t.currentRun
	if r == nil {
		return
	}
	t.dropRun(r)
	if winner.isCopy {
		p.recordOvertaken(r, winner, now)
	}
	p.stopRun(r, "copy_done")
}

// recordOvertaken adds a run that its copy has overtaken to the averages of its worker,
// and counts it as a failure there if it made no progress between two lists.
func (p *Pool) recordOvertaken(r, winner *run, now time.Time) {
	n := r.node
	if r.startedAt.IsZero() || winner.startedAt.IsZero() || !r.listed {
		return
	}
	if n.repliedAt.Sub(r.percentChangedAt) >= minCopyRunTime {
		n.health.failed(now)
		return
	}
	took := max(r.projected(), now.Sub(r.startedAt))
	n.slowdown.add(float64(took) / float64(max(now.Sub(winner.startedAt), time.Millisecond)))
}

// settleCopies settles the budget of copies when a run has ended or was released. won is
// set if its task is done with it. The caller must hold p.mu.
func (p *Pool) settleCopies(r *run, won bool, now time.Time) {
	spent := 0.0
	if !r.startedAt.IsZero() {
		spent = now.Sub(r.startedAt).Seconds() * float64(r.resources.MilliCPU) / 1000
	}
	if !r.isCopy {
		p.copies.budget = min(p.copies.budget+copyBudgetShare*spent, maxCopyBudget)
		return
	}
	p.copies.budget = min(p.copies.budget+r.copyCost-spent, maxCopyBudget)
	if won {
		p.incrementMetric("copies.won")
	} else {
		p.incrementMetric("copies.lost")
	}
	for p.copies.uncounted += spent; p.copies.uncounted >= 1; p.copies.uncounted-- {
		p.incrementMetric("copies.core_seconds")
	}
}

// recordCopy adds the task's copy to its record. Records of tasks without one do not
// change.
func (t *task) recordCopy(r *taskRecord) {
	if t.currentRun != nil && t.currentRun.number != t.lastRun {
		r.WorkerRun = t.currentRun.number
	}
	if c := t.copyRun; c != nil {
		r.Copy = &copyRecord{Run: c.number, Worker: c.node.entry.ID, Incarnation: c.node.entry.Incarnation, Address: c.address, Begun: c.begunAsProbe()}
	}
}

// restoreRun adds a run of a predecessor. The worker's list tells what became of it,
// also if the worker has restarted since it was placed: its start request may have
// reached the new incarnation.
func (p *Pool) restoreRun(t *task, c copyRecord) *run {
	n := p.node(c.Worker)
	if n.entry.Incarnation == 0 {
		n.entry.Incarnation = c.Incarnation
	}
	if n.client == nil && !n.listed {
		n.storedPlaces = append(n.storedPlaces, storedPlace{c.Incarnation, c.Address})
	}
	r := n.addRun(t, c.Run, runInherited)
	r.checkpoint, r.begun, r.address = t.checkpoint, c.Begun, c.Address
	if c.Incarnation != 0 && c.Incarnation < n.entry.Incarnation {
		r.processEnd = &processEnd{begun: c.Begun, recent: true}
	}
	return r
}

// maxStartAttempts returns how often the start request of the run is sent.
func (r *run) maxStartAttempts() int {
	if r.isCopy {
		return 1
	}
	return maxStartAttempts
}

// startLease returns the end of the lease for a start request, on the worker's clock.
// Hold calls keep the lease of a worker that runs a copy as long as usual.
func (p *Pool) startLease(r *run) int64 {
	until := r.node.extendLease(p.leaseDuration())
	if r.isCopy {
		elapsed := (cell.BootTime() - r.node.clockAt).Milliseconds()
		until = min(until, r.node.clockMS+elapsed+copyLease.Milliseconds())
	}
	return until
}
