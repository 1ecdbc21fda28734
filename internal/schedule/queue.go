package schedule

import (
	"container/heap"
	"math"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

const (
	// longRunTime is the estimated run time from which work may not use slots
	// that are guaranteed to others. Shorter work may, because the guaranteed
	// slots are free again within half of the 3.6 s in which urgent work must
	// start. Declared run times are not used here: they are often far off.
	longRunTime = 1800 * time.Millisecond
	// maxLanes bounds the number of lanes of a profile with a single task size.
	// Jobs of further sizes share one lane for long and one for short work, in
	// which a job can wait behind a larger one.
	maxLanes = 64
	// intervalWeight is the weight of the newest interval between two starts in
	// the mean, minIntervals the number of intervals from which the mean of a
	// single team is used.
	intervalWeight = 0.1
	minIntervals   = 10
)

// profile is the scheduling state of one profile.
type profile struct {
	name string
	contract.Profile
	configured        bool
	needsAccelerators bool // whether the job of the profile that was resolved last needs accelerators
	running           int  // allocations, including those of tasks not yet started
	runningLong       int  // those of running that counted as long at their start
	queued            int  // queued jobs, each counted once regardless of its members
	guaranteed        int  // guaranteed slots on the held workers
	laneCount         int
	starts            startIntervals
	backlogHeap       backlogHeap
	backlogs          map[*team]*backlog
}

// countRunning adds n to the number of running tasks and, if a counts as long, to
// the number of those that are long.
func (p *profile) countRunning(a *allocation, n int) {
	p.running += n
	if a.long {
		p.runningLong += n
	}
}

// cappedAtGuarantee reports whether the profile may not use more than its
// guarantee. A profile without a guarantee may always use idle capacity.
func (p *profile) cappedAtGuarantee() bool { return !p.Queue.Borrow && p.Queue.GuaranteedPercent > 0 }

// startIntervals estimates waiting times from the intervals between starts.
type startIntervals struct {
	meanInterval time.Duration // exponentially weighted mean interval
	intervals    int           // number of intervals in meanInterval
	lastStart    time.Time     // or the time when the queue became nonempty, if later
}

func (s *startIntervals) record(now time.Time) {
	s.intervals++
	weight := max(intervalWeight, 1/float64(s.intervals))
	s.meanInterval += time.Duration(weight * float64(now.Sub(s.lastStart)-s.meanInterval))
	s.lastStart = now
}

// estimateWait estimates the wait behind n queued jobs. While no job starts, the
// time since the last start beyond the mean interval is added once and not for
// each queued job: after the loss of a host hundreds of jobs arrive at once, and
// the few milliseconds until the first of them starts say nothing about the others.
func (s *startIntervals) estimateWait(n int, now time.Time) time.Duration {
	if n == 0 {
		return 0
	}
	return time.Duration(n)*s.meanInterval + max(0, now.Sub(s.lastStart)-s.meanInterval)
}

// backlog counts the queued jobs and running tasks of one team under one profile.
type backlog struct {
	team    *team
	running int
	queued  int
	heapPos int // in profile.backlogHeap, -1 if no job is queued
	starts  startIntervals
}

// jobsAhead returns how many jobs of all teams are expected to start until all
// queued jobs of b have started. The teams with a backlog take turns in
// proportion to their weights, so a surge of another team does not count in full.
func (p *profile) jobsAhead(b *backlog) int {
	total := 0.0
	for _, other := range p.backlogHeap {
		total += other.team.weight
	}
	return min(p.queued, int(math.Ceil(float64(b.queued)*total/b.team.weight)))
}

func (p *profile) backlog(t *team) *backlog {
	b := p.backlogs[t]
	if b == nil {
		b = &backlog{team: t, heapPos: -1}
		p.backlogs[t] = b
	}
	return b
}

// backlogHeap is a heap with the longest backlog relative to the team weight first.
type backlogHeap []*backlog

func (h backlogHeap) Len() int { return len(h) }
func (h backlogHeap) Less(i, j int) bool {
	return float64(h[i].queued)/h[i].team.weight > float64(h[j].queued)/h[j].team.weight
}
func (h backlogHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].heapPos, h[j].heapPos = i, j }
func (h *backlogHeap) Push(x any)   { b := x.(*backlog); b.heapPos = len(*h); *h = append(*h, b) }
func (h *backlogHeap) Pop() any {
	old := *h
	b := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	b.heapPos = -1
	return b
}

// laneKey identifies a lane. Its fields decide whether the guaranteed shares and
// the free capacity of a worker allow a job to start.
type laneKey struct {
	profile    string
	need       worker.Resources
	long       bool
	mixedSizes bool // the lane of all sizes beyond maxLanes; need is zero
}

// lane holds the queued jobs of one profile and task size that are all long or
// all short. A job is ready unless its team is at its quota. When no worker has
// room for the size, the lane is closed until one may have room again.
type lane struct {
	key     laneKey
	profile *profile
	// heaps hold the team queues with ready jobs, one heap for each order:
	// byDominantShare and byProfileSlots.
	heaps  [2]teamQueueHeap
	closed bool
	// closedByPolicy is set if the lane was closed because withinShares did not
	// allow its next job to start or for a reason listed at
	// Scheduler.excludedByPolicy, and not only for lack of room.
	closedByPolicy bool
	// onlyCandidate is the only worker that may have room for an open lane: no other
	// worker has freed capacity since the lane was closed. It is nil if any worker
	// may have room.
	onlyCandidate *heldWorker
	queueCount    int // team queues with queued jobs, including those of teams at their quota
	listPos       int // in Scheduler.openLanes or closedLanes, -1 if no job is ready
}

// queueEntry is a job that is queued or about to be placed.
type queueEntry struct {
	job             Job
	declared        worker.Resources
	need            worker.Resources // size to allocate for each member, see plannedSize
	expectedRunTime time.Duration
	long            bool // by longRunTime; also set while no run time estimate exists
	enqueued        time.Time
	deadline        time.Time
	lastPlanned     time.Time // time of the last attempt to plan a reservation
	team            *team
	service         *service
	profile         *profile
	backlog         *backlog
	queue           *teamQueue // nil for a gang job
	prev            *queueEntry
	next            *queueEntry
	queued          bool
	report          func(*Placement, error) // called once without the lock; see Submit
	deadlineChanged func()                  // called without the lock when deadline may have changed; nil if not needed
}

// effectivePriority is the priority increased by ageing.
func (e *queueEntry) effectivePriority(now time.Time) float64 {
	priority := float64(e.profile.Queue.Priority)
	if ageing := e.profile.Queue.AgeingMS; ageing > 0 {
		priority += now.Sub(e.enqueued).Seconds() * 1000 / float64(ageing)
	}
	return priority
}

// enqueue adds e to its lane, or to the gang queue if it has several members.
func (s *Scheduler) enqueue(e *queueEntry, now time.Time) {
	e.queued = true
	b := e.profile.backlog(e.team)
	e.backlog = b
	if b.queued == 0 {
		b.starts.lastStart = now
	}
	if e.profile.queued == 0 {
		e.profile.starts.lastStart = now
	}
	b.queued++
	e.profile.queued++
	e.service.queued++
	if e.team.queuedMembers += e.job.Members; e.team.queuedMembers == e.job.Members {
		s.updateDominantShare(e.team) // it is not updated while no job is queued
	}
	if b.heapPos < 0 {
		heap.Push(&e.profile.backlogHeap, b)
	} else {
		heap.Fix(&e.profile.backlogHeap, b.heapPos)
	}
	if e.job.Members > 1 {
		s.gangs.push(s, e)
		return
	}
	s.addToLane(e)
}

// dequeue removes e from the queue in O(log teams).
func (s *Scheduler) dequeue(e *queueEntry) {
	e.queued = false
	b := e.backlog
	b.queued--
	e.profile.queued--
	e.service.queued--
	e.team.queuedMembers -= e.job.Members
	if b.queued == 0 {
		heap.Remove(&e.profile.backlogHeap, b.heapPos)
	} else {
		heap.Fix(&e.profile.backlogHeap, b.heapPos)
	}
	if r := s.gangs.reservation; r != nil && r.entry == e {
		s.gangs.dropReservation(s)
	}
	if e.job.Members > 1 {
		s.gangs.remove(s, e)
		return
	}
	s.removeFromLane(e)
}

// updateQueue adds a team queue to the heaps of its lane, fixes its position there
// or removes it, depending on whether it has a job that the quota allows. It
// deletes the team queue and the lane when they are empty.
func (s *Scheduler) updateQueue(q *teamQueue) {
	l := q.lane
	ready := q.head != nil && !q.team.atQuota
	for i := range l.heaps {
		switch {
		case ready && q.heapPos[i] < 0:
			heap.Push(&l.heaps[i], q)
		case ready:
			heap.Fix(&l.heaps[i], q.heapPos[i])
		case q.heapPos[i] >= 0:
			heap.Remove(&l.heaps[i], q.heapPos[i])
		}
	}
	if q.head == nil {
		delete(q.team.queues, l)
		l.queueCount--
	}
	if l.heaps[0].Len() == 0 && l.listPos >= 0 {
		s.unlistLane(l)
	}
	if l.heaps[0].Len() > 0 && l.listPos < 0 {
		l.closed, l.closedByPolicy, l.onlyCandidate = false, false, nil
		s.listLane(l)
	}
	if l.queueCount == 0 {
		delete(s.lanes, l.key)
		l.profile.laneCount--
	}
}

// listLane adds a lane with ready jobs to openLanes or closedLanes.
func (s *Scheduler) listLane(l *lane) {
	to := &s.openLanes
	if l.closed {
		to = &s.closedLanes
	}
	l.listPos = len(*to)
	*to = append(*to, l)
	if l.key.need.Accelerators > 0 {
		s.readyAccelLanes++
	}
}

// unlistLane removes a lane from openLanes or closedLanes.
func (s *Scheduler) unlistLane(l *lane) {
	from := &s.openLanes
	if l.closed {
		from = &s.closedLanes
	}
	last := (*from)[len(*from)-1]
	(*from)[l.listPos], last.listPos = last, l.listPos
	(*from)[len(*from)-1] = nil
	*from = (*from)[:len(*from)-1]
	l.listPos = -1
	if l.key.need.Accelerators > 0 {
		s.readyAccelLanes--
	}
}

// closeLane closes a lane until capacity for it is freed. byPolicy is stored in
// the lane's closedByPolicy.
func (s *Scheduler) closeLane(l *lane, byPolicy bool) {
	s.unlistLane(l)
	l.closed, l.closedByPolicy, l.onlyCandidate = true, byPolicy, nil
	s.listLane(l)
}

// reopenLanes opens the closed lanes for which w may now have room, and those
// whose closedByPolicy is set.
func (s *Scheduler) reopenLanes(w *heldWorker) {
	free := w.free()
	slots := w.offeredSlots()
	for _, l := range s.openLanes {
		if l.onlyCandidate != w {
			l.onlyCandidate = nil
		}
	}
	for i := len(s.closedLanes) - 1; i >= 0; i-- {
		l := s.closedLanes[i]
		if !l.closedByPolicy && (slots == 0 || !l.key.need.Fits(free.Resources)) {
			continue
		}
		candidate := w
		if l.closedByPolicy || l.key.mixedSizes {
			candidate = nil
		}
		s.unlistLane(l)
		l.closed, l.closedByPolicy, l.onlyCandidate = false, false, candidate
		s.listLane(l)
	}
}

// closeExhaustedLanes closes the lanes for which only w could have room once it has
// none left.
func (s *Scheduler) closeExhaustedLanes(w *heldWorker) {
	free := w.free()
	slots := w.offeredSlots()
	for i := len(s.openLanes) - 1; i >= 0; i-- {
		if l := s.openLanes[i]; l.onlyCandidate == w && (slots == 0 || !l.key.need.Fits(free.Resources)) {
			s.closeLane(l, false)
		}
	}
}

// reopenAllLanes opens all lanes, with every worker as a candidate.
func (s *Scheduler) reopenAllLanes() {
	for len(s.closedLanes) > 0 {
		l := s.closedLanes[len(s.closedLanes)-1]
		s.unlistLane(l)
		l.closed, l.closedByPolicy = false, false
		s.listLane(l)
	}
	for _, l := range s.openLanes {
		l.onlyCandidate = nil
	}
	s.gangs.dirty = true
}
