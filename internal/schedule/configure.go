package schedule

// ConfigurationChanged makes the configuration in force apply, also to queued
// work. Queued work whose profile, service or quota is gone is refused. Only the
// queues of teams that the change concerns are built anew. The content of a
// profile decides about no job's lane, so that a change of it sets at most the
// deadlines anew.
func (s *Scheduler) ConfigurationChanged() {
	now := s.lock()
	defer s.unlock()
	var waiting []*queueEntry
	for _, t := range s.affectedTeams() {
		for _, q := range t.queues {
			for e := q.head; e != nil; e = e.next {
				waiting = append(waiting, e)
			}
		}
	}
	waiting = append(waiting, s.gangs.entries()...)
	for _, e := range waiting {
		s.dequeue(e)
	}
	maxWaitChanged := map[*profile]bool{}
	for _, p := range s.profileOrder {
		oldMaxWait := p.Queue.MaxWaitMS
		s.configureProfile(p)
		maxWaitChanged[p] = p.configured && p.Queue.MaxWaitMS != oldMaxWait
	}
	if s.options.ProfileNames != nil {
		for _, name := range s.options.ProfileNames() {
			s.profile(name)
		}
	}
	for _, svc := range s.services {
		old := svc.profile
		s.configureService(svc)
		if svc.profile != old {
			s.moveRunning(svc, old)
		}
	}
	for _, t := range s.teams {
		s.configureTeam(t)
		s.updateDominantShare(t)
	}
	s.updateDeadlines(maxWaitChanged)
	sortByAge(waiting)
	for _, e := range waiting {
		if refusal := s.resolve(e); refusal != nil {
			s.reportRefusal(e, refusal)
			continue
		}
		s.enqueue(e, now)
		if e.deadlineChanged != nil {
			s.callbacks = append(s.callbacks, e.deadlineChanged)
		}
	}
	s.reopenAllLanes()
	s.dispatch(now)
}

// retime follows a change of the longest wait of some profiles.
func (s *Scheduler) updateDeadlines(profiles map[*profile]bool) {
	for _, t := range s.teams {
		for l, q := range t.queues {
			if !profiles[l.profile] {
				continue
			}
			for e := q.head; e != nil; e = e.next {
				before := e.deadline
				if e.setDeadline(); e.deadlineChanged != nil && !e.deadline.Equal(before) {
					s.callbacks = append(s.callbacks, e.deadlineChanged)
				}
			}
		}
	}
}

// concerned returns the teams whose quota, or a service of whose queued work,
// differs from the configuration in force, or of whose work a profile is gone.
func (s *Scheduler) affectedTeams() []*team {
	c := s.configuration()
	profiles, services := map[*profile]bool{}, map[*service]bool{}
	for _, p := range s.profileOrder {
		if c != nil {
			_, ok := c.Profile(p.name)
			profiles[p] = ok != p.configured
		}
	}
	for _, svc := range s.services {
		if c != nil {
			v, ok := c.Service(svc.name)
			if ok != svc.configured || v != svc.Service {
				services[svc] = true
			}
		}
	}
	var teams []*team
	for _, t := range s.teams {
		stale := c == nil
		if !stale {
			q, ok := c.Quota(t.name)
			stale = !ok || q.Slots != t.quota || float64(max(q.Weight, 1)) != t.weight
		}
		for _, q := range t.queues {
			stale = stale || profiles[q.lane.profile]
			for e := q.head; e != nil && !stale && len(services) > 0; e = e.next {
				stale = services[e.service]
			}
		}
		if stale {
			teams = append(teams, t)
		}
	}
	return teams
}

// moveRunning counts the running tasks of a service under its new profile.
func (s *Scheduler) moveRunning(svc *service, from *profile) {
	for _, w := range s.workers {
		for _, a := range w.tasks {
			if a.service == svc.name && a.profile == from {
				from.countRunning(a, -1)
				from.backlog(a.team).running--
				svc.profile.countRunning(a, 1)
				svc.profile.backlog(a.team).running++
				a.profile = svc.profile
				// One team at a time, so that the heaps stay in order.
				s.updateDominantShare(a.team)
			}
		}
	}
}
