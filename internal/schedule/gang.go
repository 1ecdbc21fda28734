package schedule

import (
	"sort"
	"time"

	"github.com/laburnumpass/laburnumpass/api"
)

const (
	// minReplanInterval is the minimum time between two plans of a reservation.
	minReplanInterval = time.Second
	// maxGangAttempts bounds the jobs that one pass over the gang queue tries to
	// start, and the number of passes in one dispatch.
	maxGangAttempts = 8
	// starvedAfter is the time in the queue after which a large job with a
	// single member gets a reservation if it is the next job of the closed lanes.
	starvedAfter = 500 * time.Millisecond
)

// reservation keeps capacity free for all members of one job until every
// reserved worker has enough. There is at most one at a time, so that two jobs
// cannot wait for each other.
type reservation struct {
	entry          *queueEntry
	expectedStart  time.Time
	plannedAt      time.Time
	members        map[*heldWorker]int // number of members planned on each worker
	shortfall      map[*heldWorker]int // members for which each worker has no room yet
	missingMembers int                 // sum of shortfall
}

// updateShortfall recomputes the shortfall of w after a change of what is
// allocated on it.
func (r *reservation) updateShortfall(w *heldWorker) {
	short := max(r.members[w]-fittingTasks(r.entry.need, w.free()), 0)
	r.missingMembers += short - r.shortfall[w]
	r.shortfall[w] = short
}

// gangQueue holds the waiting gang (all-at-once) jobs in order of age, and the
// reservation.
type gangQueue struct {
	head, tail  *queueEntry
	length      int
	reservation *reservation
	// dirty is set when a job that could not be started before may start now.
	dirty bool
}

func (g *gangQueue) push(s *Scheduler, e *queueEntry) {
	e.prev = g.tail
	if g.tail == nil {
		g.head = e
	} else {
		g.tail.next = e
	}
	g.tail = e
	g.length++
	g.dirty = true
	if e.team.oldestGang == nil {
		e.team.oldestGang = e
		s.updateDominantShare(e.team)
	}
}

func (g *gangQueue) remove(s *Scheduler, e *queueEntry) {
	after := e.next
	if e.prev == nil {
		g.head = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		g.tail = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.prev, e.next = nil, nil
	g.length--
	g.dirty = true
	if e.team.oldestGang == e {
		e.team.oldestGang = nil
		for ; after != nil; after = after.next {
			if after.team == e.team {
				e.team.oldestGang = after
				break
			}
		}
		s.updateDominantShare(e.team)
	}
}

func (g *gangQueue) entries() []*queueEntry {
	var all []*queueEntry
	for e := g.head; e != nil; e = e.next {
		all = append(all, e)
	}
	return all
}

// updateReservation updates the reservation on w, if any, after a change of what
// is allocated on w.
func (g *gangQueue) updateReservation(w *heldWorker) {
	if w.reservation != nil {
		w.reservation.updateShortfall(w)
	}
}

// newestOf returns the newest waiting gang job of a backlog, or nil.
func (g *gangQueue) newestOf(b *backlog) *queueEntry {
	for e := g.tail; e != nil; e = e.prev {
		if e.backlog == b {
			return e
		}
	}
	return nil
}

// dispatch starts the reserved job once all its members have room, and other
// gang jobs that fit beside the reservation.
func (g *gangQueue) dispatch(s *Scheduler, now time.Time) {
	if g.reservation != nil && !g.reservation.entry.deadline.After(now) {
		e := g.reservation.entry
		s.dequeue(e)
		s.reportRefusal(e, s.newRefusal(e, api.ReasonDeadline, "the deadline passed in the queue", now))
	}
	if r := g.reservation; r != nil && r.missingMembers == 0 && r.entry.team.hasQuotaFor(r.entry) && s.withinShares(r.entry, r.entry.job.Members) {
		s.startReserved(r, now)
	}
	for tried := 0; g.dirty && tried < maxGangAttempts; tried++ {
		if !g.dispatchOne(s, now) {
			break
		}
	}
}

// dispatchOne goes through the oldest jobs and reports whether it started or
// refused one. If there is no reservation, the oldest job that cannot start and
// for which a plan exists gets it.
func (g *gangQueue) dispatchOne(s *Scheduler, now time.Time) bool {
	g.dirty = false
	attempts := 0
	for e := g.head; e != nil && attempts < maxGangAttempts; e = e.next {
		if !e.deadline.After(now) {
			s.dequeue(e)
			s.reportRefusal(e, s.newRefusal(e, api.ReasonDeadline, "the deadline passed in the queue", now))
			return true
		}
		if g.reservation != nil && g.reservation.entry == e || !e.team.hasQuotaFor(e) {
			continue
		}
		attempts++
		if s.withinShares(e, e.job.Members) && s.tryStart(e, now) {
			return true
		}
		if g.reservation == nil && s.attainable(e) && now.Sub(e.lastPlanned) >= minReplanInterval {
			e.lastPlanned = now
			s.createReservation(e, now)
		}
	}
	return false
}

// hasQuotaFor reports whether the team's quota has room for all members of e.
func (t *team) hasQuotaFor(e *queueEntry) bool { return t.used.slots+e.job.Members <= t.limit() }

// attainable reports whether the guaranteed shares could ever allow all members
// of e to run at once.
func (s *Scheduler) attainable(e *queueEntry) bool {
	p, count := e.profile, e.job.Members
	if count <= p.guaranteed {
		return true
	}
	if p.cappedAtGuarantee() {
		return false
	}
	guaranteedToOthers := 0
	for _, q := range s.profileOrder {
		if q != p {
			guaranteedToOthers += q.guaranteed
		}
	}
	return !e.long || count <= s.allPool.total.slots-guaranteedToOthers
}

// tryStart reserves all members of e now, or none, and reports whether it did.
func (s *Scheduler) tryStart(e *queueEntry, now time.Time) bool {
	freeSlots := s.estimateFreeSlots(s.plainWorkers, e.need) + s.estimateFreeSlots(s.accelWorkers, e.need)
	if len(s.workers) > capacitySampleSize {
		freeSlots *= 2 // allows for the sampling error
	}
	if freeSlots < e.job.Members {
		return false
	}
	p := &Placement{scheduler: s}
	for member := range e.job.Members {
		w := s.chooseWorker(e, now)
		if w == nil {
			for _, a := range p.allocations {
				w := a.worker
				s.removeAllocation(a)
				if a.probe {
					s.reofferProbe(w, now)
				}
				w.index.update(w)
			}
			return false
		}
		s.reserve(p, e, w, member, now)
	}
	s.completePlacement(e, p, now)
	return true
}

// completePlacement removes e from the queue and reports its placement.
func (s *Scheduler) completePlacement(e *queueEntry, p *Placement, now time.Time) {
	// A job that did not wait says nothing about how fast a queue drains.
	if e.enqueued.Before(now) || e.backlog.queued > 1 {
		e.backlog.starts.record(now)
	}
	if e.enqueued.Before(now) || e.profile.queued > 1 {
		e.profile.starts.record(now)
	}
	s.dequeue(e)
	s.callbacks = append(s.callbacks, func() { e.report(p, nil) })
}

// startReserved places the job of a reservation whose workers have room for all
// members.
func (s *Scheduler) startReserved(r *reservation, now time.Time) {
	e := r.entry
	s.gangs.dropReservation(s)
	p := &Placement{scheduler: s}
	for _, w := range sortedWorkers(r.members) {
		for range r.members[w] {
			s.reserve(p, e, w, len(p.Members), now)
		}
	}
	s.completePlacement(e, p, now)
	s.reopenAllLanes()
}

// createReservation makes a reservation for e if a plan for it exists.
func (s *Scheduler) createReservation(e *queueEntry, now time.Time) {
	r := s.planReservation(e, now)
	if r == nil {
		return
	}
	s.gangs.reservation = r
	for w := range r.members {
		w.reservation = r
		r.updateShortfall(w)
	}
}

// dropReservation removes the reservation, if there is one.
func (g *gangQueue) dropReservation(s *Scheduler) {
	if g.reservation == nil {
		return
	}
	for w := range g.reservation.members {
		w.reservation = nil
	}
	g.reservation = nil
	s.reopenAllLanes()
}

// workerUnavailable drops the reservation if it includes w, so that a new one is
// planned without w.
func (g *gangQueue) workerUnavailable(s *Scheduler, w *heldWorker) {
	if w.reservation != nil {
		g.dropReservation(s)
	}
}

// replan makes a new plan for a reservation that is past its expected start, and
// drops one that the quota or the guaranteed shares no longer allow. If there is
// no reservation, it makes one for a large job that smaller jobs keep from
// starting.
func (g *gangQueue) replan(s *Scheduler, now time.Time) {
	g.dirty = g.length > 0
	if r := g.reservation; r != nil && !(r.entry.team.hasQuotaFor(r.entry) && s.attainable(r.entry)) {
		// The quota or the guaranteed shares have changed since it was made.
		g.dropReservation(s)
	}
	if r := g.reservation; r != nil {
		if r.missingMembers > 0 && now.After(r.expectedStart) && now.Sub(r.plannedAt) >= minReplanInterval {
			// The new plan prefers the workers that are reserved already, so
			// that the capacity freed on them so far is not lost.
			if next := s.planReservation(r.entry, now); next != nil {
				g.dropReservation(s)
				g.reservation = next
				for w := range next.members {
					w.reservation = next
					next.updateShortfall(w)
				}
			}
		}
		return
	}
	var best laneCandidate
	for _, l := range s.closedLanes {
		if t := l.peek(); !l.closedByPolicy && (best.teamQueue == nil || t.precedes(best, now)) {
			best = t
		}
	}
	if best.teamQueue == nil {
		return
	}
	if e := best.head; now.Sub(e.enqueued) >= starvedAfter && s.isLarge(e) {
		s.createReservation(e, now)
	}
}

// isLarge reports whether no worker has room for more than two tasks of e's size.
func (s *Scheduler) isLarge(e *queueEntry) bool {
	for c := range s.capacityCounts {
		if fittingTasks(e.need, amount{c.Resources, c.Slots}) > 2 {
			return false
		}
	}
	return true
}

// sortedWorkers returns the keys of m sorted by worker name.
func sortedWorkers(m map[*heldWorker]int) []*heldWorker {
	workers := make([]*heldWorker, 0, len(m))
	for w := range m {
		workers = append(workers, w)
	}
	sort.Slice(workers, func(i, j int) bool { return workers[i].info.Name < workers[j].info.Name })
	return workers
}
