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
	// maxPlacements limits the placements per attempt. A placement is repeated when
	// the worker refuses the task or is lost before the task begins.
	maxPlacements = 4
	// placementRetryDelay is the pause after the first placement; it doubles.
	placementRetryDelay = 5 * time.Millisecond
	// queueReplyMargin is subtracted from a caller's deadline to get the deadline
	// for leaving the queue, so that the refusal of a request that did not start
	// arrives in time. 23 ms of it are for the network, 8 ms between regions and 1 ms
	// to the caller, both ways, and for answerReplyMargin; the rest is for busy
	// hosts. For a short deadline the margin is at most a quarter of it.
	queueReplyMargin = 100 * time.Millisecond
	// taskNumbersPerAttempt is the size of the range of task numbers reserved for
	// each attempt, so that no two attempts share a number.
	taskNumbersPerAttempt = 8
)

// errMovedToPeer cancels the wait for a local placement when a peer can start the
// request sooner.
var errMovedToPeer = errors.New("the request moves to another entry host")

// errHandover cancels the wait for a local placement when this host drains.
var errHandover = errors.New("the entry host hands its queue over")

// runner places and runs requests, on workers that this host holds or via a peer.
type runner struct {
	host *Host
	// placingCtx is cancelled when this host stops placing requests.
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

// runOnce queues, places and runs one attempt, here or on a peer.
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
	for ctx.Err() == nil && !r.host.cancels.isCancelled(req.Id) {
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
			// A peer may have free slots although the queue here is full.
			if peer, found = r.peerWithShorterWait(req, profile, noWorkerWait); !found {
				return res
			}
		default:
			return res
		}
	}
	return notRun(api.ReasonCancelled, 0)
}

// withRemainingTime returns a copy of req whose deadline is the time that remains
// until deadline, so that another host does not queue it for longer. A detached
// request is returned unchanged, since no caller waits for it.
func withRemainingTime(req *rpc.SubmitRequest, deadline time.Time) *rpc.SubmitRequest {
	if req.Detach {
		return req
	}
	req = proto.CloneOf(req)
	req.DeadlineMs = uint32(max(1, time.Until(deadline).Milliseconds()))
	return req
}

// rejectedByQueue reports whether a request did not start because the local queue
// was full or too long for its deadline.
func rejectedByQueue(res request.Result) bool {
	return res.Outcome == api.NotRun && (res.Reason == api.ReasonQueueFull || res.Reason == api.ReasonDeadline)
}

// handoverResult is the result of a request that is still queued when this host
// drains. The router that waits for it submits it to the next record keeper. A
// detached request is adopted by the next keeper, which has stored it.
func (r *runner) handoverResult() request.Result {
	return notRun(api.ReasonNotReady, routeRetryDelay)
}

// runWithoutRecord runs an idempotent request whose home failure domain is
// unreachable, without keeping a record. No record counts the attempts, so the attempt
// number is the current time: a worker refuses a task whose number was used before.
func (r *runner) runWithoutRecord(ctx context.Context, req *rpc.SubmitRequest) *rpc.SubmitReply {
	res := r.Run(ctx, req, uint32(time.Now().Unix()), func(context.Context, string, []*rpc.Member) error { return nil })
	return toReply(req.Id, res)
}

// newJob converts a request to a scheduler job. It returns a result instead if the
// request cannot be run: without a configuration or for an unknown service.
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

// fasterPeer returns a peer that is expected to start the request sooner than
// this host, if there is one.
func (r *runner) fasterPeer(req *rpc.SubmitRequest, profile contract.Profile) (string, bool) {
	wait := r.host.localWaitEstimate(req.Service)
	if wait == 0 {
		return "", false
	}
	return r.peerWithShorterWait(req, profile, wait)
}

// peerWithShorterWait returns a peer whose estimated wait, including the cost of
// forwarding, is below wait.
func (r *runner) peerWithShorterWait(req *rpc.SubmitRequest, profile contract.Profile, wait time.Duration) (string, bool) {
	return r.host.loads.choosePeer(req.Service, wait, profile.Placement.LocalOnly, r.host.membership.Reachable)
}

// runLocal queues the job here and runs it on a worker that this host holds. With
// a profile it also looks for a peer that can start the job sooner while the job
// is queued; if there is one, the job leaves the queue and moveTo names the peer.
// The error is errHandover if this host stopped placing before the job began.
func (r *runner) runLocal(ctx context.Context, req *rpc.SubmitRequest, job schedule.Job, attempt uint32, reserve request.ReserveFunc, profile *contract.Profile) (res request.Result, moveTo string, err error) {
	for try := range uint32(maxPlacements) {
		job.TaskNumber = taskNumber(attempt, try)
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
		if r.host.cancels.isCancelled(req.Id) {
			return notRun(api.ReasonCancelled, 0), "", nil
		}
		// The scheduler learns of the loss of a worker within milliseconds.
		pause(ctx, placementRetryDelay<<try)
	}
	if r.placingCtx.Err() != nil && ctx.Err() == nil {
		// The placements failed because this host is releasing its workers.
		return request.Result{}, "", errHandover
	}
	return notRun(api.ReasonWorkerFailed, routeRetryDelay), "", nil
}

const (
	// peerSearchInterval is the time after which a queued request is compared with
	// its peers' load again, less than the 270 ms between two load reports of the
	// failure domain. It doubles up to peerSearchIntervalMax, so that a long queue
	// costs little.
	peerSearchInterval    = 100 * time.Millisecond
	peerSearchIntervalMax = 1600 * time.Millisecond
)

// peerSearch looks for a faster peer while a request is queued here.
type peerSearch struct {
	timer *time.Timer

	mu      sync.Mutex
	stopped bool
	peer    string
}

// startPeerSearch starts the search for a faster peer. When it finds one, it calls
// cancel to remove the request from the local queue. Without a profile it does
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

// stop ends the search and returns the peer that was found, or an empty string.
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

// placementContext returns a context that is also cancelled when the request is
// cancelled or this host stops placing.
func (r *runner) placementContext(ctx context.Context, id string) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	unwatchHandover := context.AfterFunc(r.placingCtx, func() { cancel(errHandover) })
	unwatchCancellation := context.AfterFunc(r.host.cancels.contextFor(id), func() { cancel(errCancelled) })
	return ctx, func(cause error) { unwatchHandover(); unwatchCancellation(); cancel(cause) }
}

// runPlaced runs the only member of a job on the worker where it was placed. It
// returns retry if the member has certainly not run and may be placed again.
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
		r.host.log.V(1).Info("request was not dispatched because its record could not be replicated", "request", req.Id, "error", err.Error())
		return notRun(api.ReasonNotReady, routeRetryDelay), false
	}
	// A cancellation that arrived before reserve returned could not see the task of
	// this placement. A later one stops or fences the task.
	if r.host.cancels.isCancelled(req.Id) {
		release(schedule.TaskResult{})
		return notRun(api.ReasonCancelled, 0), false
	}
	r.host.recordEvent("dispatched", req.Id, string(task), workerName)
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
	r.host.recordEvent("task_"+string(state), req.Id, string(task), workerName)
	switch state {
	case worker.TaskEnded:
		return answered(workerName, answer), false
	case worker.TaskFenced:
		return request.Result{}, true
	default:
		return fromTask(workerName, worker.Task{ID: task, State: state, Answer: answer}), false
	}
}

// runRemote asks a peer to place and run the request on one of the workers that it
// holds. It returns refused if the peer has certainly not run it and never will.
func (r *runner) runRemote(ctx context.Context, peer string, req *rpc.SubmitRequest, deadline time.Time, attempt uint32, reserve request.ReserveFunc) (res request.Result, refused bool) {
	client, ok := r.host.links.Client(peer)
	if !ok {
		r.host.loads.exhaustBudget(peer, req.Service)
		return request.Result{}, true
	}
	if err := reserve(ctx, peer, nil); err != nil {
		return notRun(api.ReasonNotReady, routeRetryDelay), false
	}
	switch {
	case r.host.cancels.isCancelled(req.Id):
		return notRun(api.ReasonCancelled, 0), false
	case !time.Now().Before(deadline):
		// The deadline passed while the record was replicated.
		return notRun(api.ReasonDeadline, 0), false
	}
	r.host.recordEvent("forwarded", req.Id, "", peer)
	r.host.telemetry.count("requests.forwarded")
	sent := time.Now()
	callCtx, cancel := r.host.peers.contextWhileServing(ctx, peer)
	defer cancel()
	reply, err := client.Dispatch(callCtx, &rpc.DispatchRequest{Request: withRemainingTime(req, deadline), Keeper: r.host.self.Name, Attempt: attempt})
	switch {
	case err == nil && reply.Reply.GetOutcome() == string(api.NotRun):
		r.host.telemetry.count("requests.forward_refused")
		r.host.loads.exhaustBudget(peer, req.Service)
		return request.Result{}, true
	case err == nil && reply.Reply != nil:
		return fromReply(reply.Reply), false
	case failedBeforeSend(err):
		r.host.telemetry.count("requests.forward_refused")
		r.host.loads.exhaustBudget(peer, req.Service)
		return request.Result{}, true
	}
	res = r.host.resolver.awaitHolder(ctx, peer, req.Id, attempt, sent)
	return res, res.Outcome == api.NotRun
}

// taskNumber numbers a placement so that no two attempts share a number. Attempt
// numbers may use all of their 32 bits, so the product needs a wider type.
func taskNumber(attempt, try uint32) int {
	return int(attempt)*taskNumbersPerAttempt + int(try)
}

// taskID identifies the task that runs one member of a request in one placement.
func taskID(id string, member, number int) worker.TaskID {
	return worker.TaskID(fmt.Sprintf("%s#%d.%d", id, member, number))
}
