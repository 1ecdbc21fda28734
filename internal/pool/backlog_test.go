package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/cell/celltest"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// Guards against work that a pass leaves out, although workers have capacity for it, because
// enough more urgent steps of its queue wait for something else.
func TestBacklogHidesNoWorkThatFits(t *testing.T) {
	scarce := func(f func(n int, s *api.Step)) func(int) api.Step {
		return func(n int) api.Step {
			s := api.Step{Count: 1, MilliCPU: 2000, MemoryMiB: 100, RequiredLabel: "scarce"}
			f(n, &s)
			return s
		}
	}
	for _, c := range []struct {
		name string
		wait func(n int) api.Step
		// advised is set if the policy approves the scarce worker only.
		advised bool
	}{
		{"a kind whose worker is full", scarce(func(int, *api.Step) {}), false},
		{"three tasks each", scarce(func(_ int, s *api.Step) { s.Count = 3 }), false},
		{"each of another size", scarce(func(n int, s *api.Step) { s.MilliCPU, s.MemoryMiB = s.MilliCPU-int64(n), 100+int64(n) }), false},
		{"gangs", scarce(func(n int, s *api.Step) { s.Gang, s.Count, s.MilliCPU = true, 2, 1500+int64(n) }), false},
		{"one task on each worker", scarce(func(_ int, s *api.Step) { s.RequiredLabel, s.MaxPerWorker, s.Count, s.MilliCPU = "", 1, 5, 10 }), false},
		{"no advice for a worker with capacity", scarce(func(_ int, s *api.Step) { s.RequiredLabel = "" }), true},
	} {
		for _, kind := range []string{"lost long-running task", "new job"} {
			t.Run(c.name+"/"+kind, func(t *testing.T) {
				inSimulation(t, 3, func(t *testing.T, tc *testCluster) {
					tc.taskDuration, tc.queue.TargetLatency = 5*time.Minute, 15*time.Second
					if c.advised {
						tc.queue.Policy = &cell.PolicyTiming{DecisionTime: 50 * time.Millisecond, TimePerWorker: time.Millisecond, TicketLifetime: 2 * time.Second}
						tc.advisor = func(step string, workers []string) (took time.Duration, approvals []cell.Approval) {
							for _, w := range workers {
								if waits := step[0] == 'x'; w == "scarce" == waits {
									approvals = append(approvals, cell.Approval{Worker: w, Ticket: celltest.TicketFor(step+".0", w)})
								}
							}
							return 0, approvals
						}
					}
					lasting := smallStep
					lasting.LongRunning, lasting.RequiredLabel = true, "kind"
					tc.submit("lasting", lasting)
					tc.waitFor("the long-running task runs", func() bool { return len(tc.running("lasting")) == 1 })
					if kind != "new job" {
						time.Sleep(tc.queue.TargetLatency) // its job is late, and those that follow are not
					}
					w := tc.bootWorker("scarce", worker.Resources{MilliCPU: 4000, MemoryMiB: 8192})
					w.Entry.Labels = []string{"scarce"}
					tc.publish("scarce")
					for n := range maxUnplacedSteps + 20 {
						tc.submit(fmt.Sprintf("x%03d", n), c.wait(n))
					}
					time.Sleep(2 * time.Second)
					begin, job := time.Now(), "new"
					if kind == "new job" {
						tc.submit("new", smallStep)
					} else {
						job = "lasting"
						host := tc.workersOf("lasting")[0]
						tc.worker(host).Leave()
						tc.unpublish(host)
						tc.waitFor("the task is lost", func() bool { return len(tc.running("lasting")) == 0 })
					}
					tc.waitFor("the work runs", func() bool { return len(tc.running(job)) == 1 })
					require.Less(t, time.Since(begin), lostTaskGrace+maxWaitWithCapacity)
				})
			})
		}
	}
}

// lostTaskGrace is how long after its last run a long-running task may be without one
// whatever the reason.
const lostTaskGrace = 6 * time.Second
