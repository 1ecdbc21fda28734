package request

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumpass/laburnumpass/api"
)

// Timing of the background task.
const (
	sweepInterval = 200 * time.Millisecond
	// firstAsk and maxAsk bound the time until an unknown outcome is asked for
	// again; it grows with the age of the record.
	firstAsk = 200 * time.Millisecond
	maxAsk   = 5 * time.Second
	// resendPause is the time until a closed record that a backup did not
	// confirm is sent again.
	resendPause = 500 * time.Millisecond
	// pollFirst and pollMax bound the interval of questions about a task that
	// runs under another keeper's dispatch.
	pollFirst = 50 * time.Millisecond
	pollMax   = time.Second
	// maxResolving bounds concurrent questions, so that the takeover of many
	// records does not take all connections to the workers.
	maxResolving = 64
)

// Run expires records, asks again for unknown outcomes and resolves records
// that were taken over, until the end of ctx. It then cancels queued requests,
// waits for all runs to end and returns nil.
func (k *Keeper) Run(ctx context.Context) error {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-k.kick:
		case <-ctx.Done():
			k.stop()
			k.active.wait()
			return nil
		}
		k.sweep()
	}
}

// active counts goroutines. Unlike a sync.WaitGroup it may be added to while
// another goroutine waits.
type active struct {
	mu   sync.Mutex
	idle sync.Cond
	n    int
}

func (a *active) add(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.n += n; a.n == 0 {
		a.idle.Broadcast()
	}
}

func (a *active) wait() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.n > 0 {
		a.idle.Wait()
	}
}

func (k *Keeper) sweep() {
	now := k.o.Now().UnixMilli()
	k.forgetPeers()
	for i := range k.shards {
		s := &k.shards[i]
		s.mu.Lock()
		k.expire(s, now)
		for id, at := range s.due {
			if at <= now {
				k.act(s, id)
			}
		}
		s.mu.Unlock()
	}
	k.expireBodies(now)
}

// act handles a due record. The shard's lock is held.
func (k *Keeper) act(s *shard, id string) {
	delete(s.due, id)
	e := s.entries[id]
	switch {
	case e == nil || e.run != nil || k.o.Membership.Keeper(id) != k.o.Self:
		// After a change of the membership TakeOver finds it again.
	case e.state.open() || e.state == StateUnknown:
		k.startResolve(s, e)
	case k.o.Membership.CheckKeeper(id) != nil:
		k.dueAt(s, e, resendPause)
	default:
		k.replicateLater(s, e)
	}
}

func (k *Keeper) dueAt(s *shard, e *entry, after time.Duration) {
	s.due[e.id] = k.o.Now().Add(after).UnixMilli()
}

// askLater has the outcome of e asked for again after a time that grows with
// the record's age. The shard's lock is held.
func (k *Keeper) askLater(s *shard, e *entry, least time.Duration) {
	age := k.o.Now().Sub(time.UnixMilli(e.updated))
	k.dueAt(s, e, min(max(least, age/2), maxAsk))
}

// TakeOver has all records resolved whose outcome is open and whose keeper is
// now this host. It is called after each change of the membership and returns
// without waiting.
func (k *Keeper) TakeOver() {
	now := k.o.Now().UnixMilli()
	for i := range k.shards {
		s := &k.shards[i]
		s.mu.Lock()
		for id, e := range s.entries {
			if e.run == nil && (e.state.open() || e.state == StateUnknown) && k.o.Membership.Keeper(id) == k.o.Self {
				s.due[id] = now
			}
		}
		s.mu.Unlock()
	}
	select {
	case k.kick <- struct{}{}:
	default:
	}
}

// startResolve begins to ask for the outcome of a dispatched record. The
// shard's lock is held.
func (k *Keeper) startResolve(s *shard, e *entry) *run {
	ctx, cancel := context.WithCancel(k.ctx)
	r := &run{done: make(chan struct{}), cancel: cancel, resolving: true}
	e.run = r
	delete(s.due, e.id)
	k.active.add(1)
	go func() {
		defer k.active.add(-1)
		defer cancel()
		k.finishResolve(s, e, r, k.resolve(ctx, s, e, r))
	}()
	return r
}

// resolve asks until the task does not run any more.
func (k *Keeper) resolve(ctx context.Context, s *shard, e *entry, r *run) *Result {
	for wait := pollFirst; ; wait = min(2*wait, pollMax) {
		if _, err := k.awaitLease(ctx, e.id); err != nil {
			return nil
		}
		s.mu.Lock()
		rec := e.record()
		current := e.run == r
		s.mu.Unlock()
		if !current {
			return nil
		}
		select {
		case k.resolving <- struct{}{}:
		case <-ctx.Done():
			return nil
		}
		ask, cancel := context.WithTimeout(ctx, k.o.ResolveTimeout)
		res := k.o.Resolver.Resolve(ask, rec)
		cancel()
		<-k.resolving
		k.counts.resolutions.Add(1)
		if !intact(&res) {
			k.counts.damaged.Add(1)
			res = Result{Outcome: api.Unknown, Reason: api.ReasonNoReply}
		}
		if res.Outcome != api.Unknown || res.Reason != api.ReasonPending {
			return &res
		}
		if !pause(ctx, wait) {
			return nil
		}
	}
}

func (k *Keeper) finishResolve(s *shard, e *entry, r *run, res *Result) {
	outcome := api.Answered
	if res != nil {
		outcome = res.Outcome
	}
	at, leased := k.finalLease(e.id, outcome)
	id, _ := api.ParseID(e.id)
	s.mu.Lock()
	switch {
	case e.run != r && res != nil && res.Outcome == api.Answered:
		r.end(answer(e.id, res))
	case e.run != r:
		r.end(notKeeperReply(e.id))
	case res == nil:
		e.run = nil
		k.askLater(s, e, firstAsk)
		r.end(notKeeperReply(e.id))
	case res.Outcome != api.Answered && leased && !k.trusted(e, id):
		// Another keeper may have made an attempt that this record does not
		// know. The time of the record is left, so that it stays in doubt.
		e.run, e.state, e.reason = nil, StateUnknown, intern(string(api.ReasonBeforeHorizon))
		k.expireLater(s, e)
		k.dueAt(s, e, maxAsk)
		r.end(e.reply())
	case res.Outcome == api.Unknown && e.state == StateUnknown:
		e.run = nil
		k.askLater(s, e, firstAsk)
		r.end(e.reply())
	default:
		e.run = nil
		k.settle(s, e, r, res, leased && k.trusted(e, id), at)
		return
	}
	s.mu.Unlock()
}

// expireLater puts a closed entry into the expiry queue. The shard's lock is held.
func (k *Keeper) expireLater(s *shard, e *entry) {
	if !e.expiring {
		e.expiring = true
		s.expiry = append(s.expiry, expiring{e, k.o.Now().Add(k.o.Retention).UnixMilli()})
	}
}

// expire removes records whose retention has passed. Open ones stay. The
// shard's lock is held.
func (k *Keeper) expire(s *shard, now int64) {
	n := 0
	for ; n < len(s.expiry) && s.expiry[n].at <= now; n++ {
		e := s.expiry[n].e
		e.expiring = false
		if s.entries[e.id] != e || e.state.open() {
			continue
		}
		if left := e.updated + k.o.Retention.Milliseconds(); left > now || e.run != nil {
			e.expiring = true
			s.expiry = append(s.expiry, expiring{e, max(left, now+k.o.Retention.Milliseconds()/16)})
			continue
		}
		k.bodies.bytes.Add(-int64(len(e.body)))
		e.body = nil
		delete(s.entries, e.id)
		delete(s.due, e.id)
		k.counts.records.Add(-1)
		k.counts.expired.Add(1)
	}
	if s.expiry = s.expiry[n:]; len(s.expiry) == 0 {
		s.expiry = nil
	}
}

// bodies lists the kept answers, oldest first.
type bodies struct {
	limit int64
	bytes atomic.Int64
	mu    sync.Mutex
	queue []bodyRef
}

type bodyRef struct {
	e    *entry
	body *byte
	at   int64
}

// keepBody counts the body of e and reports whether there are too many. The
// shard's lock is held; trimBodies must be called after its release.
func (k *Keeper) keepBody(e *entry) bool {
	if len(e.body) == 0 {
		return false
	}
	b := &k.bodies
	b.mu.Lock()
	b.queue = append(b.queue, bodyRef{e, &e.body[0], k.o.Now().UnixMilli()})
	b.mu.Unlock()
	return b.bytes.Add(int64(len(e.body))) > b.limit
}

// trimBodies drops the oldest bodies beyond the limit. No lock is held.
func (k *Keeper) trimBodies(over bool) {
	for over {
		ref, ok := k.bodies.pop(0)
		if !ok {
			return
		}
		k.dropBody(ref)
		over = k.bodies.bytes.Load() > k.bodies.limit
	}
}

// expireBodies forgets references to records that have expired.
func (k *Keeper) expireBodies(now int64) {
	for {
		ref, ok := k.bodies.pop(now - 2*k.o.Retention.Milliseconds())
		if !ok {
			return
		}
		k.dropBody(ref)
	}
}

// pop removes the oldest reference; a limit other than 0 spares newer ones.
func (b *bodies) pop(limit int64) (bodyRef, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) == 0 || limit != 0 && b.queue[0].at > limit {
		return bodyRef{}, false
	}
	ref := b.queue[0]
	b.queue[0] = bodyRef{}
	b.queue = b.queue[1:]
	return ref, true
}

func (k *Keeper) dropBody(ref bodyRef) {
	s := k.shard(ref.e.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(ref.e.body) > 0 && &ref.e.body[0] == ref.body {
		k.bodies.bytes.Add(-int64(len(ref.e.body)))
		ref.e.body, ref.e.bodyDropped = nil, true
		k.counts.bodiesDropped.Add(1)
	}
}
