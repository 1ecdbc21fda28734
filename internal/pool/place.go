package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/store"
)

// eligible reports whether the worker belongs to the service and its label and
// total capacity allow the step.
func (p *Pool) eligible(s *step, n *node) bool {
	return n.entry.Service == p.opts.Shard.Service &&
		(s.spec.RequiredLabel == "" || n.entry.HasLabel(s.spec.RequiredLabel)) &&
		s.need().Fits(n.entry.Capacity)
}

// sortByScore sorts workers by descending score for the step.
func (p *Pool) sortByScore(s *step, nodes []*node) {
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

// workerRanking holds the scores of workers for one step while its tasks are
// placed.
type workerRanking struct {
	pool   *Pool
	step   *step
	nodes  []*node
	scores map[*node]float64
}

func (p *Pool) newWorkerRanking(s *step, nodes []*node) *workerRanking {
	wr := &workerRanking{p, s, nodes, make(map[*node]float64, len(nodes))}
	for _, n := range nodes {
		wr.update(n)
	}
	return wr
}

// update recomputes the score of a worker after a placement.
func (wr *workerRanking) update(n *node) { wr.scores[n] = wr.pool.score(wr.step, n) }

// best returns the worker with free capacity that has the highest score, or nil
// if there is none. It skips the worker to avoid unless that is the only
// candidate.
func (wr *workerRanking) best(capacity *capacityTracker, avoid string) *node {
	var best *node
	for _, n := range wr.nodes {
		if n.entry.ID == avoid && len(wr.nodes) > 1 || capacity.tasksThatFit(wr.step, n) == 0 {
			continue
		}
		if best == nil || wr.scores[n] > wr.scores[best] || wr.scores[n] == wr.scores[best] && n.entry.ID < best.entry.ID {
			best = n
		}
	}
	return best
}

// Weights of a worker's score. The rack counts for more than the utilization,
// since a task runs longer away from its data.
const (
	rackWeight        = 4.0
	utilizationWeight = 1.0
	colocationWeight  = 2.0
	healthWeight      = 3.0
	slowWorkerWeight  = 1.5
)

// score rates a worker for a task of the step; higher is better.
func (p *Pool) score(s *step, n *node) float64 { return p.scoreParts(s, n).total }

// scoreParts returns the parts of the score.
func (p *Pool) scoreParts(s *step, n *node) (score scoreParts) {
	if s.spec.PreferredRack != "" && n.entry.HasLabel(s.spec.PreferredRack) {
		score.add(&score.rack, rackWeight)
	}
	capacity := max(n.entry.Capacity.MilliCPU, 1)
	utilization := float64(n.used.MilliCPU) / float64(capacity)
	switch {
	case s.spec.LongRunning:
		// Spreading limits how many tasks of a step the loss of one worker
		// affects.
		score.add(&score.colocation, -colocationWeight*float64(n.runsPerStep[s]))
		score.add(&score.utilization, -utilizationWeight*utilization)
	case s.spec.Filler:
		score.add(&score.utilization, -utilizationWeight*(utilization+float64(n.fillerMilliCPU)/float64(capacity)))
		score.add(&score.colocation, -colocationWeight*float64(n.latencyTargetRuns()))
	default:
		// Packing keeps whole workers free for tasks that need much of one.
		score.add(&score.utilization, utilizationWeight*utilization)
	}
	score.add(&score.health, -healthWeight*n.health.suspicion())
	if !s.spec.LongRunning {
		score.add(&score.speed, -slowWorkerWeight*(n.slowdown.value()-1))
	}
	return score
}

// latencyTargetRuns counts the runs on n that have a latency target.
func (n *node) latencyTargetRuns() int {
	count := 0
	for _, r := range n.runs {
		if r.task.step.spec.TargetMS > 0 {
			count++
		}
	}
	return count
}

// placement assigns a task to a worker.
type placement struct {
	task *task
	node *node
}

// sortByUrgency sorts steps with tasks to place, most urgent first: by priority,
// jobs within the rate of their team first, then by how soon they have to start to
// meet their latency objective. Work that can no longer meet its objective comes
// after work that can, so that not all work becomes late under overload. Work that
// will take more than usefulTimeFactor times its objective comes last. Neither holds for
// long-running tasks that have to run again, which others rely on.
func (p *Pool) sortByUrgency(steps []*step, now time.Time) {
	type ranked struct {
		s     *step
		class int // lateness, after the class of the job's rate
		slack time.Duration
	}
	list := make([]ranked, len(steps))
	for i, s := range steps {
		slack, objective := p.slack(s, now)
		class := s.job.rateClass()
		switch {
		case !s.lostSince.IsZero(): // never too late to be of use
		case slack < -(usefulTimeFactor-1)*objective:
			class += 2
		case slack < 0:
			class++
		}
		list[i] = ranked{s, class, slack}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if order := cmp.Or(cmp.Compare(a.s.job.queue.Priority, b.s.job.queue.Priority), cmp.Compare(a.class, b.class), cmp.Compare(a.slack, b.slack)); order != 0 {
			return order
		}
		return cmp.Or(cmp.Compare(a.s.job.id, b.s.job.id), cmp.Compare(a.s.index, b.s.index))
	})
	for i, r := range list {
		steps[i] = r.s
	}
}

// usefulTimeFactor is how many times the objective a job may take and still be
// useful to the caller.
const usefulTimeFactor = 3

// slack returns how long the step may still wait without missing the latency
// objective of its occurrence, and that objective. It counts from when the occurrence was
// due, or from when tasks of a long-running step had to run again.
func (p *Pool) slack(s *step, now time.Time) (slack, objective time.Duration) {
	q := s.job.queue
	factor := p.slowdowns[q.Name].value()
	wholeJob := time.Duration(float64(s.job.criticalPathFrom(-1)) * factor)
	objective = time.Duration(q.Stretch*float64(wholeJob)) + q.TargetLatency
	remaining := time.Duration(float64(s.job.criticalPathFrom(s.index)) * factor)
	since := s.occurrence.due
	if s.lostSince.After(since) {
		since = s.lostSince
	}
	return objective - now.Sub(since) - remaining, objective
}

// criticalPathFrom returns the estimated run time of the longest chain of steps
// that begins with step index, or of the longest chain in the job if index is
// -1.
func (j *Job) criticalPathFrom(index int) time.Duration {
	if j.criticalPaths == nil {
		j.criticalPaths = make([]time.Duration, len(j.spec.Steps))
		for n := len(j.spec.Steps) - 1; n >= 0; n-- {
			after := time.Duration(0)
			for m := n + 1; m < len(j.spec.Steps); m++ {
				if slices.Contains(j.spec.Steps[m].DependsOn, n) {
					after = max(after, j.criticalPaths[m])
				}
			}
			j.criticalPaths[n] = after + time.Duration(j.spec.Steps[n].EstimateMS)*time.Millisecond
		}
	}
	if index >= 0 {
		return j.criticalPaths[index]
	}
	return slices.Max(j.criticalPaths)
}

// readySteps returns the steps of active jobs that have tasks to place.
func (p *Pool) readySteps(now time.Time) []*step {
	var steps []*step
	for _, j := range p.openJobs {
		if j.spec == nil || !j.active() {
			continue
		}
		for k := 0; k < j.occurrenceCount(); k++ {
			if j.recurring() && j.dueAt(k).After(now) {
				break
			}
			for _, s := range j.occurrence(k).steps {
				if s.done() || !s.dependenciesDone() || !s.hasUnplacedTask() {
					continue
				}
				s.noteReady(now)
				steps = append(steps, s)
			}
		}
	}
	return steps
}

// placeStep chooses workers for tasks of one step. It stores no records and
// sends no requests.
func (p *Pool) placeStep(s *step, unplaced []*task, capacity *capacityTracker, now time.Time) []placement {
	if s.spec.Gang && len(unplaced) < len(s.tasks)-s.doneTasks {
		return nil // members of the previous run have not ended yet
	}
	if s.job.queue.Policy != nil && !now.Before(s.advice.validUntil) || capacity.full(s) {
		return nil // no ticket is valid, or no worker has capacity
	}
	var candidates []*node
	for _, n := range capacity.nodes {
		if !p.eligible(s, n) || capacity.tasksThatFit(s, n) == 0 {
			continue
		}
		if _, ok := s.validTicket(n, now); ok {
			candidates = append(candidates, n)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	if s.spec.Gang {
		return p.placeGang(s, unplaced, candidates, capacity, now)
	}
	return p.placeTasks(s, unplaced, candidates, capacity, now)
}

// placeTasks places as many tasks as fit, one by one. Each takes its capacity
// at once.
func (p *Pool) placeTasks(s *step, tasks []*task, candidates []*node, capacity *capacityTracker, now time.Time) []placement {
	suspects, others := splitSuspects(tasks)
	var placed []placement
	ranking := p.newWorkerRanking(s, candidates)
	choice := p.newRackChoice(s, capacity, now)
	for _, t := range others {
		chosen := ranking.best(capacity, t.lastFailedWorker)
		if chosen == nil {
			if t.lastFailedWorker != "" {
				t.lastFailedWorker = "" // allow any worker in the next pass
				continue
			}
			break
		}
		if choice.waits(t, chosen) {
			continue
		}
		ticket, _ := s.validTicket(chosen, now)
		p.planRun(t, chosen, ticket, t.nextRun())
		ranking.update(chosen)
		placed = append(placed, placement{t, chosen})
	}
	return append(placed, p.placeProbes(s, suspects, candidates, capacity, now)...)
}

// planRun takes the capacity for a run that is not stored yet.
func (p *Pool) planRun(t *task, n *node, ticket ticket, number int) {
	r := n.addRun(t, number, runPlanned)
	r.checkpoint, r.ticket = t.checkpoint, ticket
	t.currentRun = r
}

// discardPlan frees the capacity of a planned run that was not stored.
func (p *Pool) discardPlan(t *task) {
	t.currentRun.node.removeRun(t.currentRun)
	t.currentRun = nil
}

// storePlacements stores placements and then starts the runs.
func (p *Pool) storePlacements(s *step, placed []placement) {
	if len(placed) == 0 {
		return
	}
	var records []store.Record
	runs := make([]*run, 0, len(placed))
	for _, pl := range placed {
		pl.task.lastRun = pl.task.currentRun.number
		records = append(records, pl.task.record())
		runs = append(runs, pl.task.currentRun)
	}
	p.taskLog.Info("placed", "job", s.job.id, "step", s.name(), "tasks", len(placed), "run", runs[0].number, "worker", placed[0].node.entry.ID, "waited_ms", time.Since(s.readyAt).Milliseconds())
	p.tryStoreRecords(records, s.measureStore(runs, func(err error) {
		if err != nil {
			// Otherwise another scheduler knows what was stored.
			if errors.Is(err, ErrRecordRejected) {
				p.releaseRejected(runs)
			}
			return
		}
		for _, r := range runs {
			go p.startRun(r)
		}
	}))
}
