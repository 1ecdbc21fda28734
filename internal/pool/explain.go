package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/shard"
)

const (
	// maxExplainedSteps, maxExplainedTasks and maxExplainedWorkers bound the time and
	// the reply of one explanation. The scheduler's lock is released between steps.
	maxExplainedSteps   = 8
	maxExplainedTasks   = 64
	maxExplainedWorkers = 5
)

// Explain tells where the tasks of a job would be placed if it were submitted now. It
// changes nothing and does not ask the policy service.
func (p *Pool) Explain(queue cell.Queue, team string, spec *api.Job) (*api.PlacementExplanation, error) {
	p.mu.Lock()
	if err := p.checkServing(); err != nil {
		p.mu.Unlock()
		return nil, err
	}
	j := p.newShardJob("", withoutPolicy(queue), team, spec, time.Now(), shard.Portion{})
	p.mu.Unlock()
	return p.explain(j, queue, slices.Clone(j.occurrence(0).steps)), nil
}

// ExplainJob is like Explain for a job that is known. It returns nil if the job is
// unknown, has ended, or belongs to another team and checkTeam is set.
func (p *Pool) ExplainJob(id, team string, checkTeam bool) (*api.PlacementExplanation, error) {
	p.mu.Lock()
	if err := p.checkServing(); err != nil {
		p.mu.Unlock()
		return nil, err
	}
	j := p.jobs[id]
	if j == nil || !j.active() || j.spec == nil || checkTeam && j.team != "" && j.team != team {
		p.mu.Unlock()
		return nil, nil
	}
	queue := j.queue
	twin := *j
	twin.queue = withoutPolicy(queue)
	var steps []*step
	leftOut := 0
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			switch {
			case !s.hasUnplacedTask():
			case len(steps) < maxExplainedSteps:
				steps = append(steps, s.twin(&twin))
			default:
				leftOut++
			}
		}
	}
	p.mu.Unlock()
	e := p.explain(&twin, queue, steps)
	e.StepsLeftOut += leftOut
	return e, nil
}

// withoutPolicy returns the queue without a policy, so that the decision code needs no
// tickets.
func withoutPolicy(q cell.Queue) cell.Queue {
	q.Policy = nil
	return q
}

// twin returns a copy of the step with its unplaced tasks for a copy of its job. The
// decision code may change it.
func (s *step) twin(j *Job) *step {
	t := *s
	t.job, t.tasks = j, nil
	if j.criticalPaths != nil {
		j.criticalPaths = slices.Clone(j.criticalPaths)
	}
	t.runTimes, t.original = slices.Clone(s.runTimes), s
	t.advice.approved = maps.Clone(s.advice.approved)
	if s.rackWait != nil {
		t.rackWait = &rackWait{since: make(map[*task]time.Time)}
	}
	for _, original := range s.tasks {
		if original.done || original.currentRun != nil {
			continue
		}
		member := *original
		member.step = &t
		t.tasks = append(t.tasks, &member)
		if s.rackWait != nil {
			t.rackWait.since[&member] = s.rackWait.since[original]
		}
	}
	t.doneTasks = 0
	return &t
}

// explain explains the steps of a job that the scheduler does not know. queue is the
// queue of the job with its policy.
func (p *Pool) explain(j *Job, queue cell.Queue, steps []*step) *api.PlacementExplanation {
	e := &api.PlacementExplanation{ID: j.id, Queue: queue.Name, Team: j.team, Shard: p.opts.Shard.String(), Scheduler: p.opts.Host, Steps: []api.StepExplanation{}}
	if len(steps) > maxExplainedSteps {
		e.StepsLeftOut = len(steps) - maxExplainedSteps
		steps = steps[:maxExplainedSteps]
	}
	for i, s := range steps {
		p.mu.Lock()
		now := time.Now()
		if i == 0 {
			p.explainOrder(e, s, now)
			if queue.Policy != nil {
				e.ApprovalShare = p.approvalShare(queue.Name)
			}
		}
		e.Steps = append(e.Steps, p.explainStep(s, now))
		p.mu.Unlock()
	}
	return e
}

// explainOrder counts the ready steps that are more urgent than the step.
func (p *Pool) explainOrder(e *api.PlacementExplanation, first *step, now time.Time) {
	slack, _ := p.slack(first, now)
	e.SlackMS = slack.Milliseconds()
	steps := []*step{first}
	for _, j := range p.openJobs {
		if j.spec == nil || !j.active() {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s != first.original && !s.readyAt.IsZero() && s.hasUnplacedTask() {
					steps = append(steps, s)
				}
			}
		}
	}
	p.sortByUrgency(steps, now)
	e.StepsAhead = slices.Index(steps, first)
	for _, s := range steps[:e.StepsAhead] {
		e.TasksAhead += len(s.unplacedTasks())
	}
}

// explainStep makes the decisions of a pass for one step and takes them back. The caller
// must hold p.mu.
func (p *Pool) explainStep(s *step, now time.Time) api.StepExplanation {
	e := api.StepExplanation{Occurrence: s.occurrence.number, Step: s.index, Tasks: len(s.tasks), Blocked: !s.dependenciesDone(), RuledOut: make(map[string]int)}
	if s.spec.Gang && (len(s.tasks) > maxExplainedTasks || s.original != nil && len(s.tasks) < len(s.original.tasks)-s.original.doneTasks) {
		e.Note = "the gang is too large to be explained, or members of its previous run have not ended"
		return e
	}
	tasks := s.tasks[:min(len(s.tasks), maxExplainedTasks)]
	e.Considered = len(tasks)
	if s.readyAt.IsZero() {
		s.readyAt = now
	}
	p.addRunsOf(s, 1)
	defer p.addRunsOf(s, -1)
	capacity := p.newCapacityTracker(now)
	capacity.nodes = slices.DeleteFunc(capacity.nodes, s.deniedOn)
	var fitting []*node
	for _, n := range p.nodes {
		if reason := p.ruledOut(s, n, capacity, now); reason != "" {
			e.RuledOut[reason]++
		} else {
			fitting = append(fitting, n)
		}
	}
	e.Workers = len(fitting)
	p.sortByScore(s, fitting)
	for _, n := range fitting[:min(len(fitting), maxExplainedWorkers)] {
		parts := p.scoreParts(s, n)
		e.Best = append(e.Best, api.WorkerScore{
			Worker: n.entry.ID, Fits: capacity.tasksThatFit(s, n), Score: parts.total,
			Rack: parts.rack, Utilization: withoutSignOfZero(parts.utilization), Colocation: withoutSignOfZero(parts.colocation),
			Health: withoutSignOfZero(parts.health), Speed: withoutSignOfZero(parts.speed),
		})
	}
	placed := p.placeStep(s, tasks, capacity, now)
	e.Placed = len(placed)
	if c := capacity.rackChoices[s]; c != nil {
		e.Waiting, e.Rack = len(c.waiting), c.explain(placed)
	}
	if left := len(tasks) - e.Placed - e.Waiting; left > 0 && !s.spec.Filler {
		e.Stop = p.explainStops(s, left, capacity, now)
	}
	for _, pl := range placed {
		p.discardPlan(pl.task)
	}
	return e
}

// addRunsOf adds the runs of the step of which s is a copy to those of s, or removes
// them, so that the bound for each worker counts them.
func (p *Pool) addRunsOf(s *step, sign int) {
	if s.original == nil || s.spec.MaxPerWorker == 0 {
		return
	}
	for _, n := range p.nodes {
		if runs := n.runsPerStep[s.original]; runs > 0 {
			if n.runsPerStep[s] += sign * runs; n.runsPerStep[s] == 0 {
				delete(n.runsPerStep, s)
			}
		}
	}
}

// explainStops returns the runs that would be stopped for tasks of the step that cannot
// be placed.
func (p *Pool) explainStops(s *step, tasks int, capacity *capacityTracker, now time.Time) []api.StopExplanation {
	if slack, _ := p.slack(s, now); slack >= evictionSlack {
		return nil
	}
	plan := p.planEvictions(s, p.reservationCandidates(s, true, false, capacity), min(tasks, maxReservedTasks), true, capacity)
	if plan == nil {
		return nil
	}
	var stops []api.StopExplanation
	for _, r := range plan.victims {
		stops = append(stops, api.StopExplanation{Task: r.task.name(), Worker: r.node.entry.ID})
	}
	return stops
}

// explain describes the last comparison for the step.
func (c *rackChoice) explain(placed []placement) *api.RackExplanation {
	e := &api.RackExplanation{Rack: c.step.spec.PreferredRack, Reason: c.last.reason, ForecastMS: -1}
	well := c.placedWell(placed)
	for _, pl := range placed {
		if c.step.spec.Gang && well || !c.step.spec.Gang && pl.node.entry.HasLabel(c.step.spec.PreferredRack) {
			e.InRack++
		} else {
			e.Elsewhere++
		}
	}
	if c.last.reason == "" {
		e.ForecastMS = 0
		return e
	}
	e.LimitMS, e.RunMS, e.ElsewhereMS = max(c.last.limit, 0).Milliseconds(), c.last.runTime.Milliseconds(), c.last.remoteTime.Milliseconds()
	if c.last.forecastKnown {
		e.ForecastMS = c.last.forecast.Milliseconds()
		e.GainMS = e.ElsewhereMS - e.RunMS - e.ForecastMS
	}
	return e
}

// ruledOut returns why a worker could take no task of the step now, "" if it could.
func (p *Pool) ruledOut(s *step, n *node, capacity *capacityTracker, now time.Time) string {
	need := s.need()
	switch {
	case !n.listed:
		return "not listed"
	case !n.hasReplied || n.unresponsive || now.Sub(n.repliedAt) >= maxReplyAge:
		return "does not reply"
	case n.entry.Draining:
		return "draining"
	case !now.After(n.pausedUntil):
		return "paused"
	case n.probes > 0:
		return "runs a probe"
	case !n.health.admits(now):
		return "quarantined"
	case n.entry.Service != p.opts.Shard.Service:
		return "other service"
	case s.spec.RequiredLabel != "" && !n.entry.HasLabel(s.spec.RequiredLabel):
		return "label"
	case !need.Fits(n.entry.Capacity):
		return "too small"
	case s.deniedOn(n):
		return "denied by the policy"
	case s.spec.MaxPerWorker > 0 && n.runsPerStep[s] >= s.spec.MaxPerWorker:
		return "tasks per worker"
	case capacity.tasksThatFit(s, n) == 0:
		return "no free capacity"
	}
	return ""
}

// withoutSignOfZero returns v, with -0 replaced by 0, which is easier to read.
func withoutSignOfZero(v float64) float64 {
	if v == 0 {
		return 0
	}
	return v
}

// scoreParts are the parts of a worker's score for a step, and their sum.
type scoreParts struct{ rack, utilization, colocation, health, speed, total float64 }

// add sets a part and adds it to the sum.
func (s *scoreParts) add(part *float64, value float64) {
	*part = value
	s.total += value
}
