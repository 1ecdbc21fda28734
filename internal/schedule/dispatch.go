package schedule

import (
	"time"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// dispatch starts queued work until no open lane has any that may start.
func (s *Scheduler) dispatch(now time.Time) {
	s.gangs.dispatch(s, now)
	for {
		l := s.pick(now)
		if l == nil {
			return
		}
		e := l.shares[0].head
		if !e.deadline.After(now) {
			s.dequeue(e)
			s.refuse(e, s.refusal(e, api.ReasonDeadline, "the deadline passed in the queue", now))
			continue
		}
		if !s.allowed(e, 1) {
			s.shut(l, true)
			continue
		}
		n := s.choose(e, now)
		if n == nil {
			s.shut(l, false)
			continue
		}
		p := &Placement{scheduler: s}
		s.reserve(p, e, n, 0, now)
		s.started(e, p, now)
	}
}

// pick returns the open lane whose head is next: profiles below their
// guaranteed share first, then the team with the least weighted dominant
// share, then the priority raised by the waiting time. Its cost grows with the
// number of open lanes, which does not depend on the length of the queue.
func (s *Scheduler) pick(now time.Time) *lane {
	var best *lane
	var bestShare float64
	for _, l := range s.open {
		share := l.profile.fulfilled()
		if share >= 1 && l.profile.limited() {
			continue
		}
		if best == nil || share < bestShare || share == bestShare && l.precedes(best, now) {
			best, bestShare = l, share
		}
	}
	return best
}

// fulfilled returns the part of the guaranteed share that is in use, or 1 if
// it is used up or there is none.
func (p *profile) fulfilled() float64 {
	if p.running >= p.guaranteed {
		return 1
	}
	return float64(p.running) / float64(p.guaranteed)
}

// precedes orders the heads of two lanes of equal claim.
func (l *lane) precedes(o *lane, now time.Time) bool {
	a, b := l.shares[0], o.shares[0]
	if a.team.key != b.team.key {
		return a.team.key < b.team.key
	}
	if u, v := a.head.urgency(now), b.head.urgency(now); u != v {
		return u > v
	}
	if !a.head.enqueued.Equal(b.head.enqueued) {
		return a.head.enqueued.Before(b.head.enqueued)
	}
	return a.head.job.ID < b.head.job.ID
}

// allowed reports whether count members of e keep within the shares: a
// profile that may not borrow stays within its guarantee, and long work
// leaves free what is guaranteed to others, since it would not give it back
// in time.
func (s *Scheduler) allowed(e *entry, count int) bool {
	p := e.profile
	after := s.charged.add(times(e.need, count), count)
	running := p.running + count
	// What the reservation waits for counts as taken, so that it is reached.
	if r := s.gangs.held; r != nil && r.entry != e {
		after = after.add(times(r.entry.need, r.entry.job.Members), r.entry.job.Members)
		if r.entry.profile == p {
			running += r.entry.job.Members
		}
	}
	if running <= p.guaranteed {
		return true
	}
	if p.limited() {
		return false
	}
	if e.expected < longRun {
		return true
	}
	unused := 0
	for _, q := range s.order {
		if q != p {
			unused += max(q.guaranteed-q.running, 0)
		}
	}
	if unused == 0 {
		return true
	}
	rest := int64(s.total.slots - unused)
	within := func(used, total int64) bool { return used*int64(s.total.slots) <= total*rest }
	return int64(after.slots) <= rest && within(after.MilliCPU, s.total.MilliCPU) && within(after.MemoryMiB, s.total.MemoryMiB)
}

// plan returns the size to charge at the reservation: the larger of declared
// and learned, but never more than the largest worker that the declared size
// fits, so that a wrong estimate cannot keep a job from running.
func (s *Scheduler) plan(e *entry) worker.Resources {
	learned, ok := s.learned.resources(e.job.Service, e.job.Team)
	if !ok {
		return e.declared
	}
	need := e.declared.Max(learned)
	need.Accelerators = e.declared.Accelerators
	var largest worker.Resources
	for c := range s.shapes {
		if need.Fits(c.Resources) {
			return need
		}
		if e.declared.Fits(c.Resources) && (largest == worker.Resources{} || c.MilliCPU > largest.MilliCPU) {
			largest = c.Resources
		}
	}
	return e.declared.Max(worker.Resources{
		MilliCPU:  min(need.MilliCPU, largest.MilliCPU),
		MemoryMiB: min(need.MemoryMiB, largest.MemoryMiB),
	})
}
