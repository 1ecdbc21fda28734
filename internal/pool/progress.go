package pool

import "time"

const (
	// stallLeast is the least time without progress after which a task counts as
	// hung: lists of a worker are at most 0.9 s apart.
	stallLeast = 2500 * time.Millisecond
	// stallShare is the part of a task's estimate that may pass without progress:
	// the progress is in whole percent, and estimates are off by half.
	stallShare = 0.1
	// stallPause is how long a worker gets no work after a task hung on it.
	stallPause = 3 * time.Second
	// speedWeight is the weight of the newest run in the learned run times.
	speedWeight = 0.2
	// speedLimit bounds how much a single run may change them.
	speedLimit = 8.0
	// slowWorker is how much slower than others a worker must be for tasks that
	// write checkpoints to leave it: moving costs a stop and a restore.
	slowWorker = 2.5
	// enoughRuns is how many runs on a worker must have ended for its speed to
	// count.
	enoughRuns = 3
)

// speed is how long runs took beside what was expected of them.
type speed struct {
	factor float64
	runs   int
}

func (s *speed) add(ratio float64) {
	ratio = min(max(ratio, 1/speedLimit), speedLimit)
	if s.runs == 0 {
		s.factor = ratio
	}
	s.runs++
	s.factor += speedWeight * (ratio - s.factor)
}

// value returns the factor, 1 while little is known.
func (s *speed) value() float64 {
	if s == nil || s.runs < enoughRuns {
		return 1
	}
	return s.factor
}

// learn takes in how long a run took that began without a checkpoint.
func (p *Pool) learn(r *run, now time.Time) {
	s := r.task.step
	if r.startedAt.IsZero() || s.spec.EstimateMS <= 0 || r.checkpoint != "" || s.spec.LongRunning || s.spec.Filler || r.pace < fullPace {
		return
	}
	ratio := float64(now.Sub(r.startedAt).Milliseconds()) / float64(s.spec.EstimateMS)
	queue := p.speeds[s.job.queue.Name]
	if queue == nil {
		queue = &speed{}
		p.speeds[s.job.queue.Name] = queue
	}
	if expected := queue.value(); expected > 0 {
		r.node.speed.add(ratio / expected)
	}
	queue.add(ratio)
}

// supervise stops tasks that hang, and tasks that had better run elsewhere. It
// needs p.mu.
func (p *Pool) supervise(now time.Time) {
	for _, n := range p.nodes {
		if !n.confirmed || n.failing {
			continue
		}
		for _, r := range n.runs {
			if r.state != runActive || r.stopping || r.task.current != r {
				continue
			}
			if reason := p.shouldMove(r, now); reason != "" {
				p.log.Info("task moved", "job", r.task.step.job.id, "task", r.task.name(), "run", r.number, "worker", n.entry.ID, "reason", reason, "percent", r.percent, "unchanged_ms", now.Sub(r.percentAt).Milliseconds(), "worker_speed", n.speed.value())
				p.count("tasks.moved." + reason)
				p.stop(r, reason)
			}
		}
	}
}

// shouldMove returns why a run should go on elsewhere, empty if it should not.
func (p *Pool) shouldMove(r *run, now time.Time) string {
	s, n := r.task.step, r.node
	switch {
	case n.entry.Draining:
		// A stop writes a checkpoint; the end of the worker does not.
		if s.spec.LongRunning || s.spec.Checkpointable && !s.spec.Gang {
			return "draining"
		}
	case s.spec.LongRunning, s.spec.Filler, s.spec.Gang:
		// Their progress depends on others, or has no end.
	case p.hung(r, now):
		n.pausedUntil = now.Add(stallPause)
		n.health.failed(now)
		return "hung"
	case s.spec.Checkpointable && n.speed.value() > slowWorker && r.percent < 70 && p.fasterRoom(s, n, now):
		return "slow_worker"
	}
	return ""
}

// hung tells whether a run has made no progress for too long.
func (p *Pool) hung(r *run, now time.Time) bool {
	if r.percentAt.IsZero() || r.pace < fullPace || r.task.step.spec.EstimateMS <= 0 {
		return false
	}
	limit := max(stallLeast, time.Duration(stallShare*float64(r.task.step.spec.EstimateMS))*time.Millisecond)
	return now.Sub(r.percentAt) > limit && now.Sub(r.node.repliedAt) < contactFresh
}

// fasterRoom tells whether a worker of usual speed has room for the step now.
func (p *Pool) fasterRoom(s *step, slow *node, now time.Time) bool {
	for _, n := range p.nodes {
		if n != slow && n.usable(now) && n.speed.value() < slowWorker/2 && p.suits(s, n) && !s.deniedOn(n) && p.roomFor(s, n, n.free()) > 0 {
			return true
		}
	}
	return false
}
