package schedule

import (
	"sort"
	"time"
)

// planWorkers bounds the workers that a plan looks at, so that a plan on 5,100
// workers takes a few milliseconds.
const planWorkers = 1024

// keepFor is how much later a plan starts to keep off workers with
// accelerators, for a job that avoids them.
const keepFor = 10 * time.Second

// opening is a time from which a worker has room for one more member.
type opening struct {
	at   time.Time
	rank time.Time // at, or later for a worker to avoid
	node *node
}

// planFor returns the reservation of e with the earliest start that the
// expected ends of the running tasks allow, or nil if there is none.
func (s *Scheduler) planFor(e *entry, now time.Time) *reservation {
	var openings []opening
	if e.need.Accelerators == 0 {
		openings = s.openingsIn(s.plain, e, now)
	}
	accelerated := s.openingsIn(s.accel, e, now)
	if e.need.Accelerators == 0 {
		if e.profile.Placement.KeepAccelerators {
			for i := range accelerated {
				accelerated[i].rank = accelerated[i].rank.Add(keepFor)
			}
		}
		if e.long {
			// The plan keeps to the guarantees of work with accelerators.
			rest := s.withAcc.total.slots - s.unused(e.profile, accelOnly) - s.withAcc.charged.slots
			accelerated = accelerated[:min(max(rest, 0), len(accelerated))]
		}
	}
	openings = append(openings, accelerated...)
	if len(openings) < e.job.Members {
		return nil
	}
	sortOpenings(openings)
	r := &reservation{entry: e, planned: now, members: map[*node]int{}, short: map[*node]int{}}
	for _, o := range openings[:e.job.Members] {
		r.members[o.node]++
		if o.at.After(r.start) {
			r.start = o.at
		}
	}
	return r
}

// openingsIn returns the openings for e on the workers of one kind, in their
// order, of a sample if there are many. The workers of a reservation that e
// has already are always among them, so that what they drained is not lost.
func (s *Scheduler) openingsIn(x *index, e *entry, now time.Time) []opening {
	var openings []opening
	size := len(x.leaves)
	if size == 0 {
		return nil
	}
	held := s.gangs.held
	if held != nil && held.entry == e {
		for _, n := range sortedNodes(held.members) {
			if n.index == x {
				openings = append(openings, openingsOf(n, e, now)...)
			}
		}
	}
	start := 0
	if size > planWorkers {
		start = s.rng.IntN(size)
	}
	for i := range min(size, max(planWorkers, 2*e.job.Members)) {
		n := x.leaves[(start+i)%size]
		if n != nil && !n.leaving && !n.state.aside && (n.reserved == nil || n.reserved.entry != e) {
			openings = append(openings, openingsOf(n, e, now)...)
		}
	}
	sortOpenings(openings)
	return openings
}

// sortOpenings sorts by rank. Among equal ones the workers of a reservation
// come first, which openingsIn put first.
func sortOpenings(openings []opening) {
	sort.SliceStable(openings, func(i, j int) bool { return openings[i].rank.Before(openings[j].rank) })
}

// openingsOf returns when n has room for its first, second, ... member of e.
func openingsOf(n *node, e *entry, now time.Time) []opening {
	most := min(members(e.need, amount{n.capacity.Resources, n.capacity.Slots}), e.job.Members)
	if most == 0 {
		return nil
	}
	type ending struct {
		at time.Time
		c  *charge
	}
	endings := make([]ending, 0, len(n.tasks))
	for _, c := range n.tasks {
		at := c.end
		if !at.After(now) {
			// A task past its expected end is expected to run half as long
			// again as it has.
			at = now.Add(now.Sub(c.start) / 2)
		}
		endings = append(endings, ending{at, c})
	}
	sort.Slice(endings, func(i, j int) bool {
		if !endings[i].at.Equal(endings[j].at) {
			return endings[i].at.Before(endings[j].at)
		}
		return endings[i].c.id < endings[j].c.id
	})
	var out []opening
	free := n.free()
	at := now
	for i := 0; ; i++ {
		for len(out) < min(members(e.need, free), most) {
			out = append(out, opening{at, at, n})
		}
		if len(out) == most || i == len(endings) {
			return out
		}
		free = free.add(endings[i].c.amount, 1)
		at = endings[i].at
	}
}
