package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// usedByTeam returns what the schedulers of all shards count for the team.
func (c *shardedCluster) usedByTeam() (milliCPU int64) {
	for index := range spreadShardCount {
		p := c.pool(index)
		p.mu.Lock()
		milliCPU += p.quotas.used[quotaTeam].MilliCPU
		p.mu.Unlock()
	}
	return milliCPU
}

// watchOverdrafts fails the test if work of the team starts although more than the quota
// and quotaOvershoot runs already, until stop is called.
func (c *shardedCluster) watchOverdrafts(milliCPU int64) (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		before := c.usedByTeam()
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Millisecond):
			}
			now := c.usedByTeam()
			if now > before && float64(before) > float64(milliCPU)*(1+quotaOvershoot) {
				c.t.Errorf("QUOTA: %d of %d were in use, and %d are", before, milliCPU, now)
			}
			before = now
		}
	}()
	return func() { close(done); <-ended }
}

// Guards against a task that waits for ever since another shard uses a part of the quota that
// it cannot lend, against two shards that exceed the quota at a time, and against work that
// waits for ever behind a shard that asks others to start nothing.
func TestOverdraftWhileOtherShardsUseTheQuota(t *testing.T) {
	const quotaCPU = 2100
	lasting := quotaStep(1)
	lasting.LongRunning = true
	large := api.Step{Count: 1, MilliCPU: 1500}
	larger := api.Step{Count: 2, MilliCPU: 3000}
	lost := func(index int) func(string, int) (bool, bool) {
		return func(what string, to int) (bool, bool) { return what == "lend" && to == index, false }
	}
	for _, tc := range []struct {
		name string
		// large are the shards that get a large job, and step is its only one.
		large []int
		step  api.Step
		// during is called once the jobs wait.
		during func(c *shardedCluster)
		// blocked is set if no large job may run.
		blocked bool
	}{
		{name: "one shard", large: []int{0}, step: large},
		{name: "tasks larger than the quota", large: []int{0}, step: larger},
		{name: "two shards", large: []int{0, 2}, step: larger},
		{name: "all shards", large: []int{0, 1, 2}, step: large},
		{name: "the shard that asks gets another scheduler", large: []int{0, 2}, step: larger, during: func(c *shardedCluster) {
			for range 3 {
				time.Sleep(1700 * time.Millisecond)
				c.stops[0]()
				c.start(0)
			}
		}},
		{name: "a shard that cannot be asked", large: []int{0}, step: larger, blocked: true, during: func(c *shardedCluster) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.callFault = lost(2)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inShardedSimulation(t, func(t *testing.T, c *shardedCluster) {
				c.setQuota(12)
				c.taskDuration = 0 // an hour
				c.submitTeam(1, "lasting0", 1, lasting)
				c.waitFor("the long-running task runs", func() bool { return c.running() == 1 })
				c.taskDuration = 1200 * time.Millisecond
				for _, index := range tc.large {
					first, step := quotaStep(1), tc.step
					step.DependsOn = []int{0}
					c.submitTeam(index, fmt.Sprintf("large%03d", index), 1, first, step)
				}
				time.Sleep(500 * time.Millisecond)
				c.setQuotaAmount(worker.Resources{MilliCPU: quotaCPU})
				c.waitFor("the first steps have ended", func() bool { return c.usedByTeam() == 1000 })
				defer c.watchOverdrafts(quotaCPU)()
				begin := time.Now()
				if tc.during != nil {
					tc.during(c)
				}
				if tc.blocked {
					time.Sleep(4 * time.Second)
					small := time.Now()
					c.submitTeam(1, "small001", 1, api.Step{Count: 1, MilliCPU: 100})
					c.waitFor("other work of the team ends", func() bool { return c.completed(1, "small001") })
					require.Less(t, time.Since(small), maxWaitWithCapacity+c.taskDuration)
					return
				}
				for _, index := range tc.large {
					c.waitFor("the large job has ended", func() bool { return c.completed(index, fmt.Sprintf("large%03d", index)) })
				}
				if len(tc.large) == 1 {
					require.Less(t, time.Since(begin), time.Duration(tc.step.Count)*(maxWaitWithCapacity+c.taskDuration))
				}
				c.submitTeam(1, "small002", 1, quotaStep(1))
				c.waitFor("other work runs after that", func() bool { return c.completed(1, "small002") })
			})
		})
	}
}
