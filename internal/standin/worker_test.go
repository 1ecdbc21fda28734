package standin_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/standin"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// scenario is a test with a worker whose lease holder "a" has.
type scenario struct {
	*testing.T
	standin *standin.Worker
	worker  worker.Worker
	held    worker.HoldReply
}

func (s scenario) start(task worker.TaskID, body string, wait bool) (worker.StartReply, error) {
	req := startRequest(s.held.Epoch, task, body)
	req.Wait = wait
	return s.worker.Start(s.Context(), req)
}

func (s scenario) mustStart(task worker.TaskID, body string, wait bool) worker.StartReply {
	reply, err := s.start(task, body, wait)
	require.NoError(s, err)
	return reply
}

func (s scenario) waitForJournal(done func(*standin.Journal) bool) {
	require.NoError(s, s.standin.Journal().Wait(s.Context(), done))
}

func (s scenario) taskStatus(task worker.TaskID, fence bool) worker.Task {
	reply, err := s.worker.Status(s.Context(), worker.StatusRequest{Task: task, Incarnation: s.held.Incarnation, Fence: fence})
	require.NoError(s, err)
	return reply
}

func (s scenario) requireViolations(kinds ...standin.ViolationKind) {
	found := []standin.ViolationKind{}
	for _, v := range standin.CheckJournals(s.standin.Journal()) {
		found = append(found, v.Kind)
	}
	require.ElementsMatch(s, kinds, found)
}

func TestWorkerContract(t *testing.T) {
	for _, test := range []struct {
		name string
		opts standin.WorkerOptions
		run  func(s scenario)
	}{
		// Guards against grants that don't raise the epoch, and against starts and
		// renewals that are accepted under an earlier epoch.
		{"each grant raises the epoch", standin.WorkerOptions{}, func(s scenario) {
			again := acquireLease(s.T, s.worker, "a")
			require.Greater(s, again.Epoch, s.held.Epoch)
			require.Equal(s, workerInfo.Capacity, again.Capacity)
			_, err := s.start("z/1#0.1", "", false)
			require.ErrorIs(s, err, worker.ErrStaleEpoch)
			_, err = s.worker.Renew(s.Context(), worker.RenewRequest{Holder: "a", Epoch: s.held.Epoch, TTL: time.Minute})
			require.ErrorIs(s, err, worker.ErrStaleEpoch)
			require.Empty(s, s.standin.Journal().Events())
		}},
		// Guards against two holders at the same time, and against a takeover
		// whose reply doesn't list the running tasks.
		{"release to the successor only", standin.WorkerOptions{}, func(s scenario) {
			s.mustStart("z/1#0.1", longTaskBody, false)
			_, err := s.worker.Hold(s.Context(), worker.HoldRequest{Holder: "b", TTL: time.Minute})
			var held *worker.HeldError
			require.ErrorAs(s, err, &held)
			require.Equal(s, "a", held.Holder)
			require.Positive(s, held.Remaining)
			release := worker.ReleaseRequest{Holder: "a", Epoch: s.held.Epoch, Successor: "b"}
			require.NoError(s, s.worker.Release(s.Context(), release))
			require.NoError(s, s.worker.Release(s.Context(), release))
			_, err = s.start("z/2#0.1", "", false)
			require.ErrorIs(s, err, worker.ErrStaleEpoch)
			_, err = s.worker.Hold(s.Context(), worker.HoldRequest{Holder: "c", TTL: time.Minute})
			require.ErrorAs(s, err, &held)
			next := acquireLease(s.T, s.worker, "b")
			require.Greater(s, next.Epoch, s.held.Epoch)
			require.Len(s, next.Tasks, 1)
			require.Equal(s, worker.TaskRunning, next.Tasks[0].State)
			require.Positive(s, next.Tasks[0].LeaseRemaining)
			require.NoError(s, s.worker.Release(s.Context(), release), "a release under an old epoch must have no effect")
			_, err = s.worker.Hold(s.Context(), worker.HoldRequest{Holder: "c", TTL: time.Minute})
			require.ErrorAs(s, err, &held)
		}},
		// Guards against a task that runs twice on a worker.
		{"duplicate start", standin.WorkerOptions{}, func(s scenario) {
			s.mustStart("z/1#0.1", longTaskBody, false)
			s.mustStart("z/2#0.1", "", true)
			acquireLease(s.T, s.worker, "a")
			for _, id := range []worker.TaskID{"z/1#0.1", "z/2#0.1"} {
				_, err := s.start(id, "", false)
				require.ErrorIs(s, err, worker.ErrDuplicateTask)
			}
			s.requireViolations()
		}},
		// Guards against a fenced task that still starts.
		{"fence", standin.WorkerOptions{}, func(s scenario) {
			require.Equal(s, worker.TaskUnknown, s.taskStatus("z/1#0.1", false).State)
			require.Equal(s, worker.TaskFenced, s.taskStatus("z/1#0.1", true).State)
			state, err := s.worker.Stop(s.Context(), "z/2#0.1")
			require.NoError(s, err)
			require.Equal(s, worker.TaskFenced, state)
			for _, id := range []worker.TaskID{"z/1#0.1", "z/2#0.1"} {
				_, err := s.start(id, "", false)
				require.ErrorIs(s, err, worker.ErrFenced)
			}
			late := startRequest(s.held.Epoch, "z/3#0.1", "")
			late.LeaseEnd = time.Now().Add(-time.Millisecond)
			_, err = s.worker.Start(s.Context(), late)
			require.ErrorIs(s, err, worker.ErrFenced)
			require.Empty(s, s.standin.Journal().Events())
		}},
		// Guards against a stop that doesn't free the slot or isn't idempotent.
		{"stop", standin.WorkerOptions{}, func(s scenario) {
			s.mustStart("z/1#0.1", longTaskBody, false)
			for range 2 {
				state, err := s.worker.Stop(s.Context(), "z/1#0.1")
				require.NoError(s, err)
				require.Equal(s, worker.TaskStopped, state)
			}
			reply, err := s.worker.Renew(s.Context(), worker.RenewRequest{
				Holder: "a", Epoch: s.held.Epoch, TTL: time.Minute, Tasks: []worker.TaskID{"z/1#0.1", "z/9#0.1"},
			})
			require.NoError(s, err)
			require.Len(s, reply.Ended, 2)
			require.Equal(s, worker.TaskStopped, reply.Ended[0].State)
			require.Equal(s, worker.TaskUnknown, reply.Ended[1].State)
			require.Empty(s, reply.Usage.Tasks)
		}},
		// Guards against answers that can't be matched to their request.
		{"answers", standin.WorkerOptions{}, func(s scenario) {
			body := `{"answer_bytes":1000}`
			reply := s.mustStart("z/1#0.1", body, true)
			require.Equal(s, worker.TaskEnded, reply.State)
			require.Equal(s, standin.ExpectedAnswer("z/1", []byte(body)), reply.Answer.Body)
			require.Len(s, reply.Answer.Body, 1000)
			require.Equal(s, 1000, reply.Answer.Length)
			require.Equal(s, reply.Answer, s.taskStatus("z/1#0.1", true).Answer)
			reply = s.mustStart("z/2#0.1", `{"fail":true}`, true)
			require.True(s, reply.Answer.Failed)
			require.Equal(s, standin.FailureText("z/2"), string(reply.Answer.Body))
		}},
		// Guards against injected answer faults that tests can't tell from correct
		// answers.
		{"crossed and truncated answers", standin.WorkerOptions{}, func(s scenario) {
			s.standin.SwapAnswers(1)
			require.NotEqual(s, worker.TaskID("z/1#0.1"), s.mustStart("z/1#0.1", "", true).Answer.Task)
			s.standin.TruncateAnswers(1)
			truncated := s.mustStart("z/2#0.1", "", true).Answer
			require.Less(s, len(truncated.Body), truncated.Length)
			require.Len(s, s.taskStatus("z/2#0.1", false).Answer.Body, truncated.Length)
		}},
		// Guards against a lost reply after which the task is unknown, and against
		// a call that is reported as not delivered but takes effect.
		{"lost calls", standin.WorkerOptions{}, func(s scenario) {
			s.standin.DropReplies(1, standin.MethodStart)
			_, err := s.start("z/1#0.1", longTaskBody, true)
			require.ErrorIs(s, err, worker.ErrNoReply)
			require.Equal(s, worker.TaskRunning, s.taskStatus("z/1#0.1", true).State)
			s.standin.SetUnreachable(true)
			_, err = s.start("z/2#0.1", longTaskBody, true)
			require.ErrorIs(s, err, worker.ErrNotDelivered)
			s.standin.SetUnreachable(false)
			require.Equal(s, worker.TaskUnknown, s.taskStatus("z/2#0.1", false).State)
		}},
		// Guards against a call to a paused worker that is reported as without
		// effect, although it takes effect on resumption.
		{"pause", standin.WorkerOptions{}, func(s scenario) {
			s.standin.Pause()
			ctx, cancel := context.WithCancel(s.Context())
			result := make(chan error)
			go func() {
				_, err := s.worker.Start(ctx, startRequest(s.held.Epoch, "z/1#0.1", longTaskBody))
				result <- err
			}()
			s.waitForJournal(func(*standin.Journal) bool { return s.standin.PendingCalls() == 1 })
			cancel()
			require.ErrorIs(s, <-result, worker.ErrNoReply)
			require.Empty(s, s.standin.Journal().Events())
			s.standin.Resume()
			require.Equal(s, worker.TaskRunning, s.taskStatus("z/1#0.1", false).State)
		}},
		// Guards against a restarted worker that reports a task it lost as fenced,
		// that is as never run, and against epochs that decrease on a restart.
		{"restart", standin.WorkerOptions{}, func(s scenario) {
			s.mustStart("z/1#0.1", longTaskBody, false)
			s.standin.Restart()
			require.Equal(s, worker.TaskUnknown, s.taskStatus("z/1#0.1", true).State)
			_, err := s.start("z/2#0.1", "", false)
			require.ErrorIs(s, err, worker.ErrStaleEpoch)
			again := acquireLease(s.T, s.worker, "b")
			require.Greater(s, again.Epoch, s.held.Epoch)
			require.NotEqual(s, s.held.Incarnation, again.Incarnation)
			require.Empty(s, again.Tasks)
			s.held = again
			s.mustStart("z/1#0.1", "", false)
			s.requireViolations(standin.ViolationRanTwice)
		}},
		// Guards against a capacity accounting error of a scheduler that overloads a
		// worker without a trace in the journal.
		{"overload is recorded", standin.WorkerOptions{}, func(s scenario) {
			for _, id := range []worker.TaskID{"z/1#0.1", "z/1#1.1", "z/1#2.1"} {
				s.mustStart(id, longTaskBody, false)
			}
			s.requireViolations(standin.ViolationCapacity)
		}},
		// Guards against a lease-only worker that checks the epoch of a start, lets
		// a former holder renew its lease or ignores the end of a task lease.
		{"lease only", standin.WorkerOptions{LeaseOnly: true}, func(s scenario) {
			acquireLease(s.T, s.worker, "a")
			s.mustStart("z/1#0.1", "", false)
			require.Equal(s, "a", s.standin.Journal().BeginEvents("z/1#0.1")[0].Holder)
			_, err := s.worker.Renew(s.Context(), worker.RenewRequest{Holder: "a", Epoch: s.held.Epoch, TTL: time.Minute})
			require.ErrorIs(s, err, worker.ErrStaleEpoch)
			late := startRequest(s.held.Epoch, "z/2#0.1", "")
			late.LeaseEnd = time.Now().Add(-time.Millisecond)
			_, err = s.worker.Start(s.Context(), late)
			require.ErrorIs(s, err, worker.ErrFenced)
		}},
		// Guards against a fail mode that has no effect or outlasts its reset.
		{"failing worker", standin.WorkerOptions{}, func(s scenario) {
			s.standin.SetFailMode(standin.FailImmediately)
			require.True(s, s.mustStart("z/1#0.1", longTaskBody, true).Answer.Failed)
			s.standin.SetFailMode(standin.FailAfterRun)
			require.True(s, s.mustStart("z/2#0.1", `{"run_ms":1}`, true).Answer.Failed)
			s.standin.SetFailMode(standin.FailNone)
			require.False(s, s.mustStart("z/3#0.1", "", true).Answer.Failed)
		}},
		// Guards against a start that waits forever after its task was stopped or
		// lost, and against a lost task that is reported as ended.
		{"end while a start waits", standin.WorkerOptions{}, func(s scenario) {
			results := make(chan error)
			states := make(chan worker.TaskState, 1)
			wait := func(id worker.TaskID) {
				go func() {
					reply, err := s.start(id, longTaskBody, true)
					states <- reply.State
					results <- err
				}()
				s.waitForJournal(func(j *standin.Journal) bool { return len(j.BeginEvents(id)) == 1 })
			}
			wait("z/1#0.1")
			_, err := s.worker.Stop(s.Context(), "z/1#0.1")
			require.NoError(s, err)
			require.Equal(s, worker.TaskStopped, <-states)
			require.NoError(s, <-results)
			wait("z/2#0.1")
			s.standin.Restart()
			require.Empty(s, <-states)
			require.ErrorIs(s, <-results, worker.ErrNoReply)
		}},
		// Guards against reported usage that ignores what a task actually uses or
		// its throttle.
		{"usage", standin.WorkerOptions{}, func(s scenario) {
			s.mustStart("z/1#0.1", `{"run_ms":600000,"use":{"milli_cpu":1500,"memory_mib":9}}`, false)
			require.NoError(s, s.worker.Checkpoint(s.Context(), "z/1#0.1"))
			require.NoError(s, s.worker.Throttle(s.Context(), "z/1#0.1", worker.Resources{MilliCPU: 500, MemoryMiB: 4096}))
			usage, err := s.worker.Usage(s.Context())
			require.NoError(s, err)
			require.Equal(s, map[worker.TaskID]worker.Resources{"z/1#0.1": {MilliCPU: 500, MemoryMiB: 9}}, usage.Tasks)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			directAndServed(t, func(t *testing.T, served bool) {
				w, c := newWorker(t, served, test.opts)
				test.run(scenario{T: t, standin: w, worker: c, held: acquireLease(t, c, "a")})
			})
		})
	}
}

// Guards against leases that end early or late, tasks that outlive their lease,
// and a worker that drops answers or tasks before their retention is over.
func TestWorkerTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := standin.NewWorker(workerInfo, standin.WorkerOptions{UsageLag: 2 * time.Second})
		s := scenario{T: t, standin: w, worker: w, held: acquireLease(t, w, "a")}
		s.mustStart("z/1#0.1", longTaskBody, false)
		s.mustStart("z/2#0.1", `{"run_ms":50000}`, false)
		usage := func() int {
			u, err := w.Usage(t.Context())
			require.NoError(t, err)
			return len(u.Tasks)
		}
		time.Sleep(time.Second)
		require.Equal(t, 0, usage())
		time.Sleep(time.Second)
		require.Equal(t, 2, usage())
		_, err := w.Renew(t.Context(), worker.RenewRequest{
			Holder: "a", Epoch: s.held.Epoch, TTL: time.Second, Tasks: []worker.TaskID{"z/1#0.1"}, TaskTTL: 3 * time.Second,
		})
		require.NoError(t, err)
		time.Sleep(time.Second - time.Nanosecond)
		_, err = w.Hold(t.Context(), worker.HoldRequest{Holder: "b", TTL: time.Minute})
		require.Error(t, err)
		time.Sleep(time.Nanosecond)
		s.held = acquireLease(t, w, "b")
		require.Equal(t, worker.TaskRunning, s.taskStatus("z/1#0.1", false).State)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		require.Equal(t, worker.TaskStopped, s.taskStatus("z/1#0.1", false).State)
		require.Equal(t, 2, usage())
		time.Sleep(2 * time.Second)
		require.Equal(t, 1, usage())
		reply := s.mustStart("z/3#0.1", `{"run_ms":50000}`, true)
		require.Equal(t, worker.TaskEnded, reply.State)
		time.Sleep(time.Minute)
		require.NotNil(t, s.taskStatus("z/3#0.1", false).Answer)
		time.Sleep(time.Nanosecond)
		require.Nil(t, s.taskStatus("z/3#0.1", false).Answer)
		time.Sleep(14 * time.Minute)
		require.Equal(t, worker.TaskUnknown, s.taskStatus("z/3#0.1", false).State)
		s.requireViolations()
	})
}
