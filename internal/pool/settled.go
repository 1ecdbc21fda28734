package pool

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/lead"
	"github.com/laburnumpass/laburnumpass/internal/store"
)

// A start request that was meant for an earlier process of a worker gives the longest lease
// to the process that executes it. A process is settled if it can have no such lease: no
// start request was ever sent to an earlier one, or the lease would have been replaced by
// usual ones. A successor need not wait for a longer lease than the usual one then.

// settledRecord is stored for each worker before start requests are sent to it.
type settledRecord struct {
	// Incarnation is that of the settled process, 0 if there is none.
	Incarnation int64 `json:"incarnation"`
}

// isNewcomer reports whether no start request can be under way that was meant for an earlier
// process of the worker, which has replied for the first time. The caller must hold p.mu.
func (p *Pool) isNewcomer(n *node) bool {
	if _, stored := p.settledProcesses[n.entry.ID]; stored || p.lateStartRemaining(n) > 0 {
		return false
	}
	for _, r := range n.runs {
		if r.incarnation != n.entry.Incarnation {
			return false
		}
	}
	// Holders that keep no such records may have sent some.
	return p.term.ProcessRecordsSince == 1 || cell.BootTime()-p.term.ClaimedAt > p.processRecordRetention()
}

// noteFirstReply records the process of the worker, which has replied for the first time with
// that incarnation, and returns whether it is settled. The caller must hold p.mu.
func (p *Pool) noteFirstReply(n *node, incarnation int64) (settled bool) {
	stored, known := p.settledProcesses[n.entry.ID]
	switch {
	case incarnation != 0 && p.isNewcomer(n):
		p.storeSettledProcess(n, n.entry.Incarnation)
	case !known || stored != 0 && stored != n.entry.Incarnation:
		p.storeSettledProcess(n, 0)
	}
	return incarnation != 0 && n.isSettled()
}

// isSettled reports whether the present process of the worker is settled.
func (n *node) isSettled() bool {
	return n.settledProcess != 0 && n.settledProcess == n.entry.Incarnation
}

// storeSettledProcess stores which process of the worker is settled, 0 for none. The caller
// must hold p.mu.
func (p *Pool) storeSettledProcess(n *node, incarnation int64) {
	n.settledProcess = incarnation
	p.settledProcesses[n.entry.ID] = incarnation
	p.storeRecords([]store.Record{encodeRecord(keySettledPrefix+n.entry.ID, settledRecord{Incarnation: incarnation})}, nil)
}

// settleProcess notes whether the process of the worker, which has replied, and its runs are
// settled. The caller must hold p.mu.
func (p *Pool) settleProcess(n *node) {
	if n.entry.Incarnation == 0 || p.lateStartRemaining(n) > 0 {
		return
	}
	if !n.isSettled() {
		if n.leaseUntilMS <= n.firstLeaseUntilMS {
			return
		}
		p.storeSettledProcess(n, n.entry.Incarnation)
	}
	for _, r := range n.runs {
		p.settleRun(r)
	}
}

// settleRun notes whether a run is certainly on the settled process of its worker. The caller
// must hold p.mu.
func (p *Pool) settleRun(r *run) {
	if r.settled || !r.node.isSettled() || !r.listed && !r.processConfirmed || r.mayStartLate(time.Now()) || !r.isCurrent() {
		return
	}
	r.settled = true
	if r.task.step.spec.LongRunning {
		p.storeTask(r.task)
		return
	}
	if len(p.unstoredSettled) == 0 {
		p.unstoredSince = time.Now()
	}
	p.unstoredSettled = append(p.unstoredSettled, r)
}

// isCurrent reports whether the record of the task of r describes r.
func (r *run) isCurrent() bool { return r.task.currentRun == r && r.task.step.job.final == "" }

// maxSettledDelay is how long the record of a settled run that is not long-running waits for
// other records, since a call to the store has a price. Many of these runs end before.
const maxSettledDelay = 300 * time.Millisecond

// storeSettledRuns stores the settled runs whose records wait. The caller must hold p.mu.
func (p *Pool) storeSettledRuns() {
	for _, r := range p.unstoredSettled {
		if r.settled && r.isCurrent() {
			p.journal.add(appendRequest{records: []store.Record{r.task.record()}})
		}
	}
	p.unstoredSettled = nil
}

// unsettle records that r may be on another process than the settled one. The caller must
// hold p.mu.
func (p *Pool) unsettle(r *run) {
	if !r.settled {
		return
	}
	r.settled = false
	if r.task.wants(r) && r.task.step.job.final == "" {
		p.storeTask(r.task)
	}
}

// restoreSettledProcess restores what is stored about the process of a worker.
func (p *Pool) restoreSettledProcess(worker string, value []byte) error {
	var r settledRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return errors.WithStack(err)
	}
	p.settledProcesses[worker] = r.Incarnation
	if n := p.nodes[worker]; n != nil {
		n.settledProcess = r.Incarnation
	}
	return nil
}

// processRecordRetention is how long the record of a worker that has gone is kept. A start
// request that a predecessor sends at its last moment may be carried out late, and the lease
// that it gives to the next process of the worker has expired then.
func (p *Pool) processRecordRetention() time.Duration {
	return lead.MaxConfirmationAge + lateRequestWindow + p.longestLease()
}

// forgetSettledProcesses removes the records of workers that have been gone for
// processRecordRetention. The caller must hold p.mu.
func (p *Pool) forgetSettledProcesses() {
	for worker := range p.settledProcesses {
		if p.nodes[worker] != nil {
			delete(p.goneSince, worker)
			continue
		}
		since, noted := p.goneSince[worker]
		switch {
		case !noted:
			p.goneSince[worker] = time.Now()
		case time.Since(since) > p.processRecordRetention():
			delete(p.goneSince, worker)
			delete(p.settledProcesses, worker)
			p.storeRecords([]store.Record{{Key: keySettledPrefix + worker}}, nil)
		}
	}
}
