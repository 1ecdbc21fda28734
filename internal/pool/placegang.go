package pool

import (
	"cmp"
	"slices"
	"time"
)

// placeGang places all tasks or none. With SameRack it prefers a single rack
// that has the capacity.
func (p *Pool) placeGang(s *step, tasks []*task, candidates []*node, capacity *capacityTracker, now time.Time) []placement {
	groups := [][]*node{candidates}
	choice := p.newRackChoice(s, capacity, now)
	if s.spec.SameRack {
		racks := make(map[string][]*node)
		for _, n := range candidates {
			racks[n.entry.Rack()] = append(racks[n.entry.Rack()], n)
		}
		groups = nil
		for _, nodes := range racks {
			groups = append(groups, nodes)
		}
		slices.SortFunc(groups, func(a, b []*node) int { return cmp.Compare(a[0].entry.Rack(), b[0].entry.Rack()) })
		groups = append(groups, candidates)
	}
	fits := false
	for _, group := range groups {
		var placed []placement
		number := tasks[0].nextRun()
		ranking := p.newWorkerRanking(s, group)
		for _, t := range tasks {
			n := ranking.best(capacity, "")
			if n == nil {
				break
			}
			ticket, _ := s.validTicket(n, now)
			p.planRun(t, n, ticket, number)
			ranking.update(n)
			placed = append(placed, placement{t, n})
		}
		complete := len(placed) == len(tasks)
		fits = fits || complete
		if complete && choice.placedWell(placed) {
			return capacity.closeProbing(placed)
		}
		for _, pl := range placed {
			p.discardPlan(pl.task)
		}
		switch {
		case complete && choice.gangWaits(tasks):
			return nil
		case complete:
			for _, pl := range placed {
				ticket, _ := s.validTicket(pl.node, now)
				p.planRun(pl.task, pl.node, ticket, number)
			}
			return capacity.closeProbing(placed)
		}
	}
	if !fits {
		capacity.noteGangShortage(s, len(tasks))
	}
	return nil
}

// closeProbing closes the workers of a placed gang with probes to other starts.
func (c *capacityTracker) closeProbing(placed []placement) []placement {
	for _, pl := range placed {
		c.closeIfProbing(pl.node)
	}
	return placed
}
