package pool

import "time"

const (
	// maxRackWait bounds how long a task waits for a place in its preferred rack,
	// counted from when its step became ready. No work may wait for 3 s while there
	// is capacity for it, and a call for advice and a start may follow the wait.
	maxRackWait = 1500 * time.Millisecond
	// rackWaitSlackShare is the part of the slack that a wait may use. The rest is
	// for forecasts that are wrong.
	rackWaitSlackShare = 0.5
	// longRunTime stands for the run time of a long-running task. It stays in a wrong
	// place as long as it runs, so in effect only the limits bound its wait.
	longRunTime = time.Hour
)

// rackVerdict is the outcome of a comparison between a wait for a rack and a start on
// the capacity that is available elsewhere now.
type rackVerdict struct {
	wait   bool
	reason string
	// forecast is the time until the place in the rack is expected, if known.
	forecast      time.Duration
	forecastKnown bool
	// runTime is the expected run time in the rack, and remoteTime elsewhere.
	runTime, remoteTime time.Duration
	// limit bounds the rest of the wait.
	limit time.Duration
	// asks is set if the place is free now and only the ticket for it is missing.
	asks bool
}

// Reasons of a rackVerdict.
const (
	rackWaitPays    = "the wait is shorter than the time that a run elsewhere takes in addition"
	rackNoEstimate  = "no run time is known"
	rackNoSlack     = "the job has no slack"
	rackNoPlace     = "no place in the rack is expected"
	rackTooLate     = "a run elsewhere ends earlier"
	rackContended   = "other tasks will use the place in the rack"
	rackBeyondLimit = "the wait would exceed its limit"
)

// rackChoice decides for the tasks of one step in one pass whether they wait for a
// place in a rack. It is nil for a step without a preference.
type rackChoice struct {
	pool     *Pool
	step     *step
	capacity *capacityTracker
	now      time.Time
	// origin is when the step became ready.
	origin time.Time
	slack  time.Duration
	// runTime is the expected run time in the rack, 0 if it is not known.
	runTime time.Duration
	// contended is set if the tasks that prefer the rack need most of it. They come
	// arrivalGap apart.
	contended  bool
	arrivalGap time.Duration
	queue      *rackQueue
	// waiting holds the tasks that wait. asking counts those of them whose place is
	// free now.
	waiting []*task
	asking  int
	// refused is set once a task does not wait; no later one does in this pass,
	// since its place is no earlier.
	refused bool
	last    rackVerdict
}

// newRackChoice returns the choice for a step, nil if the run time does not depend on
// the rack.
func (p *Pool) newRackChoice(s *step, capacity *capacityTracker, now time.Time) *rackChoice {
	preference := s.spec.PreferredRack != "" || s.spec.Gang && s.spec.SameRack
	if p.opts.RemoteFactor <= 1 || !preference || s.spec.Filler {
		return nil
	}
	if capacity.rackForecasts == nil {
		capacity.rackForecasts = newRackForecasts(capacity, now)
		capacity.rackChoices = make(map[*step]*rackChoice)
	}
	c := &rackChoice{pool: p, step: s, capacity: capacity, now: now, origin: s.readyAt}
	if len(s.spec.DependsOn) == 0 {
		c.origin = s.occurrence.due // also known to a scheduler that takes over
	}
	c.slack, _ = p.slack(s, now)
	c.runTime, _ = p.expectedRunTime(s)
	if s.spec.LongRunning {
		c.runTime = longRunTime
	}
	if rack := s.spec.PreferredRack; rack != "" {
		c.arrivalGap, c.contended = p.rackDemands[rack].nextArrival(capacity.rackForecasts.milliCPU(rack), now)
	}
	capacity.rackChoices[s] = c
	return c
}

// waits reports whether a task should wait for its preferred rack instead of starting
// on a worker.
func (c *rackChoice) waits(t *task, chosen *node) bool {
	if c == nil || chosen.entry.HasLabel(c.step.spec.PreferredRack) || c.refused {
		return false
	}
	if c.queue == nil {
		// A worker that could take the task now and was not chosen is not worth a
		// wait either.
		c.queue = c.capacity.rackForecasts.newRackQueue(c.step, c.step.spec.PreferredRack, c.runTime, func(n *node) bool {
			_, valid := c.step.validTicket(n, c.now)
			return n.entry.ID == t.lastFailedWorker || valid && c.capacity.tasksThatFit(c.step, n) > 0
		})
	}
	at, ok := c.queue.take()
	c.last = c.compare(at.at, ok, c.waitingSince(t))
	if !c.last.wait {
		c.refused = true
		return false
	}
	c.last.asks = c.capacity.tasksThatFit(c.step, at.node) > 0
	if c.last.asks {
		c.asking++
	}
	c.capacity.rackForecasts.claim(at, c.step.need(), c.runTime)
	c.waiting = append(c.waiting, t)
	return true
}

// gangWaits reports whether a gang that could start on several racks now should
// wait until one rack has places for all of it.
func (c *rackChoice) gangWaits(tasks []*task) bool {
	if c == nil {
		return false
	}
	racks := []string{c.step.spec.PreferredRack}
	if racks[0] == "" {
		racks = c.capacity.rackForecasts.racks()
	}
	var best []place
	for _, rack := range racks {
		queue := c.capacity.rackForecasts.newRackQueue(c.step, rack, c.runTime, nil)
		var places []place
		for range tasks {
			p, ok := queue.take()
			if !ok {
				break
			}
			places = append(places, p)
		}
		if len(places) == len(tasks) && (best == nil || places[len(places)-1].at.Before(best[len(best)-1].at)) {
			best = places
		}
	}
	at := time.Time{}
	if best != nil {
		at = best[len(best)-1].at
	}
	c.last = c.compare(at, best != nil, c.waitingSince(tasks[0]))
	if !c.last.wait {
		return false
	}
	for _, p := range best {
		c.capacity.rackForecasts.claim(place{p.node, at}, c.step.need(), c.runTime)
	}
	c.waiting = append(c.waiting, tasks...)
	return true
}

// placedWell reports whether a gang runs in its preferred rack or, if it has none, in
// one rack, as far as that matters.
func (c *rackChoice) placedWell(placed []placement) bool {
	if c == nil {
		return true
	}
	for _, pl := range placed {
		if rack := c.step.spec.PreferredRack; rack != "" && !pl.node.entry.HasLabel(rack) ||
			rack == "" && pl.node.entry.Rack() != placed[0].node.entry.Rack() {
			return false
		}
	}
	return true
}

// waitingSince returns since when the task has waited for a rack, now if it has not.
func (c *rackChoice) waitingSince(t *task) time.Time {
	if c.step.rackWait != nil {
		if since, ok := c.step.rackWait.since[t]; ok {
			return since
		}
	}
	return c.now
}

// compare decides whether a task that has waited since a time waits for a place in its
// rack from another time on. The time that it has waited counts, so that a forecast
// that is wrong again and again costs at most what a run elsewhere takes in addition.
func (c *rackChoice) compare(at time.Time, expected bool, since time.Time) rackVerdict {
	v := rackVerdict{runTime: c.runTime, remoteTime: time.Duration(c.pool.opts.RemoteFactor * float64(c.runTime)), forecastKnown: expected}
	gain := v.remoteTime - v.runTime
	if c.contended && since.Equal(c.now) {
		// Without the wait, the task that comes next would take the place. The wait
		// gains only the time until then, in which the place would be unused. A task
		// that waits already goes on, since what it has waited would be lost.
		gain = min(gain, time.Duration((c.pool.opts.RemoteFactor-1)*float64(c.arrivalGap)))
	}
	v.limit = min(maxRackWait-c.now.Sub(c.origin), time.Duration(rackWaitSlackShare*float64(c.slack)))
	if expected {
		v.forecast = at.Sub(c.now)
	}
	switch {
	case c.slack <= 0:
		v.reason = rackNoSlack
	case !expected:
		v.reason = rackNoPlace
	case c.runTime == 0:
		v.reason = rackNoEstimate
	case at.Sub(since) >= v.remoteTime-v.runTime:
		v.reason = rackTooLate
	case at.Sub(since) >= gain:
		v.reason = rackContended
	case v.forecast > v.limit:
		v.reason = rackBeyondLimit
	default:
		v.wait, v.reason = true, rackWaitPays
	}
	return v
}

// rackWait is the state of a step with tasks that wait, or have waited, for a rack.
type rackWait struct {
	// since holds when the tasks that wait began to.
	since map[*task]time.Time
	begun time.Time
	// near and remote count the tasks that were placed after a wait.
	near, remote int
	waited, net  time.Duration
}

// noteRackChoice updates the metrics and the waits of a step after its tasks have been
// placed. It returns how many of the tasks that were not placed wait for a rack and how
// many of these lack only a ticket for a free place there.
func (p *Pool) noteRackChoice(s *step, placed []placement, capacity *capacityTracker, now time.Time) (waiting, asking int) {
	c := capacity.rackChoices[s]
	if c == nil {
		return 0, 0
	}
	if rack := s.spec.PreferredRack; rack != "" && !s.rackDemandNoted {
		s.rackDemandNoted = true
		p.noteRackDemand(rack, float64(s.need().MilliCPU)*c.runTime.Seconds()*float64(len(s.tasks)), now)
	}
	near := c.placedWell(placed)
	for _, pl := range placed {
		if !s.spec.Gang {
			near = pl.node.entry.HasLabel(s.spec.PreferredRack)
		}
		p.countRackPlacement(c, pl.task, near, now)
	}
	for _, t := range c.waiting {
		w := s.rackWait
		if w == nil {
			w = &rackWait{since: make(map[*task]time.Time), begun: now}
			s.rackWait = w
			p.taskLog.Info("waits for its rack", "job", s.job.id, "step", s.name(), "rack", s.spec.PreferredRack, "tasks", len(c.waiting), "forecast_ms", c.last.forecast.Milliseconds(),
				"run_ms", c.last.runTime.Milliseconds(), "elsewhere_ms", c.last.remoteTime.Milliseconds(), "limit_ms", c.last.limit.Milliseconds())
		}
		if w.since[t].IsZero() {
			w.since[t] = now
			p.incrementMetric("tasks.rack.waited")
		}
	}
	if w := s.rackWait; w != nil && len(w.since) == 0 {
		s.rackWait = nil
		p.taskLog.Info("no longer waits for its rack", "job", s.job.id, "step", s.name(), "rack", s.spec.PreferredRack, "in_rack", w.near, "elsewhere", w.remote,
			"took_ms", now.Sub(w.begun).Milliseconds(), "waited_ms", w.waited.Milliseconds(), "gained_ms", w.net.Milliseconds(), "reason", c.last.reason)
	}
	return len(c.waiting), c.asking
}

// countRackPlacement counts the placement of a task and what its wait has gained or
// lost: a task that started in its rack would have run longer elsewhere, and one that
// started elsewhere could have done so without the wait.
func (p *Pool) countRackPlacement(c *rackChoice, t *task, near bool, now time.Time) {
	if near {
		p.incrementMetric("tasks.rack.preferred")
	} else {
		p.incrementMetric("tasks.rack.elsewhere")
	}
	w := c.step.rackWait
	if w == nil || w.since[t].IsZero() {
		return
	}
	waited := now.Sub(w.since[t])
	delete(w.since, t)
	net := -waited
	if near {
		w.near++
		if !c.step.spec.LongRunning {
			net += time.Duration((p.opts.RemoteFactor - 1) * float64(c.runTime))
		}
	} else {
		w.remote++
	}
	w.waited, w.net = w.waited+waited, w.net+net
	p.addMetric("tasks.rack.waited_ms", waited.Milliseconds())
	if net >= 0 {
		p.addMetric("tasks.rack.gained_ms", net.Milliseconds())
	} else {
		p.addMetric("tasks.rack.lost_ms", -net.Milliseconds())
	}
}
