package entryhost

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/request"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// storeDetachedTimeout bounds the calls that store detached requests on the backups
// or make them drop the requests. Like the timeout of a replication call, it is
// shorter than the keeper lease of 600 ms.
const storeDetachedTimeout = 500 * time.Millisecond

// detachedTable stores the detached requests that the failure domain has accepted. No
// caller waits for a detached request, so none would submit it again: if its record
// keeper dies, before or after the dispatch, the next one must run it. A stored
// request is dropped when its answer arrives, just before it ends as not run, or when
// it may have run before the horizon and must not run again.
// Closed records are resent until every backup has confirmed them, so a stored
// request never outlives its record.
type detachedTable struct {
	mu       sync.Mutex
	requests map[string]*rpc.SubmitRequest
	// running holds the IDs of the requests that this host runs as record keeper.
	running map[string]bool
}

func newDetachedTable() *detachedTable {
	return &detachedTable{requests: make(map[string]*rpc.SubmitRequest), running: make(map[string]bool)}
}

func (t *detachedTable) store(requests []*rpc.SubmitRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range requests {
		t.requests[r.Id] = r
	}
}

func (t *detachedTable) drop(ids ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		delete(t.requests, id)
	}
}

func (t *detachedTable) clear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.requests)
}

func (t *detachedTable) length() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.requests)
}

func (t *detachedTable) all() []*rpc.SubmitRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Values(t.requests))
}

// dropAnswered drops the requests whose records say that they are answered, except
// for records whose index is in refused.
func (t *detachedTable) dropAnswered(records []*rpc.Record, refused []uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, r := range records {
		if request.State(r.State) == request.StateAnswered && !slices.Contains(refused, uint32(i)) {
			delete(t.requests, r.Id)
		}
	}
}

func (t *detachedTable) get(id string) *rpc.SubmitRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.requests[id]
}

// tryBegin marks a stored request as running on this host. It returns false if the
// request is already running or not stored.
func (t *detachedTable) tryBegin(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[id] || t.requests[id] == nil {
		return false
	}
	t.running[id] = true
	return true
}

func (t *detachedTable) end(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, id)
}

// submitAsKeeper accepts a request as its record keeper. A detached request is stored on
// all backups first.
func (h *Host) submitAsKeeper(ctx context.Context, req *rpc.SubmitRequest) *rpc.SubmitReply {
	if !req.Detach {
		return h.keeper.Submit(ctx, req)
	}
	if h.membership.CheckKeeper(req.Id) == nil && h.detached.get(req.Id) == nil {
		h.detached.store([]*rpc.SubmitRequest{req})
		if err := h.updateBackups(ctx, &rpc.StoreDetachedRequest{Requests: []*rpc.SubmitRequest{req}}); err != nil {
			h.log.V(1).Info("storing a detached request on all backups failed", "request", req.Id, "error", err.Error())
			// Some backup may have stored the request and may run it.
			return &rpc.SubmitReply{Id: req.Id, Outcome: string(api.Unknown), Reason: string(api.ReasonNoReply)}
		}
	}
	reply := h.keeper.Submit(ctx, req)
	if reply.Reason == string(api.ReasonPending) && h.detached.tryBegin(req.Id) {
		go h.followDetached(req.Id, reply)
	} else if reply.Outcome == string(api.Answered) {
		h.detached.drop(req.Id)
	}
	return h.hideRetriedRefusal(reply)
}

// updateBackups makes every backup store or drop the detached requests in a message.
// It fails unless all of them reply.
func (h *Host) updateBackups(ctx context.Context, msg *rpc.StoreDetachedRequest) error {
	ctx, cancel := context.WithTimeout(ctx, storeDetachedTimeout)
	defer cancel()
	var group errgroup.Group
	for _, peer := range h.membership.Backups() {
		group.Go(func() error {
			client, ok := h.links.Client(peer)
			if !ok {
				return errors.Errorf("no link to entry host %s", peer)
			}
			_, err := client.StoreDetached(ctx, msg)
			return errors.Wrapf(err, "update detached requests on entry host %s", peer)
		})
	}
	return group.Wait()
}

// takeOver is called after a membership change. It resolves the records and runs the
// detached requests for which this host has become the record keeper.
func (h *Host) takeOver() {
	h.keeper.TakeOver()
	for _, req := range h.detached.all() {
		if h.isRecordKeeper(req.Id) && h.detached.tryBegin(req.Id) {
			h.recordEvent("detached_adopted", req.Id, "", "")
			go func() {
				h.followDetached(req.Id, h.keeper.AdoptDetached(h.lifetime, req))
			}()
		}
	}
}

// detachedRetryDelay is the pause before a stored request without an answer is run
// again, for example after a worker failed, or its outcome is awaited again.
const detachedRetryDelay = 500 * time.Millisecond

// followDetached awaits the outcome of a stored request, and runs the request again
// until it is answered or dropped, it must not run again or this host is no longer its
// record keeper. reply is the keeper's reply to the request.
func (h *Host) followDetached(id string, reply *rpc.SubmitReply) {
	defer h.detached.end(id)
	for {
		if reply.Reason == string(api.ReasonPending) {
			reply = h.keeper.AwaitOutcome(h.lifetime, id)
		}
		req := h.detached.get(id)
		switch {
		case req == nil || !h.isRecordKeeper(id):
			return
		case reply.Outcome == string(api.Answered), reply.Reason == string(api.ReasonBeforeHorizon) && !req.Idempotent:
			h.detached.drop(id)
			return
		}
		if !pause(h.lifetime, detachedRetryDelay) {
			return
		}
		reply = h.keeper.AdoptDetached(h.lifetime, req)
	}
}

// hideRetriedRefusal replaces the refusal of a stored detached request by a pending
// reply, since the request will be run again.
func (h *Host) hideRetriedRefusal(reply *rpc.SubmitReply) *rpc.SubmitReply {
	if reply.Outcome == string(api.NotRun) && h.detached.get(reply.Id) != nil {
		return &rpc.SubmitReply{Id: reply.Id, Outcome: string(api.Unknown), Reason: string(api.ReasonPending), State: request.StateQueued.String()}
	}
	return reply
}

// runDetached runs a detached request. Before it returns a final "not run", it makes
// all backups drop the request: one of them would run it later.
func (r *runner) runDetached(ctx context.Context, req *rpc.SubmitRequest, attempt uint32, reserve request.ReserveFunc) request.Result {
	res := r.runOnce(ctx, req, attempt, reserve)
	retried := res.Reason == api.ReasonNotReady || res.Reason == api.ReasonWorkerFailed
	if res.Outcome != api.NotRun || retried {
		return res
	}
	if err := r.host.updateBackups(context.WithoutCancel(ctx), &rpc.StoreDetachedRequest{Finished: []string{req.Id}}); err != nil {
		return unknown(api.ReasonNoReply)
	}
	r.host.detached.drop(req.Id)
	return res
}

// cancelAsKeeper cancels a request as its record keeper. A stored detached request is
// dropped on all backups first, so that none of them runs it after "not run" has
// been reported.
func (h *Host) cancelAsKeeper(ctx context.Context, id string) *rpc.SubmitReply {
	ctx, cancel := context.WithTimeout(ctx, keeperOutcomeTimeout)
	defer cancel()
	if h.detached.get(id) != nil {
		if err := h.updateBackups(ctx, &rpc.StoreDetachedRequest{Finished: []string{id}}); err != nil {
			return &rpc.SubmitReply{Id: id, Outcome: string(api.Unknown), Reason: string(api.ReasonPending), RetryAfterMs: uint32(storeDetachedTimeout / time.Millisecond)}
		}
		h.detached.drop(id)
	}
	return h.keeper.Cancel(ctx, id)
}

// canceller implements request.Canceller: it stops the tasks of dispatched requests.
type canceller struct{ host *Host }

// Cancel implements request.Canceller.
func (c canceller) Cancel(ctx context.Context, rec *rpc.Record) error {
	c.host.cancels.cancel(rec.Id)
	if len(rec.Members) == 0 {
		client, ok := c.host.links.Client(rec.Holder)
		if !ok {
			return errors.Errorf("no link to entry host %s, which runs the request", rec.Holder)
		}
		_, err := client.ResolveDispatch(ctx, &rpc.ResolveDispatchRequest{Id: rec.Id, Attempt: rec.Attempt, Cancel: true})
		return err
	}
	for _, m := range rec.Members {
		if _, err := c.host.holding.Stop(ctx, m.Worker, worker.TaskID(m.Task)); err != nil {
			return err
		}
	}
	return nil
}
