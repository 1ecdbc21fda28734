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
	"github.com/laburnumpass/laburnumpass/internal/store"
	"github.com/laburnumpass/laburnumpass/internal/store/storetest"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

const (
	testService  = "desk"
	testWorkers  = "workers"
	testTopic    = "jobs"
	testMaxLease = 6 * time.Second
	// patience bounds the simulated time in which something must happen.
	patience = 40 * time.Second
)

// world is a service with workers and a store, without a network, in
// simulated time.
type world struct {
	t      *testing.T
	store  *storetest.Memory
	ledger *celltest.Ledger
	queue  cell.Queue

	mu      sync.Mutex
	workers map[string]*celltest.Worker
	specs   map[string]*api.Job
	// took is how long tasks run.
	took time.Duration
	// denied are workers that the policy does not allow.
	denied map[string]bool
	// asking counts the calls for advice that were begun, asked those that ended.
	asking, asked int

	// life ends with the test.
	life  context.Context
	epoch int64
	pool  *Pool
	end   context.CancelFunc
	done  chan struct{}
}

// inWorld runs a test in simulated time.
func inWorld(t *testing.T, workers int, test func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		base := time.Now()
		restore := cell.SetBootClock(func() time.Duration { return time.Since(base) })
		defer restore()
		life, kill := context.WithCancel(context.Background())
		w := &world{
			t: t, life: life, store: &storetest.Memory{Latency: 4 * time.Millisecond}, ledger: celltest.NewLedger(),
			queue:   cell.Queue{Name: "q", Service: testService, MaxAttempts: 2, Stretch: 2, Target: time.Second},
			workers: make(map[string]*celltest.Worker), specs: make(map[string]*api.Job),
			took: time.Second, denied: make(map[string]bool),
		}
		for n := range workers {
			w.addWorker(fmt.Sprintf("w%02d", n), worker.Resources{MilliCPU: 4000, MemoryMiB: 8192, Accelerators: 2})
		}
		defer func() {
			w.stop()
			kill()
			time.Sleep(2 * celltest.LateBy) // late orders and calls in progress end
			require.Empty(t, w.ledger.Violations())
		}()
		w.takeOver(0)
		test(t, w)
	})
}

func (w *world) addWorker(id string, capacity worker.Resources) *celltest.Worker {
	n := &celltest.Worker{
		Entry:  cell.WorkerEntry{ID: id, Service: testService, Address: id, Capacity: capacity, Labels: []string{"kind", "rack-" + id[len(id)-1:]}},
		Ledger: w.ledger, MaxLease: testMaxLease,
		Need: func(task string) worker.Resources {
			s := w.step(task)
			return (&step{spec: s}).need()
		},
		Duration: func(task string) time.Duration {
			if w.step(task).LongRunning {
				return time.Hour
			}
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.took
		},
	}
	n.Open(w.life)
	w.mu.Lock()
	w.workers[id] = n
	w.mu.Unlock()
	w.publish(id)
	return n
}

// step returns the step of a task.
func (w *world) step(task string) *api.Step {
	name, err := parseTask(task)
	require.NoError(w.t, err)
	w.mu.Lock()
	defer w.mu.Unlock()
	return &w.specs[name.Job].Steps[name.Step]
}

func (w *world) worker(id string) *celltest.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.workers[id]
}

// publish writes a worker's entry to the registry.
func (w *world) publish(id string) {
	value, err := json.Marshal(w.worker(id).Entry)
	require.NoError(w.t, err)
	w.register(store.Record{Key: id, Value: value})
}

func (w *world) unpublish(id string) { w.register(store.Record{Key: id}) }

func (w *world) register(r store.Record) {
	_, err := w.store.Append(context.Background(), store.Append{Topic: testWorkers, Records: []store.Record{r}})
	require.NoError(w.t, err)
}

// takeOver starts a new scheduler; the one before is not told.
func (w *world) takeOver(inherited time.Duration) {
	w.epoch++
	ctx, cancel := context.WithCancel(context.Background())
	term := lead.NewTerm(w.epoch, cancel)
	go func() {
		// The election confirms the term.
		for ctx.Err() == nil {
			term.Confirm(cell.BootTime())
			time.Sleep(100 * time.Millisecond)
		}
	}()
	p := New(Options{
		Service: testService, Host: fmt.Sprintf("host-%d", w.epoch), Store: w.store, Topic: testTopic, WorkersTopic: testWorkers,
		DecodeWorker: func(id string, value []byte) (*cell.WorkerEntry, error) {
			entry := new(cell.WorkerEntry)
			return entry, json.Unmarshal(value, entry)
		},
		Connect: func(id, _ string) Client { return w.worker(id) },
		Advise:  w.advise, Hosts: func() []string { return []string{"h1", "h2", "h3"} },
		MaxLease: testMaxLease, Retention: 2 * time.Minute, PredecessorRenewalWindow: inherited, Log: testr.New(w.t),
	}, term)
	done := make(chan struct{})
	go func() {
		defer close(done)
		require.NoError(w.t, p.Run(ctx))
	}()
	w.pool, w.end, w.done = p, cancel, done
	w.until("the scheduler is ready", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.loaded
	})
}

// stop ends the scheduler, as when its process is killed.
func (w *world) stop() {
	w.end()
	<-w.done
	synctest.Wait()
}

func (w *world) advise(_ context.Context, _, step string, workers []string, _ time.Duration) ([]cell.Approval, time.Duration, error) {
	w.mu.Lock()
	w.asking++
	decide := w.queue.Advice.Decide
	w.mu.Unlock()
	time.Sleep(decide)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asked++
	var approvals []cell.Approval
	for _, id := range workers {
		if !w.denied[id] {
			approvals = append(approvals, cell.Approval{Worker: id, Ticket: celltest.TicketFor(step+".0", id)})
		}
	}
	return approvals, 0, nil
}

// submit hands a job in and checks that it was accepted.
func (w *world) submit(id string, steps ...api.Step) {
	w.mu.Lock()
	w.specs[id] = &api.Job{Payload: "p", Steps: steps}
	w.mu.Unlock()
	require.NoError(w.t, w.trySubmit(id))
}

func (w *world) trySubmit(id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	w.mu.Lock()
	spec := w.specs[id]
	w.mu.Unlock()
	return w.pool.Submit(ctx, id, w.queue, spec)
}

func (w *world) state(id string) api.JobState {
	state, known, err := w.pool.State(id)
	if err != nil || !known {
		return ""
	}
	return state
}

// until waits in simulated time.
func (w *world) until(what string, holds func() bool) {
	w.t.Helper()
	for begin := time.Now(); time.Since(begin) < patience; time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	require.Fail(w.t, "did not happen: "+what)
}

func (w *world) untilState(id string, state api.JobState) {
	w.t.Helper()
	w.until(fmt.Sprintf("%s is %s", id, state), func() bool { return w.state(id) == state })
}

// running returns the tasks of a job that run, with their workers.
func (w *world) running(job string) map[string]string {
	w.mu.Lock()
	workers := make([]*celltest.Worker, 0, len(w.workers))
	for _, n := range w.workers {
		workers = append(workers, n)
	}
	w.mu.Unlock()
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

// workersOf returns the workers on which a job runs, in order.
func (w *world) workersOf(job string) []string {
	var ids []string
	for _, id := range w.running(job) {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

var small = api.Step{Count: 1, MilliCPU: 1000, MemoryMiB: 100}

// times returns the step with that many tasks.
func times(s api.Step, count int) api.Step {
	s.Count = count
	return s
}
