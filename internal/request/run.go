package request

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// startRun begins an attempt. The shard's lock and admitMu are held.
func (k *Keeper) startRun(e *entry, req *rpc.SubmitRequest, attempt uint32, at int64) *run {
	r := &run{done: make(chan struct{})}
	ctx, cancel := context.WithCancel(k.ctx)
	r.cancel = cancel
	e.run, e.state, e.attempt = r, StateQueued, attempt
	e.members, e.reason, e.retryAfter = nil, noName, 0
	e.keeper, e.updated = k.self, at
	delete(k.shard(e.id).due, e.id)
	k.counts.running.Add(1)
	k.active.add(1)
	k.budget.Request()
	go func() {
		defer k.active.add(-1)
		defer k.counts.running.Add(-1)
		defer cancel()
		k.runAttempts(ctx, e, r, req, attempt)
	}()
	return r
}

// runAttempts runs a request until its outcome is known, or is unknown and no
// further attempt is allowed.
func (k *Keeper) runAttempts(ctx context.Context, e *entry, r *run, req *rpc.SubmitRequest, attempt uint32) {
	var deadline time.Time
	if req.DeadlineMs > 0 {
		deadline = time.Now().Add(time.Duration(req.DeadlineMs) * time.Millisecond)
	}
	for n := 1; ; n++ {
		res := k.o.Runner.Run(ctx, req, attempt, func(ctx context.Context, holder string, members []*rpc.Member) error {
			return k.reserve(ctx, e, r, attempt, holder, members)
		})
		if !intact(&res) {
			k.counts.damaged.Add(1)
			res = Result{Outcome: api.Unknown, Reason: api.ReasonNoReply}
		}
		retry := res.Outcome == api.Unknown && req.Idempotent && n < k.o.MaxAttempts && ctx.Err() == nil &&
			(deadline.IsZero() || time.Now().Before(deadline)) && k.budget.Retry()
		if !retry || !k.nextAttempt(e, r, &attempt) {
			k.finish(e, r, &res)
			return
		}
		k.counts.retries.Add(1)
		if !deadline.IsZero() {
			req = proto.CloneOf(req)
			req.DeadlineMs = uint32(max(1, time.Until(deadline).Milliseconds()))
		}
	}
}

// nextAttempt makes a further attempt of an idempotent request.
func (k *Keeper) nextAttempt(e *entry, r *run, attempt *uint32) bool {
	if k.o.Membership.CheckKeeper(e.id) != nil {
		return false
	}
	s := k.shard(e.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.run != r || e.state != StateDispatched {
		return false
	}
	*attempt++
	e.state, e.attempt, e.members, e.maybeRan = StateQueued, *attempt, nil, true
	return true
}

// intact reports whether an answer is whole.
func intact(res *Result) bool {
	return res.Outcome != api.Answered ||
		uint32(len(res.Body)) == res.Length && api.Checksum(res.Body) == res.Checksum
}

// finish stores the outcome of an attempt and gives it to the callers.
func (k *Keeper) finish(e *entry, r *run, res *Result) {
	at, leased := k.finalLease(e.id, res.Outcome)
	id, _ := api.ParseID(e.id)
	s := k.shard(e.id)
	s.mu.Lock()
	leased = leased && !r.refused
	if e.run != r {
		// Cancelled or replaced by another keeper's record. An answer is true
		// even so.
		out := notKeeperReply(e.id)
		if res.Outcome == api.Answered {
			out = answer(e.id, res)
		}
		r.end(out)
		s.mu.Unlock()
		return
	}
	e.run = nil
	if res.Outcome != api.Answered && k.ctx.Err() != nil {
		// The run ended with this host. Its callers and the backups must not
		// take the request for a cancelled one; the next keeper finds out.
		r.end(notKeeperReply(e.id))
		s.mu.Unlock()
		return
	}
	if res.Outcome != api.Answered && e.state != StateDispatched && (!leased || !k.trusted(e, id)) {
		// Nothing of this attempt was dispatched, but another keeper may have
		// run the request, so that the callers have to ask that one. The record
		// keeps its version and time, which tell that it may be out of date.
		if e.state == StateQueued {
			e.state, e.reason = StateNotRun, intern(string(api.ReasonNotReady))
			k.expireLater(s, e)
		} else {
			k.askLater(s, e, 0)
		}
		r.end(notKeeperReply(e.id))
		s.mu.Unlock()
		return
	}
	k.settle(s, e, r, res, leased && k.trusted(e, id), at)
}

// finalLease returns the time of lease for an outcome. Only an answer is true
// without a lease; other outcomes wait for it, since it is invalid for some
// 400 ms when a peer dies.
func (k *Keeper) finalLease(id string, outcome api.Outcome) (int64, bool) {
	if outcome == api.Answered {
		return k.lease(id)
	}
	at, err := k.awaitLease(k.ctx, id)
	return at, err == nil
}

// settle closes or keeps open the entry by res, ends r and releases the
// shard's lock. confirmed is set if no other keeper can have acted.
func (k *Keeper) settle(s *shard, e *entry, r *run, res *Result, confirmed bool, at int64) {
	if res.Outcome != api.Answered && !confirmed {
		k.askLater(s, e, 0)
		r.end(notKeeperReply(e.id))
		s.mu.Unlock()
		return
	}
	if res.Outcome != api.Answered && res.Outcome != api.NotRun && e.state != StateDispatched && !r.resolving {
		// Without a reservation nothing can have been dispatched.
		res = &Result{Outcome: api.NotRun, Reason: api.ReasonNotReady, RetryAfter: res.RetryAfter}
	}
	if confirmed {
		k.closeEntry(s, e, res, at)
	} else {
		// The answer is true, but a successor's record must stay the newer one.
		e.close(res)
		e.version++
		k.expireLater(s, e)
		k.dueAt(s, e, resendPause)
	}
	out := e.reply()
	out.Detail = res.Detail
	size := k.keepBody(e)
	r.end(out)
	s.mu.Unlock()
	k.trimBodies(size)
}

// closeEntry stores an outcome under the keeper lease and replicates it. The
// shard's lock is held.
func (k *Keeper) closeEntry(s *shard, e *entry, res *Result, at int64) {
	e.close(res)
	k.stamp(e, at)
	if e.state == StateUnknown {
		k.askLater(s, e, firstAsk)
	}
	k.expireLater(s, e)
	k.replicateLater(s, e)
}

// stamp marks a change under the keeper lease. The version contains the time,
// so that a keeper that starts without a record is ahead of what a keeper
// before it may have left unconfirmed: a successor begins at least 400 ms after
// the end of its predecessor's lease, which must exceed the difference between
// the hosts' clocks.
func (k *Keeper) stamp(e *entry, at int64) {
	e.updated = at
	e.version = max(e.version+1, uint64(at)<<16)
	e.keeper = k.self
}

func answer(id string, res *Result) *rpc.SubmitReply {
	return &rpc.SubmitReply{Id: id, Outcome: string(api.Answered), Body: res.Body, BodyLength: res.Length,
		Checksum: res.Checksum, Failed: res.Failed, Worker: res.Worker, State: StateAnswered.String()}
}

// reserve replicates the placement of an attempt; see ReserveFunc.
func (k *Keeper) reserve(ctx context.Context, e *entry, r *run, attempt uint32, holder string, members []*rpc.Member) error {
	at, err := k.awaitLease(ctx, e.id)
	if err != nil {
		return err
	}
	id, err := api.ParseID(e.id)
	if err != nil {
		return err
	}
	s := k.shard(e.id)
	s.mu.Lock()
	if err := k.mayReserve(e, r, id, attempt); err != nil {
		s.mu.Unlock()
		return err
	}
	e.state, e.holder, e.members = StateReserved, intern(holder), members
	k.stamp(e, at)
	rec := e.record()
	s.mu.Unlock()

	err = k.replicate(ctx, rec)
	s.mu.Lock()
	r.refused = errors.Is(err, ErrRecordRefused)
	s.mu.Unlock()
	if err != nil {
		k.counts.reserveFailed.Add(1)
		return err
	}
	// The host may have been paused while it waited for its backups.
	if _, err := k.awaitLease(ctx, e.id); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := k.mayReserve(e, r, id, attempt); err != nil {
		return err
	}
	if e.version != rec.Version {
		return ErrStaleAttempt
	}
	e.state = StateDispatched
	return nil
}

// mayReserve checks that the attempt is still the record's. The shard's lock
// is held.
func (k *Keeper) mayReserve(e *entry, r *run, id api.ID, attempt uint32) error {
	switch {
	case r.superseded:
		return ErrNotKeeper
	case e.run != r:
		return ErrCancelled
	case e.attempt != attempt:
		return ErrStaleAttempt
	case !k.trusted(e, id):
		// The records were lost while the request was queued.
		return ErrNotKeeper
	}
	return nil
}
