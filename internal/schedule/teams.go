package schedule

import (
	"time"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// team is what a team uses and may use on this host.
type team struct {
	name   string
	weight float64
	quota  int // slots of the whole quota, -1 if none is configured
	part   int // this host's part, -1 if not set
	used   amount
	queued int     // members
	key    float64 // weighted dominant share
	capped bool
	shares map[*lane]*share
	// gang is the team's oldest waiting gang job, for which other work of the
	// team leaves room in the quota.
	gang *entry
}

// limit returns the slots that the team may use on this host.
func (t *team) limit() int {
	if t.part >= 0 {
		return min(t.part, t.quota)
	}
	return t.quota
}

// service is the state of a named kind of work.
type service struct {
	name string
	contract.Service
	known   bool
	profile *profile
	queued  int
}

func (s *Scheduler) configuration() Configuration {
	if s.options.Configuration == nil {
		return nil
	}
	return s.options.Configuration()
}

func (s *Scheduler) team(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{name: name, part: -1, shares: map[*lane]*share{}}
		s.teams[name] = t
		s.configureTeam(t)
	}
	return t
}

func (s *Scheduler) configureTeam(t *team) {
	t.quota, t.weight = -1, 1
	if c := s.configuration(); c != nil {
		if q, ok := c.Quota(t.name); ok {
			t.quota, t.weight = q.Slots, float64(max(q.Weight, 1))
		}
	}
}

func (s *Scheduler) service(name string) *service {
	svc := s.services[name]
	if svc == nil {
		svc = &service{name: name}
		s.services[name] = svc
		s.configureService(svc)
	}
	return svc
}

func (s *Scheduler) configureService(svc *service) {
	svc.known = false
	if c := s.configuration(); c != nil {
		if v, ok := c.Service(svc.name); ok {
			svc.Service, svc.known = v, true
		}
	}
	svc.profile = s.profile(svc.Service.Profile)
}

func (s *Scheduler) profile(name string) *profile {
	p := s.profiles[name]
	if p == nil {
		p = &profile{name: name, backlogs: map[*team]*backlog{}}
		s.profiles[name] = p
		s.order = append(s.order, p)
		s.configureProfile(p)
	}
	return p
}

func (s *Scheduler) configureProfile(p *profile) {
	p.known = false
	if c := s.configuration(); c != nil {
		if v, ok := c.Profile(p.name); ok {
			p.Profile, p.known = v, true
		}
	}
	p.guaranteed = s.all.total.slots * p.Queue.GuaranteedPercent / 100
}

// use changes what a team uses and its place in the queues.
func (s *Scheduler) use(t *team, delta worker.Resources, slots int) {
	t.used = t.used.add(delta, slots)
	s.rank(t)
}

// rank computes the weighted dominant share of a team and reorders its queues.
func (s *Scheduler) rank(t *team) {
	share := func(used, total int64) float64 {
		if total <= 0 {
			return 0
		}
		return float64(used) / float64(total)
	}
	t.key = max(
		share(t.used.MilliCPU, s.all.total.MilliCPU),
		share(t.used.MemoryMiB, s.all.total.MemoryMiB),
		share(t.used.Accelerators, s.all.total.Accelerators),
		share(int64(t.used.slots), int64(s.all.total.slots)),
	) / t.weight
	kept := 0
	if t.gang != nil && t.gang.job.Members <= t.limit() {
		kept = t.gang.job.Members
	}
	t.capped = t.used.slots+kept >= t.limit()
	for _, sh := range t.shares {
		s.refresh(sh)
	}
}

// totalsChanged follows a change of the held capacity.
func (s *Scheduler) totalsChanged() {
	for _, p := range s.order {
		p.guaranteed = s.all.total.slots * p.Queue.GuaranteedPercent / 100
	}
	for _, t := range s.teams {
		if t.queued > 0 {
			s.rank(t)
		}
	}
}

// SetLocalQuota sets this host's part of a team's quota in slots; a negative
// number makes the whole quota apply.
func (s *Scheduler) SetLocalQuota(name string, slots int) {
	now := s.lock()
	defer s.unlock()
	t := s.team(name)
	t.part = max(slots, -1)
	s.rank(t)
	s.gangs.dirty = true
	s.dispatch(now)
}

// Demand is what a team uses and waits for on this host, in slots.
type Demand struct {
	Running int
	Queued  int
}

// Demand returns the demand of each team that has any.
func (s *Scheduler) Demand() map[string]Demand {
	s.lock()
	defer s.unlock()
	demand := map[string]Demand{}
	for name, t := range s.teams {
		if t.used.slots > 0 || t.queued > 0 {
			demand[name] = Demand{Running: t.used.slots, Queued: t.queued}
		}
	}
	return demand
}

// expected returns the run time to plan with and whether it is learned: that
// of the service and team, else that of the service, else the declared one,
// else an hour.
func (s *Scheduler) expected(svc *service, team string, declared time.Duration) (time.Duration, bool) {
	if d, ok := s.learned.runTime(svc.name, team); ok {
		return d, true
	}
	if d, ok := s.learned.runTime(svc.name, ""); ok {
		return d, true
	}
	if declared > 0 {
		return declared, false
	}
	if svc.RunTimeMS > 0 {
		return time.Duration(svc.RunTimeMS) * time.Millisecond, false
	}
	return time.Hour, false
}
