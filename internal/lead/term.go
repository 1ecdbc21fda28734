package lead

import (
	"context"
	"sync"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/cell"
)

// Term is the period in which this process is the holder of one epoch.
type Term struct {
	Epoch int64
	// LeaseRecordsSince is the epoch from which on all holders before this one have kept
	// the records of silent workers, 0 if the last one has not. Records of earlier epochs
	// may be out of date.
	LeaseRecordsSince int64
	// ProcessRecordsSince is the epoch from which on all holders up to this one have stored
	// a record of each worker before they sent it a start request.
	ProcessRecordsSince int64
	// ClaimedAt is the reading of the boot clock when the claim was sent.
	ClaimedAt time.Duration
	// PreviousEpoch is the epoch of the term before, 0 if there is none, and
	// PreviousClaimedBy a reading of the boot clock before which it was claimed.
	PreviousEpoch     int64
	PreviousClaimedBy time.Duration

	mu sync.Mutex
	// confirmedAt is the reading of the boot clock (cell.BootTime) at which this
	// process was last known to be the holder.
	confirmedAt  time.Duration
	predecessors []Predecessor
	witnesses    witnessState
	cancel       context.CancelFunc
}

// NewTerm returns a term that is confirmed now, after terms of predecessors that keep
// records of silent workers and of processes. End calls cancel.
func NewTerm(epoch int64, cancel context.CancelFunc, predecessors ...Predecessor) *Term {
	now := cell.BootTime()
	return &Term{Epoch: epoch, LeaseRecordsSince: 1, ProcessRecordsSince: 1, ClaimedAt: now, confirmedAt: now, predecessors: predecessors, cancel: cancel}
}

// ConfirmationAge returns the time since this process was last known to be the
// holder.
func (t *Term) ConfirmationAge() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return cell.BootTime() - t.confirmedAt
}

// Confirm records that this process was the holder when the boot clock read at.
func (t *Term) Confirm(at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmedAt = max(t.confirmedAt, at)
	t.witnesses.confirmProposed()
}

// End ends the term, for example because another holder has fenced this one. It
// writes nothing to the store.
func (t *Term) End() { t.cancel() }
