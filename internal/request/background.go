package request

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumpass/laburnumpass/api"
)

// Timing and limits of the background task.
const (
	// sweepInterval is the time between two sweeps; see Keeper.sweep.
	sweepInterval = 200 * time.Millisecond
	// minResolveDelay and maxResolveDelay bound the delay before an unknown
	// outcome is resolved again; the delay grows with the age of the record.
	minResolveDelay = 200 * time.Millisecond
	maxResolveDelay = 5 * time.Second
	// resendDelay is the delay before a closed record that a backup did not
	// confirm is sent again.
	resendDelay = 500 * time.Millisecond
	// minPollInterval and maxPollInterval bound the interval at which a
	// resolution queries a task that is still running.
	minPollInterval = 50 * time.Millisecond
	maxPollInterval = time.Second
	// maxConcurrentResolutions bounds concurrent queries, so that taking over
	// many records does not use up all connections to the workers.
	maxConcurrentResolutions = 64
)

// Run expires records and resolves unknown outcomes and taken-over records
// until ctx ends. It then cancels queued requests, waits for all runs to end
// and returns nil.
func (k *Keeper) Run(ctx context.Context) error {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-k.wakeSweep:
		case <-ctx.Done():
			k.stop()
			k.goroutines.wait()
			return nil
		}
		k.sweep()
	}
}

// goroutineCounter counts goroutines. Unlike with a sync.WaitGroup, add may be
// called while another goroutine waits.
type goroutineCounter struct {
	mu   sync.Mutex
	idle sync.Cond
	n    int
}

func (c *goroutineCounter) add(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n += n; c.n == 0 {
		c.idle.Broadcast()
	}
}

func (c *goroutineCounter) wait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.n > 0 {
		c.idle.Wait()
	}
}

// sweep expires records and handles those that are due.
func (k *Keeper) sweep() {
	nowMs := k.opts.Now().UnixMilli()
	k.removeStaleBatchers()
	for i := range k.shards {
		s := &k.shards[i]
		s.mu.Lock()
		k.expire(s, nowMs)
		for id, dueMs := range s.due {
			if dueMs <= nowMs {
				k.handleDue(s, id)
			}
		}
		s.mu.Unlock()
	}
	k.expireBodyRefs(nowMs)
}

// handleDue handles a due record. The shard's lock must be held.
func (k *Keeper) handleDue(s *shard, id string) {
	delete(s.due, id)
	e := s.entries[id]
	switch {
	case e == nil || e.run != nil || k.opts.Membership.Keeper(id) != k.opts.Self:
		// If a membership change makes this host the keeper, TakeOver reschedules it.
	case e.state.open() || e.state == StateUnknown:
		k.startResolve(s, e)
	case k.opts.Membership.CheckKeeper(id) != nil:
		k.scheduleDue(s, e, resendDelay)
	default:
		k.replicateAsync(s, e)
	}
}

// scheduleDue makes e due after a delay. The shard's lock must be held.
func (k *Keeper) scheduleDue(s *shard, e *entry, after time.Duration) {
	s.due[e.id] = k.opts.Now().Add(after).UnixMilli()
}

// scheduleResolve schedules the next resolution of e after a delay that grows
// with the age of the record. The shard's lock must be held.
func (k *Keeper) scheduleResolve(s *shard, e *entry, minDelay time.Duration) {
	age := k.opts.Now().Sub(time.UnixMilli(e.updatedMs))
	k.scheduleDue(s, e, min(max(minDelay, age/2), maxResolveDelay))
}

// TakeOver schedules the resolution of all records that have no final outcome,
// are not being run, and whose keeper is now this host. It is called after each
// membership change and does not wait for the resolutions.
func (k *Keeper) TakeOver() {
	nowMs := k.opts.Now().UnixMilli()
	for i := range k.shards {
		s := &k.shards[i]
		s.mu.Lock()
		for id, e := range s.entries {
			if e.run == nil && (e.state.open() || e.state == StateUnknown) && k.opts.Membership.Keeper(id) == k.opts.Self {
				s.due[id] = nowMs
			}
		}
		s.mu.Unlock()
	}
	select {
	case k.wakeSweep <- struct{}{}:
	default:
	}
}

// startResolve starts a resolution: it asks the resolver for the outcome of a
// record that may have been dispatched. The shard's lock must be held.
func (k *Keeper) startResolve(s *shard, e *entry) *run {
	ctx, cancel := context.WithCancel(k.ctx)
	r := &run{done: make(chan struct{}), cancel: cancel, resolving: true}
	e.run = r
	delete(s.due, e.id)
	k.goroutines.add(1)
	go func() {
		defer k.goroutines.add(-1)
		defer cancel()
		k.finishResolve(s, e, r, k.resolve(ctx, s, e, r))
	}()
	return r
}

// resolve queries the resolver until the task is no longer running. It returns
// nil if the resolution was superseded, ctx ended or this host is not the
// keeper.
func (k *Keeper) resolve(ctx context.Context, s *shard, e *entry, r *run) *Result {
	for interval := minPollInterval; ; interval = min(2*interval, maxPollInterval) {
		if _, err := k.awaitLease(ctx, e.id); err != nil {
			return nil
		}
		s.mu.Lock()
		rec := e.record()
		isCurrent := e.run == r
		s.mu.Unlock()
		if !isCurrent {
			return nil
		}
		select {
		case k.resolveSlots <- struct{}{}:
		case <-ctx.Done():
			return nil
		}
		queryCtx, cancel := context.WithTimeout(ctx, k.opts.ResolveTimeout)
		res := k.opts.Resolver.Resolve(queryCtx, rec)
		cancel()
		<-k.resolveSlots
		k.counts.resolutions.Add(1)
		if !intact(&res) {
			k.counts.damagedAnswers.Add(1)
			res = Result{Outcome: api.Unknown, Reason: api.ReasonNoReply}
		}
		if res.Outcome != api.Unknown || res.Reason != api.ReasonPending {
			return &res
		}
		if !sleepContext(ctx, interval) {
			return nil
		}
	}
}

// finishResolve stores the result of a resolution and publishes it to the
// waiting callers. A nil res means that the resolution ended without a result.
func (k *Keeper) finishResolve(s *shard, e *entry, r *run, res *Result) {
	// Without a result there is no outcome to store, so that leaseForOutcome need
	// not wait for the lease, just as for an answer.
	outcome := api.Answered
	if res != nil {
		outcome = res.Outcome
	}
	leasedAtMs, leased := k.leaseForOutcome(e.id, outcome)
	id, _ := api.ParseID(e.id)
	s.mu.Lock()
	switch {
	case e.run != r && res != nil && res.Outcome == api.Answered:
		r.complete(answerReply(e.id, res))
	case e.run != r:
		r.complete(notKeeperReply(e.id))
	case res == nil || res.Outcome != api.Answered && k.ctx.Err() != nil:
		// The end of this host may have caused an outcome other than an answer.
		e.run = nil
		k.scheduleResolve(s, e, minResolveDelay)
		r.complete(notKeeperReply(e.id))
	case res.Outcome != api.Answered && leased && !k.recordComplete(e, id):
		// Another keeper may have made an attempt that this record does not
		// cover. Its update time is left unchanged, so that the record remains
		// incomplete.
		e.run, e.state, e.reason = nil, StateUnknown, intern(string(api.ReasonBeforeHorizon))
		k.scheduleExpiry(s, e)
		k.scheduleDue(s, e, maxResolveDelay)
		r.complete(e.reply())
	case res.Outcome == api.Unknown && e.state == StateUnknown:
		e.run = nil
		k.scheduleResolve(s, e, minResolveDelay)
		r.complete(e.reply())
	default:
		e.run = nil
		k.settleAndUnlock(s, e, r, res, leased && k.recordComplete(e, id), leasedAtMs)
		return
	}
	s.mu.Unlock()
}

// scheduleExpiry adds a closed entry to the expiry queue. The shard's lock must
// be held.
func (k *Keeper) scheduleExpiry(s *shard, e *entry) {
	if !e.inExpiryQueue {
		e.inExpiryQueue = true
		s.expiryQueue = append(s.expiryQueue, expiryItem{e, k.opts.Now().Add(k.opts.Retention).UnixMilli()})
	}
}

// expire removes closed records whose retention has passed; open records
// remain. The shard's lock must be held.
func (k *Keeper) expire(s *shard, nowMs int64) {
	n := 0
	for ; n < len(s.expiryQueue) && s.expiryQueue[n].checkMs <= nowMs; n++ {
		e := s.expiryQueue[n].entry
		e.inExpiryQueue = false
		if s.entries[e.id] != e || e.state.open() {
			continue
		}
		if expiresMs := e.updatedMs + k.opts.Retention.Milliseconds(); expiresMs > nowMs || e.run != nil {
			e.inExpiryQueue = true
			s.expiryQueue = append(s.expiryQueue, expiryItem{e, max(expiresMs, nowMs+k.opts.Retention.Milliseconds()/16)})
			continue
		}
		k.bodyCache.bytes.Add(-int64(len(e.body)))
		e.body = nil
		delete(s.entries, e.id)
		delete(s.due, e.id)
		k.counts.records.Add(-1)
		k.counts.expired.Add(1)
	}
	if s.expiryQueue = s.expiryQueue[n:]; len(s.expiryQueue) == 0 {
		s.expiryQueue = nil
	}
}

// bodyQueue tracks the stored answer bodies, oldest first, and their total
// size.
type bodyQueue struct {
	limit int64
	bytes atomic.Int64
	mu    sync.Mutex
	queue []bodyRef
}

// bodyRef refers to a body that an entry held when it was added. The body
// pointer tells whether the entry still holds the same one.
type bodyRef struct {
	entry   *entry
	body    *byte
	addedMs int64
}

// trackBody adds the body of e to the total size and reports whether the total
// exceeds the limit. The shard's lock must be held; the caller must pass the
// result to evictBodies after releasing it.
func (k *Keeper) trackBody(e *entry) bool {
	if len(e.body) == 0 {
		return false
	}
	b := &k.bodyCache
	b.mu.Lock()
	b.queue = append(b.queue, bodyRef{e, &e.body[0], k.opts.Now().UnixMilli()})
	b.mu.Unlock()
	return b.bytes.Add(int64(len(e.body))) > b.limit
}

// evictBodies drops the oldest bodies until the total size is within the limit.
// overLimit is the result of trackBody: if it is false, evictBodies does
// nothing. The caller must not hold the lock of any shard, since evictBodies
// locks the shards of the dropped bodies.
func (k *Keeper) evictBodies(overLimit bool) {
	for overLimit {
		ref, ok := k.bodyCache.popOldest(0)
		if !ok {
			return
		}
		k.dropBody(ref)
		overLimit = k.bodyCache.bytes.Load() > k.bodyCache.limit
	}
}

// expireBodyRefs removes references that are older than twice the retention,
// whose records have expired.
func (k *Keeper) expireBodyRefs(nowMs int64) {
	for {
		ref, ok := k.bodyCache.popOldest(nowMs - 2*k.opts.Retention.Milliseconds())
		if !ok {
			return
		}
		k.dropBody(ref)
	}
}

// popOldest removes and returns the oldest reference. A notAfterMs other than 0
// retains references that were added after that time.
func (b *bodyQueue) popOldest(notAfterMs int64) (bodyRef, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) == 0 || notAfterMs != 0 && b.queue[0].addedMs > notAfterMs {
		return bodyRef{}, false
	}
	ref := b.queue[0]
	b.queue[0] = bodyRef{}
	b.queue = b.queue[1:]
	return ref, true
}

// dropBody drops the body if its entry still holds it. It locks the entry's
// shard.
func (k *Keeper) dropBody(ref bodyRef) {
	s := k.shard(ref.entry.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(ref.entry.body) > 0 && &ref.entry.body[0] == ref.body {
		k.bodyCache.bytes.Add(-int64(len(ref.entry.body)))
		ref.entry.body, ref.entry.bodyDropped = nil, true
		k.counts.bodiesDropped.Add(1)
	}
}
