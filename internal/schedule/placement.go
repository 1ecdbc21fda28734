package schedule

import (
	"time"
)

// Assignment names the worker on which one member has a reservation.
type Assignment struct {
	Worker string
	Member int
}

// Placement holds the reservations of a job.
type Placement struct {
	Members []Assignment

	scheduler   *Scheduler
	allocations []*allocation // by position in Members; nil once released
}

// TaskResult describes the outcome of the task of a member. The zero TaskResult
// means that the task was certainly not started.
type TaskResult struct {
	// Ran is set if the task ran to completion, with an answer or an error.
	Ran bool
	// Failed is set if the task ended with an error or without an answer, for
	// example because its worker failed.
	Failed bool
	// RunTime is how long the task ran; 0 if unknown.
	RunTime time.Duration
}

// Release frees the reservation of a member. It must be called only once the
// task has ended, certainly will not start, or its worker is lost. It is
// idempotent: only the first call has an effect.
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

// ReleaseAll releases all members that were not released before.
func (p *Placement) ReleaseAll(r TaskResult) {
	s := p.scheduler
	now := s.lock()
	defer s.unlock()
	for i := range p.Members {
		s.releaseMember(p, i, r, now)
	}
	s.dispatch(now)
}

// IsReserved reports whether the reservation of a member is still allocated. It
// is false after the worker was lost. It is meant to be checked before the task
// is started.
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
		// Either the task was reported as ended, or the worker was lost and
		// perhaps gained again with the task still running. In the latter case
		// only the end of the task frees the allocation that was adopted.
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

// TryReserve immediately reserves up to count members, without queueing, for a gang
// job that another host coordinates. It returns false if it can reserve none.
// The caller must release all members together unless all of them start.
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

// reserve allocates one member of e on w.
func (s *Scheduler) reserve(p *Placement, e *queueEntry, w *heldWorker, member int, now time.Time) {
	a := &allocation{
		id: e.job.TaskID(member), team: e.team, profile: e.profile, service: e.job.Service,
		declared: e.declared, size: e.need, start: now, expectedEnd: now.Add(e.expectedRunTime), hasPlacement: true, long: e.long,
	}
	for w.tasks[a.id] != nil {
		// The caller used the same task number twice. Both reservations must
		// be accounted for.
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
