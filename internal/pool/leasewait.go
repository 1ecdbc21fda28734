package pool

import "time"

// advanceAdviceMargin is how much earlier than a call takes a step asks for advice whose runs
// wait for a lease.
const advanceAdviceMargin = 200 * time.Millisecond

// endingWaits returns the long-running steps that need advice for runs whose wait for a lease
// ends about when the reply arrives, with the number of these runs. The caller must hold p.mu.
func (p *Pool) endingWaits() map[*step]int {
	var steps map[*step]int
	for _, n := range p.nodes {
		if n.silentSince.IsZero() {
			continue
		}
		for _, r := range n.runs {
			s := r.task.step
			policy := s.job.queue.Policy
			if !s.spec.LongRunning || policy == nil || !r.task.wants(r) || !s.job.active() {
				continue
			}
			if p.leaseRemaining(r) > policy.DecisionTime+minWorkersPerCall*policy.TimePerWorker+advanceAdviceMargin {
				continue
			}
			if steps == nil {
				steps = make(map[*step]int)
			}
			steps[s]++
		}
	}
	return steps
}
