package pool

import (
	"cmp"
	"slices"
	"time"
)

// A suspect, a task that may crash its worker, runs next as a probe; see crash.go.

const (
	// minProbingShare bounds the workers that probes may take down at a time, as a
	// share of all, in a cell that is in full use, and maxProbingShare in an idle one.
	minProbingShare, maxProbingShare = 0.125, 0.5
	// maxProbeWait is how long a suspect waits until probes may take down maxProbingShare
	// of the workers for it, if less than maxBusyShare of the capacity is in use, and
	// maxLongRunningProbeWait how long a long-running one waits for other probes at all.
	maxProbeWait            = 8 * time.Second
	maxLongRunningProbeWait = 2 * time.Second
	maxBusyShare            = 0.5
)

// endProbe lets the worker start other work again.
func (n *node) endProbe(r *run) {
	if r.probe {
		r.probe = false
		n.probes--
	}
}

// quietFor reports whether no run of another job has been started on n within
// crashWindow or is about to be.
func (n *node) quietFor(j *Job, now time.Time) bool {
	for _, r := range n.runs {
		if r.task.step.job != j && (r.state == runPlanned || r.startedWithin(crashWindow, now)) {
			return false
		}
	}
	return true
}

// probeLimits bound how many workers may have probes at a time.
type probeLimits struct {
	// usual grows with the share of the capacity that is free; most is for suspects
	// that have waited too long.
	usual, most int
	// busy is the share of the capacity that is in use on workers that reply.
	busy float64
}

func (p *Pool) probeLimits() probeLimits {
	listed, used, usedAlive, total := 0, int64(0), int64(0), int64(0)
	for _, n := range p.nodes {
		if n.listed && n.entry.Service == p.opts.Shard.Service {
			listed++
			total += n.entry.Capacity.MilliCPU
			used += n.used.MilliCPU
			if !n.unresponsive {
				usedAlive += n.used.MilliCPU
			}
		}
	}
	total = max(total, 1)
	share := maxProbingShare * (1 - float64(used)/float64(total))
	return probeLimits{
		usual: max(int(float64(listed)*max(minProbingShare, share)), 1),
		most:  max(int(float64(listed)*maxProbingShare), 1),
		busy:  float64(usedAlive) / float64(total),
	}
}

func splitSuspects(tasks []*task) (suspects, others []*task) {
	if !slices.ContainsFunc(tasks, func(t *task) bool { return t.suspect }) {
		return nil, tasks
	}
	for _, t := range tasks {
		if t.suspect {
			suspects = append(suspects, t)
		} else {
			others = append(others, t)
		}
	}
	return suspects, others
}

// placeable returns the tasks without the suspects that have to wait for other probes.
// A gang waits as a whole.
func (c *capacityTracker) placeable(s *step, tasks []*task, now time.Time) []*task {
	suspects, others := splitSuspects(tasks)
	switch {
	case len(suspects) == 0 || c.mayProbe(suspects, now):
		return tasks
	case s.spec.Gang:
		return nil
	}
	return others
}

// placeProbes places suspects of one job. They share workers, since the job fails
// whichever of them is the cause.
func (p *Pool) placeProbes(s *step, suspects []*task, candidates []*node, capacity *capacityTracker, now time.Time) []placement {
	if len(suspects) == 0 {
		return nil
	}
	var placed []placement
	for _, n := range p.sortForProbes(s, candidates, now) {
		if len(suspects) == 0 || !capacity.mayProbe(suspects, now) {
			break
		}
		ticket, _ := s.validTicket(n, now)
		for len(suspects) > 0 && capacity.tasksThatFit(s, n) > 0 {
			p.planRun(suspects[0], n, ticket, suspects[0].nextRun())
			placed = append(placed, placement{suspects[0], n})
			suspects = suspects[1:]
		}
		capacity.closeIfProbing(n)
	}
	return placed
}

// sortForProbes sorts workers by how well they suit a probe for the step: quiet ones
// first, then those in racks without other probes, those with the fewest runs, and
// those with the highest score.
func (p *Pool) sortForProbes(s *step, candidates []*node, now time.Time) []*node {
	probingRacks := make(map[string]bool)
	for _, n := range p.nodes {
		if n.probes > 0 {
			probingRacks[n.entry.Rack()] = true
		}
	}
	type ranked struct {
		n            *node
		loud, shared int
		score        float64
	}
	list := make([]ranked, len(candidates))
	for i, n := range candidates {
		list[i] = ranked{n: n, score: p.score(s, n)}
		if !n.quietFor(s.job, now) {
			list[i].loud = 1
		}
		if probingRacks[n.entry.Rack()] {
			list[i].shared = 1
		}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(
			cmp.Compare(a.loud, b.loud), cmp.Compare(a.shared, b.shared), cmp.Compare(len(a.n.runs), len(b.n.runs)),
			cmp.Compare(b.score, a.score), cmp.Compare(a.n.entry.ID, b.n.entry.ID),
		)
	})
	sorted := make([]*node, len(list))
	for i, r := range list {
		sorted[i] = r.n
	}
	return sorted
}

// closeIfProbing keeps the steps after this one off a worker that has a probe.
func (c *capacityTracker) closeIfProbing(n *node) {
	if n.probes == 0 {
		return
	}
	if i := slices.Index(c.nodes, n); i >= 0 {
		c.nodes = slices.Delete(c.nodes, i, i+1)
		c.probingWorkers++
	}
}

// mayProbe reports whether one more worker may have probes, which are for the given
// suspects of a step.
func (c *capacityTracker) mayProbe(suspects []*task, now time.Time) bool {
	if c.probeLimits == nil {
		limits := c.pool.probeLimits()
		c.probeLimits = &limits
	}
	if c.probingWorkers < c.probeLimits.usual {
		return true
	}
	waited := func(limit time.Duration) bool {
		return slices.ContainsFunc(suspects, func(t *task) bool { return now.Sub(t.suspectSince) > limit })
	}
	if suspects[0].step.spec.LongRunning {
		return waited(maxLongRunningProbeWait)
	}
	return c.probeLimits.busy < maxBusyShare && c.probingWorkers < c.probeLimits.most && waited(maxProbeWait)
}
