package schedule

// ConfigurationChanged makes the configuration in force apply, also to queued
// work. Queued work whose profile, service or quota is gone is refused. Only the
// queues of teams that the change concerns are built anew. The content of a
// profile decides about no job's lane, so that a change of it sets at most the
// deadlines anew.
func (s *Scheduler) ConfigurationChanged() {
	now := s.lock()
	defer s.unlock()
	var waiting []*entry
	for _, t := range s.concerned() {
		for _, sh := range t.shares {
			for e := sh.head; e != nil; e = e.next {
				waiting = append(waiting, e)
			}
		}
	}
	waiting = append(waiting, s.gangs.all()...)
	for _, e := range waiting {
		s.dequeue(e)
	}
	retimed := map[*profile]bool{}
	for _, p := range s.order {
		longest := p.Queue.MaxWaitMS
		s.configureProfile(p)
		retimed[p] = p.known && p.Queue.MaxWaitMS != longest
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
		s.rank(t)
	}
	s.retime(retimed)
	sortByAge(waiting)
	for _, e := range waiting {
		if refusal := s.prepare(e); refusal != nil {
			s.refuse(e, refusal)
			continue
		}
		s.enqueue(e, now)
		if e.rearm != nil {
			s.finished = append(s.finished, e.rearm)
		}
	}
	s.reopenAll()
	s.dispatch(now)
}

// retime follows a change of the longest wait of some profiles.
func (s *Scheduler) retime(profiles map[*profile]bool) {
	for _, t := range s.teams {
		for l, sh := range t.shares {
			if !profiles[l.profile] {
				continue
			}
			for e := sh.head; e != nil; e = e.next {
				before := e.deadline
				if e.setDeadline(); e.rearm != nil && !e.deadline.Equal(before) {
					s.finished = append(s.finished, e.rearm)
				}
			}
		}
	}
}

// concerned returns the teams whose quota, or a service of whose queued work,
// differs from the configuration in force, or of whose work a profile is gone.
func (s *Scheduler) concerned() []*team {
	c := s.configuration()
	profiles, services := map[*profile]bool{}, map[*service]bool{}
	for _, p := range s.order {
		if c != nil {
			_, ok := c.Profile(p.name)
			profiles[p] = ok != p.known
		}
	}
	for _, svc := range s.services {
		if c != nil {
			v, ok := c.Service(svc.name)
			if ok != svc.known || v != svc.Service {
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
		for _, sh := range t.shares {
			stale = stale || profiles[sh.lane.profile]
			for e := sh.head; e != nil && !stale && len(services) > 0; e = e.next {
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
	for _, n := range s.nodes {
		for _, c := range n.tasks {
			if c.service == svc.name && c.profile == from {
				from.count(c, -1)
				from.backlog(c.team).running--
				svc.profile.count(c, 1)
				svc.profile.backlog(c.team).running++
				c.profile = svc.profile
				// One team at a time, so that the heaps stay in order.
				s.rank(c.team)
			}
		}
	}
}
