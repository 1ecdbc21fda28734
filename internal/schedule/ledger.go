package schedule

import (
	"time"

	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// heldWorker is a worker that this host holds: its capacity and what is allocated
// on it. All heldWorkers together are the ledger.
type heldWorker struct {
	info      worker.Info
	capacity  worker.Capacity
	allocated amount
	tasks     map[worker.TaskID]*allocation
	leaving   bool
	health    workerHealth
	// reservation is the reservation that keeps capacity free here, or nil.
	reservation *reservation

	index     *index
	leaf      int // position in index.leaves
	bucket    int // position in index.buckets, -1 if in none
	bucketPos int // position in the bucket
}

// free returns the capacity that is not allocated. It may be negative after tasks
// were adopted or a usage report exceeded the declared sizes.
func (w *heldWorker) free() amount {
	return amount{w.capacity.Resources.Sub(w.allocated.Resources), w.capacity.Slots - w.allocated.slots}
}

func (w *heldWorker) fits(need worker.Resources, slots int) bool {
	free := w.free()
	return slots <= free.slots && need.Fits(free.Resources)
}

// fittingTasks returns how many tasks of size need fit into free.
func fittingTasks(need worker.Resources, free amount) int {
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

// allocation is the capacity that one task or reservation takes on a worker.
type allocation struct {
	id         worker.TaskID
	worker     *heldWorker // nil once it is freed or its worker is lost
	workerName string
	team       *team
	profile    *profile
	service    string
	declared   worker.Resources
	// size is the larger of the declared and the reported size; until the first
	// report, the larger of the declared and the estimated size.
	size        worker.Resources
	start       time.Time
	expectedEnd time.Time // by the run time that was expected at the start
	// hasPlacement is set while a Placement refers to the allocation.
	hasPlacement bool
	probe        bool
	long         bool // see queueEntry.long; also set for adopted tasks
	overrun      overrunState
	// measurements counts the usage reports for the task.
	measurements uint
}

// topologyKey identifies a service in one topology domain. domain is the result
// of rackKey or failureDomainKey.
type topologyKey struct{ service, domain string }

func rackKey(i worker.Info) string { return "r/" + i.FailureDomain + "/" + i.Rack }

func failureDomainKey(i worker.Info) string { return "d/" + i.FailureDomain }

// LeaseAcquired adds a worker whose lease was granted, or updates its description.
// tasks are the tasks that the worker runs; they are allocated before any job is
// placed. Earlier reservations on the worker are allocated again unless they were
// released or are among tasks, since their start may still be under way.
func (s *Scheduler) LeaseAcquired(info worker.Info, capacity worker.Capacity, tasks []worker.Task) {
	now := s.lock()
	defer s.unlock()
	w := s.workers[info.Name]
	kept := s.lostAllocations[info.Name]
	if w != nil {
		kept = s.removeWorker(w)
	}
	delete(s.lostAllocations, info.Name)
	w = &heldWorker{info: info, capacity: capacity, tasks: map[worker.TaskID]*allocation{}, bucket: -1}
	w.health = s.health.addWorker(info)
	if w.health.quarantined {
		s.health.quarantined[info.Name] = w
	}
	if incarnation, ok := s.leavingIncarnations[info.Name]; ok {
		w.leaving = incarnation == info.Incarnation
		if !w.leaving {
			delete(s.leavingIncarnations, info.Name)
		}
	}
	s.workers[info.Name] = w
	s.capacityCounts[capacity]++
	s.addCapacity(w, capacity.Resources, capacity.Slots)
	for _, t := range tasks {
		if t.State != worker.TaskRunning || w.tasks[t.ID] != nil {
			continue
		}
		a := s.adoptTask(t, now)
		s.addAllocation(w, a)
	}
	for id, a := range kept {
		if w.tasks[id] == nil {
			s.addAllocation(w, a)
		}
	}
	w.index = s.plainWorkers
	if capacity.Accelerators > 0 {
		w.index = s.accelWorkers
	}
	w.index.insert(w)
	s.capacityChanged()
	s.reopenAllLanes()
	s.dispatch(now)
}

// adoptTask returns an allocation for a task that a newly held worker already runs.
func (s *Scheduler) adoptTask(t worker.Task, now time.Time) *allocation {
	a := &allocation{id: t.ID, team: s.team(t.Team), service: t.Service, declared: t.Resources, size: t.Resources, start: now, long: true}
	svc := s.service(t.Service)
	a.profile = svc.profile
	expected, _ := s.expectedRunTime(svc, t.Team, 0)
	a.expectedEnd = now.Add(expected)
	return a
}

// LeaseLost removes a worker whose lease expired or was granted to another holder.
func (s *Scheduler) LeaseLost(name string) {
	now := s.lock()
	defer s.unlock()
	w := s.workers[name]
	if w == nil {
		return
	}
	if kept := s.removeWorker(w); len(kept) > 0 {
		s.lostAllocations[name] = kept
	}
	s.capacityChanged()
	s.dispatch(now)
}

// removeWorker removes a worker and returns its allocations to which placements
// still refer.
func (s *Scheduler) removeWorker(w *heldWorker) map[worker.TaskID]*allocation {
	s.gangs.workerUnavailable(s, w)
	kept := map[worker.TaskID]*allocation{}
	for id, a := range w.tasks {
		s.removeAllocation(a)
		if a.hasPlacement {
			kept[id] = a
		}
	}
	w.index.remove(w)
	s.health.removeWorker(w)
	delete(s.workers, w.info.Name)
	if s.capacityCounts[w.capacity]--; s.capacityCounts[w.capacity] == 0 {
		delete(s.capacityCounts, w.capacity)
	}
	s.addCapacity(w, worker.Resources{}.Sub(w.capacity.Resources), -w.capacity.Slots)
	return kept
}

// WorkerLeaving excludes a worker from new work until its lease is acquired with another
// incarnation.
func (s *Scheduler) WorkerLeaving(name string) {
	now := s.lock()
	defer s.unlock()
	w := s.workers[name]
	if w == nil || w.leaving {
		return
	}
	w.leaving = true
	s.leavingIncarnations[name] = w.info.Incarnation
	w.index.update(w)
	s.gangs.workerUnavailable(s, w)
	s.dispatch(now)
}

// TaskEnded frees the allocation of a task. It is idempotent.
func (s *Scheduler) TaskEnded(name string, t worker.Task) {
	now := s.lock()
	defer s.unlock()
	w := s.workers[name]
	if w == nil || w.tasks[t.ID] == nil {
		return
	}
	a := w.tasks[t.ID]
	if !a.hasPlacement && t.State == worker.TaskEnded && t.Answer != nil {
		s.recordOutcome(w, a, t.Answer.Failed, now)
	}
	s.freeAllocation(a, now)
}

// UsageMeasured sets the allocation of each task to the larger of its declared and its
// measured size and records the measurement for estimates. Tasks without an
// allocation are ignored: a measurement lags by seconds and may list tasks that
// have ended.
func (s *Scheduler) UsageMeasured(name string, u worker.Usage) {
	now := s.lock()
	defer s.unlock()
	w := s.workers[name]
	if w == nil {
		return
	}
	shrunk := false
	for id, used := range u.Tasks {
		a := w.tasks[id]
		if a == nil {
			continue
		}
		// Recording only the 1st, 2nd, 4th, 8th, ... report keeps one long task
		// from outweighing the others.
		if a.measurements++; a.measurements&(a.measurements-1) == 0 {
			s.history.observeSize(a.service, a.team.name, used)
		}
		s.checkOverrun(a, used, now)
		newSize := a.declared.Max(used)
		if newSize == a.size {
			continue
		}
		shrunk = shrunk || !a.size.Fits(newSize)
		delta := newSize.Sub(a.size)
		a.size = newSize
		s.addAllocated(w, delta, 0)
		s.addTeamUsage(a.team, delta, 0)
	}
	s.gangs.updateReservation(w)
	w.index.update(w)
	if shrunk {
		s.reopenLanes(w)
		s.dispatch(now)
	}
}

// addAllocated changes the allocated capacity of w.
func (s *Scheduler) addAllocated(w *heldWorker, delta worker.Resources, slots int) {
	w.allocated = w.allocated.add(delta, slots)
	s.allPool.allocated = s.allPool.allocated.add(delta, slots)
	if w.capacity.Accelerators > 0 {
		s.accelPool.allocated = s.accelPool.allocated.add(delta, slots)
	}
}

// addCapacity changes the total capacity of the pools to which w belongs.
func (s *Scheduler) addCapacity(w *heldWorker, delta worker.Resources, slots int) {
	s.allPool.total = s.allPool.total.add(delta, slots)
	if w.capacity.Accelerators > 0 {
		s.accelPool.total = s.accelPool.total.add(delta, slots)
	}
}

// addAllocation allocates a on w.
func (s *Scheduler) addAllocation(w *heldWorker, a *allocation) {
	a.worker, a.workerName = w, w.info.Name
	w.tasks[a.id] = a
	s.addAllocated(w, a.size, 1)
	s.tasksByTopology[topologyKey{a.service, rackKey(w.info)}]++
	s.tasksByTopology[topologyKey{a.service, failureDomainKey(w.info)}]++
	a.profile.countRunning(a, 1)
	a.profile.backlog(a.team).running++
	s.addTeamUsage(a.team, a.size, 1)
	s.history.forWorkload(a.service, a.team.name).outcomes.forWorker(w.info.Name).started = a.start
	s.gangs.updateReservation(w)
}

// removeAllocation removes a from its worker without dispatching work to the freed
// capacity.
func (s *Scheduler) removeAllocation(a *allocation) {
	w := a.worker
	a.worker = nil
	delete(w.tasks, a.id)
	s.addAllocated(w, worker.Resources{}.Sub(a.size), -1)
	for _, key := range [2]topologyKey{{a.service, rackKey(w.info)}, {a.service, failureDomainKey(w.info)}} {
		if s.tasksByTopology[key]--; s.tasksByTopology[key] == 0 {
			delete(s.tasksByTopology, key)
		}
	}
	a.profile.countRunning(a, -1)
	a.profile.backlog(a.team).running--
	s.addTeamUsage(a.team, worker.Resources{}.Sub(a.size), -1)
	s.history.forWorkload(a.service, a.team.name).outcomes.forWorker(w.info.Name).started = time.Time{}
	s.gangs.updateReservation(w)
}

// freeAllocation removes a from its worker and dispatches waiting work to the
// freed capacity.
func (s *Scheduler) freeAllocation(a *allocation, now time.Time) {
	w := a.worker
	s.removeAllocation(a)
	w.index.update(w)
	s.reopenLanes(w)
	s.dispatch(now)
}
