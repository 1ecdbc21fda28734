package pool

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/lead"
	"github.com/laburnumpass/laburnumpass/internal/store"
)

const (
	// commitInterval is the least time between two appends. It trades 10 ms of
	// each placement for half of the appends.
	commitInterval = 25 * time.Millisecond
	// appendTimeout bounds one append; the store answers in 4 ms, in 240 ms when
	// it is 60 times as slow.
	appendTimeout = 700 * time.Millisecond
	// appendRetryMin and appendRetryMax bound the pause after a failed append.
	appendRetryMin = 30 * time.Millisecond
	appendRetryMax = 250 * time.Millisecond
	// stallAfter is how long an append may take before the store counts as
	// away, so that callers are refused instead of kept waiting.
	stallAfter = 400 * time.Millisecond
	// maxBatchBytes keeps one append below the store's limit of 2 MiB.
	maxBatchBytes = 1 << 20
	// recordOverhead is the framing of a record, in bytes.
	recordOverhead = 5
	// producerName names the only writer of a service's jobs.
	producerName = "scheduler"
)

// ErrNotStored means that a record was not stored and never will be.
var ErrNotStored = errors.New("not stored")

// ErrOutcomeUnknown means that a record may have been stored.
var ErrOutcomeUnknown = errors.New("it is not known whether this was stored")

type entry struct {
	records []store.Record
	// then is called once, in the order of the entries.
	then func(error)
}

// journal appends records in groups, in order, under the term's epoch.
type journal struct {
	store store.Store
	topic string
	term  *lead.Term
	log   logr.Logger

	mu      sync.Mutex
	pending []entry
	wake    chan struct{}
	// busySince is when the oldest unfinished append began; zero if none is.
	busySince time.Time
	closed    bool
}

func newJournal(s store.Store, topic string, term *lead.Term, log logr.Logger) *journal {
	return &journal{store: s, topic: topic, term: term, log: log, wake: make(chan struct{}, 1)}
}

// add queues records; then, which may be nil, learns of their fate.
func (j *journal) add(records []store.Record, then func(error)) {
	j.mu.Lock()
	if j.closed {
		j.mu.Unlock()
		if then != nil {
			// The caller may hold a lock that then takes.
			go then(errors.Wrap(ErrNotStored, "no longer the scheduler"))
		}
		return
	}
	j.pending = append(j.pending, entry{records, then})
	j.mu.Unlock()
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// stalled tells whether the store has not answered for a while.
func (j *journal) stalled() bool { return j.stalledFor(stallAfter) }

// stalledFor tells whether an append has not been answered for d.
func (j *journal) stalledFor(d time.Duration) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.busySince.IsZero() && time.Since(j.busySince) > d
}

// take returns the next batch.
func (j *journal) take() []entry {
	j.mu.Lock()
	defer j.mu.Unlock()
	size, n := 0, 0
	for n < len(j.pending) {
		for _, r := range j.pending[n].records {
			size += recordOverhead + len(r.Key) + len(r.Value)
		}
		if n > 0 && size > maxBatchBytes {
			break
		}
		n++
	}
	batch := j.pending[:n:n]
	j.pending = j.pending[n:]
	if n > 0 {
		j.busySince = time.Now()
	}
	return batch
}

// run appends until ctx ends or another scheduler has fenced this one. The
// first append, of first, fences the schedulers before.
func (j *journal) run(ctx context.Context, first store.Record, fenced func()) {
	defer j.close()
	sequence := int64(0)
	if err := j.append(ctx, []store.Record{first}, &sequence, true); err != nil {
		return
	}
	fenced()
	for {
		select {
		case <-ctx.Done():
			return
		case <-j.wake:
		}
		for batch := j.take(); len(batch) > 0; batch = j.take() {
			begin := time.Now()
			var records []store.Record
			for _, e := range batch {
				records = append(records, e.records...)
			}
			var err error
			if len(records) > 0 {
				err = j.append(ctx, records, &sequence, false)
			}
			j.mu.Lock()
			j.busySince = time.Time{}
			j.mu.Unlock()
			for _, e := range batch {
				if e.then != nil {
					e.then(err)
				}
			}
			if err != nil {
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(commitInterval - time.Since(begin)):
			}
		}
	}
}

// close refuses what was not sent.
func (j *journal) close() {
	j.mu.Lock()
	pending := j.pending
	j.pending, j.closed = nil, true
	j.mu.Unlock()
	for _, e := range pending {
		if e.then != nil {
			e.then(errors.Wrap(ErrNotStored, "no longer the scheduler"))
		}
	}
}

// append repeats an append until its fate is known or ctx ends. It returns
// ErrNotStored or ErrOutcomeUnknown, wrapped.
func (j *journal) append(ctx context.Context, records []store.Record, sequence *int64, first bool) error {
	unknown := false
	backoff := appendRetryMin
	for {
		callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := j.store.Append(callCtx, store.Append{
			Topic: j.topic, Records: records, Producer: producerName, Epoch: j.term.Epoch, Sequence: *sequence,
		})
		cancel()
		var wrong *store.SequenceError
		switch {
		case err == nil:
			*sequence++
			return nil
		case errors.As(err, &wrong) && unknown && wrong.Expected == *sequence+1:
			// An earlier try of this append was carried out.
			*sequence++
			return nil
		case errors.As(err, &wrong) && first && wrong.Expected != *sequence:
			*sequence = wrong.Expected
			continue
		case errors.As(err, &wrong), errors.Is(err, store.ErrFenced):
			j.log.Info("fenced in the store", "epoch", j.term.Epoch, "error", err.Error())
			j.term.Lost()
			return fate(unknown, err)
		case errors.Is(err, store.ErrUnknown):
			unknown = true
		}
		j.log.Info("append failed", "epoch", j.term.Epoch, "records", len(records), "error", err.Error(), "may_be_done", unknown)
		select {
		case <-ctx.Done():
			return fate(unknown, ctx.Err())
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, appendRetryMax)
	}
}

func fate(unknown bool, cause error) error {
	if unknown {
		return errors.Wrap(ErrOutcomeUnknown, cause.Error())
	}
	return errors.Wrap(ErrNotStored, cause.Error())
}
