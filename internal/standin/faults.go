package standin

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// Method is the name of a method of worker.Worker.
type Method string

// Methods of a worker.
const (
	MethodHold       Method = "hold"
	MethodRenew      Method = "renew"
	MethodRelease    Method = "release"
	MethodStart      Method = "start"
	MethodStatus     Method = "status"
	MethodStop       Method = "stop"
	MethodCheckpoint Method = "checkpoint"
	MethodThrottle   Method = "throttle"
	MethodUsage      Method = "usage"
)

// FailMode selects how a worker fails the tasks that it starts.
type FailMode int

const (
	// FailNone runs tasks as their bodies specify.
	FailNone FailMode = iota
	// FailAfterRun fails each task after its run time.
	FailAfterRun
	// FailImmediately fails each task as soon as it starts.
	FailImmediately
)

// faults holds the injected faults of a worker. It is guarded by Worker.mu.
type faults struct {
	unreachable bool
	delay       time.Duration
	failMode    FailMode
	// repliesToDrop is the number of replies to drop by method; "" stands for
	// any method.
	repliesToDrop map[Method]int
	// answersToSwap and answersToTruncate are the numbers of answers still to
	// be corrupted.
	answersToSwap     int
	answersToTruncate int
	// resumed is nil unless the worker is paused; it is closed on Resume.
	resumed      chan struct{}
	pendingCalls []func()
}

// endPause ends a pause and discards the calls that are waiting for its end.
func (f *faults) endPause() {
	f.pendingCalls = nil
	if f.resumed != nil {
		close(f.resumed)
		f.resumed = nil
	}
}

// dropReply reports whether to drop the reply to a call of the method, and counts
// it as dropped.
func (f *faults) dropReply(method Method) bool {
	for _, key := range []Method{method, ""} {
		if f.repliesToDrop[key] > 0 {
			f.repliesToDrop[key]--
			return true
		}
	}
	return false
}

// Pause makes all calls hang until Resume. A call whose context ends first
// returns worker.ErrNoReply but still takes effect on Resume, like a request
// queued in the socket of a stopped process. Task leases and run times keep
// running.
func (w *Worker) Pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.resumed == nil {
		w.faults.resumed = make(chan struct{})
	}
}

// Resume ends a pause and runs the waiting calls in the order of their arrival.
func (w *Worker) Resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.resumed == nil {
		return
	}
	pending := w.faults.pendingCalls
	w.faults.endPause()
	for _, run := range pending {
		run()
	}
}

// PendingCalls returns the number of calls that will take effect on Resume.
func (w *Worker) PendingCalls() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.faults.pendingCalls)
}

// SetUnreachable makes all calls fail with worker.ErrNotDelivered and without
// effect while on is true. The replies to starts that wait for their task are
// lost.
func (w *Worker) SetUnreachable(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults.unreachable = on
}

// SetDelay delays the reply to each call by d. The call takes effect before the
// delay.
func (w *Worker) SetDelay(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults.delay = d
}

// DropReplies makes the next n calls of each given method take effect but
// return worker.ErrNoReply. Without methods it applies to the next n calls of
// any method. It replaces the numbers set earlier for the same methods.
func (w *Worker) DropReplies(n int, methods ...Method) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.repliesToDrop == nil {
		w.faults.repliesToDrop = make(map[Method]int)
	}
	if len(methods) == 0 {
		methods = []Method{""}
	}
	for _, method := range methods {
		w.faults.repliesToDrop[method] = n
	}
}

// SetFailMode sets how tasks that start from now on fail.
func (w *Worker) SetFailMode(mode FailMode) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults.failMode = mode
}

// SwapAnswers replaces the next n answers that the worker returns with answers
// of other tasks. The stored answers stay correct.
func (w *Worker) SwapAnswers(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults.answersToSwap = n
}

// TruncateAnswers cuts the bodies of the next n answers that the worker
// returns to half their length. The length and checksum fields and the stored
// answers stay correct.
func (w *Worker) TruncateAnswers(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults.answersToTruncate = n
}

// outgoingAnswer returns the answer of a task with the injected faults applied.
func (w *Worker) outgoingAnswer(t *task) *worker.Answer {
	answer := *t.answer
	if w.faults.answersToSwap > 0 {
		w.faults.answersToSwap--
		answer = *w.otherAnswer(t)
	}
	answer.Body = clone(answer.Body)
	if w.faults.answersToTruncate > 0 {
		w.faults.answersToTruncate--
		answer.Body = answer.Body[:len(answer.Body)/2]
	}
	return &answer
}

// otherAnswer returns the answer of another task, or a made-up one if there is
// none.
func (w *Worker) otherAnswer(t *task) *worker.Answer {
	for i := len(w.finished) - 1; i >= 0; i-- {
		if other := w.finished[i]; other != t && other.answer != nil {
			return other.answer
		}
	}
	const request = "other/00000000-0000-7000-8000-000000000000"
	return newAnswer(request+"#0.1", false, ExpectedAnswer(request, nil))
}

// withFaults runs a call of the method with the injected faults of the worker.
// effect is what the call does; it runs with w.mu held: at once, or on Resume if
// the worker is paused. It does not run if the worker is unreachable, restarts
// before Resume, or if ctx has already ended.
func withFaults[T any](ctx context.Context, w *Worker, method Method, effect func(now time.Time) (T, error)) (T, error) {
	var zero T
	if err := ctx.Err(); err != nil {
		return zero, errors.Wrapf(worker.ErrNotDelivered, "%s: %v", method, err)
	}
	w.mu.Lock()
	if w.faults.unreachable {
		w.mu.Unlock()
		return zero, errors.Wrapf(worker.ErrNotDelivered, "%s: %s is unreachable", method, w.info.Name)
	}
	var (
		value     T
		err       error
		ran, lost bool
		delay     time.Duration
	)
	run := func() {
		now := time.Now()
		w.prune(now)
		value, err = effect(now)
		ran, lost, delay = true, w.faults.dropReply(method), w.faults.delay
	}
	resumed := w.faults.resumed
	if resumed == nil {
		run()
	} else {
		w.faults.pendingCalls = append(w.faults.pendingCalls, run)
		w.journal.notify()
	}
	w.mu.Unlock()
	if resumed != nil {
		select {
		case <-resumed:
			// Resume holds w.mu until it has run the waiting calls.
			w.mu.Lock()
			lost = lost || !ran
			w.mu.Unlock()
		case <-ctx.Done():
			return zero, errors.Wrapf(worker.ErrNoReply, "%s: %v", method, ctx.Err())
		}
	}
	if waitErr := sleep(ctx, delay); waitErr != nil {
		return zero, errors.Wrapf(worker.ErrNoReply, "%s: %v", method, waitErr)
	}
	if lost {
		return zero, errors.Wrapf(worker.ErrNoReply, "%s: reply was lost", method)
	}
	return value, err
}
