package request

import (
	"context"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// Cancel cancels a request. A queued or reserved request will not run. A
// dispatched request is stopped if there is a Canceller; Cancel then waits for
// its outcome until ctx ends. For an ID without a record, Cancel stores a
// cancelled record, so that a submit that arrives later does not run.
func (k *Keeper) Cancel(ctx context.Context, id string) *rpc.SubmitReply {
	parsed, err := api.ParseID(id)
	if err != nil {
		return newReply(id, api.NotRun, api.ReasonInvalid, "")
	}
	leasedAtMs, err := k.awaitLease(ctx, id)
	if err != nil {
		return notKeeperReply(id)
	}
	r, rec, out := k.cancelRecord(parsed, id, leasedAtMs)
	if out != nil {
		return out
	}
	if rec != nil && k.opts.Canceller != nil {
		for ; rec != nil; rec = k.redispatchedSince(rec, r) {
			if err := k.opts.Canceller.Cancel(ctx, rec); err != nil {
				k.opts.Logger.V(1).Info("failed to stop a dispatched request", "request", id, "error", err.Error())
			}
		}
		return k.wait(ctx, id, 0, r)
	}
	if rec != nil {
		return k.pendingReply(id)
	}
	return k.wait(ctx, id, k.opts.ResolveTimeout, r)
}

// redispatchedSince returns the current record if the request was dispatched
// again after rec was read, in which case cancelling rec may have missed that
// dispatch. Otherwise it returns nil.
func (k *Keeper) redispatchedSince(rec *rpc.Record, r *run) *rpc.Record {
	s := k.shard(rec.Id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[rec.Id]
	if e == nil || e.run != r || e.state != StateDispatched || e.version == rec.Version {
		return nil
	}
	return e.record()
}

// cancelRecord cancels a request that has not been dispatched and returns the
// reply. Otherwise it returns the run to wait for and, if that run is a
// dispatched attempt, the record to stop.
func (k *Keeper) cancelRecord(parsed api.ID, id string, leasedAtMs int64) (*run, *rpc.Record, *rpc.SubmitReply) {
	s := k.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	cancelled := &Result{Outcome: api.NotRun, Reason: api.ReasonCancelled}
	e := s.entries[id]
	switch {
	case e == nil:
		now := k.opts.Now()
		if k.mayHaveRun(parsed, now, false) || parsed.Created.After(now.Add(k.opts.MaxClockSkew)) ||
			k.counts.records.Load() >= int64(k.opts.MaxRecords) {
			return nil, nil, k.beforeHorizonReply(id)
		}
		e = &entry{id: id, team: internedEmpty, service: internedEmpty, keeper: k.self, holder: internedEmpty, worker: internedEmpty, reason: internedEmpty}
		s.entries[id] = e
		k.counts.records.Add(1)
	case e.state == StateAnswered:
		return nil, nil, e.reply()
	case !k.recordComplete(e, parsed) && (e.run == nil || e.state != StateDispatched):
		return nil, nil, k.beforeHorizonReply(id)
	case e.run != nil && e.run.resolving:
		return e.run, nil, nil
	case e.run != nil && e.state == StateDispatched:
		return e.run, e.record(), nil
	case e.run == nil && e.state != StateNotRun:
		return k.startResolve(s, e), nil, nil
	}
	// Nothing was dispatched, and reserve fails from here on.
	r := e.run
	e.run = nil
	k.closeAndReplicate(s, e, cancelled, leasedAtMs)
	out := e.reply()
	if r != nil {
		r.complete(out)
		r.cancel()
	}
	k.counts.cancelled.Add(1)
	return nil, nil, out
}
