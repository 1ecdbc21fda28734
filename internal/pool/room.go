package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/worker"
)

const (
	// evictAfter is how long a step waits before less urgent tasks make room:
	// short tasks end and leave room within that time.
	evictAfter = 150 * time.Millisecond
	// evictSlack is how long a step may still wait for its objective when less
	// urgent tasks are stopped for it. Before that, ends of other tasks give it
	// room without a stop, which takes up to 0.9 s in which the room is idle.
	evictSlack = 1500 * time.Millisecond
	// maxEvictions bounds how often a task makes room.
	maxEvictions = 2
	// maxWaitingGangs is for how many gangs at one time workers are kept from less
	// urgent work until they are empty enough; more would idle much of the cell.
	maxWaitingGangs = 2
	// maxReserved bounds the tasks of one step for which room is kept; a gang
	// needs room for all of it.
	maxReserved = 16
)

// claims is the room that steps which cannot be placed yet will take. Less
// urgent steps must leave it. It is made for one pass, in which room only
// shrinks: what was looked for in vain need not be looked for again. Room that
// evictions give beyond their need is seen in the next pass.
type claims struct {
	pool *Pool
	// nodes are the workers that may be given work in this pass.
	nodes []*node
	taken map[*node]worker.Resources
	// gangs counts the gangs for which workers are kept.
	gangs int
	// missing are needs for which no worker has room, or will have when the runs
	// that are being stopped have ended.
	missing, missingSoon []shortage
	// missingEvicted are those for which no worker would have room either after
	// evictions for a priority.
	missingEvicted map[int][]shortage
	// yielding has what evictable tasks on a worker took at first sight, by the
	// priority for which they make room. It preselects workers.
	yielding map[yieldKey]worker.Resources
}

// shortage is a need for which no worker with a label has room.
type shortage struct {
	label string
	need  worker.Resources
}

type yieldKey struct {
	node     *node
	priority int
}

func (p *Pool) newClaims(now time.Time) *claims {
	c := &claims{pool: p, taken: make(map[*node]worker.Resources), missingEvicted: make(map[int][]shortage), yielding: make(map[yieldKey]worker.Resources)}
	for _, n := range p.nodes {
		if n.usable(now) && n.health.admits(now) {
			c.nodes = append(c.nodes, n)
		}
	}
	return c
}

// full tells whether no worker has room for a task of the step.
func (c *claims) full(s *step) bool {
	return c.lacks(s, &c.missing, func(n *node) worker.Resources { return n.free().Sub(c.taken[n]) })
}

// fullSoon tells whether no worker will have room for a task of the step when
// the runs that are being stopped have ended.
func (c *claims) fullSoon(s *step) bool {
	return c.lacks(s, &c.missingSoon, func(n *node) worker.Resources { return n.free().Add(n.leaving).Sub(c.taken[n]) })
}

func (c *claims) lacks(s *step, known *[]shortage, left func(*node) worker.Resources) bool {
	if includes(*known, s) {
		return true
	}
	need := s.need()
	for _, n := range c.nodes {
		if c.pool.suits(s, n) && need.Fits(left(n)) {
			return false
		}
	}
	*known = append(*known, shortage{s.spec.RequiredLabel, need})
	return true
}

// includes tells whether a step needs as much as one of the shortages.
func includes(known []shortage, s *step) bool {
	need := s.need()
	return slices.ContainsFunc(known, func(m shortage) bool {
		return (m.label == "" || m.label == s.spec.RequiredLabel) && m.need.Fits(need)
	})
}

// yields returns what tasks on n take that may make room for priority.
func (c *claims) yields(n *node, priority int) worker.Resources {
	key := yieldKey{n, priority}
	sum, known := c.yielding[key]
	if !known {
		for _, r := range n.runs {
			if r.evictableFor(priority) {
				sum = sum.Add(r.resources)
			}
		}
		c.yielding[key] = sum
	}
	return sum
}

// fit returns how many tasks of the step fit on n now.
func (c *claims) fit(s *step, n *node) int {
	return c.pool.roomFor(s, n, n.free().Sub(c.taken[n]))
}

// fitSoon returns how many tasks of the step fit on n when the runs that are
// being stopped have ended.
func (c *claims) fitSoon(s *step, n *node) int {
	return c.pool.roomFor(s, n, n.free().Add(n.leaving).Sub(c.taken[n]))
}

// claim takes room for tasks of the step on the named workers, and returns how
// many tasks it found room for.
func (c *claims) claim(s *step, named []*node, tasks int) int {
	need, claimed := s.need(), 0
	for _, n := range named {
		for fits := c.fitSoon(s, n); fits > 0 && claimed < tasks; fits-- {
			c.taken[n] = c.taken[n].Add(need)
			claimed++
		}
	}
	return claimed
}

// makeRoom keeps room for a step that could not be placed, and stops less
// urgent tasks where that gives it room. Only tasks that write a checkpoint are
// stopped, so little work is lost.
func (p *Pool) makeRoom(s *step, tasks int, room *claims, now time.Time) {
	if s.spec.Filler || now.Sub(s.readyAt) < evictAfter {
		return
	}
	if !s.spec.Gang {
		tasks = min(tasks, maxReserved)
	}
	slack, _ := p.slack(s, now)
	stop := slack < evictSlack
	keep := s.spec.Gang && room.gangs < maxWaitingGangs
	candidates := p.roomy(s, stop, keep, room)
	if len(candidates) == 0 {
		return
	}
	plan := p.planEvictions(s, candidates, tasks, stop, room)
	if plan == nil {
		if keep {
			room.gangs++
			room.keep(s, candidates, tasks)
		}
		return
	}
	for _, r := range plan.victims {
		r.task.evictions++
		p.log.Info("task makes room", "job", r.task.step.job.id, "task", r.task.name(), "worker", r.node.entry.ID, "for", s.name())
		p.count("tasks.evicted")
		p.stop(r, "makes_room")
	}
	for n, resources := range plan.taken {
		room.taken[n] = room.taken[n].Add(resources)
	}
}

// roomy returns the workers that have room for a task of the step, or will have
// it when runs have been stopped, those with the most room first. all returns
// those without room too.
func (p *Pool) roomy(s *step, stop, all bool, room *claims) []*node {
	priority := s.job.queue.Priority
	if !all && (!stop && room.fullSoon(s) || stop && includes(room.missingEvicted[priority], s)) {
		return nil
	}
	type ranked struct {
		n    *node
		fits int
	}
	var list []ranked
	need := s.need()
	for _, n := range room.nodes {
		if !p.suits(s, n) || s.job.queue.Policy != nil && !s.advice.approved[n.entry.ID] {
			continue
		}
		fits := room.fitSoon(s, n)
		if all || fits > 0 || stop && need.Fits(n.free().Add(n.leaving).Sub(room.taken[n]).Add(room.yields(n, priority))) {
			list = append(list, ranked{n, fits})
		}
	}
	if len(list) == 0 && stop && !all && s.job.queue.Policy == nil {
		room.missingEvicted[priority] = append(room.missingEvicted[priority], shortage{s.spec.RequiredLabel, need})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.fits, a.fits), cmp.Compare(a.n.entry.ID, b.n.entry.ID))
	})
	nodes := make([]*node, len(list))
	for i, r := range list {
		nodes[i] = r.n
	}
	return nodes
}

// keep claims room for a gang on the workers that are emptiest, whether it is
// free yet or not. They only get emptier, so the choice stays.
func (c *claims) keep(s *step, candidates []*node, tasks int) {
	slices.SortFunc(candidates, func(a, b *node) int {
		return cmp.Or(
			cmp.Compare(b.free().Accelerators, a.free().Accelerators),
			cmp.Compare(b.free().MilliCPU, a.free().MilliCPU),
			cmp.Compare(a.entry.ID, b.entry.ID),
		)
	})
	need := s.need()
	for _, n := range candidates {
		left := n.entry.Capacity.Sub(c.taken[n])
		for limit := s.spec.MaxPerWorker; tasks > 0 && need.Fits(left) && (limit == 0 || taskCount(c.taken[n], need) < limit); tasks-- {
			c.taken[n] = c.taken[n].Add(need)
			left = left.Sub(need)
		}
	}
}

// evictions is what is to be stopped and claimed for a step.
type evictions struct {
	victims []*run
	taken   map[*node]worker.Resources
}

// planEvictions looks for room for tasks of the step; nil if there is not
// enough for a gang, or none at all. Less urgent tasks count as room if stop is
// set.
func (p *Pool) planEvictions(s *step, candidates []*node, tasks int, stop bool, room *claims) *evictions {
	plan := &evictions{taken: make(map[*node]worker.Resources)}
	need, found := s.need(), 0
	for _, n := range candidates {
		free := n.free().Add(n.leaving).Sub(room.taken[n])
		var victims []*run
		if stop {
			victims = p.victims(s, n)
		}
		for found < tasks {
			limit := s.spec.MaxPerWorker
			if limit > 0 && n.perStep[s]+taskCount(plan.taken[n], need) >= limit {
				break
			}
			left := free.Sub(plan.taken[n])
			for len(victims) > 0 && !need.Fits(left) {
				left = left.Add(victims[0].resources)
				free = free.Add(victims[0].resources)
				plan.victims = append(plan.victims, victims[0])
				victims = victims[1:]
			}
			if !need.Fits(left) {
				break
			}
			plan.taken[n] = plan.taken[n].Add(need)
			found++
		}
	}
	if found == 0 || s.spec.Gang && found < tasks {
		return nil
	}
	return plan
}

// taskCount returns how many tasks that take need make up sum.
func taskCount(sum, need worker.Resources) int {
	for _, d := range [][2]int64{{sum.MilliCPU, need.MilliCPU}, {sum.MemoryMiB, need.MemoryMiB}, {sum.Accelerators, need.Accelerators}} {
		if d[1] > 0 {
			return int(d[0] / d[1])
		}
	}
	return 0
}

// victims returns the runs on n that may make room for the step, those first
// that give the most room.
func (p *Pool) victims(s *step, n *node) []*run {
	var victims []*run
	for _, r := range n.runs {
		if r.evictableFor(s.job.queue.Priority) {
			victims = append(victims, r)
		}
	}
	slices.SortFunc(victims, func(a, b *run) int {
		return cmp.Or(
			cmp.Compare(b.resources.Accelerators, a.resources.Accelerators),
			cmp.Compare(b.resources.MilliCPU, a.resources.MilliCPU),
			cmp.Compare(a.task.name(), b.task.name()),
		)
	})
	return victims
}

// evictableFor tells whether the run may make room for a step of the priority.
func (r *run) evictableFor(priority int) bool {
	spec := r.task.step.spec
	return r.state == runActive && !r.stopping && spec.Checkpointable && !spec.LongRunning && !spec.Gang && !spec.Filler &&
		r.task.step.job.queue.Priority > priority && r.task.evictions < maxEvictions
}
