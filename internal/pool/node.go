package pool

import (
	"context"
	"fmt"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

const (
	// leaseDuration is how long a worker runs its tasks after the last renewal.
	// It covers a renewal that is 0.8 s old when the scheduler dies, 1.9 s
	// until another host claims the term and 1 s until the new scheduler has
	// reached the worker. Together these take 3.7 s, which leaves 0.1 s.
	leaseDuration = 3800 * time.Millisecond
	// leaseMargin is how far leases stay below the longest that workers grant.
	leaseMargin = 200 * time.Millisecond
	// maxClockDrift is how much slower a worker's clock may run, as guaranteed
	// by the platform.
	maxClockDrift = 0.02
	// leaseExpirySlack allows for delayed timers at the worker.
	leaseExpirySlack = 250 * time.Millisecond
	// maxReplyAge is how old a worker's last reply may be for the worker to get
	// new work. It covers one wait for ended runs and the reply, which take up
	// to 1.05 s (holdWait plus holdReplyTimeout).
	maxReplyAge = 1600 * time.Millisecond
	// refusalPause is how long a worker gets no work after it refused some or
	// could not be reached.
	refusalPause = time.Second
)

// client calls one worker. See Client for its errors.
type client interface {
	Start(ctx context.Context, s cell.StartRequest) (clockMS int64, err error)
	Stop(ctx context.Context, task string, run int, fence int64) (clockMS int64, err error)
	Pace(ctx context.Context, task string, run, percent int, fence int64) (clockMS int64, err error)
	// Hold renews the scheduler's lease on the worker, acknowledges ended runs
	// and returns the worker's lists of running and of ended runs. The worker
	// holds the reply back until a run ends or the wait in h is over. Calls of one
	// client must not overlap.
	Hold(ctx context.Context, h cell.HoldRequest) (*cell.HoldReply, error)
	Close()
}

// node is the scheduler-side state of one worker: its registry entry, its runs
// and its lease, as far as the scheduler knows them. Its fields are guarded by
// the pool's mutex.
type node struct {
	entry cell.WorkerEntry
	// listed is false for a worker without an entry in the registry.
	listed bool
	// storedPlaces is what predecessors have stored with runs there, and
	// addressFromRecord is set while the address is from it, since this scheduler has had
	// no entry of the worker.
	storedPlaces      []storedPlace
	addressFromRecord bool

	client client
	cancel context.CancelFunc

	// runs holds all runs that may be on the worker, by runKey.
	runs map[string]*run
	used worker.Resources
	// teams is the usage of teams in the whole shard, to which the runs here count.
	teams teamUsage
	// fillerMilliCPU is the processor time that filler tasks ask for, in
	// thousandths of a core. stoppingResources is what runs that are being
	// stopped still hold.
	fillerMilliCPU    int64
	stoppingResources worker.Resources
	// longRunningResources is what long-running runs hold.
	longRunningResources worker.Resources
	// runsPerStep counts the runs of each step.
	runsPerStep map[*step]int
	// probes counts the runs that keep other starts away from the worker.
	probes int

	// hasReplied is set once the worker's current incarnation has replied to a
	// hold call of this scheduler. The worker has then seen the term's epoch,
	// which is the fencing token, and its list of runs is known.
	hasReplied bool
	// clockMS is the worker's clock when the boot clock of this host read
	// clockAt; see cell.BootTime.
	clockMS int64
	clockAt time.Duration
	// repliedAt is when the worker last replied with its list of runs, and firstRepliedAt
	// when its current incarnation first did.
	repliedAt, firstRepliedAt time.Time
	// leaseUntilMS is the latest end that the lease may have, on the worker's clock.
	leaseUntilMS int64
	// firstLeaseUntilMS is the latest end that the lease may have had at the first reply
	// of the current incarnation.
	firstLeaseUntilMS int64
	// inheritedLeases is what a predecessor has stored about the leases of the worker while
	// it was silent, nil if there is no such record. restartLeaseEnd is the reading of the
	// boot clock by which the leases of a process have expired that this scheduler has
	// noticed the start of. Both are used until hasReplied is set.
	inheritedLeases *leaseEnds
	restartLeaseEnd time.Duration
	// leasesWithheld is set while a record may say that the worker gets no lease, so that no
	// request may extend one. leasesResuming is set while the store is asked to drop that.
	leasesWithheld, leasesResuming bool
	// silentSince is when the worker stopped replying, zero while it replies.
	silentSince time.Time
	// lateStartLeaseEnd is the reading of the boot clock by which a lease has expired that a
	// start request which was meant for an earlier process may still bring.
	lateStartLeaseEnd time.Duration
	// settledProcess is the incarnation of a process that is known to have no longer lease
	// than hold calls request; 0 if there is none. It is stored.
	settledProcess int64
	// lastStartAt is the reading of the boot clock when a start request was last sent.
	lastStartAt time.Duration
	// unresponsive is set if the last hold call failed.
	unresponsive bool
	// connectionChanged is set while hold calls have a connection on which the worker
	// has not replied yet.
	connectionChanged bool
	// crashedUnder is the only job with recent starts when a process of the worker last
	// ended; nil if there were several.
	crashedUnder *Job
	// unexplainedEnd is when a process of the worker last ended on which nothing had
	// been started recently. endNoted is set from the end of a process until the
	// worker replies again.
	unexplainedEnd time.Time
	endNoted       bool
	// refusesConnections is set if the last hold call failed because no process
	// listens at the worker's address.
	refusesConnections bool
	// leaseWaitLogged is set once it was logged that the runs of the silent worker wait for
	// its lease to expire.
	leaseWaitLogged bool
	// failingSince is when the last series of failed hold calls began, and
	// lastHoldFailure when a hold call last failed.
	failingSince, lastHoldFailure time.Time
	// firstFailureTimedOut is set if the first call of that series waited for a reply in
	// vain. Its time does not tell when the process ended, as a broken connection does.
	firstFailureTimedOut bool

	// processedEnd is the number of the last ended run that was processed, and
	// ackCursor of the last one that is stored and can be acknowledged.
	processedEnd, ackCursor int64
	pausedUntil             time.Time
	health                  nodeHealth
	// slowdown is how long runs take on this worker relative to other tasks of
	// their steps.
	slowdown slowdown
}

func runKey(task string, number int) string { return fmt.Sprintf("%s#%d", task, number) }

// addRun adds a run of t to the node and takes its capacity.
func (n *node) addRun(t *task, number int, state runState) *run {
	r := &run{task: t, number: number, node: n, address: n.entry.Address, incarnation: n.entry.Incarnation, resources: t.step.need(), state: state, pace: fullPace, paceSent: fullPace}
	n.runs[runKey(t.name(), number)] = r
	n.used = n.used.Add(r.resources)
	n.teams.add(t)
	n.runsPerStep[t.step]++
	if t.suspect {
		r.probe = true
		n.probes++
	}
	if t.step.spec.Filler {
		n.fillerMilliCPU += t.step.spec.MilliCPU
	}
	if t.step.spec.LongRunning {
		n.longRunningResources = n.longRunningResources.Add(r.resources)
	}
	return r
}

// markStopping records that r will free its capacity soon.
func (n *node) markStopping(r *run) {
	if r.stopping || n.runs[runKey(r.task.name(), r.number)] != r {
		return
	}
	r.stopping = true
	n.stoppingResources = n.stoppingResources.Add(r.resources)
}

// removeRun removes the run and frees its capacity.
func (n *node) removeRun(r *run) {
	key := runKey(r.task.name(), r.number)
	if n.runs[key] != r {
		return
	}
	delete(n.runs, key)
	n.endProbe(r)
	n.used = n.used.Sub(r.resources)
	n.teams.remove(r.task)
	if n.runsPerStep[r.task.step]--; n.runsPerStep[r.task.step] == 0 {
		delete(n.runsPerStep, r.task.step)
	}
	if r.task.step.spec.Filler {
		n.fillerMilliCPU -= r.task.step.spec.MilliCPU
	}
	if r.task.step.spec.LongRunning {
		n.longRunningResources = n.longRunningResources.Sub(r.resources)
	}
	if r.stopping {
		n.stoppingResources = n.stoppingResources.Sub(r.resources)
	}
}

func (n *node) free() worker.Resources { return n.entry.Capacity.Sub(n.used) }

// overCapacity reports whether the runs take more than the worker has, since it has
// shrunk.
func (n *node) overCapacity() bool { return !n.used.Fits(n.entry.Capacity) }

// usable reports whether new work may be placed on the node.
func (n *node) usable(now time.Time) bool {
	return n.listed && n.hasReplied && !n.unresponsive && !n.entry.Draining && !n.leasesWithheld &&
		now.After(n.pausedUntil) && now.Sub(n.repliedAt) < maxReplyAge
}

// minClockMS returns a lower bound of the worker's current clock.
func (n *node) minClockMS() int64 {
	elapsed := cell.BootTime() - n.clockAt
	return n.clockMS + int64(float64(elapsed.Milliseconds())*(1-maxClockDrift))
}

// extendLease records a renewed lease and returns its end on the worker's clock. A
// longer lease that the worker may have is not renewed: a successor of this scheduler
// counts on leases of the usual duration.
func (n *node) extendLease(duration time.Duration) int64 {
	until := n.clockMS + (cell.BootTime() - n.clockAt).Milliseconds() + duration.Milliseconds()
	n.leaseUntilMS = max(n.leaseUntilMS, until)
	return until
}

// node returns the worker with the ID. If there is none, it adds one without a
// registry entry, for runs of a predecessor. The caller must hold p.mu.
func (p *Pool) node(id string) *node {
	n := p.nodes[id]
	if n == nil {
		n = &node{entry: cell.WorkerEntry{ID: id}, runs: make(map[string]*run), runsPerStep: make(map[*step]int), teams: p.quotas.used, settledProcess: p.settledProcesses[id]}
		p.nodes[id] = n
	}
	return n
}

// leaseDuration returns the duration of the leases that this scheduler requests.
// It stays below the longest that workers grant.
func (p *Pool) leaseDuration() time.Duration {
	return min(leaseDuration, p.opts.MaxLease-leaseMargin)
}
