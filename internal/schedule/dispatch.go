package schedule

import (
	"time"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// dispatch starts queued jobs until no open lane has one that may start.
func (s *Scheduler) dispatch(now time.Time) {
	s.gangs.dispatch(s, now)
	for {
		e := s.nextEntry(now)
		if e == nil {
			return
		}
		l := e.queue.lane
		if !e.deadline.After(now) {
			s.dequeue(e)
			s.reportRefusal(e, s.newRefusal(e, api.ReasonDeadline, "the deadline passed in the queue", now))
			continue
		}
		if !s.withinShares(e, 1) {
			s.closeLane(l, true)
			continue
		}
		w := s.chooseForLane(l, e, now)
		if w == nil {
			s.closeLane(l, s.excludedByPolicy)
			continue
		}
		p := &Placement{scheduler: s}
		s.reserve(p, e, w, 0, now)
		s.completePlacement(e, p, now)
		s.closeExhaustedLanes(w)
	}
}

// chooseForLane returns a worker for e, the head of l, or nil.
func (s *Scheduler) chooseForLane(l *lane, e *queueEntry, now time.Time) *heldWorker {
	w := l.onlyCandidate
	if w == nil {
		return s.chooseWorker(e, now)
	}
	plain, accel := s.eligibleKinds(e)
	s.excludedByPolicy = w.index == s.plainWorkers && !plain || w.index == s.accelWorkers && !accel
	if s.excludedByPolicy || !feasible(w, e, now) {
		return nil
	}
	return w
}

// nextEntry returns the job of all open lanes that is next in order, or nil. It
// does not remove the job. Its cost is linear in the number of open lanes, which
// does not depend on the length of the queue.
func (s *Scheduler) nextEntry(now time.Time) *queueEntry {
	var best laneCandidate
	for _, l := range s.openLanes {
		t := l.peek()
		if t.guaranteeUse >= 1 && l.profile.cappedAtGuarantee() {
			continue
		}
		if best.teamQueue == nil || t.precedes(best, now) {
			best = t
		}
	}
	if best.teamQueue == nil {
		return nil
	}
	return best.head
}

// guaranteeUse returns the fraction of the guaranteed share that is in use, or
// 1 if it is used up or there is none.
func (p *profile) guaranteeUse() float64 {
	if p.running >= p.guaranteed {
		return 1
	}
	return float64(p.running) / float64(p.guaranteed)
}

// withinShares reports whether the guaranteed shares allow count members of e to
// start: a profile that may not borrow stays within its guarantee, and long work
// beyond the guarantee leaves free what is guaranteed to others, since it would
// not return it in time. Short work does not count against the guarantee of
// long work of the same profile: by borrowing every slot it would otherwise keep
// the long work from starting.
func (s *Scheduler) withinShares(e *queueEntry, count int) bool {
	p := e.profile
	running := p.running
	if e.long && !p.cappedAtGuarantee() {
		running = p.runningLong
	}
	afterStart, need, slots := running+count, multiply(e.need, count), count
	// The capacity that the reservation waits for counts as taken; otherwise
	// the reserved job might never get it.
	if r := s.gangs.reservation; r != nil && r.entry != e {
		need = need.Add(multiply(r.entry.need, r.entry.job.Members))
		slots += r.entry.job.Members
		if r.entry.profile == p {
			afterStart += r.entry.job.Members
		}
	}
	if afterStart <= p.guaranteed {
		return true
	}
	if p.cappedAtGuarantee() {
		return false
	}
	if !e.long {
		return true
	}
	if e.need.Accelerators > 0 {
		// Only the guarantees of other profiles that need accelerators compete
		// for the workers with accelerators.
		return leavesFree(s.accelPool, s.unusedGuarantees(p, accelOnly), need, slots)
	}
	return leavesFree(s.allPool, s.unusedGuarantees(p, accelOnly)+s.unusedGuarantees(p, plainOnly), need, slots)
}

// Kinds of profiles by whether their jobs need accelerators.
const (
	plainOnly = false
	accelOnly = true
)

// eligibleKinds reports whether e may run on workers without accelerators and
// on workers with accelerators if they have room. Long work that needs no
// accelerators and exceeds the guaranteed share of its own profile leaves free, on
// the workers of each kind, the unused guarantees of the other profiles of that
// kind. If its profile sets KeepAccelerators, it takes no worker with accelerators
// while jobs that need accelerators wait.
func (s *Scheduler) eligibleKinds(e *queueEntry) (plain, accel bool) {
	if e.need.Accelerators > 0 {
		return false, true
	}
	if !e.long || e.profile.runningLong < e.profile.guaranteed {
		return true, true
	}
	plainPool := pool{
		s.allPool.total.sub(s.accelPool.total.Resources, s.accelPool.total.slots),
		s.allPool.allocated.sub(s.accelPool.allocated.Resources, s.accelPool.allocated.slots),
	}
	plain = leavesFree(plainPool, s.unusedGuarantees(e.profile, plainOnly), e.need, 1)
	if e.profile.Placement.KeepAccelerators && s.readyAccelLanes > 0 {
		return plain, false
	}
	return plain, leavesFree(s.accelPool, s.unusedGuarantees(e.profile, accelOnly), e.need, 1)
}

// unusedGuarantees returns the number of slots that are guaranteed to profiles of
// one kind other than p and not in use. accel is plainOnly or accelOnly.
func (s *Scheduler) unusedGuarantees(p *profile, accel bool) int {
	unused := 0
	for _, q := range s.profileOrder {
		if q != p && q.needsAccelerators == accel {
			unused += max(q.guaranteed-q.running, 0)
		}
	}
	return unused
}

// leavesFree reports whether a pool still has the given number of unused
// guaranteed slots free, and the same fraction of its processors and memory, once
// need and slots are allocated in addition.
func leavesFree(in pool, unused int, need worker.Resources, slots int) bool {
	if unused == 0 {
		return true
	}
	after := in.allocated.add(need, slots)
	total, available := int64(in.total.slots), int64(in.total.slots-unused)
	within := func(used, all int64) bool { return used*total <= all*available }
	return int64(after.slots) <= available && within(after.MilliCPU, in.total.MilliCPU) && within(after.MemoryMiB, in.total.MemoryMiB)
}

// plannedSize returns the size to allocate for a reservation: the larger of the
// declared and the estimated size, but at most that of the largest worker that
// the declared size fits, so that a wrong estimate cannot keep a job from running.
func (s *Scheduler) plannedSize(e *queueEntry) worker.Resources {
	estimate, ok := s.history.estimateSize(e.job.Service, e.job.Team)
	if !ok {
		return e.declared
	}
	need := e.declared.Max(estimate)
	need.Accelerators = e.declared.Accelerators
	var largest worker.Resources
	for c := range s.capacityCounts {
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
