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

// detachedCall bounds the storing of a detached request on a backup; it is
// below the keeper lease.
const detachedCall = 500 * time.Millisecond

// detachedTable stores the detached requests that the failure domain has
// accepted. Nobody waits for them, so that the next record keeper has to run
// them when theirs dies before or after the dispatch. A stored request is
// dropped when its answer arrives, or before it ends as not run. Since closed
// records are sent until every backup has confirmed them, it never outlives its
// record.
type detachedTable struct {
	mu       sync.Mutex
	requests map[string]*rpc.SubmitRequest
	// running holds the IDs that this host runs as their keeper.
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

// answered drops the requests that have been answered.
func (t *detachedTable) answered(records []*rpc.Record, refused []uint32) {
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

// begin reports whether this host is to run a stored request and marks it.
func (t *detachedTable) begin(id string) bool {
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

// submitHere takes a request in as its record keeper.
func (h *Host) submitHere(ctx context.Context, req *rpc.SubmitRequest) *rpc.SubmitReply {
	if !req.Detach {
		return h.keeper.Submit(ctx, req)
	}
	if h.membership.CheckKeeper(req.Id) == nil && h.detached.get(req.Id) == nil {
		h.detached.store([]*rpc.SubmitRequest{req})
		if err := h.storeOnBackups(ctx, &rpc.StoreDetachedRequest{Requests: []*rpc.SubmitRequest{req}}); err != nil {
			h.log.V(1).Info("detached request was not stored on all backups", "request", req.Id, "error", err.Error())
			// A backup may have stored it and may run it.
			return &rpc.SubmitReply{Id: req.Id, Outcome: string(api.Unknown), Reason: string(api.ReasonNoReply)}
		}
	}
	reply := h.keeper.Submit(ctx, req)
	if reply.Reason == string(api.ReasonPending) && h.detached.begin(req.Id) {
		go h.runStored(req.Id)
	} else if reply.Outcome == string(api.Answered) {
		h.detached.drop(req.Id)
	}
	return h.stillStored(reply)
}

// storeOnBackups sends a message to every backup and needs all replies.
func (h *Host) storeOnBackups(ctx context.Context, msg *rpc.StoreDetachedRequest) error {
	ctx, cancel := context.WithTimeout(ctx, detachedCall)
	defer cancel()
	var group errgroup.Group
	for _, peer := range h.membership.Backups() {
		group.Go(func() error {
			client, ok := h.links.Client(peer)
			if !ok {
				return errors.Errorf("no link to %s", peer)
			}
			_, err := client.StoreDetached(ctx, msg)
			return errors.Wrapf(err, "store on %s", peer)
		})
	}
	return group.Wait()
}

// takeOver acts on a change of the membership: it resolves the records and runs
// the detached requests whose keeper this host has become.
func (h *Host) takeOver() {
	h.keeper.TakeOver()
	for _, req := range h.detached.all() {
		if h.keeps(req.Id) && h.detached.begin(req.Id) {
			h.recordEvent("detached_adopted", req.Id, "", "")
			go func() {
				h.keeper.AdoptDetached(h.life, req)
				h.runStored(req.Id)
			}()
		}
	}
}

// storedRetry is the pause before a stored request is run again after a worker
// failed it or its outcome is asked for again.
const storedRetry = 500 * time.Millisecond

// runStored follows a stored request until it is answered or dropped, or until
// this host is not its keeper any more.
func (h *Host) runStored(id string) {
	defer h.detached.end(id)
	for {
		reply := h.keeper.AwaitOutcome(h.life, id)
		req := h.detached.get(id)
		switch {
		case req == nil || !h.keeps(id):
			return
		case reply.Outcome == string(api.Answered):
			h.detached.drop(id)
			return
		}
		if !pause(h.life, storedRetry) {
			return
		}
		h.keeper.AdoptDetached(h.life, req)
	}
}

// stillStored hides the refusal of one attempt of a stored request, which will
// be run again.
func (h *Host) stillStored(reply *rpc.SubmitReply) *rpc.SubmitReply {
	if reply.Outcome == string(api.NotRun) && h.detached.get(reply.Id) != nil {
		return &rpc.SubmitReply{Id: reply.Id, Outcome: string(api.Unknown), Reason: string(api.ReasonPending), State: request.StateQueued.String()}
	}
	return reply
}

// runDetached runs a detached request. Before it ends as not run for good, the
// backups must have dropped it: one of them would run it later.
func (r *runner) runDetached(ctx context.Context, req *rpc.SubmitRequest, attempt uint32, reserve request.ReserveFunc) request.Result {
	res := r.runOnce(ctx, req, attempt, reserve)
	again := res.Reason == api.ReasonNotReady || res.Reason == api.ReasonWorkerFailed
	if res.Outcome != api.NotRun || again {
		return res
	}
	if err := r.host.storeOnBackups(context.WithoutCancel(ctx), &rpc.StoreDetachedRequest{Finished: []string{req.Id}}); err != nil {
		return unknown(api.ReasonNoReply)
	}
	r.host.detached.drop(req.Id)
	return res
}

// cancelHere cancels a request as its record keeper. A stored detached request
// is first dropped everywhere, so that "not run" stays true.
func (h *Host) cancelHere(ctx context.Context, id string) *rpc.SubmitReply {
	ctx, cancel := context.WithTimeout(ctx, keeperOutcomeTimeout)
	defer cancel()
	if h.detached.get(id) != nil {
		if err := h.storeOnBackups(ctx, &rpc.StoreDetachedRequest{Finished: []string{id}}); err != nil {
			return &rpc.SubmitReply{Id: id, Outcome: string(api.Unknown), Reason: string(api.ReasonPending), RetryAfterMs: uint32(detachedCall / time.Millisecond)}
		}
		h.detached.drop(id)
	}
	return h.keeper.Cancel(ctx, id)
}

// canceller stops the tasks of dispatched requests.
type canceller struct{ host *Host }

// Cancel implements request.Canceller.
func (c canceller) Cancel(ctx context.Context, rec *rpc.Record) error {
	c.host.cancels.cancel(rec.Id)
	if len(rec.Members) == 0 {
		client, ok := c.host.links.Client(rec.Holder)
		if !ok {
			return errors.Errorf("no link to %s, under which the request runs", rec.Holder)
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
