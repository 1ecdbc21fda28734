package pool

import "time"

// A worker whose lease has expired while its address refuses connections may have
// crashed, or it may be cut off and run on until its lease lapses. Its runs are released
// either way, but a crash counts only once something else than the connections shows it:
// another process has the worker's ID or address, or its entry has left the registry.
// If the same process replies after all, nothing has crashed.

// presumedEndMemory is how long a worker that does not come back may take to do so for
// its runs to be judged by that.
const presumedEndMemory = time.Minute

// presumedEnd is the presumed end of a worker's process.
type presumedEnd struct {
	incarnation int64
	since       time.Time
	// runs are the released runs, with processEnd set.
	runs []*run
	// counted is set once the crash has been counted, because the worker's entry has
	// left the registry.
	counted bool
}

// releaseExpired releases the runs of a worker that does not reply and whose lease has
// expired, except those that may be on a process with a longer lease. Planned runs are
// left to startRun. The caller must hold p.mu.
func (p *Pool) releaseExpired(n *node) {
	var expired []*run
	for _, r := range n.runs {
		if r.state != runPlanned && p.runExpired(r) {
			expired = append(expired, r)
		}
	}
	if len(expired) == 0 {
		return
	}
	end := p.presumedEnds[n.entry.ID]
	if end == nil || end.incarnation != n.entry.Incarnation {
		end = &presumedEnd{incarnation: n.entry.Incarnation, since: time.Now()}
		if n.refusesConnections || !n.hadEntry() && !n.hasReplied {
			p.presumeEndOfRuns(n, end.since)
		}
	}
	var presumed []*run
	for _, r := range expired {
		if r.processEnd != nil && r.processEnd.presumed {
			presumed = append(presumed, r)
		}
		p.release(r, "lease_expired", p.leaseDetails(r)...)
		if r.task.step.job.final == "" {
			// A successor would wait for the lease again.
			p.storeTask(r.task)
		}
	}
	if len(presumed) == 0 {
		return
	}
	end.runs = append(end.runs, presumed...)
	p.presumedEnds[n.entry.ID] = end
	switch {
	case end.counted:
		p.countCrashes(presumed)
	case !n.listed:
		p.countPresumedEnd(n.entry.ID, end)
	}
}

// presumeEndOfRuns judges all runs on n by the end of its process, also those that are
// released later.
func (p *Pool) presumeEndOfRuns(n *node, now time.Time) {
	p.judgeProcessEnd(n, now)
	for _, r := range n.runs {
		if r.processEnd != nil {
			r.processEnd.presumed = true
		}
	}
}

// settlePresumedEnd judges a presumed end by the incarnation of the process that has the
// worker's ID or address now; 0 means that it is another one. The caller must hold p.mu.
func (p *Pool) settlePresumedEnd(worker string, incarnation int64) {
	end := p.presumedEnds[worker]
	if end == nil {
		return
	}
	delete(p.presumedEnds, worker)
	switch {
	case incarnation == end.incarnation:
		p.withdrawPresumedEnd(worker, end)
	case !end.counted:
		p.countPresumedEnd(worker, end)
	}
}

// countPresumedEnd counts the crash under the runs that were released.
func (p *Pool) countPresumedEnd(worker string, end *presumedEnd) {
	end.counted = true
	p.log.Info("worker process ended", "worker", worker, "runs", len(end.runs))
	p.incrementMetric("workers.crashed")
	p.countCrashes(end.runs)
	p.requestPass()
}

// countCrashes counts the crash under each of the runs whose task has not ended.
func (p *Pool) countCrashes(runs []*run) {
	for _, r := range runs {
		if t := r.task; !t.done && t.step.job.final == "" {
			p.countCrash(r)
			p.endIfFinished(t.step.job)
		}
	}
}

// withdrawPresumedEnd takes back what was held against the tasks of a worker whose
// process has not ended.
func (p *Pool) withdrawPresumedEnd(worker string, end *presumedEnd) {
	if n := p.nodes[worker]; n != nil {
		for _, r := range n.runs {
			if r.processEnd != nil && r.processEnd.presumed {
				r.processEnd = nil
			}
		}
	}
	p.log.Info("worker process has not ended", "worker", worker, "runs", len(end.runs), "counted", end.counted)
	p.incrementMetric("workers.crashes_withdrawn")
	for _, r := range end.runs {
		t := r.task
		if t.done || t.step.job.final != "" {
			continue
		}
		if end.counted && r.processEnd.begun {
			t.crashes = max(t.crashes-1, 0)
		} else if end.counted && (r.processEnd.recent || r.processEnd.mayHaveRun) {
			t.possibleCrashes = max(t.possibleCrashes-1, 0)
		}
		t.suspect = t.suspect && t.crashes+t.possibleCrashes > 0
		p.storeTask(t)
	}
	p.requestPass()
}

// countUnlistedEnd counts the presumed end of a worker whose entry has left the
// registry while its address refuses connections.
func (p *Pool) countUnlistedEnd(n *node) {
	if end := p.presumedEnds[n.entry.ID]; end != nil && !end.counted && n.unresponsive && n.refusesConnections {
		p.countPresumedEnd(n.entry.ID, end)
	}
}

// forgetPresumedEnds drops the presumed ends of workers that have not come back.
func (p *Pool) forgetPresumedEnds() {
	for worker, end := range p.presumedEnds {
		if time.Since(end.since) > presumedEndMemory {
			delete(p.presumedEnds, worker)
		}
	}
}
