package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/store/storetest"
)

// Guards against leases that lapse at workers that reply, because the store is down when they return.
func TestStoreGoesDownAsSilentWorkersReturn(t *testing.T) {
	inSimulation(t, 3, func(t *testing.T, tc *testCluster) {
		tc.submit("a", longRunning(3))
		tc.waitFor("all tasks run", func() bool { return len(tc.running("a")) == 3 })
		time.Sleep(settledAfter)
		for _, id := range tc.workersOf("a") {
			tc.worker(id).SetPartitioned(true)
		}
		time.Sleep(2200 * time.Millisecond)
		tc.store.SetFault(func(string, string) storetest.Fault { return storetest.Refuse })
		for _, id := range tc.workersOf("a") {
			tc.worker(id).SetPartitioned(false)
		}
		time.Sleep(7 * time.Second)
		require.Len(t, tc.running("a"), 3)
	})
}
