package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/cell/celltest"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// Guards against a long-running task that stays down while many others that crash
// their workers are probed before it.
func TestLongRunningSuspectIsRestartedInTime(t *testing.T) {
	inSimulation(t, 8, func(t *testing.T, tc *testCluster) {
		var crashing []string
		for n := range 60 {
			crashing = append(crashing, fmt.Sprintf("bad%d.0.0.0", n))
		}
		tc.crashWorkers(crashing...)
		time.Sleep(time.Second)
		lasting := smallStep
		lasting.LongRunning = true
		tc.queue.Priority = 5
		tc.submit("lasting", lasting)
		tc.waitFor("it runs", func() bool { return len(tc.running("lasting")) == 1 })
		tc.queue.Priority = 0
		for n := range 60 {
			tc.submit(fmt.Sprintf("bad%d", n), smallStep)
		}
		tc.waitFor("it ends with its worker", func() bool { return len(tc.running("lasting")) == 0 })
		ended := time.Now()
		tc.waitFor("it is started again", func() bool { return tc.recorder.Starts("lasting.0.0.0") > 1 })
		require.Less(t, time.Since(ended), celltest.Downtime+maxLongRunningProbeWait+2*time.Second)
	})
}

// Guards against suspects that wait although most of the capacity is free, and against
// ones that take more workers than they may while it is in use.
func TestSuspectsThatWaitedTooLong(t *testing.T) {
	for _, c := range []struct {
		name        string
		waited      time.Duration
		longRunning bool
		used        int64
		probes      int
		placeable   int
	}{
		{"not long", maxProbeWait / 2, false, 400, 6, 0},
		{"long, most capacity free", maxProbeWait + time.Second, false, 400, 6, 1},
		{"long, most capacity in use", maxProbeWait + time.Second, false, 600, 6, 0},
		{"long, half of the workers have probes", maxProbeWait + time.Second, false, 400, 8, 0},
		{"long-running, not long", maxLongRunningProbeWait / 2, true, 800, 6, 0},
		{"long-running, most capacity in use", maxLongRunningProbeWait + time.Second, true, 800, 8, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, n, r := poolWithRun(runActive, true)
			n.removeRun(r)
			delete(p.nodes, "w")
			for k := range 16 {
				n := p.node(fmt.Sprint(k))
				n.listed, n.used = true, worker.Resources{MilliCPU: c.used}
				if k < c.probes {
					n.probes = 1
				}
				n.entry.Service, n.entry.Capacity = testService, worker.Resources{MilliCPU: 1000}
			}
			now := time.Now()
			suspect := r.task
			suspect.step.spec.LongRunning = c.longRunning
			suspect.suspect, suspect.suspectSince = true, now.Add(-c.waited)
			require.Len(t, p.newCapacityTracker(now).placeable(suspect.step, []*task{suspect}, now), c.placeable)
		})
	}
}

// Guards against suspects that other work keeps waiting: a probe needs a worker, not
// an empty cell.
func TestProbesInFullCell(t *testing.T) {
	inSimulation(t, 2, func(t *testing.T, tc *testCluster) {
		tc.taskDuration = 700 * time.Millisecond
		tc.crashWorkers("bad.0.0.0")
		tc.submit("bad", smallStep)
		tc.submit("good", withCount(smallStep, 3))
		for n := range 60 {
			tc.submit(fmt.Sprintf("more%d", n), withCount(smallStep, 2))
			time.Sleep(150 * time.Millisecond)
		}
		tc.waitForState("bad", api.JobFailed)
		tc.waitForState("good", api.JobCompleted)
	})
}

// Guards against a worker of which more than its share is taken down by probes.
func TestProbeLimits(t *testing.T) {
	for _, c := range []struct {
		workers int
		used    int64
		usual   int
		most    int
	}{{1, 0, 1, 1}, {16, 0, 8, 8}, {16, 500, 4, 8}, {16, 1000, 2, 8}, {3, 1000, 1, 1}} {
		p, n, r := poolWithRun(runActive, true)
		n.removeRun(r)
		delete(p.nodes, "w")
		for k := range c.workers {
			n := p.node(fmt.Sprint(k))
			n.listed, n.used = true, worker.Resources{MilliCPU: c.used}
			n.entry.Service, n.entry.Capacity = testService, worker.Resources{MilliCPU: 1000}
		}
		require.Equal(t, probeLimits{c.usual, c.most, float64(c.used) / 1000}, p.probeLimits(), "%+v", c)
	}
}

// Guards against long-running tasks that wait for other probes after they have waited for a lease.
func TestWaitForALeaseCountsAsWaitForProbes(t *testing.T) {
	for name, longRunning := range map[string]bool{"long-running": true, "not long-running": false} {
		t.Run(name, func(t *testing.T) {
			p, n, r := poolWithRun(runActive, true)
			r.task.step.spec.LongRunning = longRunning
			r.startSentAt = time.Now().Add(-maxLongRunningProbeWait - 10*time.Millisecond)
			n.repliedAt, n.failingSince = r.startSentAt, r.startSentAt.Add(5*time.Millisecond)
			n.unresponsive, n.refusesConnections = true, true
			p.presumeEndOfRuns(n, time.Now())
			p.release(r, "lease_expired")
			require.True(t, r.task.suspect)
			capacity := &capacityTracker{pool: p, probeLimits: &probeLimits{}}
			require.Equal(t, longRunning, capacity.mayProbe([]*task{r.task}, time.Now()))
		})
	}
}

// Guards against long-running suspects that wait for other probes anew at each change of scheduler.
func TestWaitForProbesDoesNotBeginAnew(t *testing.T) {
	for name, longRunning := range map[string]bool{"long-running": true, "not long-running": false} {
		t.Run(name, func(t *testing.T) {
			p, _, r := poolWithRun(runActive, true)
			r.task.step.spec.LongRunning = longRunning
			require.NoError(t, p.restoreTask(r.task.name(), []byte(`{"run":1,"suspect":true}`)))
			capacity := &capacityTracker{pool: p, probeLimits: &probeLimits{}}
			require.Equal(t, longRunning, capacity.mayProbe([]*task{r.task}, time.Now()))
		})
	}
}
