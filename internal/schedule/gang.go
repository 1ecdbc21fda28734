package schedule

import (
	"sort"
	"time"

	"github.com/laburnumpass/laburnumpass/api"
)

const (
	// replanAfter is the least time between two plans of a reservation.
	replanAfter = time.Second
	// tryNow bounds the waiting gang jobs that are tried around the
	// reservation at one time.
	tryNow = 8
	// starvedAfter is the wait from which a large job that is next by the
	// shares gets a reservation although it has one member.
	starvedAfter = 500 * time.Millisecond
)

// reservation keeps room for all members of one job until every worker has
// it. There is one at a time, so that two jobs cannot wait for each other.
type reservation struct {
	entry   *entry
	start   time.Time // expected
	planned time.Time
	members map[*node]int
	short   map[*node]int // members for which a worker has no room yet
	missing int
}

// check follows a change of what n carries.
func (r *reservation) check(n *node) {
	short := max(r.members[n]-members(r.entry.need, n.free()), 0)
	r.missing += short - r.short[n]
	r.short[n] = short
}

// gangQueue holds the waiting all-at-once jobs by age.
type gangQueue struct {
	head, tail *entry
	count      int
	held       *reservation
	// dirty is set when a job that could not start may start now.
	dirty bool
}

func (g *gangQueue) push(s *Scheduler, e *entry) {
	e.prev = g.tail
	if g.tail == nil {
		g.head = e
	} else {
		g.tail.next = e
	}
	g.tail = e
	g.count++
	g.dirty = true
	if e.team.gang == nil {
		e.team.gang = e
		s.rank(e.team)
	}
}

func (g *gangQueue) remove(s *Scheduler, e *entry) {
	after := e.next
	if e.prev == nil {
		g.head = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		g.tail = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.prev, e.next = nil, nil
	g.count--
	g.dirty = true
	if e.team.gang == e {
		e.team.gang = nil
		for ; after != nil; after = after.next {
			if after.team == e.team {
				e.team.gang = after
				break
			}
		}
		s.rank(e.team)
	}
}

func (g *gangQueue) all() []*entry {
	var all []*entry
	for e := g.head; e != nil; e = e.next {
		all = append(all, e)
	}
	return all
}

// changed follows a change of what n carries.
func (g *gangQueue) changed(n *node) {
	if n.reserved != nil {
		n.reserved.check(n)
	}
}

// newest returns the newest waiting gang job of a backlog, or nil.
func (g *gangQueue) newest(b *backlog) *entry {
	for e := g.tail; e != nil; e = e.prev {
		if e.backlog == b {
			return e
		}
	}
	return nil
}

// dispatch starts the job of the reservation when all its members have room,
// and other gang jobs that fit around it.
func (g *gangQueue) dispatch(s *Scheduler, now time.Time) {
	if g.held != nil && !g.held.entry.deadline.After(now) {
		e := g.held.entry
		s.dequeue(e)
		s.refuse(e, s.refusal(e, api.ReasonDeadline, "the deadline passed in the queue", now))
	}
	if r := g.held; r != nil && r.missing == 0 && r.entry.team.takes(r.entry) && s.allowed(r.entry, r.entry.job.Members) {
		s.commit(r, now)
	}
	for tried := 0; g.dirty && tried < tryNow; tried++ {
		if !g.step(s, now) {
			break
		}
	}
}

// step looks through the oldest jobs once and returns whether it started or
// dropped one. The oldest that cannot start gets the reservation.
func (g *gangQueue) step(s *Scheduler, now time.Time) bool {
	g.dirty = false
	looked := 0
	for e := g.head; e != nil && looked < tryNow; e = e.next {
		if !e.deadline.After(now) {
			s.dequeue(e)
			s.refuse(e, s.refusal(e, api.ReasonDeadline, "the deadline passed in the queue", now))
			return true
		}
		if g.held != nil && g.held.entry == e || !e.team.takes(e) {
			continue
		}
		looked++
		if s.allowed(e, e.job.Members) && s.startNow(e, now) {
			return true
		}
		if g.held == nil && s.attainable(e) && now.Sub(e.planned) >= replanAfter {
			e.planned = now
			s.hold(e, now)
		}
	}
	return false
}

// takes reports whether the team's quota takes all members of e.
func (t *team) takes(e *entry) bool { return t.used.slots+e.job.Members <= t.limit() }

// attainable reports whether the shares could ever take all members of e.
func (s *Scheduler) attainable(e *entry) bool {
	p, count := e.profile, e.job.Members
	if count <= p.guaranteed {
		return true
	}
	if p.limited() {
		return false
	}
	others := 0
	for _, q := range s.order {
		if q != p {
			others += q.guaranteed
		}
	}
	return !e.long || count <= s.all.total.slots-others
}

// startNow reserves all members of e now, or none.
func (s *Scheduler) startNow(e *entry, now time.Time) bool {
	room := s.room(s.plain, e.need) + s.room(s.accel, e.need)
	if len(s.nodes) > loadSample {
		room *= 2 // the error of the sample
	}
	if room < e.job.Members {
		return false
	}
	p := &Placement{scheduler: s}
	for member := range e.job.Members {
		n := s.choose(e, now)
		if n == nil {
			for _, c := range p.charges {
				n := c.node
				s.detach(c)
				if c.probe {
					s.probeUnused(n, now)
				}
				n.index.update(n)
			}
			return false
		}
		s.reserve(p, e, n, member, now)
	}
	s.started(e, p, now)
	return true
}

// started takes e out of the queue and reports its placement.
func (s *Scheduler) started(e *entry, p *Placement, now time.Time) {
	// A job that never waited tells nothing of the pace of a queue.
	if e.enqueued.Before(now) || e.backlog.n > 1 {
		e.backlog.pace.started(now)
	}
	if e.enqueued.Before(now) || e.profile.queued > 1 {
		e.profile.pace.started(now)
	}
	s.dequeue(e)
	s.finished = append(s.finished, func() { e.report(p, nil) })
}

// commit charges the members of a reservation that has room for all.
func (s *Scheduler) commit(r *reservation, now time.Time) {
	e := r.entry
	s.gangs.drop(s)
	p := &Placement{scheduler: s}
	for _, n := range sortedNodes(r.members) {
		for range r.members[n] {
			s.reserve(p, e, n, len(p.Members), now)
		}
	}
	s.started(e, p, now)
	s.reopenAll()
}

// hold gives e the reservation if a plan for it exists.
func (s *Scheduler) hold(e *entry, now time.Time) {
	r := s.planFor(e, now)
	if r == nil {
		return
	}
	s.gangs.held = r
	for n := range r.members {
		n.reserved = r
		r.check(n)
	}
}

// drop gives the reservation up.
func (g *gangQueue) drop(s *Scheduler) {
	if g.held == nil {
		return
	}
	for n := range g.held.members {
		n.reserved = nil
	}
	g.held = nil
	s.reopenAll()
}

// lost plans the reservation anew without n.
func (g *gangQueue) lost(s *Scheduler, n *node) {
	if n.reserved != nil {
		g.drop(s)
	}
}

// replan renews the plan of a reservation that has slipped, and gives one to
// a large job that smaller work keeps out.
func (g *gangQueue) replan(s *Scheduler, now time.Time) {
	g.dirty = g.count > 0
	if r := g.held; r != nil && !(r.entry.team.takes(r.entry) && s.attainable(r.entry)) {
		// The quota or the shares have changed under it.
		g.drop(s)
	}
	if r := g.held; r != nil {
		if r.missing > 0 && now.After(r.start) && now.Sub(r.planned) >= replanAfter {
			// The reserved workers are preferred again, so that what they
			// have drained is not lost.
			if next := s.planFor(r.entry, now); next != nil {
				g.drop(s)
				g.held = next
				for n := range next.members {
					n.reserved = next
					next.check(n)
				}
			}
		}
		return
	}
	var best turn
	for _, l := range s.closed {
		if t := l.next(); !l.byLimit && (best.share == nil || t.precedes(best, now)) {
			best = t
		}
	}
	if best.share == nil {
		return
	}
	if e := best.head; now.Sub(e.enqueued) >= starvedAfter && s.large(e) {
		s.hold(e, now)
	}
}

// large reports whether no worker takes more than two tasks of e's size.
func (s *Scheduler) large(e *entry) bool {
	for c := range s.shapes {
		if members(e.need, amount{c.Resources, c.Slots}) > 2 {
			return false
		}
	}
	return true
}

func sortedNodes(m map[*node]int) []*node {
	nodes := make([]*node, 0, len(m))
	for n := range m {
		nodes = append(nodes, n)
	}
	sort.Slice(nodes, func(i, j int) bool { return nodes[i].info.Name < nodes[j].info.Name })
	return nodes
}
