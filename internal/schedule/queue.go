package schedule

import (
	"container/heap"
	"math"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

const (
	// longRun is the expected run time from which work may not take slots
	// that are guaranteed to others. Shorter work may: the guaranteed slots
	// then come back within half of the 3.6 s in which urgent work must start.
	// Declared run times do not count here: they are often far off.
	longRunTime = 1800 * time.Millisecond
	// maxLanes bounds the distinct sizes that a profile queues separately.
	// Further sizes share a lane, where a job can wait behind a larger one.
	maxLanes = 64
	// gapWeight is the weight of the newest interval between two starts, and
	// gapEnough the number of intervals from which a team's own mean is used.
	intervalWeight = 0.1
	minIntervals   = 10
)

// profile is the state of one policy.
type profile struct {
	name string
	contract.Profile
	configured        bool
	needsAccelerators bool // its work needs accelerators
	running           int
	runningLong       int // of running: work that counted as long at its start
	queued            int
	guaranteed        int // slots of the held workers
	laneCount         int
	starts            startIntervals
	backlogHeap       backlogHeap
	backlogs          map[*team]*backlog
}

// count adds n of the charge c to what runs.
func (p *profile) countRunning(a *allocation, n int) {
	p.running += n
	if a.long {
		p.runningLong += n
	}
}

// limited reports whether the profile may not run more than its guarantee.
// A profile without a guarantee may always use idle capacity.
func (p *profile) cappedAtGuarantee() bool { return !p.Queue.Borrow && p.Queue.GuaranteedPercent > 0 }

// pace estimates waiting times from the intervals between starts.
type startIntervals struct {
	meanInterval time.Duration // exponentially weighted mean interval
	intervals    int           // intervals in gap
	lastStart    time.Time     // last start, or start of the backlog if later
}

func (s *startIntervals) record(now time.Time) {
	s.intervals++
	weight := max(intervalWeight, 1/float64(s.intervals))
	s.meanInterval += time.Duration(weight * float64(now.Sub(s.lastStart)-s.meanInterval))
	s.lastStart = now
}

// wait estimates the wait behind n queued jobs. While nothing starts the
// estimate grows with the time, but not by that time for each queued job: after
// the loss of a host hundreds of jobs arrive at once, and the few milliseconds
// until the first of them starts say nothing about the rest.
func (s *startIntervals) estimateWait(n int, now time.Time) time.Duration {
	if n == 0 {
		return 0
	}
	return time.Duration(n)*s.meanInterval + max(0, now.Sub(s.lastStart)-s.meanInterval)
}

// backlog is what one team has queued and running under one profile.
type backlog struct {
	team    *team
	running int
	queued  int
	heapPos int // in the profile's waiting heap, -1 if empty
	starts  startIntervals
}

// ahead returns how many jobs of all teams are expected to start before the
// queued jobs of b have: the teams with a backlog take turns by their weights,
// so another team's surge does not count in full.
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

// waitHeap has the longest backlog, by weight, first.
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

// laneKey tells jobs apart that may differ in whether they can be placed.
type laneKey struct {
	profile    string
	need       worker.Resources
	long       bool
	mixedSizes bool
}

// lane holds the queued jobs of one profile and size. When no worker has room
// for its size the lane is closed until one may have.
type lane struct {
	key     laneKey
	profile *profile
	// heaps hold the shares with ready work, by each of their claims.
	heaps  [2]teamQueueHeap
	closed bool
	// byLimit is set if a share or a guarantee closed the lane.
	closedByLimit bool
	// opener is the only worker that may have room for an open lane, or nil
	// if any may: since the lane was closed, only that one has freed capacity.
	onlyCandidate *heldWorker
	queueCount    int // shares with queued jobs, also those over quota
	listPos       int // in open or closed, -1 if empty
}

// entry is a queued job.
type queueEntry struct {
	job             Job
	declared        worker.Resources
	need            worker.Resources
	expectedRunTime time.Duration
	long            bool // by longRun; also work whose run time is not learned yet
	enqueued        time.Time
	deadline        time.Time
	lastPlanned     time.Time // last plan of a reservation
	team            *team
	service         *service
	profile         *profile
	backlog         *backlog
	queue           *teamQueue // nil for a gang job
	prev            *queueEntry
	next            *queueEntry
	queued          bool
	report          func(*Placement, error)
	deadlineChanged func()
}

// urgency is the priority raised by the waiting time.
func (e *queueEntry) effectivePriority(now time.Time) float64 {
	priority := float64(e.profile.Queue.Priority)
	if ageing := e.profile.Queue.AgeingMS; ageing > 0 {
		priority += now.Sub(e.enqueued).Seconds() * 1000 / float64(ageing)
	}
	return priority
}

// enqueue adds e to its lane, or to the gang queue.
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
		s.updateDominantShare(e.team) // it was not kept up to date while nothing was queued
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

// dequeue takes e out of the queue in O(log teams).
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

// refresh puts a share into its lane's heap, at its place or out of it, and
// drops the lane when it is empty.
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
		l.closed, l.closedByLimit, l.onlyCandidate = false, false, nil
		s.listLane(l)
	}
	if l.queueCount == 0 {
		delete(s.lanes, l.key)
		l.profile.laneCount--
	}
}

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

// shut closes a lane until capacity is freed for it.
func (s *Scheduler) closeLane(l *lane, byLimit bool) {
	s.unlistLane(l)
	l.closed, l.closedByLimit, l.onlyCandidate = true, byLimit, nil
	s.listLane(l)
}

// reopen opens the lanes for which n may now have room, and those that a
// limit closed.
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
		if !l.closedByLimit && (slots == 0 || !l.key.need.Fits(free.Resources)) {
			continue
		}
		candidate := w
		if l.closedByLimit || l.key.mixedSizes {
			candidate = nil
		}
		s.unlistLane(l)
		l.closed, l.closedByLimit, l.onlyCandidate = false, false, candidate
		s.listLane(l)
	}
}

// exhaust closes the lanes for which only n could have room and has none left.
func (s *Scheduler) closeExhaustedLanes(w *heldWorker) {
	free := w.free()
	slots := w.offeredSlots()
	for i := len(s.openLanes) - 1; i >= 0; i-- {
		if l := s.openLanes[i]; l.onlyCandidate == w && (slots == 0 || !l.key.need.Fits(free.Resources)) {
			s.closeLane(l, false)
		}
	}
}

// reopenAll opens every lane for every worker.
func (s *Scheduler) reopenAllLanes() {
	for len(s.closedLanes) > 0 {
		l := s.closedLanes[len(s.closedLanes)-1]
		s.unlistLane(l)
		l.closed, l.closedByLimit = false, false
		s.listLane(l)
	}
	for _, l := range s.openLanes {
		l.onlyCandidate = nil
	}
	s.gangs.dirty = true
}
