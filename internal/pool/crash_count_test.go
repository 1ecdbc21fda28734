package pool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/cell/celltest"
	"github.com/laburnumpass/laburnumpass/internal/httpcall"
)

// Guards against crashes that are not counted, or that are counted although the
// worker's process went on or the run may not have begun.
func TestCrashCounts(t *testing.T) {
	reuse := func(p *Pool, n *node) { p.handleHoldError(n, &cell.RejectedError{Reason: cell.RejectedWorkerID}) }
	restart := func(p *Pool, n *node) {
		p.applyHoldReply(n, &cell.HoldReply{Incarnation: 2, ClockMS: 100}, cell.BootTime()+time.Second)
	}
	expire := func(err error) func(*Pool, *node) {
		return func(p *Pool, n *node) {
			p.handleHoldError(n, err)
			n.leaseUntilMS = -time.Hour.Milliseconds()
			p.sweepNodes()
		}
	}
	refuse := expire(httpcall.ErrConnRefused)
	unlist := func(p *Pool, n *node) { p.markUnlisted(n, "removed") }
	list := func(p *Pool, n *node) { entry := n.entry; p.applyEntry(&entry) }
	reply := func(p *Pool, n *node) {
		p.applyHoldReply(n, &cell.HoldReply{Incarnation: 1, ClockMS: 70_000}, cell.BootTime()+time.Second)
	}
	after := func(events ...func(*Pool, *node)) func(*Pool, *node) {
		return func(p *Pool, n *node) {
			for _, event := range events {
				event(p, n)
			}
		}
	}
	for _, c := range []struct {
		name     string
		state    runState
		started  time.Duration
		draining bool
		end      func(*Pool, *node)
		crashes  int
		possible int
		suspect  bool
	}{
		{"another worker has its address", runActive, time.Millisecond, false, reuse, 1, 0, true},
		{"another incarnation", runActive, time.Millisecond, false, restart, 1, 0, true},
		{"no process listens, its entry remains", runActive, time.Millisecond, false, refuse, 0, 0, true},
		{"no process listens, its entry goes", runActive, time.Millisecond, false, after(refuse, unlist), 1, 0, true},
		{"no process listens, its entry has gone", runActive, time.Millisecond, false, after(unlist, refuse), 1, 0, true},
		{"no process listens, then another worker has its address", runActive, time.Millisecond, false, after(refuse, reuse), 1, 0, true},
		{"no process listens, then another incarnation replies", runActive, time.Millisecond, false, after(refuse, restart), 1, 0, true},
		{"no process listens, its entry goes, then another worker has its address", runActive, time.Millisecond, false, after(refuse, unlist, reuse), 1, 0, true},
		{"no process listens, then it replies", runActive, time.Millisecond, false, after(refuse, reply), 0, 0, false},
		{"no process listens, its entry goes, then it replies", runActive, time.Millisecond, false, after(refuse, unlist, reply), 0, 0, false},
		{"no process listens, its entry goes and comes back", runActive, time.Millisecond, false, after(refuse, unlist, list), 0, 0, false},
		{"no process listens long after the start", runActive, 2 * crashWindow, false, after(refuse, unlist), 1, 0, false},
		{"cut off", runActive, time.Millisecond, false, expire(httpcall.ErrNoReply), 0, 0, false},
		{"drained", runActive, time.Millisecond, true, reuse, 0, 0, false},
		{"started long before", runActive, 2 * crashWindow, false, reuse, 1, 0, false},
		{"start request just sent", runStartSent, time.Millisecond, false, reuse, 1, 0, true},
		{"start request not answered for a while", runStartSent, crashWindow / 2, false, reuse, 0, 1, true},
		{"not sent", runPlanned, 0, false, reuse, 0, 0, false},
		{"placed by a predecessor", runInherited, 0, false, reuse, 0, 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, n, r := poolWithRun(c.state, false)
			p.journal.closed = true
			n.entry.Draining, n.client = c.draining, &celltest.Worker{}
			if c.started > 0 {
				r.startSentAt = time.Now().Add(-c.started)
			}
			if c.state == runActive {
				r.startedAt, r.begun = r.startSentAt, true
			}
			c.end(p, n)
			task := r.task
			require.Nil(t, task.currentRun)
			require.Equal(t, []any{c.crashes, c.possible, c.suspect}, []any{task.crashes, task.possibleCrashes, task.suspect})
			require.False(t, task.givenUp)
		})
	}
}

// Guards against a job that is given up because a worker was cut off while its tasks were
// started, and its process ended behind the cut later.
func TestUnansweredStartBehindCutIsNoCertainCrash(t *testing.T) {
	for _, c := range []struct {
		name     string
		silence  func(*celltest.Worker)
		certain  int
		possible int
	}{
		{"cut off", func(w *celltest.Worker) { w.SetPartitioned(true) }, 0, 1},
		{"no process listens", func(w *celltest.Worker) { w.SetRefusing(true) }, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, n, r := poolWithRun(runStartSent, false)
				p.journal.closed = true
				w := &celltest.Worker{}
				n.client = w
				c.silence(w)
				time.Sleep(time.Millisecond)
				p.holdOnce(p.ctx, n)
				r.startSentAt = time.Now().Add(-10 * time.Millisecond)
				time.Sleep(time.Second)
				p.handleHoldError(n, &cell.RejectedError{Reason: cell.RejectedWorkerID})
				require.Equal(t, []int{c.certain, c.possible}, []int{r.task.crashes, r.task.possibleCrashes})
			})
		})
	}
}

// Guards against a job that is given up because its runs ended behind a cut, before the
// process of their worker did.
func TestCrashBehindCutIsCertainOnlyUnderProbe(t *testing.T) {
	for _, c := range []struct {
		name     string
		silence  func(*celltest.Worker)
		probe    bool
		certain  int
		possible int
	}{
		{"cut off", func(w *celltest.Worker) { w.SetPartitioned(true) }, false, 0, 1},
		{"cut off under a probe", func(w *celltest.Worker) { w.SetPartitioned(true) }, true, 1, 0},
		{"no process listens", func(w *celltest.Worker) { w.SetRefusing(true) }, false, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, n, r := poolWithRun(runActive, true)
				p.journal.closed = true
				w := &celltest.Worker{}
				n.client, r.begun, r.probe = w, true, c.probe
				r.startSentAt = time.Now()
				time.Sleep(2 * crashWindow)
				c.silence(w)
				p.holdOnce(p.ctx, n)
				time.Sleep(time.Second)
				p.applyHoldReply(n, &cell.HoldReply{Incarnation: 2, ClockMS: 100}, cell.BootTime())
				require.Equal(t, []int{c.certain, c.possible}, []int{r.task.crashes, r.task.possibleCrashes})
			})
		})
	}
}

// Guards against a job that is given up because another worker, which has the address of
// one that has left, rejected the start of its task.
func TestRejectionByAnotherWorkerIsNoCrash(t *testing.T) {
	for delivered, crashes := range map[bool]int{false: 1, true: 2} {
		p, n, r := poolWithRun(runStartSent, false)
		p.journal.closed = true
		n.client, r.startSentAt, r.maybeDelivered, r.task.crashes = &celltest.Worker{}, time.Now(), delivered, 1
		require.True(t, p.handleStartReply(r, &cell.RejectedError{Reason: cell.RejectedWorkerID}))
		require.Nil(t, r.task.currentRun)
		require.Equal(t, crashes, r.task.crashes, "an earlier request may have been executed: %v", delivered)
		require.Equal(t, delivered, r.task.givenUp)
	}
}
