package pool

import (
	"context"
	"fmt"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

const (
	// leaseTerm is how long a worker runs its tasks after the last renewal. It
	// covers a renewal that is 0.8 s old when the scheduler dies, 1.9 s until
	// another one claims and 1 s until that has reached the worker.
	leaseTerm = 3800 * time.Millisecond
	// leaseMargin is how far the lease stays below the longest that workers
	// grant.
	leaseMargin = 200 * time.Millisecond
	// clockSlowness is how much slower a worker's clock may be, by the
	// platform's promise.
	clockSlowness = 0.02
	// lapseSlack covers the delay of a worker's timers.
	lapseSlack = 250 * time.Millisecond
	// contactFresh is how recent the last reply of a worker must be for new
	// work: one wait for ends and its reply.
	contactFresh = 1600 * time.Millisecond
	// unhealthyPause is how long a worker that refused work gets none.
	unhealthyPause = time.Second
)

// client reaches one worker; see package platform for its errors.
type client interface {
	Start(ctx context.Context, s cell.StartRequest) (clockMS int64, err error)
	Stop(ctx context.Context, task string, run int, fence int64) (clockMS int64, err error)
	Pace(ctx context.Context, task string, run, percent int, fence int64) (clockMS int64, err error)
	Hold(ctx context.Context, h cell.HoldRequest) (*cell.HoldReply, error)
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
	// fillers is the processor time that filler tasks want, in thousandths of a
	// core; leaving is what runs that are being stopped take.
	fillers int64
	leaving worker.Resources
	// perStep counts the runs of each step.
	perStep map[*step]int

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
	// lapsesAt is the boot time by which leases of earlier schedulers have
	// expired, while the worker is not confirmed.
	lapsesAt time.Duration
	// failing is set while the last call for its list has failed.
	failing bool
	// lostAt is when a call for its list last failed.
	lostAt time.Time

	// processed is the number of the last end that was taken in, and acked of
	// the last that is stored.
	processed, acked int64
	pausedUntil      time.Time
	health           nodeHealth
	// speed is how long runs take here beside others of their queue.
	speed speed
}

func runKey(task string, number int) string { return fmt.Sprintf("%s#%d", task, number) }

// add makes a run of t on the node and takes its capacity.
func (n *node) add(t *task, number int, state runState) *run {
	r := &run{task: t, number: number, node: n, resources: t.step.need(), state: state, pace: fullPace, paceSent: fullPace}
	n.runs[runKey(t.name(), number)] = r
	n.used = n.used.Add(r.resources)
	n.perStep[t.step]++
	if t.step.spec.Filler {
		n.fillers += t.step.spec.MilliCPU
	}
	return r
}

// markStopping notes that r will give its capacity back soon.
func (n *node) markStopping(r *run) {
	if r.stopping || n.runs[runKey(r.task.name(), r.number)] != r {
		return
	}
	r.stopping = true
	n.leaving = n.leaving.Add(r.resources)
}

// remove gives the run's capacity back.
func (n *node) remove(r *run) {
	key := runKey(r.task.name(), r.number)
	if n.runs[key] != r {
		return
	}
	delete(n.runs, key)
	n.used = n.used.Sub(r.resources)
	if n.perStep[r.task.step]--; n.perStep[r.task.step] == 0 {
		delete(n.perStep, r.task.step)
	}
	if r.task.step.spec.Filler {
		n.fillers -= r.task.step.spec.MilliCPU
	}
	if r.stopping {
		n.leaving = n.leaving.Sub(r.resources)
	}
}

func (n *node) free() worker.Resources { return n.entry.Capacity.Sub(n.used) }

// usable tells whether new work may be placed on the node.
func (n *node) usable(now time.Time) bool {
	return n.listed && n.confirmed && !n.failing && !n.entry.Draining &&
		now.After(n.pausedUntil) && now.Sub(n.repliedAt) < contactFresh
}

// nowMS returns a lower bound of the worker's clock.
func (n *node) nowMS() int64 {
	elapsed := cell.BootTime() - n.clockAt
	return n.clockMS + int64(float64(elapsed.Milliseconds())*(1-clockSlowness))
}

// extend returns the end of a renewed lease on the worker's clock.
func (n *node) extend(term time.Duration) int64 {
	elapsed := (cell.BootTime() - n.clockAt).Milliseconds()
	n.leaseUntilMS = max(n.leaseUntilMS, n.clockMS+elapsed+term.Milliseconds())
	return n.leaseUntilMS
}

// lapsed tells whether everything that ran on the worker has ended, because no
// lease that any scheduler has sent can still hold.
func (n *node) lapsed() bool {
	if !n.confirmed {
		return cell.BootTime() > n.lapsesAt
	}
	return n.nowMS() > n.leaseUntilMS+lapseSlack.Milliseconds()
}

// node returns the worker of that ID; it makes one without an entry if there is
// none, for runs of an earlier scheduler. It needs p.mu.
func (p *Pool) node(id string) *node {
	n := p.nodes[id]
	if n == nil {
		n = &node{entry: cell.WorkerEntry{ID: id}, runs: make(map[string]*run), perStep: make(map[*step]int), lapsesAt: p.inheritedLapse}
		p.nodes[id] = n
	}
	return n
}

// leaseTerm returns how long leases last.
func (p *Pool) leaseTerm() time.Duration {
	return min(leaseTerm, p.opts.MaxLease-leaseMargin)
}
