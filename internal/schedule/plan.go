package schedule

import (
	"sort"
	"time"
)

// maxPlanWorkers bounds the number of workers of each kind that a plan considers,
// so that planning on 5,100 workers takes a few milliseconds. For a job with more
// than half as many members the bound is twice the number of members.
const maxPlanWorkers = 1024

// acceleratorDelay is by how much later a job that avoids workers with
// accelerators may be planned to start in order not to use one.
const acceleratorDelay = 10 * time.Second

// opening is the time from which a worker has room for one more member.
type opening struct {
	at       time.Time
	sortTime time.Time // at, plus a delay for a worker to avoid
	worker   *heldWorker
}

// planReservation returns a reservation for e with the earliest start that the
// expected ends of the running tasks allow, or nil if there is none.
func (s *Scheduler) planReservation(e *queueEntry, now time.Time) *reservation {
	var openings []opening
	if e.need.Accelerators == 0 {
		openings = s.openingsIn(s.plainWorkers, e, now)
	}
	accelerated := s.openingsIn(s.accelWorkers, e, now)
	if e.need.Accelerators == 0 {
		if e.profile.Placement.KeepAccelerators {
			for i := range accelerated {
				accelerated[i].sortTime = accelerated[i].sortTime.Add(acceleratorDelay)
			}
		}
		if e.long {
			// The plan respects the guarantees of profiles that need accelerators.
			available := s.accelPool.total.slots - s.unusedGuarantees(e.profile, accelOnly) - s.accelPool.allocated.slots
			accelerated = accelerated[:min(max(available, 0), len(accelerated))]
		}
	}
	openings = append(openings, accelerated...)
	if len(openings) < e.job.Members {
		return nil
	}
	sortOpenings(openings)
	r := &reservation{entry: e, plannedAt: now, members: map[*heldWorker]int{}, shortfall: map[*heldWorker]int{}}
	for _, o := range openings[:e.job.Members] {
		r.members[o.worker]++
		if o.at.After(r.expectedStart) {
			r.expectedStart = o.at
		}
	}
	return r
}

// openingsIn returns the openings for e on the workers of x, sorted. It considers
// a sample if there are many workers. The workers that are already reserved for e
// are always included, so that the capacity freed on them so far is not lost.
func (s *Scheduler) openingsIn(x *index, e *queueEntry, now time.Time) []opening {
	var openings []opening
	size := len(x.leaves)
	if size == 0 {
		return nil
	}
	current := s.gangs.reservation
	if current != nil && current.entry == e {
		for _, w := range sortedWorkers(current.members) {
			if w.index == x {
				openings = append(openings, openingsOf(w, e, now)...)
			}
		}
	}
	start := 0
	if size > maxPlanWorkers {
		start = s.rng.IntN(size)
	}
	for i := range min(size, max(maxPlanWorkers, 2*e.job.Members)) {
		w := x.leaves[(start+i)%size]
		if w != nil && !w.leaving && !w.health.quarantined && (w.reservation == nil || w.reservation.entry != e) {
			openings = append(openings, openingsOf(w, e, now)...)
		}
	}
	sortOpenings(openings)
	return openings
}

// sortOpenings sorts by sortTime. The sort is stable: among equal openings those
// on reserved workers stay first, where openingsIn puts them.
func sortOpenings(openings []opening) {
	sort.SliceStable(openings, func(i, j int) bool { return openings[i].sortTime.Before(openings[j].sortTime) })
}

// openingsOf returns the times from which w has room for its first, second, ...
// member of e.
func openingsOf(w *heldWorker, e *queueEntry, now time.Time) []opening {
	limit := min(fittingTasks(e.need, amount{w.capacity.Resources, w.capacity.Slots}), e.job.Members)
	if limit == 0 {
		return nil
	}
	type ending struct {
		at   time.Time
		task *allocation
	}
	endings := make([]ending, 0, len(w.tasks))
	for _, a := range w.tasks {
		at := a.expectedEnd
		if !at.After(now) {
			// A task past its expected end is assumed to continue for half of
			// the time that it has run.
			at = now.Add(now.Sub(a.start) / 2)
		}
		endings = append(endings, ending{at, a})
	}
	sort.Slice(endings, func(i, j int) bool {
		if !endings[i].at.Equal(endings[j].at) {
			return endings[i].at.Before(endings[j].at)
		}
		return endings[i].task.id < endings[j].task.id
	})
	var out []opening
	free := w.free()
	at := now
	for i := 0; ; i++ {
		for len(out) < min(fittingTasks(e.need, free), limit) {
			out = append(out, opening{at, at, w})
		}
		if len(out) == limit || i == len(endings) {
			return out
		}
		free = free.add(endings[i].task.size, 1)
		at = endings[i].at
	}
}
