package entryhost

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/platform"
	"github.com/laburnumpass/laburnumpass/internal/request"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// resolver determines the outcome of a request that was dispatched by a holder or
// record keeper that is gone. To resolve a task means to query its worker and, if the
// task has not begun, to fence it there, so that the outcome is final: a start that
// arrives later is rejected.
type resolver struct {
	host *Host
}

// Resolve implements request.Resolver. If the request has not run, its dispatch by a
// former record keeper was refused or fenced. That keeper would have placed it again,
// so the result is ReasonNotReady: the router then resubmits the request instead of
// returning the refusal to the caller.
func (r *resolver) Resolve(ctx context.Context, rec *rpc.Record) request.Result {
	res := r.resolveOutcome(ctx, rec)
	if res.Outcome == api.NotRun {
		return notRun(api.ReasonNotReady, routeRetryDelay)
	}
	return res
}

// resolveOutcome resolves the tasks that the record names, or asks the holder that it
// names. If it names no members and the holder cannot be asked, it resolves the
// request on all workers.
func (r *resolver) resolveOutcome(ctx context.Context, rec *rpc.Record) request.Result {
	switch {
	case len(rec.Members) == 1:
		return r.resolveMember(ctx, rec.Members[0])
	case len(rec.Members) > 1:
		return r.resolveGang(ctx, rec)
	case rec.Holder != "" && r.host.membership.Reachable(rec.Holder):
		return r.awaitHolder(ctx, rec.Holder, rec.Id, rec.Attempt, time.UnixMilli(rec.UpdatedUnixMs))
	default:
		return r.resolveOnAllWorkers(ctx, rec)
	}
}

// resolveMember resolves a dispatched task. The outcome is pending while the task runs.
// It retries until the worker replies or ctx ends.
func (r *resolver) resolveMember(ctx context.Context, m *rpc.Member) request.Result {
	wait := statusPollInterval
	for {
		task, err := r.queryOrFence(ctx, m)
		switch {
		case err == nil && task.State == worker.TaskRunning:
			return unknown(api.ReasonPending)
		case err == nil:
			return fromTask(m.Worker, task)
		case !pause(ctx, wait):
			return unknown(api.ReasonNoReply)
		}
		wait = min(2*wait, statusPollIntervalMax)
	}
}

// awaitMember resolves a dispatched task, and polls its worker until the task has ended
// or ctx ends.
func (r *resolver) awaitMember(ctx context.Context, m *rpc.Member) request.Result {
	wait := statusPollInterval
	for {
		res := r.resolveMember(ctx, m)
		if res.Outcome != api.Unknown || res.Reason != api.ReasonPending || !pause(ctx, wait) {
			return res
		}
		wait = min(2*wait, statusPollIntervalMax)
	}
}

// queryOrFence makes one status call to a worker. The call fences the task if it has
// not begun.
func (r *resolver) queryOrFence(ctx context.Context, m *rpc.Member) (worker.Task, error) {
	ctx, cancel := context.WithTimeout(ctx, statusCallTimeout)
	defer cancel()
	return r.host.holding.Status(ctx, m.Worker, worker.StatusRequest{
		Task: worker.TaskID(m.Task), Incarnation: m.Incarnation, Fence: true,
	})
}

// resolveGang resolves the members of a gang job. The job has not run only if every
// member is fenced. Its outcome is unknown if that of any member is.
func (r *resolver) resolveGang(ctx context.Context, rec *rpc.Record) request.Result {
	results := make([]request.Result, len(rec.Members))
	notRunCount := 0
	for i, m := range rec.Members {
		results[i] = r.resolveMember(ctx, m)
		if results[i].Outcome == api.NotRun {
			notRunCount++
		}
		if results[i].Outcome == api.Unknown {
			return results[i]
		}
	}
	if notRunCount == len(results) {
		return notRun(api.ReasonWorkerFailed, routeRetryDelay)
	}
	return combineMemberResults(results)
}

// awaitHolder polls a holder that did not reply to a dispatch until it reports the
// outcome. The holder may be this host, if the record keeper that sent the dispatch
// is gone. The holder fences a dispatch that it has not received. If the holder is
// dead, has not replied for resolveTimeout, or may have received the dispatch without
// knowing it any more, for example because it has restarted, the request is resolved
// on all workers instead.
func (r *resolver) awaitHolder(ctx context.Context, peer, id string, attempt uint32, sent time.Time) request.Result {
	wait := statusPollInterval
	deadline := time.Now().Add(resolveTimeout)
	reason := api.ReasonNoReply
	for time.Now().Before(deadline) {
		if r.host.inOwnFailureDomain(peer) && !r.host.membership.Reachable(peer) {
			break
		}
		reply, err := r.queryHolder(ctx, peer, &rpc.ResolveDispatchRequest{Id: id, Attempt: attempt})
		if err == nil && reply.Reason == string(api.ReasonBeforeHorizon) {
			break
		}
		if err == nil && reply.Reason != string(api.ReasonPending) {
			return fromReply(reply)
		}
		reason = api.ReasonNoReply
		if err == nil {
			deadline, reason = time.Now().Add(resolveTimeout), api.ReasonPending
		}
		if !pause(ctx, wait) {
			return unknown(reason)
		}
		wait = min(2*wait, statusPollIntervalMax)
	}
	return r.resolveOnAllWorkers(ctx, &rpc.Record{Id: id, Attempt: attempt, Holder: peer, UpdatedUnixMs: sent.UnixMilli()})
}

// queryHolder asks a holder, which may be this host, about a dispatch.
func (r *resolver) queryHolder(ctx context.Context, peer string, req *rpc.ResolveDispatchRequest) (*rpc.SubmitReply, error) {
	if peer == r.host.self.Name {
		return r.host.resolveDispatch(req.Id, req.Attempt), nil
	}
	client, ok := r.host.links.Client(peer)
	if !ok {
		return nil, errors.Errorf("no link to entry host %s", peer)
	}
	return client.ResolveDispatch(ctx, req)
}

// resolveOnAllWorkers resolves, on every worker of the holder's failure domain, each
// task that the attempt may have started. It is used only when the holder, which chose
// the worker, cannot be asked or no longer knows the dispatch. The request has not run
// only if every worker has fenced every task and none has restarted or left the host
// list since the dispatch: a restarted worker no longer knows which tasks it has run.
func (r *resolver) resolveOnAllWorkers(ctx context.Context, rec *rpc.Record) request.Result {
	holder, ok := r.host.topology.Host(rec.Holder)
	if !ok {
		holder = r.host.self
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentQueries)
	var incomplete atomic.Bool
	incomplete.Store(!r.host.incarnations.listsAllSince(holder.FailureDomain, time.UnixMilli(rec.UpdatedUnixMs)))
	var found atomic.Pointer[rpc.Member]
	for _, w := range r.host.holding.Workers() {
		if w.Info.FailureDomain != holder.FailureDomain {
			continue
		}
		group.Go(func() error {
			member, complete := r.resolvePlacements(ctx, rec, w.Info)
			if member != nil {
				found.Store(member)
			}
			if !complete {
				incomplete.Store(true)
			}
			return nil
		})
	}
	_ = group.Wait()
	switch member := found.Load(); {
	case member != nil:
		return r.awaitMember(ctx, member)
	case incomplete.Load():
		return unknown(api.ReasonNoReply)
	default:
		return notRun(api.ReasonWorkerFailed, routeRetryDelay)
	}
}

const (
	// maxConcurrentQueries limits how many workers are queried concurrently about
	// one request.
	maxConcurrentQueries = 16
	// maxPlacementQueries limits the status calls about one placement to a worker
	// that does not reply. With the pauses between them they take 140 ms if the
	// calls fail at once.
	maxPlacementQueries = 4
)

// resolvePlacements resolves, on one worker, the task of each placement of an attempt.
// It returns the task that has begun there, or nil, and whether all tasks that were
// queried before it have certainly not run and never will. The latter is false if the
// worker may have restarted since the dispatch or does not reply.
func (r *resolver) resolvePlacements(ctx context.Context, rec *rpc.Record, info worker.Info) (*rpc.Member, bool) {
	complete := r.host.incarnations.knownBefore(info, time.UnixMilli(rec.UpdatedUnixMs))
	for try := range uint32(maxPlacements) {
		m := &rpc.Member{
			Task:        string(taskID(rec.Id, 0, taskNumber(rec.Attempt, try))),
			Worker:      info.Name,
			Incarnation: info.Incarnation,
		}
		task, err := r.queryPlacement(ctx, m)
		switch {
		case err != nil:
			return nil, false
		case task.State == worker.TaskUnknown:
			complete = false
		case task.State != worker.TaskFenced:
			return m, complete
		}
	}
	return nil, complete
}

// queryPlacement calls queryOrFence until the worker replies, up to
// maxPlacementQueries times.
func (r *resolver) queryPlacement(ctx context.Context, m *rpc.Member) (worker.Task, error) {
	wait := statusPollInterval
	for n := 1; ; n++ {
		task, err := r.queryOrFence(ctx, m)
		if err == nil || n == maxPlacementQueries || !pause(ctx, wait) {
			return task, err
		}
		wait *= 2
	}
}

// incarnationTable records when the current incarnation of each worker was first
// seen in the host list, and when workers left the list.
type incarnationTable struct {
	mu        sync.Mutex
	byWorker  map[string]incarnationSeen
	lastHosts []platform.Host
	// firstListAt is when the first list was read.
	firstListAt time.Time
	// lastRemovedAt is when a worker of each failure domain was last found missing
	// in the list.
	lastRemovedAt map[string]time.Time
}

// incarnationSeen is an incarnation of a worker and when it was first seen.
type incarnationSeen struct {
	incarnation   string
	failureDomain string
	firstSeenAt   time.Time
}

// update records the incarnations in a host list.
func (s *incarnationTable) update(hosts []platform.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.firstListAt.IsZero() {
		s.firstListAt, s.lastRemovedAt = now, make(map[string]time.Time)
	}
	if platform.SameHosts(hosts, s.lastHosts) {
		return
	}
	s.lastHosts = hosts
	old := s.byWorker
	s.byWorker = make(map[string]incarnationSeen, len(hosts))
	for _, h := range hosts {
		seen, ok := old[h.Name]
		if !ok || seen.incarnation != h.Incarnation {
			seen = incarnationSeen{h.Incarnation, h.FailureDomain, now}
		}
		s.byWorker[h.Name] = seen
	}
	for name, seen := range old {
		if _, ok := s.byWorker[name]; !ok {
			s.lastRemovedAt[seen.failureDomain] = now
		}
	}
}

// listsAllSince reports whether the latest list shows every worker of a failure domain
// that may have been listed at t or later, with a margin for the clock skew between
// hosts.
func (s *incarnationTable) listsAllSince(failureDomain string, t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t = t.Add(-request.DefaultMaxHostClockSkew)
	return !s.firstListAt.IsZero() && s.firstListAt.Before(t) && s.lastRemovedAt[failureDomain].Before(t)
}

// knownBefore reports whether a worker's incarnation was first seen before t, with a
// margin for the clock skew between hosts.
func (s *incarnationTable) knownBefore(info worker.Info, t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen, ok := s.byWorker[info.Name]
	return ok && seen.incarnation == info.Incarnation && seen.firstSeenAt.Add(request.DefaultMaxHostClockSkew).Before(t)
}
