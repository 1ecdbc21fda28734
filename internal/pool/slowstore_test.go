package pool

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/store"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// Guards against long replies that are cut off and asked for anew for ever.
func TestLongRepliesArriveSlowly(t *testing.T) {
	t.Run("at the start of a term", func(t *testing.T) {
		inSimulation(t, 2, func(t *testing.T, tc *testCluster) {
			var others []store.Record
			for n := range 2000 {
				others = append(others, store.Record{Key: fmt.Sprint("other-", n), Value: []byte(`{}`)})
			}
			_, err := tc.store.Append(context.Background(), store.Append{Topic: testWorkersTopic, Records: others})
			require.NoError(t, err)
			tc.stop()
			tc.store.ReadLatency = 100 * time.Millisecond // for each of 41 pages
			tc.takeOver(0)
			tc.submit("a", smallStep)
			tc.waitForState("a", api.JobCompleted)
		})
	})
	t.Run("during a term", func(t *testing.T) {
		inSimulation(t, 1, func(t *testing.T, tc *testCluster) {
			tc.stop()
			tc.store.ReadLatency = 1200 * time.Millisecond
			tc.takeOver(0)
			tc.addWorker("w09", worker.Resources{MilliCPU: 4000, MemoryMiB: 8192})
			step := smallStep
			step.RequiredLabel = "rack-9"
			tc.submit("a", step)
			tc.waitForState("a", api.JobCompleted)
		})
	})
}
