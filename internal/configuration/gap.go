package configuration

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/contract"
)

const (
	// bridgeDelay is how long a gap must last before this host bridges it, that
	// is, appends its own state as a snapshot that replaces the dropped
	// records. The delay gives peers that restarted together time to answer.
	bridgeDelay = 2 * time.Second
	// bridgeYieldDelay is added while a peer with the same state and a lower
	// name is reachable, so that normally only one host appends the snapshot.
	bridgeYieldDelay = 4 * time.Second
)

// gap describes records that the log has dropped before this host read them.
type gap struct {
	// noticedAt is when the gap was noticed, zero without a gap.
	noticedAt time.Time
	// firstKept is the offset of the first record that the log still has.
	firstKept uint64
	// askedAt is the start of the last round in which all peers were asked.
	askedAt time.Time
	// yield is set if, in the last such round, a peer with the same offset had a
	// lower name than this host.
	yield bool
	// bridgedAt is when this host last appended a snapshot to bridge the gap.
	bridgedAt time.Time
}

// resolveGap returns a state to which the records in the log can be applied:
// the first snapshot in the log that covers the dropped records. firstKept is
// the offset of the first record that the log still has. Without such a
// snapshot it fails with ErrGap; if the gap has lasted long enough, it first
// appends a snapshot, which the next poll finds.
func (r *Reader) resolveGap(ctx context.Context, cur *contract.Configuration, firstKept uint64) (*contract.Configuration, error) {
	for from, next := firstKept, firstKept+1; from < next; {
		reply, err := r.read(ctx, from)
		if err != nil {
			return nil, err
		}
		for _, rec := range reply.Records {
			env, err := contract.Decode(rec.Data)
			if err != nil || env.Snapshot == nil || env.Snapshot.Offset+1 < firstKept || env.Snapshot.Offset <= cur.Offset() {
				continue
			}
			// A host that has more of the dropped records than the author of
			// this snapshot appends its own, which then takes precedence.
			if own := cur.SkipTo(firstKept - 1); r.active.Load() == cur && own.Missed() < env.Snapshot.Missed {
				continue
			}
			base, err := contract.DecodeSnapshot(rec.Offset, rec.Data)
			if err == nil {
				r.observeSnapshot(rec, false)
				return base, nil
			}
			r.opts.Logger.Info("ignoring an unreadable snapshot", "offset", rec.Offset, "error", err.Error())
		}
		if len(reply.Records) == 0 {
			break
		}
		from, next = reply.Records[len(reply.Records)-1].Offset+1, reply.Next
	}
	if r.mayBridge(cur, firstKept) {
		if err := r.bridge(ctx, cur, firstKept); err != nil {
			return nil, err
		}
	}
	return nil, ErrGap
}

// AcceptLoss gives up the records that the log has dropped, for the case that
// no host has a state and no snapshot is left: it appends a snapshot of what
// the log still has. Only an operator can decide this. The state of a host that
// returns later with more of the records still takes precedence. AcceptLoss
// does nothing if there is no gap. If it fails with the log's error, the
// snapshot may have been written.
func (r *Reader) AcceptLoss(ctx context.Context) error {
	err := r.Sync(ctx)
	if !errors.Is(err, ErrGap) {
		return err
	}
	r.mu.Lock()
	cur, firstKept := r.latest, r.gap.firstKept
	r.mu.Unlock()
	if err := r.bridge(ctx, cur, firstKept); err != nil {
		return err
	}
	return r.Sync(ctx)
}

// mayBridge notes the gap and reports whether this host may bridge it now: cur
// is its active configuration, and a round of asking all peers since the gap
// was noticed has brought nothing newer.
func (r *Reader) mayBridge(cur *contract.Configuration, firstKept uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.gap.firstKept = firstKept
	if r.gap.noticedAt.IsZero() {
		r.gap.noticedAt = now
		r.signalFetch()
	}
	delay := bridgeDelay
	if r.gap.yield {
		delay += bridgeYieldDelay
	}
	return r.active.Load() == cur && r.latest == cur &&
		r.gap.askedAt.After(r.gap.noticedAt) && now.Sub(r.gap.noticedAt) >= delay &&
		now.Sub(r.gap.bridgedAt) >= appendTimeout
}

// bridge appends a snapshot of cur with the records that are still in the log
// applied to it. The records before firstKept are given up. The state becomes
// active only after the snapshot is read back, because another host may have
// appended such a snapshot earlier.
func (r *Reader) bridge(ctx context.Context, cur *contract.Configuration, firstKept uint64) error {
	next := cur.SkipTo(firstKept - 1)
	for end := false; !end; {
		var err error
		if next, _, end, err = r.readPage(ctx, next); err != nil {
			return err
		}
	}
	r.mu.Lock()
	r.gap.bridgedAt = time.Now()
	r.mu.Unlock()
	r.opts.Logger.Info("appending a snapshot to replace records that the log has dropped",
		"applied", cur.Offset(), "first", firstKept, "missed", next.Missed())
	return r.appendSnapshot(ctx, next)
}
