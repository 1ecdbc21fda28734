package pool

import (
	"slices"
	"time"
)

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
	// minSiblings is how many tasks of a step must be done before the run time of
	// another one says something about its worker.
	minSiblings = 3
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
//
// A queue is compared with its estimates and a worker with the siblings of the
// run: estimates may be off by 90%, in the same way for all tasks of a step.
func (p *Pool) recordRunTime(r *run, now time.Time) {
	s := r.task.step
	if r.startedAt.IsZero() || r.checkpoint != "" || s.spec.LongRunning || s.spec.Filler || s.spec.Gang || r.pace < fullPace {
		return
	}
	took := now.Sub(r.startedAt)
	inRack := took
	if p.runsRemotely(r) {
		inRack = time.Duration(float64(took) / p.opts.RemoteFactor)
	}
	if s.spec.EstimateMS > 0 {
		queue := p.slowdowns[s.job.queue.Name]
		if queue == nil {
			queue = &slowdown{}
			p.slowdowns[s.job.queue.Name] = queue
		}
		queue.add(float64(inRack.Milliseconds()) / float64(s.spec.EstimateMS))
		p.recordImageRunTime(s, inRack)
	}
	if s.spec.PreferredRack != "" && !r.node.entry.HasLabel(s.spec.PreferredRack) {
		return // away from its data, where runs take longer on any worker
	}
	if ratio, ok := s.compareWithSiblings(took); ok {
		r.node.slowdown.add(ratio)
	}
}

// compareWithSiblings returns the run time of a task relative to the median of the
// tasks of the step that were done before, if these are enough, and records it.
func (s *step) compareWithSiblings(took time.Duration) (ratio float64, ok bool) {
	if len(s.runTimes) >= minSiblings {
		median := s.runTimes[len(s.runTimes)/2]
		ratio, ok = float64(took)/float64(max(median, time.Millisecond)), true
	}
	at, _ := slices.BinarySearch(s.runTimes, took)
	s.runTimes = slices.Insert(s.runTimes, at, took)
	return ratio, ok
}

// moveTasks stops runs that hang or that should continue on another worker. The
// caller must hold p.mu.
func (p *Pool) moveTasks(now time.Time) {
	for _, n := range p.nodes {
		if !n.hasReplied || n.unresponsive {
			continue
		}
		for _, r := range n.runs {
			if r.state != runActive || r.stopping || !r.task.wants(r) {
				continue
			}
			if reason := p.moveReason(r, now); reason != "" {
				p.taskLog.Info("task moved", "job", r.task.step.job.id, "task", r.task.name(), "run", r.number, "worker", n.entry.ID, "reason", reason, "percent", r.percent, "unchanged_ms", now.Sub(r.percentChangedAt).Milliseconds(), "worker_speed", n.slowdown.value())
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
