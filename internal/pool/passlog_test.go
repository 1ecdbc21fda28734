package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// Guards against a log that does not tell a step that its quota holds from one that a
// pass leaves out, or from one for which no worker has capacity.
func TestPassLog(t *testing.T) {
	inSimulation(t, 1, func(t *testing.T, tc *testCluster) {
		tc.taskDuration, tc.team = time.Minute, quotaTeam
		tc.useQuota(worker.Resources{MilliCPU: 2000})
		unmet := withCount(smallStep, 3)
		unmet.RequiredLabel = "none"
		tc.submit("unmet", unmet)
		for _, id := range []string{"a", "b", "c"} {
			tc.submit(id, withCount(smallStep, 2))
		}
		time.Sleep(time.Second)
		tc.pool.mu.Lock()
		defer tc.pool.mu.Unlock()
		held := tc.pool.lastPass.Held[quotaTeam]
		require.NotNil(t, held)
		require.Equal(t, 1, held.WithoutCapacity)
		require.Greater(t, held.Steps, 1)
		require.Empty(t, tc.pool.lastPass.LeftOut)
	})
}
