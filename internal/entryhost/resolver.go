package entryhost

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/platform"
	"github.com/laburnumpass/laburnumpass/internal/request"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// resolver finds out what became of a request that was dispatched by a holder
// or record keeper that is gone.
type resolver struct {
	host *Host
}

// Resolve implements request.Resolver. A request that was not run was refused
// or fenced on the way from a former record keeper to a worker. That keeper
// would have placed it elsewhere, so the router submits it again instead of
// telling the caller.
func (r *resolver) Resolve(ctx context.Context, rec *rpc.Record) request.Result {
	res := r.find(ctx, rec)
	if res.Outcome == api.NotRun {
		return notRun(api.ReasonNotReady, routeRetry)
	}
	return res
}

// find finds out what became of the request of a record.
func (r *resolver) find(ctx context.Context, rec *rpc.Record) request.Result {
	switch {
	case len(rec.Members) == 1:
		return r.askMember(ctx, rec.Members[0])
	case len(rec.Members) > 1:
		return r.askGang(ctx, rec)
	case rec.Holder != "" && rec.Holder != r.host.self.Name && r.host.membership.Reachable(rec.Holder):
		return r.awaitRemote(ctx, rec.Holder, rec.Id, rec.Attempt, time.UnixMilli(rec.UpdatedUnixMs))
	default:
		return r.askAll(ctx, rec)
	}
}

// askMember asks the worker of a dispatched task. The outcome is pending while
// the task runs. A worker that does not reply is asked again until ctx ends.
func (r *resolver) askMember(ctx context.Context, m *rpc.Member) request.Result {
	wait := statusPoll
	for {
		task, err := r.ask(ctx, m)
		switch {
		case err == nil && task.State == worker.TaskRunning:
			return unknown(api.ReasonPending)
		case err == nil:
			return fromTask(m.Worker, task)
		case !pause(ctx, wait):
			return unknown(api.ReasonNoReply)
		}
		wait = min(2*wait, statusPollMax)
	}
}

// awaitMember asks the worker of a dispatched task until it has ended.
func (r *resolver) awaitMember(ctx context.Context, m *rpc.Member) request.Result {
	wait := statusPoll
	for {
		res := r.askMember(ctx, m)
		if res.Outcome != api.Unknown || res.Reason != api.ReasonPending || !pause(ctx, wait) {
			return res
		}
		wait = min(2*wait, statusPollMax)
	}
}

func (r *resolver) ask(ctx context.Context, m *rpc.Member) (worker.Task, error) {
	ctx, cancel := context.WithTimeout(ctx, statusCall)
	defer cancel()
	return r.host.holding.Status(ctx, m.Worker, worker.StatusRequest{
		Task: worker.TaskID(m.Task), Incarnation: m.Incarnation, Fence: true,
	})
}

// askGang asks about every member. The job has not run only if every member
// is fenced; it is answered only if every member ended.
func (r *resolver) askGang(ctx context.Context, rec *rpc.Record) request.Result {
	results := make([]request.Result, len(rec.Members))
	fenced := 0
	for i, m := range rec.Members {
		results[i] = r.askMember(ctx, m)
		if results[i].Outcome == api.NotRun {
			fenced++
		}
		if results[i].Outcome == api.Unknown {
			return results[i]
		}
	}
	if fenced == len(results) {
		return notRun(api.ReasonWorkerFailed, routeRetry)
	}
	return joinMembers(results)
}

// awaitRemote asks a holder that did not reply to a dispatch. The holder
// fences a dispatch that it has not seen. If it has restarted since, or is
// gone, the workers are asked.
func (r *resolver) awaitRemote(ctx context.Context, peer, id string, attempt uint32, sent time.Time) request.Result {
	wait := statusPoll
	deadline := time.Now().Add(resolveFor)
	reason := api.ReasonNoReply
	for time.Now().Before(deadline) {
		if r.host.inOwnDomain(peer) && !r.host.membership.Reachable(peer) {
			break
		}
		if client, ok := r.host.links.Client(peer); ok {
			reply, err := client.ResolveDispatch(ctx, &rpc.ResolveDispatchRequest{Id: id, Attempt: attempt})
			if err == nil && reply.Reason == string(api.ReasonBeforeHorizon) {
				break
			}
			if err == nil && reply.Reason != string(api.ReasonPending) {
				return fromReply(reply)
			}
			reason = api.ReasonNoReply
			if err == nil {
				deadline, reason = time.Now().Add(resolveFor), api.ReasonPending
			}
		}
		if !pause(ctx, wait) {
			return unknown(reason)
		}
		wait = min(2*wait, statusPollMax)
	}
	return r.askAll(ctx, &rpc.Record{Id: id, Attempt: attempt, Holder: peer, UpdatedUnixMs: sent.UnixMilli()})
}

// askAll asks every worker of the holder's failure domain about each task that
// the attempt may have started. It is used only when the holder that chose the
// worker is gone. The request has not run only if every worker has fenced every
// task and has not restarted since the dispatch, which would have made it
// forget.
func (r *resolver) askAll(ctx context.Context, rec *rpc.Record) request.Result {
	holder, ok := r.host.topology.Host(rec.Holder)
	if !ok {
		holder = r.host.self
	}
	var group errgroup.Group
	group.SetLimit(askLimit)
	var incomplete atomic.Bool
	var found atomic.Pointer[rpc.Member]
	for _, w := range r.host.holding.Workers() {
		if w.Info.FailureDomain != holder.FailureDomain {
			continue
		}
		group.Go(func() error {
			m, complete := r.askTries(ctx, rec, w.Info)
			if m != nil {
				found.Store(m)
			}
			if !complete {
				incomplete.Store(true)
			}
			return nil
		})
	}
	_ = group.Wait()
	switch m := found.Load(); {
	case m != nil:
		return r.awaitMember(ctx, m)
	case incomplete.Load():
		return unknown(api.ReasonNoReply)
	default:
		return notRun(api.ReasonWorkerFailed, routeRetry)
	}
}

// askLimit bounds the workers that are asked at one time about one request.
const askLimit = 16

// askTries asks one worker about each task of an attempt. It returns the task
// that has begun there, and whether the others certainly have not and will not.
func (r *resolver) askTries(ctx context.Context, rec *rpc.Record, info worker.Info) (*rpc.Member, bool) {
	complete := r.host.sightings.before(info, time.UnixMilli(rec.UpdatedUnixMs))
	for try := range uint32(maxTries) {
		m := &rpc.Member{
			Task:        string(taskID(rec.Id, 0, taskNumber(rec.Attempt, try))),
			Worker:      info.Name,
			Incarnation: info.Incarnation,
		}
		task, err := r.ask(ctx, m)
		switch {
		case err != nil || task.State == worker.TaskUnknown:
			complete = false
		case task.State != worker.TaskFenced:
			return m, complete
		}
	}
	return nil, complete
}

// sightings remembers since when each worker's incarnation has been known.
type sightings struct {
	mu    sync.Mutex
	first map[string]sighting
	last  []platform.Host
}

type sighting struct {
	incarnation string
	since       time.Time
}

// note takes in a host list.
func (s *sightings) note(hosts []platform.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if platform.SameHosts(hosts, s.last) {
		return
	}
	s.last = hosts
	old := s.first
	s.first = make(map[string]sighting, len(hosts))
	for _, h := range hosts {
		seen, ok := old[h.Name]
		if !ok || seen.incarnation != h.Incarnation {
			seen = sighting{h.Incarnation, time.Now()}
		}
		s.first[h.Name] = seen
	}
}

// before reports whether a worker's incarnation was known before t.
func (s *sightings) before(info worker.Info, t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen, ok := s.first[info.Name]
	return ok && seen.incarnation == info.Incarnation && seen.since.Add(request.DefaultMaxHostClockSkew).Before(t)
}
