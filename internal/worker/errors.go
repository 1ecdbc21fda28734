package worker

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Errors returned by a Worker.
var (
	// ErrNotDelivered means that the worker did not receive the call.
	ErrNotDelivered = errors.New("worker did not receive the call")
	// ErrNoReply means that no valid reply was received. The call may have taken
	// effect.
	ErrNoReply = errors.New("no reply from worker; the call may have taken effect")
	// ErrStaleEpoch means that the caller no longer holds the worker.
	ErrStaleEpoch = errors.New("epoch is not the current epoch of the worker lease")
	// ErrFenced means that the task was fenced, or its lease had expired,
	// before it began. It has not run.
	ErrFenced = errors.New("task was fenced or its lease expired before it began")
	// ErrDuplicateTask means that the worker has already begun the task.
	ErrDuplicateTask = errors.New("task has already begun on this worker")
)

// HeldError reports that another host has a valid lease on the worker.
type HeldError struct {
	Holder string
	// Remaining is the time until that lease expires unless it is renewed.
	Remaining time.Duration
}

// Error implements error.
func (e *HeldError) Error() string {
	return fmt.Sprintf("worker is held by %s for another %s", e.Holder, e.Remaining)
}
