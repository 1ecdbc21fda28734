package holding

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// Errors of a Manager. For Start, all but ErrOutcomeUnknown mean that the call
// did not start the task.
var (
	// ErrUnknownWorker means that the worker is not in the host list.
	ErrUnknownWorker = errors.New("worker is not in the host list")
	// ErrNotHeld means that this host has no valid lease on the worker.
	ErrNotHeld = errors.New("worker is not held by this entry host")
	// ErrLeaving means that the worker takes no new task.
	ErrLeaving = errors.New("worker is leaving")
	// ErrStopping means that this host is handing its workers over.
	ErrStopping = errors.New("entry host is stopping")
	// ErrSettling means that tasks of the former holder that are not known may
	// still run on the worker.
	ErrSettling = errors.New("task leases of the former holder may not have expired yet")
	// ErrDuplicate means that the task was given to the worker before.
	ErrDuplicate = errors.New("task was already given to the worker")
	// ErrRejected means that the worker rejected the start or did not receive it.
	ErrRejected = errors.New("worker did not take the task")
	// ErrOutcomeUnknown means that the task may have run, may be running or may
	// have ended. Status with a fence tells.
	ErrOutcomeUnknown = errors.New("outcome of the task is unknown")
)

// StartError reports a start that reached out to the worker and failed. It
// matches ErrRejected or ErrOutcomeUnknown, and its cause.
type StartError struct {
	Worker string
	Task   worker.TaskID
	// Kind is ErrRejected or ErrOutcomeUnknown.
	Kind  error
	Cause error
}

// Error implements error.
func (e *StartError) Error() string {
	return fmt.Sprintf("start of %s on %s: %s: %s", e.Task, e.Worker, e.Kind, e.Cause)
}

// Unwrap returns the kind and the cause.
func (e *StartError) Unwrap() []error { return []error{e.Kind, e.Cause} }

// AnswerError reports an answer that is missing, truncated, altered or belongs
// to another task. It matches ErrOutcomeUnknown: the task has probably run, but
// its answer has to be asked for again.
type AnswerError struct {
	Worker string
	Task   worker.TaskID
	Reason string
}

// Error implements error.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("answer of %s from %s was dropped: %s", e.Task, e.Worker, e.Reason)
}

// Is reports whether target is ErrOutcomeUnknown.
func (e *AnswerError) Is(target error) bool { return target == ErrOutcomeUnknown }

// NotRun reports whether an error of Start proves that the call did not start
// the task.
func NotRun(err error) bool {
	for _, e := range []error{ErrUnknownWorker, ErrNotHeld, ErrLeaving, ErrStopping, ErrSettling, ErrRejected} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
