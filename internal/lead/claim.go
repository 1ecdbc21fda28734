package lead

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/store"
)

// claim appends a record that names this process as the holder of the next epoch.
// own is that record, nil if another process renewed or claimed first or if the store
// failed. sent is the reading of the boot clock before the append, and previous the
// holder of the epoch before.
func (e *Elector) claim(ctx context.Context) (own *Holder, sent time.Duration, previous *Holder) {
	e.mu.Lock()
	from := e.offset
	e.mu.Unlock()
	// The latency of this read determines the delay before the claim.
	begin := time.Now()
	seen, err := e.read(ctx, from, 0, nil)
	if err != nil {
		pause(ctx, retryPause)
		return nil, 0, nil
	}
	latency := time.Since(begin)
	e.mu.Lock()
	offsetSeen, holder := e.offset, e.holder
	e.mu.Unlock()
	if seen > 0 && !e.vacant(holder) {
		// The holder has renewed its record.
		return nil, 0, nil
	}
	pause(ctx, latencyWeight*latency+rand.N(claimJitter))
	defer e.waitClaimDelay(ctx)()
	if _, err := e.read(ctx, offsetSeen, 0, nil); err != nil {
		return nil, 0, nil
	}
	e.mu.Lock()
	offset, previous, retired := e.offset, e.holder, e.retired
	e.mu.Unlock()
	if offset != offsetSeen || retired {
		// A renewal or another claim was appended during the delay.
		return nil, 0, nil
	}
	previous = e.beginClaim(previous)
	sent = cell.BootTime()
	next := ClaimAfter(previous, e.opts.Self, e.opts.StartedAt, sent)
	if err := e.append(ctx, next, offset); err != nil {
		e.opts.Log.Info("claim failed", "topic", e.opts.Topic, "epoch", next.Epoch, "error", err.Error())
		var conditionErr *store.ConditionError
		if errors.As(err, &conditionErr) {
			e.withdrawClaim()
		}
		if _, err := e.read(ctx, offset, 0, nil); err != nil {
			pause(ctx, retryPause)
		}
		holder, _ := e.Holder()
		// The append may have succeeded although its reply was lost.
		if holder == nil || !holder.sameTerm(&next) {
			return nil, 0, nil
		}
		return &next, sent, previous
	}
	e.opts.Log.Info("claimed", "topic", e.opts.Topic, "epoch", next.Epoch, "store_latency", latency.String(), "took", (cell.BootTime() - sent).String())
	return &next, sent, previous
}

// waitClaimDelay waits for the duration that Options.ClaimDelay returns, which may
// grow during the wait, and acquires Options.ClaimLock. release releases the lock.
func (e *Elector) waitClaimDelay(ctx context.Context) (release func()) {
	lock := e.opts.ClaimLock
	if lock == nil {
		lock = make(chan struct{}, 1)
	}
	for waited := time.Duration(0); ; {
		lock <- struct{}{}
		remaining := -waited
		if e.opts.ClaimDelay != nil {
			remaining += e.opts.ClaimDelay()
		}
		if remaining <= 0 || ctx.Err() != nil {
			return func() { <-lock }
		}
		<-lock
		pause(ctx, remaining)
		waited += remaining
	}
}

// append appends the holder record on the condition that the topic ends at
// expectedEnd.
func (e *Elector) append(ctx context.Context, h Holder, expectedEnd int64) error {
	value, err := json.Marshal(h)
	if err != nil {
		return errors.WithStack(err)
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	record := store.Record{Key: recordKey, Value: value, Offset: expectedEnd}
	end, err := e.opts.Store.Append(callCtx, store.Append{Topic: e.opts.Topic, Records: []store.Record{record}, ExpectedEnd: &expectedEnd})
	if err != nil {
		return err
	}
	e.apply([]store.Record{record}, end)
	return nil
}

// serveTerm calls Options.RunTerm and renews the holder record until another
// process becomes the holder, RunTerm returns, Term.End is called, Resign is called,
// or ctx ends. A retired holder then marks its record, whatever ended its term. own is the
// record with which this process has claimed; it may have been replaced since.
func (e *Elector) serveTerm(ctx context.Context, own Holder, claimSent time.Duration, previous *Holder) {
	termCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The process may have stood still since the append, while others counted from it.
	term := BeginTerm(previous, own, e.opts.StartedAt, claimSent, cancel)
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer cancel()
		e.opts.RunTerm(termCtx, term, previous)
	}()
	e.renew(termCtx, term, own)
	cancel()
	<-done
	e.mu.Lock()
	retired := e.retired
	e.mu.Unlock()
	if retired && ctx.Err() == nil {
		e.resign(ctx, term, own)
	}
}

// renew appends the holder record every renewInterval. It returns when another
// process has become the holder, Resign is called, or ctx, the context of the term,
// ends.
func (e *Elector) renew(ctx context.Context, term *Term, own Holder) {
	// unresolved is when the first renewal was sent of which it is not known whether it was
	// appended; 0 if there is none.
	var unresolved time.Duration
	first := own.Witnesses
	for {
		e.mu.Lock()
		resigning, holder, changed, offset := e.resigning, e.holder, e.changed, e.offset
		e.mu.Unlock()
		if resigning || ctx.Err() != nil {
			return
		}
		if !holder.sameTerm(&own) {
			e.opts.Log.Info("superseded", "topic", e.opts.Topic, "epoch", own.Epoch, "by", holder.Host, "its_epoch", holder.Epoch)
			return
		}
		sent := cell.BootTime()
		own = term.Renewal(own, sent)
		term.proposeWitnesses(&own, e.liveWitnesses(term, own, first))
		interval := renewInterval
		err := e.append(ctx, own, offset)
		var conditionErr *store.ConditionError
		switch {
		case err == nil:
			unresolved = 0
			term.Confirm(sent)
		case errors.As(err, &conditionErr):
			// Another process claimed, or an earlier renewal succeeded although
			// its reply was lost. A read tells which.
			interval, unresolved = 0, 0
			if _, err := e.read(ctx, offset, 0, nil); err != nil {
				interval = retryPause
			}
		default:
			e.opts.Log.Info("renewal failed", "topic", e.opts.Topic, "epoch", own.Epoch, "confirmed_ago", term.ConfirmationAge().String(), "error", err.Error())
			interval = retryPause
			// If only the reply was lost, the next renewal must expect the new end
			// of the topic, which this read fetches.
			if unresolved == 0 {
				unresolved = sent
			}
			if seen, err := e.read(ctx, offset, 0, nil); err == nil && seen > 0 && e.isNewestRecord(own) {
				term.Confirm(unresolved) // any of the renewals since then may be the one
				unresolved = 0
			}
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(interval):
		}
	}
}

// isNewestRecord reports whether own is the newest record that was read.
func (e *Elector) isNewestRecord(own Holder) bool {
	holder, _ := e.Holder()
	return holder != nil && holder.sameTerm(&own)
}

// resign marks the holder record as resigned, so that another host can claim
// without waiting for renewalTimeout.
func (e *Elector) resign(ctx context.Context, term *Term, own Holder) {
	resigned := own
	resigned.Resigned = true
	for range 5 {
		e.mu.Lock()
		offset, holder := e.offset, e.holder
		e.mu.Unlock()
		if !holder.sameTerm(&own) {
			return
		}
		resigned = term.Renewal(resigned, cell.BootTime())
		err := e.append(ctx, resigned, offset)
		if err == nil {
			e.opts.Log.Info("resigned", "topic", e.opts.Topic, "epoch", own.Epoch)
			if e.opts.OnResigned != nil {
				e.opts.OnResigned(own.Epoch)
			}
			return
		}
		e.opts.Log.Info("resignation failed", "topic", e.opts.Topic, "epoch", own.Epoch, "error", err.Error())
		if _, err := e.read(ctx, offset, 0, nil); err != nil {
			pause(ctx, retryPause)
		}
	}
}

// pause waits for d or until ctx is done.
func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
