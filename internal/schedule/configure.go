package schedule

// ConfigurationChanged applies the configuration in force, also to queued jobs.
// Queued jobs whose profile, service or quota no longer exists are refused. Only
// the gang queue and the queues of the affected teams are rebuilt. The settings of
// a profile do not determine the lane of a job, so a change to them requires at
// most an update of the deadlines.
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

// updateDeadlines applies a change of the maximum wait to the jobs in the lanes of
// the given profiles.
func (s *Scheduler) updateDeadlines(maxWaitChanged map[*profile]bool) {
	for _, t := range s.teams {
		for l, q := range t.queues {
			if !maxWaitChanged[l.profile] {
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

// affectedTeams returns the teams whose quota or weight changed, those with
// queued jobs of a service that changed, and those with queued jobs of a profile
// that was added or removed. Without a configuration it returns all teams.
func (s *Scheduler) affectedTeams() []*team {
	c := s.configuration()
	addedOrRemovedProfiles, changedServices := map[*profile]bool{}, map[*service]bool{}
	for _, p := range s.profileOrder {
		if c != nil {
			_, ok := c.Profile(p.name)
			addedOrRemovedProfiles[p] = ok != p.configured
		}
	}
	for _, svc := range s.services {
		if c != nil {
			v, ok := c.Service(svc.name)
			if ok != svc.configured || v != svc.Service {
				changedServices[svc] = true
			}
		}
	}
	var teams []*team
	for _, t := range s.teams {
		affected := c == nil
		if !affected {
			q, ok := c.Quota(t.name)
			affected = !ok || q.Slots != t.quota || float64(max(q.Weight, 1)) != t.weight
		}
		for _, q := range t.queues {
			affected = affected || addedOrRemovedProfiles[q.lane.profile]
			for e := q.head; e != nil && !affected && len(changedServices) > 0; e = e.next {
				affected = changedServices[e.service]
			}
		}
		if affected {
			teams = append(teams, t)
		}
	}
	return teams
}

// moveRunning moves the running tasks of a service from the counts of its
// former profile to those of its new one.
func (s *Scheduler) moveRunning(svc *service, from *profile) {
	for _, w := range s.workers {
		for _, a := range w.tasks {
			if a.service == svc.name && a.profile == from {
				from.countRunning(a, -1)
				from.backlog(a.team).running--
				svc.profile.countRunning(a, 1)
				svc.profile.backlog(a.team).running++
				a.profile = svc.profile
				// The heaps must be reordered after a change for one team,
				// before the keys of another team change.
				s.updateDominantShare(a.team)
			}
		}
	}
}
