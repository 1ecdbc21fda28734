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
	longRun = 1800 * time.Millisecond
	// maxLanes bounds the distinct sizes that a profile queues separately.
	// Further sizes share a lane, where a job can wait behind a larger one.
	maxLanes = 64
	// gapWeight is the weight of the newest interval between two starts, and
	// gapEnough the number of intervals from which a team's own mean is used.
	gapWeight = 0.1
	gapEnough = 10
)

// profile is the state of one policy.
type profile struct {
	name string
	contract.Profile
	known      bool
	accel      bool // its work needs accelerators
	running    int
	long       int // of running: work that counted as long at its start
	queued     int
	guaranteed int // slots of the held workers
	lanes      int
	pace       pace
	waiting    waitHeap
	backlogs   map[*team]*backlog
}

// count adds n of the charge c to what runs.
func (p *profile) count(c *charge, n int) {
	p.running += n
	if c.long {
		p.long += n
	}
}

// limited reports whether the profile may not run more than its guarantee.
// A profile without a guarantee may always use idle capacity.
func (p *profile) limited() bool { return !p.Queue.Borrow && p.Queue.GuaranteedPercent > 0 }

// pace estimates waiting times from the intervals between starts.
type pace struct {
	gap   time.Duration // exponentially weighted mean interval
	count int           // intervals in gap
	since time.Time     // last start, or start of the backlog if later
}

func (p *pace) started(now time.Time) {
	p.count++
	weight := max(gapWeight, 1/float64(p.count))
	p.gap += time.Duration(weight * float64(now.Sub(p.since)-p.gap))
	p.since = now
}

// wait estimates the wait behind n queued jobs. While nothing starts the
// estimate grows with the time, but not by that time for each queued job: after
// the loss of a host hundreds of jobs arrive at once, and the few milliseconds
// until the first of them starts say nothing about the rest.
func (p *pace) wait(n int, now time.Time) time.Duration {
	if n == 0 {
		return 0
	}
	return time.Duration(n)*p.gap + max(0, now.Sub(p.since)-p.gap)
}

// backlog is what one team has queued and running under one profile.
type backlog struct {
	team    *team
	running int
	n       int
	pos     int // in the profile's waiting heap, -1 if empty
	pace    pace
}

// ahead returns how many jobs of all teams are expected to start before the
// queued jobs of b have: the teams with a backlog take turns by their weights,
// so another team's surge does not count in full.
func (p *profile) ahead(b *backlog) int {
	total := 0.0
	for _, other := range p.waiting {
		total += other.team.weight
	}
	return min(p.queued, int(math.Ceil(float64(b.n)*total/b.team.weight)))
}

func (p *profile) backlog(t *team) *backlog {
	b := p.backlogs[t]
	if b == nil {
		b = &backlog{team: t, pos: -1}
		p.backlogs[t] = b
	}
	return b
}

// waitHeap has the longest backlog, by weight, first.
type waitHeap []*backlog

func (h waitHeap) Len() int { return len(h) }
func (h waitHeap) Less(i, j int) bool {
	return float64(h[i].n)/h[i].team.weight > float64(h[j].n)/h[j].team.weight
}
func (h waitHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].pos, h[j].pos = i, j }
func (h *waitHeap) Push(x any)   { b := x.(*backlog); b.pos = len(*h); *h = append(*h, b) }
func (h *waitHeap) Pop() any {
	old := *h
	b := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	b.pos = -1
	return b
}

// laneKey tells jobs apart that may differ in whether they can be placed.
type laneKey struct {
	profile string
	need    worker.Resources
	long    bool
	mixed   bool
}

// lane holds the queued jobs of one profile and size. When no worker has room
// for its size the lane is closed until one may have.
type lane struct {
	key     laneKey
	profile *profile
	// heaps hold the shares with ready work, by each of their claims.
	heaps  [2]shareHeap
	closed bool
	// byLimit is set if a share or a guarantee closed the lane.
	byLimit bool
	// opener is the only worker that may have room for an open lane, or nil
	// if any may: since the lane was closed, only that one has freed capacity.
	opener *node
	used   int // shares with queued jobs, also those over quota
	pos    int // in open or closed, -1 if empty
}

// entry is a queued job.
type entry struct {
	job      Job
	declared worker.Resources
	need     worker.Resources
	expected time.Duration
	long     bool // by longRun; also work whose run time is not learned yet
	enqueued time.Time
	deadline time.Time
	planned  time.Time // last plan of a reservation
	team     *team
	service  *service
	profile  *profile
	backlog  *backlog
	share    *share // nil for a gang job
	prev     *entry
	next     *entry
	queued   bool
	report   func(*Placement, error)
	rearm    func()
}

// urgency is the priority raised by the waiting time.
func (e *entry) urgency(now time.Time) float64 {
	u := float64(e.profile.Queue.Priority)
	if a := e.profile.Queue.AgeingMS; a > 0 {
		u += now.Sub(e.enqueued).Seconds() * 1000 / float64(a)
	}
	return u
}

// enqueue adds e to its lane, or to the gang queue.
func (s *Scheduler) enqueue(e *entry, now time.Time) {
	e.queued = true
	b := e.profile.backlog(e.team)
	e.backlog = b
	if b.n == 0 {
		b.pace.since = now
	}
	if e.profile.queued == 0 {
		e.profile.pace.since = now
	}
	b.n++
	e.profile.queued++
	e.service.queued++
	if e.team.queued += e.job.Members; e.team.queued == e.job.Members {
		s.rank(e.team) // it was not kept up to date while nothing was queued
	}
	if b.pos < 0 {
		heap.Push(&e.profile.waiting, b)
	} else {
		heap.Fix(&e.profile.waiting, b.pos)
	}
	if e.job.Members > 1 {
		s.gangs.push(s, e)
		return
	}
	s.link(e)
}

// dequeue takes e out of the queue in O(log teams).
func (s *Scheduler) dequeue(e *entry) {
	e.queued = false
	b := e.backlog
	b.n--
	e.profile.queued--
	e.service.queued--
	e.team.queued -= e.job.Members
	if b.n == 0 {
		heap.Remove(&e.profile.waiting, b.pos)
	} else {
		heap.Fix(&e.profile.waiting, b.pos)
	}
	if r := s.gangs.held; r != nil && r.entry == e {
		s.gangs.drop(s)
	}
	if e.job.Members > 1 {
		s.gangs.remove(s, e)
		return
	}
	s.unlink(e)
}

// refresh puts a share into its lane's heap, at its place or out of it, and
// drops the lane when it is empty.
func (s *Scheduler) refresh(sh *share) {
	l := sh.lane
	ready := sh.head != nil && !sh.team.capped
	for i := range l.heaps {
		switch {
		case ready && sh.pos[i] < 0:
			heap.Push(&l.heaps[i], sh)
		case ready:
			heap.Fix(&l.heaps[i], sh.pos[i])
		case sh.pos[i] >= 0:
			heap.Remove(&l.heaps[i], sh.pos[i])
		}
	}
	if sh.head == nil {
		delete(sh.team.shares, l)
		l.used--
	}
	if l.heaps[0].Len() == 0 && l.pos >= 0 {
		s.unlist(l)
	}
	if l.heaps[0].Len() > 0 && l.pos < 0 {
		l.closed, l.byLimit, l.opener = false, false, nil
		s.list(l)
	}
	if l.used == 0 {
		delete(s.lanes, l.key)
		l.profile.lanes--
	}
}

func (s *Scheduler) list(l *lane) {
	to := &s.open
	if l.closed {
		to = &s.closed
	}
	l.pos = len(*to)
	*to = append(*to, l)
	if l.key.need.Accelerators > 0 {
		s.accReady++
	}
}

func (s *Scheduler) unlist(l *lane) {
	from := &s.open
	if l.closed {
		from = &s.closed
	}
	last := (*from)[len(*from)-1]
	(*from)[l.pos], last.pos = last, l.pos
	(*from)[len(*from)-1] = nil
	*from = (*from)[:len(*from)-1]
	l.pos = -1
	if l.key.need.Accelerators > 0 {
		s.accReady--
	}
}

// shut closes a lane until capacity is freed for it.
func (s *Scheduler) shut(l *lane, byLimit bool) {
	s.unlist(l)
	l.closed, l.byLimit, l.opener = true, byLimit, nil
	s.list(l)
}

// reopen opens the lanes for which n may now have room, and those that a
// limit closed.
func (s *Scheduler) reopen(n *node) {
	free := n.free()
	slots := n.offered()
	for _, l := range s.open {
		if l.opener != n {
			l.opener = nil
		}
	}
	for i := len(s.closed) - 1; i >= 0; i-- {
		l := s.closed[i]
		if !l.byLimit && (slots == 0 || !l.key.need.Fits(free.Resources)) {
			continue
		}
		opener := n
		if l.byLimit || l.key.mixed {
			opener = nil
		}
		s.unlist(l)
		l.closed, l.byLimit, l.opener = false, false, opener
		s.list(l)
	}
}

// exhaust closes the lanes for which only n could have room and has none left.
func (s *Scheduler) exhaust(n *node) {
	free := n.free()
	slots := n.offered()
	for i := len(s.open) - 1; i >= 0; i-- {
		if l := s.open[i]; l.opener == n && (slots == 0 || !l.key.need.Fits(free.Resources)) {
			s.shut(l, false)
		}
	}
}

// reopenAll opens every lane for every worker.
func (s *Scheduler) reopenAll() {
	for len(s.closed) > 0 {
		l := s.closed[len(s.closed)-1]
		s.unlist(l)
		l.closed, l.byLimit = false, false
		s.list(l)
	}
	for _, l := range s.open {
		l.opener = nil
	}
	s.gangs.dirty = true
}
