package request

import (
	"context"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// Cancel cancels a request. One that is queued or reserved is not run from
// then on. One that is dispatched is stopped if there is a Canceller; the
// reply then waits for its outcome until the end of ctx. An ID without a
// record is noted as cancelled, so that a submit that arrives later is not
// run.
func (k *Keeper) Cancel(ctx context.Context, id string) *rpc.SubmitReply {
	parsed, err := api.ParseID(id)
	if err != nil {
		return reply(id, api.NotRun, api.ReasonInvalid, "")
	}
	at, err := k.awaitLease(ctx, id)
	if err != nil {
		return notKeeperReply(id)
	}
	r, rec, out := k.cancel(parsed, id, at)
	if out != nil {
		return out
	}
	if rec != nil && k.o.Canceller != nil {
		for ; rec != nil; rec = k.placedSince(rec, r) {
			if err := k.o.Canceller.Cancel(ctx, rec); err != nil {
				k.o.Logger.V(1).Info("could not stop a dispatched request", "request", id, "error", err.Error())
			}
		}
		return k.wait(ctx, id, 0, r)
	}
	if rec != nil {
		return k.pending(id)
	}
	return k.wait(ctx, id, k.o.ResolveTimeout, r)
}

// placedSince returns the present record if the request was dispatched anew
// after rec was read, which the cancellation of rec may have missed.
func (k *Keeper) placedSince(rec *rpc.Record, r *run) *rpc.Record {
	s := k.shard(rec.Id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[rec.Id]
	if e == nil || e.run != r || e.state != StateDispatched || e.version == rec.Version {
		return nil
	}
	return e.record()
}

func (k *Keeper) cancel(parsed api.ID, id string, at int64) (*run, *rpc.Record, *rpc.SubmitReply) {
	s := k.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	cancelled := &Result{Outcome: api.NotRun, Reason: api.ReasonCancelled}
	e := s.entries[id]
	switch {
	case e == nil:
		now := k.o.Now()
		if k.mayHaveRun(parsed, now) || parsed.Created.After(now.Add(k.o.MaxClockSkew)) ||
			k.counts.records.Load() >= int64(k.o.MaxRecords) {
			return nil, nil, k.beforeHorizon(id)
		}
		e = &entry{id: id, team: noName, service: noName, keeper: k.self, holder: noName, worker: noName, reason: noName}
		s.entries[id] = e
		k.counts.records.Add(1)
	case e.state == StateAnswered:
		return nil, nil, e.reply()
	case !k.trusted(e, parsed) && (e.run == nil || e.state != StateDispatched):
		return nil, nil, k.beforeHorizon(id)
	case e.run != nil && e.run.resolving:
		return e.run, nil, nil
	case e.run != nil && e.state == StateDispatched:
		return e.run, e.record(), nil
	case e.run == nil && e.state != StateNotRun:
		return k.startResolve(s, e), nil, nil
	}
	// Nothing was dispatched, and reserve fails from now on.
	r := e.run
	e.run = nil
	k.closeEntry(s, e, cancelled, at)
	out := e.reply()
	if r != nil {
		r.end(out)
		r.cancel()
	}
	k.counts.cancelled.Add(1)
	return nil, nil, out
}
