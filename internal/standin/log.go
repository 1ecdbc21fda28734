package standin

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/platform"
)

// LogOptions configures the retention of a Log.
type LogOptions struct {
	// MaxRecords is the number of records to keep; 0 means no limit.
	MaxRecords int
	// MaxAge is how long a record is kept; 0 means forever.
	MaxAge time.Duration
}

// Log is an in-memory log service. Its methods may be called concurrently.
type Log struct {
	opts LogOptions

	mu            sync.Mutex
	records       []platform.Record
	next          uint64
	outage        bool
	delay         time.Duration
	repliesToDrop int
}

var _ platform.Log = (*Log)(nil)

// NewLog returns an empty log without faults.
func NewLog(opts LogOptions) *Log {
	return &Log{opts: opts, next: 1}
}

// SetOutage makes all calls fail with platform.ErrUnavailable while on is true.
func (l *Log) SetOutage(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage = on
}

// SetDelay delays the replies to later calls by d. An append takes effect
// before the delay.
func (l *Log) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// DropAppendReplies makes the next n appends take effect but return
// platform.ErrNoReply.
func (l *Log) DropAppendReplies(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.repliesToDrop = n
}

// Append implements platform.Log.
func (l *Log) Append(ctx context.Context, data []byte) (uint64, error) {
	if err := ctx.Err(); err != nil {
		return 0, errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	l.mu.Lock()
	delay := l.delay
	if l.outage {
		l.mu.Unlock()
		return 0, errors.WithStack(platform.ErrUnavailable)
	}
	now := time.Now()
	offset := l.next
	l.next++
	l.records = append(l.records, platform.Record{Offset: offset, Appended: now.Round(0), Data: clone(data)})
	l.prune(now)
	lost := l.repliesToDrop > 0
	if lost {
		l.repliesToDrop--
	}
	l.mu.Unlock()
	if err := sleep(ctx, delay); err != nil {
		return 0, errors.Wrap(platform.ErrNoReply, err.Error())
	}
	if lost {
		return 0, errors.WithStack(platform.ErrNoReply)
	}
	return offset, nil
}

// Read implements platform.Log. It returns at most maxReadRecords records, even
// if limit is larger, or 0 or less. Offset 0 is read as 1.
func (l *Log) Read(ctx context.Context, from uint64, limit int) (platform.ReadReply, error) {
	if err := ctx.Err(); err != nil {
		return platform.ReadReply{}, errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	l.mu.Lock()
	delay := l.delay
	reply, err := l.read(max(from, 1), limit)
	l.mu.Unlock()
	if err := sleep(ctx, delay); err != nil {
		return platform.ReadReply{}, errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	return reply, err
}

const maxReadRecords = 1000

func (l *Log) read(from uint64, limit int) (platform.ReadReply, error) {
	if l.outage {
		return platform.ReadReply{}, errors.WithStack(platform.ErrUnavailable)
	}
	l.prune(time.Now())
	first := l.next - uint64(len(l.records))
	if from < first {
		return platform.ReadReply{}, errors.WithStack(&platform.TruncatedError{First: first})
	}
	reply := platform.ReadReply{First: first, Next: l.next}
	if from >= l.next {
		return reply, nil
	}
	if limit <= 0 || limit > maxReadRecords {
		limit = maxReadRecords
	}
	records := l.records[from-first:]
	records = records[:min(limit, len(records))]
	for _, r := range records {
		r.Data = clone(r.Data)
		reply.Records = append(reply.Records, r)
	}
	return reply, nil
}

// prune drops the records that are past their retention.
func (l *Log) prune(now time.Time) {
	drop := 0
	if l.opts.MaxRecords > 0 {
		drop = max(0, len(l.records)-l.opts.MaxRecords)
	}
	if l.opts.MaxAge > 0 {
		for drop < len(l.records) && now.Sub(l.records[drop].Appended) > l.opts.MaxAge {
			drop++
		}
	}
	clear(l.records[:drop])
	l.records = l.records[drop:]
}

// sleep waits for d and returns nil, or the error of ctx if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func clone(b []byte) []byte { return append([]byte(nil), b...) }
