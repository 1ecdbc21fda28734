package schedule

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// Place queues a job and returns once all its members are reserved. It returns
// a *Refusal if the job is refused, its deadline passes or ctx ends. A refused
// job holds no reservation.
func (s *Scheduler) Place(ctx context.Context, job Job) (*Placement, error) {
	type result struct {
		placement *Placement
		err       error
	}
	if ctx.Err() != nil {
		// The caller no longer waits; a reservation would only waste capacity.
		return nil, &Refusal{Reason: contextReason(ctx), Detail: "ended before the job was queued"}
	}
	done := make(chan result, 1)
	deadlineChanged := make(chan struct{}, 1)
	e, now := s.submit(job, func(p *Placement, err error) { done <- result{p, err} }, func() {
		select {
		case deadlineChanged <- struct{}{}:
		default:
		}
	})
	// Most jobs start or are refused at once and need no timer.
	select {
	case r := <-done:
		return r.placement, r.err
	default:
	}
	timer := time.NewTimer(s.timeToDeadline(e, now))
	defer timer.Stop()
	for {
		var reason api.Reason
		select {
		case r := <-done:
			return r.placement, r.err
		case <-deadlineChanged:
			timer.Reset(s.timeToDeadline(e, s.options.Now()))
			continue
		case <-timer.C:
			if wait := s.timeToDeadline(e, s.options.Now()); wait > 0 {
				timer.Reset(wait)
				continue
			}
			reason = api.ReasonDeadline
		case <-ctx.Done():
			reason = contextReason(ctx)
		}
		if s.withdraw(e, reason) {
			r := <-done
			return r.placement, r.err
		}
		// The job left the queue before it could be withdrawn.
		r := <-done
		if r.placement == nil {
			return nil, r.err
		}
		r.placement.ReleaseAll(TaskResult{})
		return nil, &Refusal{Reason: reason, Detail: "ended while the job was being reserved"}
	}
}

// contextReason returns the reason for which ctx ended.
func contextReason(ctx context.Context) api.Reason {
	if ctx.Err() == context.DeadlineExceeded {
		return api.ReasonDeadline
	}
	return api.ReasonCancelled
}

// Submit queues a job and calls report once: with a placement when all members
// are reserved, or with a *Refusal. report may be called before Submit returns
// and must not block. The returned function withdraws the job and reports
// whether it was still queued; if it was, report is called with
// api.ReasonCancelled. Unlike Place, Submit has no timer: a job past its
// deadline is refused when it reaches the head of its queue.
func (s *Scheduler) Submit(job Job, report func(*Placement, error)) (cancel func() bool) {
	e, _ := s.submit(job, report, nil)
	return func() bool { return s.withdraw(e, api.ReasonCancelled) }
}

func (s *Scheduler) submit(job Job, report func(*Placement, error), deadlineChanged func()) (*queueEntry, time.Time) {
	now := s.lock()
	defer s.unlock()
	job.Members = max(job.Members, 1)
	e := &queueEntry{job: job, enqueued: now, report: report, deadlineChanged: deadlineChanged}
	if refusal := s.admit(e, now); refusal != nil {
		s.reportRefusal(e, refusal)
		return e, now
	}
	s.enqueue(e, now)
	s.dispatch(now)
	return e, now
}

// timeToDeadline returns the time until the deadline of e.
func (s *Scheduler) timeToDeadline(e *queueEntry, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return e.deadline.Sub(now)
}

// withdraw removes a job from the queue and refuses it. It returns false if the
// job was no longer queued.
func (s *Scheduler) withdraw(e *queueEntry, reason api.Reason) bool {
	now := s.lock()
	defer s.unlock()
	if !e.queued {
		return false
	}
	s.dequeue(e)
	s.reportRefusal(e, s.newRefusal(e, reason, "the job left the queue before it was placed", now))
	s.dispatch(now)
	return true
}

// reportRefusal reports a refusal of e once the lock is released. e must not be
// queued any longer.
func (s *Scheduler) reportRefusal(e *queueEntry, refusal *Refusal) {
	s.callbacks = append(s.callbacks, func() { e.report(nil, refusal) })
}

// newRefusal returns a refusal with a retry delay: the larger of the delay of the
// profile and the estimated wait (counted up to 30 s), plus the random jitter of
// the profile. A cancelled job gets no retry delay.
func (s *Scheduler) newRefusal(e *queueEntry, reason api.Reason, detail string, now time.Time) *Refusal {
	r := &Refusal{Reason: reason, Detail: detail}
	if reason == api.ReasonCancelled {
		return r
	}
	base := time.Duration(e.profile.Refusal.RetryAfterMS) * time.Millisecond
	base = max(base, min(s.estimateWait(e, now), 30*time.Second))
	spread := float64(base) * float64(e.profile.Refusal.JitterPercent) / 100
	r.RetryAfter = base + time.Duration(spread*s.rng.Float64())
	return r
}

// resolve looks up the service, profile and team of a job in the configuration in
// force and determines its size, expected run time and deadline. It returns a
// refusal if the job can never run under this configuration or if there is none
// yet.
func (s *Scheduler) resolve(e *queueEntry) *Refusal {
	c := s.configuration()
	if c == nil {
		return &Refusal{Reason: api.ReasonNotReady, Detail: "no configuration yet", RetryAfter: time.Second}
	}
	// Names are checked before any state is created for them, so that requests
	// with invented names use no memory.
	svc, ok := c.Service(e.job.Service)
	if !ok {
		return &Refusal{Reason: api.ReasonInvalid, Detail: fmt.Sprintf("service %q is not configured", e.job.Service)}
	}
	if _, ok := c.Profile(svc.Profile); !ok {
		return &Refusal{Reason: api.ReasonInvalid, Detail: fmt.Sprintf("profile %q is not configured", svc.Profile)}
	}
	if _, ok := c.Quota(e.job.Team); !ok {
		return &Refusal{Reason: api.ReasonQuota, Detail: fmt.Sprintf("team %q has no quota", e.job.Team)}
	}
	if e.service = s.service(e.job.Service); !e.service.configured {
		s.configureService(e.service)
	}
	if e.profile = e.service.profile; !e.profile.configured {
		s.configureProfile(e.profile)
	}
	if e.job.Members > 1 && e.service.Kind != contract.ServiceGang {
		return &Refusal{Reason: api.ReasonInvalid, Detail: fmt.Sprintf("service %q takes no all-at-once jobs", e.job.Service)}
	}
	if e.team = s.team(e.job.Team); e.team.quota < 0 {
		s.configureTeam(e.team)
	}
	if e.team.quota < e.job.Members {
		return &Refusal{Reason: api.ReasonQuota, Detail: fmt.Sprintf("team %q has a quota of %d slots; the job needs %d",
			e.job.Team, e.team.quota, e.job.Members)}
	}
	e.declared = e.job.Resources
	if e.declared == (worker.Resources{}) {
		e.declared = e.service.Resources
	}
	if detail := s.neverFitsDetail(e.declared, e.job.Members); detail != "" {
		return &Refusal{Reason: api.ReasonNeverFits, Detail: detail}
	}
	e.profile.needsAccelerators = e.declared.Accelerators > 0
	e.need = s.plannedSize(e)
	e.expectedRunTime, e.long = s.classify(e)
	e.setDeadline()
	return nil
}

// setDeadline sets the deadline of the entry: the earlier of the deadline of the
// job and the end of the maximum wait of the profile.
func (e *queueEntry) setDeadline() {
	e.deadline = e.enqueued.Add(time.Duration(e.profile.Queue.MaxWaitMS) * time.Millisecond)
	if d := e.job.Deadline; !d.IsZero() && d.Before(e.deadline) {
		e.deadline = d
	}
}

// admit returns a refusal if a new job may not be queued. For a full queue it may
// refuse a queued job of another team instead; see displace.
func (s *Scheduler) admit(e *queueEntry, now time.Time) *Refusal {
	if refusal := s.resolve(e); refusal != nil {
		return refusal
	}
	if !e.deadline.After(now) {
		return s.newRefusal(e, api.ReasonDeadline, "the deadline has passed", now)
	}
	wait := s.estimateWait(e, now)
	if e.profile.Refusal.Early && wait > e.deadline.Sub(now) {
		return s.newRefusal(e, api.ReasonDeadline, fmt.Sprintf("estimated wait of %v exceeds the deadline", wait.Round(time.Millisecond)), now)
	}
	if e.profile.queued >= e.profile.Queue.Limit && !s.displace(e, now) {
		return s.newRefusal(e, api.ReasonQueueFull, fmt.Sprintf("%d jobs of profile %q are waiting", e.profile.queued, e.profile.name), now)
	}
	return nil
}

// estimateWait estimates how long e would wait if it were queued now, from the
// intervals between the starts of its team or, with fewer than minIntervals of
// those, between the starts of its profile. The time since the last start is
// that of the profile, since the intervals of a single team vary too much. It is
// added once and not for each queued job: when it was added for each, a pause of
// 0.4 s with eight busy slots caused refusals of the jobs of a team that needed
// 0.3 s for its whole queue.
func (s *Scheduler) estimateWait(e *queueEntry, now time.Time) time.Duration {
	p := e.profile
	b := p.backlogs[e.team]
	if b == nil || b.queued == 0 {
		return 0
	}
	wait := time.Duration(b.queued)*b.starts.meanInterval + max(0, now.Sub(p.starts.lastStart)-b.starts.meanInterval)
	if b.starts.intervals < minIntervals {
		wait = p.starts.estimateWait(p.jobsAhead(b), now)
	}
	return s.limitByRunTime(wait, e, b)
}

// meanToQuantileRatio is the assumed ratio of the mean run time to the estimated
// quantile. It is 0.43 for exponentially distributed and 1 for constant run times.
const meanToQuantileRatio = 0.5

// limitByRunTime returns the smaller of a wait estimated from the intervals between
// starts and the wait that follows from the run time if each running task is a
// server in the sense of queueing theory. After a stall of seconds, for example
// when a host fails, the intervals alone make every queued job appear to take that
// long, and jobs were refused that would have started at once. Until an estimate
// exists the declared run time is used, since the first intervals of a profile are
// no more reliable.
func (s *Scheduler) limitByRunTime(byIntervals time.Duration, e *queueEntry, b *backlog) time.Duration {
	if b.running == 0 {
		return byIntervals
	}
	runTime, estimated := s.expectedRunTime(e.service, e.team.name, e.job.RunTime)
	byRunTime := float64(b.queued) * float64(runTime) / float64(b.running)
	if estimated {
		byRunTime *= meanToQuantileRatio
	}
	return min(byIntervals, time.Duration(byRunTime))
}

// displace makes room in a full queue by refusing the newest job of the team with
// the longest backlog relative to its weight, so that a surge of one team cannot
// keep the other teams out of the queue. It returns false if that team is the team
// of e, or if its backlog is not longer than the backlog of e's team including e.
func (s *Scheduler) displace(e *queueEntry, now time.Time) bool {
	if len(e.profile.backlogHeap) == 0 {
		return false
	}
	longest := e.profile.backlogHeap[0]
	own := 1.0
	if b := e.profile.backlogs[e.team]; b != nil {
		own += float64(b.queued)
	}
	if longest.team == e.team || float64(longest.queued)/longest.team.weight <= own/e.team.weight {
		return false
	}
	newest := s.gangs.newestOf(longest)
	for _, q := range longest.team.queues {
		if q.lane.profile == e.profile && q.tail != nil && (newest == nil || q.tail.enqueued.After(newest.enqueued)) {
			newest = q.tail
		}
	}
	if newest == nil {
		return false
	}
	s.dequeue(newest)
	s.reportRefusal(newest, s.newRefusal(newest, api.ReasonQueueFull, "displaced: the team has the longest backlog of a full queue", now))
	return true
}

// neverFitsDetail returns the Refusal.Detail of a job that can never run, or "" if
// the job may run or no worker is known yet. The detail names the resource that
// exceeds the largest worker or says that no worker has the combination. If the
// held workers are all workers (see Options.MaxWorkerCapacity), it may also say that
// they are too small for count members of size need even without other tasks.
func (s *Scheduler) neverFitsDetail(need worker.Resources, count int) string {
	capacities := make([]worker.Capacity, 0, len(s.capacityCounts)+1)
	room := 0
	for c, n := range s.capacityCounts {
		capacities = append(capacities, c)
		room += n * fittingTasks(need, amount{c.Resources, c.Slots})
	}
	if s.options.MaxWorkerCapacity != nil {
		capacities = append(capacities, s.options.MaxWorkerCapacity())
	}
	var largest worker.Capacity
	for _, c := range capacities {
		if need.Fits(c.Resources) && c.Slots > 0 {
			if s.options.MaxWorkerCapacity == nil && room < count {
				return fmt.Sprintf("members: the job has %d and all workers together take %d", count, room)
			}
			return ""
		}
		largest.Resources, largest.Slots = largest.Max(c.Resources), max(largest.Slots, c.Slots)
	}
	switch {
	case len(capacities) == 0:
		return "" // no worker is known yet
	case need.MilliCPU > largest.MilliCPU:
		return fmt.Sprintf("milli_cpu: the job needs %d and the largest worker has %d", need.MilliCPU, largest.MilliCPU)
	case need.MemoryMiB > largest.MemoryMiB:
		return fmt.Sprintf("memory_mib: the job needs %d and the largest worker has %d", need.MemoryMiB, largest.MemoryMiB)
	case need.Accelerators > largest.Accelerators:
		return fmt.Sprintf("accelerators: the job needs %d and the largest worker has %d", need.Accelerators, largest.Accelerators)
	}
	return "no worker has this combination of milli_cpu, memory_mib and accelerators"
}

func sortByAge(entries []*queueEntry) {
	sort.SliceStable(entries, func(i, j int) bool {
		if !entries[i].enqueued.Equal(entries[j].enqueued) {
			return entries[i].enqueued.Before(entries[j].enqueued)
		}
		return entries[i].job.ID < entries[j].job.ID
	})
}
