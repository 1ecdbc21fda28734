package pool

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/testr"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/cell/celltest"
	"github.com/laburnumpass/laburnumpass/internal/lead"
	"github.com/laburnumpass/laburnumpass/internal/shard"
	"github.com/laburnumpass/laburnumpass/internal/store"
	"github.com/laburnumpass/laburnumpass/internal/store/storetest"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

const spreadShardCount, workersPerSpreadShard = 3, 4

// shardedCluster is a service in several shards in simulated time, without a network.
// Its schedulers call each other directly.
type shardedCluster struct {
	t        *testing.T
	store    *storetest.Memory
	recorder *celltest.RunRecorder
	workers  map[string]*celltest.Worker
	// taskDuration is how long tasks run, an hour if it is zero.
	taskDuration time.Duration

	mu sync.Mutex
	// teams are those of the configuration.
	teams  map[string]cell.Team
	pools  map[int]*Pool
	stops  map[int]func()
	epochs map[int]int64
	// callFault, if not nil, fails a call between shards. lost reports that the call
	// is executed nevertheless.
	callFault func(what string, to int) (fail, lost bool)
}

func inShardedSimulation(t *testing.T, test func(t *testing.T, c *shardedCluster)) {
	synctest.Test(t, func(t *testing.T) {
		base := time.Now()
		defer cell.SetBootClock(func() time.Duration { return time.Since(base) })()
		lifetime, cancel := context.WithCancel(context.Background())
		c := &shardedCluster{
			t: t, store: &storetest.Memory{Latency: 4 * time.Millisecond}, recorder: celltest.NewRunRecorder(), workers: make(map[string]*celltest.Worker),
			pools: make(map[int]*Pool), stops: make(map[int]func()), epochs: make(map[int]int64),
		}
		var records []store.Record
		for rack := range spreadShardCount {
			for n := range workersPerSpreadShard {
				id := fmt.Sprintf("w%d-%d", rack, n)
				w := &celltest.Worker{
					Entry:    cell.WorkerEntry{ID: id, Service: testService, Address: id, Capacity: worker.Resources{MilliCPU: 4000}, Labels: []string{"a", fmt.Sprint("r-", rack)}},
					Recorder: c.recorder, MaxLease: testMaxLease,
					Demand:   func(string) worker.Resources { return worker.Resources{MilliCPU: 1000} },
					Duration: func(string) time.Duration { return cmp.Or(c.taskDuration, time.Hour) },
				}
				w.Boot(lifetime)
				c.workers[id] = w
				value, err := json.Marshal(w.Entry)
				require.NoError(t, err)
				records = append(records, store.Record{Key: id, Value: value})
			}
		}
		_, err := c.store.Append(t.Context(), store.Append{Topic: testWorkersTopic, Records: records})
		require.NoError(t, err)
		for index := range spreadShardCount {
			c.start(index)
		}
		defer func() {
			for _, stop := range c.stops {
				stop()
			}
			cancel()
			time.Sleep(2 * celltest.RequestDelay)
			require.Empty(t, c.recorder.Violations())
		}()
		test(t, c)
	})
}

// start starts the next scheduler of a shard.
func (c *shardedCluster) start(index int) {
	c.epochs[index]++
	ctx, cancel := context.WithCancel(context.Background())
	term := lead.NewTerm(c.epochs[index], cancel)
	go func() {
		for ctx.Err() == nil {
			term.Confirm(cell.BootTime())
			time.Sleep(100 * time.Millisecond)
		}
	}()
	s := shard.All(testService, spreadShardCount)[index]
	p := New(Options{
		Shard: s, Host: fmt.Sprint("host-", index), Store: c.store, Topic: "jobs." + s.String(), WorkersTopic: testWorkersTopic,
		DecodeWorker: func(id string, value []byte) (*cell.WorkerEntry, error) {
			entry := new(cell.WorkerEntry)
			return entry, json.Unmarshal(value, entry)
		},
		Connect: func(id, _ string) Client { return c.workers[id].Connect() }, Hosts: func() []string { return nil }, Shards: c,
		Teams: c.currentTeams, Lenders: c,
		MaxLease: testMaxLease, Retention: 2 * time.Minute, Log: testr.New(c.t),
	}, term)
	done := make(chan struct{})
	go func() {
		defer close(done)
		require.NoError(c.t, p.Run(ctx))
	}()
	c.mu.Lock()
	c.pools[index], c.stops[index] = p, func() { cancel(); <-done; synctest.Wait() }
	c.mu.Unlock()
	c.waitFor("the scheduler has loaded its state", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.loaded
	})
}

func (c *shardedCluster) pool(index int) *Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pools[index]
}

func (c *shardedCluster) call(what string, to shard.Shard, do func(*Pool) error) error {
	c.mu.Lock()
	callFault := c.callFault
	c.mu.Unlock()
	if callFault != nil {
		if fail, lost := callFault(what, to.Index); fail {
			if lost {
				_ = do(c.pool(to.Index)) // the reply is lost
			}
			return errors.New("injected")
		}
	}
	return do(c.pool(to.Index))
}

// SubmitPortion implements Shards.
func (c *shardedCluster) SubmitPortion(ctx context.Context, to shard.Shard, id string, queue cell.Queue, team string, spec *api.Job, portion shard.Portion) error {
	return c.call("submit", to, func(p *Pool) error { return p.SubmitPortion(ctx, id, queue, team, spec, portion) })
}

// CancelPortion implements Shards.
func (c *shardedCluster) CancelPortion(ctx context.Context, to shard.Shard, id string) error {
	return c.call("cancel", to, func(p *Pool) error { return p.CancelPortion(ctx, id) })
}

// PortionState implements Shards.
func (c *shardedCluster) PortionState(_ context.Context, to shard.Shard, id string) (state api.JobState, err error) {
	err = c.call("state", to, func(p *Pool) error {
		state, _, err = p.State(id)
		return err
	})
	return state, err
}

func (c *shardedCluster) waitFor(what string, condition func() bool) {
	c.t.Helper()
	for begin := time.Now(); time.Since(begin) < eventTimeout; time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	require.Fail(c.t, "did not happen within eventTimeout: "+what)
}

func (c *shardedCluster) running() int {
	count := 0
	for _, w := range c.workers {
		count += len(w.Running())
	}
	return count
}

// Guards against a long-running job that has more tasks than its shard has workers
// that may run them: its tasks must run on the workers of all shards, once each, and
// none may run on after its cancellation, whatever fails meanwhile.
func TestLongRunningJobIsSpread(t *testing.T) {
	const tasks = spreadShardCount * workersPerSpreadShard
	replace := func(c *shardedCluster, index int) {
		c.stops[index]()
		time.Sleep(time.Second)
		c.start(index)
	}
	firstCallsFail := func(lost bool) func(*shardedCluster) {
		return func(c *shardedCluster) {
			calls := make(map[string]int)
			c.callFault = func(what string, to int) (bool, bool) {
				c.mu.Lock()
				defer c.mu.Unlock()
				key := fmt.Sprint(what, to)
				calls[key]++
				return calls[key] <= 2, lost
			}
		}
	}
	for _, tc := range []struct {
		name                          string
		before, running, aftercancels func(c *shardedCluster)
	}{
		{"no fault", nil, nil, nil},
		{"calls fail", firstCallsFail(false), nil, nil},
		{"replies are lost", firstCallsFail(true), nil, nil},
		{"the home shard changes its scheduler", nil, func(c *shardedCluster) { replace(c, 0) }, nil},
		{"another shard changes its scheduler", nil, func(c *shardedCluster) { replace(c, 1) }, nil},
		{"all change their schedulers", nil, func(c *shardedCluster) {
			for index := range spreadShardCount {
				c.stops[index]()
			}
			for index := range spreadShardCount {
				c.start(index)
			}
		}, nil},
		{"the home shard changes its scheduler while it cancels", func(c *shardedCluster) {
			c.callFault = func(what string, _ int) (bool, bool) { return what == "cancel", false }
		}, nil, func(c *shardedCluster) {
			c.stops[0]()
			c.callFault = nil
			c.start(0)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inShardedSimulation(t, func(t *testing.T, c *shardedCluster) {
				if tc.before != nil {
					tc.before(c)
				}
				queue := cell.Queue{Name: "q", Service: testService, MaxAttempts: 2, Stretch: 2}
				spec := &api.Job{Payload: "p", Steps: []api.Step{{Count: tasks, MilliCPU: 1000, LongRunning: true, MaxPerWorker: 1}}}
				require.NoError(t, c.pool(0).Submit(t.Context(), "a", queue, "", spec))
				c.waitFor("all tasks run", func() bool { return c.running() == tasks })
				if tc.running != nil {
					tc.running(c)
					c.waitFor("all tasks run", func() bool { return c.running() == tasks })
				}
				time.Sleep(3 * time.Second)
				for n := range tasks {
					require.Equal(t, 1, c.recorder.Starts(fmt.Sprintf("a.0.0.%d", n)), "starts of task %d", n)
				}
				pending, err := c.pool(1).Pending("q")
				require.NoError(t, err)
				require.Zero(t, pending, "a portion is no job of its own")
				known, err := c.pool(0).Cancel(t.Context(), "a")
				require.NoError(t, err)
				require.True(t, known)
				if tc.aftercancels != nil {
					tc.aftercancels(c)
				}
				c.waitFor("nothing runs", func() bool { return c.running() == 0 })
				c.waitFor("the job has ended", func() bool {
					c.pool(0).mu.Lock()
					defer c.pool(0).mu.Unlock()
					return c.pool(0).jobs["a"].state == api.JobCancelled
				})
				time.Sleep(5 * time.Second)
				require.Zero(t, c.running())
			})
		})
	}
}

// Guards against a portion that starts after its job was cancelled, because the
// request to submit it arrives after the one to cancel it.
func TestCancelledPortionIsNotAccepted(t *testing.T) {
	inShardedSimulation(t, func(t *testing.T, c *shardedCluster) {
		spec := &api.Job{Payload: "p", Steps: []api.Step{{Count: 12, MilliCPU: 1000, LongRunning: true}}}
		require.NoError(t, c.pool(1).CancelPortion(t.Context(), "a"))
		c.stops[1]()
		c.start(1)
		require.NoError(t, c.pool(1).SubmitPortion(t.Context(), "a", cell.Queue{Name: "q", Service: testService}, "", spec, shard.Portion{Offset: 1, Count: spreadShardCount}))
		time.Sleep(3 * time.Second)
		require.Zero(t, c.running())
	})
}

// Guards against a spread job that goes on, or that its caller sees as running, after a
// portion of it was given up.
func TestSpreadJobFailsWithItsPortion(t *testing.T) {
	for _, bad := range []int{0, 1} {
		t.Run(fmt.Sprint("task ", bad), func(t *testing.T) {
			inShardedSimulation(t, func(t *testing.T, c *shardedCluster) {
				for _, w := range c.workers {
					w.Crashes = func(task string) bool { return task == fmt.Sprintf("a.0.0.%d", bad) }
				}
				spec := &api.Job{Payload: "p", Steps: []api.Step{{Count: 12, MilliCPU: 1000, LongRunning: true}}}
				require.NoError(t, c.pool(0).Submit(t.Context(), "a", cell.Queue{Name: "q", Service: testService, MaxAttempts: 2}, "", spec))
				c.waitFor("the job has failed", func() bool {
					state, _, err := c.pool(0).State("a")
					return err == nil && state == api.JobFailed
				})
				c.waitFor("nothing runs", func() bool { return c.running() == 0 })
				c.stops[0]()
				c.start(0)
				time.Sleep(2 * portionCheckInterval)
				require.Zero(t, c.running())
				state, _, err := c.pool(0).State("a")
				require.NoError(t, err)
				require.Equal(t, api.JobFailed, state)
				require.LessOrEqual(t, c.recorder.Starts(fmt.Sprintf("a.0.0.%d", bad)), 3)
			})
		})
	}
}

// Only jobs whose tasks are independent and that never complete may be spread: the
// others depend on a common end.
func TestSpreads(t *testing.T) {
	lasting := api.Step{Count: 12, LongRunning: true}
	gang, dependent, small := lasting, lasting, lasting
	gang.Gang, dependent.DependsOn, small.Count = true, []int{0}, minSpreadTasks-1
	for _, c := range []struct {
		name   string
		shards int
		spec   api.Job
		want   bool
	}{
		{"long-running", 3, api.Job{Steps: []api.Step{lasting}}, true},
		{"a service that is not split", 1, api.Job{Steps: []api.Step{lasting}}, false},
		{"few tasks", 3, api.Job{Steps: []api.Step{small}}, false},
		{"gang", 3, api.Job{Steps: []api.Step{gang}}, false},
		{"a step that depends on another", 3, api.Job{Steps: []api.Step{lasting, dependent}}, false},
		{"tasks that end", 3, api.Job{Steps: []api.Step{{Count: 12}}}, false},
		{"occurrences", 3, api.Job{Steps: []api.Step{lasting}, Occurrences: 2}, false},
	} {
		p := New(Options{Shard: shard.Shard{Service: testService, Count: c.shards}, Shards: &shardedCluster{}}, lead.NewTerm(1, func() {}))
		require.Equal(t, c.want, p.spreads(&c.spec), c.name)
	}
}
