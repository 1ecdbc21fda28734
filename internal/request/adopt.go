package request

import (
	"context"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// AdoptDetached runs a detached request that the previous keeper had accepted
// and that this host has stored. If there is no record, the request has not
// been dispatched, regardless of the age of its ID, because the record is
// stored before the dispatch. The exception is a request from before the
// horizon: while this host was paused, its only peer may have run the request and
// died with the record. Such a request runs only if it is idempotent; otherwise
// its outcome is Unknown with ReasonBeforeHorizon. The reply is that of Submit
// with Detach.
func (k *Keeper) AdoptDetached(ctx context.Context, req *rpc.SubmitRequest) *rpc.SubmitReply {
	id, err := api.ParseID(req.Id)
	if err != nil {
		return newReply(req.Id, api.NotRun, api.ReasonInvalid, "")
	}
	leasedAtMs, err := k.awaitLease(ctx, req.Id)
	if err != nil {
		return notKeeperReply(req.Id)
	}
	if _, out := k.admit(id, req, leasedAtMs, true); out != nil {
		return out
	}
	return k.pendingReply(req.Id)
}

// AwaitOutcome waits until the current run of a request has ended and returns
// its outcome. If no run is in progress, it returns at once: the answer of an
// answered record, the state of an open one, or else Unknown with ReasonPending.
func (k *Keeper) AwaitOutcome(ctx context.Context, id string) *rpc.SubmitReply {
	s := k.shard(id)
	s.mu.Lock()
	e := s.entries[id]
	var r *run
	var answer *rpc.SubmitReply
	switch {
	case e == nil:
	case e.run != nil:
		r = e.run
	case e.state == StateAnswered:
		answer = e.reply()
	}
	s.mu.Unlock()
	switch {
	case r != nil:
		return k.wait(ctx, id, 0, r)
	case answer != nil:
		return answer
	}
	return k.pendingReply(id)
}
