package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/store"
)

// suits tells whether the worker's kind can run the step at all.
func (p *Pool) suits(s *step, n *node) bool {
	return n.entry.Service == p.opts.Service &&
		(s.spec.RequiredLabel == "" || n.entry.HasLabel(s.spec.RequiredLabel)) &&
		s.need().Fits(n.entry.Capacity)
}

// sortByPreference puts the workers on which a task of the step should run
// first at the front.
func (p *Pool) sortByPreference(s *step, nodes []*node) {
	type ranked struct {
		n     *node
		score float64
	}
	list := make([]ranked, len(nodes))
	for i, n := range nodes {
		list[i] = ranked{n, p.score(s, n)}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.n.entry.ID, b.n.entry.ID))
	})
	for i, r := range list {
		nodes[i] = r.n
	}
}

// preference ranks workers for the tasks of one step while they are placed.
type preference struct {
	pool   *Pool
	step   *step
	nodes  []*node
	scores map[*node]float64
}

func (p *Pool) newPreference(s *step, nodes []*node) *preference {
	pr := &preference{p, s, nodes, make(map[*node]float64, len(nodes))}
	for _, n := range nodes {
		pr.update(n)
	}
	return pr
}

// update rates a worker again after a placement.
func (pr *preference) update(n *node) { pr.scores[n] = pr.pool.score(pr.step, n) }

// best returns the worker with room that has the highest score, but not the one
// to avoid unless it is the only candidate; nil if there is none.
func (pr *preference) best(room *claims, avoid string) *node {
	var best *node
	for _, n := range pr.nodes {
		if n.entry.ID == avoid && len(pr.nodes) > 1 || room.fit(pr.step, n) == 0 {
			continue
		}
		if best == nil || pr.scores[n] > pr.scores[best] || pr.scores[n] == pr.scores[best] && n.entry.ID < best.entry.ID {
			best = n
		}
	}
	return best
}

// Weights of a worker's score. The rack counts for more than how full the
// worker is, since work away from its data takes remote-factor times as long.
const (
	rackWeight   = 4.0
	packWeight   = 1.0
	spreadWeight = 2.0
	healthWeight = 3.0
	speedPenalty = 1.5
)

// score rates a worker for a task of the step; higher is better.
func (p *Pool) score(s *step, n *node) float64 {
	score := 0.0
	if s.spec.PreferredRack != "" && n.entry.HasLabel(s.spec.PreferredRack) {
		score += rackWeight
	}
	capacity := max(n.entry.Capacity.MilliCPU, 1)
	full := float64(n.used.MilliCPU) / float64(capacity)
	switch {
	case s.spec.LongRunning:
		// A worker's loss should take few tasks of a step.
		score -= spreadWeight * float64(n.perStep[s])
		score -= packWeight * full
	case s.spec.Filler:
		score -= packWeight * (full + float64(n.fillers)/float64(capacity))
		score -= spreadWeight * float64(n.serving())
	default:
		// Packing keeps room for tasks that need much of a worker.
		score += packWeight * full
	}
	score -= healthWeight * n.health.suspicion()
	if !s.spec.LongRunning {
		score -= speedPenalty * (n.speed.value() - 1)
	}
	return score
}

// serving counts the tasks on n with a latency target.
func (n *node) serving() int {
	count := 0
	for _, r := range n.runs {
		if r.task.step.spec.TargetMS > 0 {
			count++
		}
	}
	return count
}

// placement is a decision to run a task on a worker.
type placement struct {
	task *task
	node *node
}

// order sorts the steps with work to place, most urgent first: by priority,
// then by how soon they have to start to meet their latency objective. Work that
// cannot meet its objective any more yields to work that can, so that under
// overload not all of it becomes late.
func (p *Pool) order(steps []*step, now time.Time) {
	type ranked struct {
		s     *step
		late  int
		slack time.Duration
	}
	list := make([]ranked, len(steps))
	for i, s := range steps {
		slack, objective := p.slack(s, now)
		late := 0
		switch {
		case slack < -(lateFactor-1)*objective:
			late = 2
		case slack < 0:
			late = 1
		}
		list[i] = ranked{s, late, slack}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(
			cmp.Compare(a.s.job.queue.Priority, b.s.job.queue.Priority),
			cmp.Compare(a.late, b.late),
			cmp.Compare(a.slack, b.slack),
			cmp.Compare(a.s.job.id, b.s.job.id),
			cmp.Compare(a.s.index, b.s.index),
		)
	})
	for i, r := range list {
		steps[i] = r.s
	}
}

// lateFactor is how many times the objective an answer may take and still be
// worth something to the caller.
const lateFactor = 3

// slack returns how long the step may wait and still meet the objective of its
// occurrence, and the objective.
func (p *Pool) slack(s *step, now time.Time) (slack, objective time.Duration) {
	q := s.job.queue
	factor := p.speeds[q.Name].value()
	whole := time.Duration(float64(s.job.chainFrom(-1)) * factor)
	objective = time.Duration(q.Stretch*float64(whole)) + q.TargetLatency
	left := time.Duration(float64(s.job.chainFrom(s.index)) * factor)
	return objective - now.Sub(s.occ.due) - left, objective
}

// chainFrom returns the estimated run time of the longest chain of steps that
// begins with step index, or of the whole job if index is -1.
func (j *Job) chainFrom(index int) time.Duration {
	if j.chains == nil {
		j.chains = make([]time.Duration, len(j.spec.Steps))
		for n := len(j.spec.Steps) - 1; n >= 0; n-- {
			after := time.Duration(0)
			for m := n + 1; m < len(j.spec.Steps); m++ {
				if slices.Contains(j.spec.Steps[m].DependsOn, n) {
					after = max(after, j.chains[m])
				}
			}
			j.chains[n] = after + time.Duration(j.spec.Steps[n].EstimateMS)*time.Millisecond
		}
	}
	if index >= 0 {
		return j.chains[index]
	}
	return slices.Max(j.chains)
}

// eagerSteps is how many steps of a queue ask for advice before there is room
// for them.
const eagerSteps = 3

// maxTried is how many steps of a queue a pass tries to place after those that
// it could place. Others that fit are rare among the less urgent ones, and under
// overload the rest would take all of the scheduler's processor.
const maxTried = 40

// schedule places what can be placed and returns how many steps it tried. It
// needs p.mu.
func (p *Pool) schedule(now time.Time) (tried int) {
	steps := p.readySteps(now)
	if len(steps) == 0 {
		return 0
	}
	p.order(steps, now)
	room := p.newClaims(now)
	rank := make(map[string]int)
	for _, s := range steps {
		if rank[s.job.queue.Name] >= maxTried {
			continue
		}
		tried++
		waiting := s.waiting()
		placed := p.place(s, waiting, room, now)
		if rest := len(waiting) - len(placed); rest > 0 {
			rank[s.job.queue.Name]++
			if s.job.queue.Policy != nil {
				p.seekAdvice(s, rest, room, rank[s.job.queue.Name] <= eagerSteps, now)
			}
			p.makeRoom(s, rest, room, now)
		}
		p.commit(s, placed)
	}
	return tried
}

// readySteps returns the steps of live jobs that have tasks to place.
func (p *Pool) readySteps(now time.Time) []*step {
	var steps []*step
	for _, j := range p.open {
		if j.spec == nil || !j.live() {
			continue
		}
		for k := 0; k < j.count(); k++ {
			if j.timed() && j.dueAt(k).After(now) {
				break
			}
			for _, s := range j.occurrence(k).steps {
				if s.done == len(s.tasks) || !s.ready() || !s.waits() {
					continue
				}
				if s.readyAt.IsZero() {
					s.readyAt = now
				}
				steps = append(steps, s)
			}
		}
	}
	return steps
}

// place chooses workers for tasks of one step, without orders or records.
func (p *Pool) place(s *step, waiting []*task, room *claims, now time.Time) []placement {
	if s.spec.Gang && len(waiting) < len(s.tasks)-s.done {
		return nil // members of the run before have not ended yet
	}
	if room.full(s) {
		return nil
	}
	var candidates []*node
	for _, n := range room.nodes {
		if !p.suits(s, n) || room.fit(s, n) == 0 {
			continue
		}
		if _, ok := s.permitted(n, now); ok {
			candidates = append(candidates, n)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	if s.spec.Gang {
		return p.placeGang(s, waiting, candidates, room, now)
	}
	return p.placeEach(s, waiting, candidates, room, now)
}

// placeEach places tasks one by one, as many as fit. Each takes its capacity
// at once.
func (p *Pool) placeEach(s *step, tasks []*task, candidates []*node, room *claims, now time.Time) []placement {
	var placed []placement
	preference := p.newPreference(s, candidates)
	for _, t := range tasks {
		chosen := preference.best(room, t.lastWorker)
		if chosen == nil {
			if t.lastWorker != "" {
				t.lastWorker = "" // next time any worker will do
				continue
			}
			break
		}
		approval, _ := s.permitted(chosen, now)
		p.plan(t, chosen, approval, t.nextRun())
		preference.update(chosen)
		placed = append(placed, placement{t, chosen})
	}
	return placed
}

// placeGang places all tasks or none; with SameRack on one rack if one has the
// room.
func (p *Pool) placeGang(s *step, tasks []*task, candidates []*node, room *claims, now time.Time) []placement {
	groups := [][]*node{candidates}
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
	for _, group := range groups {
		var placed []placement
		number := tasks[0].nextRun()
		preference := p.newPreference(s, group)
		for _, t := range tasks {
			n := preference.best(room, "")
			if n == nil {
				break
			}
			approval, _ := s.permitted(n, now)
			p.plan(t, n, approval, number)
			preference.update(n)
			placed = append(placed, placement{t, n})
		}
		if len(placed) == len(tasks) {
			return placed
		}
		for _, pl := range placed {
			p.unplan(pl.task)
		}
	}
	return nil
}

// plan takes the capacity for a run that is not stored yet.
func (p *Pool) plan(t *task, n *node, approval ticket, number int) {
	r := n.add(t, number, runPlanned)
	r.checkpoint, r.ticket = t.checkpoint, approval
	t.current = r
}

// unplan takes back a plan that was not stored.
func (p *Pool) unplan(t *task) {
	t.current.node.remove(t.current)
	t.current = nil
}

// commit stores placements and then orders the starts.
func (p *Pool) commit(s *step, placed []placement) {
	if len(placed) == 0 {
		return
	}
	var records []store.Record
	runs := make([]*run, 0, len(placed))
	for _, pl := range placed {
		pl.task.runs = pl.task.current.number
		records = append(records, pl.task.record())
		runs = append(runs, pl.task.current)
	}
	p.log.Info("placed", "job", s.job.id, "step", s.name(), "tasks", len(placed), "run", runs[0].number, "worker", placed[0].node.entry.ID, "waited_ms", time.Since(s.readyAt).Milliseconds())
	p.store(records, func(err error) {
		if err != nil {
			return // no longer the scheduler; the next one knows what was stored
		}
		for _, r := range runs {
			go p.start(r)
		}
	})
}
