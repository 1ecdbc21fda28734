package schedule

import "time"

// maxMoves bounds the jobs that one Tick moves between lanes, so that a long
// queue does not hold the lock for long.
const maxMoves = 128

// relearn moves queued jobs between the lanes of long and short work when what
// is learned of their run time has changed. Limits hold long work only, so that
// a job that was queued before its run time was known waited behind all short
// work, up to its deadline. Only the oldest jobs of each team are looked at, as
// only they can start.
func (s *Scheduler) relearn() {
	for e := s.gangs.head; e != nil; e = e.next {
		e.expected, e.long = s.classify(e)
	}
	var stale []*share
	for _, l := range s.lanes {
		for _, sh := range l.heaps[overall].items {
			if s.outdated(sh.head) {
				stale = append(stale, sh)
			}
		}
	}
	moves := maxMoves
	for _, sh := range stale {
		for ; moves > 0 && sh.head != nil && s.outdated(sh.head); moves-- {
			e := sh.head
			s.unlink(e)
			e.expected, e.long = s.classify(e)
			s.link(e)
		}
	}
}

// classify returns the run time to plan with and whether it counts as long.
func (s *Scheduler) classify(e *entry) (expected time.Duration, long bool) {
	expected, known := s.expected(e.service, e.job.Team, e.job.RunTime)
	return expected, !known || expected >= longRun
}

func (s *Scheduler) outdated(e *entry) bool {
	_, long := s.classify(e)
	return long != e.long
}

// link adds e to its share, by age: only a job that moves between lanes is
// older than others there.
func (s *Scheduler) link(e *entry) {
	l := s.lane(e)
	sh := e.team.shares[l]
	if sh == nil {
		sh = &share{team: e.team, lane: l, backlog: e.backlog, pos: [2]int{-1, -1}}
		l.used++
		e.team.shares[l] = sh
	}
	e.share, e.prev = sh, sh.tail
	for e.prev != nil && e.prev.enqueued.After(e.enqueued) {
		e.prev = e.prev.prev
	}
	if e.prev == nil {
		e.next, sh.head = sh.head, e
	} else {
		e.next, e.prev.next = e.prev.next, e
	}
	if e.next == nil {
		sh.tail = e
	} else {
		e.next.prev = e
	}
	s.refresh(sh)
}

// unlink takes e out of its share.
func (s *Scheduler) unlink(e *entry) {
	sh := e.share
	if e.prev == nil {
		sh.head = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		sh.tail = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.prev, e.next = nil, nil
	s.refresh(sh)
}

// lane returns the lane of e, which it creates if needed.
func (s *Scheduler) lane(e *entry) *lane {
	key := laneKey{profile: e.profile.name, need: e.need, long: e.long}
	l := s.lanes[key]
	if l == nil && e.profile.lanes >= maxLanes {
		key = laneKey{profile: e.profile.name, long: key.long, mixed: true}
		l = s.lanes[key]
	}
	if l == nil {
		l = &lane{key: key, profile: e.profile, pos: -1}
		l.heaps[inProfile].claim = inProfile
		s.lanes[key] = l
		e.profile.lanes++
	}
	return l
}
