package configuration

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/platform"
)

// pollLoop polls the log every pollInterval on the poller, and every
// fallbackInterval on other hosts.
func (r *Reader) pollLoop(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		r.mu.Lock()
		fallbackDue := r.lastPoll.IsZero() || time.Since(r.lastPoll) >= fallbackInterval
		r.mu.Unlock()
		if fallbackDue || r.opts.IsPoller() {
			r.mu.Lock()
			r.lastPoll = time.Now()
			r.mu.Unlock()
			if err := r.Sync(ctx); err != nil && ctx.Err() == nil {
				r.opts.Logger.V(1).Info("poll of the log failed", "error", err.Error())
			}
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// Sync reads the log to its end. It fails with the log's error, ErrGap or ctx's
// error.
func (r *Reader) Sync(ctx context.Context) error {
	select {
	case r.pollSemaphore <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-r.pollSemaphore }()
	err := r.readToEnd(ctx)
	r.mu.Lock()
	if err == nil {
		r.failingSince, r.gap, r.lastPoll = time.Time{}, gap{}, time.Now()
	} else if ctx.Err() == nil && r.failingSince.IsZero() {
		// If ctx has ended, the caller gave up and the log may be healthy.
		r.failingSince = time.Now()
		r.signalFetch()
	}
	r.mu.Unlock()
	return err
}

// readToEnd reads and installs pages until the end of the log. It starts again
// from a snapshot if the log has dropped the next records.
func (r *Reader) readToEnd(ctx context.Context) error {
	cur, gapEnd := r.latestState(), uint64(0)
	for {
		next, records, end, err := r.readPage(ctx, cur)
		var truncated *platform.TruncatedError
		if errors.As(err, &truncated) {
			cur, err = r.resolveGap(ctx, cur, truncated.First)
			if err != nil {
				return err
			}
			gapEnd = truncated.First
			continue
		}
		if err != nil {
			return err
		}
		r.install(next, records, gapEnd, end)
		if end {
			return nil
		}
		cur = next
	}
}

// readPage reads one page of records after cur and applies it. end reports
// whether the result has reached the end of the log.
func (r *Reader) readPage(ctx context.Context, cur *contract.Configuration) (next *contract.Configuration, records []platform.Record, end bool, err error) {
	reply, err := r.read(ctx, cur.Offset()+1)
	if err != nil {
		return nil, nil, false, err
	}
	if reply.Next <= cur.Offset() {
		return nil, nil, false, errors.Errorf("the log ends at offset %d, before the applied offset %d", reply.Next, cur.Offset())
	}
	next, records = r.apply(cur, reply.Records, reply.First)
	end = next.Offset()+1 >= reply.Next
	if !end && next == cur {
		return nil, nil, false, errors.Errorf("the log returned no record at offset %d before its end %d", cur.Offset()+1, reply.Next)
	}
	return next, records, end, nil
}

func (r *Reader) read(ctx context.Context, from uint64) (platform.ReadReply, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return r.opts.Log.Read(ctx, from, pageRecords)
}
