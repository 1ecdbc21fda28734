package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a second run of a task on a settled process that a late start request gives the longest lease.
func TestLateStartExtendsLeaseOfSettledProcess(t *testing.T) {
	for name, killed := range map[string]bool{"the scheduler is killed": true, "the scheduler stays": false} {
		t.Run(name, func(t *testing.T) {
			inSimulation(t, 1, func(t *testing.T, tc *testCluster) {
				const delay = 9 * time.Second
				time.Sleep(2 * settledAfter) // the lease in the request must be ahead of the next process's clock
				w := tc.worker("w00")
				delayFirstStart(w, delay)
				submittedAt := time.Now()
				tc.submit("a", longRunning(1))
				tc.waitFor("the task runs", func() bool { return len(tc.running("a")) == 1 })
				time.Sleep(time.Second)
				w.Restart()
				tc.publish("w00")
				tc.waitFor("the task runs again", func() bool { return len(tc.running("a")) == 1 })
				time.Sleep(delay + 100*time.Millisecond - time.Since(submittedAt))
				tc.addWorker("w01", w.Entry.Capacity)
				w.SetPartitioned(true)
				if killed {
					tc.replaceKilled()
				}
				time.Sleep(20 * time.Second)
				require.Empty(t, tc.recorder.Violations())
			})
		})
	}
}
