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

// Each case guards one promise about where and when tasks run. The ledger of
// the world fails the test on a task that runs twice, on an over-full worker
// and on a start after a cancellation.
func TestPlacement(t *testing.T) {
	for _, c := range []struct {
		name    string
		workers int
		run     func(t *testing.T, w *world)
	}{
		{"a step waits for the steps it depends on", 2, func(t *testing.T, w *world) {
			after := small
			after.DependsOn = []int{0}
			w.submit("a", times(small, 6), times(after, 2))
			w.until("the first step runs", func() bool { return len(w.running("a")) == 6 })
			require.Zero(t, w.ledger.Starts("a.0.1.0"))
			w.untilState("a", api.JobCompleted)
			require.Equal(t, 1, w.ledger.Starts("a.0.1.0"))
		}},
		{"more tasks than fit are run in turn", 1, func(t *testing.T, w *world) {
			w.submit("a", times(small, 10))
			w.untilState("a", api.JobCompleted)
		}},
		{"a gang starts only when all of it fits", 2, func(t *testing.T, w *world) {
			w.submit("a", times(small, 6))
			gang := api.Step{Count: 2, MilliCPU: 4000, MemoryMiB: 100, Gang: true}
			w.submit("g", gang)
			w.until("the first job is over", func() bool {
				if w.state("a") != api.JobCompleted {
					require.Empty(t, w.running("g"))
				}
				return w.state("a") == api.JobCompleted
			})
			w.until("the whole gang runs", func() bool { return len(w.running("g")) == 2 })
			w.untilState("g", api.JobCompleted)
		}},
		{"a bound for each worker spreads a step", 3, func(t *testing.T, w *world) {
			spread := times(small, 3)
			spread.MaxPerWorker = 1
			w.submit("a", spread)
			w.until("all run", func() bool { return len(w.running("a")) == 3 })
			require.Equal(t, []string{"w00", "w01", "w02"}, w.workersOf("a"))
		}},
		{"a required label is kept to", 3, func(t *testing.T, w *world) {
			labelled := small
			labelled.RequiredLabel = "rack-1"
			w.submit("a", labelled)
			w.until("it runs", func() bool { return len(w.running("a")) == 1 })
			require.Equal(t, []string{"w01"}, w.workersOf("a"))
		}},
		{"data draws tasks to its rack", 3, func(t *testing.T, w *world) {
			near := times(small, 3)
			near.PreferredRack = "rack-2"
			w.submit("a", near)
			w.until("all run", func() bool { return len(w.running("a")) == 3 })
			require.Equal(t, []string{"w02", "w02", "w02"}, w.workersOf("a"))
		}},
		{"a filler's processor time is not counted", 1, func(t *testing.T, w *world) {
			w.submit("a", times(small, 3))
			w.until("all run", func() bool { return len(w.running("a")) == 3 })
			filler := small
			filler.Filler = true
			w.submit("f", filler)
			w.until("the filler runs", func() bool { return len(w.running("f")) == 1 })
		}},
		{"a draining worker gets no new work", 2, func(t *testing.T, w *world) {
			w.worker("w00").Entry.Draining = true
			w.publish("w00")
			time.Sleep(time.Second)
			w.submit("a", times(small, 4))
			w.until("all run", func() bool { return len(w.running("a")) == 4 })
			require.NotContains(t, w.workersOf("a"), "w00")
		}},
		{"urgent work goes before work that came earlier", 1, func(t *testing.T, w *world) {
			w.submit("first", times(small, 4))
			w.queue.Priority = 2
			w.submit("late", times(small, 4))
			w.queue.Priority = 0
			w.submit("urgent", times(small, 4))
			w.until("the urgent job runs", func() bool { return w.ledger.Starts("urgent.0.0.3") == 1 })
			require.Zero(t, w.ledger.Starts("late.0.0.0"), "the less urgent job has to wait")
			w.untilState("late", api.JobCompleted)
		}},
		{"occurrences start when they are due", 1, func(t *testing.T, w *world) {
			first := time.Now().Add(2 * time.Second)
			w.specs["a"] = &api.Job{Steps: []api.Step{small}, Occurrences: 2, FirstRunUnixMS: first.UnixMilli(), IntervalMS: 3000}
			require.NoError(t, w.trySubmit("a"))
			time.Sleep(1900 * time.Millisecond)
			require.Empty(t, w.running("a"))
			w.until("the first occurrence runs", func() bool { return w.ledger.Starts("a.0.0.0") == 1 })
			require.Zero(t, w.ledger.Starts("a.1.0.0"))
			w.untilState("a", api.JobCompleted)
		}},
		{"a long-running task is started again when it fails", 2, func(t *testing.T, w *world) {
			lasting := small
			lasting.LongRunning = true
			w.submit("a", lasting)
			w.until("it runs", func() bool { return len(w.running("a")) == 1 })
			w.worker(w.workersOf("a")[0]).Restart()
			w.until("it runs again", func() bool { return w.ledger.Starts("a.0.0.0") == 2 })
			require.Equal(t, api.JobRunning, w.state("a"))
		}},
		{"a task that always fails is tried as often as its queue allows", 2, func(t *testing.T, w *world) {
			for _, n := range w.workers {
				n.Fails = func(string, int) bool { return true }
			}
			w.submit("a", times(small, 1))
			w.untilState("a", api.JobFailed)
			require.Equal(t, 2, w.ledger.Starts("a.0.0.0"))
		}},
		{"a submitted ID is one job", 1, func(t *testing.T, w *world) {
			w.submit("a", small)
			require.NoError(t, w.trySubmit("a"))
			w.untilState("a", api.JobCompleted)
			require.NoError(t, w.trySubmit("a"), "a copy that comes late is the same job")
			time.Sleep(3 * time.Second)
			require.Equal(t, 1, w.ledger.Starts("a.0.0.0"))
		}},
		{"jobs that have not begun are counted", 1, func(t *testing.T, w *world) {
			w.submit("a", times(small, 4))
			w.submit("b", small)
			w.submit("c", small)
			w.until("the first runs", func() bool { return len(w.running("a")) == 4 })
			count, err := w.pool.Pending("q")
			require.NoError(t, err)
			require.Equal(t, 2, count)
		}},
	} {
		t.Run(c.name, func(t *testing.T) { inWorld(t, c.workers, c.run) })
	}
}

// A step must only run where the policy allows it, with its ticket.
func TestAdvice(t *testing.T) {
	inWorld(t, 4, func(t *testing.T, w *world) {
		for _, n := range w.workers {
			n.RequireTickets = true
		}
		w.queue.Policy = &cell.PolicyService{DecisionTime: 50 * time.Millisecond, TimePerWorker: time.Millisecond, TicketLifetime: 2 * time.Second}
		w.denied["w00"], w.denied["w02"] = true, true
		w.submit("a", times(small, 20))
		w.untilState("a", api.JobCompleted)
		// 8 tasks fit at once and run for 1 s; tickets last 2 s.
		require.LessOrEqual(t, w.asked, 3, "approvals do not change, and denied workers are not asked about again")
	})
}

// Room must not stay idle during a long call for advice: at a high load that is
// a fifth of all accelerators. During a short call it is kept, or urgent work
// would find it taken each time.
func TestRoomDuringAdvice(t *testing.T) {
	for _, c := range []struct {
		name   string
		decide time.Duration
		used   bool
	}{
		{"long call", time.Second, true},
		{"short call", heldCall - 100*time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			inWorld(t, 2, func(t *testing.T, w *world) {
				plain := w.queue
				plain.Priority = 2
				w.mu.Lock()
				w.queue.Policy = &cell.PolicyService{DecisionTime: c.decide, TicketLifetime: 2 * time.Second}
				w.mu.Unlock()
				w.submit("urgent", api.Step{Count: 2, MilliCPU: 4000, Gang: true})
				w.until("advice is asked for", func() bool {
					w.mu.Lock()
					defer w.mu.Unlock()
					return w.asking == 1
				})
				w.mu.Lock()
				w.queue = plain
				w.mu.Unlock()
				w.submit("b", small)
				time.Sleep(150 * time.Millisecond)
				require.Equal(t, c.used, len(w.running("b")) == 1)
				w.untilState("urgent", api.JobCompleted)
				w.untilState("b", api.JobCompleted)
			})
		})
	}
}

// A lone free worker that the policy denies must not be asked about again and
// again while other steps need the policy service.
func TestAdviceIsNotRepeatedForDeniedWorkers(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		w.queue.Policy = &cell.PolicyService{DecisionTime: 50 * time.Millisecond, TicketLifetime: 2 * time.Second}
		w.denied["w00"], w.denied["w01"] = true, true
		w.submit("a", small)
		time.Sleep(10 * time.Second)
		require.Equal(t, 1, w.asked)
	})
}

// Placements that were stored late, after an outage of the store, must not be
// sent with tickets that workers reject.
func TestTicketExpires(t *testing.T) {
	now := time.Now()
	require.False(t, ticket{text: "t", until: now}.expired(now))
	require.True(t, ticket{text: "t", until: now.Add(-2 * ticketMargin)}.expired(now))
	require.False(t, ticket{}.expired(now), "a queue without advice")
}

// The room for a step must count what its tasks take, not what the worker has.
func TestNeed(t *testing.T) {
	filler := api.Step{MilliCPU: 3000, MemoryMiB: 10, Accelerators: 1, Filler: true}
	require.Equal(t, worker.Resources{MemoryMiB: 10, Accelerators: 1}, (&step{spec: &filler}).need())
}

// Under overload a pass must not try every waiting step: on a grown deployment
// passes over hundreds of steps took the scheduler's whole processor, so that
// tickets expired before the starts were sent.
func TestPassIsBounded(t *testing.T) {
	inWorld(t, 1, func(t *testing.T, w *world) {
		w.took = time.Minute
		for n := range 2 * maxTried {
			w.submit(fmt.Sprintf("j%03d", n), times(small, 4))
		}
		w.until("the worker is full", func() bool { return len(w.worker("w00").Running()) == 4 })
		w.pool.mu.Lock()
		defer w.pool.mu.Unlock()
		require.Equal(t, maxTried, w.pool.schedule(time.Now()))
	})
}
