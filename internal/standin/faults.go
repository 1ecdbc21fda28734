package standin

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// Method names a method of worker.Worker.
type Method string

// Calls of a worker.
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

// FailMode tells how a worker fails what it starts.
type FailMode int

const (
	// FailNone runs tasks as their body says.
	FailNone FailMode = iota
	// FailAfterRun fails each task after its run time.
	FailAfterRun
	// FailImmediately fails each task as soon as it begins.
	FailImmediately
)

// faults is the state of a worker's faults. Worker.mu guards it.
type faults struct {
	unreachable bool
	delay       time.Duration
	fail        FailMode
	// dropped is the number of replies to drop, by call; "" is any call.
	dropped map[Method]int
	// crossed and truncated are the numbers of answers to spoil.
	crossed   int
	truncated int
	// resumed is nil unless the worker is paused; closed on resumption.
	resumed chan struct{}
	waiting []func()
}

// restart ends a pause. The calls that wait for its end are lost.
func (f *faults) restart() {
	f.waiting = nil
	if f.resumed != nil {
		close(f.resumed)
		f.resumed = nil
	}
}

// dropReply reports whether the reply to the call is to be dropped.
func (f *faults) dropReply(c Method) bool {
	for _, key := range []Method{c, ""} {
		if f.dropped[key] > 0 {
			f.dropped[key]--
			return true
		}
	}
	return false
}

// Pause makes all calls hang until Resume. A call whose context ends before
// returns worker.ErrNoReply and still takes effect on Resume, as a request
// does that waits in the socket of a stopped process. Task leases and run
// times go on.
func (w *Worker) Pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.resumed == nil {
		w.faults.resumed = make(chan struct{})
	}
}

// Resume ends a pause and runs the calls that wait, in their order.
func (w *Worker) Resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.resumed == nil {
		return
	}
	waiting := w.faults.waiting
	w.faults.restart()
	for _, run := range waiting {
		run()
	}
}

// PendingCalls returns the number of calls that take effect on Resume.
func (w *Worker) PendingCalls() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.faults.waiting)
}

// SetUnreachable makes all calls fail with worker.ErrNotDelivered before any
// effect while on is set. The replies to calls in progress are lost.
func (w *Worker) SetUnreachable(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults.unreachable = on
}

// SetDelay delays the reply to each call by d after its effect.
func (w *Worker) SetDelay(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults.delay = d
}

// DropReplies makes the next n of each of the named calls take effect and
// return worker.ErrNoReply; the next n of all calls together if none is named.
// It replaces an earlier number.
func (w *Worker) DropReplies(n int, calls ...Method) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.dropped == nil {
		w.faults.dropped = make(map[Method]int)
	}
	if len(calls) == 0 {
		calls = []Method{""}
	}
	for _, c := range calls {
		w.faults.dropped[c] = n
	}
}

// SetFailMode sets how the tasks that begin from now on fail.
func (w *Worker) SetFailMode(mode FailMode) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults.fail = mode
}

// SwapAnswers replaces the next n answers that the worker returns by answers
// of other tasks. The stored answers stay right.
func (w *Worker) SwapAnswers(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults.crossed = n
}

// TruncateAnswers cuts the bodies of the next n answers that the worker
// returns to half their length. Length, checksum and the stored answers stay
// right.
func (w *Worker) TruncateAnswers(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults.truncated = n
}

// reply returns the answer of a task as the worker sends it.
func (w *Worker) reply(t *task) *worker.Answer {
	answer := *t.answer
	if w.faults.crossed > 0 {
		w.faults.crossed--
		answer = *w.otherAnswer(t)
	}
	answer.Body = clone(answer.Body)
	if w.faults.truncated > 0 {
		w.faults.truncated--
		answer.Body = answer.Body[:len(answer.Body)/2]
	}
	return &answer
}

// otherAnswer returns the answer of another task, made up if there is none.
func (w *Worker) otherAnswer(t *task) *worker.Answer {
	for i := len(w.finished) - 1; i >= 0; i-- {
		if other := w.finished[i]; other != t && other.answer != nil {
			return other.answer
		}
	}
	const request = "other/00000000-0000-7000-8000-000000000000"
	return newAnswer(request+"#0.1", false, ExpectedAnswer(request, nil))
}

// perform runs the effect of a call under the faults of the worker.
func perform[T any](ctx context.Context, w *Worker, c Method, effect func(now time.Time) (T, error)) (T, error) {
	var zero T
	if err := ctx.Err(); err != nil {
		return zero, errors.Wrapf(worker.ErrNotDelivered, "%s: %v", c, err)
	}
	w.mu.Lock()
	if w.faults.unreachable {
		w.mu.Unlock()
		return zero, errors.Wrapf(worker.ErrNotDelivered, "%s: %s is unreachable", c, w.info.Name)
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
		ran, lost, delay = true, w.faults.dropReply(c), w.faults.delay
	}
	resumed := w.faults.resumed
	if resumed == nil {
		run()
	} else {
		w.faults.waiting = append(w.faults.waiting, run)
		w.journal.notify()
	}
	w.mu.Unlock()
	if resumed != nil {
		select {
		case <-resumed:
			// Resume holds w.mu until it has run the calls that wait.
			w.mu.Lock()
			lost = lost || !ran
			w.mu.Unlock()
		case <-ctx.Done():
			return zero, errors.Wrapf(worker.ErrNoReply, "%s: %v", c, ctx.Err())
		}
	}
	if werr := wait(ctx, delay); werr != nil {
		return zero, errors.Wrapf(worker.ErrNoReply, "%s: %v", c, werr)
	}
	if lost {
		return zero, errors.Wrapf(worker.ErrNoReply, "%s: reply was lost", c)
	}
	return value, err
}
