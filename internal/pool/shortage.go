package pool

import (
	"slices"

	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// A pass remembers for which needs the workers have no capacity, so that steps of at least
// the same need are dismissed without a look at the workers.

// shortage is a need for which no worker with the label has capacity.
type shortage struct {
	label string
	need  worker.Resources
}

// gangShortage is a number of tasks for which the workers with the label have no capacity
// at a time, of which a worker may run so many, any number if that is 0.
type gangShortage struct {
	shortage
	tasks, maxPerWorker int
}

// noteGangShortage records that the workers have no capacity for that many tasks of a gang.
func (c *capacityTracker) noteGangShortage(s *step, tasks int) {
	if s.job.queue.Policy == nil {
		c.gangShortages = append(c.gangShortages, gangShortage{shortage{s.spec.RequiredLabel, s.need()}, tasks, s.spec.MaxPerWorker})
	}
}

// knownGangShortage reports whether the step is a gang at least as large as one for which
// the workers have no capacity.
func (c *capacityTracker) knownGangShortage(s *step) bool {
	if !s.spec.Gang || len(c.gangShortages) == 0 {
		return false
	}
	tasks := s.unplacedCount()
	return slices.ContainsFunc(c.gangShortages, func(m gangShortage) bool {
		return tasks >= m.tasks && (m.maxPerWorker == 0 || 0 < s.spec.MaxPerWorker && s.spec.MaxPerWorker <= m.maxPerWorker) &&
			knownShortage([]shortage{m.shortage}, s)
	})
}

// full reports whether no worker has capacity for a task of the step now.
func (c *capacityTracker) full(s *step) bool {
	return c.knownFull(s) || c.findShortage(s, &c.shortages, func(n *node) worker.Resources { return c.free(s, n) })
}

// knownFull reports whether no worker has capacity for a task of the step, as far as that
// is known without a look at the workers.
func (c *capacityTracker) knownFull(s *step) bool {
	if c.passesReservations(s) {
		return false
	}
	label := s.spec.RequiredLabel
	most, known := c.mostFree[label]
	if !known {
		for _, n := range c.nodes {
			if n.entry.Service == c.pool.opts.Shard.Service && (label == "" || n.entry.HasLabel(label)) {
				most = most.Max(n.free().Sub(c.reserved[n]))
			}
		}
		c.mostFree[label] = most
	}
	return !s.need().Fits(most) || knownShortage(c.shortages, s)
}

// fullAfterStops reports whether no worker will have capacity for a task of the
// step once the runs that are being stopped have ended.
func (c *capacityTracker) fullAfterStops(s *step) bool {
	return c.findShortage(s, &c.shortagesAfterStops, func(n *node) worker.Resources { return c.free(s, n).Add(n.stoppingResources) })
}

// findShortage reports whether no worker has enough free resources for a task of
// the step, and adds that to the known shortages. These do not apply to a step that may use
// reserved capacity.
func (c *capacityTracker) findShortage(s *step, known *[]shortage, free func(*node) worker.Resources) bool {
	if !c.passesReservations(s) && knownShortage(*known, s) {
		return true
	}
	need := s.need()
	for _, n := range c.nodes {
		if c.pool.eligible(s, n) && need.Fits(free(n)) {
			return false
		}
	}
	*known = append(slices.DeleteFunc(*known, func(m shortage) bool {
		return (s.spec.RequiredLabel == "" || m.label == s.spec.RequiredLabel) && need.Fits(m.need)
	}), shortage{s.spec.RequiredLabel, need})
	return true
}

// knownShortage reports whether a step needs at least as much as one of the
// known shortages.
func knownShortage(known []shortage, s *step) bool {
	need := s.need()
	return slices.ContainsFunc(known, func(m shortage) bool {
		return (m.label == "" || m.label == s.spec.RequiredLabel) && m.need.Fits(need)
	})
}
