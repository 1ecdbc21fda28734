package pool

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/lead"
	"github.com/laburnumpass/laburnumpass/internal/store"
)

const (
	// commitInterval is the minimum time between two appends. It adds 10 ms to
	// each placement and halves the number of appends.
	commitInterval = 25 * time.Millisecond
	// appendTimeout bounds one attempt of an append. The store replies in 4 ms,
	// or in 240 ms when it is 60 times as slow.
	appendTimeout = 700 * time.Millisecond
	// appendRetryMin and appendRetryMax bound the pause after a failed append.
	appendRetryMin = 30 * time.Millisecond
	appendRetryMax = 250 * time.Millisecond
	// stallThreshold is how long an append may take, retries included, before
	// the store counts as unavailable, so that callers are refused instead of
	// kept waiting.
	stallThreshold = 400 * time.Millisecond
	// maxBatchBytes bounds the records of one append, in addition to the store's limit.
	maxBatchBytes = 1 << 20
	// recordOverhead is the framing of a record, in bytes.
	recordOverhead = 5
	// defaultMaxAppendBytes is the limit of the current deployments.
	defaultMaxAppendBytes = 2 << 20
	// producerName identifies the scheduler as the only writer to a service's
	// job topic.
	producerName = "scheduler"
)

// ErrNotStored means that a record was not stored and never will be.
var ErrNotStored = errors.New("the record was not stored")

// ErrRecordRejected means that a record was not stored and cannot be, because it is
// invalid or too large for the store.
var ErrRecordRejected = errors.New("the store cannot take the record")

// ErrOutcomeUnknown means that a record may or may not have been stored.
var ErrOutcomeUnknown = errors.New("the record may or may not have been stored")

// appendRequest is a group of records that are stored in order, by one append if they fit
// into one and none of them is rejected. Of a larger group, the first records may be
// stored without the others when the term ends.
type appendRequest struct {
	records []store.Record
	// onDone is called once with the result, in the order of the requests. It
	// may be nil.
	onDone func(error)
	// mayBeRejected is set if onDone handles ErrRecordRejected. Without it a rejection
	// ends the term, since the scheduler has already changed its state as if the records
	// were stored; the next one reads what is stored and asks the workers.
	mayBeRejected bool
}

// journal appends records to the store in batches, in order, under the term's
// epoch.
type journal struct {
	store store.Store
	topic string
	term  *lead.Term
	log   logr.Logger
	// maxBytes bounds the records of one append, with their framing.
	maxBytes int

	mu      sync.Mutex
	pending []appendRequest
	wake    chan struct{}
	// busySince is when the append in progress began, retries included; zero if
	// there is none. There is at most one at a time. It is not set during the
	// first append of the term.
	busySince time.Time
	closed    bool
}

func newJournal(s store.Store, topic string, maxAppendBytes int, term *lead.Term, log logr.Logger) *journal {
	maxBytes := min(maxBatchBytes, cmp.Or(maxAppendBytes, defaultMaxAppendBytes))
	return &journal{store: s, topic: topic, maxBytes: maxBytes, term: term, log: log, wake: make(chan struct{}, 1)}
}

// storedSize returns the size of a record in an append.
func storedSize(r store.Record) int { return recordOverhead + len(r.Key) + len(r.Value) }

// add queues a request.
func (j *journal) add(req appendRequest) {
	j.mu.Lock()
	if j.closed {
		j.mu.Unlock()
		if req.onDone != nil {
			// The caller may hold a lock that onDone acquires.
			go req.onDone(errors.Wrap(ErrNotStored, "no longer the scheduler"))
		}
		return
	}
	j.pending = append(j.pending, req)
	j.mu.Unlock()
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// stalled reports whether the append in progress has taken longer than
// stallThreshold, retries included. The first append of the term does not count.
func (j *journal) stalled() bool { return j.stalledFor(stallThreshold) }

// stalledFor reports whether the append in progress has taken longer than d,
// retries included. The first append of the term does not count.
func (j *journal) stalledFor(d time.Duration) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.busySince.IsZero() && time.Since(j.busySince) > d
}

// nextBatch removes and returns the next batch of at most maxBytes, or one
// larger request.
func (j *journal) nextBatch() []appendRequest {
	j.mu.Lock()
	defer j.mu.Unlock()
	size, n := 0, 0
	for n < len(j.pending) {
		for _, r := range j.pending[n].records {
			size += storedSize(r)
		}
		if n > 0 && size > j.maxBytes {
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

// run appends until ctx is cancelled or another scheduler fences this one. The
// first append, of the record first, fences predecessors; then run calls
// onFenced.
func (j *journal) run(ctx context.Context, first store.Record, onFenced func()) {
	defer j.close()
	sequence := int64(0)
	if err := j.append(ctx, []store.Record{first}, &sequence, true); err != nil {
		return
	}
	onFenced()
	for {
		select {
		case <-ctx.Done():
			return
		case <-j.wake:
		}
		for batch := j.nextBatch(); len(batch) > 0; batch = j.nextBatch() {
			begin := time.Now()
			if !j.storeBatch(ctx, batch, &sequence) {
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

// storeBatch stores a batch and reports whether the journal can go on. If the store
// rejects an append, the requests are stored one by one, so that only those fail that it
// cannot take.
func (j *journal) storeBatch(ctx context.Context, batch []appendRequest, sequence *int64) bool {
	var records []store.Record
	for _, req := range batch {
		records = append(records, req.records...)
	}
	err := j.appendInParts(ctx, records, sequence)
	rejected := errors.Is(err, ErrRecordRejected)
	if rejected && len(batch) > 1 {
		for n := range batch {
			if !j.storeBatch(ctx, batch[n:n+1], sequence) {
				j.mu.Lock()
				j.pending = append(batch[n+1:], j.pending...)
				j.mu.Unlock()
				return false
			}
		}
		return true
	}
	if rejected && !batch[0].mayBeRejected {
		j.log.Info("ending the term", "epoch", j.term.Epoch, "error", err.Error())
		j.term.End()
		err, rejected = appendError(false, err), false
	}
	j.mu.Lock()
	j.busySince = time.Time{}
	j.mu.Unlock()
	for _, req := range batch {
		if req.onDone != nil {
			req.onDone(err)
		}
	}
	return err == nil || rejected
}

// appendInParts appends records in order, by as few appends as the limit allows.
func (j *journal) appendInParts(ctx context.Context, records []store.Record, sequence *int64) error {
	for len(records) > 0 {
		n, size := 1, storedSize(records[0])
		for n < len(records) && size+storedSize(records[n]) <= j.maxBytes {
			size += storedSize(records[n])
			n++
		}
		if err := j.append(ctx, records[:n], sequence, false); err != nil {
			return err
		}
		records = records[n:]
		j.mu.Lock()
		j.busySince = time.Now()
		j.mu.Unlock()
	}
	return nil
}

// close fails all requests that were not sent.
func (j *journal) close() {
	j.mu.Lock()
	pending := j.pending
	j.pending, j.closed = nil, true
	j.mu.Unlock()
	for _, req := range pending {
		if req.onDone != nil {
			req.onDone(errors.Wrap(ErrNotStored, "no longer the scheduler"))
		}
	}
}

// append retries until the outcome is known or ctx is cancelled. It returns a
// wrapped ErrNotStored, ErrRecordRejected or ErrOutcomeUnknown. If first is set, it
// adopts the sequence number that the store expects. If another scheduler has fenced
// this one, it ends the term.
func (j *journal) append(ctx context.Context, records []store.Record, sequence *int64, first bool) error {
	outcomeUnknown := false
	backoff := appendRetryMin
	for {
		callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := j.store.Append(callCtx, store.Append{
			Topic: j.topic, Records: records, Producer: producerName, Epoch: j.term.Epoch, Sequence: *sequence,
		})
		cancel()
		var sequenceErr *store.SequenceError
		switch {
		case err == nil:
			*sequence++
			return nil
		case errors.As(err, &sequenceErr) && outcomeUnknown && sequenceErr.Expected == *sequence+1:
			// An earlier attempt at this append was carried out.
			*sequence++
			return nil
		case errors.As(err, &sequenceErr) && first && sequenceErr.Expected != *sequence:
			*sequence = sequenceErr.Expected
			continue
		case errors.As(err, &sequenceErr), errors.Is(err, store.ErrFenced):
			j.log.Info("fenced in the store", "epoch", j.term.Epoch, "error", err.Error())
			j.term.End()
			return appendError(outcomeUnknown, err)
		case errors.Is(err, store.ErrRejected) && !outcomeUnknown && !first:
			// The sequence number stays free for the next append.
			j.log.Error(err, "append rejected", "epoch", j.term.Epoch, "records", len(records), "first_key", records[0].Key)
			return errors.Wrap(ErrRecordRejected, err.Error())
		case errors.Is(err, store.ErrRejected):
			// Either the sequence number may have been used or the term cannot begin.
			j.log.Error(err, "append rejected, ending the term", "epoch", j.term.Epoch, "records", len(records))
			j.term.End()
			return appendError(outcomeUnknown, err)
		case errors.Is(err, store.ErrOutcomeUnknown):
			outcomeUnknown = true
		}
		j.log.Info("append failed", "epoch", j.term.Epoch, "records", len(records), "error", err.Error(), "may_be_done", outcomeUnknown)
		select {
		case <-ctx.Done():
			return appendError(outcomeUnknown, ctx.Err())
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, appendRetryMax)
	}
}

// appendError returns the error for an append that failed for good because of
// cause.
func appendError(outcomeUnknown bool, cause error) error {
	if outcomeUnknown {
		return errors.Wrap(ErrOutcomeUnknown, cause.Error())
	}
	return errors.Wrap(ErrNotStored, cause.Error())
}
