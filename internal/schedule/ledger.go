package schedule

import (
	"time"

	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// node is a held worker in the ledger.
type node struct {
	info     worker.Info
	capacity worker.Capacity
	charged  amount
	tasks    map[worker.TaskID]*charge
	leaving  bool
	state    nodeHealth
	// reserved is the reservation that keeps room here, or nil.
	reserved *reservation

	index *index
	pos   int // leaf in index
	level int // bucket in index, -1 if in none
	slot  int // position in the bucket
}

// free returns what the ledger still allows; it may be negative after an
// adoption or a usage report.
func (n *node) free() amount {
	return amount{n.capacity.Resources.Sub(n.charged.Resources), n.capacity.Slots - n.charged.slots}
}

func (n *node) fits(need worker.Resources, slots int) bool {
	free := n.free()
	return slots <= free.slots && need.Fits(free.Resources)
}

// members returns how many tasks of the size need fit into free.
func members(need worker.Resources, free amount) int {
	count := int64(free.slots)
	for _, d := range [][2]int64{
		{need.MilliCPU, free.MilliCPU}, {need.MemoryMiB, free.MemoryMiB}, {need.Accelerators, free.Accelerators},
	} {
		if d[0] > 0 {
			count = min(count, d[1]/d[0])
		}
	}
	return int(max(count, 0))
}

// charge is one task or reservation in the ledger.
type charge struct {
	id       worker.TaskID
	node     *node // nil after it was freed or its worker was lost
	home     string
	team     *team
	profile  *profile
	service  string
	declared worker.Resources
	// amount is the larger of declared and reported; until the first report,
	// the larger of declared and learned.
	amount worker.Resources
	start  time.Time
	end    time.Time // expected by the learned run time
	// owned is set while a Placement refers to the charge.
	owned bool
	probe bool
	long  bool // as entry.long; also what was adopted
	over  overrun
	// reports counts the measurements.
	reports uint
}

// zone counts the tasks of a service in a rack or failure domain.
type zone struct{ service, name string }

func rackOf(i worker.Info) string { return "r/" + i.FailureDomain + "/" + i.Rack }

func domainOf(i worker.Info) string { return "d/" + i.FailureDomain }

// Gained adds a worker whose lease was granted, or renews its description.
// tasks are those that the worker runs; they are charged before anything is
// placed. Reservations from before a loss that are neither released nor among
// tasks are charged again, since their start may still be under way.
func (s *Scheduler) Gained(info worker.Info, capacity worker.Capacity, tasks []worker.Task) {
	now := s.lock()
	defer s.unlock()
	n := s.nodes[info.Name]
	kept := s.detached[info.Name]
	if n != nil {
		kept = s.remove(n)
	}
	delete(s.detached, info.Name)
	n = &node{info: info, capacity: capacity, tasks: map[worker.TaskID]*charge{}, level: -1}
	n.state = s.health.gained(info)
	if n.state.aside {
		s.health.aside[info.Name] = n
	}
	if incarnation, ok := s.latched[info.Name]; ok {
		n.leaving = incarnation == info.Incarnation
		if !n.leaving {
			delete(s.latched, info.Name)
		}
	}
	s.nodes[info.Name] = n
	s.shapes[capacity]++
	s.resize(n, capacity.Resources, capacity.Slots)
	for _, t := range tasks {
		if t.State != worker.TaskRunning || n.tasks[t.ID] != nil {
			continue
		}
		c := s.adopt(t, now)
		s.attach(n, c)
	}
	for id, c := range kept {
		if n.tasks[id] == nil {
			s.attach(n, c)
		}
	}
	n.index = s.plain
	if capacity.Accelerators > 0 {
		n.index = s.accel
	}
	n.index.insert(n)
	s.totalsChanged()
	s.reopenAll()
	s.dispatch(now)
}

// adopt returns the charge of a task that was found running.
func (s *Scheduler) adopt(t worker.Task, now time.Time) *charge {
	c := &charge{id: t.ID, team: s.team(t.Team), service: t.Service, declared: t.Resources, amount: t.Resources, start: now, long: true}
	svc := s.service(t.Service)
	c.profile = svc.profile
	expected, _ := s.expected(svc, t.Team, 0)
	c.end = now.Add(expected)
	return c
}

// Lost removes a worker whose lease went to another holder or expired.
func (s *Scheduler) Lost(name string) {
	now := s.lock()
	defer s.unlock()
	n := s.nodes[name]
	if n == nil {
		return
	}
	if kept := s.remove(n); len(kept) > 0 {
		s.detached[name] = kept
	}
	s.totalsChanged()
	s.dispatch(now)
}

// remove takes a worker out and returns the charges that placements refer to.
func (s *Scheduler) remove(n *node) map[worker.TaskID]*charge {
	s.gangs.lost(s, n)
	kept := map[worker.TaskID]*charge{}
	for id, c := range n.tasks {
		s.detach(c)
		if c.owned {
			kept[id] = c
		}
	}
	n.index.remove(n)
	s.health.lost(n)
	delete(s.nodes, n.info.Name)
	if s.shapes[n.capacity]--; s.shapes[n.capacity] == 0 {
		delete(s.shapes, n.capacity)
	}
	s.resize(n, worker.Resources{}.Sub(n.capacity.Resources), -n.capacity.Slots)
	return kept
}

// Leaving stops new work on a worker. It holds until the worker is gained
// with another incarnation.
func (s *Scheduler) Leaving(name string) {
	now := s.lock()
	defer s.unlock()
	n := s.nodes[name]
	if n == nil || n.leaving {
		return
	}
	n.leaving = true
	s.latched[name] = n.info.Incarnation
	n.index.update(n)
	s.gangs.lost(s, n)
	s.dispatch(now)
}

// TaskEnded frees what a task was charged. It is idempotent.
func (s *Scheduler) TaskEnded(name string, t worker.Task) {
	now := s.lock()
	defer s.unlock()
	n := s.nodes[name]
	if n == nil || n.tasks[t.ID] == nil {
		return
	}
	c := n.tasks[t.ID]
	if !c.owned && t.State == worker.TaskEnded && t.Answer != nil {
		s.outcome(n, c, t.Answer.Failed, now)
	}
	s.free(c, now)
}

// Usage charges each task the larger of its declared and its measured size
// and learns from the measurement. Tasks that the ledger does not know are
// ignored: a measurement lags by seconds and may list ended tasks.
func (s *Scheduler) Usage(name string, u worker.Usage) {
	now := s.lock()
	defer s.unlock()
	n := s.nodes[name]
	if n == nil {
		return
	}
	shrunk := false
	for id, used := range u.Tasks {
		c := n.tasks[id]
		if c == nil {
			continue
		}
		// Doubling intervals keep one long task from outweighing the others.
		if c.reports++; c.reports&(c.reports-1) == 0 {
			s.learned.size(c.service, c.team.name, used)
		}
		s.overrun(c, used, now)
		amount := c.declared.Max(used)
		if amount == c.amount {
			continue
		}
		shrunk = shrunk || !c.amount.Fits(amount)
		delta := amount.Sub(c.amount)
		c.amount = amount
		s.load(n, delta, 0)
		s.use(c.team, delta, 0)
	}
	s.gangs.changed(n)
	n.index.update(n)
	if shrunk {
		s.reopen(n)
		s.dispatch(now)
	}
}

// load changes what n carries.
func (s *Scheduler) load(n *node, delta worker.Resources, slots int) {
	n.charged = n.charged.add(delta, slots)
	s.all.charged = s.all.charged.add(delta, slots)
	if n.capacity.Accelerators > 0 {
		s.withAcc.charged = s.withAcc.charged.add(delta, slots)
	}
}

// resize changes the held capacity by that of n.
func (s *Scheduler) resize(n *node, delta worker.Resources, slots int) {
	s.all.total = s.all.total.add(delta, slots)
	if n.capacity.Accelerators > 0 {
		s.withAcc.total = s.withAcc.total.add(delta, slots)
	}
}

// attach charges c to n.
func (s *Scheduler) attach(n *node, c *charge) {
	c.node, c.home = n, n.info.Name
	n.tasks[c.id] = c
	s.load(n, c.amount, 1)
	s.spread[zone{c.service, rackOf(n.info)}]++
	s.spread[zone{c.service, domainOf(n.info)}]++
	c.profile.count(c, 1)
	c.profile.backlog(c.team).running++
	s.use(c.team, c.amount, 1)
	s.learned.record(c.service, c.team.name).failures.at(n.info.Name).started = c.start
	s.gangs.changed(n)
}

// detach takes c off its worker without offering what it frees.
func (s *Scheduler) detach(c *charge) {
	n := c.node
	c.node = nil
	delete(n.tasks, c.id)
	s.load(n, worker.Resources{}.Sub(c.amount), -1)
	for _, p := range [2]zone{{c.service, rackOf(n.info)}, {c.service, domainOf(n.info)}} {
		if s.spread[p]--; s.spread[p] == 0 {
			delete(s.spread, p)
		}
	}
	c.profile.count(c, -1)
	c.profile.backlog(c.team).running--
	s.use(c.team, worker.Resources{}.Sub(c.amount), -1)
	s.learned.record(c.service, c.team.name).failures.at(n.info.Name).started = time.Time{}
	s.gangs.changed(n)
}

// free takes c off its worker and offers what it frees to waiting work.
func (s *Scheduler) free(c *charge, now time.Time) {
	n := c.node
	s.detach(c)
	n.index.update(n)
	s.reopen(n)
	s.dispatch(now)
}
