package schedule

import (
	"time"
)

// Assignment is the worker that one member was reserved on.
type Assignment struct {
	Worker string
	Member int
}

// Placement holds the reservations of a job.
type Placement struct {
	Members []Assignment

	scheduler   *Scheduler
	allocations []*allocation // by position in Members; nil after the release
}

// TaskResult tells what became of a member. The zero TaskResult means that it was
// certainly not started.
type TaskResult struct {
	// Ran is set if the task ran to its end, with an answer or an error.
	Ran bool
	// Failed is set if the task ended with an error or the worker failed it.
	Failed bool
	// RunTime is how long the task ran; 0 if it is not known.
	RunTime time.Duration
}

// Release frees the reservation of a member. It must be called only when the
// task has ended, certainly will not start, or its worker is lost. It is
// idempotent: the first call counts.
func (p *Placement) Release(member int, r TaskResult) {
	s := p.scheduler
	now := s.lock()
	defer s.unlock()
	for i, m := range p.Members {
		if m.Member == member {
			s.releaseMember(p, i, r, now)
		}
	}
	s.dispatch(now)
}

// ReleaseAll releases every member that is not released yet.
func (p *Placement) ReleaseAll(r TaskResult) {
	s := p.scheduler
	now := s.lock()
	defer s.unlock()
	for i := range p.Members {
		s.releaseMember(p, i, r, now)
	}
	s.dispatch(now)
}

// IsReserved reports whether a member's reservation is still in the ledger. It is
// false after its worker was lost. The caller asks before the start.
func (p *Placement) IsReserved(member int) bool {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, m := range p.Members {
		if m.Member == member {
			return p.allocations[i] != nil && p.allocations[i].worker != nil
		}
	}
	return false
}

func (s *Scheduler) releaseMember(p *Placement, i int, r TaskResult, now time.Time) {
	a := p.allocations[i]
	if a == nil {
		return
	}
	p.allocations[i] = nil
	a.hasPlacement = false
	if kept := s.lostAllocations[a.workerName]; kept[a.id] == a {
		delete(kept, a.id)
		if len(kept) == 0 {
			delete(s.lostAllocations, a.workerName)
		}
	}
	if r.Ran && r.RunTime > 0 && !r.Failed {
		s.history.observeRunTime(a.service, a.team.name, r.RunTime)
	}
	w, toFree := a.worker, a
	if w == nil {
		// The task was reported as ended, or the worker was lost and perhaps
		// gained again with the task still running. Only an end frees what
		// was adopted then.
		if w = s.workers[a.workerName]; w == nil {
			return
		}
		if toFree = w.tasks[a.id]; toFree != nil && (!r.Ran || toFree.hasPlacement) {
			toFree = nil
		}
	}
	if toFree != nil {
		s.removeAllocation(toFree)
	}
	if r.Ran || r.Failed {
		s.recordOutcome(w, a, r.Failed, now)
	} else if a.probe {
		s.reofferProbe(w, now)
	}
	w.index.update(w)
	s.reopenLanes(w)
}

// TryReserve reserves up to count members now, without queueing, for the
// coordinator of an all-at-once job on another host. It returns false if not
// one fits. The caller releases all members together unless all start.
func (s *Scheduler) TryReserve(job Job, count int) (*Placement, bool) {
	now := s.lock()
	defer s.unlock()
	job.Members = 1
	e := &queueEntry{job: job, enqueued: now}
	if s.resolve(e) != nil || !e.deadline.After(now) {
		return nil, false
	}
	e.job.Members = count
	p := &Placement{scheduler: s}
	for member := range count {
		if e.team.atQuota || !s.withinShares(e, 1) {
			break
		}
		w := s.chooseWorker(e, now)
		if w == nil {
			break
		}
		s.reserve(p, e, w, member, now)
	}
	return p, len(p.Members) > 0
}

// reserve charges one member of e to n.
func (s *Scheduler) reserve(p *Placement, e *queueEntry, w *heldWorker, member int, now time.Time) {
	a := &allocation{
		id: e.job.TaskID(member), team: e.team, profile: e.profile, service: e.job.Service,
		declared: e.declared, size: e.need, start: now, expectedEnd: now.Add(e.expectedRunTime), hasPlacement: true, long: e.long,
	}
	for w.tasks[a.id] != nil {
		// The caller used an attempt twice. Both reservations must count.
		a.id += "+"
	}
	if w.health.quarantined {
		a.probe = true
		w.health.probeOffered = false
	}
	s.addAllocation(w, a)
	w.index.update(w)
	p.Members = append(p.Members, Assignment{Worker: w.info.Name, Member: member})
	p.allocations = append(p.allocations, a)
}
