package pool

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/cell/celltest"
	"github.com/laburnumpass/laburnumpass/internal/lead"
)

// restartUnderStart submits a job of one task. Its first start request is lost, the worker
// restarts, and the new process takes the second one. It is cut off after that, before the
// scheduler has got a reply from it.
func (tc *testCluster) restartUnderStart() {
	time.Sleep(20 * time.Second) // the clock of the first process is ahead of the new one's
	ids := make([]string, 0, len(tc.workers))
	for id := range tc.workers {
		ids = append(ids, id)
	}
	var chosen atomic.Pointer[celltest.Worker]
	var starts atomic.Int32
	for _, id := range ids {
		w := tc.worker(id)
		w.SetFault(func(call, _ string) celltest.Fault {
			switch {
			case call == "start" && chosen.CompareAndSwap(nil, w):
				starts.Add(1)
				time.AfterFunc(10*time.Millisecond, w.Restart)
				return celltest.DropRequest
			case chosen.Load() != w:
				return celltest.NoFault
			case call == "start" && starts.Add(1) == 2:
				time.AfterFunc(time.Millisecond, func() { w.SetPartitioned(true) })
				return celltest.DropReply
			}
			return celltest.DropRequest
		})
	}
	tc.submit("a", smallStep)
	tc.waitFor("the new process runs it", func() bool { return len(tc.running("a")) == 1 })
}

// Guards against a second run while a restarted worker has the longest lease.
func TestStartOnRestartedWorkerThatIsCutOff(t *testing.T) {
	for name, change := range map[string]func(tc *testCluster){
		"same scheduler":       func(*testCluster) {},
		"after a planned stop": func(tc *testCluster) { tc.stop(); tc.takeOver(0) },
		"after a kill":         func(tc *testCluster) { tc.stop(); tc.takeOver(lead.MaxConfirmationAge) },
		"after two planned stops": func(tc *testCluster) {
			tc.stop()
			tc.takeOver(0)
			tc.stop()
			tc.takeOver(0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			inSimulation(t, 2, func(t *testing.T, tc *testCluster) {
				tc.taskDuration = 10 * time.Second
				tc.restartUnderStart()
				change(tc)
				tc.waitForState("a", api.JobCompleted)
			})
		})
	}
}

// Guards against runs that wait for the longest lease although their process is known, and
// against crashes that are lost when the runs of a worker are released at two times.
func TestRunsOfKnownProcessAreReleasedFirst(t *testing.T) {
	for name, reply := range map[string]struct {
		clockMS   int64
		confirmed bool
	}{"the known process": {60_100, true}, "a later process": {100, false}} {
		t.Run(name, func(t *testing.T) {
			p, n, known := poolWithRun(runActive, true)
			p.journal.closed = true
			other := newJob("b", known.task.step.job.queue, "", &api.Job{Steps: []api.Step{smallStep}}, time.Now()).occurrence(0).steps[0].tasks[0]
			started := n.addRun(other, 1, runStartSent)
			other.currentRun, started.startSentAt = started, time.Now()
			n.lastStartAt, n.client, n.unresponsive, n.refusesConnections = cell.BootTime(), &celltest.Worker{}, true, true
			n.leaseUntilMS = -time.Hour.Milliseconds()
			p.confirmProcess(started, reply.clockMS, n.minClockMS())
			p.sweepNodes()
			require.Nil(t, known.task.currentRun)
			require.Equal(t, reply.confirmed, other.currentRun == nil)
			n.lastStartAt -= p.longestLease()
			p.sweepNodes()
			require.Nil(t, other.currentRun)
			require.Len(t, p.presumedEnds["w"].runs, 2)
			p.settlePresumedEnd("w", 2)
			require.Equal(t, 1, other.crashes+other.possibleCrashes)
		})
	}
}

// Guards against a second run if the process that a predecessor's start reached replies once.
func TestFirstReplyAfterAPredecessor(t *testing.T) {
	for name, prepare := range map[string]func(p *Pool, r *run){
		"a start may have been meant for an earlier process": func(p *Pool, _ *run) { p.settledProcesses["w"] = 0 },
		"predecessors kept no records of processes":          func(p *Pool, _ *run) { p.term.ProcessRecordsSince = 2 },
		"the run was placed for an earlier process":          func(_ *Pool, r *run) { r.incarnation = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			p, n, r := poolWithRun(runInherited, false)
			n.hasReplied = false
			prepare(p, r)
			p.applyHoldReply(n, &cell.HoldReply{Incarnation: 1, ClockMS: 100}, cell.BootTime())
			require.GreaterOrEqual(t, n.leaseUntilMS, 100+testMaxLease.Milliseconds())
		})
	}
}

// Guards against starts whose longest lease outlasts the window that successors allow for.
func TestNoStartWithAnOldConfirmation(t *testing.T) {
	for _, maxLease := range []time.Duration{time.Second, testMaxLease, 10 * time.Second, 30 * time.Second} {
		p, _, _ := poolWithRun(runPlanned, false)
		p.opts.MaxLease = maxLease
		begin := cell.BootTime()
		p.term = lead.NewTerm(2, func() {}, predecessorsFor(lead.MaxConfirmationAge)...)
		ends := p.endOfPredecessorLeases()
		require.GreaterOrEqual(t, ends.longest-begin, p.maxStartConfirmationAge()+p.longestLease())
		require.GreaterOrEqual(t, ends.longest-begin, lead.MaxConfirmationAge+workerTime(p.leaseDuration())+leaseExpirySlack)
		require.GreaterOrEqual(t, ends.usual-begin, lead.MaxConfirmationAge+workerTime(p.leaseDuration())+leaseExpirySlack)
		p.term = lead.NewTerm(2, func() {}, predecessorsFor(0)...)
		require.GreaterOrEqual(t, p.endOfPredecessorLeases().longest-begin, p.longestLease())
	}
	synctest.Test(t, func(t *testing.T) {
		base := time.Now()
		defer cell.SetBootClock(func() time.Duration { return time.Since(base) })()
		p, n, r := poolWithRun(runStartSent, false)
		var starts, stops atomic.Int32
		n.client = silentWorker{&celltest.Worker{}, &starts, &stops}
		time.Sleep(p.maxStartConfirmationAge() + time.Second)
		ctx, cancel := context.WithCancel(context.Background())
		p.ctx = ctx
		p.startRun(r)
		require.Zero(t, starts.Load())
		cancel()
		time.Sleep(time.Second) // until the stop request has ended
	})
}

// silentWorker counts start and stop requests and does not reply to them.
type silentWorker struct {
	*celltest.Worker
	starts, stops *atomic.Int32
}

func (c silentWorker) Start(ctx context.Context, _ cell.StartRequest) (int64, error) {
	c.starts.Add(1)
	<-ctx.Done()
	return 0, ctx.Err()
}

func (c silentWorker) Stop(ctx context.Context, _ string, _ int, _ int64) (int64, error) {
	c.stops.Add(1)
	<-ctx.Done()
	return 0, ctx.Err()
}

// Guards against a lease without end: a start was repeated on the clock of the process before.
func TestNoStartBeforeTheFirstReplyOfARestartedWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		base := time.Now()
		defer cell.SetBootClock(func() time.Duration { return time.Hour + time.Since(base) })()
		p, n, r := poolWithRun(runStartSent, false)
		var starts, stops atomic.Int32
		n.client = silentWorker{&celltest.Worker{}, &starts, &stops}
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			time.Sleep(time.Second) // until the stop requests have ended
		}()
		p.ctx = ctx
		entry := n.entry
		entry.Incarnation = 2
		p.applyEntry(&entry)
		go p.startRun(r)
		time.Sleep(time.Second)
		require.Zero(t, starts.Load())
		p.mu.Lock()
		p.applyHoldReply(n, &cell.HoldReply{Incarnation: 2, ClockMS: 100}, cell.BootTime())
		p.mu.Unlock()
		time.Sleep(time.Second)
		require.Zero(t, starts.Load(), "the request is meant for the earlier process")
		require.NotZero(t, stops.Load(), "an earlier attempt may reach the new process")
		p.mu.Lock()
		require.LessOrEqual(t, n.leaseUntilMS, 2000+testMaxLease.Milliseconds())
		p.mu.Unlock()
	})
}

// Guards against a second run because a restart shortens the bound, or a second one resets it.
func TestBoundAfterRestarts(t *testing.T) {
	p, n, r := poolWithRun(runInherited, false)
	r.settled = true
	end := cell.BootTime() + time.Hour
	p.predecessorLeases = leaseEnds{longest: end}
	p.restartIncarnation(n)
	require.Equal(t, end, p.runLeaseEnd(r), "predecessors may still send starts")
	p.predecessorLeases = leaseEnds{}
	begin := cell.BootTime()
	p.restartIncarnation(n)
	require.GreaterOrEqual(t, p.runLeaseEnd(r), begin+testMaxLease, "the last process may have the longest lease")
	require.NotNil(t, r.task.currentRun)
}

// Guards against a release whose log line does not show which bound it rests on.
func TestReleaseNamesItsBound(t *testing.T) {
	for name, prepare := range map[string]func(p *Pool, n *node, r *run){
		"predecessors": func(p *Pool, n *node, r *run) { n.hasReplied = false },
		"record": func(p *Pool, n *node, r *run) {
			n.hasReplied, p.predecessorLeases.longest = false, cell.BootTime()
			n.inheritedLeases = &leaseEnds{}
		},
		"restart": func(p *Pool, n *node, r *run) { p.restartIncarnation(n) },
		"late_start": func(p *Pool, n *node, r *run) {
			n.firstRepliedAt, r.unansweredAt = time.Now(), time.Now()
			p.noteUnansweredStart(r)
		},
		"last_start": func(p *Pool, n *node, r *run) { n.lastStartAt = cell.BootTime() - time.Minute },
		"first_reply": func(p *Pool, n *node, r *run) {
			n.hasReplied = false
			p.applyHoldReply(n, &cell.HoldReply{Incarnation: 1, ClockMS: 100, Running: []cell.RunningTask{{Task: r.task.name(), Run: 1}}}, cell.BootTime())
		},
		"requested_lease": func(p *Pool, n *node, r *run) {
			r.listed = true
			n.extendLease(p.leaseDuration())
		},
	} {
		t.Run(name, func(t *testing.T) {
			p, n, r := poolWithRun(runStartSent, false)
			prepare(p, n, r)
			require.Equal(t, []any{"bound", name}, p.leaseDetails(r)[:2])
		})
	}
}

// Guards against a wait whose log line says less time than the runs are kept.
func TestLeaseRemaining(t *testing.T) {
	for name, prepare := range map[string]func(p *Pool, n *node, r *run){
		"predecessors": func(p *Pool, n *node, _ *run) {
			n.hasReplied, p.predecessorLeases.longest = false, cell.BootTime()+5*time.Second
		},
		"requested lease": func(p *Pool, n *node, r *run) {
			r.listed = true
			n.extendLease(p.leaseDuration())
		},
		"last start": func(_ *Pool, n *node, _ *run) { n.lastStartAt = cell.BootTime() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				base := time.Now()
				defer cell.SetBootClock(func() time.Duration { return time.Hour + time.Since(base) })()
				p, n, r := poolWithRun(runActive, false)
				prepare(p, n, r)
				expired := func() bool { return p.runExpired(r) }
				time.Sleep(p.leaseRemaining(r) - 200*time.Millisecond)
				require.False(t, expired())
				time.Sleep(400 * time.Millisecond)
				require.True(t, expired())
				require.Zero(t, p.leaseRemaining(r))
			})
		})
	}
}

// Guards against leases that outlast what a witness that takes over expects.
func TestNoLeasesWithoutWitnesses(t *testing.T) {
	for name, replied := range map[string]bool{"the witness has replied": true, "it has not": false} {
		t.Run(name, func(t *testing.T) {
			p, n, r := poolWithRun(runActive, true)
			claimedAt := cell.BootTime() - 2*lead.SoleExtensionAge
			p.term = lead.BeginTerm(nil, lead.Holder{Epoch: 1, Witnesses: []string{"b"}}, 0, claimedAt, func() {})
			if replied {
				p.term.NoteWitness("b", cell.BootTime())
			}
			require.Less(t, p.term.ConfirmationAge(), p.maxStartConfirmationAge())
			require.Equal(t, replied, p.nextHold(n).LeaseUntilMS > 0)
			require.Equal(t, !replied, p.startBarred(r))
		})
	}
}
