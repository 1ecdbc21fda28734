package pool

import (
	"iter"
	"math"
	"slices"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// Within one priority, the work of teams is ordered by three classes before lateness
// and slack decide: jobs within the rate of their team before jobs beyond it, and in
// each of the two, teams that are within their fair part of the shard before teams
// that exceed it. Jobs without a team have no weight, so they count as within both.

// beyondRateClass is added to the lateness of jobs beyond the rate of their team. It
// exceeds every lateness.
const beyondRateClass = 3

// rateClass returns the part of a job's place in the order that its team's rate
// decides.
func (j *Job) rateClass() int {
	if j.beyondRate {
		return beyondRateClass
	}
	return 0
}

// teamShare is what one team holds of the shard.
type teamShare struct {
	weight float64
	used   worker.Resources
	// dominant is the largest fraction of a resource of the shard that the team's runs
	// hold.
	dominant float64
	// exceeded is set if the team held more than its fair part among all teams with
	// runs or waiting work when the pass began.
	exceeded bool
	// group is the last group of steps in which the team has one.
	group int
}

// shareTable holds the shares of the teams with runs or waiting work. A pass measures
// them when it begins and adds what it places.
type shareTable struct {
	measuredAt     time.Time
	capacity, used worker.Resources
	teams          map[string]*teamShare
	groups         int
}

// team returns the share of a team. A team that is no longer configured has the
// weight 0.
func (t *shareTable) team(configured map[string]cell.Team, name string) *teamShare {
	share := t.teams[name]
	if share == nil {
		share = &teamShare{weight: max(configured[name].Weight, 0)}
		t.teams[name] = share
	}
	return share
}

// measureShares determines what each team holds and which teams exceed their part.
func (p *Pool) measureShares(teams map[string]cell.Team, steps []*step, now time.Time) *shareTable {
	t := &shareTable{measuredAt: now, teams: make(map[string]*teamShare)}
	for _, n := range p.nodes {
		if n.listed {
			t.capacity = t.capacity.Add(n.entry.Capacity)
		}
		t.used = t.used.Add(n.used)
		for _, r := range n.runs {
			if name := r.task.step.job.team; name != "" {
				share := t.team(teams, name)
				share.used = share.used.Add(r.resources)
			}
		}
	}
	for _, s := range steps {
		if s.job.team != "" {
			t.team(teams, s.job.team)
		}
	}
	active := make([]*teamShare, 0, len(t.teams))
	for _, share := range t.teams {
		share.dominant = dominantShare(share.used, t.capacity)
		active = append(active, share)
	}
	level := t.fairLevel(active)
	for _, share := range active {
		share.exceeded = share.exceeds(level)
	}
	return t
}

// dominantShare returns the largest fraction of a resource that used is of capacity.
func dominantShare(used, capacity worker.Resources) float64 {
	share := 0.0
	for _, d := range [][2]int64{{used.MilliCPU, capacity.MilliCPU}, {used.MemoryMiB, capacity.MemoryMiB}, {used.Accelerators, capacity.Accelerators}} {
		if d[1] > 0 {
			share = max(share, float64(d[0])/float64(d[1]))
		}
	}
	return share
}

// fairLevel returns the dominant share by weight at which the teams would hold equal
// parts of what they hold now and of what is free in the scarcest resource. What other
// work holds is not theirs to divide. While much is free no team exceeds its part.
func (t *shareTable) fairLevel(teams []*teamShare) float64 {
	divided, weights := max(1-dominantShare(t.used, t.capacity), 0), 0.0
	for _, share := range teams {
		divided += share.dominant
		weights += share.weight
	}
	if weights == 0 {
		return math.Inf(1)
	}
	return divided / weights
}

// exceeds reports whether the team holds more than its part at the level, beyond
// rounding errors.
func (s *teamShare) exceeds(level float64) bool {
	return !math.IsInf(level, 1) && s.dominant > level*s.weight+1e-9
}

// inShareOrder returns the steps, which are sorted by urgency, in the order in which a
// pass tries them. Within a priority and rate class, a step is deferred behind the
// others if its team exceeds its fair part among the teams that wait in the same
// priority and class: what a team holds for jobs beyond its rate does not change the
// order of other teams' jobs within their rates. The consumer places tasks of a step
// before it takes the next one: what it has placed counts at once, so that a team cannot
// take all capacity that became free in one pass.
// Without teams the order is that of steps.
func (p *Pool) inShareOrder(steps []*step, now time.Time) iter.Seq[*step] {
	p.shares = nil
	teams := p.teams()
	if len(teams) == 0 {
		return slices.Values(steps)
	}
	table := p.measureShares(teams, steps, now)
	p.shares = table
	p.observeCongestion(steps, now)
	return func(yield func(*step) bool) {
		for len(steps) > 0 {
			first, end := steps[0].job, 1
			for end < len(steps) && steps[end].job.queue.Priority == first.queue.Priority && steps[end].job.beyondRate == first.beyondRate {
				end++
			}
			if !table.yieldGroup(steps[:end], yield) {
				return
			}
			steps = steps[end:]
		}
	}
}

// yieldGroup yields the steps of one priority and rate class, those of teams within
// their part first. It returns false once yield has.
func (t *shareTable) yieldGroup(steps []*step, yield func(*step) bool) bool {
	t.groups++
	var waiting []*teamShare
	for _, s := range steps {
		if share := t.teams[s.job.team]; share != nil && share.group != t.groups {
			share.group = t.groups
			waiting = append(waiting, share)
		}
	}
	level := math.Inf(1)
	if len(waiting) > 1 {
		level = t.fairLevel(waiting)
	}
	var deferred []*step
	for _, s := range steps {
		share := t.teams[s.job.team]
		if share != nil && share.exceeds(level) {
			deferred = append(deferred, s)
		} else if !t.yieldCounted(s, share, yield) {
			return false
		}
	}
	for _, s := range deferred {
		if !t.yieldCounted(s, t.teams[s.job.team], yield) {
			return false
		}
	}
	return true
}

// yieldCounted yields a step and adds the tasks that were placed meanwhile to the
// team's share, which is nil for a job without a team.
func (t *shareTable) yieldCounted(s *step, share *teamShare, yield func(*step) bool) bool {
	before := s.unplacedCount()
	if !yield(s) {
		return false
	}
	placed := int64(before - s.unplacedCount())
	if placed <= 0 {
		return true
	}
	need := s.need()
	added := worker.Resources{MilliCPU: need.MilliCPU * placed, MemoryMiB: need.MemoryMiB * placed, Accelerators: need.Accelerators * placed}
	t.used = t.used.Add(added)
	if share != nil {
		share.used = share.used.Add(added)
		share.dominant = dominantShare(share.used, t.capacity)
	}
	return true
}

// unplacedCount returns the number of tasks that are neither done nor assigned to a
// worker.
func (s *step) unplacedCount() int {
	count := 0
	for _, t := range s.tasks {
		if !t.done && t.currentRun == nil {
			count++
		}
	}
	return count
}

// evictionRank orders the runs that may be evicted for a step of a more urgent
// priority: those of jobs beyond the rate of their team first, then those of teams that
// exceed their part of the shard. Which runs may be evicted does not depend on shares:
// nothing is stopped for work of its own priority, since the time lost in a stop is lost
// for both. Nothing is stopped either for jobs beyond the rate of their team, which are
// served from what is left over; see reserveOrEvict.
func (p *Pool) evictionRank(r *run) int {
	j := r.task.step.job
	switch {
	case j.beyondRate:
		return 0
	case p.shares != nil && p.shares.teams[j.team] != nil && p.shares.teams[j.team].exceeded:
		return 1
	}
	return 2
}
