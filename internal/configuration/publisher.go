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
	// StatusAccepted means that the record was read back and is in force.
	StatusAccepted Status = "accepted"
	// StatusLostRace means that the object has another version than the record
	// was based on. The record changed nothing.
	StatusLostRace Status = "lost_race"
	// StatusInvalid means that the record isn't allowed and changed nothing.
	StatusInvalid Status = "invalid"
	// StatusUnavailable means that the record was certainly not published.
	StatusUnavailable Status = "unavailable"
	// StatusUnknown means that the record may be published. A repetition with
	// the same publish ID settles it.
	StatusUnknown Status = "unknown"
)

const (
	// publishTimeout bounds a publish.
	publishTimeout = 10 * time.Second
	// repeatInterval is the time after an append without a reply until it is
	// repeated, and the time between reads for a record.
	repeatInterval = 500 * time.Millisecond
	// maxUnsettled bounds the publish IDs that are remembered as unsettled.
	maxUnsettled = 1024
)

// Result is the result of a publish.
type Result struct {
	Status Status
	// PublishID is the record's, or the generated one if it had none.
	PublishID string
	// Offset is the offset of the record in the log and the new version of the
	// object if accepted; 0 if the record isn't known to be in the log.
	Offset uint64
	// WinnerOffset and WinnerAuthor name the current version after a lost
	// race; 0 if the object doesn't exist and its deletion is forgotten.
	WinnerOffset uint64
	WinnerAuthor string
	// Fields holds the field errors of an invalid record.
	Fields []contract.FieldError
	// Cause says why the status is unavailable or unknown.
	Cause error
}

// Publisher publishes changes of the configuration. Its methods are safe for
// concurrent use.
type Publisher struct {
	reader *Reader
	log    platform.Log

	mu sync.Mutex
	// unsettled holds the publish IDs that may be in the log although they
	// haven't been read back, with the time of the last append.
	unsettled map[string]time.Time
}

// NewPublisher returns a Publisher that appends to log and reads back through
// reader, whose Run must be active.
func NewPublisher(reader *Reader, log platform.Log) *Publisher {
	return &Publisher{reader: reader, log: log, unsettled: map[string]time.Time{}}
}

// Unsettled returns the number of publish IDs whose outcome is not
// known, at most 1,024.
func (p *Publisher) Unsettled() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.unsettled)
}

// Publish appends a record and waits until it is read back, for at most 10 s.
// A record without a publish ID gets one. The error is not nil exactly if ctx
// ended or the time was up before the status was settled; the status then is
// unavailable or unknown. A repetition of a publish that ended as unknown on
// another host may end as unavailable, which then holds for this call only.
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
	if done, settled := p.settled(rec); settled {
		return done, nil
	}
	// A record is refused or appended only on the newest state, so that an
	// older one doesn't refuse what has become valid.
	if res.Cause = p.reader.Sync(ctx); res.Cause != nil {
		return res, ctx.Err()
	}
	if done, settled := p.settled(rec); settled {
		return done, nil
	}
	if done, refused := p.refuse(rec); refused {
		return done, nil
	}
	data, err := rec.Encode()
	if err != nil {
		return res, err
	}
	return p.append(ctx, rec, data, res)
}

// append appends the record until it is read back or ctx ends.
func (p *Publisher) append(ctx context.Context, rec contract.Record, data []byte, res Result) (Result, error) {
	for {
		p.settle(rec.PublishID, false)
		offset, err := p.log.Append(ctx, data)
		switch {
		case err == nil:
			res.Status, res.Offset, res.Cause = StatusUnknown, offset, nil
		case errors.Is(err, platform.ErrUnavailable):
			if res.Status == StatusUnavailable {
				p.settle(rec.PublishID, true)
				res.Cause = err
				return res, ctx.Err()
			}
			res.Cause = err
		default:
			res.Status, res.Cause = StatusUnknown, err
		}
		for {
			wait, cancel := context.WithTimeout(ctx, repeatInterval)
			changed := p.reader.Changed()
			err := p.reader.Sync(wait)
			if done, settled := p.settled(rec); settled {
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
			case <-wait.Done():
			}
			elapsed := wait.Err() != nil
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

// settled returns the result of a record that was read back before.
func (p *Publisher) settled(rec contract.Record) (Result, bool) {
	c, ok := p.reader.Current()
	if !ok {
		return Result{}, false
	}
	out, ok := c.Published(rec.PublishID)
	if !ok {
		return Result{}, false
	}
	p.settle(rec.PublishID, true)
	if !out.Matches(rec) {
		return Result{Status: StatusInvalid, PublishID: rec.PublishID, Fields: []contract.FieldError{contract.ReusedIDError(rec)}}, true
	}
	res := Result{PublishID: rec.PublishID, Offset: out.Offset, WinnerOffset: out.WinnerOffset,
		WinnerAuthor: out.WinnerAuthor, Fields: out.Fields}
	switch out.Status {
	case contract.StatusAccepted:
		res.Status = StatusAccepted
	case contract.StatusLostRace:
		res.Status = StatusLostRace
	default:
		res.Status = StatusInvalid
	}
	return res, true
}

// refuse returns the result of a record that can't be accepted any more. A
// record that may be in the log already isn't refused but settled by reading.
func (p *Publisher) refuse(rec contract.Record) (Result, bool) {
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

// maybePublished reports whether an append on this host may have put the
// publish ID into the log.
func (p *Publisher) maybePublished(publishID string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.unsettled[publishID]
	return ok
}

// settle notes whether it is known if a publish ID is in the log.
func (p *Publisher) settle(publishID string, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known {
		delete(p.unsettled, publishID)
		return
	}
	p.unsettled[publishID] = time.Now()
	if len(p.unsettled) <= maxUnsettled {
		return
	}
	oldest := publishID
	for id, at := range p.unsettled {
		if at.Before(p.unsettled[oldest]) {
			oldest = id
		}
	}
	delete(p.unsettled, oldest)
}
