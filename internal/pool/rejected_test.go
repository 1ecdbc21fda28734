package pool

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/store"
	"github.com/laburnumpass/laburnumpass/internal/store/storetest"
)

// rejectKeys makes the store reject all records whose key has the prefix. The result
// returns how often it did.
func (tc *testCluster) rejectKeys(prefix string) (count func() int) {
	rejected := 0
	tc.store.SetRejects(func(r store.Record) bool {
		if strings.HasPrefix(r.Key, prefix) {
			rejected++
			return true
		}
		return false
	})
	return func() int {
		tc.store.SetRejects(nil)
		return rejected
	}
}

// Guards against a service that stops for good because the store rejects one record.
func TestRejectedJobFailsAlone(t *testing.T) {
	inSimulation(t, 2, func(t *testing.T, tc *testCluster) {
		tc.submit("first", smallStep)
		count := tc.rejectKeys(keyJobPrefix + "bad")
		tc.define("bad", &api.Job{Payload: "p", Steps: []api.Step{smallStep}})
		result := make(chan error, 1)
		go func() { result <- tc.trySubmit("bad") }()
		tc.submit("beside", smallStep)
		require.ErrorIs(t, <-result, ErrRecordRejected)
		for _, id := range []string{"first", "beside"} {
			tc.waitForState(id, api.JobCompleted)
		}
		require.Empty(t, tc.state("bad"))
		require.LessOrEqual(t, count(), 2, "one append of a batch and one of the job alone")

		tc.submit("after", smallStep)
		tc.waitForState("after", api.JobCompleted)
		require.Zero(t, tc.recorder.Starts("bad.0.0.0"))
		tc.stop()
		tc.takeOver(0)
		require.Empty(t, tc.state("bad"))
		tc.submit("bad", smallStep)
		tc.waitForState("bad", api.JobCompleted)
	})
}

// Guards against placements that are repeated in each pass, or keep other jobs waiting,
// because the store rejects them.
func TestRejectedPlacementFailsAlone(t *testing.T) {
	for name, step := range map[string]api.Step{
		"tasks": withCount(smallStep, 2),
		"gang":  {Count: 2, MilliCPU: 1000, MemoryMiB: 100, Gang: true},
	} {
		t.Run(name, func(t *testing.T) {
			inSimulation(t, 1, func(t *testing.T, tc *testCluster) {
				count := tc.rejectKeys(keyTaskPrefix + "bad.")
				tc.submit("bad", step)
				tc.submit("other", smallStep)
				tc.waitForState("other", api.JobCompleted)
				time.Sleep(10 * time.Second)
				require.Equal(t, api.JobQueued, tc.state("bad"))
				require.LessOrEqual(t, count(), 24, "appends in 12 s")
				tc.waitForState("bad", api.JobCompleted)
			})
		})
	}
}

// limitStore restarts the scheduler with a store that has these limits.
func (tc *testCluster) limitStore(recordBytes, appendBytes int) {
	tc.stop()
	tc.store.SetLimits(recordBytes, appendBytes)
	tc.maxRecordBytes, tc.maxAppendBytes = recordBytes, appendBytes
	tc.takeOver(0)
}

// Guards against a service that stops for good because the end of a job with many tasks
// exceeds the limit of one append.
func TestEndOfLargeJobExceedsOneAppend(t *testing.T) {
	for _, c := range []struct {
		name string
		// storeFails makes the store refuse all appends after the first part of the end.
		storeFails bool
	}{{"stored", false}, {"interrupted", true}} {
		t.Run(c.name, func(t *testing.T) {
			inSimulation(t, 4, func(t *testing.T, tc *testCluster) {
				tc.limitStore(0, 2000)
				var ending atomic.Bool
				tc.store.SetRejects(func(r store.Record) bool {
					ending.CompareAndSwap(false, r.Key == keyEndPrefix+"large")
					return false
				})
				if c.storeFails {
					tc.store.SetFault(func(call, topic string) storetest.Fault {
						if ending.Load() && call == "append" && topic == testJobsTopic {
							return storetest.Refuse
						}
						return storetest.NoFault
					})
				}
				tc.submit("large", withCount(smallStep, 150))
				tc.waitFor("the end is stored in part", ending.Load)
				if c.storeFails {
					time.Sleep(time.Second)
					tc.stop()
					tc.store.SetFault(nil)
					tc.takeOver(0)
				}
				tc.waitForState("large", api.JobCompleted)
				tc.submit("next", smallStep)
				tc.waitForState("next", api.JobCompleted)
			})
		})
	}
}

// Guards against the end of a task that is acknowledged to its worker although the store
// rejected it, so that the next scheduler starts the task again.
func TestRejectedEndIsNotLost(t *testing.T) {
	inSimulation(t, 1, func(t *testing.T, tc *testCluster) {
		tc.submit("a", smallStep, api.Step{Count: 1, MilliCPU: 1000, DependsOn: []int{0}})
		tc.waitFor("it runs", func() bool { return len(tc.running("a")) == 1 })
		count := tc.rejectKeys(keyTaskPrefix + "a.0.0.0")
		time.Sleep(2 * tc.taskDuration)
		require.Positive(t, count())
		tc.stop()
		tc.takeOver(0)
		tc.waitForState("a", api.JobCompleted)
		require.Equal(t, 1, tc.recorder.Starts("a.0.0.0"))
	})
}
