package pool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/worker"
)

const (
	// expectedStopTime is the expected time until a run that is being stopped has
	// ended. A stop takes up to 0.9 s.
	expectedStopTime = 450 * time.Millisecond
	// minForecastPercent is the progress from which the expected end of a run is
	// derived from its progress. Progress is reported in whole percent, so below it
	// the rounding alone makes a fifth.
	minForecastPercent = 5
	// minOverdue is the shortest time that an overdue run is expected to take in
	// addition; otherwise it is the time by which the run is overdue. An end is
	// reported up to 0.3 s late if the worker lists it just after another one.
	minOverdue = 50 * time.Millisecond
	// maxSlowdowns bounds the averages of run times. Callers choose the names of
	// images.
	maxSlowdowns = 2000
)

// capacityChange is a change of the free resources of a worker at an expected time:
// the end of a run, or the start or end of a task that waits for the worker.
type capacityChange struct {
	at    time.Time
	delta worker.Resources
}

// rackForecasts holds the expected capacity of racks in one pass. Racks are added when
// a step first needs them.
type rackForecasts struct {
	pool     *Pool
	now      time.Time
	capacity *capacityTracker
	// byRack holds the workers of a rack that may be given work in this pass.
	byRack map[string][]*node
	// ends holds the expected ends of the runs on a worker, and claims the places
	// that waiting tasks of more urgent steps will take.
	ends   map[*node]expectedEnds
	claims map[*node][]capacityChange
}

const (
	// demandPeriod is the time over which the demand for a rack is averaged.
	demandPeriod = 5 * time.Second
	// minDemandAge is the shortest time over which the demand is averaged.
	minDemandAge = 500 * time.Millisecond
	// demandGapWeight is the weight of the newest gap between two arrivals in the
	// moving average.
	demandGapWeight = 0.2
	// sameArrival is the time within which arrivals count as one.
	sameArrival = 50 * time.Millisecond
	// contendedDemand is the demand for a rack, relative to its capacity, above which
	// a task that waits takes its place from a task that comes later.
	contendedDemand = 0.6
)

// rackDemand measures the work that prefers a rack.
type rackDemand struct {
	// work is the decayed sum of processor time in thousandths of a core times
	// seconds.
	work        float64
	first, last time.Time
	// gap is the average time between arrivals, 0 before the second one.
	gap time.Duration
}

// add adds the work of a step that has become ready.
func (d *rackDemand) add(work float64, now time.Time) {
	since := now.Sub(d.last)
	switch {
	case d.last.IsZero():
		d.first = now
	case since > sameArrival && d.gap == 0:
		d.gap = since
	case since > sameArrival:
		d.gap += time.Duration(demandGapWeight * float64(since-d.gap))
	}
	d.work = d.work*math.Exp(-since.Seconds()/demandPeriod.Seconds()) + work
	d.last = now
}

// nextArrival returns the expected time between arrivals if the demand for the rack
// takes most of a capacity given in thousandths of a core. contended is false if it
// does not.
func (d *rackDemand) nextArrival(milliCPU int64, now time.Time) (gap time.Duration, contended bool) {
	if d == nil || d.gap == 0 {
		return 0, false
	}
	since := now.Sub(d.last)
	// The sum covers less than the whole period while the first arrival is recent.
	period := demandPeriod.Seconds() * (1 - math.Exp(-max(now.Sub(d.first), minDemandAge).Seconds()/demandPeriod.Seconds()))
	rate := d.work * math.Exp(-since.Seconds()/demandPeriod.Seconds()) / period
	return max(d.gap, since), rate > contendedDemand*float64(milliCPU)
}

// expectedEnds holds the ends of the runs on a worker, the next one first. It is
// computed again once the number of runs differs.
type expectedEnds struct {
	changes []capacityChange
	runs    int
}

func newRackForecasts(capacity *capacityTracker, now time.Time) *rackForecasts {
	return &rackForecasts{
		pool: capacity.pool, now: now, capacity: capacity,
		byRack: make(map[string][]*node), ends: make(map[*node]expectedEnds), claims: make(map[*node][]capacityChange),
	}
}

// workers returns the workers of a rack that may be given work, ordered by ID.
func (f *rackForecasts) workers(rack string) []*node {
	nodes, known := f.byRack[rack]
	if !known {
		for _, n := range f.capacity.nodes {
			if n.entry.HasLabel(rack) {
				nodes = append(nodes, n)
			}
		}
		slices.SortFunc(nodes, func(a, b *node) int { return cmp.Compare(a.entry.ID, b.entry.ID) })
		f.byRack[rack] = nodes
	}
	return nodes
}

// milliCPU returns the processor capacity of the workers of a rack that may be given
// work.
func (f *rackForecasts) milliCPU(rack string) (sum int64) {
	for _, n := range f.workers(rack) {
		sum += n.entry.Capacity.MilliCPU
	}
	return sum
}

// noteRackDemand adds the work of a step that prefers a rack to the demand for it.
func (p *Pool) noteRackDemand(rack string, work float64, now time.Time) {
	if p.rackDemands == nil {
		p.rackDemands = make(map[string]*rackDemand)
	}
	if p.rackDemands[rack] == nil {
		if len(p.rackDemands) >= maxSlowdowns {
			return
		}
		p.rackDemands[rack] = &rackDemand{}
	}
	p.rackDemands[rack].add(work, now)
}

// racks returns the racks with workers that may be given work, sorted.
func (f *rackForecasts) racks() []string {
	seen := make(map[string]bool)
	var racks []string
	for _, n := range f.capacity.nodes {
		if rack := n.entry.Rack(); rack != "" && !seen[rack] {
			seen[rack] = true
			racks = append(racks, rack)
		}
	}
	slices.Sort(racks)
	return racks
}

// changesOn returns the expected changes of the free resources of a worker, the next
// one first.
func (f *rackForecasts) changesOn(n *node) []capacityChange {
	ends, known := f.ends[n]
	if !known || ends.runs != len(n.runs) {
		ends = expectedEnds{runs: len(n.runs)}
		for _, r := range n.runs {
			if at, ok := f.pool.expectedEnd(r, f.now); ok {
				ends.changes = append(ends.changes, capacityChange{at, r.resources})
			}
		}
		slices.SortFunc(ends.changes, compareChanges)
		f.ends[n] = ends
	}
	if len(f.claims[n]) == 0 {
		return ends.changes
	}
	changes := slices.Concat(ends.changes, f.claims[n])
	slices.SortStableFunc(changes, compareChanges)
	return changes
}

func compareChanges(a, b capacityChange) int { return a.at.Compare(b.at) }

// claim records that a task that waits takes a place on a worker from a time on, for
// its run time.
func (f *rackForecasts) claim(p place, need worker.Resources, runTime time.Duration) {
	f.claims[p.node] = append(f.claims[p.node],
		capacityChange{p.at, worker.Resources{}.Sub(need)}, capacityChange{p.at.Add(runTime), need})
}

// place is a place for a task on a worker from a time on.
type place struct {
	node *node
	at   time.Time
}

// firstFit returns the earliest time from which on free resources, with the given
// changes, are always at least need. ok is false if there is none.
func firstFit(free, need worker.Resources, now time.Time, changes []capacityChange) (at time.Time, ok bool) {
	for _, c := range changes {
		free = free.Add(c.delta)
	}
	for i := len(changes) - 1; i >= 0; i-- {
		if !need.Fits(free) {
			return at, ok
		}
		at, ok = changes[i].at, true
		free = free.Sub(changes[i].delta)
	}
	if need.Fits(free) {
		return now, true
	}
	return at, ok
}

// rackQueue gives the tasks of one step places in a rack, the earliest first.
type rackQueue struct {
	forecasts *rackForecasts
	step      *step
	runTime   time.Duration
	next      []queuedPlace
	taken     map[*node]int
}

// queuedPlace is the next place on a worker. approval is the probability that the
// policy approves the worker.
type queuedPlace struct {
	place
	approval float64
	changes  []capacityChange
}

// newRackQueue returns the places in a rack for tasks of the step. Workers in skip are
// left out.
func (f *rackForecasts) newRackQueue(s *step, rack string, runTime time.Duration, skip func(*node) bool) *rackQueue {
	q := &rackQueue{forecasts: f, step: s, runTime: runTime, taken: make(map[*node]int)}
	for _, n := range f.workers(rack) {
		if !f.pool.eligible(s, n) || s.deniedOn(n) || skip != nil && skip(n) {
			continue
		}
		entry := queuedPlace{place: place{node: n}, approval: 1, changes: f.changesOn(n)}
		if s.job.queue.Policy != nil && !s.advice.approved[n.entry.ID] {
			entry.approval = f.pool.approvalShare(s.job.queue.Name)
		}
		if q.advance(&entry) {
			q.next = append(q.next, entry)
		}
	}
	return q
}

// advance computes the next place on the worker of the entry. It returns false if
// there is none.
func (q *rackQueue) advance(e *queuedPlace) bool {
	f, s, n := q.forecasts, q.step, e.node
	if s.spec.MaxPerWorker > 0 && n.runsPerStep[s]+q.taken[n] >= s.spec.MaxPerWorker {
		return false
	}
	at, ok := firstFit(n.free().Sub(f.capacity.reserved[n]), s.need(), f.now, e.changes)
	if !ok {
		return false
	}
	if policy := s.job.queue.Policy; policy != nil {
		if _, valid := s.validTicket(n, at); !valid {
			at = at.Add(policy.DecisionTime + minWorkersPerCall*policy.TimePerWorker)
		}
	}
	e.at = at
	return true
}

// take returns the earliest place that is left and takes it. Places on workers whose
// approval is not known count in part. ok is false if there are not enough.
func (q *rackQueue) take() (p place, ok bool) {
	for expected := 0.0; expected < 1; {
		best := -1
		for i := range q.next {
			if best < 0 || q.next[i].at.Before(q.next[best].at) {
				best = i
			}
		}
		if best < 0 {
			return place{}, false
		}
		e := &q.next[best]
		p, expected = e.place, expected+e.approval
		q.taken[e.node]++
		need := q.step.need()
		e.changes = append(slices.Clone(e.changes), capacityChange{p.at, worker.Resources{}.Sub(need)}, capacityChange{p.at.Add(q.runTime), need})
		slices.SortStableFunc(e.changes, compareChanges)
		if !q.advance(e) {
			q.next = slices.Delete(q.next, best, best+1)
		}
	}
	return p, true
}

// expectedEnd returns when a run is expected to end. ok is false if it cannot be told.
func (p *Pool) expectedEnd(r *run, now time.Time) (end time.Time, ok bool) {
	s := r.task.step
	started := r.startedAt
	if started.IsZero() {
		started = now
	}
	switch {
	case r.stopping:
		return now.Add(expectedStopTime), true
	case s.spec.LongRunning, s.spec.Filler:
		return time.Time{}, false
	}
	total, known := p.expectedRunTime(s)
	if p.runsRemotely(r) {
		total = time.Duration(float64(total) * p.opts.RemoteFactor)
	}
	// A run of a predecessor has a start time from before this term, and a run
	// that resumed from a checkpoint has progress from before its start.
	whole := !r.startSentAt.IsZero() && r.task.checkpoint == ""
	switch {
	case whole && r.percent >= minForecastPercent && r.pace >= fullPace:
		// Half a percent is what the rounding leaves out on average.
		total = r.percentChangedAt.Sub(started) * 1000 / time.Duration(10*min(r.percent, 99)+5)
	case !known:
		return time.Time{}, false
	case !whole && !r.percentChangedAt.IsZero():
		started, total = r.percentChangedAt, total*time.Duration(100-min(r.percent, 100))/100
	}
	end = started.Add(total)
	if end.Before(now) {
		end = now.Add(max(minOverdue, now.Sub(end)))
	}
	return end, true
}

// runsRemotely reports whether a run takes longer because it is outside the rack that
// its step prefers.
func (p *Pool) runsRemotely(r *run) bool {
	rack := r.task.step.spec.PreferredRack
	return p.opts.RemoteFactor > 1 && rack != "" && !r.node.entry.HasLabel(rack)
}

// expectedRunTime returns how long a task of the step is expected to run in its
// preferred rack. Tasks of the same step that are done are the best measure: the
// estimate is off in the same way for all of them. Otherwise the estimate is corrected
// by the average of the runs of the same image, or of the queue. known is false without
// an estimate.
func (p *Pool) expectedRunTime(s *step) (d time.Duration, known bool) {
	if len(s.runTimes) >= minSiblings {
		return s.runTimes[len(s.runTimes)/2], true
	}
	if s.spec.EstimateMS <= 0 {
		return 0, false
	}
	average := p.slowdowns[imageKey(s)]
	if average == nil || average.samples < minSlowdownSamples {
		average = p.slowdowns[s.job.queue.Name]
	}
	return time.Duration(float64(s.spec.EstimateMS) * average.value() * float64(time.Millisecond)), true
}

// recordImageRunTime adds a run time to the average of the image of a step, which only
// forecasts of racks use.
func (p *Pool) recordImageRunTime(s *step, took time.Duration) {
	if p.opts.RemoteFactor <= 1 || s.spec.Image == "" {
		return
	}
	key := imageKey(s)
	if p.slowdowns[key] == nil {
		if len(p.slowdowns) >= maxSlowdowns {
			return
		}
		p.slowdowns[key] = &slowdown{}
	}
	p.slowdowns[key].add(float64(took.Milliseconds()) / float64(s.spec.EstimateMS))
}

// imageKey is the key of the average run time of an image in a queue. No name of a
// queue contains its separator.
func imageKey(s *step) string { return s.job.queue.Name + "\x00" + s.spec.Image }
