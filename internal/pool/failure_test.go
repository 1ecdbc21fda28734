package pool

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/cell/celltest"
	"github.com/laburnumpass/laburnumpass/internal/lead"
	"github.com/laburnumpass/laburnumpass/internal/store/storetest"
)

// Guards against tasks that are lost or run twice because a request to a
// worker, or its reply, is lost or a start is carried out late.
func TestStartRequestFaults(t *testing.T) {
	once := func(call string, fault celltest.Fault) func(string, string) celltest.Fault {
		var used atomic.Bool
		return func(c, _ string) celltest.Fault {
			if c == call && used.CompareAndSwap(false, true) {
				return fault
			}
			return celltest.NoFault
		}
	}
	always := func(call string, fault celltest.Fault) func(string, string) celltest.Fault {
		return func(c, _ string) celltest.Fault {
			if c == call {
				return fault
			}
			return celltest.NoFault
		}
	}
	for _, c := range []struct {
		name  string
		fault func(string, string) celltest.Fault
	}{
		{"a lost start is repeated", once("start", celltest.DropRequest)},
		{"the reply to a start request is lost", once("start", celltest.DropReply)},
		{"a start is carried out late", once("start", celltest.DelayRequest)},
		{"all starts are carried out late", always("start", celltest.DelayRequest)},
		{"all replies to start requests are lost", always("start", celltest.DropReply)},
		{"replies to hold calls are lost for a while", func() func(string, string) celltest.Fault {
			calls := 0
			return func(c, _ string) celltest.Fault {
				if c == "hold" && calls < 3 {
					calls++
					return celltest.DropReply
				}
				return celltest.NoFault
			}
		}()},
	} {
		t.Run(c.name, func(t *testing.T) {
			inSimulation(t, 2, func(t *testing.T, tc *testCluster) {
				tc.worker("w00").SetFault(c.fault)
				tc.submit("a", withCount(smallStep, 6))
				time.AfterFunc(6*time.Second, func() { tc.worker("w00").SetFault(nil) })
				tc.waitForState("a", api.JobCompleted)
			})
		})
	}
}

// Guards against a task that starts on a second worker while an unreachable
// worker may still run it: its lease must have expired first.
func TestLostWorker(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(tc *testCluster, n *celltest.Worker)
	}{
		{"cut off and running on", func(_ *testCluster, n *celltest.Worker) { n.SetPartitioned(true) }},
		{"cut off and taken from the registry", func(tc *testCluster, n *celltest.Worker) {
			n.SetPartitioned(true)
			tc.unpublish(n.Entry.ID)
		}},
		{"restarted under its ID", func(_ *testCluster, n *celltest.Worker) { n.Restart() }},
		{"cut off for a moment", func(_ *testCluster, n *celltest.Worker) {
			n.SetPartitioned(true)
			time.AfterFunc(2*time.Second, func() { n.SetPartitioned(false) })
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			inSimulation(t, 2, func(t *testing.T, tc *testCluster) {
				tc.taskDuration = 8 * time.Second
				tc.submit("a", withCount(smallStep, 2))
				tc.waitFor("it runs", func() bool { return len(tc.running("a")) == 2 })
				c.lose(tc, tc.worker(tc.workersOf("a")[0]))
				tc.waitForState("a", api.JobCompleted)
			})
		})
	}
}

// Guards against a new scheduler that loses or repeats runs of its
// predecessors.
func TestTakeover(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(t *testing.T, tc *testCluster)
	}{
		{"running tasks go on", func(t *testing.T, tc *testCluster) {
			tc.submit("a", withCount(smallStep, 3))
			tc.waitFor("all run", func() bool { return len(tc.running("a")) == 3 })
			tc.stop()
			tc.takeOver(lead.MaxConfirmationAge)
			tc.waitForState("a", api.JobCompleted)
			require.Equal(t, 1, tc.recorder.Starts("a.0.0.0"))
		}},
		{"a running predecessor is fenced", func(t *testing.T, tc *testCluster) {
			tc.submit("a", withCount(smallStep, 8))
			previous, cancel, done := tc.pool, tc.cancel, tc.done
			tc.takeOver(lead.MaxConfirmationAge)
			tc.waitForState("a", api.JobCompleted)
			_, _, err := previous.State("a")
			require.Error(t, err, "a fenced scheduler reports no state")
			cancel()
			<-done
		}},
		{"runs that end while there is no scheduler are processed", func(t *testing.T, tc *testCluster) {
			tc.submit("a", withCount(smallStep, 3))
			tc.waitFor("all run", func() bool { return len(tc.running("a")) == 3 })
			tc.stop()
			time.Sleep(2 * time.Second)
			tc.takeOver(lead.MaxConfirmationAge)
			tc.waitForState("a", api.JobCompleted)
			require.Equal(t, 1, tc.recorder.Starts("a.0.0.0"))
		}},
		{"a cancelled job is not started again", func(t *testing.T, tc *testCluster) {
			tc.taskDuration = time.Minute
			tc.submit("a", withCount(smallStep, 3))
			tc.waitFor("all run", func() bool { return len(tc.running("a")) == 3 })
			known, err := tc.pool.Cancel(t.Context(), "a")
			require.NoError(t, err)
			require.True(t, known)
			for _, task := range []string{"a.0.0.0", "a.0.0.1", "a.0.0.2"} {
				tc.recorder.ForbidStart(task)
			}
			tc.stop()
			tc.takeOver(lead.MaxConfirmationAge)
			tc.waitForState("a", api.JobCancelled)
			tc.waitFor("nothing runs", func() bool { return len(tc.running("a")) == 0 })
			time.Sleep(10 * time.Second)
		}},
		{"a worker that cannot be reached keeps its tasks until its lease is over", func(t *testing.T, tc *testCluster) {
			tc.taskDuration = 20 * time.Second
			tc.submit("a", withCount(smallStep, 2))
			tc.waitFor("all run", func() bool { return len(tc.running("a")) == 2 })
			tc.worker(tc.workersOf("a")[0]).SetPartitioned(true)
			tc.stop()
			tc.takeOver(lead.MaxConfirmationAge)
			tc.waitForState("a", api.JobCompleted)
		}},
		{"an ended job stays known and its records shrink", func(t *testing.T, tc *testCluster) {
			tc.submit("a", withCount(smallStep, 3))
			tc.waitForState("a", api.JobCompleted)
			tc.stop()
			page, err := tc.store.ReadCompacted(t.Context(), testJobsTopic, "")
			require.NoError(t, err)
			var kept []string
			for _, r := range page.Records {
				kept = append(kept, r.Key)
			}
			require.ElementsMatch(t, []string{keyEndPrefix + "a", keyTerm, keySettledPrefix + "w00", keySettledPrefix + "w01"}, kept)
			tc.takeOver(0)
			require.Equal(t, api.JobCompleted, tc.state("a"))
		}},
		{"failed attempts stay counted", func(t *testing.T, tc *testCluster) {
			for _, n := range tc.workers {
				n.Fails = func(string, int) bool { return true }
			}
			tc.submit("a", smallStep)
			tc.waitFor("the second attempt runs", func() bool { return tc.recorder.Starts("a.0.0.0") == 2 })
			tc.stop()
			tc.takeOver(0)
			tc.waitForState("a", api.JobFailed)
			require.Equal(t, 2, tc.recorder.Starts("a.0.0.0"))
		}},
	} {
		t.Run(c.name, func(t *testing.T) { inSimulation(t, 2, c.run) })
	}
}

// Guards against jobs acknowledged, tasks started or ended runs acknowledged
// without a record while the store is unavailable. Running tasks must continue.
func TestStoreUnavailable(t *testing.T) {
	away := func(f storetest.Fault) func(string, string) storetest.Fault {
		return func(string, string) storetest.Fault { return f }
	}
	for _, c := range []struct {
		name  string
		fault storetest.Fault
	}{
		{"refusing", storetest.Refuse}, {"dropping requests", storetest.DropRequest}, {"dropping replies", storetest.DropReply},
	} {
		t.Run(c.name, func(t *testing.T) {
			inSimulation(t, 2, func(t *testing.T, tc *testCluster) {
				tc.taskDuration = 3 * time.Second
				tc.submit("a", withCount(smallStep, 12))
				tc.waitFor("some run", func() bool { return len(tc.running("a")) == 8 })
				tc.store.SetFault(away(c.fault))
				time.Sleep(time.Second)
				tc.define("b", &api.Job{Steps: []api.Step{smallStep}})
				require.Error(t, tc.trySubmit("b"))
				time.Sleep(6 * time.Second)
				require.Zero(t, tc.recorder.Starts("a.0.0.11"), "a task was started without a record")
				tc.store.SetFault(nil)
				tc.waitForState("a", api.JobCompleted)
			})
		})
	}
}

// Guards against callers that wait, or get a wrong reply, when the store is
// known to be unavailable.
func TestSubmitIsRefusedAtOnceWithoutTheStore(t *testing.T) {
	inSimulation(t, 1, func(t *testing.T, tc *testCluster) {
		tc.store.SetFault(func(call, _ string) storetest.Fault {
			if call == "append" {
				return storetest.DropRequest
			}
			return storetest.NoFault
		})
		tc.define("a", &api.Job{Steps: []api.Step{smallStep}})
		tc.define("b", &api.Job{Steps: []api.Step{smallStep}})
		require.ErrorIs(t, tc.trySubmit("a"), ErrOutcomeUnknown)
		begin := time.Now()
		require.ErrorIs(t, tc.trySubmit("b"), ErrStoreUnavailable)
		require.ErrorIs(t, tc.trySubmit("a"), ErrSubmitPending, "the first call may still be stored")
		require.Less(t, time.Since(begin), 10*time.Millisecond)
		tc.store.SetFault(nil)
		tc.waitForState("a", api.JobCompleted)
		time.Sleep(3 * time.Second)
		require.Zero(t, tc.recorder.Starts("b.0.0.0"), "a refused job must never run")
	})
}

// Guards against a task that keeps running because its job was cancelled after
// the start request was sent and before its reply arrived.
func TestCancelWhileStartIsAnswered(t *testing.T) {
	inSimulation(t, 1, func(t *testing.T, tc *testCluster) {
		tc.taskDuration = 30 * time.Second
		tc.worker("w00").SetFault(func(call, _ string) celltest.Fault {
			if call == "start" {
				return celltest.DelayReply
			}
			return celltest.NoFault
		})
		tc.submit("a", smallStep)
		tc.waitFor("the task has started", func() bool { return len(tc.running("a")) == 1 })
		known, err := tc.pool.Cancel(t.Context(), "a")
		require.NoError(t, err)
		require.True(t, known)
		time.Sleep(celltest.ReplyDelay + time.Second)
		require.Empty(t, tc.running("a"))
		tc.waitForState("a", api.JobCancelled)
	})
}

// Guards against a task that keeps running because its worker had no registry
// entry when the job was cancelled. The store may drop entries while workers
// keep running; the task must be stopped once the worker is reached again.
func TestCancelWhileWorkerIsUnknown(t *testing.T) {
	inSimulation(t, 2, func(t *testing.T, tc *testCluster) {
		tc.submit("a", longRunning(2))
		tc.waitFor("both tasks run", func() bool { return len(tc.running("a")) == 2 })
		tc.stop()
		tc.unpublish("w00")
		tc.takeOver(0)
		known, err := tc.pool.Cancel(t.Context(), "a")
		require.NoError(t, err)
		require.True(t, known)
		time.Sleep(500 * time.Millisecond)
		tc.publish("w00")
		time.Sleep(2 * time.Second)
		require.Empty(t, tc.running("a"))
		tc.waitForState("a", api.JobCancelled)
	})
}

// longRunning returns a step whose tasks run on different workers until they
// are stopped.
func longRunning(tasks int) api.Step {
	return api.Step{Count: tasks, MilliCPU: 1000, MemoryMiB: 100, LongRunning: true, MaxPerWorker: 1}
}

// Guards against acknowledging a second cancellation before the first is
// stored. In a bench run the scheduler did so while it was cut off from the
// store, and the job was started again after its acknowledged cancellation.
func TestCancelIsAcknowledgedOnlyWhenStored(t *testing.T) {
	inSimulation(t, 1, func(t *testing.T, tc *testCluster) {
		tc.taskDuration = time.Minute
		tc.submit("a", smallStep)
		tc.waitFor("it runs", func() bool { return len(tc.running("a")) == 1 })
		tc.store.SetFault(func(call, _ string) storetest.Fault {
			if call == "append" {
				return storetest.DropRequest
			}
			return storetest.NoFault
		})
		for _, want := range []error{ErrOutcomeUnknown, ErrStoreUnavailable, ErrStoreUnavailable} {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, err := tc.pool.Cancel(ctx, "a")
			cancel()
			require.ErrorIs(t, err, want)
		}
		tc.store.SetFault(nil)
		tc.waitForState("a", api.JobCancelled)
	})
}

// Guards against tasks that stay on a worker where they make no progress or
// that is draining.
func TestMoveTasks(t *testing.T) {
	for _, c := range []struct {
		name    string
		spec    api.Step
		disrupt func(tc *testCluster, n *celltest.Worker)
	}{
		{"tasks on a worker stand still", api.Step{EstimateMS: 3000}, func(_ *testCluster, n *celltest.Worker) { n.HangTasks() }},
		{"a worker drains and tasks write checkpoints", api.Step{Checkpointable: true}, func(tc *testCluster, n *celltest.Worker) {
			n.Entry.Draining = true
			tc.publish(n.Entry.ID)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			inSimulation(t, 2, func(t *testing.T, tc *testCluster) {
				tc.taskDuration = 4 * time.Second
				spec := withCount(smallStep, 2)
				spec.EstimateMS, spec.Checkpointable = c.spec.EstimateMS, c.spec.Checkpointable
				tc.submit("a", spec)
				tc.waitFor("it runs", func() bool { return len(tc.running("a")) == 2 })
				first := tc.workersOf("a")[0]
				c.disrupt(tc, tc.worker(first))
				tc.waitFor("it runs elsewhere", func() bool {
					on := tc.workersOf("a")
					return len(on) == 2 && on[0] != first && on[1] != first
				})
				tc.waitForState("a", api.JobCompleted)
			})
		})
	}
}

// Guards against urgent work and gangs that wait although less urgent tasks can
// be evicted. Only tasks that write checkpoints may be stopped, and less urgent
// work must not take the freed capacity.
func TestReserveAndEvict(t *testing.T) {
	for _, c := range []struct {
		name string
		// lessUrgent is the work that has taken all capacity.
		lessUrgent api.Step
		evicts     bool
	}{
		{"checkpointable tasks are evicted", api.Step{MilliCPU: 1000, MemoryMiB: 100, Checkpointable: true}, true},
		{"other tasks go on", api.Step{MilliCPU: 1000, MemoryMiB: 100}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			inSimulation(t, 2, func(t *testing.T, tc *testCluster) {
				tc.taskDuration = 5 * time.Second
				tc.queue.Priority = 2
				tc.submit("low", withCount(c.lessUrgent, 24))
				tc.waitFor("all workers are full", func() bool { return len(tc.running("low")) == 8 })
				tc.queue.Priority = 1
				begin := time.Now()
				tc.submit("gang", api.Step{Count: 2, MilliCPU: 4000, MemoryMiB: 100, Gang: true})
				tc.waitFor("the gang runs", func() bool { return len(tc.running("gang")) == 2 })
				if c.evicts {
					require.Less(t, time.Since(begin), 2*time.Second)
				} else {
					require.Less(t, time.Since(begin), 7*time.Second, "capacity is reserved as the first tasks end")
					require.Equal(t, 1, tc.recorder.Starts("low.0.0.0"), "a task without checkpoints is not stopped")
				}
				tc.waitForState("gang", api.JobCompleted)
				tc.waitForState("low", api.JobCompleted)
			})
		})
	}
}
