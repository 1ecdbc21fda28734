package request

import (
	"context"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// AdoptDetached runs a detached request that the former keeper had accepted and that
// this host has stored. Without a record it has not been dispatched, however
// old its ID is, since the record of a dispatch is stored before it. The reply is that of Submit with Detach.
func (k *Keeper) AdoptDetached(ctx context.Context, req *rpc.SubmitRequest) *rpc.SubmitReply {
	id, err := api.ParseID(req.Id)
	if err != nil {
		return reply(req.Id, api.NotRun, api.ReasonInvalid, "")
	}
	at, err := k.awaitLease(ctx, req.Id)
	if err != nil {
		return notKeeperReply(req.Id)
	}
	if _, out := k.admit(id, req, at, true); out != nil {
		return out
	}
	return k.pending(req.Id)
}

// AwaitOutcome waits until the run of a request has ended and returns its outcome. It
// returns the kept one at once if none is in progress.
func (k *Keeper) AwaitOutcome(ctx context.Context, id string) *rpc.SubmitReply {
	s := k.shard(id)
	s.mu.Lock()
	e := s.entries[id]
	var r *run
	if e != nil {
		r = e.run
	}
	s.mu.Unlock()
	if r == nil {
		return k.pending(id)
	}
	return k.wait(ctx, id, 0, r)
}
