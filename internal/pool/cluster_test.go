package pool

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/testr"
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

const (
	testService      = "desk"
	testWorkersTopic = "workers"
	testJobsTopic    = "jobs"
	testMaxLease     = 6 * time.Second
	// eventTimeout is the longest simulated time to wait for an event.
	eventTimeout = 40 * time.Second
)

// testCluster is a service with workers and a store in simulated time, without
// a network.
type testCluster struct {
	t        *testing.T
	store    *storetest.Memory
	recorder *celltest.RunRecorder
	queue    cell.Queue
	// maxRecordBytes and maxAppendBytes are options of the next scheduler.
	maxRecordBytes, maxAppendBytes int
	// team is the team of submitted jobs, empty for none.
	team string
	// teams are the configured teams, none at first.
	teams *testTeams
	// maxLease is the longest lease that workers grant.
	maxLease time.Duration

	mu      sync.Mutex
	workers map[string]*celltest.Worker
	specs   map[string]*api.Job
	// taskDuration is how long tasks run.
	taskDuration time.Duration
	// advisor, if not nil, replaces the policy service. It returns how long a call
	// takes beyond what its queue says, and the approvals.
	advisor func(step string, workers []string) (time.Duration, []cell.Approval)
	// denied holds the workers on which the policy forbids all steps.
	denied map[string]bool
	// adviceStarted and adviceDone count the calls for advice that have begun
	// and ended.
	adviceStarted, adviceDone int

	// lifetime is cancelled when the test ends.
	lifetime context.Context
	epoch    int64
	pool     *Pool
	cancel   context.CancelFunc
	done     chan struct{}
	// abandoned stop the schedulers that went on after another one took over.
	abandoned []func()
	// holder is the record of the newest scheduler that claim has started, nil if there is
	// none, and term its term.
	holder *lead.Holder
	term   *lead.Term
	// stoppedAt is the reading of the boot clock when stop last returned.
	stoppedAt time.Duration
	// link connects the newest scheduler. cutForNext holds the workers that the next one
	// does not reach, and formerForNext makes it be of a former version.
	link          *schedulerLink
	cutForNext    map[string]bool
	formerForNext bool
	// startOutOfTouch, if not nil, is called before a start request is carried out for a
	// scheduler that is not in touch.
	startOutOfTouch func(task string, run int)
}

// inSimulation runs a test on a testCluster in simulated time.
func inSimulation(t *testing.T, workers int, test func(t *testing.T, tc *testCluster)) {
	inSimulationWithLease(t, workers, testMaxLease, test)
}

// inSimulationWithLease does so with workers that grant leases of up to maxLease.
func inSimulationWithLease(t *testing.T, workers int, maxLease time.Duration, test func(t *testing.T, tc *testCluster)) {
	synctest.Test(t, func(t *testing.T) {
		base := time.Now()
		restore := cell.SetBootClock(func() time.Duration { return time.Since(base) })
		defer restore()
		lifetime, cancel := context.WithCancel(context.Background())
		tc := &testCluster{
			t: t, lifetime: lifetime, maxLease: maxLease, store: &storetest.Memory{Latency: 4 * time.Millisecond}, recorder: celltest.NewRunRecorder(),
			queue:   cell.Queue{Name: "q", Service: testService, MaxAttempts: 2, Stretch: 2, TargetLatency: time.Second},
			workers: make(map[string]*celltest.Worker), specs: make(map[string]*api.Job),
			taskDuration: time.Second, denied: make(map[string]bool), teams: newTestTeams(),
		}
		tc.recorder.Copies = func(task string) bool { return allowsCopies(tc.step(task)) }
		for n := range workers {
			tc.addWorker(fmt.Sprintf("w%02d", n), worker.Resources{MilliCPU: 4000, MemoryMiB: 8192, Accelerators: 2})
		}
		defer func() {
			tc.stop()
			for _, stop := range tc.abandoned {
				stop()
			}
			cancel()
			time.Sleep(2 * celltest.RequestDelay) // wait for late requests and calls in flight
			require.Empty(t, tc.recorder.Violations())
		}()
		tc.takeOver(0)
		test(t, tc)
	})
}

func (tc *testCluster) addWorker(id string, capacity worker.Resources) *celltest.Worker {
	n := tc.bootWorker(id, capacity)
	tc.publish(id)
	return n
}

// bootWorker starts a worker that is not in the registry.
func (tc *testCluster) bootWorker(id string, capacity worker.Resources) *celltest.Worker {
	n := &celltest.Worker{
		Entry:    cell.WorkerEntry{ID: id, Service: testService, Address: id, Capacity: capacity, Labels: []string{"kind", "rack-" + id[len(id)-1:]}},
		Recorder: tc.recorder, MaxLease: tc.maxLease,
		Demand: func(task string) worker.Resources {
			s := tc.step(task)
			return (&step{spec: s}).need()
		},
		Duration: func(task string) time.Duration {
			if tc.step(task).LongRunning {
				return time.Hour
			}
			tc.mu.Lock()
			defer tc.mu.Unlock()
			return tc.taskDuration
		},
	}
	n.Recovered = func() { tc.publish(id) }
	n.Boot(tc.lifetime)
	tc.mu.Lock()
	tc.workers[id] = n
	tc.mu.Unlock()
	return n
}

// step returns the step to which a task belongs.
func (tc *testCluster) step(task string) *api.Step {
	name, err := parseTask(task)
	require.NoError(tc.t, err)
	tc.mu.Lock()
	defer tc.mu.Unlock()
	return &tc.specs[name.Job].Steps[name.Step]
}

func (tc *testCluster) worker(id string) *celltest.Worker {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	return tc.workers[id]
}

// publish writes a worker's entry to the registry. It removes that of a worker that has
// left.
func (tc *testCluster) publish(id string) {
	tc.appendEntry(func() store.Record {
		if tc.worker(id).Left() {
			return store.Record{Key: id}
		}
		value, err := json.Marshal(tc.worker(id).Entry)
		require.NoError(tc.t, err)
		return store.Record{Key: id, Value: value}
	})
}

func (tc *testCluster) unpublish(id string) {
	tc.appendEntry(func() store.Record { return store.Record{Key: id} })
}

// appendEntry writes to the registry and repeats the call while the store has a
// fault, as workers do. Each call writes what the record is then.
func (tc *testCluster) appendEntry(record func() store.Record) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		_, err := tc.store.Append(ctx, store.Append{Topic: testWorkersTopic, Records: []store.Record{record()}})
		cancel()
		if err == nil || tc.lifetime.Err() != nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// takeOver starts a new scheduler without notifying the previous one, which has stopped.
// Earlier ones may extend leases for renewalWindow.
func (tc *testCluster) takeOver(renewalWindow time.Duration) {
	tc.epoch++
	ctx, cancel := context.WithCancel(context.Background())
	tc.runScheduler(ctx, lead.NewTerm(tc.epoch, cancel, predecessorsFor(renewalWindow)...), cancel)
}

// predecessorsFor returns a predecessor that stops now and one that may extend leases for
// the given time.
func predecessorsFor(renewalWindow time.Duration) []lead.Predecessor {
	now := cell.BootTime()
	return []lead.Predecessor{
		{ConfirmedAt: now, StoppedAt: now},
		{ConfirmedAt: now + renewalWindow - lead.MaxConfirmationAge, StoppedAt: lead.NotStopped},
	}
}

// runScheduler starts a scheduler for a term and waits until it has loaded its state.
func (tc *testCluster) runScheduler(ctx context.Context, term *lead.Term, cancel context.CancelFunc) {
	tc.launchScheduler(ctx, term, cancel, func(link *schedulerLink) {
		for ctx.Err() == nil && link.confirm(term) {
			time.Sleep(100 * time.Millisecond)
		}
	})
	tc.waitFor("the scheduler has loaded its state", tc.loaded)
}

// loaded reports whether the newest scheduler has loaded its state.
func (tc *testCluster) loaded() bool {
	p := tc.currentPool()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loaded
}

// launchScheduler starts a scheduler for a term. keepRenewed stands in for the election,
// which confirms the term.
func (tc *testCluster) launchScheduler(ctx context.Context, term *lead.Term, cancel context.CancelFunc, keepRenewed func(*schedulerLink)) {
	link := newSchedulerLink(tc.epoch, tc.cutForNext)
	link.former = tc.formerForNext
	link.startOutOfTouch = func(task string, run int) {
		if tc.startOutOfTouch != nil {
			tc.startOutOfTouch(task, run)
		}
	}
	tc.link = link
	go keepRenewed(link)
	p := New(Options{
		Shard: shard.Whole(testService), SpeculativeCopies: true, Host: fmt.Sprintf("host-%d", tc.epoch), Store: link.connectStore(tc.store), Topic: testJobsTopic, MaxRecordBytes: tc.maxRecordBytes, MaxAppendBytes: tc.maxAppendBytes, WorkersTopic: testWorkersTopic,
		DecodeWorker: func(id string, value []byte) (*cell.WorkerEntry, error) {
			entry := new(cell.WorkerEntry)
			return entry, json.Unmarshal(value, entry)
		},
		Connect:          func(id, _ string) Client { return link.connectWorker(id, tc.worker(id).Connect()) },
		RequestApprovals: tc.advise, Hosts: func() []string { return []string{"h1", "h2", "h3"} },
		Teams: tc.teams.current, Lenders: tc.teams,
		MaxLease: tc.maxLease, Retention: 2 * time.Minute, Log: testr.New(tc.t),
	}, term)
	done := make(chan struct{})
	go func() {
		defer close(done)
		require.NoError(tc.t, p.Run(ctx))
	}()
	tc.mu.Lock()
	tc.pool = p
	tc.mu.Unlock()
	tc.cancel, tc.done = cancel, done
}

// currentPool returns the newest scheduler.
func (tc *testCluster) currentPool() *Pool {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	return tc.pool
}

// setDraining changes whether a worker's entry says that it drains.
func (tc *testCluster) setDraining(id string, draining bool) {
	tc.mu.Lock()
	tc.workers[id].Entry.Draining = draining
	tc.mu.Unlock()
	tc.publish(id)
}

// abandon leaves the scheduler running while another one takes over. It is
// stopped when the test ends.
func (tc *testCluster) abandon() {
	cancel, done := tc.cancel, tc.done
	tc.abandoned = append(tc.abandoned, func() { cancel(); <-done })
}

// stop ends the scheduler as if its process were killed.
func (tc *testCluster) stop() {
	tc.cancel()
	<-tc.done
	synctest.Wait()
	tc.stoppedAt = cell.BootTime()
}

func (tc *testCluster) advise(_ context.Context, _, step string, workers []string, expected time.Duration) ([]cell.Approval, time.Duration, error) {
	if tc.advisor != nil {
		extra, approvals := tc.advisor(step, workers)
		time.Sleep(expected + extra)
		return approvals, 0, nil
	}
	tc.mu.Lock()
	tc.adviceStarted++
	decide := tc.queue.Policy.DecisionTime
	tc.mu.Unlock()
	time.Sleep(decide)
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.adviceDone++
	var approvals []cell.Approval
	for _, id := range workers {
		if !tc.denied[id] {
			approvals = append(approvals, cell.Approval{Worker: id, Ticket: celltest.TicketFor(step+".0", id)})
		}
	}
	return approvals, 0, nil
}

// define sets what trySubmit submits under an ID.
func (tc *testCluster) define(id string, job *api.Job) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.specs[id] = job
}

func (tc *testCluster) spec(id string) *api.Job {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	return tc.specs[id]
}

// submit submits a job and requires that it is accepted.
func (tc *testCluster) submit(id string, steps ...api.Step) {
	tc.define(id, &api.Job{Payload: "p", Steps: steps})
	require.NoError(tc.t, tc.trySubmit(id))
}

func (tc *testCluster) trySubmit(id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	spec := tc.spec(id)
	team, queue := tc.teams.of(id, tc.team, tc.queue)
	return tc.currentPool().Submit(ctx, id, queue, team, spec)
}

func (tc *testCluster) state(id string) api.JobState {
	state, known, err := tc.pool.State(id)
	if err != nil || !known {
		return ""
	}
	return state
}

// waitFor waits in simulated time until the condition holds and fails the test
// after eventTimeout.
func (tc *testCluster) waitFor(what string, condition func() bool) {
	tc.t.Helper()
	for begin := time.Now(); time.Since(begin) < eventTimeout; time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	require.Fail(tc.t, "did not happen within eventTimeout: "+what)
}

func (tc *testCluster) waitForState(id string, state api.JobState) {
	tc.t.Helper()
	tc.waitFor(fmt.Sprintf("%s is %s", id, state), func() bool { return tc.state(id) == state })
}

// running returns the running tasks of a job with their workers.
func (tc *testCluster) running(job string) map[string]string {
	tc.mu.Lock()
	workers := make([]*celltest.Worker, 0, len(tc.workers))
	for _, n := range tc.workers {
		workers = append(workers, n)
	}
	tc.mu.Unlock()
	tasks := make(map[string]string)
	for _, n := range workers {
		for _, task := range n.Running() {
			if name, err := parseTask(task); err == nil && name.Job == job {
				tasks[task] = n.Entry.ID
			}
		}
	}
	return tasks
}

// workersOf returns the workers on which a job runs, sorted.
func (tc *testCluster) workersOf(job string) []string {
	var ids []string
	for _, id := range tc.running(job) {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

var smallStep = api.Step{Count: 1, MilliCPU: 1000, MemoryMiB: 100}

// withCount returns the step with that number of tasks.
func withCount(s api.Step, count int) api.Step {
	s.Count = count
	return s
}
