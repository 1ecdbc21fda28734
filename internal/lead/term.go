package lead

import (
	"context"
	"sync"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/cell"
)

// Term is the time for which this process is the holder.
type Term struct {
	Epoch int64

	mu        sync.Mutex
	confirmed time.Duration
	lost      context.CancelFunc
}

// NewTerm returns a term that is confirmed now. lost is called when the term
// has ended.
func NewTerm(epoch int64, lost context.CancelFunc) *Term {
	return &Term{Epoch: epoch, confirmed: cell.BootTime(), lost: lost}
}

// ConfirmationAge returns the time since this process was last known to be the holder.
func (t *Term) ConfirmationAge() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return cell.BootTime() - t.confirmed
}

// Confirm notes that this process was the holder at boot time at.
func (t *Term) Confirm(at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmed = max(t.confirmed, at)
}

// End ends the term: another holder has fenced this one.
func (t *Term) End() { t.lost() }
