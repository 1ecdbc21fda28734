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

	scheduler *Scheduler
	charges   []*charge // by position in Members; nil after the release
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
			s.release(p, i, r, now)
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
		s.release(p, i, r, now)
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
			return p.charges[i] != nil && p.charges[i].node != nil
		}
	}
	return false
}

func (s *Scheduler) release(p *Placement, i int, r TaskResult, now time.Time) {
	c := p.charges[i]
	if c == nil {
		return
	}
	p.charges[i] = nil
	c.owned = false
	if kept := s.detached[c.home]; kept[c.id] == c {
		delete(kept, c.id)
		if len(kept) == 0 {
			delete(s.detached, c.home)
		}
	}
	if r.Ran && r.RunTime > 0 && !r.Failed {
		s.learned.ran(c.service, c.team.name, r.RunTime)
	}
	n, charged := c.node, c
	if n == nil {
		// The task was reported as ended, or the worker was lost and perhaps
		// gained again with the task still running. Only an end frees what
		// was adopted then.
		if n = s.nodes[c.home]; n == nil {
			return
		}
		if charged = n.tasks[c.id]; charged != nil && (!r.Ran || charged.owned) {
			charged = nil
		}
	}
	if charged != nil {
		s.detach(charged)
	}
	if r.Ran || r.Failed {
		s.outcome(n, c, r.Failed, now)
	} else if c.probe {
		s.probeUnused(n, now)
	}
	n.index.update(n)
	s.reopen(n)
}

// TryReserve reserves up to count members now, without queueing, for the
// coordinator of an all-at-once job on another host. It returns false if not
// one fits. The caller releases all members together unless all start.
func (s *Scheduler) TryReserve(job Job, count int) (*Placement, bool) {
	now := s.lock()
	defer s.unlock()
	job.Members = 1
	e := &entry{job: job, enqueued: now}
	if s.prepare(e) != nil || !e.deadline.After(now) {
		return nil, false
	}
	e.job.Members = count
	p := &Placement{scheduler: s}
	for member := range count {
		if e.team.capped || !s.allowed(e, 1) {
			break
		}
		n := s.choose(e, now)
		if n == nil {
			break
		}
		s.reserve(p, e, n, member, now)
	}
	return p, len(p.Members) > 0
}

// reserve charges one member of e to n.
func (s *Scheduler) reserve(p *Placement, e *entry, n *node, member int, now time.Time) {
	c := &charge{
		id: e.job.TaskID(member), team: e.team, profile: e.profile, service: e.job.Service,
		declared: e.declared, amount: e.need, start: now, end: now.Add(e.expected), owned: true, long: e.long,
	}
	for n.tasks[c.id] != nil {
		// The caller used an attempt twice. Both reservations must count.
		c.id += "+"
	}
	if n.state.aside {
		c.probe = true
		n.state.probing = false
	}
	s.attach(n, c)
	n.index.update(n)
	p.Members = append(p.Members, Assignment{Worker: n.info.Name, Member: member})
	p.charges = append(p.charges, c)
}
