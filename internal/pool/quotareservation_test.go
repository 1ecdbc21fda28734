package pool

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// Guards against urgent work that takes the whole quota of its team from less urgent work
// although no worker has capacity for it, so that more quota would not start it.
func TestWorkWithoutCapacityReservesNoQuota(t *testing.T) {
	wide := api.Step{Count: 40, MilliCPU: 1000, MemoryMiB: 100}
	change := func(f func(*api.Step)) api.Step {
		s := wide
		f(&s)
		return s
	}
	gang := func(s *api.Step) { s.Gang, s.Count = true, 10 }
	for _, c := range []struct {
		name   string
		urgent api.Step
		jobs   int
		// quota is in thousandths of a core, 10,000 if it is 0.
		quota int64
	}{
		{"no worker of its kind", change(func(s *api.Step) { s.RequiredLabel = "none" }), 1, 0},
		{"more such jobs than a pass reserves for", change(func(s *api.Step) { s.RequiredLabel = "none" }), 2 * maxQuotaSearches, 0},
		{"too much memory", change(func(s *api.Step) { s.MemoryMiB = 9000 }), 1, 0},
		{"too many processors", change(func(s *api.Step) { s.MilliCPU = 4500 }), 1, 0},
		{"a gang of a kind with too few workers", change(func(s *api.Step) { gang(s); s.RequiredLabel = "scarce"; s.MaxPerWorker = 1 }), 3, 0},
		{"a kind whose worker is full", change(func(s *api.Step) { s.RequiredLabel = "scarce" }), 1, 0},
		{"jobs of many sizes whose kind is full", change(func(s *api.Step) { s.RequiredLabel = "scarce" }), 2 * maxQuotaReservations, 0},
		{"a gang that waits for a full worker", change(func(s *api.Step) { gang(s); s.Count, s.RequiredLabel = 4, "scarce" }), 1, 4000},
		{"a task on each worker allowed", change(func(s *api.Step) { s.MaxPerWorker = 1 }), 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			inSimulation(t, 3, func(t *testing.T, tc *testCluster) {
				tc.taskDuration, tc.team = 30*time.Second, quotaTeam
				scarce := tc.bootWorker("scarce", worker.Resources{MilliCPU: 4000, MemoryMiB: 8192})
				scarce.Entry.Labels = []string{"scarce"}
				tc.publish("scarce")
				tc.useQuota(worker.Resources{MilliCPU: cmp.Or(c.quota, 10_000)})
				busy := smallStep
				busy.RequiredLabel = "scarce"
				tc.submit("busy", busy)
				tc.waitFor("the scarce worker is in use", func() bool { return len(tc.running("busy")) == 1 })
				for n := range c.jobs {
					s := c.urgent
					if !s.Gang {
						s.MilliCPU += int64(n) // each of another size
					}
					tc.submit(fmt.Sprintf("urgent%03d", n), s)
				}
				time.Sleep(time.Second)
				tc.queue.Name, tc.queue.Priority = "batch", 2
				tc.submit("batch", smallStep)
				begin := time.Now()
				tc.waitFor("the less urgent job runs", func() bool { return len(tc.running("batch")) == 1 })
				require.Less(t, time.Since(begin), maxWaitWithCapacity)
			})
		})
	}
}

// Guards against quota that is kept for work on workers which its policy denies.
func TestWorkThatItsPolicyDeniesReservesNoQuota(t *testing.T) {
	inSimulation(t, 3, func(t *testing.T, tc *testCluster) {
		tc.taskDuration, tc.team = 30*time.Second, quotaTeam
		tc.useQuota(worker.Resources{MilliCPU: 10_000})
		for n := range 3 {
			tc.denied[fmt.Sprintf("w%02d", n)] = true
		}
		tc.queue.Policy = &cell.PolicyTiming{DecisionTime: 50 * time.Millisecond, TicketLifetime: 2 * time.Second}
		tc.submit("denied", withCount(smallStep, 40))
		time.Sleep(time.Second)
		tc.queue.Name, tc.queue.Priority, tc.queue.Policy = "batch", 2, nil
		tc.submit("batch", smallStep)
		begin := time.Now()
		tc.waitFor("the less urgent job runs", func() bool { return len(tc.running("batch")) == 1 })
		require.Less(t, time.Since(begin), maxWaitWithCapacity)
	})
}

// Guards against a gang that needs most of its quota and keeps other work of its team
// waiting for as long as tasks run that use less than half of it, and against such work that
// the gang never gets past.
func TestGangThatWaitsForMostOfItsQuota(t *testing.T) {
	inSimulation(t, 4, func(t *testing.T, tc *testCluster) {
		tc.taskDuration, tc.team = 20*time.Second, quotaTeam
		tc.useQuota(worker.Resources{MilliCPU: 10_000})
		tc.submit("running", withCount(smallStep, 4))
		tc.waitFor("the tasks run", func() bool { return len(tc.running("running")) == 4 })
		gang := withCount(smallStep, 9)
		gang.Gang = true
		tc.submit("gang", gang)
		time.Sleep(500 * time.Millisecond)
		tc.queue.Name, tc.queue.Priority = "batch", 2
		tc.taskDuration = 300 * time.Millisecond
		for n := range 4 {
			tc.submit(fmt.Sprint("batch", n), smallStep)
			begin := time.Now()
			tc.waitFor("the less urgent job has ended", func() bool { return tc.state(fmt.Sprint("batch", n)) == api.JobCompleted })
			require.Less(t, time.Since(begin), maxWaitWithCapacity)
		}
		tc.submit("many", withCount(smallStep, 400))
		tc.waitForState("gang", api.JobCompleted)
		require.NotEqual(t, api.JobCompleted, tc.state("many"), "the gang ran only after all less urgent work")
	})
}

// Guards against quota that a gang which can never run keeps beyond the half that work may
// use while reservations lapse.
func TestImpossibleGangReservesNoQuota(t *testing.T) {
	inSimulation(t, 3, func(t *testing.T, tc *testCluster) {
		tc.taskDuration, tc.team = 30*time.Second, quotaTeam
		tc.useQuota(worker.Resources{MilliCPU: 10_000})
		tc.submit("running", withCount(smallStep, 6))
		tc.waitFor("the tasks run", func() bool { return len(tc.running("running")) == 6 })
		gang := withCount(smallStep, 10)
		gang.Gang, gang.MaxPerWorker = true, 1
		tc.submit("gang", gang)
		time.Sleep(time.Second)
		tc.queue.Name, tc.queue.Priority = "batch", 2
		tc.submit("batch", smallStep)
		begin := time.Now()
		tc.waitFor("the less urgent job runs", func() bool { return len(tc.running("batch")) == 1 })
		require.Less(t, time.Since(begin), maxWaitWithCapacity)
	})
}

// Guards against work that more steps than a pass reserves quota for keep from being tried,
// although it needs nothing of the resource that they wait for.
func TestQuotaOfOneResourceHidesNoOtherWork(t *testing.T) {
	inSimulation(t, 3, func(t *testing.T, tc *testCluster) {
		tc.taskDuration, tc.team = 30*time.Second, quotaTeam
		tc.useQuota(worker.Resources{MilliCPU: 10_000, MemoryMiB: 300})
		for n := range maxQuotaReservations + 5 {
			tc.submit(fmt.Sprintf("urgent%02d", n), api.Step{Count: 1, MilliCPU: 10, MemoryMiB: 200})
		}
		time.Sleep(time.Second)
		tc.queue.Name, tc.queue.Priority = "batch", 2
		tc.submit("batch", api.Step{Count: 6, MilliCPU: 1000})
		begin := time.Now()
		tc.waitFor("the less urgent job runs", func() bool { return len(tc.running("batch")) == 6 })
		require.Less(t, time.Since(begin), maxWaitWithCapacity)
	})
}

// Guards against less urgent work that takes more than half of the quota while reservations
// for a gang lapse.
func TestWorkTakesHalfOfTheQuotaWhileReservationsLapse(t *testing.T) {
	inSimulation(t, 4, func(t *testing.T, tc *testCluster) {
		tc.taskDuration, tc.team = 30*time.Second, quotaTeam
		tc.useQuota(worker.Resources{MilliCPU: 10_000})
		tc.submit("running", withCount(smallStep, 3))
		tc.waitFor("the tasks run", func() bool { return len(tc.running("running")) == 3 })
		gang := withCount(smallStep, 9)
		gang.Gang = true
		tc.submit("gang", gang)
		time.Sleep(500 * time.Millisecond)
		tc.queue.Name, tc.queue.Priority = "batch", 2
		tc.submit("many", withCount(smallStep, 100))
		time.Sleep(10 * time.Second)
		require.GreaterOrEqual(t, len(tc.running("many")), 2)
		require.LessOrEqual(t, len(tc.running("many")), 3)
	})
}
