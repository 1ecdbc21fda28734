package pool

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/cell/celltest"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// addScarceWorkers adds workers with a label that no other one has.
func (tc *testCluster) addScarceWorkers(ids ...string) {
	for _, id := range ids {
		w := tc.bootWorker(id, worker.Resources{MilliCPU: 4000, MemoryMiB: 8192})
		w.Entry.Labels = []string{"scarce"}
		tc.publish(id)
	}
}

func scarceStep(count int, milliCPU int64) api.Step {
	return api.Step{Count: count, MilliCPU: milliCPU, MemoryMiB: 100, RequiredLabel: "scarce"}
}

// Guards against a gang that keeps workers free for as long as one task runs there, and
// against one that never gets past small work on the only workers that it may use.
func TestGangThatWaitsForWorkersOfAnIdleService(t *testing.T) {
	inSimulation(t, 4, func(t *testing.T, tc *testCluster) {
		tc.addScarceWorkers("x0", "x1")
		tc.taskDuration = 20 * time.Second
		tc.submit("running", scarceStep(1, 1000))
		tc.waitFor("the task runs", func() bool { return len(tc.running("running")) == 1 })
		gang := scarceStep(2, 4000)
		gang.Gang = true
		tc.submit("gang", gang)
		time.Sleep(500 * time.Millisecond)
		tc.queue.Name, tc.queue.Priority, tc.taskDuration = "batch", 2, 300*time.Millisecond
		tc.submit("batch", scarceStep(1, 1000))
		begin := time.Now()
		tc.waitForState("batch", api.JobCompleted)
		require.Less(t, time.Since(begin), maxWaitWithCapacity)
		tc.submit("many", scarceStep(600, 1000))
		tc.waitForState("gang", api.JobCompleted)
		require.NotEqual(t, api.JobCompleted, tc.state("many"), "the gang ran only after all less urgent work")
	})
}

// Guards against capacity that is kept for work with a policy while its policy service does
// not answer.
func TestWorkWithoutTicketsKeepsNoCapacity(t *testing.T) {
	inSimulation(t, 4, func(t *testing.T, tc *testCluster) {
		tc.addScarceWorkers("x0")
		tc.taskDuration = 4 * time.Second
		tc.submit("running", scarceStep(4, 1000))
		tc.waitFor("the tasks run", func() bool { return len(tc.running("running")) == 4 })
		var silent atomic.Bool
		answer := make(chan struct{})
		defer close(answer)
		tc.advisor = func(step string, workers []string) (took time.Duration, approvals []cell.Approval) {
			if silent.Load() {
				<-answer
				return 0, nil
			}
			for _, w := range workers {
				approvals = append(approvals, cell.Approval{Worker: w, Ticket: celltest.TicketFor(step+".0", w)})
			}
			return 0, approvals
		}
		tc.queue.Policy = &cell.PolicyTiming{DecisionTime: 50 * time.Millisecond, TicketLifetime: 500 * time.Millisecond}
		tc.submit("advised", scarceStep(4, 1000))
		time.Sleep(time.Second)
		silent.Store(true)
		tc.queue.Name, tc.queue.Priority, tc.queue.Policy = "batch", 2, nil
		tc.submit("batch", scarceStep(1, 1000))
		tc.waitForState("running", api.JobCompleted)
		begin := time.Now()
		tc.waitFor("the less urgent job runs", func() bool { return len(tc.running("batch")) == 1 })
		require.Less(t, time.Since(begin), maxWaitWithCapacity)
	})
}

// Guards against a lost long-running task that waits beside capacity that is kept for a gang,
// in a service that is in full use otherwise.
func TestLostLongRunningTaskPassesReservations(t *testing.T) {
	inSimulation(t, 2, func(t *testing.T, tc *testCluster) {
		tc.taskDuration = time.Minute
		lasting := smallStep
		lasting.LongRunning = true
		tc.submit("lasting", lasting)
		tc.waitFor("the long-running task runs", func() bool { return len(tc.running("lasting")) == 1 })
		host := tc.workersOf("lasting")[0]
		tc.addScarceWorkers("x0", "x1")
		for _, id := range []string{"busy0", "busy1"} {
			tc.submit(id, scarceStep(1, 3000))
		}
		full := withCount(smallStep, 7)
		full.RequiredLabel = "kind"
		tc.submit("full", full)
		tc.waitFor("the tasks run", func() bool { return len(tc.running("full"))+len(tc.running("busy0"))+len(tc.running("busy1")) == 9 })
		gang := scarceStep(2, 4000)
		gang.Gang, gang.MaxPerWorker = true, 1
		tc.queue.Name, tc.queue.Priority = "urgent", -1
		tc.submit("gang", gang)
		time.Sleep(time.Second)
		tc.worker(host).Leave()
		tc.unpublish(host)
		begin := time.Now()
		tc.waitFor("the task is lost", func() bool { return len(tc.running("lasting")) == 0 })
		tc.waitFor("the long-running task runs again", func() bool { return len(tc.running("lasting")) == 1 })
		require.Less(t, time.Since(begin), lostTaskGrace+maxWaitWithCapacity)
	})
}

// Guards against a lost long-running task for which no room is made because its wait has only
// begun.
func TestRoomIsMadeForLostLongRunningTask(t *testing.T) {
	inSimulation(t, 2, func(t *testing.T, tc *testCluster) {
		tc.taskDuration, tc.queue.TargetLatency = time.Minute, time.Hour
		lasting := withCount(smallStep, 1)
		lasting.MilliCPU, lasting.LongRunning = 4000, true
		tc.submit("lasting", lasting)
		tc.waitFor("the long-running task runs", func() bool { return len(tc.running("lasting")) == 1 })
		host := tc.workersOf("lasting")[0]
		tc.queue.Name, tc.queue.Priority = "batch", 2
		batch := withCount(smallStep, 4)
		batch.Checkpointable = true
		tc.submit("batch", batch)
		tc.waitFor("the other worker is full", func() bool { return len(tc.running("batch")) == 4 })
		tc.worker(host).Leave()
		tc.unpublish(host)
		begin := time.Now()
		tc.waitFor("the task is lost", func() bool { return len(tc.running("lasting")) == 0 })
		tc.waitFor("the long-running task runs again", func() bool { return len(tc.running("lasting")) == 1 })
		require.Less(t, time.Since(begin), lostTaskGrace+maxWaitWithCapacity)
	})
}
