package pool

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/store"
)

// A start request that was meant for an earlier process of a worker gives the longest lease
// to the process that executes it. Once that lease would have been replaced by usual ones,
// the process is settled: a successor need not wait for a longer lease than the usual one.

// settledRecord names the settled process of a worker.
type settledRecord struct {
	Incarnation int64 `json:"incarnation"`
}

// settleProcess notes whether the process of the worker, which has replied, and its
// long-running runs are settled. The caller must hold p.mu.
func (p *Pool) settleProcess(n *node) {
	if n.leaseUntilMS <= n.firstLeaseUntilMS || n.entry.Incarnation == 0 || p.lateStartRemaining(n) > 0 {
		return
	}
	if n.settledProcess != n.entry.Incarnation {
		n.settledProcess = n.entry.Incarnation
		p.settledProcesses[n.entry.ID] = n.settledProcess
		p.storeRecords([]store.Record{encodeRecord(keySettledPrefix+n.entry.ID, settledRecord{Incarnation: n.settledProcess})}, nil)
	}
	for _, r := range n.runs {
		if !r.settled && r.listed && !r.mayStartLate(time.Now()) && r.task.step.spec.LongRunning && r.task.wants(r) && r.task.step.job.final == "" {
			r.settled = true
			p.storeTask(r.task)
		}
	}
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

// forgetSettledProcess removes what is stored about a worker that has gone. The caller must
// hold p.mu.
func (p *Pool) forgetSettledProcess(worker string) {
	if _, stored := p.settledProcesses[worker]; stored {
		delete(p.settledProcesses, worker)
		p.storeRecords([]store.Record{{Key: keySettledPrefix + worker}}, nil)
	}
}

// forgetSettledProcesses removes what predecessors have stored about workers that have gone.
// The caller must hold p.mu.
func (p *Pool) forgetSettledProcesses() {
	for worker := range p.settledProcesses {
		if p.nodes[worker] == nil {
			p.forgetSettledProcess(worker)
		}
	}
}
