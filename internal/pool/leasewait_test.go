package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/cell"
)

// Guards against a call for advice that begins only when the lease of a dead worker has expired.
func TestAdviceIsRequestedBeforeALeaseEnds(t *testing.T) {
	inSimulation(t, 6, func(t *testing.T, tc *testCluster) {
		tc.queue.Policy = &cell.PolicyTiming{DecisionTime: 800 * time.Millisecond, TicketLifetime: 2 * time.Second}
		tc.submit("a", longRunning(3))
		tc.waitFor("all tasks run", func() bool { return len(tc.running("a")) == 3 })
		time.Sleep(3 * time.Second)
		tc.mu.Lock()
		before := tc.adviceStarted
		tc.mu.Unlock()
		tc.dieSilently(tc.workersOf("a")[0])
		died := time.Now()
		tc.waitFor("all tasks run again", func() bool { return len(tc.running("a")) == 3 })
		require.Less(t, time.Since(died), workerTime(leaseDuration)+leaseExpirySlack+tc.queue.Policy.DecisionTime/2)
		tc.mu.Lock()
		defer tc.mu.Unlock()
		require.LessOrEqual(t, tc.adviceStarted-before, 2, "a call has a price")
	})
}
