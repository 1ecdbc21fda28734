package entryhost

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/request"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
	"github.com/laburnumpass/laburnumpass/internal/schedule"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

const (
	// reservationTTL bounds how long members stay reserved for a coordinator on
	// another host that has not started them.
	reservationTTL = 2 * time.Second
	// reserveCallTimeout bounds a call that makes or releases a reservation.
	reserveCallTimeout = 500 * time.Millisecond
	// gangRetryDelay is the mean pause between two attempts to reserve all members
	// on several hosts. All reservations are released in between, so that two jobs
	// never deadlock.
	gangRetryDelay = 100 * time.Millisecond
	// gangQueueTimeout is how long a job waits in the local queue before other hosts
	// are asked again. While it is queued, a capacity reservation keeps smaller jobs
	// from overtaking it.
	gangQueueTimeout = 2 * time.Second
)

// gangPart is the reservation of some members of a gang job on the workers that one
// entry host holds.
type gangPart struct {
	host    string
	members []*rpc.Member
	// start runs the members and returns their results in order.
	start func(ctx context.Context) []request.Result
	// release releases the reservation without starting the members.
	release func()
}

// runGang runs a gang job: it reserves all members on the workers of this host and
// of its peers in the failure domain before it starts the first member.
func (r *runner) runGang(ctx context.Context, req *rpc.SubmitRequest, job schedule.Job, attempt uint32, reserve request.ReserveFunc) request.Result {
	for try := uint32(0); ctx.Err() == nil && time.Now().Before(job.Deadline); try++ {
		if r.host.cancels.isCancelled(req.Id) {
			return notRun(api.ReasonCancelled, 0)
		}
		// The numbers may repeat: only the last try of an attempt stores and starts tasks.
		job.TaskNumber = taskNumber(attempt, try%taskNumbersPerAttempt)
		parts, complete := r.reserveGang(ctx, req, job)
		if !complete {
			r.host.telemetry.count("gangs.retries")
			releaseParts(parts)
			placement, refused := r.queueGang(ctx, job)
			if refused != nil && refused.Reason != api.ReasonDeadline {
				return *refused
			}
			if placement == nil {
				if !pause(ctx, gangRetryDelay/2+rand.N(gangRetryDelay)) {
					break
				}
				continue
			}
			parts = []gangPart{r.localPart(req, job, placement)}
		}
		var members []*rpc.Member
		for _, p := range parts {
			members = append(members, p.members...)
		}
		if len(members) < job.Members {
			releaseParts(parts)
			continue
		}
		if err := reserve(ctx, r.host.self.Name, members); err != nil {
			releaseParts(parts)
			return notRun(api.ReasonNotReady, routeRetryDelay)
		}
		r.host.recordEvent("gang_reserved", req.Id, "", strconv.Itoa(len(parts))+" holders")
		return r.startGang(ctx, parts)
	}
	return notRun(api.ReasonDeadline, 0)
}

// queueGang queues the job on this host if its workers alone have the capacity for
// all members. If it returns neither a placement nor a refusal, the caller may try
// several hosts again. The same holds for a refusal with ReasonDeadline, which may
// only mean that gangQueueTimeout has passed.
func (r *runner) queueGang(ctx context.Context, job schedule.Job) (*schedule.Placement, *request.Result) {
	if r.placingCtx.Err() != nil || !r.canHoldAllMembers(job) {
		return nil, nil
	}
	if limit := time.Now().Add(gangQueueTimeout); job.Deadline.After(limit) {
		job.Deadline = limit
	}
	placeCtx, cancel := r.placementContext(ctx, job.ID)
	defer cancel(nil)
	placement, err := r.host.scheduler.Place(placeCtx, job)
	if err == nil {
		return placement, nil
	}
	res := fromScheduleError(err)
	if res.Reason == api.ReasonCancelled && ctx.Err() == nil {
		return nil, nil
	}
	return nil, &res
}

// canHoldAllMembers reports whether the workers that this host holds could run all
// members of the job at once if they were idle.
func (r *runner) canHoldAllMembers(job schedule.Job) bool {
	fits := 0
	for _, w := range r.host.holding.Workers() {
		if w.Held {
			fits += idleTaskCapacity(job.Resources, w.Info.Capacity)
		}
	}
	return fits >= job.Members
}

// idleTaskCapacity returns how many tasks of the given size an idle worker can run
// at once.
func idleTaskCapacity(size worker.Resources, c worker.Capacity) int {
	n := int64(c.Slots)
	for _, d := range [][2]int64{
		{size.MilliCPU, c.MilliCPU}, {size.MemoryMiB, c.MemoryMiB}, {size.Accelerators, c.Accelerators},
	} {
		if d[0] > 0 {
			n = min(n, d[1]/d[0])
		}
	}
	return int(n)
}

// reserveGang reserves as many members as possible without queueing, first on this
// host and then on its peers. It also reports whether all are reserved.
func (r *runner) reserveGang(ctx context.Context, req *rpc.SubmitRequest, job schedule.Job) ([]gangPart, bool) {
	var parts []gangPart
	missing := job.Members
	if r.placingCtx.Err() == nil {
		if p, ok := r.host.scheduler.TryReserve(job, missing); ok {
			parts = append(parts, r.localPart(req, job, p))
			missing -= len(p.Members)
		}
	}
	for _, peer := range r.host.membership.LiveHosts() {
		if missing == 0 {
			break
		}
		if peer == r.host.self.Name {
			continue
		}
		if part, ok := r.reserveOnPeer(ctx, peer, req, job, missing); ok {
			parts = append(parts, part)
			missing -= len(part.members)
		}
	}
	return parts, missing == 0
}

func releaseParts(parts []gangPart) {
	for _, p := range parts {
		p.release()
	}
}

// localPart returns the gang part for a placement on this host's workers.
func (r *runner) localPart(req *rpc.SubmitRequest, job schedule.Job, p *schedule.Placement) gangPart {
	members := r.describeMembers(job, p)
	return gangPart{
		host:    r.host.self.Name,
		members: members,
		start: func(ctx context.Context) []request.Result {
			return r.startMembers(ctx, req, job, p, members)
		},
		release: func() { p.ReleaseAll(schedule.TaskResult{}) },
	}
}

// describeMembers returns the tasks of a placement. A member whose worker has been
// lost since is left out, which makes the coordinator release all parts.
func (r *runner) describeMembers(job schedule.Job, p *schedule.Placement) []*rpc.Member {
	var out []*rpc.Member
	for _, a := range p.Members {
		lease, ok := r.host.holding.Held(a.Worker)
		if !ok {
			continue
		}
		out = append(out, &rpc.Member{
			Task: string(job.TaskID(a.Member)), Worker: a.Worker, Incarnation: lease.Incarnation, Epoch: lease.Epoch,
		})
	}
	return out
}

// startMembers starts the reserved members and waits for all of them. If one cannot
// start, it stops the others: a gang job never runs partially for longer than that
// takes.
func (r *runner) startMembers(ctx context.Context, req *rpc.SubmitRequest, job schedule.Job, p *schedule.Placement, members []*rpc.Member) []request.Result {
	results := make([]request.Result, len(members))
	var group sync.WaitGroup
	var membersStopped atomic.Bool
	for i, m := range members {
		group.Go(func() {
			results[i] = r.runMember(ctx, req, job, p, i, m)
			if results[i].Outcome == api.NotRun && membersStopped.CompareAndSwap(false, true) {
				r.stopMembers(members)
			}
		})
	}
	group.Wait()
	return results
}

// runMember starts one reserved member and waits for its end. It does not start the
// member if this host has lost the worker's lease since the reservation.
func (r *runner) runMember(ctx context.Context, req *rpc.SubmitRequest, job schedule.Job, p *schedule.Placement, i int, m *rpc.Member) request.Result {
	lease, ok := r.host.holding.Held(m.Worker)
	if !ok || lease.Epoch != m.Epoch {
		p.Release(p.Members[i].Member, schedule.TaskResult{})
		return notRun(api.ReasonWorkerFailed, routeRetryDelay)
	}
	began := time.Now()
	answer, state := r.host.tasks.run(ctx, m.Worker, lease, worker.StartRequest{
		Task: worker.TaskID(m.Task), Team: req.Team, Service: req.Service, Resources: job.Resources, Body: req.Body,
	}, func(ran, failed bool) {
		p.Release(p.Members[i].Member, schedule.TaskResult{Ran: ran, Failed: failed, RunTime: time.Since(began)})
	})
	r.host.recordEvent("task_"+string(state), req.Id, m.Task, m.Worker)
	return fromTask(m.Worker, worker.Task{ID: worker.TaskID(m.Task), State: state, Answer: answer})
}

// stopMembers stops the members' tasks and fences those that have not begun.
func (r *runner) stopMembers(members []*rpc.Member) {
	for _, m := range members {
		ctx, cancel := context.WithTimeout(context.Background(), statusCallTimeout)
		if _, err := r.host.holding.Stop(ctx, m.Worker, worker.TaskID(m.Task)); err != nil {
			r.host.log.Info("stopping a member of a gang job failed", "task", m.Task, "worker", m.Worker, "error", err.Error())
		}
		cancel()
	}
}

// stopParts stops the members of several parts, all parts concurrently.
func (r *runner) stopParts(parts []gangPart) {
	var group sync.WaitGroup
	for _, p := range parts {
		group.Go(func() { r.stopMembers(p.members) })
	}
	group.Wait()
}

func hasNotRun(res request.Result) bool { return res.Outcome == api.NotRun }

// startGang starts all parts concurrently and combines their results. If a member of
// one part cannot start, it stops those of the others, whose hosts do not learn of it.
// The job has not run only if no member has.
func (r *runner) startGang(ctx context.Context, parts []gangPart) request.Result {
	results := make([][]request.Result, len(parts))
	var group sync.WaitGroup
	var othersStopped atomic.Bool
	for i, p := range parts {
		group.Go(func() {
			results[i] = p.start(ctx)
			if slices.ContainsFunc(results[i], hasNotRun) && othersStopped.CompareAndSwap(false, true) {
				r.stopParts(slices.Concat(parts[:i], parts[i+1:]))
			}
		})
	}
	group.Wait()
	var all []request.Result
	notRunCount := 0
	for _, part := range results {
		for _, res := range part {
			if res.Outcome == api.NotRun {
				notRunCount++
			}
		}
		all = append(all, part...)
	}
	if notRunCount == len(all) {
		return notRun(api.ReasonWorkerFailed, routeRetryDelay)
	}
	return combineMemberResults(all)
}

// reserveOnPeer reserves up to count members on a peer's workers.
func (r *runner) reserveOnPeer(ctx context.Context, peer string, req *rpc.SubmitRequest, job schedule.Job, count int) (gangPart, bool) {
	client, ok := r.host.links.Client(peer)
	if !ok {
		return gangPart{}, false
	}
	callCtx, cancel := context.WithTimeout(ctx, reserveCallTimeout)
	defer cancel()
	reply, err := client.Reserve(callCtx, &rpc.ReserveRequest{
		Request:     req,
		Members:     uint32(count),
		TtlMs:       uint32(reservationTTL / time.Millisecond),
		Attempt:     int64(job.TaskNumber),
		FirstMember: uint32(job.Members - count),
	})
	if err != nil || reply.Token == "" {
		return gangPart{}, false
	}
	return gangPart{
		host:    peer,
		members: reply.Members,
		start: func(ctx context.Context) []request.Result {
			return r.startOnPeer(ctx, peer, req, reply)
		},
		release: func() {
			// If this call fails, the reservation expires after reservationTTL.
			callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reserveCallTimeout)
			defer cancel()
			_, _ = client.Reserve(callCtx, &rpc.ReserveRequest{ReleaseToken: reply.Token})
		},
	}, true
}

// startOnPeer starts the members that a peer has reserved. If there is no usable
// reply, it queries the members' workers for the results.
func (r *runner) startOnPeer(ctx context.Context, peer string, req *rpc.SubmitRequest, reserved *rpc.ReserveReply) []request.Result {
	if client, ok := r.host.links.Client(peer); ok {
		reply, err := client.Reserve(ctx, &rpc.ReserveRequest{StartToken: reserved.Token})
		var results []request.Result
		if err == nil && json.Unmarshal(reply.GetReply().GetBody(), &results) == nil && len(results) == len(reserved.Members) {
			return results
		}
	}
	results := make([]request.Result, len(reserved.Members))
	for i, m := range reserved.Members {
		results[i] = r.host.resolver.awaitMember(ctx, m)
	}
	return results
}
