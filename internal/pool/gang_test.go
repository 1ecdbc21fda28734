package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/cell/celltest"
	"github.com/laburnumpass/laburnumpass/internal/lead"
)

// gangPositions are jobs of three steps of which one is a gang of three.
func gangPositions() map[string][]api.Step {
	jobs := make(map[string][]api.Step)
	for position, name := range []string{"first", "middle", "last"} {
		steps := make([]api.Step, 3)
		for n := range steps {
			steps[n] = smallStep
			if n > 0 {
				steps[n].DependsOn = []int{n - 1}
			}
		}
		steps[position].Count, steps[position].Gang = 3, true
		jobs[name] = steps
	}
	return jobs
}

// Guards against a job that counts as completed while a later step has not
// begun, because each end of a gang member counted as the end of a step.
func TestJobWithGangCompletesAfterItsLastStep(t *testing.T) {
	for name, steps := range gangPositions() {
		for _, c := range []struct {
			name string
			run  func(tc *testCluster)
		}{
			{"one scheduler", func(*testCluster) {}},
			{"the ends arrive in several lists", func(tc *testCluster) {
				tc.worker("w01").SetFault(func(call, _ string) celltest.Fault {
					if call == "hold" {
						return celltest.DelayReply
					}
					return celltest.NoFault
				})
			}},
			{"a new scheduler after each step", func(tc *testCluster) {
				for n := range 2 {
					tc.waitFor("the next step runs", func() bool { return tc.recorder.Starts(fmt.Sprintf("a.0.%d.0", n+1)) > 0 })
					tc.stop()
					tc.takeOver(lead.MaxConfirmationAge)
				}
			}},
			{"a new scheduler while the gang runs", func(tc *testCluster) {
				tc.waitFor("it runs", func() bool { return len(tc.running("a")) == 3 })
				tc.stop()
				time.Sleep(2 * tc.taskDuration)
				tc.takeOver(lead.MaxConfirmationAge)
			}},
		} {
			t.Run(name+"/"+c.name, func(t *testing.T) {
				inSimulation(t, 2, func(t *testing.T, tc *testCluster) {
					tc.submit("a", steps...)
					c.run(tc)
					tc.waitForState("a", api.JobCompleted)
					for n, s := range steps {
						for i := range s.Count {
							require.Equal(t, 1, tc.recorder.Starts(fmt.Sprintf("a.0.%d.%d", n, i)), "task %d of step %d", i, n)
						}
					}
				})
			})
		}
	}
}

// Guards against an occurrence that counts as done because of the gang of
// another one that runs at the same time.
func TestOccurrencesWithGangsOverlap(t *testing.T) {
	inSimulation(t, 3, func(t *testing.T, tc *testCluster) {
		steps := gangPositions()["first"]
		tc.define("a", &api.Job{Steps: steps, Occurrences: 2, FirstRunUnixMS: time.Now().UnixMilli(), IntervalMS: 500})
		require.NoError(t, tc.trySubmit("a"))
		tc.waitForState("a", api.JobCompleted)
		for k := range 2 {
			require.Equal(t, 1, tc.recorder.Starts(fmt.Sprintf("a.%d.2.0", k)), "last step of occurrence %d", k)
		}
	})
}

// Guards against a gang that runs a second time because a scheduler ended after
// it had stored the end of some members only.
func TestOneStoredEndCompletesTheGang(t *testing.T) {
	p := overloadedPool(1, 0)
	j := newJob("a", cell.Queue{Name: "q"}, "", &api.Job{Steps: gangPositions()["first"]}, time.Now())
	j.stored = true
	p.jobs["a"], p.openJobs["a"] = j, j
	gang := j.occurrence(0).steps[0]
	require.NoError(t, p.restoreTask(gang.tasks[1].name(), []byte(`{"run":1,"done":true}`)))
	require.True(t, gang.done())
	require.Empty(t, gang.unplacedTasks())
	require.NoError(t, p.restoreTask(gang.tasks[0].name(), []byte(`{"run":1,"done":true}`)))
	require.False(t, j.allTasksDone(), "two steps are left")
}

// Guards against a job that fails before its attempts are used up: a new
// scheduler counted a failed run of a gang again when it received the ends of the
// members that its predecessor had not seen.
func TestFailedGangRunCountsOnceOverSchedulers(t *testing.T) {
	inSimulation(t, 2, func(t *testing.T, tc *testCluster) {
		tc.queue.MaxAttempts = 3
		for _, n := range tc.workers {
			n.Fails = func(string, int) bool { return true }
		}
		tc.submit("a", api.Step{Count: 2, MilliCPU: 4000, MemoryMiB: 100, Gang: true})
		tc.waitFor("the gang runs", func() bool { return len(tc.running("a")) == 2 })
		// The end of one member reaches the first scheduler, the end of the other one
		// only the second.
		tc.worker("w01").SetPartitioned(true)
		tc.waitFor("the first member has failed", func() bool { return len(tc.running("a")) == 0 })
		time.Sleep(100 * time.Millisecond)
		tc.stop()
		tc.worker("w01").SetPartitioned(false)
		tc.takeOver(0)
		tc.waitForState("a", api.JobFailed)
		require.Equal(t, 3, tc.recorder.Starts("a.0.0.0"), "the queue allows three attempts")
	})
}

// Guards against less urgent work that a gang which never fits keeps from starting.
func TestGangThatNeverFitsHoldsUpNothing(t *testing.T) {
	gang := func(count int) api.Step {
		return api.Step{Count: count, MilliCPU: 4000, MemoryMiB: 100, Gang: true}
	}
	lasting := smallStep
	lasting.LongRunning = true
	labelled := gang(3)
	labelled.RequiredLabel = "rack-0"
	apart := api.Step{Count: 5, MilliCPU: 100, MemoryMiB: 100, Gang: true, MaxPerWorker: 1}
	for _, c := range []struct {
		name string
		gang api.Step
		// before is submitted first.
		before []api.Step
	}{
		{"more members than workers", gang(5), nil},
		{"more members than workers with the label", labelled, nil},
		{"more members than workers, one on each", apart, nil},
		{"a long-running task stays on a worker", gang(4), []api.Step{lasting}},
	} {
		for _, priority := range []int{1, 0} {
			t.Run(fmt.Sprintf("%s, jobs of priority %d", c.name, priority), func(t *testing.T) {
				inSimulation(t, 4, func(t *testing.T, tc *testCluster) {
					if c.before != nil {
						tc.submit("before", c.before...)
						tc.waitFor("it runs", func() bool { return len(tc.running("before")) > 0 })
					}
					for n := range 2 * maxWaitingGangs {
						tc.submit(fmt.Sprintf("gang%d", n), c.gang)
					}
					time.Sleep(2 * time.Second)
					tc.queue.Priority = priority
					for n := range 6 {
						tc.submit(fmt.Sprintf("job%d", n), withCount(smallStep, 4))
					}
					for n := range 6 {
						tc.waitForState(fmt.Sprintf("job%d", n), api.JobCompleted)
					}
					tc.submit("possible", gang(2))
					tc.waitForState("possible", api.JobCompleted)
				})
			})
		}
	}
}

// Guards against steps that can never run and close their queue to others.
func TestImpossibleStepsDoNotCloseTheirQueue(t *testing.T) {
	inSimulation(t, 2, func(t *testing.T, tc *testCluster) {
		tc.queue.TargetLatency = time.Hour // no job is late, so the oldest come first
		impossible := smallStep
		impossible.RequiredLabel = "none"
		for n := range 2 * maxUnplacedSteps {
			tc.submit(fmt.Sprintf("impossible%d", n), impossible)
		}
		tc.submit("possible", smallStep)
		tc.waitForState("possible", api.JobCompleted)
		tc.pool.mu.Lock()
		defer tc.pool.mu.Unlock()
		require.Equal(t, maxUnplacedSteps, tc.pool.schedule(time.Now()), "the pass is bounded")
	})
}
