package configuration

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/platform"
)

// Status is the status of a publish.
type Status string

// Statuses of a publish.
const (
	// StatusAccepted means that the record was read back and its change is
	// active.
	StatusAccepted Status = "accepted"
	// StatusLostRace means that the object's version differs from the one on
	// which the record is based. The record changed nothing.
	StatusLostRace Status = "lost_race"
	// StatusInvalid means that the record isn't allowed. It changed nothing.
	StatusInvalid Status = "invalid"
	// StatusUnavailable means that this publish has definitely not appended the
	// record.
	StatusUnavailable Status = "unavailable"
	// StatusUnknown means that the record may have been published. Repeating
	// the publish with the same publish ID determines the result.
	StatusUnknown Status = "unknown"
)

const (
	// publishTimeout bounds a whole publish.
	publishTimeout = 10 * time.Second
	// retryInterval is the time after which an append without a reply is
	// repeated, and the time between reads of the log for the record.
	retryInterval = 500 * time.Millisecond
	// maxUnconfirmed bounds the number of publish IDs in Publisher.unconfirmed.
	maxUnconfirmed = 1024
)

// Result is the result of a publish.
type Result struct {
	Status Status
	// PublishID is the record's publish ID, or the generated one if it had
	// none.
	PublishID string
	// Offset is the offset of the record in the log and, if it was accepted,
	// the new version of the object; 0 if the record isn't known to be in the
	// log.
	Offset uint64
	// WinnerOffset and WinnerAuthor identify the change that won a lost race; 0
	// if the object doesn't exist and its history is no longer kept.
	WinnerOffset uint64
	WinnerAuthor string
	// Fields holds the field errors of an invalid record.
	Fields []contract.FieldError
	// Cause is the reason why the status is unavailable or unknown.
	Cause error
}

// Publisher publishes configuration changes. Its methods are safe for
// concurrent use.
type Publisher struct {
	reader *Reader
	log    platform.Log

	mu sync.Mutex
	// unconfirmed holds the publish IDs that an append of this host may have
	// written to the log and that haven't been read back, with the time of the
	// last append.
	unconfirmed map[string]time.Time
}

// NewPublisher returns a Publisher that appends records to log and reads them
// back through reader, whose Run must be active.
func NewPublisher(reader *Reader, log platform.Log) *Publisher {
	return &Publisher{reader: reader, log: log, unconfirmed: map[string]time.Time{}}
}

// Unconfirmed returns the number of publish IDs that this host may have written
// to the log and that haven't been read back, at most 1,024.
func (p *Publisher) Unconfirmed() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.unconfirmed)
}

// Publish appends a record and waits until it is read back, for at most 10 s. A
// record without a publish ID gets one. The error is not nil only if ctx ended
// or the time was up before the result was known, or if the record can't be
// encoded; the status then is unavailable or unknown. If a publish that ended
// as unknown on another host is repeated here, it may end as unavailable, which
// says nothing about the earlier attempt.
func (p *Publisher) Publish(ctx context.Context, rec contract.Record) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	if rec.PublishID == "" {
		rec.PublishID = uuid.Must(uuid.NewV7()).String()
	}
	res := Result{Status: StatusUnavailable, PublishID: rec.PublishID}
	if p.maybePublished(rec.PublishID) {
		res.Status = StatusUnknown
	}
	if done, known := p.knownResult(rec); known {
		return done, nil
	}
	// The record is checked against the newest state only, because an older one
	// would reject a record that has become valid since.
	if res.Cause = p.reader.Sync(ctx); res.Cause != nil {
		return res, ctx.Err()
	}
	if done, known := p.knownResult(rec); known {
		return done, nil
	}
	if done, rejected := p.rejectEarly(rec); rejected {
		return done, nil
	}
	data, err := rec.Encode()
	if err != nil {
		return res, err
	}
	return p.appendAndConfirm(ctx, rec, data, res)
}

// appendAndConfirm appends the record and reads the log until the record's
// result is known or ctx ends. It repeats appends without a reply.
func (p *Publisher) appendAndConfirm(ctx context.Context, rec contract.Record, data []byte, res Result) (Result, error) {
	for {
		p.setConfirmed(rec.PublishID, false)
		offset, err := p.log.Append(ctx, data)
		switch {
		case err == nil:
			res.Status, res.Offset, res.Cause = StatusUnknown, offset, nil
		case errors.Is(err, platform.ErrUnavailable):
			if res.Status == StatusUnavailable {
				p.setConfirmed(rec.PublishID, true)
				res.Cause = err
				return res, ctx.Err()
			}
			res.Cause = err
		default:
			res.Status, res.Cause = StatusUnknown, err
		}
		for {
			waitCtx, cancel := context.WithTimeout(ctx, retryInterval)
			changed := p.reader.Changed()
			err := p.reader.Sync(waitCtx)
			if done, known := p.knownResult(rec); known {
				cancel()
				return done, nil
			}
			if err == nil && res.Offset > 0 && p.reader.AppliedOffset() >= res.Offset {
				cancel()
				res.Cause = errors.Errorf("the record at offset %d is not part of the history that was read", res.Offset)
				return res, nil
			}
			select {
			case <-changed:
			case <-waitCtx.Done():
			}
			elapsed := waitCtx.Err() != nil
			cancel()
			if ctx.Err() != nil {
				return res, ctx.Err()
			}
			if res.Offset == 0 && elapsed {
				break
			}
		}
	}
}

// knownResult returns the result of a record that was read back already.
func (p *Publisher) knownResult(rec contract.Record) (Result, bool) {
	c, ok := p.reader.Current()
	if !ok {
		return Result{}, false
	}
	outcome, ok := c.Published(rec.PublishID)
	if !ok {
		return Result{}, false
	}
	p.setConfirmed(rec.PublishID, true)
	if !outcome.Matches(rec) {
		return Result{Status: StatusInvalid, PublishID: rec.PublishID, Fields: []contract.FieldError{contract.ReusedIDError(rec)}}, true
	}
	res := Result{PublishID: rec.PublishID, Offset: outcome.Offset, WinnerOffset: outcome.WinnerOffset,
		WinnerAuthor: outcome.WinnerAuthor, Fields: outcome.Fields}
	switch outcome.Status {
	case contract.StatusAccepted:
		res.Status = StatusAccepted
	case contract.StatusLostRace:
		res.Status = StatusLostRace
	default:
		res.Status = StatusInvalid
	}
	return res, true
}

// rejectEarly returns the result of a record that can no longer be accepted. A
// record that may be in the log already isn't rejected here, because only
// reading the log can determine its result.
func (p *Publisher) rejectEarly(rec contract.Record) (Result, bool) {
	c, ok := p.reader.Current()
	if !ok || p.maybePublished(rec.PublishID) {
		return Result{}, false
	}
	res := Result{PublishID: rec.PublishID}
	if c.Version(rec.Kind, rec.Name) != rec.BasedOn {
		res.Status = StatusLostRace
		if changes := c.History(rec.Kind, rec.Name); len(changes) > 0 {
			last := changes[len(changes)-1]
			res.WinnerOffset, res.WinnerAuthor = last.Offset, last.Author
		}
		return res, true
	}
	var invalid *contract.ValidationError
	if errors.As(c.Check(rec), &invalid) {
		res.Status, res.Fields = StatusInvalid, invalid.Fields
		return res, true
	}
	return Result{}, false
}

// maybePublished reports whether an append on this host may have written the
// publish ID to the log.
func (p *Publisher) maybePublished(publishID string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.unconfirmed[publishID]
	return ok
}

// setConfirmed removes a publish ID from unconfirmed if its record was read back
// or is known not to be in the log. Otherwise it adds the ID before an append; if
// there are too many, it forgets the one with the oldest append.
func (p *Publisher) setConfirmed(publishID string, confirmed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if confirmed {
		delete(p.unconfirmed, publishID)
		return
	}
	p.unconfirmed[publishID] = time.Now()
	if len(p.unconfirmed) <= maxUnconfirmed {
		return
	}
	oldest := publishID
	for id, at := range p.unconfirmed {
		if at.Before(p.unconfirmed[oldest]) {
			oldest = id
		}
	}
	delete(p.unconfirmed, oldest)
}
