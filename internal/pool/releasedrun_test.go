package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a wait for a lease that begins anew at a change of scheduler after it has ended.
func TestReleasedRunIsNotWaitedForAgain(t *testing.T) {
	inSimulation(t, 2, func(t *testing.T, tc *testCluster) {
		tc.submit("a", longRunning(2))
		tc.waitFor("both tasks run", func() bool { return len(tc.running("a")) == 2 })
		time.Sleep(settledAfter)
		dead := tc.workersOf("a")[0]
		tc.dieSilently(dead)
		tc.waitFor("the run is released", func() bool {
			tc.pool.mu.Lock()
			defer tc.pool.mu.Unlock()
			n := tc.pool.nodes[dead]
			return n == nil || len(n.runs) == 0
		})
		time.Sleep(time.Second) // no other worker has room for the task
		tc.replaceKilled()
		begin := time.Now()
		tc.addWorker("w09", tc.worker(dead).Entry.Capacity)
		tc.waitFor("both tasks run again", func() bool { return len(tc.running("a")) == 2 })
		require.Less(t, time.Since(begin), leaseDuration)
	})
}
