package pool

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/cell"
)

// Guards against another start of a task, the end of whose released run is acknowledged
// without being counted.
func TestEndOfReleasedRunCounts(t *testing.T) {
	inSimulation(t, 2, func(t *testing.T, tc *testCluster) {
		tc.taskDuration = 2 * time.Second
		tc.submit("a", smallStep)
		tc.waitFor("it runs", func() bool { return len(tc.running("a")) == 1 })
		first := tc.worker(tc.workersOf("a")[0])
		tc.mu.Lock()
		tc.taskDuration = 30 * time.Second
		tc.mu.Unlock()
		// The run ends behind the cut, before the lease does.
		first.SetPartitioned(true)
		tc.waitFor("it runs elsewhere", func() bool { return tc.recorder.Starts("a.0.0.0") == 2 })
		first.SetPartitioned(false)
		begin := time.Now()
		tc.waitForState("a", api.JobCompleted)
		require.Less(t, time.Since(begin), 3*time.Second, "the job waits for the second run")
		tc.waitFor("nothing runs", func() bool { return len(tc.running("a")) == 0 })
		require.Equal(t, 2, tc.recorder.Starts("a.0.0.0"))
	})
}

// Guards against more attempts than the queue allows, because the failure of a released run
// is acknowledged without being counted.
func TestFailureOfReleasedRunCounts(t *testing.T) {
	inSimulation(t, 2, func(t *testing.T, tc *testCluster) {
		tc.taskDuration, tc.queue.MaxAttempts = 2*time.Second, 2
		for _, w := range tc.workers {
			w.Fails = func(string, int) bool { return true }
		}
		tc.submit("a", smallStep)
		tc.waitFor("it runs", func() bool { return len(tc.running("a")) == 1 })
		first := tc.worker(tc.workersOf("a")[0])
		first.SetPartitioned(true)
		tc.waitFor("it runs elsewhere", func() bool { return tc.recorder.Starts("a.0.0.0") == 2 })
		first.SetPartitioned(false)
		tc.waitForState("a", api.JobFailed)
		require.Equal(t, 2, tc.recorder.Starts("a.0.0.0"))
	})
}

// Guards against ends that are acknowledged without being counted, because the worker has
// listed the released run as running before.
func TestEndOfListedReleasedRunCounts(t *testing.T) {
	for _, kind := range []cell.EndKind{cell.EndDone, cell.EndFailed} {
		p, n, r := poolWithRun(runActive, true)
		p.journal.closed = true
		p.jobs["a"].queue.MaxAttempts = 2
		task := r.task
		p.release(r, "lease_expired")
		reply := cell.HoldReply{Incarnation: 1, ClockMS: 70_000, Running: []cell.RunningTask{{Task: task.name(), Run: 1}}}
		p.applyHoldReply(n, &reply, cell.BootTime())
		require.Len(t, n.runs, 1)
		reply.Running, reply.Ended = nil, []cell.EndedTask{{Sequence: 1, Task: task.name(), Run: 1, Kind: kind}}
		p.applyHoldReply(n, &reply, cell.BootTime())
		require.Equal(t, kind == cell.EndDone, task.done)
		require.Equal(t, kind == cell.EndFailed, task.failures == 1)
	}
}

// Guards against a failed run that counts twice, or not at all, because the scheduler does
// not know whether its predecessor has counted it.
func TestFailureCountsOnceOverSchedulers(t *testing.T) {
	for _, c := range []struct {
		name     string
		released bool
		// earlier removes from the record what earlier versions do not store.
		earlier bool
		want    int
	}{
		{"current", false, false, 1},
		{"released", true, false, 1},
		{"counted by an earlier version", false, true, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, n, r := poolWithRun(runActive, true)
			p.journal.closed = true
			p.jobs["a"].queue.MaxAttempts = 3
			task := r.task
			if c.released {
				p.release(r, "lease_expired")
			}
			list := func() {
				end := cell.EndedTask{Sequence: 1, Task: task.name(), Run: 1, Kind: cell.EndFailed}
				p.applyHoldReply(n, &cell.HoldReply{Incarnation: 1, ClockMS: 70_000, Ended: []cell.EndedTask{end}}, cell.BootTime())
			}
			list()
			require.Equal(t, 1, task.failures)
			var record taskRecord
			require.NoError(t, json.Unmarshal(task.record().Value, &record))
			if c.earlier {
				record.FailedRuns = nil
			}
			value, err := json.Marshal(record)
			require.NoError(t, err)
			task.failures, task.failedRuns, n.processedEnd = 0, nil, 0
			require.NoError(t, p.restoreTask(task.name(), value))
			list()
			require.Equal(t, c.want, task.failures)
		})
	}
}

// Guards against a gang that fails too early or too late, because late ends of its members
// count for each of them or not at all.
func TestFailureOfReleasedGangRunCountsOnce(t *testing.T) {
	p, n, r := poolWithRun(runActive, true)
	p.journal.closed = true
	j := r.task.step.job
	j.queue.MaxAttempts = 3
	n.removeRun(r)
	r.task.currentRun = nil
	gang := withCount(smallStep, 2)
	gang.Gang = true
	j.spec, j.occurrences = &api.Job{Steps: []api.Step{gang}}, nil
	s := j.occurrence(0).steps[0]
	for sequence, run := range []int{1, 1, 2, 1, 2} {
		end := cell.EndedTask{Sequence: int64(sequence + 1), Task: s.tasks[sequence%2].name(), Run: run, Kind: cell.EndFailed}
		p.applyHoldReply(n, &cell.HoldReply{Incarnation: 1, ClockMS: 70_000, Ended: []cell.EndedTask{end}}, cell.BootTime())
	}
	require.Equal(t, 2, s.gangFailures)
	require.True(t, j.active())
}
