package pool

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/cell/celltest"
	"github.com/laburnumpass/laburnumpass/internal/knownred"
)

// delayFirstStart makes a worker carry out its first start request late, on its next process
// if there is one then.
func delayFirstStart(w *celltest.Worker, delay time.Duration) {
	var starts atomic.Int64
	w.DelayedRequestsOutliveProcess = true
	w.RequestDelays = func() time.Duration { return delay }
	w.SetFault(func(call, _ string) celltest.Fault {
		if call == "start" && starts.Add(1) == 1 {
			return celltest.DelayRequest
		}
		return celltest.NoFault
	})
}

// Guards against a second run of a task that is released while a start request may still be carried out.
func TestLateStartAtNextProcessOfWorkerThatIsCutOff(t *testing.T) {
	for name, killed := range map[string]bool{"the scheduler is killed": true, "the scheduler stays": false} {
		t.Run(name, func(t *testing.T) {
			knownred.Skip(t, "../../KNOWN-RED.txt", "internal/pool")
			inSimulation(t, 1, func(t *testing.T, tc *testCluster) {
				time.Sleep(settledAfter)
				w := tc.worker("w00")
				delayFirstStart(w, 6*time.Second)
				tc.submit("a", longRunning(1))
				tc.waitFor("the task runs", func() bool { return len(tc.running("a")) == 1 })
				tc.addWorker("w01", w.Entry.Capacity)
				time.Sleep(time.Second)
				w.SetPartitioned(true)
				w.Restart()
				if killed {
					tc.replaceKilled()
				}
				time.Sleep(20 * time.Second)
				require.Empty(t, tc.recorder.Violations())
			})
		})
	}
}
