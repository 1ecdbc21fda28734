package pool

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/cell/celltest"
	"github.com/laburnumpass/laburnumpass/internal/lead"
	"github.com/laburnumpass/laburnumpass/internal/store/storetest"
)

// crashWorkers makes the tasks crash the workers that start them.
func (tc *testCluster) crashWorkers(tasks ...string) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	for _, w := range tc.workers {
		w.Crashes = func(task string) bool {
			for _, t := range tasks {
				if t == task {
					return true
				}
			}
			return false
		}
	}
}

// connectGang makes the tasks of a job the members of a gang.
func (tc *testCluster) connectGang(job string, size int) {
	gangs := &celltest.Gangs{
		Timeout: generatedGangTimeout, Step: func(string) string { return job },
		Size: func(task string) int {
			if strings.HasPrefix(task, job+".") {
				return size
			}
			return 0
		},
	}
	tc.mu.Lock()
	defer tc.mu.Unlock()
	for _, w := range tc.workers {
		w.Gangs = gangs
	}
}

// Guards against a task that crashes one worker after the other for ever.
func TestCrashingTaskIsGivenUp(t *testing.T) {
	longRunning, gang, onePerWorker := withCount(smallStep, 6), withCount(smallStep, 3), withCount(smallStep, 4)
	longRunning.LongRunning, gang.Gang, onePerWorker.MaxPerWorker = true, true, 1
	gangInRack := gang
	gangInRack.SameRack, gangInRack.MaxPerWorker = true, 1
	for _, c := range []struct {
		name     string
		workers  int
		step     api.Step
		crashing []string
		takeOver bool
		// maxStarts bounds the starts of each task; the sixth breaks the platform's rule.
		maxStarts int
	}{
		{"one of six", 6, withCount(smallStep, 6), []string{"bad.0.0.0"}, false, 3},
		{"all of six", 6, withCount(smallStep, 6), []string{"bad.0.0.0", "bad.0.0.1", "bad.0.0.2", "bad.0.0.3", "bad.0.0.4", "bad.0.0.5"}, false, 3},
		{"a single worker", 1, withCount(smallStep, 2), []string{"bad.0.0.1"}, false, 3},
		{"long-running", 6, longRunning, []string{"bad.0.0.2"}, false, 3},
		{"member of a gang", 6, gang, []string{"bad.0.0.1"}, false, 3},
		{"all members of a gang in one rack", 6, gangInRack, []string{"bad.0.0.0", "bad.0.0.1", "bad.0.0.2"}, false, 3},
		{"one task per worker", 6, onePerWorker, []string{"bad.0.0.3"}, false, 3},
		{"the scheduler changes after each crash", 6, withCount(smallStep, 6), []string{"bad.0.0.0"}, true, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			inSimulation(t, c.workers, func(t *testing.T, tc *testCluster) {
				tc.crashWorkers(c.crashing...)
				for _, w := range tc.workers {
					w.Entry.Labels = []string{"kind", "rack"}
					tc.publish(w.Entry.ID)
				}
				time.Sleep(time.Second)
				if c.step.Gang {
					tc.connectGang("bad", c.step.Count)
				}
				tc.submit("bad", c.step)
				for n := range 4 {
					tc.submit(fmt.Sprintf("good%d", n), withCount(smallStep, 2))
				}
				if c.takeOver {
					for n := 1; n < maxCrashes; n++ {
						tc.waitFor("it is started", func() bool { return tc.recorder.Starts("bad.0.0.0") == n })
						time.Sleep(200 * time.Millisecond)
						tc.stop()
						tc.takeOver(lead.MaxConfirmationAge)
					}
				}
				tc.waitForState("bad", api.JobFailed)
				for _, task := range c.crashing {
					require.LessOrEqual(t, tc.recorder.Starts(task), c.maxStarts, task)
				}
				for n := range 4 {
					tc.waitForState(fmt.Sprintf("good%d", n), api.JobCompleted)
				}
			})
		})
	}
}

// Guards against jobs that fail because their tasks ran beside one that crashes its
// workers, or on workers that crashed by themselves.
func TestTasksBesideCrashesAreNotGivenUp(t *testing.T) {
	for _, c := range []struct {
		name    string
		disturb func(tc *testCluster)
	}{
		{"many crashing tasks", func(tc *testCluster) {
			for n := range 5 {
				tc.submit(fmt.Sprintf("bad%d", n), withCount(smallStep, 3))
				time.Sleep(time.Second)
			}
			for n := range 5 {
				tc.waitForState(fmt.Sprintf("bad%d", n), api.JobFailed)
			}
		}},
		{"a rack crashes three times", func(tc *testCluster) {
			for range 3 {
				for n := range 3 {
					tc.worker(fmt.Sprintf("w0%d", n)).Restart()
				}
				time.Sleep(700 * time.Millisecond)
			}
		}},
		{"workers are cut off", func(tc *testCluster) {
			for range 5 {
				for n := range 6 {
					tc.worker(fmt.Sprintf("w0%d", n)).SetPartitioned(true)
				}
				time.Sleep(6 * time.Second)
				for n := range 6 {
					tc.worker(fmt.Sprintf("w0%d", n)).SetPartitioned(false)
				}
				time.Sleep(time.Second)
			}
		}},
		{"workers refuse connections and run on", func(tc *testCluster) {
			for range 5 {
				for n := range 6 {
					tc.worker(fmt.Sprintf("w0%d", n)).SetRefusing(true)
				}
				time.Sleep(6 * time.Second)
				for n := range 6 {
					tc.worker(fmt.Sprintf("w0%d", n)).SetRefusing(false)
				}
				time.Sleep(time.Second)
			}
		}},
		{"workers drain and leave", func(tc *testCluster) {
			for n := range 5 {
				id := fmt.Sprintf("w0%d", n)
				tc.setDraining(id, true)
				time.Sleep(500 * time.Millisecond)
				tc.worker(id).Restart()
				tc.setDraining(id, false)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			inSimulation(t, 6, func(t *testing.T, tc *testCluster) {
				tc.taskDuration = 2 * time.Second
				for n := range 6 {
					w := tc.worker(fmt.Sprintf("w%02d", n))
					w.Entry.Labels = []string{"kind", fmt.Sprintf("rack-%d", n/3)}
					w.Crashes = func(task string) bool { return strings.HasPrefix(task, "bad") && strings.HasSuffix(task, ".0") }
					tc.publish(w.Entry.ID)
				}
				time.Sleep(time.Second)
				for n := range 6 {
					tc.submit(fmt.Sprintf("good%d", n), withCount(smallStep, 3))
				}
				time.Sleep(200 * time.Millisecond)
				c.disturb(tc)
				for n := range 6 {
					tc.waitForState(fmt.Sprintf("good%d", n), api.JobCompleted)
				}
			})
		})
	}
}

// Guards against jobs that are given up although something else explains the crash, or
// that are not although nothing else does.
func TestCrashIsAttributed(t *testing.T) {
	for _, c := range []struct {
		name string
		// others changes what else there was when the worker crashed.
		others  func(p *Pool, n *node, r *run)
		givenUp bool
	}{
		{"nothing else", func(*Pool, *node, *run) {}, true},
		{"a recent run of another job", func(p *Pool, n *node, r *run) {
			j := newJob("b", cell.Queue{Name: "q"}, "", &api.Job{Steps: []api.Step{smallStep}}, time.Now())
			n.addRun(j.occurrence(0).steps[0].tasks[0], 1, runActive).startSentAt = r.startSentAt
		}, false},
		{"an older run of another job", func(p *Pool, n *node, r *run) {
			j := newJob("b", cell.Queue{Name: "q"}, "", &api.Job{Steps: []api.Step{smallStep}}, time.Now())
			n.addRun(j.occurrence(0).steps[0].tasks[0], 1, runActive).startSentAt = r.startSentAt.Add(-crashWindow)
		}, true},
		{"started long before", func(_ *Pool, _ *node, r *run) { r.startSentAt = r.startSentAt.Add(-crashWindow) }, false},
		{"a rack mate failed", func(p *Pool, _ *node, _ *run) {
			other := p.node("other")
			other.entry.Labels, other.failingSince = []string{"kind", "rack"}, time.Now()
		}, false},
		{"a worker of another rack failed", func(p *Pool, _ *node, _ *run) {
			other := p.node("other")
			other.entry.Labels, other.failingSince = []string{"kind", "rack-2"}, time.Now()
		}, true},
		{"a rack mate failed under the same job", func(p *Pool, _ *node, r *run) {
			other := p.node("other")
			other.entry.Labels, other.failingSince, other.crashedUnder = []string{"kind", "rack"}, time.Now(), r.task.step.job
		}, true},
		{"a rack mate failed with a recent run of the job", func(p *Pool, _ *node, r *run) {
			other := p.node("other")
			other.entry.Labels, other.failingSince = []string{"kind", "rack"}, time.Now()
			other.addRun(r.task, 2, runActive).startSentAt = r.startSentAt
		}, true},
		{"the first crash", func(_ *Pool, _ *node, r *run) { r.task.crashes = 0 }, false},
		{"the last of many, a rack mate failed", func(p *Pool, _ *node, r *run) {
			other := p.node("other")
			other.entry.Labels, other.failingSince = []string{"kind", "rack"}, time.Now()
			r.task.crashes = maxCrashes - 1
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, n, r := poolWithRun(runActive, true)
			p.journal.closed = true
			n.client, n.entry.Labels = &celltest.Worker{}, []string{"kind", "rack"}
			r.startSentAt, r.begun, r.task.crashes = time.Now().Add(-10*time.Millisecond), true, 1
			c.others(p, n, r)
			p.handleHoldError(n, &cell.RejectedError{Reason: cell.RejectedWorkerID})
			require.Equal(t, c.givenUp, r.task.givenUp)
			require.Equal(t, c.givenUp, r.task.step.job.failed)
		})
	}
}

// Guards against other work on a worker that a probe may take down.
func TestWorkerWithProbeGetsNoOtherWork(t *testing.T) {
	p, n, r := poolWithRun(runActive, true)
	n.removeRun(r)
	r.task.suspect = true
	probe := n.addRun(r.task, 2, runActive)
	probe.startSentAt = time.Now()
	require.Empty(t, p.newCapacityTracker(time.Now()).nodes)
	running := cell.RunningTask{Task: r.task.name(), Run: 2}
	p.applyRunning(n, running, time.Now())
	require.Empty(t, p.newCapacityTracker(time.Now()).nodes)
	p.applyRunning(n, running, time.Now().Add(2*crashWindow))
	require.Len(t, p.newCapacityTracker(time.Now()).nodes, 1)
	require.False(t, r.task.suspect)
}

// Guards against crashes that a new scheduler does not count, because they happened
// before it was there.
func TestRestoredCrashes(t *testing.T) {
	p, n, r := poolWithRun(runPlanned, false)
	p.journal.closed = true
	task := r.task
	restore := func(record string) {
		n.removeRun(r)
		task.currentRun, n.hasReplied, n.entry.Incarnation, n.client = nil, false, 2, &celltest.Worker{}
		require.NoError(t, p.restoreTask(task.name(), []byte(record)))
		p.applyHoldReply(n, &cell.HoldReply{Incarnation: 2, ClockMS: 100}, cell.BootTime())
		require.Nil(t, task.currentRun)
	}
	restore(`{"run":1,"worker":"w","incarnation":2}`)
	require.Zero(t, task.crashes+task.possibleCrashes, "never started")
	restore(`{"run":1,"worker":"w","incarnation":1}`)
	require.Equal(t, []int{0, 1}, []int{task.crashes, task.possibleCrashes})
	restore(`{"run":2,"worker":"w","incarnation":1,"begun":true,"crashes":1}`)
	require.Equal(t, []int{2, 0}, []int{task.crashes, task.possibleCrashes})
	require.True(t, task.suspect)
	restore(string(task.record().Value))
	require.Equal(t, []any{2, 0, true}, []any{task.crashes, task.possibleCrashes, task.suspect}, "stored and restored")
	restore(`{"run":3,"crashes":2,"given_up":true}`)
	require.True(t, task.exhausted())
}

// Guards against a job that is given up because a new scheduler counts a crash under a run
// that may have ended before the crash.
func TestRestoredCrashCountsOnlyUnderProbe(t *testing.T) {
	for probe, want := range map[bool][]int{false: {0, 1}, true: {1, 0}} {
		p, n, r := poolWithRun(runActive, true)
		p.journal.closed = true
		task := r.task
		r.begun, r.probe = true, probe
		record := task.record().Value
		n.removeRun(r)
		task.currentRun, n.hasReplied, n.entry.Incarnation, n.client = nil, false, 2, &celltest.Worker{}
		require.NoError(t, p.restoreTask(task.name(), record))
		p.applyHoldReply(n, &cell.HoldReply{Incarnation: 2, ClockMS: 100}, cell.BootTime())
		require.Equal(t, want, []int{task.crashes, task.possibleCrashes}, "probe: %v", probe)
	}
}

// Guards against a job that is given up because a new scheduler takes a run for a probe that
// has outlived the time in which it is one.
func TestRunThatHasOutlivedItsProbeIsRestored(t *testing.T) {
	inSimulation(t, 2, func(t *testing.T, tc *testCluster) {
		tc.taskDuration = 10 * time.Second
		tc.submit("a", smallStep)
		for n := 1; n <= 2; n++ {
			tc.waitFor("it runs", func() bool { return tc.recorder.Starts("a.0.0.0") == n && len(tc.running("a")) == 1 })
			time.Sleep([]time.Duration{crashWindow / 5, 4 * crashWindow}[n-1])
			if n == 2 {
				tc.stop()
			}
			tc.worker(tc.workersOf("a")[0]).Restart()
		}
		tc.takeOver(0)
		tc.waitFor("the third start", func() bool { return tc.recorder.Starts("a.0.0.0") == 3 })
		p := tc.currentPool()
		p.mu.Lock()
		defer p.mu.Unlock()
		task := p.jobs["a"].occurrence(0).steps[0].tasks[0]
		require.Equal(t, []int{1, 1}, []int{task.crashes, task.possibleCrashes})
	})
}

// Guards against a job that is shown as failed and goes on after a change of scheduler,
// because the decision was not stored.
func TestGivenUpIsShownOnlyOnceStored(t *testing.T) {
	inSimulation(t, 3, func(t *testing.T, tc *testCluster) {
		tc.crashWorkers("bad.0.0.0")
		tc.submit("bad", smallStep)
		tc.waitFor("the second start", func() bool { return tc.recorder.Starts("bad.0.0.0") == 2 })
		time.Sleep(200 * time.Millisecond)
		tc.store.SetFault(func(string, string) storetest.Fault { return storetest.Refuse })
		time.Sleep(celltest.Downtime + 2*time.Second)
		require.Equal(t, api.JobRunning, tc.state("bad"))
		tc.store.SetFault(nil)
		tc.waitForState("bad", api.JobFailed)
		require.Equal(t, 2, tc.recorder.Starts("bad.0.0.0"))
	})
}

// Guards against a long-running task that is given up because workers crashed under
// it a few times over a long time.
func TestLongRunningTaskOutlivesCrashes(t *testing.T) {
	inSimulation(t, 2, func(t *testing.T, tc *testCluster) {
		lasting := smallStep
		lasting.LongRunning = true
		tc.submit("a", lasting)
		for range 2 * maxCrashes {
			tc.waitFor("it runs", func() bool { return len(tc.running("a")) == 1 })
			time.Sleep(stableRunTime + 2*time.Second)
			tc.worker(tc.workersOf("a")[0]).Restart()
			time.Sleep(2 * time.Second)
		}
		require.Equal(t, api.JobRunning, tc.state("a"))
	})
}

// Guards against a long-running job that fails because its worker was cut off.
func TestCutOffWorkerHasNotCrashed(t *testing.T) {
	inSimulation(t, 2, func(t *testing.T, tc *testCluster) {
		lasting := smallStep
		lasting.LongRunning = true
		tc.submit("a", lasting)
		for range 2 * maxCrashes {
			tc.waitFor("it runs", func() bool { return len(tc.running("a")) == 1 })
			w := tc.worker(tc.workersOf("a")[0])
			time.Sleep(time.Second)
			w.SetRefusing(true)
			time.Sleep(5500 * time.Millisecond)
			w.SetRefusing(false)
			time.Sleep(time.Second)
			require.Equal(t, api.JobRunning, tc.state("a"))
		}
	})
}
