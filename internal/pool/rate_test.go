package pool

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/shard"
)

// Guards against jobs that count as beyond the rate of a team which keeps to it, and
// against a team that gets more than its rate by its timing or by the number of shards.
func TestTakeFromRate(t *testing.T) {
	for _, c := range []struct {
		name   string
		weight float64
		shards int
		// send is how many jobs arrive at once, every so often, and within how many of
		// them are to be within the rate.
		send, times int
		every       time.Duration
		within      int
	}{
		{"steadily at its rate", 10, 1, 1, 100, 100 * time.Millisecond, 100},
		{"the jobs of two seconds at once, every two seconds", 10, 1, 20, 5, 2 * time.Second, 100},
		{"at six times its rate for 10 s: 10 s and one burst of 29", 10, 1, 6, 100, 100 * time.Millisecond, 129},
		{"a whole day's jobs at once: one burst", 10, 1, 500, 1, 0, 29},
		{"less than a job a second", 0.2, 1, 1, 10, 5 * time.Second, 10},
		{"its part of the rate in one of four shards", 10, 4, 5, 10, 2 * time.Second, 50},
		{"the whole rate in one of four shards, for 20 s", 10, 4, 20, 10, 2 * time.Second, 55},
		{"no weight", 0, 1, 1, 5, time.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := overloadedPool(0, 0)
			p.opts.Shard.Count = c.shards
			p.opts.Teams = fixedTeams(map[string]float64{"a": c.weight, "other": 1})
			now, within := time.Now(), 0
			for range c.times {
				for range c.send {
					if p.takeFromRate("a", now) {
						within++
					}
				}
				now = now.Add(c.every)
			}
			require.InDelta(t, c.within, within, 1)
			require.True(t, p.takeFromRate("other", now), "another team has its own rate")
			require.True(t, p.takeFromRate("", now), "a job without a team has no rate")
			require.True(t, p.takeFromRate("not configured yet", now))
		})
	}
}

// Guards against a rate that stays in force after the weight of the team has changed.
func TestRateFollowsWeight(t *testing.T) {
	p, now := overloadedPool(0, 0), time.Now()
	take := func(weight float64) (within int) {
		p.opts.Teams = fixedTeams(map[string]float64{"a": weight})
		for range 100 {
			now = now.Add(100 * time.Millisecond)
			if p.takeFromRate("a", now) {
				within++
			}
		}
		return within
	}
	take(1) // empties the bucket
	require.InDelta(t, 10, take(1), 1)
	require.InDelta(t, 50, take(5), 1)
	require.InDelta(t, 10, take(1), 11, "at most the tokens that the former weight left")
}

// Guards against the excess of a team that counts as within its rate after a change of
// scheduler, against portions that use up the rate of their team, and against a change
// of the records of jobs without a team.
func TestBeyondRateIsStored(t *testing.T) {
	inSimulation(t, 1, func(t *testing.T, tc *testCluster) {
		tc.pool.opts.Teams = fixedTeams(map[string]float64{"a": 0.01})
		tc.team = "a"
		tc.submit("first", smallStep)
		tc.submit("second", smallStep)
		portion := shard.Portion{Offset: 1, Count: 2}
		tc.define("portion", &api.Job{Steps: []api.Step{withCount(smallStep, 2)}})
		require.NoError(t, tc.pool.SubmitPortion(t.Context(), "portion", tc.queue, "a", tc.spec("portion"), portion))
		tc.team = ""
		tc.submit("without", smallStep)
		tc.stop()
		tc.takeOver(0)
		tc.pool.mu.Lock()
		defer tc.pool.mu.Unlock()
		beyond := make(map[string]bool)
		for id, j := range tc.pool.jobs {
			beyond[id] = j.beyondRate
		}
		require.Equal(t, map[string]bool{"first": false, "second": true, "portion": false, "without": false}, beyond)
		var fields map[string]any
		record, err := newJob("x", cell.Queue{}, "", &api.Job{}, time.Now()).record(defaultMaxRecordBytes)
		require.NoError(t, err)
		require.NoError(t, json.Unmarshal(record.Value, &fields))
		require.NotContains(t, fields, "beyond_rate")
		require.Len(t, fields, 3)
	})
}

// Guards against a team that has the work of less urgent queues stopped by sending more
// than its rate. The load: a less urgent job with checkpoints fills all workers, and a
// team of one job in 100 s sends two urgent ones.
func TestNothingIsStoppedForJobsBeyondTheRate(t *testing.T) {
	inSimulation(t, 2, func(t *testing.T, tc *testCluster) {
		tc.pool.opts.Teams = fixedTeams(map[string]float64{"a": 0.01})
		tc.taskDuration = 5 * time.Second
		tc.queue.Priority = 2
		low := smallStep
		low.Checkpointable = true
		tc.submit("low", withCount(low, 24))
		tc.waitFor("all workers are full", func() bool { return len(tc.running("low")) == 8 })
		tc.queue.Priority, tc.queue.Stretch, tc.queue.TargetLatency = 1, 1, 0
		tc.team = "a"
		tc.submit("within", smallStep)
		tc.submit("beyond", smallStep)
		tc.waitFor("a task is stopped for the first job", func() bool { return len(tc.running("within")) == 1 })
		begin := time.Now()
		require.Len(t, tc.running("low"), 7)
		tc.waitFor("the second job runs", func() bool { return len(tc.running("beyond")) == 1 })
		require.Greater(t, time.Since(begin), 2*time.Second, "it waits for the end of a task")
		stopped := 0
		for i := range 8 {
			if tc.recorder.Starts(api.TaskName{Job: "low", Index: i}.String()) > 1 {
				stopped++
			}
		}
		require.LessOrEqual(t, stopped, 1)
		tc.waitForState("low", api.JobCompleted)
	})
}
