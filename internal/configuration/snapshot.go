package configuration

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/platform"
)

const (
	// snapshotRecords is the number of records after which a snapshot is due.
	snapshotRecords = 500
	// snapshotInterval is the interval at which to check whether a snapshot is
	// due.
	snapshotInterval = time.Second
	// snapshotRetryInterval is the minimum time between two attempts to append
	// a snapshot, so that after a lost reply the log can be read to find out
	// whether the append took effect.
	snapshotRetryInterval = 10 * time.Second
	// maxCounterSnapshotDelay is the maximum random delay before a host answers
	// a snapshot of lower precedence with its own. It spreads the hosts, so
	// that the snapshot of the first one makes those of the others unnecessary.
	maxCounterSnapshotDelay = 20 * time.Second
)

// snapshotStatus is what is known of the snapshots in the log.
type snapshotStatus struct {
	// offset and appended are the offset and the time, by the log service's
	// clock, of the last snapshot record of this host's history in the log.
	offset   uint64
	appended time.Time
	// counterSnapshotAt is when to append a snapshot because one of a history
	// of lower precedence was read: hosts on that history need a snapshot of
	// this host's history to switch to it. It is zero if none is needed.
	counterSnapshotAt time.Time
	// lastAttempt is when snapshotDue last decided to append a snapshot.
	lastAttempt time.Time
}

// observeSnapshot notes a snapshot that was read from the log. lowerPrecedence
// is set if this host's history takes precedence over it.
func (r *Reader) observeSnapshot(rec platform.Record, lowerPrecedence bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if lowerPrecedence && r.snapshots.counterSnapshotAt.IsZero() {
		r.snapshots.counterSnapshotAt = time.Now().Add(rand.N(maxCounterSnapshotDelay))
	}
	if !lowerPrecedence && rec.Offset > r.snapshots.offset {
		r.snapshots = snapshotStatus{offset: rec.Offset, appended: rec.Appended, lastAttempt: r.snapshots.lastAttempt}
	}
}

// snapshotLoop appends a snapshot whenever one is due.
func (r *Reader) snapshotLoop(ctx context.Context) {
	ticker := time.NewTicker(snapshotInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if c, ok := r.Current(); ok && r.snapshotDue(c) {
			if err := r.appendSnapshot(ctx, c); err != nil {
				r.opts.Logger.Info("appending a snapshot failed", "offset", c.Offset(), "error", err.Error())
			}
		}
	}
}

// snapshotDue reports whether to append a snapshot of c now, and notes the
// attempt if so.
func (r *Reader) snapshotDue(c *contract.Configuration) bool {
	snapshotter := r.opts.IsSnapshotter()
	r.mu.Lock()
	defer r.mu.Unlock()
	now, s := time.Now(), &r.snapshots
	if c.Offset() == 0 || !r.failingSince.IsZero() || now.Sub(s.lastAttempt) < snapshotRetryInterval {
		return false
	}
	due := !s.counterSnapshotAt.IsZero() && !now.Before(s.counterSnapshotAt)
	if snapshotter {
		due = due || c.Offset() >= s.offset+snapshotRecords
		due = due || r.opts.Retention > 0 && now.Sub(s.appended) >= r.opts.Retention/4
	}
	if due {
		s.lastAttempt = now
	}
	return due
}

func (r *Reader) appendSnapshot(ctx context.Context, c *contract.Configuration) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := r.opts.Log.Append(ctx, c.Snapshot().Encode())
	return err
}
