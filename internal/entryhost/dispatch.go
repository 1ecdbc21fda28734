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
	// keeper that did not get the reply.
	dispatchRetention = time.Minute
	// dispatchQueueTimeout bounds the wait for a placement on behalf of another host.
	// After it the request goes back to its own host's queue.
	dispatchQueueTimeout = 250 * time.Millisecond
)

type dispatchKey struct {
	id      string
	attempt uint32
}

// dispatch is a request that this host runs for another host's record keeper.
type dispatch struct {
	done    chan struct{}
	reply   *rpc.SubmitReply
	fenced  bool
	expires time.Time
	// startedTask is the task that was started last, nil while the request is queued.
	startedTask *rpc.Member
}

// dispatchTable remembers dispatches, so that a second copy does not run and
// one that arrives after its keeper asked about it is rejected.
type dispatchTable struct {
	now func() time.Time
	// processStart is the start of the process.
	processStart time.Time

	mu      sync.Mutex
	entries map[dispatchKey]*dispatch
}

func newDispatchTable(now func() time.Time) *dispatchTable {
	return &dispatchTable{now: now, processStart: now(), entries: make(map[dispatchKey]*dispatch)}
}

// begin returns the entry of a dispatch and whether the caller is to run it.
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

// startedTask returns the task of a dispatch that was started last, or nil.
func (t *dispatchTable) startedTask(key dispatchKey) *rpc.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.entries[key]
	if d == nil || d.fenced {
		return nil
	}
	return d.startedTask
}

// setStartedTask notes the task of a dispatch.
func (t *dispatchTable) setStartedTask(d *dispatch, member *rpc.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d.startedTask = member
}

func (t *dispatchTable) finish(d *dispatch, reply *rpc.SubmitReply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d.reply = reply
	d.expires = t.now().Add(dispatchRetention)
	close(d.done)
}

// fence returns the entry of a dispatch. If there is none, it makes one that
// rejects the dispatch for as long as its record is kept.
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

// isCompleteFor reports whether the table has every dispatch of a request that this
// host may have received. It is so if the request was created after the start
// of the process and less than dispatchRetention ago.
func (t *dispatchTable) isCompleteFor(id string) bool {
	parsed, err := api.ParseID(id)
	since := t.now().Add(-dispatchRetention)
	if since.Before(t.processStart) {
		since = t.processStart
	}
	return err == nil && parsed.Created.After(since.Add(request.DefaultMaxClockSkew))
}

// expire drops entries whose time has passed.
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

func refusedReply(id string) *rpc.SubmitReply {
	return &rpc.SubmitReply{Id: id, Outcome: string(api.NotRun), Reason: string(api.ReasonQueueFull)}
}

// dispatch runs a request for another host's record keeper. The record there
// names this host as the holder.
func (h *Host) dispatch(ctx context.Context, req *rpc.DispatchRequest) *rpc.SubmitReply {
	key := dispatchKey{req.Request.Id, req.Attempt}
	// The request can be cancelled from the moment at which its entry exists.
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

// runDispatch runs a dispatched request on a worker that this host holds. It
// never passes it on.
func (h *Host) runDispatch(d *dispatch, req *rpc.DispatchRequest) *rpc.SubmitReply {
	job, rejection := h.runner.newJob(req.Request)
	if rejection != nil {
		return refusedReply(req.Request.Id)
	}
	if limit := time.Now().Add(dispatchQueueTimeout); job.Deadline.After(limit) {
		job.Deadline = limit
	}
	reserve := func(ctx context.Context, _ string, members []*rpc.Member) error {
		h.dispatches.setStartedTask(d, members[0])
		return ctx.Err()
	}
	res, _, err := h.runner.runLocal(h.lifetime, req.Request, job, req.Attempt, reserve, nil)
	if err != nil {
		return refusedReply(req.Request.Id)
	}
	return toReply(req.Request.Id, res)
}

// cancelDispatch takes a dispatch out of the queue or stops its task. Its outcome comes with the
// reply to the dispatch.
func (h *Host) cancelDispatch(ctx context.Context, id string, attempt uint32) {
	h.cancels.cancel(id)
	m := h.dispatches.startedTask(dispatchKey{id, attempt})
	if m == nil {
		return
	}
	if _, err := h.holding.Stop(ctx, m.Worker, worker.TaskID(m.Task)); err != nil {
		h.log.Info("task of a cancelled request was not stopped", "task", m.Task, "worker", m.Worker, "error", err.Error())
	}
}

// resolveDispatch tells what became of a dispatch and fences it if it has not
// arrived. A dispatch of which nothing is known may have run if the process
// before this one can have received it, or if its outcome may have been dropped
// since. Then the reply is unknown with ReasonBeforeHorizon.
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
