package configuration

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/contract"
)

const (
	// bridgeDelay is the time for which a gap must last before this host
	// writes its own state as a snapshot over it. It leaves neighbours that
	// restarted together the time to answer.
	bridgeDelay = 2 * time.Second
	// bridgeTurn is added while a neighbour with the same state and a lower
	// name is reachable, so that normally one host writes the snapshot.
	bridgeTurn = 4 * time.Second
)

// gap is the state of a host for which the log has dropped unread records.
type gap struct {
	// since is when the gap was noticed, zero without a gap.
	since time.Time
	// first is the offset of the first record that the log still has.
	first uint64
	// asked is the start of the last round in which all neighbours were asked.
	asked time.Time
	// yield is set if a neighbour with the same offset has a lower name.
	yield bool
	// wrote is when this host last wrote a snapshot over the gap.
	wrote time.Time
}

// cover returns a state from which the log's records, of which the first kept
// one is given, can be folded: the first snapshot in the log that covers the
// dropped records. Without one it fails with ErrGap, after a while also
// writing a snapshot that the next poll finds.
func (r *Reader) cover(ctx context.Context, cur *contract.Configuration, first uint64) (*contract.Configuration, error) {
	for from, next := first, first+1; from < next; {
		reply, err := r.read(ctx, from)
		if err != nil {
			return nil, err
		}
		for _, rec := range reply.Records {
			env, err := contract.Decode(rec.Data)
			if err != nil || env.Snapshot == nil || env.Snapshot.Offset+1 < first || env.Snapshot.Offset <= cur.Offset() {
				continue
			}
			// A host that knows more of the dropped records than the writer of
			// this snapshot writes its own, which then takes precedence.
			if own := cur.SkipTo(first - 1); r.inForce.Load() == cur && own.Missed() < env.Snapshot.Missed {
				continue
			}
			base, err := contract.DecodeSnapshot(rec.Offset, rec.Data)
			if err == nil {
				r.noteSnapshot(rec, false)
				return base, nil
			}
			r.opts.Logger.Info("ignored an unreadable snapshot", "offset", rec.Offset, "error", err.Error())
		}
		if len(reply.Records) == 0 {
			break
		}
		from, next = reply.Records[len(reply.Records)-1].Offset+1, reply.Next
	}
	if r.mayBridge(cur, first) {
		if err := r.bridge(ctx, cur, first); err != nil {
			return nil, err
		}
	}
	return nil, ErrGap
}

// AcceptLoss gives up the records that the log has dropped, for a cell in
// which no host has a state and no snapshot is left: it appends a snapshot of
// what the log still has. Only an operator can decide this; a host that knows
// more still takes precedence when it returns. It does nothing if there is no
// gap, and fails with the log's error; the snapshot may then have been written.
func (r *Reader) AcceptLoss(ctx context.Context) error {
	err := r.Sync(ctx)
	if !errors.Is(err, ErrGap) {
		return err
	}
	r.mu.Lock()
	cur, first := r.folded, r.gap.first
	r.mu.Unlock()
	if err := r.bridge(ctx, cur, first); err != nil {
		return err
	}
	return r.Sync(ctx)
}

// mayBridge notes the gap and reports whether this host's state is the best
// that is known: it isn't a guess, and a round of asking all neighbours since
// the gap was noticed has brought nothing newer.
func (r *Reader) mayBridge(cur *contract.Configuration, first uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.gap.first = first
	if r.gap.since.IsZero() {
		r.gap.since = now
		r.wakeFetch()
	}
	delay := bridgeDelay
	if r.gap.yield {
		delay += bridgeTurn
	}
	return r.inForce.Load() == cur && r.folded == cur &&
		r.gap.asked.After(r.gap.since) && now.Sub(r.gap.since) >= delay &&
		now.Sub(r.gap.wrote) >= appendTimeout
}

// bridge appends a snapshot of cur, with the records that are still in the
// log folded onto it. The records before first are given up. The state comes
// into force only as it is read back, because another host may have written
// such a snapshot earlier.
func (r *Reader) bridge(ctx context.Context, cur *contract.Configuration, first uint64) error {
	next := cur.SkipTo(first - 1)
	for end := false; !end; {
		var err error
		if next, _, end, err = r.advance(ctx, next); err != nil {
			return err
		}
	}
	r.mu.Lock()
	r.gap.wrote = time.Now()
	r.mu.Unlock()
	r.opts.Logger.Info("appending a snapshot over records that the log has dropped",
		"applied", cur.Offset(), "first", first, "missed", next.Missed())
	return r.appendSnapshot(ctx, next)
}
