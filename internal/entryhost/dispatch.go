package entryhost

import (
	"context"
	"sync"
	"time"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/request"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

const (
	// dispatchRetention is how long the outcome of a dispatch is kept for a record
	// keeper that did not receive the reply.
	dispatchRetention = time.Minute
	// dispatchQueueTimeout bounds the time that a request from another host is
	// queued here. After that it returns to the queue of the host that sent it.
	dispatchQueueTimeout = 250 * time.Millisecond
)

// dispatchKey identifies a dispatch: one attempt of one request.
type dispatchKey struct {
	id      string
	attempt uint32
}

// dispatch is one attempt of a request that this host runs on behalf of another
// host, the request's record keeper.
type dispatch struct {
	// done is closed when reply is set.
	done  chan struct{}
	reply *rpc.SubmitReply
	// fenced is set if the dispatch is rejected because it had not arrived when its
	// record keeper asked about it.
	fenced  bool
	expires time.Time
	// placedTask is the task that was placed last, nil until the first placement.
	placedTask *rpc.Member
}

// dispatchTable records dispatches. It ensures that a duplicate does not run again
// and that a dispatch which arrives after its record keeper asked about it is
// rejected.
type dispatchTable struct {
	now func() time.Time
	// processStart is when the table was created, at the start of the process.
	processStart time.Time

	mu      sync.Mutex
	entries map[dispatchKey]*dispatch
}

func newDispatchTable(now func() time.Time) *dispatchTable {
	return &dispatchTable{now: now, processStart: now(), entries: make(map[dispatchKey]*dispatch)}
}

// begin returns the entry of a dispatch and whether the caller must run it. If not,
// it is a duplicate or has been fenced.
func (t *dispatchTable) begin(key dispatchKey) (*dispatch, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d, ok := t.entries[key]; ok {
		return d, false
	}
	d := &dispatch{done: make(chan struct{})}
	t.entries[key] = d
	return d, true
}

func (t *dispatchTable) length() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// placedTask returns the task that was placed last for a dispatch, or nil if there
// is none.
func (t *dispatchTable) placedTask(key dispatchKey) *rpc.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.entries[key]
	if d == nil || d.fenced {
		return nil
	}
	return d.placedTask
}

// setPlacedTask records the task that was placed for a dispatch and is about to be
// started.
func (t *dispatchTable) setPlacedTask(d *dispatch, member *rpc.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d.placedTask = member
}

// finish sets the outcome of a dispatch and wakes the callers that wait for it.
func (t *dispatchTable) finish(d *dispatch, reply *rpc.SubmitReply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d.reply = reply
	d.expires = t.now().Add(dispatchRetention)
	close(d.done)
}

// fence returns the entry of a dispatch. If there is none, it adds one that rejects
// the dispatch for the given retention, the time for which its record is kept.
func (t *dispatchTable) fence(key dispatchKey, retention time.Duration) *dispatch {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d, ok := t.entries[key]; ok {
		return d
	}
	d := &dispatch{done: make(chan struct{}), fenced: true, expires: t.now().Add(retention)}
	d.reply = refusedReply(key.id)
	close(d.done)
	t.entries[key] = d
	return d
}

// isCompleteFor reports whether the table contains every dispatch of a request that
// this host may have received. That holds if the request was created after the
// start of the process and less than dispatchRetention ago, each with a margin for
// the clock skew.
func (t *dispatchTable) isCompleteFor(id string) bool {
	parsed, err := api.ParseID(id)
	since := t.now().Add(-dispatchRetention)
	if since.Before(t.processStart) {
		since = t.processStart
	}
	return err == nil && parsed.Created.After(since.Add(request.DefaultMaxClockSkew))
}

// expire removes the entries whose retention has passed.
func (t *dispatchTable) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for key, d := range t.entries {
		if !d.expires.IsZero() && now.After(d.expires) {
			delete(t.entries, key)
		}
	}
}

// refusedReply returns the reply to a dispatch that has not run and never will,
// because this host cannot run the request, has fenced the dispatch or is handing
// its queue over. The reason is the same in all cases: the record keeper, which
// places the request elsewhere or has it submitted again, uses only the outcome. It
// must not be ReasonPending or ReasonBeforeHorizon, which resolver.awaitHolder
// interprets.
func refusedReply(id string) *rpc.SubmitReply {
	return &rpc.SubmitReply{Id: id, Outcome: string(api.NotRun), Reason: string(api.ReasonQueueFull)}
}

// dispatch runs a request for another host, its record keeper, whose record names
// this host as the holder. Duplicates wait for the outcome of the first call.
func (h *Host) dispatch(ctx context.Context, req *rpc.DispatchRequest) *rpc.SubmitReply {
	key := dispatchKey{req.Request.Id, req.Attempt}
	// Register the request for cancellation first, so that it can be cancelled as
	// soon as its entry exists.
	h.cancels.begin(key.id)
	d, isNew := h.dispatches.begin(key)
	if isNew {
		go func() {
			defer h.cancels.end(key.id)
			h.dispatches.finish(d, h.runDispatch(d, req))
		}()
	} else {
		h.cancels.end(key.id)
	}
	select {
	case <-d.done:
		return d.reply
	case <-ctx.Done():
		return &rpc.SubmitReply{Id: key.id, Outcome: string(api.Unknown), Reason: string(api.ReasonPending)}
	}
}

// runDispatch runs a dispatched request on a worker that this host holds. It never
// forwards the request to another host.
func (h *Host) runDispatch(d *dispatch, req *rpc.DispatchRequest) *rpc.SubmitReply {
	job, rejection := h.runner.newJob(req.Request)
	if rejection != nil {
		return refusedReply(req.Request.Id)
	}
	if limit := time.Now().Add(dispatchQueueTimeout); job.Deadline.After(limit) {
		job.Deadline = limit
	}
	reserve := func(ctx context.Context, _ string, members []*rpc.Member) error {
		h.dispatches.setPlacedTask(d, members[0])
		return ctx.Err()
	}
	res, _, err := h.runner.runLocal(h.lifetime, req.Request, job, req.Attempt, reserve, nil)
	if err != nil {
		return refusedReply(req.Request.Id)
	}
	return toReply(req.Request.Id, res)
}

// cancelDispatch removes a dispatch from the queue or stops its task. The outcome is
// returned by the reply to the dispatch.
func (h *Host) cancelDispatch(ctx context.Context, id string, attempt uint32) {
	h.cancels.cancel(id)
	m := h.dispatches.placedTask(dispatchKey{id, attempt})
	if m == nil {
		return
	}
	if _, err := h.holding.Stop(ctx, m.Worker, worker.TaskID(m.Task)); err != nil {
		h.log.Info("stopping the task of a cancelled request failed", "task", m.Task, "worker", m.Worker, "error", err.Error())
	}
}

// resolveDispatch returns the outcome of a dispatch, and fences the dispatch if it
// has not arrived. A dispatch that is not in the table may still have run: a former
// process of this host may have received it, or its outcome may have expired since.
// In these cases the reply is unknown with ReasonBeforeHorizon.
func (h *Host) resolveDispatch(id string, attempt uint32) *rpc.SubmitReply {
	retention := time.Duration(h.settings.Limits.RecordRetentionSeconds) * time.Second
	d := h.dispatches.fence(dispatchKey{id, attempt}, retention)
	select {
	case <-d.done:
		if d.fenced && !h.dispatches.isCompleteFor(id) {
			return &rpc.SubmitReply{Id: id, Outcome: string(api.Unknown), Reason: string(api.ReasonBeforeHorizon)}
		}
		return d.reply
	default:
		return &rpc.SubmitReply{Id: id, Outcome: string(api.Unknown), Reason: string(api.ReasonPending)}
	}
}
