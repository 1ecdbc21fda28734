package schedule

import (
	"time"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// sampleSize is the number of workers that are compared for one placement. Two
// already give most of the gain over one; eight also find a good fit.
const sampleSize = 8

// filter decides whether a worker may run a job. All filters must accept it.
type filter interface {
	feasible(w *heldWorker, e *queueEntry, now time.Time) bool
}

// ranker assigns a cost to a feasible worker; the worker with the lowest cost
// is chosen.
type ranker interface {
	cost(s *Scheduler, w *heldWorker, e *queueEntry) float64
}

// filters lists the feasibility filters, the cheapest first. workerToProbe
// applies only the first one.
var filters = []filter{capacityFilter{}, reservationFilter{}}

// capacityFilter accepts workers that take new work and have enough free
// capacity.
type capacityFilter struct{}

func (capacityFilter) feasible(w *heldWorker, e *queueEntry, _ time.Time) bool {
	return w.offeredSlots() > 0 && w.fits(e.need, 1)
}

// reservationFilter allows backfilling around the reservation: on its workers
// it accepts only jobs that fit beside the reserved members or are expected to
// end before the reserved job starts.
type reservationFilter struct{}

func (reservationFilter) feasible(w *heldWorker, e *queueEntry, now time.Time) bool {
	if w.reservation == nil || w.reservation.entry == e {
		return true
	}
	if !now.Add(e.expectedRunTime).After(w.reservation.expectedStart) {
		return true
	}
	free := w.free()
	return fittingTasks(w.reservation.entry.need, free.sub(e.need, 1)) >= w.reservation.members[w]
}

// feasible reports whether all filters accept w for e.
func feasible(w *heldWorker, e *queueEntry, now time.Time) bool {
	for _, f := range filters {
		if !f.feasible(w, e, now) {
			return false
		}
	}
	return true
}

// rankers maps the placement strategies of profiles to their rankers.
var rankers = map[contract.Strategy]ranker{
	contract.Pack:                 packRanker{},
	contract.LeastLoaded:          loadRanker{},
	contract.SpreadRacks:          spreadRanker{rackKey},
	contract.SpreadFailureDomains: spreadRanker{failureDomainKey},
}

// utilization returns the largest allocated fraction of a worker over slots and
// all resources.
func utilization(w *heldWorker) float64 {
	u := float64(w.allocated.slots) / float64(max(w.capacity.Slots, 1))
	for _, d := range [][2]int64{
		{w.allocated.MilliCPU, w.capacity.MilliCPU},
		{w.allocated.MemoryMiB, w.capacity.MemoryMiB},
		{w.allocated.Accelerators, w.capacity.Accelerators},
	} {
		if d[1] > 0 {
			u = max(u, float64(d[0])/float64(d[1]))
		}
	}
	return u
}

// packRanker prefers the worker with the highest utilization.
type packRanker struct{}

func (packRanker) cost(_ *Scheduler, w *heldWorker, _ *queueEntry) float64 { return -utilization(w) }

// loadRanker prefers the worker with the lowest utilization.
type loadRanker struct{}

func (loadRanker) cost(_ *Scheduler, w *heldWorker, _ *queueEntry) float64 { return utilization(w) }

// spreadRanker prefers the topology domains (racks or failure domains) with the
// fewest tasks of the service, and among their workers the one with the lowest
// utilization. domainKey is rackKey or failureDomainKey.
type spreadRanker struct{ domainKey func(worker.Info) string }

func (r spreadRanker) cost(s *Scheduler, w *heldWorker, e *queueEntry) float64 {
	return float64(s.tasksByTopology[topologyKey{e.job.Service, r.domainKey(w.info)}]) + utilization(w)/2
}

// chooseWorker returns a worker for one member of e, or nil if none has room. A
// quarantined worker that e may probe comes first. Otherwise it ranks a sample of
// workers and, if none of the sample is feasible, the first feasible ones that a
// search of the index finds.
func (s *Scheduler) chooseWorker(e *queueEntry, now time.Time) *heldWorker {
	if w := s.workerToProbe(e, now); w != nil {
		return w
	}
	var indexes []*index
	plain, accel := s.eligibleKinds(e)
	s.excludedByPolicy = !accel || !plain && e.need.Accelerators == 0
	if plain {
		if e.profile.Placement.KeepAccelerators {
			if w := s.chooseFrom(e, now, s.plainWorkers); w != nil {
				return w
			}
		} else {
			indexes = append(indexes, s.plainWorkers)
		}
	}
	if accel {
		indexes = append(indexes, s.accelWorkers)
	}
	return s.chooseFrom(e, now, indexes...)
}

// chooseFrom chooses among the workers of the given indexes.
func (s *Scheduler) chooseFrom(e *queueEntry, now time.Time, indexes ...*index) *heldWorker {
	c := selection{s: s, e: e, now: now, ranker: rankers[e.profile.Placement.Strategy]}
	if c.ranker == nil {
		c.ranker = loadRanker{}
	}
	count := 0
	for _, x := range indexes {
		count += x.count
	}
	if count == 0 {
		return nil
	}
	for _, x := range indexes {
		// Each index gets its proportional part of the sample, and at least
		// one worker.
		tries := (sampleSize*x.count + count - 1) / count
		c.sample(x, tries)
	}
	if c.best != nil {
		return c.best
	}
	for _, x := range indexes {
		found := 0
		x.search(e.need, s.rng, func(w *heldWorker) bool {
			if c.consider(w) {
				found++
			}
			return found < sampleSize
		})
	}
	return c.best
}

// selection keeps the feasible worker with the lowest cost so far.
type selection struct {
	s        *Scheduler
	e        *queueEntry
	now      time.Time
	ranker   ranker
	best     *heldWorker
	bestCost float64
}

// consider compares w with the best worker so far and reports whether w is
// feasible.
func (c *selection) consider(w *heldWorker) bool {
	if !feasible(w, c.e, c.now) {
		return false
	}
	cost := c.ranker.cost(c.s, w, c.e) + c.s.health.penalty(w)
	if c.best == nil || cost < c.bestCost {
		c.best, c.bestCost = w, cost
	}
	return true
}

// sample considers workers until it has found about tries feasible ones, for
// packRanker from the buckets with the fewest free processors that may suffice
// upwards, for loadRanker from those with the most downwards. For any other
// ranker it considers tries random workers.
func (c *selection) sample(x *index, tries int) {
	lowest := cpuBucket(c.e.need.MilliCPU)
	switch c.ranker.(type) {
	case packRanker:
		for bucket := lowest; bucket < cpuBuckets && tries > 0; bucket++ {
			tries -= c.sampleBucket(x.buckets[bucket], tries)
		}
	case loadRanker:
		for bucket := cpuBuckets - 1; bucket >= lowest && tries > 0; bucket-- {
			tries -= c.sampleBucket(x.buckets[bucket], tries)
		}
	default:
		for ; tries > 0; tries-- {
			if w := x.leaves[c.s.rng.IntN(len(x.leaves))]; w != nil {
				c.consider(w)
			}
		}
	}
}

// sampleBucket considers workers of one bucket, starting at a random position,
// until it has found tries feasible ones, and returns how many it found. It
// looks at no more than 2*tries workers, which limits the cost for a bucket whose
// workers lack another resource.
func (c *selection) sampleBucket(bucket []*heldWorker, tries int) int {
	if len(bucket) == 0 {
		return 0
	}
	found := 0
	at := c.s.rng.IntN(len(bucket))
	for i := 0; i < min(2*tries, len(bucket)) && found < tries; i++ {
		if c.consider(bucket[(at+i)%len(bucket)]) {
			found++
		}
	}
	return found
}
