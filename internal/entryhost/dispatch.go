package entryhost

import (
	"context"
	"sync"
	"time"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

const (
	// dispatchKeep is how long the outcome of a dispatch is kept for a record
	// keeper that did not get the reply.
	dispatchKeep = time.Minute
	// dispatchQueue bounds the wait for a placement on behalf of another host.
	// After it the request goes back to its own host's queue.
	dispatchQueue = 250 * time.Millisecond
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
	// member is the task that was started last, nil while the request is queued.
	member *rpc.Member
	// withdraw takes a queued request out of the queue.
	withdraw context.CancelFunc
}

// dispatchTable remembers dispatches, so that a second copy does not run and
// one that arrives after its keeper asked about it is rejected.
type dispatchTable struct {
	now func() time.Time

	mu      sync.Mutex
	entries map[dispatchKey]*dispatch
}

func newDispatchTable(now func() time.Time) *dispatchTable {
	return &dispatchTable{now: now, entries: make(map[dispatchKey]*dispatch)}
}

// begin returns the entry of a dispatch and whether the caller is to run it.
func (t *dispatchTable) begin(key dispatchKey) (*dispatch, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d, ok := t.entries[key]; ok {
		return d, false
	}
	d := &dispatch{done: make(chan struct{}), withdraw: func() {}}
	t.entries[key] = d
	return d, true
}

func (t *dispatchTable) length() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// cancel withdraws a queued dispatch and returns the task of a running one.
func (t *dispatchTable) cancel(key dispatchKey) *rpc.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.entries[key]
	if d == nil || d.fenced {
		return nil
	}
	if d.member == nil {
		d.withdraw()
	}
	return d.member
}

// queued notes how to withdraw a dispatch.
func (t *dispatchTable) queued(d *dispatch, withdraw context.CancelFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d.withdraw = withdraw
}

// started notes the task of a dispatch.
func (t *dispatchTable) started(d *dispatch, member *rpc.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d.member = member
}

func (t *dispatchTable) finish(d *dispatch, reply *rpc.SubmitReply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d.reply = reply
	d.expires = t.now().Add(dispatchKeep)
	close(d.done)
}

// fence returns the entry of a dispatch. If there is none, it makes one that
// rejects the dispatch for as long as its record is kept.
func (t *dispatchTable) fence(key dispatchKey, keep time.Duration) *dispatch {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d, ok := t.entries[key]; ok {
		return d
	}
	d := &dispatch{done: make(chan struct{}), fenced: true, expires: t.now().Add(keep)}
	d.reply = refusedReply(key.id)
	close(d.done)
	t.entries[key] = d
	return d
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
	d, first := h.dispatches.begin(key)
	if first {
		go func() { h.dispatches.finish(d, h.runDispatch(d, req)) }()
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
	job, problem := h.runner.job(req.Request)
	if problem != nil {
		return refusedReply(req.Request.Id)
	}
	if limit := time.Now().Add(dispatchQueue); job.Deadline.After(limit) {
		job.Deadline = limit
	}
	h.cancels.begin(req.Request.Id)
	defer h.cancels.end(req.Request.Id)
	ctx, cancel := context.WithCancel(h.life)
	defer cancel()
	h.dispatches.queued(d, cancel)
	reserve := func(ctx context.Context, _ string, members []*rpc.Member) error {
		h.dispatches.started(d, members[0])
		return ctx.Err()
	}
	res, _, err := h.runner.runLocal(ctx, req.Request, job, req.Attempt, reserve, nil)
	if err != nil {
		return refusedReply(req.Request.Id)
	}
	return toReply(req.Request.Id, res)
}

// cancelDispatch withdraws or stops a dispatch. Its outcome comes with the
// reply to the dispatch.
func (h *Host) cancelDispatch(ctx context.Context, id string, attempt uint32) {
	h.cancels.cancel(id)
	m := h.dispatches.cancel(dispatchKey{id, attempt})
	if m == nil {
		return
	}
	if _, err := h.holding.Stop(ctx, m.Worker, worker.TaskID(m.Task)); err != nil {
		h.log.Info("task of a cancelled request was not stopped", "task", m.Task, "worker", m.Worker, "error", err.Error())
	}
}

// resolveDispatch tells what became of a dispatch and fences it if it has not
// arrived.
func (h *Host) resolveDispatch(id string, attempt uint32) *rpc.SubmitReply {
	keep := time.Duration(h.settings.Limits.RecordRetentionSeconds) * time.Second
	d := h.dispatches.fence(dispatchKey{id, attempt}, keep)
	select {
	case <-d.done:
		return d.reply
	default:
		return &rpc.SubmitReply{Id: id, Outcome: string(api.Unknown), Reason: string(api.ReasonPending)}
	}
}
