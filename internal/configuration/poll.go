package configuration

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/platform"
)

func (r *Reader) pollLoop(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		r.mu.Lock()
		due := r.pollTime.IsZero() || time.Since(r.pollTime) >= fallbackInterval
		r.mu.Unlock()
		if due || r.opts.IsPoller() {
			r.mu.Lock()
			r.pollTime = time.Now()
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

// Sync reads the log to its end. It fails with the log's error, with ErrGap,
// or with ctx's error.
func (r *Reader) Sync(ctx context.Context) error {
	select {
	case r.pollSlot <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-r.pollSlot }()
	err := r.poll(ctx)
	r.mu.Lock()
	if err == nil {
		r.failingSince, r.gap, r.pollTime = time.Time{}, gap{}, time.Now()
	} else if ctx.Err() == nil && r.failingSince.IsZero() {
		// A caller that gives up early says nothing about the log.
		r.failingSince = time.Now()
		r.wakeFetch()
	}
	r.mu.Unlock()
	return err
}

func (r *Reader) poll(ctx context.Context) error {
	cur, crossing := r.state(), uint64(0)
	for {
		next, records, end, err := r.advance(ctx, cur)
		var truncated *platform.TruncatedError
		if errors.As(err, &truncated) {
			cur, err = r.cover(ctx, cur, truncated.First)
			if err != nil {
				return err
			}
			crossing = truncated.First
			continue
		}
		if err != nil {
			return err
		}
		r.install(next, records, crossing, end)
		if end {
			return nil
		}
		cur = next
	}
}

// advance reads and folds one page of records after cur. end reports whether
// the result has reached the end of the log.
func (r *Reader) advance(ctx context.Context, cur *contract.Configuration) (next *contract.Configuration, records []platform.Record, end bool, err error) {
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
