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
	// snapshotInterval is the interval of checking whether one is due.
	snapshotInterval = time.Second
	// snapshotRetry is the least time between two appends, so that a lost
	// reply can be settled by reading the log.
	snapshotRetry = 10 * time.Second
	// contestedSpread spreads the hosts that answer a snapshot of lower
	// precedence, so that the first one's answer spares the others theirs.
	contestedSpread = 20 * time.Second
)

// snapshots is what is known of the snapshots in the log.
type snapshots struct {
	// offset and appended are those of the last snapshot of this history;
	// appended is the log service's time.
	offset   uint64
	appended time.Time
	// contested is set when a snapshot of a history of lower precedence was
	// read: hosts on that history need one of this history from this time on.
	contested time.Time
	tried     time.Time
}

func (r *Reader) noteSnapshot(rec platform.Record, worse bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if worse && r.snapshots.contested.IsZero() {
		r.snapshots.contested = time.Now().Add(rand.N(contestedSpread))
	}
	if !worse && rec.Offset > r.snapshots.offset {
		r.snapshots = snapshots{offset: rec.Offset, appended: rec.Appended, tried: r.snapshots.tried}
	}
}

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
				r.opts.Logger.Info("append of a snapshot failed", "offset", c.Offset(), "error", err.Error())
			}
		}
	}
}

// snapshotDue reports whether to append a snapshot of c now.
func (r *Reader) snapshotDue(c *contract.Configuration) bool {
	snapshotter := r.opts.IsSnapshotter()
	r.mu.Lock()
	defer r.mu.Unlock()
	now, s := time.Now(), &r.snapshots
	if c.Offset() == 0 || !r.failingSince.IsZero() || now.Sub(s.tried) < snapshotRetry {
		return false
	}
	due := !s.contested.IsZero() && !now.Before(s.contested)
	if snapshotter {
		due = due || c.Offset() >= s.offset+snapshotRecords
		due = due || r.opts.Retention > 0 && now.Sub(s.appended) >= r.opts.Retention/4
	}
	if due {
		s.tried = now
	}
	return due
}

func (r *Reader) appendSnapshot(ctx context.Context, c *contract.Configuration) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := r.opts.Log.Append(ctx, c.Snapshot().Encode())
	return err
}
