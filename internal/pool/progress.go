package pool

import "time"

const (
	// minHungTime is the minimum time without progress after which a task
	// counts as hung. Lists of a worker are normally at most 0.9 s apart, and
	// at most 1.05 s, which is holdWait plus holdReplyTimeout, unless a hold
	// call fails.
	minHungTime = 2500 * time.Millisecond
	// hungEstimateShare is the fraction of a task's estimated run time that may
	// pass without progress. Progress is reported in whole percent, and
	// estimates are off by half.
	hungEstimateShare = 0.1
	// hungWorkerPause is how long a worker gets no work after a task hung on
	// it.
	hungWorkerPause = 3 * time.Second
	// slowdownWeight is the weight of the newest run in the moving average of
	// run times.
	slowdownWeight = 0.2
	// maxSlowdownSample bounds the effect of a single run on that average.
	maxSlowdownSample = 8.0
	// slowWorkerFactor is how much slower than others a worker must be for
	// tasks that write checkpoints to be moved away. Moving costs a stop and a
	// restore.
	slowWorkerFactor = 2.5
	// minSlowdownSamples is how many runs must have ended for the average to be
	// used.
	minSlowdownSamples = 3
)

// slowdown is a moving average of the time that runs took relative to the
// expected time.
type slowdown struct {
	factor  float64
	samples int
}

func (s *slowdown) add(ratio float64) {
	ratio = min(max(ratio, 1/maxSlowdownSample), maxSlowdownSample)
	if s.samples == 0 {
		s.factor = ratio
	}
	s.samples++
	s.factor += slowdownWeight * (ratio - s.factor)
}

// value returns the average, or 1 while there are too few samples.
func (s *slowdown) value() float64 {
	if s == nil || s.samples < minSlowdownSamples {
		return 1
	}
	return s.factor
}

// recordRunTime adds the run time of a completed run without a checkpoint to
// the averages of its queue and worker. A run that began without a checkpoint is
// excluded too once it has reported one.
func (p *Pool) recordRunTime(r *run, now time.Time) {
	s := r.task.step
	if r.startedAt.IsZero() || s.spec.EstimateMS <= 0 || r.checkpoint != "" || s.spec.LongRunning || s.spec.Filler || r.pace < fullPace {
		return
	}
	ratio := float64(now.Sub(r.startedAt).Milliseconds()) / float64(s.spec.EstimateMS)
	queue := p.slowdowns[s.job.queue.Name]
	if queue == nil {
		queue = &slowdown{}
		p.slowdowns[s.job.queue.Name] = queue
	}
	if expected := queue.value(); expected > 0 {
		r.node.slowdown.add(ratio / expected)
	}
	queue.add(ratio)
}

// moveTasks stops runs that hang or that should continue on another worker. The
// caller must hold p.mu.
func (p *Pool) moveTasks(now time.Time) {
	for _, n := range p.nodes {
		if !n.hasReplied || n.unresponsive {
			continue
		}
		for _, r := range n.runs {
			if r.state != runActive || r.stopping || r.task.currentRun != r {
				continue
			}
			if reason := p.moveReason(r, now); reason != "" {
				p.log.Info("task moved", "job", r.task.step.job.id, "task", r.task.name(), "run", r.number, "worker", n.entry.ID, "reason", reason, "percent", r.percent, "unchanged_ms", now.Sub(r.percentChangedAt).Milliseconds(), "worker_speed", n.slowdown.value())
				p.incrementMetric("tasks.moved." + reason)
				p.stopRun(r, reason)
			}
		}
	}
}

// moveReason returns why a run should continue elsewhere, or "" if it should
// not. If the run hangs, it also pauses the worker and counts a failure of it.
func (p *Pool) moveReason(r *run, now time.Time) string {
	s, n := r.task.step, r.node
	switch {
	case n.entry.Draining:
		// A stop writes a checkpoint; the end of the worker does not.
		if s.spec.LongRunning || s.spec.Checkpointable && !s.spec.Gang {
			return "draining"
		}
	case s.spec.LongRunning, s.spec.Filler, s.spec.Gang:
		// Their progress depends on other tasks or never ends.
	case p.hung(r, now):
		n.pausedUntil = now.Add(hungWorkerPause)
		n.health.failed(now)
		return "hung"
	case s.spec.Checkpointable && n.slowdown.value() > slowWorkerFactor && r.percent < 70 && p.fasterWorkerHasCapacity(s, n, now):
		return "slow_worker"
	}
	return ""
}

// hung reports whether a run has made no progress for too long.
func (p *Pool) hung(r *run, now time.Time) bool {
	if r.percentChangedAt.IsZero() || r.pace < fullPace || r.task.step.spec.EstimateMS <= 0 {
		return false
	}
	limit := max(minHungTime, time.Duration(hungEstimateShare*float64(r.task.step.spec.EstimateMS))*time.Millisecond)
	return now.Sub(r.percentChangedAt) > limit && now.Sub(r.node.repliedAt) < maxReplyAge
}

// fasterWorkerHasCapacity reports whether a worker of usual speed has capacity
// for the step now.
func (p *Pool) fasterWorkerHasCapacity(s *step, slow *node, now time.Time) bool {
	for _, n := range p.nodes {
		if n != slow && n.usable(now) && n.slowdown.value() < slowWorkerFactor/2 && p.eligible(s, n) && !s.deniedOn(n) && p.tasksThatFit(s, n, n.free()) > 0 {
			return true
		}
	}
	return false
}
