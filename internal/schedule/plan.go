package schedule

import (
	"sort"
	"time"
)

// planWorkers bounds the workers that a plan looks at, so that a plan on 5,100
// workers takes a few milliseconds.
const maxPlanWorkers = 1024

// keepFor is how much later a plan starts to keep off workers with
// accelerators, for a job that avoids them.
const acceleratorDelay = 10 * time.Second

// opening is a time from which a worker has room for one more member.
type opening struct {
	at       time.Time
	sortTime time.Time // at, or later for a worker to avoid
	worker   *heldWorker
}

// planFor returns the reservation of e with the earliest start that the
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
			// The plan keeps to the guarantees of work with accelerators.
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

// openingsIn returns the openings for e on the workers of one kind, in their
// order, of a sample if there are many. The workers of a reservation that e
// has already are always among them, so that what they drained is not lost.
func (s *Scheduler) openingsIn(x *index, e *queueEntry, now time.Time) []opening {
	var openings []opening
	size := len(x.leaves)
	if size == 0 {
		return nil
	}
	held := s.gangs.reservation
	if held != nil && held.entry == e {
		for _, w := range sortedWorkers(held.members) {
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

// sortOpenings sorts by rank. Among equal ones the workers of a reservation
// come first, which openingsIn put first.
func sortOpenings(openings []opening) {
	sort.SliceStable(openings, func(i, j int) bool { return openings[i].sortTime.Before(openings[j].sortTime) })
}

// openingsOf returns when n has room for its first, second, ... member of e.
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
			// A task past its expected end is expected to run half as long
			// again as it has.
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
