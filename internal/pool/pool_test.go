package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// Each case checks one guarantee about where and when tasks run. The recorder of
// the test cluster fails the test if a task runs twice, a worker is
// overcommitted or a task starts after a cancellation.
func TestPlacement(t *testing.T) {
	for _, c := range []struct {
		name    string
		workers int
		run     func(t *testing.T, tc *testCluster)
	}{
		{"a step waits for the steps it depends on", 2, func(t *testing.T, tc *testCluster) {
			after := smallStep
			after.DependsOn = []int{0}
			tc.submit("a", withCount(smallStep, 6), withCount(after, 2))
			tc.waitFor("the first step runs", func() bool { return len(tc.running("a")) == 6 })
			require.Zero(t, tc.recorder.Starts("a.0.1.0"))
			tc.waitForState("a", api.JobCompleted)
			require.Equal(t, 1, tc.recorder.Starts("a.0.1.0"))
		}},
		{"more tasks than fit are run in turn", 1, func(t *testing.T, tc *testCluster) {
			tc.submit("a", withCount(smallStep, 10))
			tc.waitForState("a", api.JobCompleted)
		}},
		{"a gang starts only when all of it fits", 2, func(t *testing.T, tc *testCluster) {
			tc.submit("a", withCount(smallStep, 6))
			gang := api.Step{Count: 2, MilliCPU: 4000, MemoryMiB: 100, Gang: true}
			tc.submit("g", gang)
			tc.waitFor("the first job is over", func() bool {
				if tc.state("a") != api.JobCompleted {
					require.Empty(t, tc.running("g"))
				}
				return tc.state("a") == api.JobCompleted
			})
			tc.waitFor("the whole gang runs", func() bool { return len(tc.running("g")) == 2 })
			tc.waitForState("g", api.JobCompleted)
		}},
		{"a bound for each worker spreads a step", 3, func(t *testing.T, tc *testCluster) {
			spread := withCount(smallStep, 3)
			spread.MaxPerWorker = 1
			tc.submit("a", spread)
			tc.waitFor("all run", func() bool { return len(tc.running("a")) == 3 })
			require.Equal(t, []string{"w00", "w01", "w02"}, tc.workersOf("a"))
		}},
		{"a required label is kept to", 3, func(t *testing.T, tc *testCluster) {
			labelled := smallStep
			labelled.RequiredLabel = "rack-1"
			tc.submit("a", labelled)
			tc.waitFor("it runs", func() bool { return len(tc.running("a")) == 1 })
			require.Equal(t, []string{"w01"}, tc.workersOf("a"))
		}},
		{"a preferred rack is used", 3, func(t *testing.T, tc *testCluster) {
			near := withCount(smallStep, 3)
			near.PreferredRack = "rack-2"
			tc.submit("a", near)
			tc.waitFor("all run", func() bool { return len(tc.running("a")) == 3 })
			require.Equal(t, []string{"w02", "w02", "w02"}, tc.workersOf("a"))
		}},
		{"a filler's processor time is not counted", 1, func(t *testing.T, tc *testCluster) {
			tc.submit("a", withCount(smallStep, 3))
			tc.waitFor("all run", func() bool { return len(tc.running("a")) == 3 })
			filler := smallStep
			filler.Filler = true
			tc.submit("f", filler)
			tc.waitFor("the filler runs", func() bool { return len(tc.running("f")) == 1 })
		}},
		{"a draining worker gets no new work", 2, func(t *testing.T, tc *testCluster) {
			tc.worker("w00").Entry.Draining = true
			tc.publish("w00")
			time.Sleep(time.Second)
			tc.submit("a", withCount(smallStep, 4))
			tc.waitFor("all run", func() bool { return len(tc.running("a")) == 4 })
			require.NotContains(t, tc.workersOf("a"), "w00")
		}},
		{"urgent work goes before work that came earlier", 1, func(t *testing.T, tc *testCluster) {
			tc.submit("first", withCount(smallStep, 4))
			tc.queue.Priority = 2
			tc.submit("late", withCount(smallStep, 4))
			tc.queue.Priority = 0
			tc.submit("urgent", withCount(smallStep, 4))
			tc.waitFor("the urgent job runs", func() bool { return tc.recorder.Starts("urgent.0.0.3") == 1 })
			require.Zero(t, tc.recorder.Starts("late.0.0.0"), "the less urgent job has to wait")
			tc.waitForState("late", api.JobCompleted)
		}},
		{"occurrences start when they are due", 1, func(t *testing.T, tc *testCluster) {
			first := time.Now().Add(2 * time.Second)
			tc.define("a", &api.Job{Steps: []api.Step{smallStep}, Occurrences: 2, FirstRunUnixMS: first.UnixMilli(), IntervalMS: 3000})
			require.NoError(t, tc.trySubmit("a"))
			time.Sleep(1900 * time.Millisecond)
			require.Empty(t, tc.running("a"))
			tc.waitFor("the first occurrence runs", func() bool { return tc.recorder.Starts("a.0.0.0") == 1 })
			require.Zero(t, tc.recorder.Starts("a.1.0.0"))
			tc.waitForState("a", api.JobCompleted)
		}},
		{"a long-running task is started again when it fails", 2, func(t *testing.T, tc *testCluster) {
			lasting := smallStep
			lasting.LongRunning = true
			tc.submit("a", lasting)
			tc.waitFor("it runs", func() bool { return len(tc.running("a")) == 1 })
			tc.worker(tc.workersOf("a")[0]).Restart()
			tc.waitFor("it runs again", func() bool { return tc.recorder.Starts("a.0.0.0") == 2 })
			require.Equal(t, api.JobRunning, tc.state("a"))
		}},
		{"a task that always fails is tried as often as its queue allows", 2, func(t *testing.T, tc *testCluster) {
			for _, n := range tc.workers {
				n.Fails = func(string, int) bool { return true }
			}
			tc.submit("a", withCount(smallStep, 1))
			tc.waitForState("a", api.JobFailed)
			require.Equal(t, 2, tc.recorder.Starts("a.0.0.0"))
		}},
		{"a submitted ID is one job", 1, func(t *testing.T, tc *testCluster) {
			tc.submit("a", smallStep)
			require.NoError(t, tc.trySubmit("a"))
			tc.waitForState("a", api.JobCompleted)
			require.NoError(t, tc.trySubmit("a"), "a late repeat is the same job")
			time.Sleep(3 * time.Second)
			require.Equal(t, 1, tc.recorder.Starts("a.0.0.0"))
		}},
		{"jobs that have not begun are counted", 1, func(t *testing.T, tc *testCluster) {
			tc.submit("a", withCount(smallStep, 4))
			tc.submit("b", smallStep)
			tc.submit("c", smallStep)
			tc.waitFor("the first runs", func() bool { return len(tc.running("a")) == 4 })
			count, err := tc.pool.Pending("q")
			require.NoError(t, err)
			require.Equal(t, 2, count)
		}},
	} {
		t.Run(c.name, func(t *testing.T) { inSimulation(t, c.workers, c.run) })
	}
}

// Guards against steps that run where the policy forbids it or without its
// ticket.
func TestAdvice(t *testing.T) {
	inSimulation(t, 4, func(t *testing.T, tc *testCluster) {
		for _, n := range tc.workers {
			n.RequireTickets = true
		}
		tc.queue.Policy = &cell.PolicyTiming{DecisionTime: 50 * time.Millisecond, TimePerWorker: time.Millisecond, TicketLifetime: 2 * time.Second}
		tc.denied["w00"], tc.denied["w02"] = true, true
		tc.submit("a", withCount(smallStep, 20))
		tc.waitForState("a", api.JobCompleted)
		// 8 tasks fit at once and run for 1 s; tickets last 2 s.
		require.LessOrEqual(t, tc.adviceDone, 3, "approvals do not change, and denied workers are not asked about again")
	})
}

// Guards against capacity that is idle during a long call for advice, a fifth
// of all accelerators at a high load. During a short call the capacity is
// reserved, because urgent work would otherwise find it taken each time.
func TestCapacityDuringAdvice(t *testing.T) {
	for _, c := range []struct {
		name   string
		decide time.Duration
		used   bool
	}{
		{"long call", time.Second, true},
		{"short call", maxReservingCall - 100*time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			inSimulation(t, 2, func(t *testing.T, tc *testCluster) {
				plain := tc.queue
				plain.Priority = 2
				tc.mu.Lock()
				tc.queue.Policy = &cell.PolicyTiming{DecisionTime: c.decide, TicketLifetime: 2 * time.Second}
				tc.mu.Unlock()
				tc.submit("urgent", api.Step{Count: 2, MilliCPU: 4000, Gang: true})
				tc.waitFor("advice is asked for", func() bool {
					tc.mu.Lock()
					defer tc.mu.Unlock()
					return tc.adviceStarted == 1
				})
				tc.mu.Lock()
				tc.queue = plain
				tc.mu.Unlock()
				tc.submit("b", smallStep)
				time.Sleep(150 * time.Millisecond)
				require.Equal(t, c.used, len(tc.running("b")) == 1)
				tc.waitForState("urgent", api.JobCompleted)
				tc.waitForState("b", api.JobCompleted)
			})
		})
	}
}

// Guards against repeated calls about a free worker that the policy denies,
// which would keep other steps from using the policy service.
func TestAdviceIsNotRepeatedForDeniedWorkers(t *testing.T) {
	inSimulation(t, 2, func(t *testing.T, tc *testCluster) {
		tc.queue.Policy = &cell.PolicyTiming{DecisionTime: 50 * time.Millisecond, TicketLifetime: 2 * time.Second}
		tc.denied["w00"], tc.denied["w01"] = true, true
		tc.submit("a", smallStep)
		time.Sleep(10 * time.Second)
		require.Equal(t, 1, tc.adviceDone)
	})
}

// Guards against start requests with expired tickets, which workers reject.
// They arise when placements are stored late, after an outage of the store.
func TestTicketExpires(t *testing.T) {
	now := time.Now()
	require.False(t, ticket{text: "t", placeUntil: now}.expired(now))
	require.True(t, ticket{text: "t", placeUntil: now.Add(-2 * ticketMargin)}.expired(now))
	require.False(t, ticket{}.expired(now), "a queue without advice")
}

// A filler must reserve memory and accelerators on its worker, as any task does,
// but no processor time.
func TestFillerNeedsNoCPU(t *testing.T) {
	filler := api.Step{MilliCPU: 3000, MemoryMiB: 10, Accelerators: 1, Filler: true}
	require.Equal(t, worker.Resources{MemoryMiB: 10, Accelerators: 1}, (&step{spec: &filler}).need())
}

// Guards against passes that try every waiting step under overload. On a large
// deployment, passes over hundreds of steps took the scheduler's whole
// processor, so that tickets expired before the start requests were sent.
func TestPassIsBounded(t *testing.T) {
	inSimulation(t, 1, func(t *testing.T, tc *testCluster) {
		tc.taskDuration = time.Minute
		for n := range 2 * maxUnplacedSteps {
			tc.submit(fmt.Sprintf("j%03d", n), withCount(smallStep, 4))
		}
		tc.waitFor("the worker is full", func() bool { return len(tc.worker("w00").Running()) == 4 })
		tc.pool.mu.Lock()
		defer tc.pool.mu.Unlock()
		require.Equal(t, maxUnplacedSteps, tc.pool.schedule(time.Now()))
	})
}
