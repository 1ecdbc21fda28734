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

// Place queues a job and returns when all its members are reserved. It
// returns a *Refusal if the job is refused, its deadline passes or ctx ends.
// A job that was refused holds no reservation.
func (s *Scheduler) Place(ctx context.Context, job Job) (*Placement, error) {
	type result struct {
		placement *Placement
		err       error
	}
	if ctx.Err() != nil {
		// The caller has gone already; a reservation would only cost capacity.
		return nil, &Refusal{Reason: ended(ctx), Detail: "ended before the job was queued"}
	}
	done := make(chan result, 1)
	rearm := make(chan struct{}, 1)
	e, now := s.submit(job, func(p *Placement, err error) { done <- result{p, err} }, func() {
		select {
		case rearm <- struct{}{}:
		default:
		}
	})
	// Most work starts or is refused at once and needs no timer.
	select {
	case r := <-done:
		return r.placement, r.err
	default:
	}
	timer := time.NewTimer(s.remaining(e, now))
	defer timer.Stop()
	for {
		var reason api.Reason
		select {
		case r := <-done:
			return r.placement, r.err
		case <-rearm:
			timer.Reset(s.remaining(e, s.options.Now()))
			continue
		case <-timer.C:
			if wait := s.remaining(e, s.options.Now()); wait > 0 {
				timer.Reset(wait)
				continue
			}
			reason = api.ReasonDeadline
		case <-ctx.Done():
			reason = ended(ctx)
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

// ended returns the reason for which ctx ended.
func ended(ctx context.Context) api.Reason {
	if ctx.Err() == context.DeadlineExceeded {
		return api.ReasonDeadline
	}
	return api.ReasonCancelled
}

// Submit queues a job and calls report once: with a placement when all
// members are reserved, or with a *Refusal. report may be called before
// Submit returns and must not block. The returned function withdraws the job
// and reports whether it was still queued; report is then called with
// api.ReasonCancelled. Unlike Place, Submit has no timer: a job past its
// deadline is refused when it gets to the head of its queue.
func (s *Scheduler) Submit(job Job, report func(*Placement, error)) (cancel func() bool) {
	e, _ := s.submit(job, report, nil)
	return func() bool { return s.withdraw(e, api.ReasonCancelled) }
}

func (s *Scheduler) submit(job Job, report func(*Placement, error), rearm func()) (*entry, time.Time) {
	now := s.lock()
	defer s.unlock()
	job.Members = max(job.Members, 1)
	e := &entry{job: job, enqueued: now, report: report, rearm: rearm}
	if refusal := s.admit(e, now); refusal != nil {
		s.refuse(e, refusal)
		return e, now
	}
	s.enqueue(e, now)
	s.dispatch(now)
	return e, now
}

// remaining returns the time until the deadline of e.
func (s *Scheduler) remaining(e *entry, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return e.deadline.Sub(now)
}

// withdraw takes a job out of the queue. It returns false if the job was no
// longer queued.
func (s *Scheduler) withdraw(e *entry, reason api.Reason) bool {
	now := s.lock()
	defer s.unlock()
	if !e.queued {
		return false
	}
	s.dequeue(e)
	s.refuse(e, s.refusal(e, reason, "the job left the queue before it was placed", now))
	s.dispatch(now)
	return true
}

// refuse reports a refusal after the lock is released.
func (s *Scheduler) refuse(e *entry, refusal *Refusal) {
	s.finished = append(s.finished, func() { e.report(nil, refusal) })
}

// refusal returns a refusal with the time to come back: at least the
// profile's and the estimated wait, spread by the profile's jitter.
func (s *Scheduler) refusal(e *entry, reason api.Reason, detail string, now time.Time) *Refusal {
	r := &Refusal{Reason: reason, Detail: detail}
	if reason == api.ReasonCancelled {
		return r
	}
	base := time.Duration(e.profile.Refusal.RetryAfterMS) * time.Millisecond
	base = max(base, min(s.wait(e, now), 30*time.Second))
	spread := float64(base) * float64(e.profile.Refusal.JitterPercent) / 100
	r.RetryAfter = base + time.Duration(spread*s.rng.Float64())
	return r
}

// prepare resolves a job against the configuration in force. It returns a
// refusal if the job can never run under it.
func (s *Scheduler) prepare(e *entry) *Refusal {
	c := s.configuration()
	if c == nil {
		return &Refusal{Reason: api.ReasonNotReady, Detail: "no configuration yet", RetryAfter: time.Second}
	}
	// Names are looked up before any state is made for them, so that requests
	// with made-up names take no memory.
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
	if e.service = s.service(e.job.Service); !e.service.known {
		s.configureService(e.service)
	}
	if e.profile = e.service.profile; !e.profile.known {
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
	if lacking := s.lacking(e.declared, e.job.Members); lacking != "" {
		return &Refusal{Reason: api.ReasonNeverFits, Detail: lacking}
	}
	e.profile.accel = e.declared.Accelerators > 0
	e.need = s.plan(e)
	e.expected, e.long = s.classify(e)
	e.setDeadline()
	return nil
}

// setDeadline sets the earlier of the job's deadline and the end of the
// profile's longest wait.
func (e *entry) setDeadline() {
	e.deadline = e.enqueued.Add(time.Duration(e.profile.Queue.MaxWaitMS) * time.Millisecond)
	if d := e.job.Deadline; !d.IsZero() && d.Before(e.deadline) {
		e.deadline = d
	}
}

// admit decides whether a new job may wait.
func (s *Scheduler) admit(e *entry, now time.Time) *Refusal {
	if refusal := s.prepare(e); refusal != nil {
		return refusal
	}
	if !e.deadline.After(now) {
		return s.refusal(e, api.ReasonDeadline, "the deadline has passed", now)
	}
	wait := s.wait(e, now)
	if e.profile.Refusal.Early && wait > e.deadline.Sub(now) {
		return s.refusal(e, api.ReasonDeadline, fmt.Sprintf("estimated wait of %v exceeds the deadline", wait.Round(time.Millisecond)), now)
	}
	if e.profile.queued >= e.profile.Queue.Limit && !s.displace(e, now) {
		return s.refusal(e, api.ReasonQueueFull, fmt.Sprintf("%d jobs of profile %q are waiting", e.profile.queued, e.profile.name), now)
	}
	return nil
}

// wait estimates how long e would wait if it were queued now: by the pace of
// its team, and while that is not known by the pace of its profile. A long
// time without a start counts only if the profile starts nothing, since the
// intervals of one team vary too much for that, and it counts once: counted for
// each queued job, a pause of 0.4 s of eight busy slots refused the work of a
// team that needed 0.3 s for its whole queue.
func (s *Scheduler) wait(e *entry, now time.Time) time.Duration {
	p := e.profile
	b := p.backlogs[e.team]
	if b == nil || b.n == 0 {
		return 0
	}
	paced := time.Duration(b.n)*b.pace.gap + max(0, now.Sub(p.pace.since)-b.pace.gap)
	if b.pace.count < gapEnough {
		paced = p.pace.wait(p.ahead(b), now)
	}
	return s.shorter(paced, e, b)
}

// meanOfQuantile is the mean of run times as a share of the learned quantile:
// 0.43 for exponential and 1 for constant ones.
const meanOfQuantile = 0.5

// shorter returns the shorter of a wait estimated from the intervals between
// starts and the one that follows from the run time, with running tasks in the
// place of servers. After a stall of seconds, as when a host dies, the intervals
// alone make every queued job look that long, and work was refused that would
// have started at once. The declared run time counts until one is learned, since
// the first intervals of a profile tell as little.
func (s *Scheduler) shorter(paced time.Duration, e *entry, b *backlog) time.Duration {
	if b.running == 0 {
		return paced
	}
	run, learned := s.expected(e.service, e.team.name, e.job.RunTime)
	served := float64(b.n) * float64(run) / float64(b.running)
	if learned {
		served *= meanOfQuantile
	}
	return min(paced, time.Duration(served))
}

// displace makes room in a full queue by refusing the newest job of the team
// with the longest backlog by weight, so that one team's surge cannot keep
// the others out of the queue. It returns false if that is e's own team.
func (s *Scheduler) displace(e *entry, now time.Time) bool {
	if len(e.profile.waiting) == 0 {
		return false
	}
	longest := e.profile.waiting[0]
	own := 1.0
	if b := e.profile.backlogs[e.team]; b != nil {
		own += float64(b.n)
	}
	if longest.team == e.team || float64(longest.n)/longest.team.weight <= own/e.team.weight {
		return false
	}
	newest := s.gangs.newest(longest)
	for _, sh := range longest.team.shares {
		if sh.lane.profile == e.profile && sh.tail != nil && (newest == nil || sh.tail.enqueued.After(newest.enqueued)) {
			newest = sh.tail
		}
	}
	if newest == nil {
		return false
	}
	s.dequeue(newest)
	s.refuse(newest, s.refusal(newest, api.ReasonQueueFull, "displaced: the team has the longest backlog of a full queue", now))
	return true
}

// lacking names the resource for which no worker could ever take a member, or
// returns "". Without MaxWorkerCapacity it also tells when all workers together could
// not take the members of an all-at-once job.
func (s *Scheduler) lacking(need worker.Resources, count int) string {
	capacities := make([]worker.Capacity, 0, len(s.shapes)+1)
	room := 0
	for c, n := range s.shapes {
		capacities = append(capacities, c)
		room += n * members(need, amount{c.Resources, c.Slots})
	}
	if s.options.MaxWorkerCapacity != nil {
		capacities = append(capacities, s.options.MaxWorkerCapacity())
	}
	var most worker.Capacity
	for _, c := range capacities {
		if need.Fits(c.Resources) && c.Slots > 0 {
			if s.options.MaxWorkerCapacity == nil && room < count {
				return fmt.Sprintf("members: the job has %d and all workers together take %d", count, room)
			}
			return ""
		}
		most.Resources, most.Slots = most.Max(c.Resources), max(most.Slots, c.Slots)
	}
	switch {
	case len(capacities) == 0:
		return "" // no worker is known yet
	case need.MilliCPU > most.MilliCPU:
		return fmt.Sprintf("milli_cpu: the job needs %d and the largest worker has %d", need.MilliCPU, most.MilliCPU)
	case need.MemoryMiB > most.MemoryMiB:
		return fmt.Sprintf("memory_mib: the job needs %d and the largest worker has %d", need.MemoryMiB, most.MemoryMiB)
	case need.Accelerators > most.Accelerators:
		return fmt.Sprintf("accelerators: the job needs %d and the largest worker has %d", need.Accelerators, most.Accelerators)
	}
	return "no worker has this combination of milli_cpu, memory_mib and accelerators"
}

func sortByAge(entries []*entry) {
	sort.SliceStable(entries, func(i, j int) bool {
		if !entries[i].enqueued.Equal(entries[j].enqueued) {
			return entries[i].enqueued.Before(entries[j].enqueued)
		}
		return entries[i].job.ID < entries[j].job.ID
	})
}
