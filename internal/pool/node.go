package pool

import (
	"context"
	"fmt"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

const (
	// leaseDuration is how long a worker runs its tasks after the last renewal. It
	// covers a renewal that is 0.8 s old when the scheduler dies, 1.9 s until
	// another one claims and 1 s until that has reached the worker.
	leaseDuration = 3800 * time.Millisecond
	// leaseMargin is how far the lease stays below the longest that workers
	// grant.
	leaseMargin = 200 * time.Millisecond
	// maxClockDrift is how much slower a worker's clock may be, by the
	// platform's promise.
	maxClockDrift = 0.02
	// leaseExpirySlack covers the delay of a worker's timers.
	leaseExpirySlack = 250 * time.Millisecond
	// maxReplyAge is how recent the last reply of a worker must be for new
	// work: one wait for ends and its reply.
	maxReplyAge = 1600 * time.Millisecond
	// refusalPause is how long a worker that refused work gets none.
	refusalPause = time.Second
)

// client reaches one worker; see package platform for its errors.
type client interface {
	Start(ctx context.Context, s cell.Start) (clockMS int64, err error)
	Stop(ctx context.Context, task string, run int, fence int64) (clockMS int64, err error)
	Pace(ctx context.Context, task string, run, percent int, fence int64) (clockMS int64, err error)
	Hold(ctx context.Context, h cell.Hold) (*cell.Holding, error)
	Close()
}

// node is a worker as the scheduler of its service knows it. Its fields are
// guarded by the pool's mutex.
type node struct {
	entry cell.WorkerEntry
	// listed is false for a worker that has no entry in the registry.
	listed bool
	client client
	cancel context.CancelFunc

	// runs has all runs that may be on the worker, by runKey.
	runs map[string]*run
	used worker.Resources
	// fillerMilliCPU is the processor time that filler tasks want, in thousandths of a
	// core; leaving is what runs that are being stopped take.
	fillerMilliCPU    int64
	stoppingResources worker.Resources
	// runsPerStep counts the runs of each step.
	runsPerStep map[*step]int

	// confirmed is set once the worker has replied to this scheduler: it has
	// seen the fencing token, and its list of runs is known.
	confirmed bool
	// clockMS is the worker's clock at boot time clockAt.
	clockMS int64
	clockAt time.Duration
	// repliedAt is when the worker last replied with its list.
	repliedAt time.Time
	// leaseUntilMS is the latest end of the lease that was sent, on the
	// worker's clock.
	leaseUntilMS int64
	// predecessorLeaseEnd is the boot time by which leases of earlier schedulers have
	// expired, while the worker is not confirmed.
	predecessorLeaseEnd time.Duration
	// failing is set while the last call for its list has failed.
	failing bool
	// failedAt is when a call for its list last failed.
	failedAt time.Time

	// processedEnd is the number of the last end that was taken in, and acked of
	// the last that is stored.
	processedEnd, ackCursor int64
	pausedUntil             time.Time
	health                  nodeHealth
	// slowdown is how long runs take here beside others of their queue.
	slowdown slowdown
}

func runKey(task string, number int) string { return fmt.Sprintf("%s#%d", task, number) }

// addRun makes a run of t on the node and takes its capacity.
func (n *node) addRun(t *task, number int, state runState) *run {
	r := &run{task: t, number: number, node: n, resources: t.step.need(), state: state, pace: fullPace, paceSent: fullPace}
	n.runs[runKey(t.name(), number)] = r
	n.used = n.used.Add(r.resources)
	n.runsPerStep[t.step]++
	if t.step.spec.Filler {
		n.fillerMilliCPU += t.step.spec.MilliCPU
	}
	return r
}

// markStopping notes that r will give its capacity back soon.
func (n *node) markStopping(r *run) {
	if r.stopping || n.runs[runKey(r.task.name(), r.number)] != r {
		return
	}
	r.stopping = true
	n.stoppingResources = n.stoppingResources.Add(r.resources)
}

// removeRun gives the run's capacity back.
func (n *node) removeRun(r *run) {
	key := runKey(r.task.name(), r.number)
	if n.runs[key] != r {
		return
	}
	delete(n.runs, key)
	n.used = n.used.Sub(r.resources)
	if n.runsPerStep[r.task.step]--; n.runsPerStep[r.task.step] == 0 {
		delete(n.runsPerStep, r.task.step)
	}
	if r.task.step.spec.Filler {
		n.fillerMilliCPU -= r.task.step.spec.MilliCPU
	}
	if r.stopping {
		n.stoppingResources = n.stoppingResources.Sub(r.resources)
	}
}

func (n *node) free() worker.Resources { return n.entry.Capacity.Sub(n.used) }

// usable tells whether new work may be placed on the node.
func (n *node) usable(now time.Time) bool {
	return n.listed && n.confirmed && !n.failing && !n.entry.Draining &&
		now.After(n.pausedUntil) && now.Sub(n.repliedAt) < maxReplyAge
}

// minClockMS returns a lower bound of the worker's clock.
func (n *node) minClockMS() int64 {
	elapsed := cell.BootTime() - n.clockAt
	return n.clockMS + int64(float64(elapsed.Milliseconds())*(1-maxClockDrift))
}

// extendLease returns the end of a renewed lease on the worker's clock.
func (n *node) extendLease(duration time.Duration) int64 {
	elapsed := (cell.BootTime() - n.clockAt).Milliseconds()
	n.leaseUntilMS = max(n.leaseUntilMS, n.clockMS+elapsed+duration.Milliseconds())
	return n.leaseUntilMS
}

// leaseExpired tells whether everything that ran on the worker has ended, because no
// lease that any scheduler has sent can still hold.
func (n *node) leaseExpired() bool {
	if !n.confirmed {
		return cell.BootTime() > n.predecessorLeaseEnd
	}
	return n.minClockMS() > n.leaseUntilMS+leaseExpirySlack.Milliseconds()
}

// node returns the worker of that ID; it makes one without an entry if there is
// none, for runs of an earlier scheduler. It needs p.mu.
func (p *Pool) node(id string) *node {
	n := p.nodes[id]
	if n == nil {
		n = &node{entry: cell.WorkerEntry{ID: id}, runs: make(map[string]*run), runsPerStep: make(map[*step]int), predecessorLeaseEnd: p.predecessorLeaseEnd}
		p.nodes[id] = n
	}
	return n
}

// leaseDuration returns how long leases last.
func (p *Pool) leaseDuration() time.Duration {
	return min(leaseDuration, p.opts.MaxLease-leaseMargin)
}
