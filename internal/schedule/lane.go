package schedule

import "time"

// maxLaneMoves bounds the number of jobs that one Tick moves between lanes, which
// limits the time for which the lock is held with a long queue.
const maxLaneMoves = 128

// reclassify moves queued jobs between the lanes of long and short work when the
// estimate of their run time has changed. The guarantees of others limit long
// work only: without this, a job that was queued before its run time was known
// waited behind all short work, up to its deadline. Only the oldest jobs of each
// team are checked, as only they can start.
func (s *Scheduler) reclassify() {
	for e := s.gangs.head; e != nil; e = e.next {
		e.expectedRunTime, e.long = s.classify(e)
	}
	var stale []*teamQueue
	for _, l := range s.lanes {
		for _, q := range l.heaps[byDominantShare].items {
			if s.misclassified(q.head) {
				stale = append(stale, q)
			}
		}
	}
	moves := maxLaneMoves
	for _, q := range stale {
		for ; moves > 0 && q.head != nil && s.misclassified(q.head); moves-- {
			e := q.head
			s.removeFromLane(e)
			e.expectedRunTime, e.long = s.classify(e)
			s.addToLane(e)
		}
	}
}

// classify returns the run time to plan with and whether the job counts as long
// work.
func (s *Scheduler) classify(e *queueEntry) (expected time.Duration, long bool) {
	expected, known := s.expectedRunTime(e.service, e.job.Team, e.job.RunTime)
	return expected, !known || expected >= longRunTime
}

func (s *Scheduler) misclassified(e *queueEntry) bool {
	_, long := s.classify(e)
	return long != e.long
}

// addToLane adds e to its team's queue in its lane, in order of age. Only a job
// that moves between lanes can be older than the jobs already in the queue.
func (s *Scheduler) addToLane(e *queueEntry) {
	l := s.laneFor(e)
	q := e.team.queues[l]
	if q == nil {
		q = &teamQueue{team: e.team, lane: l, backlog: e.backlog, heapPos: [2]int{-1, -1}}
		l.queueCount++
		e.team.queues[l] = q
	}
	e.queue, e.prev = q, q.tail
	for e.prev != nil && e.prev.enqueued.After(e.enqueued) {
		e.prev = e.prev.prev
	}
	if e.prev == nil {
		e.next, q.head = q.head, e
	} else {
		e.next, e.prev.next = e.prev.next, e
	}
	if e.next == nil {
		q.tail = e
	} else {
		e.next.prev = e
	}
	s.updateQueue(q)
}

// removeFromLane removes e from its queue.
func (s *Scheduler) removeFromLane(e *queueEntry) {
	q := e.queue
	if e.prev == nil {
		q.head = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		q.tail = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.prev, e.next = nil, nil
	s.updateQueue(q)
}

// laneFor returns the lane of e and creates it if it does not exist.
func (s *Scheduler) laneFor(e *queueEntry) *lane {
	key := laneKey{profile: e.profile.name, need: e.need, long: e.long}
	l := s.lanes[key]
	if l == nil && e.profile.laneCount >= maxLanes {
		key = laneKey{profile: e.profile.name, long: key.long, mixedSizes: true}
		l = s.lanes[key]
	}
	if l == nil {
		l = &lane{key: key, profile: e.profile, listPos: -1}
		l.heaps[byProfileSlots].order = byProfileSlots
		s.lanes[key] = l
		e.profile.laneCount++
	}
	return l
}
