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
	// maxTries bounds the placements of one attempt when workers refuse the
	// task or are lost before it begins.
	maxTries = 4
	// tryPause is the pause after the first of them; it doubles.
	tryPause = 5 * time.Millisecond
	// queueMargin is kept free of a caller's deadline when a request is queued,
	// so that the refusal of one that did not start arrives in time: 23 ms for
	// twice the 8 ms between regions and the 1 ms to the caller and for
	// answerMargin, and the rest for busy hosts. It takes at most a quarter of a
	// short deadline.
	queueMargin = 100 * time.Millisecond
	// triesPerAttempt separates the task numbers of two attempts.
	triesPerAttempt = 8
)

// errMoved cancels the wait for a local placement when a peer has room.
var errMoved = errors.New("the request moves to another entry host")

// errHandover cancels the wait for a local placement when this host leaves.
var errHandover = errors.New("the entry host hands its queue over")

// runner places a request and runs it, on the workers that this host holds or
// through another holder.
type runner struct {
	host *Host
	// handover ends when this host stops placing.
	handover context.Context
	stop     context.CancelCauseFunc
}

func newRunner(h *Host) *runner {
	ctx, stop := context.WithCancelCause(context.Background())
	return &runner{host: h, handover: ctx, stop: stop}
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
	job, problem := r.job(req)
	if problem != nil {
		return *problem
	}
	if job.Members > 1 {
		return r.runGang(ctx, req, job, attempt, reserve)
	}
	profile := r.profile(req.Service)
	peer, found := r.remote(req, profile)
	for ctx.Err() == nil && !r.host.cancels.isCancelled(req.Id) {
		if r.handover.Err() != nil {
			return r.handOver()
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
		case turnedAway(res) && time.Now().Before(job.Deadline):
			// What is full here may have room elsewhere.
			if peer, found = r.elsewhere(req, profile, noWorkerWait); !found {
				return res
			}
		default:
			return res
		}
	}
	return notRun(api.ReasonCancelled, 0)
}

// within returns req with the time that remains until deadline, so that another
// host does not keep it in its queue for longer. A detached request has no
// caller that waits.
func within(req *rpc.SubmitRequest, deadline time.Time) *rpc.SubmitRequest {
	if req.Detach {
		return req
	}
	req = proto.CloneOf(req)
	req.DeadlineMs = uint32(max(1, time.Until(deadline).Milliseconds()))
	return req
}

// turnedAway reports whether the local queue refused a request for its length.
func turnedAway(res request.Result) bool {
	return res.Outcome == api.NotRun && (res.Reason == api.ReasonQueueFull || res.Reason == api.ReasonDeadline)
}

// handOver ends a queued request on a host that leaves. The router that waits
// for it submits it to the next record keeper; a detached request is adopted by
// the next keeper, which has stored it.
func (r *runner) handOver() request.Result {
	return notRun(api.ReasonNotReady, routeRetry)
}

// runWithoutRecord runs an idempotent request whose home cannot be reached.
func (r *runner) runWithoutRecord(ctx context.Context, req *rpc.SubmitRequest) *rpc.SubmitReply {
	res := r.Run(ctx, req, uint32(time.Now().Unix()), func(context.Context, string, []*rpc.Member) error { return nil })
	return toReply(req.Id, res)
}

// job turns a request into a job for the scheduler.
func (r *runner) job(req *rpc.SubmitRequest) (schedule.Job, *request.Result) {
	configuration, ok := r.host.config.Current()
	if !ok {
		res := notRun(api.ReasonNotReady, routeRetry)
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
	wait -= min(queueMargin, wait/4)
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

// remote returns a peer at which the request starts sooner than here.
func (r *runner) remote(req *rpc.SubmitRequest, profile contract.Profile) (string, bool) {
	wait := r.host.localWaitEstimate(req.Service)
	if wait == 0 {
		return "", false
	}
	return r.elsewhere(req, profile, wait)
}

func (r *runner) elsewhere(req *rpc.SubmitRequest, profile contract.Profile, wait time.Duration) (string, bool) {
	return r.host.loads.choosePeer(req.Service, wait, profile.Placement.LocalOnly, r.host.membership.Reachable)
}

// runLocal queues the job here and runs it on a worker that this host holds.
// With a profile, the job may move to a peer that has got room while it is
// queued; moveTo then names the peer. The error is errHandover if this host
// stopped placing before the job began.
func (r *runner) runLocal(ctx context.Context, req *rpc.SubmitRequest, job schedule.Job, attempt uint32, reserve request.ReserveFunc, profile *contract.Profile) (res request.Result, moveTo string, err error) {
	for try := range uint32(maxTries) {
		job.Attempt = taskNumber(attempt, try)
		placeCtx, cancel := r.placing(ctx, req.Id)
		mover := r.watchQueue(req, profile, cancel)
		placement, err := r.host.scheduler.Place(placeCtx, job)
		cancel(nil)
		moveTo := mover.stop()
		switch {
		case err != nil && moveTo != "":
			return request.Result{}, moveTo, nil
		case err != nil && r.handover.Err() != nil && ctx.Err() == nil:
			return request.Result{}, "", errHandover
		case err != nil:
			return refusal(err), "", nil
		}
		res, again := r.runPlaced(ctx, req, job, placement.Members[0].Worker, reserve,
			func(result schedule.TaskResult) { placement.Release(0, result) })
		if !again {
			return res, "", nil
		}
		if r.host.cancels.isCancelled(req.Id) {
			return notRun(api.ReasonCancelled, 0), "", nil
		}
		// The ledger follows the loss of a worker within milliseconds.
		pause(ctx, tryPause<<try)
	}
	if r.handover.Err() != nil && ctx.Err() == nil {
		// The workers refused the tries because this host releases them.
		return request.Result{}, "", errHandover
	}
	return notRun(api.ReasonWorkerFailed, routeRetry), "", nil
}

const (
	// moveCheck is how long a request is queued before another host is
	// considered again, less than the 270 ms between two load reports of the
	// failure domain. The interval doubles up to moveCheckMax, so that a long
	// queue costs little.
	moveCheck    = 100 * time.Millisecond
	moveCheckMax = 1600 * time.Millisecond
)

// mover looks for another host while a request is queued here.
type mover struct {
	timer *time.Timer

	mu      sync.Mutex
	stopped bool
	peer    string
}

// watchQueue starts to look for a peer with room. When one is found, it calls
// cancel to take the request out of the queue here. Without a profile it does
// nothing.
func (r *runner) watchQueue(req *rpc.SubmitRequest, profile *contract.Profile, cancel context.CancelCauseFunc) *mover {
	m := &mover{}
	if profile == nil {
		return m
	}
	interval := moveCheck
	m.timer = time.AfterFunc(interval, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.stopped {
			return
		}
		if peer, ok := r.remote(req, *profile); ok {
			m.peer = peer
			cancel(errMoved)
			return
		}
		interval = min(2*interval, moveCheckMax)
		m.timer.Reset(interval)
	})
	return m
}

// stop ends the search and returns the peer that was found, if any.
func (m *mover) stop() string {
	if m.timer == nil {
		return ""
	}
	m.timer.Stop()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	return m.peer
}

// placing returns a context that also ends when the request is cancelled or this
// host stops placing.
func (r *runner) placing(ctx context.Context, id string) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	handover := context.AfterFunc(r.handover, func() { cancel(errHandover) })
	cancelled := context.AfterFunc(r.host.cancels.contextFor(id), func() { cancel(errCancelled) })
	return ctx, func(cause error) { handover(); cancelled(); cancel(cause) }
}

// runPlaced runs one member on a worker. It returns again if the member has
// certainly not run and another worker may be tried.
func (r *runner) runPlaced(ctx context.Context, req *rpc.SubmitRequest, job schedule.Job, name string, reserve request.ReserveFunc, release func(schedule.TaskResult)) (res request.Result, again bool) {
	hold, ok := r.host.holding.Held(name)
	if !ok {
		release(schedule.TaskResult{})
		return request.Result{}, true
	}
	task := job.TaskID(0)
	member := &rpc.Member{Task: string(task), Worker: name, Incarnation: hold.Incarnation, Epoch: hold.Epoch}
	if err := reserve(ctx, r.host.self.Name, []*rpc.Member{member}); err != nil {
		release(schedule.TaskResult{})
		r.host.log.V(1).Info("record was not replicated; request not dispatched", "request", req.Id, "error", err.Error())
		return notRun(api.ReasonNotReady, routeRetry), false
	}
	// A cancellation that came before this saw no task of this placement; a later
	// one stops the task or fences it.
	if r.host.cancels.isCancelled(req.Id) {
		release(schedule.TaskResult{})
		return notRun(api.ReasonCancelled, 0), false
	}
	r.host.recordEvent("dispatched", req.Id, string(task), name)
	began := time.Now()
	answer, state := r.host.tasks.run(ctx, name, hold, worker.StartRequest{
		Task:      task,
		Team:      req.Team,
		Service:   req.Service,
		Resources: job.Resources,
		Body:      req.Body,
	}, func(ran, failed bool) {
		release(schedule.TaskResult{Ran: ran, Failed: failed, RunTime: time.Since(began)})
	})
	r.host.recordEvent("task_"+string(state), req.Id, string(task), name)
	switch state {
	case worker.TaskEnded:
		return answered(name, answer), false
	case worker.TaskFenced:
		return request.Result{}, true
	default:
		return fromTask(name, worker.Task{ID: task, State: state, Answer: answer}), false
	}
}

// runRemote asks another holder to place and run the request. It returns
// refused if that host has certainly not run it and will not.
func (r *runner) runRemote(ctx context.Context, peer string, req *rpc.SubmitRequest, deadline time.Time, attempt uint32, reserve request.ReserveFunc) (res request.Result, refused bool) {
	client, ok := r.host.links.Client(peer)
	if !ok {
		r.host.loads.exhaustBudget(peer, req.Service)
		return request.Result{}, true
	}
	if err := reserve(ctx, peer, nil); err != nil {
		return notRun(api.ReasonNotReady, routeRetry), false
	}
	switch {
	case r.host.cancels.isCancelled(req.Id):
		return notRun(api.ReasonCancelled, 0), false
	case !time.Now().Before(deadline):
		// The replication took the rest of the time.
		return notRun(api.ReasonDeadline, 0), false
	}
	r.host.recordEvent("forwarded", req.Id, "", peer)
	r.host.telemetry.count("requests.forwarded")
	sent := time.Now()
	callCtx, cancel := r.host.peers.contextWhileLive(ctx, peer)
	defer cancel()
	reply, err := client.Dispatch(callCtx, &rpc.DispatchRequest{Request: within(req, deadline), Keeper: r.host.self.Name, Attempt: attempt})
	switch {
	case err == nil && reply.Reply.Outcome == string(api.NotRun):
		r.host.telemetry.count("requests.forward_refused")
		r.host.loads.exhaustBudget(peer, req.Service)
		return request.Result{}, true
	case err == nil:
		return fromReply(reply.Reply), false
	case failedBeforeSend(err):
		r.host.telemetry.count("requests.forward_refused")
		r.host.loads.exhaustBudget(peer, req.Service)
		return request.Result{}, true
	}
	res = r.host.resolver.awaitRemote(ctx, peer, req.Id, attempt, sent)
	return res, res.Outcome == api.NotRun
}

// taskNumber numbers the placements of all attempts. Attempts are counted in
// 32 bits and may be high, so the product needs more.
func taskNumber(attempt, try uint32) int {
	return int(attempt)*triesPerAttempt + int(try)
}

// taskID names one attempt to run one member of a request.
func taskID(id string, member, number int) worker.TaskID {
	return worker.TaskID(fmt.Sprintf("%s#%d.%d", id, member, number))
}
