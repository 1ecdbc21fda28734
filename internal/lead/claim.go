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

// claim tries to become the holder.
func (e *Elector) claim(ctx context.Context) (claimed bool, previous *Holder) {
	e.mu.Lock()
	from := e.offset
	e.mu.Unlock()
	// A read measures the distance to the store.
	begin := time.Now()
	seen, err := e.read(ctx, from, 0, nil)
	if err != nil {
		pause(ctx, retryPause)
		return false, nil
	}
	latency := time.Since(begin)
	e.mu.Lock()
	before, holder := e.offset, e.holder
	e.mu.Unlock()
	if seen && !e.vacant(holder) {
		// The holder has renewed.
		return false, nil
	}
	pause(ctx, latencyWeight*latency+rand.N(claimSpread))
	defer e.waitHandicap(ctx)()
	if _, err := e.read(ctx, before, 0, nil); err != nil {
		return false, nil
	}
	e.mu.Lock()
	at, previous, retired := e.offset, e.holder, e.retired
	e.mu.Unlock()
	if at != before || retired {
		// Somebody has renewed or claimed meanwhile.
		return false, nil
	}
	next := e.opts.Self
	next.Epoch = 1
	if previous != nil {
		next.Epoch = previous.Epoch + 1
	}
	next.SinceUnixMS = time.Now().UnixMilli()
	sent := cell.BootTime()
	if err := e.append(ctx, next, at); err != nil {
		e.opts.Log.Info("claim failed", "topic", e.opts.Topic, "epoch", next.Epoch, "error", err.Error())
		if _, err := e.read(ctx, at, 0, nil); err != nil {
			pause(ctx, retryPause)
		}
		holder, _ := e.Holder()
		// The answer may have been lost.
		return holder != nil && *holder == next, previous
	}
	e.opts.Log.Info("claimed", "topic", e.opts.Topic, "epoch", next.Epoch, "store_latency", latency.String(), "took", (cell.BootTime() - sent).String())
	return true, previous
}

// waitHandicap waits as long as the handicap says, which may grow meanwhile, and
// returns with the claims of this process held; the result releases them.
func (e *Elector) waitHandicap(ctx context.Context) (release func()) {
	claims := e.opts.ClaimLock
	if claims == nil {
		claims = make(chan struct{}, 1)
	}
	for waited := time.Duration(0); ; {
		claims <- struct{}{}
		more := -waited
		if e.opts.ClaimDelay != nil {
			more += e.opts.ClaimDelay()
		}
		if more <= 0 || ctx.Err() != nil {
			return func() { <-claims }
		}
		<-claims
		pause(ctx, more)
		waited += more
	}
}

// append writes the record at an offset.
func (e *Elector) append(ctx context.Context, h Holder, at int64) error {
	value, err := json.Marshal(h)
	if err != nil {
		return errors.WithStack(err)
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	record := store.Record{Key: recordKey, Value: value, Offset: at}
	end, err := e.opts.Store.Append(callCtx, store.Append{Topic: e.opts.Topic, Records: []store.Record{record}, ExpectedEnd: &at})
	if err != nil {
		return err
	}
	e.apply([]store.Record{record}, end)
	return nil
}

// hold renews until another process holds or this one retires.
func (e *Elector) hold(ctx context.Context, previous *Holder) {
	termCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	holder, _ := e.Holder()
	term := NewTerm(holder.Epoch, cancel)
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer cancel()
		e.opts.RunTerm(termCtx, term, previous)
	}()
	e.renew(termCtx, term, *holder)
	cancel()
	<-done
	e.mu.Lock()
	retired := e.retired
	e.mu.Unlock()
	if retired && ctx.Err() == nil {
		e.resign(ctx, *holder)
	}
}

func (e *Elector) renew(ctx context.Context, term *Term, own Holder) {
	for {
		e.mu.Lock()
		retired, holder, changed, at := e.retired, e.holder, e.changed, e.offset
		e.mu.Unlock()
		if retired || ctx.Err() != nil {
			return
		}
		if *holder != own {
			e.opts.Log.Info("superseded", "topic", e.opts.Topic, "epoch", own.Epoch, "by", holder.Host, "its_epoch", holder.Epoch)
			return
		}
		sent := cell.BootTime()
		interval := renewInterval
		err := e.append(ctx, own, at)
		var condition *store.ConditionError
		switch {
		case err == nil:
			term.Confirm(sent)
		case errors.As(err, &condition):
			// Another claim, or an earlier renewal whose answer was lost.
			interval = 0
			if _, err := e.read(ctx, at, 0, nil); err != nil {
				interval = retryPause
			}
		default:
			e.opts.Log.Info("renewal failed", "topic", e.opts.Topic, "epoch", own.Epoch, "confirmed_ago", term.ConfirmationAge().String(), "error", err.Error())
			interval = retryPause
			// Only the answer may be lost: then the condition of the next renewal
			// has to be the new end.
			if seen, err := e.read(ctx, at, 0, nil); err == nil && seen && e.holds(own) {
				term.Confirm(sent)
			}
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(interval):
		}
	}
}

// holds tells whether the newest record is own.
func (e *Elector) holds(own Holder) bool {
	holder, _ := e.Holder()
	return holder != nil && *holder == own
}

// resign lets another host claim at once.
func (e *Elector) resign(ctx context.Context, own Holder) {
	resigned := own
	resigned.Resigned = true
	for range 5 {
		e.mu.Lock()
		at, holder := e.offset, e.holder
		e.mu.Unlock()
		if *holder != own {
			return
		}
		err := e.append(ctx, resigned, at)
		if err == nil {
			e.opts.Log.Info("resigned", "topic", e.opts.Topic, "epoch", own.Epoch)
			if e.opts.OnResigned != nil {
				e.opts.OnResigned(own.Epoch)
			}
			return
		}
		e.opts.Log.Info("resignation failed", "topic", e.opts.Topic, "epoch", own.Epoch, "error", err.Error())
		if _, err := e.read(ctx, at, 0, nil); err != nil {
			pause(ctx, retryPause)
		}
	}
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
