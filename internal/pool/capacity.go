package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/worker"
)

const (
	// evictionDelay is how long a step waits before it reserves capacity or
	// evicts less urgent tasks. Short tasks end and free capacity within that
	// time.
	evictionDelay = 150 * time.Millisecond
	// evictionSlack is the slack below which less urgent tasks are stopped for
	// a step. Above it, the step waits for other tasks to end, without the cost
	// of a stop, which takes up to 0.9 s during which the capacity is idle.
	evictionSlack = 1500 * time.Millisecond
	// maxEvictions bounds how often a task is evicted.
	maxEvictions = 2
	// maxWaitingGangs is how many gangs at a time may reserve workers until
	// these are empty enough. More would leave much of the capacity idle.
	maxWaitingGangs = 2
	// maxReservedTasks bounds the tasks of one step for which capacity is
	// reserved. A gang needs capacity for all of its tasks.
	maxReservedTasks = 16
)

// capacityTracker tracks the capacity reserved during one pass for steps that
// cannot be placed yet; less urgent steps must not use it. During a pass
// capacity only shrinks, so a search that failed need not be repeated. Capacity
// freed by evictions beyond their need is used in the next pass.
type capacityTracker struct {
	pool *Pool
	now  time.Time
	// lapsed is set while reservations for work that may wait long, gangs and work with a
	// policy, are out of force; see idleTime.
	lapsed bool
	// nodes are the workers that may be given work in this pass.
	nodes []*node
	// reserved holds the resources on each worker that are kept for steps
	// without a placement.
	reserved map[*node]worker.Resources
	// probingWorkers counts the workers with probes. probeLimits bounds it; it is nil
	// until it is needed.
	probingWorkers int
	probeLimits    *probeLimits
	// waitingGangs counts the gangs for which workers are reserved.
	waitingGangs int
	// shortages are needs for which no worker has capacity now, and
	// shortagesAfterStops those for which none will have it once the runs that
	// are being stopped have ended.
	shortages, shortagesAfterStops []shortage
	// mostFree holds the most that a worker with a label had free of each resource when it was
	// first looked up in the pass. It is an upper bound.
	mostFree map[string]worker.Resources
	// gangShortages are gangs for which the workers have no capacity now.
	gangShortages []gangShortage
	// shortagesAfterEviction are needs for which no worker would have capacity
	// even after evictions, by the priority of the step.
	shortagesAfterEviction map[int][]shortage
	// evictable caches the resources of evictable runs on a worker, by the
	// priority of the step that needs them, as of the first lookup in the pass.
	// It only preselects workers.
	evictable map[evictableKey]worker.Resources
	// rackForecasts and rackChoices are nil until a step needs them.
	rackForecasts *rackForecasts
	rackChoices   map[*step]*rackChoice
}

type evictableKey struct {
	node     *node
	priority int
}

func (p *Pool) newCapacityTracker(now time.Time) *capacityTracker {
	c := &capacityTracker{pool: p, now: now, lapsed: p.idle.reservationsLapse(now), reserved: make(map[*node]worker.Resources), mostFree: make(map[string]worker.Resources), shortagesAfterEviction: make(map[int][]shortage), evictable: make(map[evictableKey]worker.Resources)}
	for _, n := range p.nodes {
		switch {
		case n.probes > 0:
			c.probingWorkers++
		case n.usable(now) && n.health.admits(now):
			c.nodes = append(c.nodes, n)
		}
	}
	return c
}

// free returns what the step may take on n now.
func (c *capacityTracker) free(s *step, n *node) worker.Resources {
	if c.passesReservations(s) {
		return n.free()
	}
	return n.free().Sub(c.reserved[n])
}

// passesReservations reports whether the step may use reserved capacity: long-running tasks
// that have been without a run for a while may, however full the service is.
func (c *capacityTracker) passesReservations(s *step) bool {
	return !s.lostSince.IsZero() && c.now.Sub(s.lostSince) >= reservationTime
}

// evictableResources returns the resources of runs on n that may be evicted for
// a step of the priority.
func (c *capacityTracker) evictableResources(n *node, priority int) worker.Resources {
	key := evictableKey{n, priority}
	sum, known := c.evictable[key]
	if !known {
		for _, r := range n.runs {
			if r.evictableFor(priority) {
				sum = sum.Add(r.resources)
			}
		}
		c.evictable[key] = sum
	}
	return sum
}

// tasksThatFit returns how many tasks of the step fit on n now.
func (c *capacityTracker) tasksThatFit(s *step, n *node) int {
	if n.overCapacity() {
		return 0
	}
	return c.pool.tasksThatFit(s, n, c.free(s, n))
}

// tasksThatFitAfterStops returns how many tasks of the step fit on n once the
// runs that are being stopped have ended.
func (c *capacityTracker) tasksThatFitAfterStops(s *step, n *node) int {
	return c.pool.tasksThatFit(s, n, c.free(s, n).Add(n.stoppingResources))
}

// reserve reserves capacity for up to the given number of tasks of the step on
// the given workers, and returns for how many it did.
func (c *capacityTracker) reserve(s *step, nodes []*node, tasks int) int {
	need, reserved := s.need(), 0
	for _, n := range nodes {
		for fits := c.tasksThatFitAfterStops(s, n); fits > 0 && reserved < tasks; fits-- {
			c.reserved[n] = c.reserved[n].Add(need)
			reserved++
		}
	}
	return reserved
}

// noteIdle records whether less than half of the capacity of the service is in use.
func (p *Pool) noteIdle(now time.Time) {
	used, capacity := int64(0), int64(0)
	for _, n := range p.nodes {
		if n.listed && n.entry.Service == p.opts.Shard.Service {
			used, capacity = used+n.used.MilliCPU, capacity+n.entry.Capacity.MilliCPU
		}
	}
	p.idle = p.idle.note(2*used < capacity, now)
}

// couldHold reports whether the workers could hold that many tasks of the step at a time
// once all runs have ended that end by themselves. Workers without a decision of the
// step's policy count.
func (c *capacityTracker) couldHold(s *step, tasks int) bool {
	for _, n := range c.pool.nodes {
		if n.listed && !n.entry.Draining && c.pool.eligible(s, n) && !s.deniedOn(n) {
			tasks -= c.pool.tasksThatFit(s, n, n.entry.Capacity.Sub(n.longRunningResources))
		}
		if tasks <= 0 {
			return true
		}
	}
	return false
}

// couldHoldAny is couldHold for the fewest of the step's unplaced tasks that can be
// placed at a time: all of a gang, or one.
func (c *capacityTracker) couldHoldAny(s *step, unplaced int) bool {
	if !s.spec.Gang {
		unplaced = 1
	}
	return c.couldHold(s, unplaced)
}

// reserveOrEvict reserves capacity for a step that could not be placed and
// stops less urgent tasks where that frees enough, unless the step's job is beyond the
// rate of its team. Only tasks that write checkpoints are stopped, so little work is
// lost.
func (p *Pool) reserveOrEvict(s *step, tasks int, capacity *capacityTracker, now time.Time) {
	if s.spec.Filler || now.Sub(s.readyAt) < evictionDelay {
		return
	}
	if capacity.lapsed && (s.spec.Gang || s.job.queue.Policy != nil) {
		return
	}
	if !s.spec.Gang {
		tasks = min(tasks, maxReservedTasks)
	}
	slack, _ := p.slack(s, now)
	evict := (slack < evictionSlack || !s.lostSince.IsZero()) && !s.job.beyondRate
	reserveGang := s.spec.Gang && capacity.waitingGangs < maxWaitingGangs
	candidates := p.reservationCandidates(s, evict, reserveGang, capacity)
	if len(candidates) == 0 {
		return
	}
	plan := p.planEvictions(s, candidates, tasks, evict, capacity)
	if plan == nil {
		if reserveGang {
			capacity.waitingGangs++
			capacity.reserveForGang(s, candidates, tasks)
		}
		return
	}
	for _, r := range plan.victims {
		r.task.evictions++
		p.taskLog.Info("task makes room", "job", r.task.step.job.id, "task", r.task.name(), "worker", r.node.entry.ID, "for", s.name())
		p.incrementMetric("tasks.evicted")
		p.stopRun(r, stopForRoom)
	}
	for n, resources := range plan.reserved {
		capacity.reserved[n] = capacity.reserved[n].Add(resources)
	}
}

// reservationCandidates returns the workers with capacity for a task of the
// step, now or once runs have been stopped, those with the most capacity first.
// If evict is set, evictable runs count as free capacity. If all is set,
// workers without capacity are included.
func (p *Pool) reservationCandidates(s *step, evict, all bool, capacity *capacityTracker) []*node {
	priority := s.job.queue.Priority
	if !all && (!evict && capacity.fullAfterStops(s) || evict && knownShortage(capacity.shortagesAfterEviction[priority], s)) {
		return nil
	}
	type ranked struct {
		n    *node
		fits int
	}
	var list []ranked
	need := s.need()
	for _, n := range capacity.nodes {
		if !p.eligible(s, n) || s.job.queue.Policy != nil && !s.advice.approved[n.entry.ID] {
			continue
		}
		fits := capacity.tasksThatFitAfterStops(s, n)
		if all || fits > 0 || evict && need.Fits(n.free().Add(n.stoppingResources).Sub(capacity.reserved[n]).Add(capacity.evictableResources(n, priority))) {
			list = append(list, ranked{n, fits})
		}
	}
	if len(list) == 0 && evict && !all && s.job.queue.Policy == nil {
		capacity.shortagesAfterEviction[priority] = append(capacity.shortagesAfterEviction[priority], shortage{s.spec.RequiredLabel, need})
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

// reserveForGang reserves capacity for tasks of a gang on the emptiest workers,
// as many as these can hold when they are empty, whether or not the
// capacity is free yet. Less urgent steps cannot use reserved capacity, so
// unless more urgent work is placed there the workers only get emptier, and
// later passes choose the same ones.
func (c *capacityTracker) reserveForGang(s *step, candidates []*node, tasks int) {
	slices.SortFunc(candidates, func(a, b *node) int {
		return cmp.Or(
			cmp.Compare(b.free().Accelerators, a.free().Accelerators),
			cmp.Compare(b.free().MilliCPU, a.free().MilliCPU),
			cmp.Compare(a.entry.ID, b.entry.ID),
		)
	})
	need := s.need()
	for _, n := range candidates {
		left := n.entry.Capacity.Sub(c.reserved[n])
		limit := s.spec.MaxPerWorker
		for here := 0; tasks > 0 && need.Fits(left) && (limit == 0 || here < limit); here++ {
			c.reserved[n] = c.reserved[n].Add(need)
			left = left.Sub(need)
			tasks--
		}
	}
}

// evictionPlan lists the runs to stop and the capacity to reserve for a step.
type evictionPlan struct {
	victims  []*run
	reserved map[*node]worker.Resources
}

// planEvictions looks for capacity for tasks of the step. It returns nil if
// there is too little for a gang, or none at all. If evict is set, less urgent
// tasks count as capacity.
func (p *Pool) planEvictions(s *step, candidates []*node, tasks int, evict bool, capacity *capacityTracker) *evictionPlan {
	plan := &evictionPlan{reserved: make(map[*node]worker.Resources)}
	need, found := s.need(), 0
	for _, n := range candidates {
		free := n.free().Add(n.stoppingResources).Sub(capacity.reserved[n])
		var victims []*run
		if evict {
			victims = p.victims(s, n)
		}
		for found < tasks {
			limit := s.spec.MaxPerWorker
			if limit > 0 && n.runsPerStep[s]+taskCount(plan.reserved[n], need) >= limit {
				break
			}
			left := free.Sub(plan.reserved[n])
			for len(victims) > 0 && !need.Fits(left) {
				left = left.Add(victims[0].resources)
				free = free.Add(victims[0].resources)
				plan.victims = append(plan.victims, victims[0])
				victims = victims[1:]
			}
			if !need.Fits(left) {
				break
			}
			plan.reserved[n] = plan.reserved[n].Add(need)
			found++
		}
	}
	if found == 0 || s.spec.Gang && found < tasks {
		return nil
	}
	return plan
}

// taskCount returns how many tasks with the given need sum is enough for,
// judged by the first resource that need includes, or 0 if it includes none.
func taskCount(sum, need worker.Resources) int {
	for _, d := range [][2]int64{{sum.MilliCPU, need.MilliCPU}, {sum.MemoryMiB, need.MemoryMiB}, {sum.Accelerators, need.Accelerators}} {
		if d[1] > 0 {
			return int(d[0] / d[1])
		}
	}
	return 0
}

// victims returns the runs on n that may be evicted for the step, in the order of
// evictionRank and then those that free the most capacity first.
func (p *Pool) victims(s *step, n *node) []*run {
	var victims []*run
	for _, r := range n.runs {
		if r.evictableFor(s.job.queue.Priority) {
			victims = append(victims, r)
		}
	}
	slices.SortFunc(victims, func(a, b *run) int {
		return cmp.Or(
			cmp.Compare(p.evictionRank(a), p.evictionRank(b)),
			cmp.Compare(b.resources.Accelerators, a.resources.Accelerators),
			cmp.Compare(b.resources.MilliCPU, a.resources.MilliCPU),
			cmp.Compare(a.task.name(), b.task.name()),
		)
	})
	return victims
}

// evictableFor reports whether the run may be evicted for a step whose job has
// the given priority, which must be more urgent than that of the run's own job.
// Lower numbers are more urgent here, unlike in contract.Queue.
func (r *run) evictableFor(priority int) bool {
	spec := r.task.step.spec
	return r.state == runActive && !r.stopping && spec.Checkpointable && !spec.LongRunning && !spec.Gang && !spec.Filler &&
		r.task.step.job.queue.Priority > priority && r.task.evictions < maxEvictions
}
