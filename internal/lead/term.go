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

	mu sync.Mutex
	// confirmed is the boot time at which this process was last known to be the
	// holder.
	confirmed time.Duration
	cancel    context.CancelFunc
}

// NewTerm returns a term that is confirmed now. End calls cancel.
func NewTerm(epoch int64, cancel context.CancelFunc) *Term {
	return &Term{Epoch: epoch, confirmed: cell.BootTime(), cancel: cancel}
}

// ConfirmationAge returns the time since this process was last known to be the
// holder.
func (t *Term) ConfirmationAge() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return cell.BootTime() - t.confirmed
}

// Confirm records that this process was the holder at boot time at.
func (t *Term) Confirm(at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmed = max(t.confirmed, at)
}

// End cancels the term, for example because another holder has fenced this one.
func (t *Term) End() { t.cancel() }
