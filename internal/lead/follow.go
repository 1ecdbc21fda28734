package lead

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// follow reads renewals until the holder must be replaced. It returns an error if
// ctx is done.
func (e *Elector) follow(ctx context.Context) error {
	e.mu.Lock()
	e.lastRenewal = time.Now()
	e.mu.Unlock()
	var newest newestRenewal
	for {
		if err := ctx.Err(); err != nil {
			return errors.WithStack(err)
		}
		e.mu.Lock()
		from, holder, retired, stopped, changed := e.offset, e.holder, e.retired, e.holderStopped, e.changed
		timeout := renewalTimeout
		if e.holderSuspected {
			timeout = suspectedTimeout
		}
		timeout += e.extraPause
		sinceRenewal, replyRemaining := time.Since(e.lastRenewal), replyValidity+e.extraPause-time.Since(e.lastReply)
		skipped := e.renewalsSkipped
		e.mu.Unlock()
		if !retired && (stopped || e.vacant(holder) || sinceRenewal > timeout) {
			return nil
		}
		if replyRemaining > 0 {
			waitForChange(ctx, changed, min(replyRemaining, max(timeout-sinceRenewal, 0)+time.Millisecond))
			continue
		}
		// The wait must not last beyond the timeout for renewals.
		wait := min(readWait, max(timeout-sinceRenewal, 0)+time.Millisecond)
		if skipped {
			wait = 0
		}
		seen, err := e.read(ctx, from, wait, changed)
		switch {
		case err != nil:
			e.mu.Lock()
			e.lastRenewal = maxTime(e.lastRenewal, time.Now().Add(outageGrace-timeout))
			e.mu.Unlock()
			pause(ctx, retryPause)
		default:
			newestAge := newest.noteRead(time.Now(), seen)
			if seen > 0 {
				e.pauseReading(ctx, changed, newestAge)
			}
		}
	}
}

// newestRenewal bounds how long ago the newest renewal was appended. A read after a pause
// returns all renewals of the pause, also if the holder died early in it. Renewals are
// appended at least renewInterval apart, so their number bounds the age of the last one.
type newestRenewal struct {
	// readAt is when the topic was last read to its end, and appendedAt the earliest
	// time at which the newest renewal may have been appended.
	readAt, appendedAt time.Time
}

// noteRead records a read to the end of the topic that returned a number of renewals,
// and returns the greatest possible age of the newest one.
func (n *newestRenewal) noteRead(now time.Time, renewals int) time.Duration {
	if renewals > 0 {
		afterOlder := n.appendedAt.Add(time.Duration(renewals) * renewInterval)
		afterRead := n.readAt.Add(time.Duration(renewals-1) * renewInterval)
		n.appendedAt = maxTime(afterOlder, afterRead)
		if n.appendedAt.After(now) {
			n.appendedAt = now
		}
	}
	n.readAt = now
	return now.Sub(n.appendedAt)
}

// pauseReading waits until the holder record is read again after a renewal. A
// lengthened pause is counted from the renewal, which is up to age old. The holder has
// renewed, as far as is known, until the pause ends.
func (e *Elector) pauseReading(ctx context.Context, changed <-chan struct{}, age time.Duration) {
	e.mu.Lock()
	extra := e.readPause
	e.mu.Unlock()
	length := readInterval
	if extra > 0 {
		length = max(readInterval+extra-age, 0)
	}
	select {
	case <-ctx.Done():
		return
	case <-changed:
		return
	case <-time.After(length):
	}
	if extra > 0 {
		e.mu.Lock()
		e.lastRenewal = maxTime(e.lastRenewal, time.Now().Add(-readInterval))
		e.mu.Unlock()
	}
}
