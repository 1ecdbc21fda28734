package schedule

import (
	"time"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// choices is the number of workers that are compared for one placement. Two
// already give most of the gain over one; eight also find a good fit.
const choices = 8

// filter tells whether a worker may take a job. All filters must agree.
type filter interface {
	feasible(n *node, e *entry, now time.Time) bool
}

// ranker gives a worker that may take the job a cost; the least is chosen.
type ranker interface {
	cost(s *Scheduler, n *node, e *entry) float64
}

// filters are the feasibility filters, the cheapest first.
var filters = []filter{roomFilter{}, reservationFilter{}}

// roomFilter keeps to the free capacity and to workers that take work.
type roomFilter struct{}

func (roomFilter) feasible(n *node, e *entry, _ time.Time) bool {
	return n.offered() > 0 && n.fits(e.need, 1)
}

// reservationFilter backfills around the gang reservation: on its workers it
// lets in only work that fits beside it or is expected to end before it.
type reservationFilter struct{}

func (reservationFilter) feasible(n *node, e *entry, now time.Time) bool {
	if n.reserved == nil || n.reserved.entry == e {
		return true
	}
	if !now.Add(e.expected).After(n.reserved.start) {
		return true
	}
	free := n.free()
	return members(n.reserved.entry.need, free.sub(e.need, 1)) >= n.reserved.members[n]
}

// feasible reports whether all filters let e onto n.
func feasible(n *node, e *entry, now time.Time) bool {
	for _, f := range filters {
		if !f.feasible(n, e, now) {
			return false
		}
	}
	return true
}

// rankers are the strategies of profiles.
var rankers = map[contract.Strategy]ranker{
	contract.Pack:                 packRanker{},
	contract.LeastLoaded:          loadRanker{},
	contract.SpreadRacks:          spreadRanker{rackOf},
	contract.SpreadFailureDomains: spreadRanker{domainOf},
}

// utilization returns the largest used fraction of a worker over all
// dimensions.
func utilization(n *node) float64 {
	u := float64(n.charged.slots) / float64(max(n.capacity.Slots, 1))
	for _, d := range [][2]int64{
		{n.charged.MilliCPU, n.capacity.MilliCPU},
		{n.charged.MemoryMiB, n.capacity.MemoryMiB},
		{n.charged.Accelerators, n.capacity.Accelerators},
	} {
		if d[1] > 0 {
			u = max(u, float64(d[0])/float64(d[1]))
		}
	}
	return u
}

// packRanker prefers the fullest worker.
type packRanker struct{}

func (packRanker) cost(_ *Scheduler, n *node, _ *entry) float64 { return -utilization(n) }

// loadRanker prefers the emptiest worker.
type loadRanker struct{}

func (loadRanker) cost(_ *Scheduler, n *node, _ *entry) float64 { return utilization(n) }

// spreadRanker prefers racks or failure domains with the fewest tasks of the
// service, and among equal ones the emptiest worker.
type spreadRanker struct{ zone func(worker.Info) string }

func (r spreadRanker) cost(s *Scheduler, n *node, e *entry) float64 {
	return float64(s.spread[zone{e.job.Service, r.zone(n.info)}]) + utilization(n)/2
}

// choose returns a worker for one member of e, or nil if none has room. It
// ranks a sample of workers and, if none of the sample fits, the first ones
// that a search of the index finds.
func (s *Scheduler) choose(e *entry, now time.Time) *node {
	if n := s.probe(e, now); n != nil {
		return n
	}
	var kinds []*index
	plain, accel := s.admits(e)
	s.denied = !accel || !plain && e.need.Accelerators == 0
	if plain {
		if e.profile.Placement.KeepAccelerators {
			if n := s.chooseIn(e, now, s.plain); n != nil {
				return n
			}
		} else {
			kinds = append(kinds, s.plain)
		}
	}
	if accel {
		kinds = append(kinds, s.accel)
	}
	return s.chooseIn(e, now, kinds...)
}

// chooseIn chooses among the workers of some kinds.
func (s *Scheduler) chooseIn(e *entry, now time.Time, kinds ...*index) *node {
	c := selection{s: s, e: e, now: now, ranker: rankers[e.profile.Placement.Strategy]}
	if c.ranker == nil {
		c.ranker = loadRanker{}
	}
	count := 0
	for _, x := range kinds {
		count += x.count
	}
	if count == 0 {
		return nil
	}
	for _, x := range kinds {
		// Each kind gets its part of the sample, and at least one try.
		tries := (choices*x.count + count - 1) / count
		c.sample(x, tries)
	}
	if c.best != nil {
		return c.best
	}
	for _, x := range kinds {
		seen := 0
		x.search(e.need, s.rng, func(n *node) bool {
			if c.consider(n) {
				seen++
			}
			return seen < choices
		})
	}
	return c.best
}

// selection compares candidates.
type selection struct {
	s      *Scheduler
	e      *entry
	now    time.Time
	ranker ranker
	best   *node
	least  float64
}

// consider compares n with the best so far and reports whether n is feasible.
func (c *selection) consider(n *node) bool {
	if !feasible(n, c.e, c.now) {
		return false
	}
	cost := c.ranker.cost(c.s, n, c.e) + c.s.health.cost(n)
	if c.best == nil || cost < c.least {
		c.best, c.least = n, cost
	}
	return true
}

// sample considers some workers of the buckets that may have room: the
// fullest ones for packing, the emptiest ones for the least load, and any
// for spreading.
func (c *selection) sample(x *index, tries int) {
	lowest := levelOf(c.e.need.MilliCPU)
	switch c.ranker.(type) {
	case packRanker:
		for level := lowest; level < levels && tries > 0; level++ {
			tries -= c.sampleBucket(x.buckets[level], tries)
		}
	case loadRanker:
		for level := levels - 1; level >= lowest && tries > 0; level-- {
			tries -= c.sampleBucket(x.buckets[level], tries)
		}
	default:
		for ; tries > 0; tries-- {
			if n := x.leaves[c.s.rng.IntN(len(x.leaves))]; n != nil {
				c.consider(n)
			}
		}
	}
}

// sampleBucket considers up to tries workers of one bucket from a random position on
// and returns how many of them were feasible. It looks at no more than twice
// as many, so that a bucket whose workers lack another resource costs little.
func (c *selection) sampleBucket(bucket []*node, tries int) int {
	if len(bucket) == 0 {
		return 0
	}
	feasible := 0
	at := c.s.rng.IntN(len(bucket))
	for i := 0; i < min(2*tries, len(bucket)) && feasible < tries; i++ {
		if c.consider(bucket[(at+i)%len(bucket)]) {
			feasible++
		}
	}
	return feasible
}
