package entryhost

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/request"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
	"github.com/laburnumpass/laburnumpass/internal/schedule"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

const (
	// maxPlacements bounds the placements of one attempt when workers refuse the
	// task or are lost before it begins.
	maxPlacements = 4
	// placementRetryDelay is the pause after the first of them; it doubles.
	placementRetryDelay = 5 * time.Millisecond
	// queueReplyMargin is kept free of a caller's deadline when a request is queued,
	// so that the refusal of one that did not start arrives in time: 23 ms for
	// twice the 8 ms between regions and the 1 ms to the caller and for
	// answerReplyMargin, and the rest for busy hosts. It takes at most a quarter of a
	// short deadline.
	queueReplyMargin = 100 * time.Millisecond
	// taskNumbersPerAttempt separates the task numbers of two attempts.
	taskNumbersPerAttempt = 8
)

// errMovedToPeer cancels the wait for a local placement when a peer has room.
var errMovedToPeer = errors.New("the request moves to another entry host")

// errHandover cancels the wait for a local placement when this host leaves.
var errHandover = errors.New("the entry host hands its queue over")

// runner places a request and runs it, on the workers that this host holds or
// through another holder.
type runner struct {
	host *Host
	// placingCtx ends when this host stops placing.
	placingCtx  context.Context
	stopPlacing context.CancelCauseFunc
}

func newRunner(h *Host) *runner {
	ctx, stop := context.WithCancelCause(context.Background())
	return &runner{host: h, placingCtx: ctx, stopPlacing: stop}
}

// Run implements request.Runner.
func (r *runner) Run(ctx context.Context, req *rpc.SubmitRequest, attempt uint32, reserve request.ReserveFunc) request.Result {
	r.host.cancels.begin(req.Id)
	defer r.host.cancels.end(req.Id)
	if req.Detach {
		return r.runDetached(ctx, req, attempt, reserve)
	}
	return r.runOnce(ctx, req, attempt, reserve)
}

// runOnce queues, places and runs one attempt.
func (r *runner) runOnce(ctx context.Context, req *rpc.SubmitRequest, attempt uint32, reserve request.ReserveFunc) request.Result {
	job, rejection := r.newJob(req)
	if rejection != nil {
		return *rejection
	}
	if job.Members > 1 {
		return r.runGang(ctx, req, job, attempt, reserve)
	}
	profile := r.profile(req.Service)
	peer, found := r.fasterPeer(req, profile)
	for ctx.Err() == nil && !r.host.cancels.has(req.Id) {
		if r.placingCtx.Err() != nil {
			return r.handoverResult()
		}
		if found && time.Now().Before(job.Deadline) {
			res, refused := r.runRemote(ctx, peer, req, job.Deadline, attempt, reserve)
			if !refused {
				return res
			}
		}
		res, moveTo, err := r.runLocal(ctx, req, job, attempt, reserve, &profile)
		switch {
		case errors.Is(err, errHandover):
			continue
		case moveTo != "":
			peer, found = moveTo, true
		case rejectedByQueue(res) && time.Now().Before(job.Deadline):
			// What is full here may have room elsewhere.
			if peer, found = r.peerWithShorterWait(req, profile, waitUnavailable); !found {
				return res
			}
		default:
			return res
		}
	}
	return notRun(api.ReasonCancelled, 0)
}

// withRemainingTime returns req with the time that remains until deadline, so that another
// host does not keep it in its queue for longer. A detached request has no
// caller that waits.
func withRemainingTime(req *rpc.SubmitRequest, deadline time.Time) *rpc.SubmitRequest {
	if req.Detach {
		return req
	}
	req = proto.CloneOf(req)
	req.DeadlineMs = uint32(max(1, time.Until(deadline).Milliseconds()))
	return req
}

// rejectedByQueue reports whether the local queue refused a request for its length.
func rejectedByQueue(res request.Result) bool {
	return res.Outcome == api.NotRun && (res.Reason == api.ReasonQueueFull || res.Reason == api.ReasonDeadline)
}

// handoverResult ends a queued request on a host that leaves. The router that waits
// for it submits it to the next record keeper; a detached request is adopted by
// the next keeper, which has stored it.
func (r *runner) handoverResult() request.Result {
	return notRun(api.ReasonNotReady, routeRetryDelay)
}

// runWithoutRecord runs an idempotent request whose home cannot be reached.
func (r *runner) runWithoutRecord(ctx context.Context, req *rpc.SubmitRequest) *rpc.SubmitReply {
	res := r.Run(ctx, req, uint32(time.Now().Unix()), func(context.Context, string, []*rpc.Member) error { return nil })
	return toReply(req.Id, res)
}

// newJob turns a request into a job for the scheduler.
func (r *runner) newJob(req *rpc.SubmitRequest) (schedule.Job, *request.Result) {
	configuration, ok := r.host.config.Current()
	if !ok {
		res := notRun(api.ReasonNotReady, routeRetryDelay)
		return schedule.Job{}, &res
	}
	service, ok := configuration.Service(req.Service)
	if !ok {
		res := notRun(api.ReasonInvalid, 0)
		res.Detail = fmt.Sprintf("service: %q is not configured", req.Service)
		return schedule.Job{}, &res
	}
	job := schedule.Job{
		ID:        req.Id,
		Team:      req.Team,
		Service:   req.Service,
		Resources: worker.Resources{MilliCPU: req.MilliCpu, MemoryMiB: req.MemoryMib, Accelerators: req.Accelerators},
		Members:   int(max(1, req.Members)),
		RunTime:   time.Duration(req.RunTimeMs) * time.Millisecond,
	}
	if job.Resources == (worker.Resources{}) {
		job.Resources = service.Resources
	}
	if job.RunTime == 0 {
		job.RunTime = time.Duration(service.RunTimeMS) * time.Millisecond
	}
	wait := time.Duration(req.DeadlineMs) * time.Millisecond
	wait -= min(queueReplyMargin, wait/4)
	if req.Detach {
		if profile, ok := configuration.Profile(service.Profile); ok {
			wait = time.Duration(profile.Queue.MaxWaitMS) * time.Millisecond
		}
	}
	job.Deadline = time.Now().Add(wait)
	return job, nil
}

func (r *runner) profile(service string) contract.Profile {
	configuration, ok := r.host.config.Current()
	if !ok {
		return contract.Profile{}
	}
	s, _ := configuration.Service(service)
	p, _ := configuration.Profile(s.Profile)
	return p
}

// fasterPeer returns a peer at which the request starts sooner than here.
func (r *runner) fasterPeer(req *rpc.SubmitRequest, profile contract.Profile) (string, bool) {
	wait := r.host.localWait(req.Service)
	if wait == 0 {
		return "", false
	}
	return r.peerWithShorterWait(req, profile, wait)
}

func (r *runner) peerWithShorterWait(req *rpc.SubmitRequest, profile contract.Profile, wait time.Duration) (string, bool) {
	return r.host.loads.choose(req.Service, wait, profile.Placement.LocalOnly, r.host.membership.Reachable)
}

// runLocal queues the job here and runs it on a worker that this host holds.
// With a profile, the job may move to a peer that has got room while it is
// queued; moveTo then names the peer. The error is errHandover if this host
// stopped placing before the job began.
func (r *runner) runLocal(ctx context.Context, req *rpc.SubmitRequest, job schedule.Job, attempt uint32, reserve request.ReserveFunc, profile *contract.Profile) (res request.Result, moveTo string, err error) {
	for try := range uint32(maxPlacements) {
		job.Attempt = taskNumber(attempt, try)
		placeCtx, cancel := r.placementContext(ctx, req.Id)
		search := r.startPeerSearch(req, profile, cancel)
		placement, err := r.host.scheduler.Place(placeCtx, job)
		cancel(nil)
		moveTo := search.stop()
		switch {
		case err != nil && moveTo != "":
			return request.Result{}, moveTo, nil
		case err != nil && r.placingCtx.Err() != nil && ctx.Err() == nil:
			return request.Result{}, "", errHandover
		case err != nil:
			return fromScheduleError(err), "", nil
		}
		res, retry := r.runPlaced(ctx, req, job, placement.Members[0].Worker, reserve,
			func(result schedule.TaskResult) { placement.Release(0, result) })
		if !retry {
			return res, "", nil
		}
		if r.host.cancels.has(req.Id) {
			return notRun(api.ReasonCancelled, 0), "", nil
		}
		// The ledger follows the loss of a worker within milliseconds.
		pause(ctx, placementRetryDelay<<try)
	}
	if r.placingCtx.Err() != nil && ctx.Err() == nil {
		// The workers refused the tries because this host releases them.
		return request.Result{}, "", errHandover
	}
	return notRun(api.ReasonWorkerFailed, routeRetryDelay), "", nil
}

const (
	// peerSearchInterval is how long a request is queued before another host is
	// considered again, less than the 270 ms between two load reports of the
	// failure domain. The interval doubles up to peerSearchIntervalMax, so that a long
	// queue costs little.
	peerSearchInterval    = 100 * time.Millisecond
	peerSearchIntervalMax = 1600 * time.Millisecond
)

// peerSearch looks for another host while a request is queued here.
type peerSearch struct {
	timer *time.Timer

	mu      sync.Mutex
	stopped bool
	peer    string
}

// startPeerSearch starts to look for a peer with room. When one is found, it calls
// cancel to take the request out of the queue here. Without a profile it does
// nothing.
func (r *runner) startPeerSearch(req *rpc.SubmitRequest, profile *contract.Profile, cancel context.CancelCauseFunc) *peerSearch {
	search := &peerSearch{}
	if profile == nil {
		return search
	}
	interval := peerSearchInterval
	search.timer = time.AfterFunc(interval, func() {
		search.mu.Lock()
		defer search.mu.Unlock()
		if search.stopped {
			return
		}
		if peer, ok := r.fasterPeer(req, *profile); ok {
			search.peer = peer
			cancel(errMovedToPeer)
			return
		}
		interval = min(2*interval, peerSearchIntervalMax)
		search.timer.Reset(interval)
	})
	return search
}

// stop ends the search and returns the peer that was found, if any.
func (s *peerSearch) stop() string {
	if s.timer == nil {
		return ""
	}
	s.timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	return s.peer
}

// placementContext returns a context that also ends when the request is cancelled or this
// host stops placing.
func (r *runner) placementContext(ctx context.Context, id string) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	handover := context.AfterFunc(r.placingCtx, func() { cancel(errHandover) })
	cancelled := context.AfterFunc(r.host.cancels.of(id), func() { cancel(errCancelled) })
	return ctx, func(cause error) { handover(); cancelled(); cancel(cause) }
}

// runPlaced runs one member on a worker. It returns again if the member has
// certainly not run and another worker may be tried.
func (r *runner) runPlaced(ctx context.Context, req *rpc.SubmitRequest, job schedule.Job, workerName string, reserve request.ReserveFunc, release func(schedule.TaskResult)) (res request.Result, retry bool) {
	lease, ok := r.host.holding.Held(workerName)
	if !ok {
		release(schedule.TaskResult{})
		return request.Result{}, true
	}
	task := job.TaskID(0)
	member := &rpc.Member{Task: string(task), Worker: workerName, Incarnation: lease.Incarnation, Epoch: lease.Epoch}
	if err := reserve(ctx, r.host.self.Name, []*rpc.Member{member}); err != nil {
		release(schedule.TaskResult{})
		r.host.log.V(1).Info("record was not replicated; request not dispatched", "request", req.Id, "error", err.Error())
		return notRun(api.ReasonNotReady, routeRetryDelay), false
	}
	// A cancellation that came before this saw no task of this placement; a later
	// one stops the task or fences it.
	if r.host.cancels.has(req.Id) {
		release(schedule.TaskResult{})
		return notRun(api.ReasonCancelled, 0), false
	}
	r.host.event("dispatched", req.Id, string(task), workerName)
	began := time.Now()
	answer, state := r.host.tasks.run(ctx, workerName, lease, worker.StartRequest{
		Task:      task,
		Team:      req.Team,
		Service:   req.Service,
		Resources: job.Resources,
		Body:      req.Body,
	}, func(ran, failed bool) {
		release(schedule.TaskResult{Ran: ran, Failed: failed, RunTime: time.Since(began)})
	})
	r.host.event("task_"+string(state), req.Id, string(task), workerName)
	switch state {
	case worker.TaskEnded:
		return answered(workerName, answer), false
	case worker.TaskFenced:
		return request.Result{}, true
	default:
		return fromTask(workerName, worker.Task{ID: task, State: state, Answer: answer}), false
	}
}

// runRemote asks another holder to place and run the request. It returns
// refused if that host has certainly not run it and will not.
func (r *runner) runRemote(ctx context.Context, peer string, req *rpc.SubmitRequest, deadline time.Time, attempt uint32, reserve request.ReserveFunc) (res request.Result, refused bool) {
	client, ok := r.host.links.Client(peer)
	if !ok {
		r.host.loads.spent(peer, req.Service)
		return request.Result{}, true
	}
	if err := reserve(ctx, peer, nil); err != nil {
		return notRun(api.ReasonNotReady, routeRetryDelay), false
	}
	switch {
	case r.host.cancels.has(req.Id):
		return notRun(api.ReasonCancelled, 0), false
	case !time.Now().Before(deadline):
		// The replication took the rest of the time.
		return notRun(api.ReasonDeadline, 0), false
	}
	r.host.event("forwarded", req.Id, "", peer)
	r.host.telemetry.count("requests.forwarded")
	sent := time.Now()
	callCtx, cancel := r.host.peers.during(ctx, peer)
	defer cancel()
	reply, err := client.Dispatch(callCtx, &rpc.DispatchRequest{Request: withRemainingTime(req, deadline), Keeper: r.host.self.Name, Attempt: attempt})
	switch {
	case err == nil && reply.Reply.Outcome == string(api.NotRun):
		r.host.telemetry.count("requests.forward_refused")
		r.host.loads.spent(peer, req.Service)
		return request.Result{}, true
	case err == nil:
		return fromReply(reply.Reply), false
	case notSent(err):
		r.host.telemetry.count("requests.forward_refused")
		r.host.loads.spent(peer, req.Service)
		return request.Result{}, true
	}
	res = r.host.resolver.awaitHolder(ctx, peer, req.Id, attempt, sent)
	return res, res.Outcome == api.NotRun
}

// taskNumber numbers the placements of all attempts. Attempts are counted in
// 32 bits and may be high, so the product needs more.
func taskNumber(attempt, try uint32) int {
	return int(attempt)*taskNumbersPerAttempt + int(try)
}

// taskID names one attempt to run one member of a request.
func taskID(id string, member, number int) worker.TaskID {
	return worker.TaskID(fmt.Sprintf("%s#%d.%d", id, member, number))
}
