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
		e := s.pick(now)
		if e == nil {
			return
		}
		l := e.share.lane
		if !e.deadline.After(now) {
			s.dequeue(e)
			s.refuse(e, s.refusal(e, api.ReasonDeadline, "the deadline passed in the queue", now))
			continue
		}
		if !s.allowed(e, 1) {
			s.shut(l, true)
			continue
		}
		n := s.candidate(l, e, now)
		if n == nil {
			s.shut(l, s.denied)
			continue
		}
		p := &Placement{scheduler: s}
		s.reserve(p, e, n, 0, now)
		s.started(e, p, now)
		s.exhaust(n)
	}
}

// candidate returns a worker for the head e of l, or nil.
func (s *Scheduler) candidate(l *lane, e *entry, now time.Time) *node {
	n := l.opener
	if n == nil {
		return s.choose(e, now)
	}
	plain, accel := s.admits(e)
	s.denied = n.index == s.plain && !plain || n.index == s.accel && !accel
	if s.denied || !feasible(n, e, now) {
		return nil
	}
	return n
}

// pick returns the head that is next of all open lanes, or nil. Its cost grows
// with the number of open lanes, which does not depend on the length of the
// queue.
func (s *Scheduler) pick(now time.Time) *entry {
	var best turn
	for _, l := range s.open {
		t := l.next()
		if t.fulfilled >= 1 && l.profile.limited() {
			continue
		}
		if best.share == nil || t.precedes(best, now) {
			best = t
		}
	}
	if best.share == nil {
		return nil
	}
	return best.head
}

// fulfilled returns the part of the guaranteed share that is in use, or 1 if
// it is used up or there is none.
func (p *profile) fulfilled() float64 {
	if p.running >= p.guaranteed {
		return 1
	}
	return float64(p.running) / float64(p.guaranteed)
}

// allowed reports whether count members of e keep within the shares: a
// profile that may not borrow stays within its guarantee, and long work beyond
// the guarantee leaves free what is guaranteed to others, since it would not
// give it back in time. Short work does not count against the guarantee of long
// work: it would keep it out by borrowing every slot.
func (s *Scheduler) allowed(e *entry, count int) bool {
	p := e.profile
	running := p.running
	if e.long && !p.limited() {
		running = p.long
	}
	after, need, slots := running+count, times(e.need, count), count
	// What the reservation waits for counts as taken, so that it is reached.
	if r := s.gangs.held; r != nil && r.entry != e {
		need = need.Add(times(r.entry.need, r.entry.job.Members))
		slots += r.entry.job.Members
		if r.entry.profile == p {
			after += r.entry.job.Members
		}
	}
	if after <= p.guaranteed {
		return true
	}
	if p.limited() {
		return false
	}
	if !e.long {
		return true
	}
	if e.need.Accelerators > 0 {
		// Only guarantees to other work with accelerators compete for the
		// workers that have them.
		return leaves(s.withAcc, s.unused(p, accelOnly), need, slots)
	}
	return leaves(s.all, s.unused(p, accelOnly)+s.unused(p, plainOnly), need, slots)
}

// Kinds of profiles, by whether their work needs accelerators.
const (
	plainOnly = false
	accelOnly = true
)

// admits reports on which kinds of workers e may run if they have room: long
// work without accelerators also leaves free, on the workers of each kind,
// what is guaranteed to the other work of that kind. If it keeps off
// accelerators, it takes none while work waits that needs them.
func (s *Scheduler) admits(e *entry) (plain, accel bool) {
	if e.need.Accelerators > 0 {
		return false, true
	}
	if !e.long || e.profile.long < e.profile.guaranteed {
		return true, true
	}
	rest := pool{
		s.all.total.sub(s.withAcc.total.Resources, s.withAcc.total.slots),
		s.all.charged.sub(s.withAcc.charged.Resources, s.withAcc.charged.slots),
	}
	plain = leaves(rest, s.unused(e.profile, plainOnly), e.need, 1)
	if e.profile.Placement.KeepAccelerators && s.accReady > 0 {
		return plain, false
	}
	return plain, leaves(s.withAcc, s.unused(e.profile, accelOnly), e.need, 1)
}

// unused returns the slots that are guaranteed to other profiles of a kind
// and not in use.
func (s *Scheduler) unused(p *profile, accel bool) int {
	unused := 0
	for _, q := range s.order {
		if q != p && q.accel == accel {
			unused += max(q.guaranteed-q.running, 0)
		}
	}
	return unused
}

// leaves reports whether a pool that takes on need and slots still has the
// unused slots free, and the same part of its processors and memory.
func leaves(in pool, unused int, need worker.Resources, slots int) bool {
	if unused == 0 {
		return true
	}
	after := in.charged.add(need, slots)
	total, rest := int64(in.total.slots), int64(in.total.slots-unused)
	within := func(used, all int64) bool { return used*total <= all*rest }
	return int64(after.slots) <= rest && within(after.MilliCPU, in.total.MilliCPU) && within(after.MemoryMiB, in.total.MemoryMiB)
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
