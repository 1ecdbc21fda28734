package schedule

import (
	"sort"
	"time"
)

// planWorkers bounds the workers that a plan looks at, so that a plan on 5,100
// workers takes a few milliseconds.
const planWorkers = 1024

// opening is a time from which a worker has room for one more member.
type opening struct {
	at   time.Time
	node *node
}

// planFor returns the reservation of e with the earliest start that the
// expected ends of the running tasks allow, or nil if there is none.
func (s *Scheduler) planFor(e *entry, now time.Time) *reservation {
	kinds := []*index{s.plain, s.accel}
	if e.need.Accelerators > 0 {
		kinds = kinds[1:]
	}
	var openings []opening
	for _, x := range kinds {
		size := len(x.leaves)
		start := 0
		if size > planWorkers {
			start = s.rng.IntN(size)
		}
		for i := range min(size, max(planWorkers, 2*e.job.Members)) {
			if n := x.leaves[(start+i)%size]; n != nil && !n.leaving && !n.state.aside {
				openings = append(openings, openingsOf(n, e, now)...)
			}
		}
		if len(openings) >= e.job.Members && x == s.plain && e.profile.Placement.KeepAccelerators {
			break
		}
	}
	if len(openings) < e.job.Members {
		return nil
	}
	sort.SliceStable(openings, func(i, j int) bool {
		a, b := openings[i], openings[j]
		if !a.at.Equal(b.at) {
			return a.at.Before(b.at)
		}
		return a.node.reserved != nil && b.node.reserved == nil
	})
	r := &reservation{entry: e, planned: now, members: map[*node]int{}, short: map[*node]int{}}
	for _, o := range openings[:e.job.Members] {
		r.members[o.node]++
		r.start = o.at
	}
	return r
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
			out = append(out, opening{at, n})
		}
		if len(out) == most || i == len(endings) {
			return out
		}
		free = free.add(endings[i].c.amount, 1)
		at = endings[i].at
	}
}
