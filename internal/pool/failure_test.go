package pool

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/cell/celltest"
	"github.com/laburnumpass/laburnumpass/internal/lead"
	"github.com/laburnumpass/laburnumpass/internal/store/storetest"
)

// Orders and answers at workers may be lost or carried out late.
func TestOrders(t *testing.T) {
	once := func(call string, fault celltest.Fault) func(string, string) celltest.Fault {
		var used atomic.Bool
		return func(c, _ string) celltest.Fault {
			if c == call && used.CompareAndSwap(false, true) {
				return fault
			}
			return celltest.None
		}
	}
	always := func(call string, fault celltest.Fault) func(string, string) celltest.Fault {
		return func(c, _ string) celltest.Fault {
			if c == call {
				return fault
			}
			return celltest.None
		}
	}
	for _, c := range []struct {
		name  string
		fault func(string, string) celltest.Fault
	}{
		{"a lost start is repeated", once("start", celltest.Lost)},
		{"the answer to a start is lost", once("start", celltest.AnswerLost)},
		{"a start is carried out late", once("start", celltest.Late)},
		{"all starts are carried out late", always("start", celltest.Late)},
		{"all answers to starts are lost", always("start", celltest.AnswerLost)},
		{"answers to holds are lost for a while", func() func(string, string) celltest.Fault {
			calls := 0
			return func(c, _ string) celltest.Fault {
				if c == "hold" && calls < 3 {
					calls++
					return celltest.AnswerLost
				}
				return celltest.None
			}
		}()},
	} {
		t.Run(c.name, func(t *testing.T) {
			inWorld(t, 2, func(t *testing.T, w *world) {
				w.worker("w00").SetFault(c.fault)
				w.submit("a", times(small, 6))
				time.AfterFunc(6*time.Second, func() { w.worker("w00").SetFault(nil) })
				w.untilState("a", api.JobCompleted)
			})
		})
	}
}

// What ran on a worker that cannot be reached may start elsewhere only when
// its lease has certainly run out.
func TestLostWorker(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(w *world, n *celltest.Worker)
	}{
		{"cut off and running on", func(_ *world, n *celltest.Worker) { n.Cut(true) }},
		{"cut off and taken from the registry", func(w *world, n *celltest.Worker) {
			n.Cut(true)
			w.unpublish(n.Entry.ID)
		}},
		{"restarted under its ID", func(_ *world, n *celltest.Worker) { n.Restart() }},
		{"cut off for a moment", func(_ *world, n *celltest.Worker) {
			n.Cut(true)
			time.AfterFunc(2*time.Second, func() { n.Cut(false) })
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			inWorld(t, 2, func(t *testing.T, w *world) {
				w.took = 8 * time.Second
				w.submit("a", times(small, 2))
				w.until("it runs", func() bool { return len(w.running("a")) == 2 })
				c.lose(w, w.worker(w.workersOf("a")[0]))
				w.untilState("a", api.JobCompleted)
			})
		})
	}
}

// A new scheduler must know every run of the ones before.
func TestTakeover(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(t *testing.T, w *world)
	}{
		{"running tasks go on", func(t *testing.T, w *world) {
			w.submit("a", times(small, 3))
			w.until("all run", func() bool { return len(w.running("a")) == 3 })
			w.stop()
			w.takeOver(lead.Bound)
			w.untilState("a", api.JobCompleted)
			require.Equal(t, 1, w.ledger.Starts("a.0.0.0"))
		}},
		{"the scheduler before goes on and is fenced", func(t *testing.T, w *world) {
			w.submit("a", times(small, 8))
			before, end, done := w.pool, w.end, w.done
			w.takeOver(lead.Bound)
			w.untilState("a", api.JobCompleted)
			_, _, err := before.State("a")
			require.Error(t, err, "a fenced scheduler does not answer")
			end()
			<-done
		}},
		{"ends of the time between are taken in", func(t *testing.T, w *world) {
			w.submit("a", times(small, 3))
			w.until("all run", func() bool { return len(w.running("a")) == 3 })
			w.stop()
			time.Sleep(2 * time.Second)
			w.takeOver(lead.Bound)
			w.untilState("a", api.JobCompleted)
			require.Equal(t, 1, w.ledger.Starts("a.0.0.0"))
		}},
		{"a cancelled job is not started again", func(t *testing.T, w *world) {
			w.took = time.Minute
			w.submit("a", times(small, 3))
			w.until("all run", func() bool { return len(w.running("a")) == 3 })
			known, err := w.pool.Cancel(t.Context(), "a")
			require.NoError(t, err)
			require.True(t, known)
			for _, task := range []string{"a.0.0.0", "a.0.0.1", "a.0.0.2"} {
				w.ledger.Forbid(task)
			}
			w.stop()
			w.takeOver(lead.Bound)
			w.untilState("a", api.JobCancelled)
			w.until("nothing runs", func() bool { return len(w.running("a")) == 0 })
			time.Sleep(10 * time.Second)
		}},
		{"a worker that cannot be reached keeps its tasks until its lease is over", func(t *testing.T, w *world) {
			w.took = 20 * time.Second
			w.submit("a", times(small, 2))
			w.until("all run", func() bool { return len(w.running("a")) == 2 })
			w.worker(w.workersOf("a")[0]).Cut(true)
			w.stop()
			w.takeOver(lead.Bound)
			w.untilState("a", api.JobCompleted)
		}},
		{"an ended job stays known and its records shrink", func(t *testing.T, w *world) {
			w.submit("a", times(small, 3))
			w.untilState("a", api.JobCompleted)
			w.stop()
			page, err := w.store.Newest(t.Context(), testTopic, "")
			require.NoError(t, err)
			require.Len(t, page.Records, 2, "the end of the job and the term")
			w.takeOver(0)
			require.Equal(t, api.JobCompleted, w.state("a"))
		}},
		{"failed attempts stay counted", func(t *testing.T, w *world) {
			for _, n := range w.workers {
				n.Fails = func(string, int) bool { return true }
			}
			w.submit("a", small)
			w.until("the second attempt runs", func() bool { return w.ledger.Starts("a.0.0.0") == 2 })
			w.stop()
			w.takeOver(0)
			w.untilState("a", api.JobFailed)
			require.Equal(t, 2, w.ledger.Starts("a.0.0.0"))
		}},
	} {
		t.Run(c.name, func(t *testing.T) { inWorld(t, 2, c.run) })
	}
}

// Without the store nothing may be promised, started or forgotten, and what
// runs goes on.
func TestStoreAway(t *testing.T) {
	away := func(f storetest.Fault) func(string, string) storetest.Fault {
		return func(string, string) storetest.Fault { return f }
	}
	for _, c := range []struct {
		name  string
		fault storetest.Fault
	}{
		{"refusing", storetest.Refuse}, {"silent", storetest.Silent}, {"losing answers", storetest.LoseAnswer},
	} {
		t.Run(c.name, func(t *testing.T) {
			inWorld(t, 2, func(t *testing.T, w *world) {
				w.took = 3 * time.Second
				w.submit("a", times(small, 12))
				w.until("some run", func() bool { return len(w.running("a")) == 8 })
				w.store.SetFault(away(c.fault))
				time.Sleep(time.Second)
				w.specs["b"] = &api.Job{Steps: []api.Step{small}}
				require.Error(t, w.trySubmit("b"))
				time.Sleep(6 * time.Second)
				require.Zero(t, w.ledger.Starts("a.0.0.11"), "a start without a record")
				w.store.SetFault(nil)
				w.untilState("a", api.JobCompleted)
			})
		})
	}
}

// A caller must be refused at once, and truthfully, when the store is known to
// be away.
func TestSubmitIsRefusedAtOnceWithoutTheStore(t *testing.T) {
	inWorld(t, 1, func(t *testing.T, w *world) {
		w.store.SetFault(func(call, _ string) storetest.Fault {
			if call == "append" {
				return storetest.Silent
			}
			return storetest.None
		})
		w.specs["a"], w.specs["b"] = &api.Job{Steps: []api.Step{small}}, &api.Job{Steps: []api.Step{small}}
		require.ErrorIs(t, w.trySubmit("a"), ErrOutcomeUnknown)
		begin := time.Now()
		require.ErrorIs(t, w.trySubmit("b"), ErrStoreUnavailable)
		require.ErrorIs(t, w.trySubmit("a"), ErrSubmitPending, "the first call may still be stored")
		require.Less(t, time.Since(begin), 10*time.Millisecond)
		w.store.SetFault(nil)
		w.untilState("a", api.JobCompleted)
		time.Sleep(3 * time.Second)
		require.Zero(t, w.ledger.Starts("b.0.0.0"), "a refused job must never run")
	})
}

// A job that is cancelled while the answer to a start is on its way must be
// stopped once it comes: the order was sent when the job was still wanted.
func TestCancelWhileStartIsAnswered(t *testing.T) {
	inWorld(t, 1, func(t *testing.T, w *world) {
		w.took = 30 * time.Second
		w.worker("w00").SetFault(func(call, _ string) celltest.Fault {
			if call == "start" {
				return celltest.Slow
			}
			return celltest.None
		})
		w.submit("a", small)
		w.until("the task has started", func() bool { return len(w.running("a")) == 1 })
		known, err := w.pool.Cancel(t.Context(), "a")
		require.NoError(t, err)
		require.True(t, known)
		time.Sleep(celltest.SlowBy + time.Second)
		require.Empty(t, w.running("a"))
		w.untilState("a", api.JobCancelled)
	})
}

// A job that is cancelled while its worker has no entry in the registry must be
// stopped once the worker is reached again: the store may drop entries while
// workers run on.
func TestCancelWhileWorkerIsUnknown(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		w.submit("a", longRunning(2))
		w.until("both tasks run", func() bool { return len(w.running("a")) == 2 })
		w.stop()
		w.unpublish("w00")
		w.takeOver(0)
		known, err := w.pool.Cancel(t.Context(), "a")
		require.NoError(t, err)
		require.True(t, known)
		time.Sleep(500 * time.Millisecond)
		w.publish("w00")
		time.Sleep(2 * time.Second)
		require.Empty(t, w.running("a"))
		w.untilState("a", api.JobCancelled)
	})
}

// longRunning returns a step whose tasks run on different workers until they are
// stopped.
func longRunning(tasks int) api.Step {
	return api.Step{Count: tasks, MilliCPU: 1000, MemoryMiB: 100, LongRunning: true, MaxPerWorker: 1}
}

// A second cancellation must not be acknowledged before the first is stored:
// on a day of the bench a job was started again after its acknowledged
// cancellation, because the scheduler was cut off from the store.
func TestCancelIsAcknowledgedOnlyWhenStored(t *testing.T) {
	inWorld(t, 1, func(t *testing.T, w *world) {
		w.took = time.Minute
		w.submit("a", small)
		w.until("it runs", func() bool { return len(w.running("a")) == 1 })
		w.store.SetFault(func(call, _ string) storetest.Fault {
			if call == "append" {
				return storetest.Silent
			}
			return storetest.None
		})
		for _, want := range []error{ErrOutcomeUnknown, ErrStoreUnavailable, ErrStoreUnavailable} {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, err := w.pool.Cancel(ctx, "a")
			cancel()
			require.ErrorIs(t, err, want)
		}
		w.store.SetFault(nil)
		w.untilState("a", api.JobCancelled)
	})
}

// Fillers are slowed before the task that they disturb misses its target for
// long, and go on when it recovers.
func TestPace(t *testing.T) {
	inWorld(t, 1, func(t *testing.T, w *world) {
		w.took = time.Minute
		serving := small
		serving.LongRunning, serving.TargetMS = true, 100
		w.submit("s", serving)
		filler := small
		filler.Filler = true
		w.submit("f", filler)
		w.until("both run", func() bool { return len(w.running("s")) == 1 && len(w.running("f")) == 1 })
		n := w.worker("w00")
		n.SetLoad("s.0.0.0", 150)
		begin := time.Now()
		w.until("the filler is slowed", func() bool { return n.PaceOf("f.0.0.0") < 50 })
		require.Less(t, time.Since(begin), 4*time.Second)
		n.SetLoad("s.0.0.0", 30)
		w.until("the filler goes on", func() bool { return n.PaceOf("f.0.0.0") == 100 })
	})
}

// Tasks that stand still, or that end with their worker, go on elsewhere.
func TestMove(t *testing.T) {
	for _, c := range []struct {
		name string
		spec api.Step
		lose func(w *world, n *celltest.Worker)
	}{
		{"tasks on a worker stand still", api.Step{EstimateMS: 3000}, func(_ *world, n *celltest.Worker) { n.Hang() }},
		{"a worker drains and tasks write checkpoints", api.Step{Checkpointable: true}, func(w *world, n *celltest.Worker) {
			n.Entry.Draining = true
			w.publish(n.Entry.ID)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			inWorld(t, 2, func(t *testing.T, w *world) {
				w.took = 4 * time.Second
				spec := times(small, 2)
				spec.EstimateMS, spec.Checkpointable = c.spec.EstimateMS, c.spec.Checkpointable
				w.submit("a", spec)
				w.until("it runs", func() bool { return len(w.running("a")) == 2 })
				first := w.workersOf("a")[0]
				c.lose(w, w.worker(first))
				w.until("it runs elsewhere", func() bool {
					on := w.workersOf("a")
					return len(on) == 2 && on[0] != first && on[1] != first
				})
				w.untilState("a", api.JobCompleted)
			})
		})
	}
}

// Urgent work and gangs get room: less urgent tasks that write checkpoints make
// it, others are left alone, and freed room is not taken by less urgent work.
func TestMakeRoom(t *testing.T) {
	for _, c := range []struct {
		name string
		// filler is the less urgent work that has taken all room.
		filler api.Step
		evicts bool
	}{
		{"checkpointed tasks make room", api.Step{MilliCPU: 1000, MemoryMiB: 100, Checkpointable: true}, true},
		{"other tasks go on", api.Step{MilliCPU: 1000, MemoryMiB: 100}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			inWorld(t, 2, func(t *testing.T, w *world) {
				w.took = 5 * time.Second
				w.queue.Priority = 2
				w.submit("low", times(c.filler, 24))
				w.until("the cell is full", func() bool { return len(w.running("low")) == 8 })
				w.queue.Priority = 1
				begin := time.Now()
				w.submit("gang", api.Step{Count: 2, MilliCPU: 4000, MemoryMiB: 100, Gang: true})
				w.until("the gang runs", func() bool { return len(w.running("gang")) == 2 })
				if c.evicts {
					require.Less(t, time.Since(begin), 2*time.Second)
				} else {
					require.Less(t, time.Since(begin), 7*time.Second, "room is kept as the first tasks end")
					require.Equal(t, 1, w.ledger.Starts("low.0.0.0"), "a task without checkpoints is not stopped")
				}
				w.untilState("gang", api.JobCompleted)
				w.untilState("low", api.JobCompleted)
			})
		})
	}
}
