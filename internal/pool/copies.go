package pool

import (
	"slices"
	"time"

	"github.com/laburnumpass/laburnumpass/api"
)

// A task of a speculative step may have one copy: a second run on another worker. The
// first run that ends done counts, and the other is stopped. This file decides when a
// copy is started, and copyrun.go keeps the two runs. See
// docs/design/speculative-copies.md.

const (
	// minCopyRunTime is how long a run must have lasted for its progress to be
	// judged. Progress is reported in whole percent.
	minCopyRunTime = 250 * time.Millisecond
	// copyGain is how many times as long as a copy the rest of a run must take.
	// Tasks of one step differ by about 30%.
	copyGain = 1.3
	// copyOverhead is the time from the decision until the copy runs and from its
	// end until the scheduler knows it: two appends to the store and a start request.
	copyOverhead = 80 * time.Millisecond
	// maxCopiesShare, plus one, bounds the copies of a step at a time, as a share of
	// its tasks.
	maxCopiesShare = 0.1
	// copyBudgetShare is the part of the core seconds of ended runs that copies may
	// spend.
	copyBudgetShare = 0.03
	// minCopyBudget and maxCopyBudget are the core seconds that copies may spend at
	// the start of a term and the most that is saved up.
	minCopyBudget, maxCopyBudget = 60.0, 300.0
)

// copyState is what the scheduler keeps about copies.
type copyState struct {
	// budget is how many core seconds copies may still spend.
	budget float64
	// uncounted is the part of a core second that the metric does not contain yet.
	uncounted float64
}

// slowRun is a run for which a copy pays.
type slowRun struct {
	run *run
	// gain is by how much the copy is expected to end earlier, and expected how long
	// it runs.
	gain, expected time.Duration
}

// startCopies starts copies of runs that are slow or stuck. It uses only capacity that
// no waiting step of the same or a more urgent priority needs. The caller must hold p.mu.
func (p *Pool) startCopies(now time.Time) {
	if !p.opts.SpeculativeCopies {
		return
	}
	slow := p.slowRuns(now)
	if len(slow) == 0 {
		return
	}
	priority, capacity := p.capacityForCopies(now)
	for _, c := range slow {
		t := c.run.task
		s := t.step
		cost := c.expected.Seconds() * float64(c.run.resources.MilliCPU) / 1000
		if s.job.queue.Priority >= priority || s.copiesRunning() >= s.maxCopies() || cost > p.copies.budget {
			continue
		}
		if n := p.workerForCopy(c.run, capacity, now); n != nil {
			p.copies.budget -= cost
			p.startCopy(t, n, cost, now)
			p.taskLog.Info("copy placed", "job", s.job.id, "task", t.name(), "run", t.lastRun, "worker", n.entry.ID, "slow_worker", c.run.node.entry.ID, "percent", c.run.percent, "after_ms", now.Sub(c.run.startedAt).Milliseconds(), "usual_ms", c.expected.Milliseconds(), "gain_ms", c.gain.Milliseconds())
		}
	}
}

// allowsCopies reports whether tasks of the step may have copies. Tasks that write
// checkpoints are moved instead, which keeps their work.
func allowsCopies(s *api.Step) bool {
	return s.Speculative && !s.Gang && !s.LongRunning && !s.Filler && !s.Checkpointable
}

// allowsCopy reports whether the task may have a copy now. A failed run ends the job
// if it was the last attempt, also while a copy runs, so the last attempt gets none.
func (t *task) allowsCopy() bool {
	return !t.done && !t.suspect && t.crashes+t.possibleCrashes == 0 && t.copyRun == nil && t.failures+1 < t.step.job.queue.MaxAttempts
}

func (s *step) maxCopies() int { return int(maxCopiesShare*float64(s.spec.Count)) + 1 }

// copiesRunning counts the tasks of the step with two runs.
func (s *step) copiesRunning() int {
	count := 0
	for _, t := range s.tasks {
		if t.copyRun != nil {
			count++
		}
	}
	return count
}

// slowRuns returns the runs for which a copy pays, those with the greatest gain first.
func (p *Pool) slowRuns(now time.Time) []slowRun {
	var slow []slowRun
	for _, j := range p.openJobs {
		if j.spec == nil || !j.active() {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if allowsCopies(s.spec) && !s.done() && s.copiesRunning() < s.maxCopies() {
					slow = s.appendSlowRuns(slow, now)
				}
			}
		}
	}
	slices.SortFunc(slow, func(a, b slowRun) int { return int(b.gain - a.gain) })
	return slow
}

// appendSlowRuns appends the runs of the step for which a copy pays.
func (s *step) appendSlowRuns(slow []slowRun, now time.Time) []slowRun {
	typical, known := time.Duration(0), false
	for _, t := range s.tasks {
		r := t.currentRun
		if r == nil || !t.allowsCopy() || r.state != runActive || r.stopping || r.startedAt.IsZero() || now.Sub(r.startedAt) < minCopyRunTime {
			continue
		}
		if !known {
			if typical, known = s.typicalRunTime(); !known {
				return slow
			}
		}
		remaining := r.remaining(now)
		if float64(remaining) > copyGain*float64(typical)+float64(copyOverhead) {
			slow = append(slow, slowRun{r, remaining - typical, typical})
		}
	}
	return slow
}

// typicalRunTime returns the median run time of the tasks of the step, if it is known
// for enough of them: of those that are done, and of those that run as far as their
// progress tells. Estimates are not used, since they may be off by 90%.
func (s *step) typicalRunTime() (time.Duration, bool) {
	times := slices.Clone(s.runTimes)
	for _, t := range s.tasks {
		if r := t.currentRun; r != nil && !r.startedAt.IsZero() && r.listed && r.node.repliedAt.Sub(r.startedAt) >= minCopyRunTime {
			times = append(times, r.projected())
		}
	}
	if len(times) < minSiblings {
		return 0, false
	}
	slices.Sort(times)
	return times[(len(times)-1)/2], true
}

// projected returns how long the run takes in all if it goes on as it did until its
// worker's last list.
func (r *run) projected() time.Duration {
	return time.Duration(float64(r.node.repliedAt.Sub(r.startedAt)) * 100 / max(float64(r.percent), 0.5))
}

// remaining returns how much longer the run takes if it goes on as it did until its
// worker's last list, 0 if that list is too old to tell.
func (r *run) remaining(now time.Time) time.Duration {
	if !r.listed || r.node.repliedAt.Sub(r.startedAt) < minCopyRunTime {
		return 0
	}
	return r.startedAt.Add(r.projected()).Sub(now)
}

// capacityForCopies returns the most urgent priority of the steps that wait, which a
// copy must be more urgent than, and the capacity that is left. Steps whose call for
// advice has reserved capacity do not wait, nor do those that no worker can run.
func (p *Pool) capacityForCopies(now time.Time) (priority int, capacity *capacityTracker) {
	priority, capacity = int(^uint(0)>>1), p.newCapacityTracker(now)
	for _, s := range p.readySteps(now) {
		if p.quotas.shortages[s.job.team] != nil {
			continue // it waits for its team's quota, not for capacity
		}
		if s.advice.inFlight && len(s.advice.reservedNodes) > 0 {
			capacity.reserve(s, s.advice.reservedNodes, len(s.unplacedTasks()))
			continue
		}
		if slices.ContainsFunc(capacity.nodes, func(n *node) bool { return p.eligible(s, n) && !s.deniedOn(n) }) {
			priority = min(priority, s.job.queue.Priority)
		}
	}
	return priority, capacity
}

// workerForCopy returns the worker for a copy of r, nil if there is none: it has free
// capacity and no recent failures, and was not slow in the runs that were compared, also
// if these are too few to call it slow.
func (p *Pool) workerForCopy(r *run, capacity *capacityTracker, now time.Time) *node {
	s := r.task.step
	if !p.quotaAllowsCopy(s) {
		return nil
	}
	var best *node
	bestScore := 0.0
	for _, n := range capacity.nodes {
		if n == r.node || n.health.suspicion() > 0 || n.slowdown.samples > 0 && n.slowdown.factor >= slowWorkerFactor/2 {
			continue
		}
		if _, ok := s.validTicket(n, now); !ok || !p.eligible(s, n) || s.hasSlowRunOn(n, now) || capacity.tasksThatFit(s, n) == 0 {
			continue
		}
		if score := p.score(s, n); best == nil || score > bestScore || score == bestScore && n.entry.ID < best.entry.ID {
			best, bestScore = n, score
		}
	}
	return best
}

// hasSlowRunOn reports whether a run of the step on n takes more than twice as long as
// usual.
func (s *step) hasSlowRunOn(n *node, now time.Time) bool {
	if n.runsPerStep[s] == 0 {
		return false
	}
	typical, ok := s.typicalRunTime()
	return ok && slices.ContainsFunc(s.tasks, func(t *task) bool {
		return t.currentRun != nil && t.currentRun.node == n && !t.currentRun.startedAt.IsZero() &&
			(t.currentRun.remaining(now) > 2*typical || now.Sub(t.currentRun.startedAt) > 2*typical)
	})
}
