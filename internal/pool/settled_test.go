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
		settled int64
		longest bool
	}{"the settled process": {7, false}, "another process": {6, true}, "no process is settled": {0, true}} {
		t.Run(name, func(t *testing.T) {
			p, n, r := poolWithRun(runInherited, false)
			n.hasReplied, n.entry.Incarnation, n.settledProcess = false, 7, c.settled
			reply := &cell.HoldReply{Incarnation: 7, ClockMS: 100, Running: []cell.RunningTask{{Task: r.task.name(), Run: r.number}}}
			p.applyHoldReply(n, reply, cell.BootTime())
			require.GreaterOrEqual(t, n.leaseUntilMS, 100+p.leaseDuration().Milliseconds())
			require.Equal(t, c.longest, n.leaseUntilMS >= 100+testMaxLease.Milliseconds())
			require.False(t, r.settled)
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
	n.hasReplied = false
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
			require.Equal(t, map[string]int64{"w": 1}, successor.settledProcesses)
		})
	}

	r.maybeDelivered, r.unansweredAt = true, time.Now()
	p.restartIncarnation(n)
	require.False(t, r.settled, "the next process may execute a start request without a reply")
}
