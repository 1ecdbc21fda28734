package holding

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// Errors returned by a Manager. For Start, every error except
// ErrOutcomeUnknown means that this call did not start the task.
var (
	// ErrUnknownWorker means that the worker is not in the host list.
	ErrUnknownWorker = errors.New("worker is not in the platform's host list")
	// ErrNotHeld means that this host has no valid lease on the worker.
	ErrNotHeld = errors.New("this entry host has no valid lease on the worker")
	// ErrLeaving means that the worker is leaving, or was removed from the host
	// list, and accepts no new tasks.
	ErrLeaving = errors.New("worker is leaving and accepts no new tasks")
	// ErrStopping means that this host is handing its workers over.
	ErrStopping = errors.New("entry host is stopping and starts no new tasks")
	// ErrSettling means that the worker may still run tasks of the previous
	// holder that this host does not know of. See Options.LeaseOnly.
	ErrSettling = errors.New("task leases of the previous holder may not have expired yet")
	// ErrDuplicate means that the task was sent to the worker before, by this
	// host or by a previous holder.
	ErrDuplicate = errors.New("task was already sent to the worker")
	// ErrRejected means that the worker rejected the start or did not receive it.
	ErrRejected = errors.New("worker rejected the start or did not receive it")
	// ErrOutcomeUnknown means that the task may have run, may be running or may
	// have ended. A Status call with Fence set finds out.
	ErrOutcomeUnknown = errors.New("outcome of the task is unknown")
)

// StartError reports a start that failed after the call to the worker was made.
// It matches Kind and Cause with errors.Is.
type StartError struct {
	Worker string
	Task   worker.TaskID
	// Kind is ErrRejected or ErrOutcomeUnknown.
	Kind  error
	Cause error
}

// Error implements error.
func (e *StartError) Error() string {
	return fmt.Sprintf("start task %s on worker %s: %s: %s", e.Task, e.Worker, e.Kind, e.Cause)
}

// Unwrap returns the kind and the cause.
func (e *StartError) Unwrap() []error { return []error{e.Kind, e.Cause} }

// AnswerError reports an answer that is missing, truncated, corrupted or belongs
// to another task. It matches ErrOutcomeUnknown: the task has probably run, but
// its answer has to be requested again.
type AnswerError struct {
	Worker string
	Task   worker.TaskID
	Reason string
}

// Error implements error.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("answer of task %s from worker %s was dropped: %s", e.Task, e.Worker, e.Reason)
}

// Is reports whether target is ErrOutcomeUnknown.
func (e *AnswerError) Is(target error) bool { return target == ErrOutcomeUnknown }

// NotRun reports whether an error returned by Start proves that the call did not
// start the task. It is false for ErrDuplicate, because an earlier call may have
// started it.
func NotRun(err error) bool {
	for _, e := range []error{ErrUnknownWorker, ErrNotHeld, ErrLeaving, ErrStopping, ErrSettling, ErrRejected} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
