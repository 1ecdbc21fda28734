package pool

import (
	"context"
	"time"
)

const (
	// fullPace is the pace of a run that is not throttled, in percent.
	fullPace = 100
	// paceDownThreshold and paceUpThreshold are the fractions of a step's
	// latency target above which fillers on the same worker are slowed down and
	// below which they are sped up. The measured latency is rough and half a
	// second old, and a target may be missed for at most 4 s.
	paceDownThreshold, paceUpThreshold = 0.85, 0.6
	// paceDownFactor and paceUpStep change the pace: down fast, up slowly.
	paceDownFactor = 0.4
	paceUpStep     = 20
	// minPace is the pace below which a filler is paused.
	minPace = 10
	// paceSettleTime is how long to wait for a new pace to show its effect. The
	// request takes effect after 0.1 s, and the measured latency covers half a
	// second.
	paceSettleTime = 700 * time.Millisecond
)

// adjustPaces adjusts the pace of filler tasks on n to the latency of the
// long-running tasks with a latency target on the same worker.
func (p *Pool) adjustPaces(n *node, now time.Time) {
	worstLatencyRatio := 0.0
	var fillers []*run
	for _, r := range n.runs {
		if r.state != runActive {
			continue
		}
		if target := r.task.step.spec.TargetMS; target > 0 && r.task.step.spec.LongRunning {
			worstLatencyRatio = max(worstLatencyRatio, float64(r.reportedLoad)/float64(target))
		}
		if r.task.step.spec.Filler {
			fillers = append(fillers, r)
		}
	}
	for _, r := range fillers {
		if now.Sub(r.paceChangedAt) < paceSettleTime {
			continue
		}
		pace := nextPace(r.pace, worstLatencyRatio)
		if pace != r.pace {
			r.pace, r.paceChangedAt = pace, now
			p.log.V(1).Info("pace", "task", r.task.name(), "worker", n.entry.ID, "percent", pace, "worst_of_target", worstLatencyRatio)
			go p.sendPace(r, pace)
		}
	}
}

// nextPace returns the next pace of a filler on a worker with a tail latency of
// latencyRatio times the target.
func nextPace(pace int, latencyRatio float64) int {
	switch {
	case latencyRatio > paceDownThreshold:
		pace = int(float64(pace) * paceDownFactor)
		if pace < minPace {
			return 0
		}
		return pace
	case latencyRatio < paceUpThreshold:
		return min(pace+paceUpStep, fullPace)
	}
	return pace
}

func (p *Pool) sendPace(r *run, pace int) {
	ctx, cancel := context.WithTimeout(p.ctx, workerCallTimeout)
	defer cancel()
	if _, err := r.node.client.Pace(ctx, r.task.name(), r.number, pace, p.term.Epoch); err != nil {
		p.log.V(1).Info("pace request failed", "task", r.task.name(), "error", err.Error())
		p.mu.Lock()
		defer p.mu.Unlock()
		// The worker's pace is unknown. A pace that differs by 1 is recorded:
		// nextPace keeps 0 unless the latency is low, and the full pace if it is
		// low, and the request would not be repeated. The next adjustment may
		// follow without waiting.
		r.paceChangedAt = time.Time{}
		if r.pace = pace + 1; pace == fullPace {
			r.pace = pace - 1
		}
	}
}
