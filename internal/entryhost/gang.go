package entryhost

import (
	"context"
	"encoding/json"
	"math/rand/v2"
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
	// reserveTTL bounds how long members are reserved for a coordinator on
	// another host that has not started them.
	reserveTTL = 2 * time.Second
	// reserveCall bounds one call for a reservation.
	reserveCall = 500 * time.Millisecond
	// gangRetry is the mean pause between two tries to reserve all members over
	// several hosts. All reservations are given back in between, so two jobs
	// never wait for each other.
	gangRetry = 100 * time.Millisecond
	// gangQueue is how long a job waits in this host's own queue, where a
	// reservation protects it from smaller work, before other hosts are asked
	// again.
	gangQueue = 2 * time.Second
)

// gangPart is the reservation of some members on the workers of one holder.
type gangPart struct {
	host    string
	members []*rpc.Member
	// start runs the members and returns their results in order.
	start func(ctx context.Context) []request.Result
	// release gives the reservation back.
	release func()
}

// runGang reserves all members of an all-at-once job, on this host's workers
// and on those of its peers in the failure domain, before it starts the first.
func (r *runner) runGang(ctx context.Context, req *rpc.SubmitRequest, job schedule.Job, attempt uint32, reserve request.ReserveFunc) request.Result {
	for try := uint32(0); ctx.Err() == nil && time.Now().Before(job.Deadline); try++ {
		if r.host.cancels.isCancelled(req.Id) {
			return notRun(api.ReasonCancelled, 0)
		}
		job.Attempt = taskNumber(attempt, try%triesPerAttempt)
		parts, complete := r.reserveGang(ctx, req, job)
		if !complete {
			r.host.telemetry.count("gangs.retries")
			releaseParts(parts)
			placement, refused := r.queueGang(ctx, job)
			if refused != nil && refused.Reason != api.ReasonDeadline {
				return *refused
			}
			if placement == nil {
				if !pause(ctx, gangRetry/2+rand.N(gangRetry)) {
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
			return notRun(api.ReasonNotReady, routeRetry)
		}
		r.host.recordEvent("gang_reserved", req.Id, "", strconv.Itoa(len(parts))+" holders")
		return r.startGang(ctx, parts)
	}
	return notRun(api.ReasonDeadline, 0)
}

// queueGang waits in this host's own queue if its workers alone can hold all
// members. The refusal is nil while another try over several hosts may help.
func (r *runner) queueGang(ctx context.Context, job schedule.Job) (*schedule.Placement, *request.Result) {
	if r.handover.Err() != nil || !r.holdsAll(job) {
		return nil, nil
	}
	if limit := time.Now().Add(gangQueue); job.Deadline.After(limit) {
		job.Deadline = limit
	}
	placeCtx, cancel := r.placing(ctx, job.ID)
	defer cancel(nil)
	placement, err := r.host.scheduler.Place(placeCtx, job)
	if err == nil {
		return placement, nil
	}
	res := refusal(err)
	if res.Reason == api.ReasonCancelled && ctx.Err() == nil {
		return nil, nil
	}
	return nil, &res
}

// holdsAll reports whether the workers that this host holds could run all
// members of job if they were idle.
func (r *runner) holdsAll(job schedule.Job) bool {
	fits := 0
	for _, w := range r.host.holding.Workers() {
		if w.Held {
			fits += fitCount(job.Resources, w.Info.Capacity)
		}
	}
	return fits >= job.Members
}

// fitCount returns how many tasks of a size an idle worker runs.
func fitCount(size worker.Resources, c worker.Capacity) int {
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

// reserveGang reserves as many members as it can get now, here first.
func (r *runner) reserveGang(ctx context.Context, req *rpc.SubmitRequest, job schedule.Job) ([]gangPart, bool) {
	var parts []gangPart
	missing := job.Members
	if r.handover.Err() == nil {
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
		if part, ok := r.remotePart(ctx, peer, req, job, missing); ok {
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

// localPart wraps a placement on this host's workers.
func (r *runner) localPart(req *rpc.SubmitRequest, job schedule.Job, p *schedule.Placement) gangPart {
	members := r.members(job, p)
	return gangPart{
		host:    r.host.self.Name,
		members: members,
		start: func(ctx context.Context) []request.Result {
			return r.startMembers(ctx, req, job, p, members)
		},
		release: func() { p.ReleaseAll(schedule.TaskResult{}) },
	}
}

// members describes the tasks of a placement. A worker that was lost since
// leaves a member out, which makes the coordinator give all parts back.
func (r *runner) members(job schedule.Job, p *schedule.Placement) []*rpc.Member {
	var out []*rpc.Member
	for _, a := range p.Members {
		hold, ok := r.host.holding.Held(a.Worker)
		if !ok {
			continue
		}
		out = append(out, &rpc.Member{
			Task: string(job.TaskID(a.Member)), Worker: a.Worker, Incarnation: hold.Incarnation, Epoch: hold.Epoch,
		})
	}
	return out
}

// startMembers starts the reserved members and waits for all of them. When one
// cannot start, the others are stopped: an all-at-once job never runs in part
// for longer than that takes.
func (r *runner) startMembers(ctx context.Context, req *rpc.SubmitRequest, job schedule.Job, p *schedule.Placement, members []*rpc.Member) []request.Result {
	results := make([]request.Result, len(members))
	var group sync.WaitGroup
	var broken atomic.Bool
	for i, m := range members {
		group.Go(func() {
			results[i] = r.runMember(ctx, req, job, p, i, m)
			if results[i].Outcome == api.NotRun && broken.CompareAndSwap(false, true) {
				r.stopMembers(members)
			}
		})
	}
	group.Wait()
	return results
}

func (r *runner) runMember(ctx context.Context, req *rpc.SubmitRequest, job schedule.Job, p *schedule.Placement, i int, m *rpc.Member) request.Result {
	hold, ok := r.host.holding.Held(m.Worker)
	if !ok || hold.Epoch != m.Epoch {
		p.Release(p.Members[i].Member, schedule.TaskResult{})
		return notRun(api.ReasonWorkerFailed, routeRetry)
	}
	began := time.Now()
	answer, state := r.host.tasks.run(ctx, m.Worker, hold, worker.StartRequest{
		Task: worker.TaskID(m.Task), Team: req.Team, Service: req.Service, Resources: job.Resources, Body: req.Body,
	}, func(ran, failed bool) {
		p.Release(p.Members[i].Member, schedule.TaskResult{Ran: ran, Failed: failed, RunTime: time.Since(began)})
	})
	r.host.recordEvent("task_"+string(state), req.Id, m.Task, m.Worker)
	return fromTask(m.Worker, worker.Task{ID: worker.TaskID(m.Task), State: state, Answer: answer})
}

// stopMembers stops tasks and fences those that have not begun.
func (r *runner) stopMembers(members []*rpc.Member) {
	for _, m := range members {
		ctx, cancel := context.WithTimeout(context.Background(), statusCall)
		if _, err := r.host.holding.Stop(ctx, m.Worker, worker.TaskID(m.Task)); err != nil {
			r.host.log.Info("member of an all-at-once job was not stopped", "task", m.Task, "worker", m.Worker, "error", err.Error())
		}
		cancel()
	}
}

// startGang starts all parts at once and joins their answers.
func (r *runner) startGang(ctx context.Context, parts []gangPart) request.Result {
	results := make([][]request.Result, len(parts))
	var group sync.WaitGroup
	for i, p := range parts {
		group.Go(func() { results[i] = p.start(ctx) })
	}
	group.Wait()
	var all []request.Result
	fenced := 0
	for _, part := range results {
		for _, res := range part {
			if res.Outcome == api.NotRun {
				fenced++
			}
		}
		all = append(all, part...)
	}
	if fenced == len(all) {
		return notRun(api.ReasonWorkerFailed, routeRetry)
	}
	return joinMembers(all)
}

// remotePart reserves members on a peer's workers.
func (r *runner) remotePart(ctx context.Context, peer string, req *rpc.SubmitRequest, job schedule.Job, count int) (gangPart, bool) {
	client, ok := r.host.links.Client(peer)
	if !ok {
		return gangPart{}, false
	}
	callCtx, cancel := context.WithTimeout(ctx, reserveCall)
	defer cancel()
	reply, err := client.Reserve(callCtx, &rpc.ReserveRequest{
		Request:     req,
		Members:     uint32(count),
		TtlMs:       uint32(reserveTTL / time.Millisecond),
		Attempt:     int64(job.Attempt),
		FirstMember: uint32(job.Members - count),
	})
	if err != nil || reply.Token == "" {
		return gangPart{}, false
	}
	return gangPart{
		host:    peer,
		members: reply.Members,
		start: func(ctx context.Context) []request.Result {
			return r.startRemote(ctx, peer, req, reply)
		},
		release: func() {
			// A reservation that is not released ends after reserveTTL.
			callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reserveCall)
			defer cancel()
			_, _ = client.Reserve(callCtx, &rpc.ReserveRequest{ReleaseToken: reply.Token})
		},
	}, true
}

// startRemote starts the members that a peer has reserved. If the reply is
// lost, their workers are asked.
func (r *runner) startRemote(ctx context.Context, peer string, req *rpc.SubmitRequest, part *rpc.ReserveReply) []request.Result {
	results := make([]request.Result, len(part.Members))
	if client, ok := r.host.links.Client(peer); ok {
		reply, err := client.Reserve(ctx, &rpc.ReserveRequest{StartToken: part.Token})
		if err == nil && json.Unmarshal(reply.Reply.Body, &results) == nil && len(results) == len(part.Members) {
			return results
		}
	}
	for i, m := range part.Members {
		results[i] = r.host.resolver.awaitMember(ctx, m)
	}
	return results
}
