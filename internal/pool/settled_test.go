package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/store"
)

// Guards against a wait for the longest lease where every process has a usual one.
func TestRunsOfSettledProcessWaitForAUsualLease(t *testing.T) {
	for name, delay := range map[string]time.Duration{"it dies with its scheduler": 0, "it dies soon after its first reply to a successor": 200 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			inSimulation(t, 3, func(t *testing.T, tc *testCluster) {
				tc.submit("a", longRunning(2))
				tc.waitFor("both tasks run", func() bool { return len(tc.running("a")) == 2 })
				time.Sleep(settledAfter)
				dead := tc.workersOf("a")[0]
				if delay == 0 {
					tc.dieSilently(dead)
				}
				tc.replaceKilled()
				time.Sleep(delay)
				begin := time.Now()
				if delay > 0 {
					tc.dieSilently(dead)
				}
				tc.waitFor("both tasks run again", func() bool { return len(tc.running("a")) == 2 })
				require.Less(t, time.Since(begin), testMaxLease)
			})
		})
	}
}

// Guards against a second run while a process has the longest lease that was not asked for.
func TestLeaseAtTheFirstReply(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(p *Pool, n *node)
		longest bool
	}{
		"the settled process": {func(p *Pool, n *node) { p.settledProcesses["w"], n.settledProcess = 7, 7 }, false},
		"another process":     {func(p *Pool, n *node) { p.settledProcesses["w"], n.settledProcess = 6, 6 }, true},
		"none is settled":     {func(p *Pool, _ *node) { p.settledProcesses["w"] = 0 }, true},
		"a newcomer":          {func(*Pool, *node) {}, false},
		"a newcomer that may have got a late start": {func(p *Pool, _ *node) {
			p.unansweredStarts["w"] = []unansweredStart{{task: "a.0.0.0", number: 1, at: time.Now()}}
		}, true},
		"not known whether it is a newcomer": {func(p *Pool, _ *node) { p.term.ProcessRecordsSince = 2 }, true},
		"known after a long term": {func(p *Pool, _ *node) {
			p.term.ProcessRecordsSince, p.term.ClaimedAt = 2, cell.BootTime()-p.processRecordRetention()-time.Millisecond
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			p, n, r := poolWithRun(runInherited, false)
			n.hasReplied, n.entry.Incarnation, r.incarnation = false, 7, 7
			c.prepare(p, n)
			reply := &cell.HoldReply{Incarnation: 7, ClockMS: 100, Running: []cell.RunningTask{{Task: r.task.name(), Run: r.number}}}
			p.applyHoldReply(n, reply, cell.BootTime())
			require.GreaterOrEqual(t, n.leaseUntilMS, 100+p.leaseDuration().Milliseconds())
			require.Equal(t, c.longest, n.leaseUntilMS >= 100+testMaxLease.Milliseconds())
			require.Equal(t, !c.longest, r.settled)
			_, stored := p.settledProcesses["w"]
			require.True(t, stored, "start requests follow")
		})
	}
}

// Guards against a process that counts as a newcomer after its predecessor was forgotten or has restarted.
func TestRestartedWorkerIsNoNewcomer(t *testing.T) {
	p, n, r := poolWithRun(runActive, true)
	n.removeRun(r)
	p.restartIncarnation(n)
	p.applyHoldReply(n, &cell.HoldReply{Incarnation: 2, ClockMS: 100}, cell.BootTime())
	require.GreaterOrEqual(t, n.leaseUntilMS, 100+testMaxLease.Milliseconds())
	require.False(t, n.isSettled())
	require.JSONEq(t, `{"incarnation":0}`, pendingRecords(p)[keySettledPrefix+"w"])
}

// Guards against a wait for the longest lease where a start was answered and no list has followed yet.
func TestRunSettlesAtTheReplyToItsStart(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(n *node, r *run)
		settled bool
	}{
		"settled process":             {func(*node, *run) {}, true},
		"process not settled":         {func(n *node, _ *run) { n.settledProcess = 0 }, false},
		"another process":             {func(n *node, _ *run) { n.settledProcess = 2 }, false},
		"an attempt got no reply":     {func(_ *node, r *run) { r.maybeDelivered, r.unansweredAt = true, time.Now() }, false},
		"reply of an earlier process": {func(n *node, _ *run) { n.clockMS = 70_000 }, false},
	} {
		t.Run(name, func(t *testing.T) {
			p, n, r := poolWithRun(runStartSent, false)
			r.task.step.spec.LongRunning, n.settledProcess = true, 1
			c.prepare(n, r)
			p.confirmProcess(r, 65_000, n.minClockMS())
			require.Equal(t, c.settled, r.settled)
		})
	}
}

// Guards against a process that counts as settled while the lease that it had at its first
// reply may be in force, and against a run that counts as settled on another process.
func TestProcessAndRunsSettle(t *testing.T) {
	p, n, r := poolWithRun(runActive, false)
	r.task.step.spec.LongRunning = true
	reply := func(clockMS int64) {
		p.applyHoldReply(n, &cell.HoldReply{Incarnation: 1, ClockMS: clockMS, Running: []cell.RunningTask{{Task: r.task.name(), Run: r.number}}}, cell.BootTime())
	}
	n.hasReplied, p.settledProcesses["w"] = false, 0
	reply(60_000)
	reply(61_000)
	require.Zero(t, n.settledProcess)
	require.False(t, r.settled)
	n.leaseUntilMS = n.firstLeaseUntilMS + 1
	reply(64_000)
	require.EqualValues(t, 1, n.settledProcess)
	require.True(t, r.settled)

	stored := map[string]string{}
	for _, request := range p.journal.pending {
		for _, record := range request.records {
			stored[record.Key] = string(record.Value)
		}
	}
	require.JSONEq(t, `{"incarnation":1}`, stored[keySettledPrefix+"w"])
	require.Contains(t, stored[keyTaskPrefix+r.task.name()], `"settled":true`)

	for name, c := range map[string]struct {
		incarnation int64
		settled     bool
	}{"the same process": {1, true}, "a later process": {2, false}} {
		t.Run(name, func(t *testing.T) {
			successor, other, _ := poolWithRun(runActive, false)
			other.entry.Incarnation = c.incarnation
			other.removeRun(other.runs[runKey(r.task.name(), 1)])
			successor.jobs["a"].occurrence(0).steps[0].tasks[0].currentRun = nil
			successor.restore([]store.Record{
				{Key: keyTaskPrefix + r.task.name(), Value: []byte(stored[keyTaskPrefix+r.task.name()])},
				{Key: keySettledPrefix + "w", Value: []byte(stored[keySettledPrefix+"w"])},
				{Key: keySettledPrefix + "gone", Value: []byte(`{"incarnation":3}`)},
			}, 0)
			require.Equal(t, c.settled, other.runs[runKey(r.task.name(), 1)].settled)
			require.EqualValues(t, 1, other.settledProcess)
			require.Equal(t, map[string]int64{"w": 1, "gone": 3}, successor.settledProcesses)
			successor.goneSince["gone"] = time.Now().Add(-successor.processRecordRetention() - time.Millisecond)
			successor.forgetSettledProcesses()
			require.Equal(t, map[string]int64{"w": 1}, successor.settledProcesses)
		})
	}

	r.maybeDelivered, r.unansweredAt = true, time.Now()
	p.restartIncarnation(n)
	require.False(t, r.settled, "the next process may execute a start request without a reply")
}
