// Package lead chooses through the store which entry host schedules a service.
// The newest record of a topic names the holder; a record is appended only at
// the offset up to which its writer has read, so that of several candidates one
// succeeds. The holder's epoch fences its predecessors in the store and at the
// workers.
package lead

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/store"
)

const (
	// renewInterval is the time between renewals: at a price for each call to
	// the store, two a second would cost more than the shorter gap earns.
	renewInterval = 600 * time.Millisecond
	// silence is after how long without a renewal the holder is replaced: three
	// renewals, of which two may be lost.
	silence = 1900 * time.Millisecond
	// suspectSilence takes the place of silence when the holder does not answer
	// other hosts either: one renewal may be lost.
	suspectSilence = 1100 * time.Millisecond
	// readWait is how long a read waits for a renewal.
	readWait = 800 * time.Millisecond
	// callTimeout bounds a call: the store answers in 4 ms, in 240 ms when it is
	// 60 times as slow.
	callTimeout = 700 * time.Millisecond
	// followPause is the pause after a renewal was read: a read for each renewal
	// from every host would be a sixth of all calls to the store.
	followPause = 500 * time.Millisecond
	// answerFresh is how long after an answer of the holder its renewals need not
	// be read: two of the calls to it, which are 0.5 s apart, may be lost.
	answerFresh = 1500 * time.Millisecond
	// retryPause is the pause after a failed call.
	retryPause = 150 * time.Millisecond
	// outageGrace is how long the holder has after an outage of the store to
	// renew before others replace it.
	outageGrace = 1200 * time.Millisecond
	// claimSpread bounds the random part of the wait before a claim, so that
	// candidates rarely meet.
	claimSpread = 60 * time.Millisecond
	// latencyWeight makes hosts far from the store claim later: the holder
	// writes to the store before each answer. At a round trip of 20 ms from the
	// other region it adds 100 ms.
	latencyWeight = 5
	// MaxConfirmationAge is how long after its last confirmed renewal a holder may still
	// extend leases at workers. It covers the store's outages of up to 9 s.
	MaxConfirmationAge = 10 * time.Second

	recordKey = "holder"
)

// Holder is the content of the record.
type Holder struct {
	Host string `json:"host"`
	// Address is where the holder serves other entry hosts.
	Address string `json:"address"`
	// Incarnation tells processes on one host apart.
	Incarnation string `json:"incarnation"`
	Epoch       int64  `json:"epoch"`
	// SinceUnixMS is when the term was claimed, by the holder's wall clock. It is
	// shown to operators only.
	SinceUnixMS int64 `json:"since_unix_ms,omitempty"`
	// Resigned is set when the holder has stopped scheduling by itself.
	Resigned bool `json:"resigned,omitempty"`
}

// Options configures an Elector.
type Options struct {
	Store store.Store
	// Topic is the compacted topic of the record.
	Topic string
	// Self names this process; its epoch is not used.
	Self Holder
	Log  logr.Logger
	// RunTerm runs while this process is the holder. Its context ends when it no
	// longer is. previous is the holder before, nil for the first epoch. It is
	// called in one goroutine at a time.
	RunTerm func(ctx context.Context, term *Term, previous *Holder)
	// OnResigned is called when this process has given up the service by itself; it
	// may be nil.
	OnResigned func(epoch int64)
	// ClaimDelay returns how much later than others this process should claim; it
	// may be nil.
	ClaimDelay func() time.Duration
	// ClaimLock, if not nil, is shared by the electors of a process and has room for
	// one element, which is there during a claim, so that ClaimDelay knows of the
	// claim before.
	ClaimLock chan struct{}
}

// Elector follows the record of one service and claims it when the holder is
// silent.
type Elector struct {
	opts Options

	mu      sync.Mutex
	holder  *Holder
	offset  int64
	changed chan struct{}
	retired bool
	// hasty is set when the holder is known to have stopped, and suspect when it
	// does not answer.
	hasty, suspect bool
	// renewedAt is when the holder's last renewal became known, and answeredAt
	// when it last answered this host.
	renewedAt, answeredAt time.Time
	// unread is set when renewals may have been made that were not read: they say
	// nothing about the present when they are read at last.
	unread bool
}

// New returns an elector.
func New(opts Options) *Elector {
	return &Elector{opts: opts, changed: make(chan struct{})}
}

// Holder returns the newest holder that was read, nil if there is none, and a
// channel that is closed when it changes.
func (e *Elector) Holder() (*Holder, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holder, e.changed
}

// IsLeader tells whether this process is the newest holder that was read.
func (e *Elector) IsLeader() bool {
	holder, _ := e.Holder()
	return holder != nil && holder.Incarnation == e.opts.Self.Incarnation && !holder.Resigned
}

// Retire keeps this process from claiming; a term that runs resigns.
func (e *Elector) Retire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retired = true
	e.wake()
}

// wake needs e.mu.
func (e *Elector) wake() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// Run follows the record until ctx ends.
func (e *Elector) Run(ctx context.Context) {
	if !e.load(ctx) {
		return
	}
	for ctx.Err() == nil {
		if err := e.follow(ctx); err != nil {
			return
		}
		claimed, previous := e.claim(ctx)
		if claimed {
			e.hold(ctx, previous)
		}
	}
}

// load reads the newest record; it returns false when ctx has ended.
func (e *Elector) load(ctx context.Context) bool {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		records, from, err := store.ReadAllCompacted(callCtx, e.opts.Store, e.opts.Topic)
		cancel()
		if err == nil {
			e.apply(records, from)
			return true
		}
		e.opts.Log.Info("cannot read the holder record", "topic", e.opts.Topic, "error", err.Error())
		pause(ctx, retryPause)
	}
	return false
}

// apply takes in records that end at offset end. It reports whether there was
// a record of a holder.
func (e *Elector) apply(records []store.Record, end int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.offset = max(e.offset, end)
	seen, unread := false, e.unread
	e.unread = false
	for _, r := range records {
		if r.Key != recordKey {
			continue
		}
		var h Holder
		if err := json.Unmarshal(r.Value, &h); err != nil {
			e.opts.Log.Error(err, "holder record cannot be read", "topic", e.opts.Topic, "offset", r.Offset)
			continue
		}
		if e.holder != nil && h.Epoch < e.holder.Epoch {
			continue // another host has told of a later one
		}
		if unread && e.holder != nil && *e.holder == h {
			continue
		}
		// A renewal shows that a holder that was taken for stopped goes on.
		seen, e.hasty, e.suspect, e.renewedAt = true, false, false, time.Now()
		if e.holder == nil || *e.holder != h {
			e.opts.Log.Info("holder", "topic", e.opts.Topic, "holder", h.Host, "epoch", h.Epoch, "resigned", h.Resigned, "offset", r.Offset)
			e.holder = &h
			e.wake()
		}
	}
	return seen
}

// follow reads renewals until the holder must be replaced. It returns an error
// when ctx has ended.
func (e *Elector) follow(ctx context.Context) error {
	e.mu.Lock()
	e.renewedAt = time.Now()
	e.mu.Unlock()
	for {
		if err := ctx.Err(); err != nil {
			return errors.WithStack(err)
		}
		e.mu.Lock()
		from, holder, retired, hasty, changed := e.offset, e.holder, e.retired, e.hasty, e.changed
		limit := silence
		if e.suspect {
			limit = suspectSilence
		}
		quiet, answers := time.Since(e.renewedAt), answerFresh-time.Since(e.answeredAt)
		unread := e.unread
		e.mu.Unlock()
		if !retired && (hasty || e.vacant(holder) || quiet > limit) {
			return nil
		}
		if answers > 0 {
			await(ctx, changed, min(answers, max(limit-quiet, 0)+time.Millisecond))
			continue
		}
		// A claim may be due before the wait is over.
		wait := min(readWait, max(limit-quiet, 0)+time.Millisecond)
		if unread {
			wait = 0
		}
		seen, err := e.read(ctx, from, wait, changed)
		switch {
		case err != nil:
			e.mu.Lock()
			e.renewedAt = maxTime(e.renewedAt, time.Now().Add(outageGrace-limit))
			e.mu.Unlock()
			pause(ctx, retryPause)
		case seen:
			await(ctx, changed, followPause)
		}
	}
}

// await waits for d, for the end of ctx or a change.
func await(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-changed:
	case <-time.After(d):
	}
}

// vacant tells whether the holder certainly does not schedule any more.
func (e *Elector) vacant(holder *Holder) bool {
	// A holder on this host is an earlier process of it, or an ended term of
	// this one.
	return holder == nil || holder.Resigned || holder.Host == e.opts.Self.Host
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// read reads from an offset; a change of e ends the wait early.
func (e *Elector) read(ctx context.Context, from int64, wait time.Duration, changed <-chan struct{}) (seen bool, err error) {
	callCtx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-changed:
			cancel()
		case <-stop:
		}
	}()
	records, end, err := e.opts.Store.Read(callCtx, e.opts.Topic, from, wait)
	var truncated *store.TruncatedError
	switch {
	case errors.As(err, &truncated):
		if records, end, err = store.ReadAllCompacted(callCtx, e.opts.Store, e.opts.Topic); err != nil {
			return false, err
		}
	case err != nil:
		select {
		case <-changed:
			return false, nil
		default:
			return false, err
		}
	}
	return e.apply(records, end), nil
}
