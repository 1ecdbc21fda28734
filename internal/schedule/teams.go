package schedule

import (
	"time"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// team holds the quota, the usage and the queued jobs of a team on this host.
type team struct {
	name          string
	weight        float64
	quota         int // slots of the quota for all hosts, -1 if none is configured
	localQuota    int // slots of the quota that apply on this host, -1 if not set
	used          amount
	queuedMembers int
	dominantShare float64 // divided by weight
	atQuota       bool
	queues        map[*lane]*teamQueue
	// oldestGang is the oldest waiting gang job of the team. Other jobs of the
	// team leave room for it in the quota.
	oldestGang *queueEntry
}

// limit returns the number of slots that the team may use on this host.
func (t *team) limit() int {
	if t.localQuota >= 0 {
		return min(t.localQuota, t.quota)
	}
	return t.quota
}

// service is the scheduling state of one service.
type service struct {
	name string
	contract.Service
	configured bool
	profile    *profile
	queued     int
}

// configuration returns the configuration in force, or nil if there is none.
func (s *Scheduler) configuration() Configuration {
	if s.options.Configuration == nil {
		return nil
	}
	return s.options.Configuration()
}

// team returns the state of a team and creates it on first use.
func (s *Scheduler) team(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{name: name, localQuota: -1, queues: map[*lane]*teamQueue{}}
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

// service returns the state of a service and creates it on first use.
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
	svc.configured = false
	if c := s.configuration(); c != nil {
		if v, ok := c.Service(svc.name); ok {
			svc.Service, svc.configured = v, true
		}
	}
	svc.profile = s.profile(svc.Service.Profile)
}

// profile returns the state of a profile and creates it on first use.
func (s *Scheduler) profile(name string) *profile {
	p := s.profiles[name]
	if p == nil {
		p = &profile{name: name, backlogs: map[*team]*backlog{}}
		s.profiles[name] = p
		s.profileOrder = append(s.profileOrder, p)
		s.configureProfile(p)
	}
	return p
}

func (s *Scheduler) configureProfile(p *profile) {
	p.configured = false
	if c := s.configuration(); c != nil {
		if v, ok := c.Profile(p.name); ok {
			p.Profile, p.configured = v, true
		}
	}
	p.guaranteed = s.allPool.total.slots * p.Queue.GuaranteedPercent / 100
}

// addTeamUsage changes the usage of a team and updates the order of its queues.
func (s *Scheduler) addTeamUsage(t *team, delta worker.Resources, slots int) {
	t.used = t.used.add(delta, slots)
	s.updateDominantShare(t)
}

// updateDominantShare computes the weighted dominant share of a team and whether
// it is at its quota, and updates the order of its queues.
func (s *Scheduler) updateDominantShare(t *team) {
	fraction := func(used, total int64) float64 {
		if total <= 0 {
			return 0
		}
		return float64(used) / float64(total)
	}
	t.dominantShare = max(
		fraction(t.used.MilliCPU, s.allPool.total.MilliCPU),
		fraction(t.used.MemoryMiB, s.allPool.total.MemoryMiB),
		fraction(t.used.Accelerators, s.allPool.total.Accelerators),
		fraction(int64(t.used.slots), int64(s.allPool.total.slots)),
	) / t.weight
	reservedForGang := 0
	if t.oldestGang != nil && t.oldestGang.job.Members <= t.limit() {
		reservedForGang = t.oldestGang.job.Members
	}
	t.atQuota = t.used.slots+reservedForGang >= t.limit()
	for _, q := range t.queues {
		s.updateQueue(q)
	}
}

// capacityChanged updates guarantees and dominant shares after a change of the
// held capacity.
func (s *Scheduler) capacityChanged() {
	for _, p := range s.profileOrder {
		p.guaranteed = s.allPool.total.slots * p.Queue.GuaranteedPercent / 100
	}
	for _, t := range s.teams {
		if t.queuedMembers > 0 {
			s.updateDominantShare(t)
		}
	}
}

// SetLocalQuota sets the number of slots of a team's quota that apply on this
// host; with a negative number the whole quota applies.
func (s *Scheduler) SetLocalQuota(name string, slots int) {
	now := s.lock()
	defer s.unlock()
	t := s.team(name)
	t.localQuota = max(slots, -1)
	s.updateDominantShare(t)
	s.gangs.dirty = true
	s.dispatch(now)
}

// Demand is the number of slots that a team uses and waits for on this host.
type Demand struct {
	Running int
	Queued  int
}

// Demand returns the demand of each team with running or queued work, by name.
func (s *Scheduler) Demand() map[string]Demand {
	s.lock()
	defer s.unlock()
	demand := map[string]Demand{}
	for name, t := range s.teams {
		if t.used.slots > 0 || t.queuedMembers > 0 {
			demand[name] = Demand{Running: t.used.slots, Queued: t.queuedMembers}
		}
	}
	return demand
}

// expectedRunTime returns the run time to plan with and whether it is an estimate
// from past tasks. It prefers the estimate for the service and team, then that for
// the service, then the declared run time of the job, then that of the service,
// then one hour.
func (s *Scheduler) expectedRunTime(svc *service, team string, declared time.Duration) (time.Duration, bool) {
	if d, ok := s.history.estimateRunTime(svc.name, team); ok {
		return d, true
	}
	if d, ok := s.history.estimateRunTime(svc.name, ""); ok {
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
