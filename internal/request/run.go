package request

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// startRun starts the execution of a request with the given attempt number. The
// shard's lock must be held, and admitMu at least for reading.
func (k *Keeper) startRun(e *entry, req *rpc.SubmitRequest, attempt uint32, leasedAtMs int64) *run {
	r := &run{done: make(chan struct{})}
	ctx, cancel := context.WithCancel(k.ctx)
	r.cancel = cancel
	e.run, e.state, e.attempt = r, StateQueued, attempt
	e.members, e.reason, e.retryAfterMs = nil, internedEmpty, 0
	e.keeper, e.updatedMs = k.self, leasedAtMs
	delete(k.shard(e.id).due, e.id)
	k.counts.running.Add(1)
	k.goroutines.add(1)
	k.budget.Request()
	go func() {
		defer k.goroutines.add(-1)
		defer k.counts.running.Add(-1)
		defer cancel()
		k.runAttempts(ctx, e, r, req, attempt)
	}()
	return r
}

// runAttempts makes attempts until the outcome is known or no further attempt
// is allowed.
func (k *Keeper) runAttempts(ctx context.Context, e *entry, r *run, req *rpc.SubmitRequest, attempt uint32) {
	var deadline time.Time
	if req.DeadlineMs > 0 {
		deadline = time.Now().Add(time.Duration(req.DeadlineMs) * time.Millisecond)
	}
	for n := 1; ; n++ {
		res := k.opts.Runner.Run(ctx, req, attempt, func(ctx context.Context, holder string, members []*rpc.Member) error {
			return k.reserve(ctx, e, r, attempt, holder, members)
		})
		if !intact(&res) {
			k.counts.damagedAnswers.Add(1)
			res = Result{Outcome: api.Unknown, Reason: api.ReasonNoReply}
		}
		retry := res.Outcome == api.Unknown && req.Idempotent && n < k.opts.MaxAttempts && ctx.Err() == nil &&
			(deadline.IsZero() || time.Now().Before(deadline)) && k.budget.Retry()
		if !retry || !k.nextAttempt(e, r, &attempt) {
			k.finishRun(e, r, &res)
			return
		}
		k.counts.retries.Add(1)
		if !deadline.IsZero() {
			req = proto.CloneOf(req)
			req.DeadlineMs = uint32(max(1, time.Until(deadline).Milliseconds()))
		}
	}
}

// nextAttempt prepares the record for another attempt of an idempotent request
// and increments the attempt number. It returns false if this host may not make
// one.
func (k *Keeper) nextAttempt(e *entry, r *run, attempt *uint32) bool {
	if k.opts.Membership.CheckKeeper(e.id) != nil {
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

// intact reports whether the body of an answer matches its length and checksum.
func intact(res *Result) bool {
	return res.Outcome != api.Answered ||
		uint32(len(res.Body)) == res.Length && api.Checksum(res.Body) == res.Checksum
}

// finishRun stores the outcome of the last attempt of a run and publishes it to
// the waiting callers.
func (k *Keeper) finishRun(e *entry, r *run, res *Result) {
	leasedAtMs, leased := k.leaseForOutcome(e.id, res.Outcome)
	id, _ := api.ParseID(e.id)
	s := k.shard(e.id)
	s.mu.Lock()
	leased = leased && !r.refusedByBackup
	if e.run != r {
		// The request was cancelled or another keeper's record replaced the
		// entry. An answer is valid even then.
		out := notKeeperReply(e.id)
		if res.Outcome == api.Answered {
			out = answerReply(e.id, res)
		}
		r.complete(out)
		s.mu.Unlock()
		return
	}
	e.run = nil
	if res.Outcome != api.Answered && k.ctx.Err() != nil {
		// The run ended because this host is stopping. Callers and backups must
		// not treat the request as cancelled; the next keeper resolves it.
		r.complete(notKeeperReply(e.id))
		s.mu.Unlock()
		return
	}
	if res.Outcome != api.Answered && e.state != StateDispatched && (!leased || !k.recordComplete(e, id)) {
		// Nothing of this attempt was dispatched, but another keeper may have
		// run the request, so callers must ask that keeper. The record retains
		// its version and update time, which show that it may be outdated.
		e.state, e.reason = StateNotRun, intern(string(api.ReasonNotReady))
		k.scheduleExpiry(s, e)
		r.complete(notKeeperReply(e.id))
		s.mu.Unlock()
		return
	}
	k.settleAndUnlock(s, e, r, res, leased && k.recordComplete(e, id), leasedAtMs)
}

// leaseForOutcome returns the time from checkLease or awaitLease and whether
// the lease is valid. An answer is valid without a lease and does not wait for
// it. Other outcomes wait, because the lease is invalid for some 400 ms when a
// peer dies.
func (k *Keeper) leaseForOutcome(id string, outcome api.Outcome) (int64, bool) {
	if outcome == api.Answered {
		return k.checkLease(id)
	}
	leasedAtMs, err := k.awaitLease(k.ctx, id)
	return leasedAtMs, err == nil
}

// settleAndUnlock stores res in the entry or schedules another resolution,
// completes r and releases the shard's lock. authoritative is set if no other
// keeper can have acted on the request.
func (k *Keeper) settleAndUnlock(s *shard, e *entry, r *run, res *Result, authoritative bool, leasedAtMs int64) {
	if res.Outcome != api.Answered && !authoritative {
		k.scheduleResolve(s, e, 0)
		r.complete(notKeeperReply(e.id))
		s.mu.Unlock()
		return
	}
	if res.Outcome != api.Answered && res.Outcome != api.NotRun && e.state != StateDispatched && !r.resolving {
		// Nothing can have been dispatched without a reservation.
		res = &Result{Outcome: api.NotRun, Reason: api.ReasonNotReady, RetryAfter: res.RetryAfter}
	}
	if authoritative {
		k.closeAndReplicate(s, e, res, leasedAtMs)
	} else {
		// The answer is valid, but the record of this keeper's successor must
		// remain the newer one. The version is therefore only incremented and not
		// set from the time as in stamp.
		e.setOutcome(res)
		e.version++
		k.scheduleExpiry(s, e)
		k.scheduleDue(s, e, resendDelay)
	}
	out := e.reply()
	out.Detail = res.Detail
	overLimit := k.trackBody(e)
	r.complete(out)
	s.mu.Unlock()
	k.evictBodies(overLimit)
}

// closeAndReplicate stores an outcome under the keeper lease and replicates it.
// The shard's lock must be held.
func (k *Keeper) closeAndReplicate(s *shard, e *entry, res *Result, leasedAtMs int64) {
	e.setOutcome(res)
	k.stamp(e, leasedAtMs)
	if e.state == StateUnknown {
		k.scheduleResolve(s, e, minResolveDelay)
	}
	k.scheduleExpiry(s, e)
	k.replicateAsync(s, e)
}

// stamp marks a change made under the keeper lease. The version contains the
// time, so that the version of a keeper that starts without a record exceeds
// any version that an earlier keeper may have left unconfirmed. This requires
// that the clocks of two hosts differ by less than 400 ms, the minimum time
// from the end of a keeper's lease to the start of its successor.
func (k *Keeper) stamp(e *entry, leasedAtMs int64) {
	e.updatedMs = leasedAtMs
	e.version = max(e.version+1, uint64(leasedAtMs)<<16)
	e.keeper = k.self
}

// answerReply returns the reply for an answer that is not taken from a record.
func answerReply(id string, res *Result) *rpc.SubmitReply {
	return &rpc.SubmitReply{Id: id, Outcome: string(api.Answered), Body: res.Body, BodyLength: res.Length,
		Checksum: res.Checksum, Failed: res.Failed, Worker: res.Worker, State: StateAnswered.String()}
}

// reserve replicates the placement of an attempt; see ReserveFunc.
func (k *Keeper) reserve(ctx context.Context, e *entry, r *run, attempt uint32, holder string, members []*rpc.Member) error {
	leasedAtMs, err := k.awaitLease(ctx, e.id)
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
	k.stamp(e, leasedAtMs)
	rec := e.record()
	s.mu.Unlock()

	err = k.replicate(ctx, rec)
	s.mu.Lock()
	r.refusedByBackup = errors.Is(err, ErrRecordRefused)
	s.mu.Unlock()
	if err != nil {
		k.counts.failedReservations.Add(1)
		return err
	}
	// This host may have been paused while it waited for the backups.
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

// mayReserve returns an error unless the attempt is still the current one of
// its record. The shard's lock must be held.
func (k *Keeper) mayReserve(e *entry, r *run, id api.ID, attempt uint32) error {
	switch {
	case r.superseded:
		return ErrNotKeeper
	case e.run != r:
		return ErrCancelled
	case e.attempt != attempt:
		return ErrStaleAttempt
	case !k.recordComplete(e, id):
		// This host had to rejoin while the request was queued, and its horizon is
		// now later than the record: another keeper may have acted since.
		return ErrNotKeeper
	}
	return nil
}
