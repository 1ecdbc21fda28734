package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// maxWaitWithCapacity is how long work may wait while less than half of its team's quota
// and of its service's capacity is in use and workers have capacity for it.
const maxWaitWithCapacity = 3 * time.Second

// setQuotaAmount puts a configuration in force with the given quota of the team.
func (c *shardedCluster) setQuotaAmount(amount worker.Resources) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.teams = map[string]cell.Team{quotaTeam: {Name: quotaTeam, Weight: 1, Quota: amount}}
}

func (c *shardedCluster) completed(index int, id string) bool {
	state, _, err := c.pool(index).State(id)
	return err == nil && state == api.JobCompleted
}

// Guards against jobs that wait for ever, accepted before the quota of their team fell
// below one of their tasks, and against two tasks beyond such a quota at a time, in one
// shard or in several.
func TestQuotaBelowOneTask(t *testing.T) {
	gang := quotaStep(2)
	gang.Gang = true
	for _, tc := range []struct {
		name  string
		last  api.Step
		quota worker.Resources
		most  int
	}{
		{"one task", quotaStep(1), worker.Resources{MilliCPU: 700}, 1},
		{"far below", quotaStep(1), worker.Resources{MilliCPU: 1}, 1},
		{"several tasks", quotaStep(3), worker.Resources{MilliCPU: 700}, 1},
		{"a gang of which one task exceeds the quota", gang, worker.Resources{MilliCPU: 1500}, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inShardedSimulation(t, func(t *testing.T, c *shardedCluster) {
				c.taskDuration = 300 * time.Millisecond
				c.setQuota(12)
				last := tc.last
				last.DependsOn = []int{0}
				const jobs = 4
				for n := range jobs {
					c.submitTeam(n%spreadShardCount, fmt.Sprintf("%016d", n), 1, quotaStep(1), last)
				}
				time.Sleep(100 * time.Millisecond)
				c.setQuotaAmount(tc.quota)
				c.waitFor("the first steps have ended", func() bool { return c.running() == 0 })
				defer c.watchQuota(tc.most)()
				for n := range jobs {
					// All jobs use one quota, so they run one after the other.
					c.waitFor("the job has ended", func() bool { return c.completed(n%spreadShardCount, fmt.Sprintf("%016d", n)) })
				}
			})
		})
	}
}

// Guards against a bound that only the processors of a quota have.
func TestQuotaOfOtherResourcesBelowOneTask(t *testing.T) {
	for _, amount := range []worker.Resources{{MilliCPU: 8000, MemoryMiB: 99}, {MilliCPU: 500, MemoryMiB: 50, Accelerators: 1}} {
		t.Run(fmt.Sprint(amount), func(t *testing.T) {
			inSimulation(t, 2, func(t *testing.T, tc *testCluster) {
				tc.team = quotaTeam
				tc.useQuota(worker.Resources{MilliCPU: 8000})
				first, second := smallStep, withCount(smallStep, 2)
				second.DependsOn, second.Accelerators = []int{0}, 2
				tc.submit("a", first, second)
				tc.useQuota(amount)
				tc.waitForState("a", api.JobCompleted)
			})
		})
	}
}

// Guards against a task that waits for as long as a long-running one of its team leaves too
// little of the quota, although that uses less than half of it.
func TestTaskBesideLongRunningOneUnderQuota(t *testing.T) {
	inSimulation(t, 2, func(t *testing.T, tc *testCluster) {
		tc.team = quotaTeam
		tc.useQuota(worker.Resources{MilliCPU: 3000})
		lasting := smallStep
		lasting.LongRunning = true
		tc.submit("lasting", lasting)
		tc.waitFor("the long-running task runs", func() bool { return len(tc.running("lasting")) == 1 })
		large := smallStep
		large.MilliCPU = 2500
		tc.submit("large", large)
		begin := time.Now()
		tc.waitFor("the task runs", func() bool { return len(tc.running("large")) == 1 })
		require.Less(t, time.Since(begin), maxWaitWithCapacity)
		tc.submit("beyond", smallStep)
		time.Sleep(500 * time.Millisecond)
		require.Empty(t, tc.running("beyond"), "work beyond a quota that is exceeded already")
	})
}

// useQuota gives the team a quota, all of which the cluster's only shard holds.
func (tc *testCluster) useQuota(amount worker.Resources) { tc.teams.setQuota(quotaTeam, amount) }
