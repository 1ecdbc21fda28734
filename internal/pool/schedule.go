package pool

import "time"

// maxEagerSteps is how many steps of a queue ask for advice before there is
// free capacity for them.
const maxEagerSteps = 3

// maxUnplacedSteps is for how many steps of a queue that are left with unplaced tasks a
// pass reserves or frees capacity. Under overload, doing so for all would take the
// scheduler's whole processor. Steps for which the workers are too few or too small do not
// count, since they may stay for ever; a pass tries no more than this many of them either.
const maxUnplacedSteps = 40

// maxFailedTries is how many further steps of a queue a pass tries in vain to place. What
// keeps these from being placed is not known before: advice, their own bound for each
// worker, or a rack. Passes go through them in turn.
const maxFailedTries = 10

// queuePass is one queue in a scheduling pass.
type queuePass struct {
	// unplaced and impossible count the steps that are left with unplaced tasks, and
	// failedTries those beyond maxUnplacedSteps.
	unplaced, impossible, failedTries int
	// leftOut counts the steps that were not tried, and cutShort is set if one of them
	// has not been tried since roundBegun.
	leftOut    int
	cutShort   bool
	roundBegun time.Time
}

// schedule makes one greedy pass: it goes through the steps with tasks to place,
// most urgent first, and places as many tasks of each as fit. For tasks that do
// not fit it requests advice and reserves or frees capacity. After
// maxUnplacedSteps steps of a queue with unplaced tasks it only places those of the
// queue that still fit. It returns the number of steps that it tried. The caller must
// hold p.mu.
func (p *Pool) schedule(now time.Time) (tried int) {
	p.lastPass = newPassLog()
	quotas := p.newQuotaPass(now)
	defer quotas.finish()
	steps, ending := p.readySteps(now), p.endingWaits()
	if len(steps)+len(ending) == 0 {
		return 0
	}
	p.sortByUrgency(steps, now)
	p.noteIdle(now)
	capacity := p.newCapacityTracker(now)
	queues := make(map[string]*queuePass)
	for s := range p.inShareOrder(steps, now) {
		queue := queues[s.job.queue.Name]
		if queue == nil {
			queue = &queuePass{roundBegun: p.queueRounds[s.job.queue.Name]}
			queues[s.job.queue.Name] = queue
		}
		if quotas.skips(s) || queue.unplaced >= maxUnplacedSteps && !queue.triesMore(s, capacity) {
			queue.leftOut++
			continue
		}
		unplaced := quotas.admit(s, capacity.placeable(s, s.unplacedTasks(), now), capacity)
		if len(unplaced) == 0 {
			quotas.noteHeld(s, now)
			continue
		}
		if queue.impossible >= maxUnplacedSteps && !capacity.couldHoldAny(s, len(unplaced)) {
			queue.leftOut++
			continue
		}
		tried++
		s.triedAt = now
		placed := p.placeStep(s, unplaced, capacity, now)
		waiting, asking := p.noteRackChoice(s, placed, capacity, now)
		p.handleUnplaced(s, queue, len(unplaced)-len(placed)-waiting, asking, capacity, now)
		s.noteTried(capacity, now)
		p.storePlacements(s, placed)
	}
	for s, runs := range ending {
		p.requestAdvice(s, runs, capacity, false, now)
	}
	for name, queue := range queues {
		if !queue.cutShort {
			p.queueRounds[name] = now
		}
		p.lastPass.noteLeftOut(name, queue.leftOut)
	}
	return tried
}

// triesMore reports whether a pass tries the step although maxUnplacedSteps steps of its
// queue are left with unplaced tasks: its tasks may fit, and it has not been tried since
// the last time that all steps of the queue had been.
func (q *queuePass) triesMore(s *step, capacity *capacityTracker) bool {
	if capacity.knownFull(s) || capacity.knownGangShortage(s) || s.triedAt.After(q.roundBegun) {
		return false
	}
	if q.failedTries >= maxFailedTries {
		q.cutShort = true
		return false
	}
	return true
}

// handleUnplaced requests advice and reserves or frees capacity for a step that was tried,
// of which so many tasks could not be placed. asking is how many of those that wait for a
// rack lack only advice.
func (p *Pool) handleUnplaced(s *step, queue *queuePass, remaining, asking int, capacity *capacityTracker, now time.Time) {
	advised := s.job.queue.Policy != nil
	switch {
	case remaining <= 0:
		if asking > 0 && advised {
			p.requestAdvice(s, asking, capacity, false, now)
		}
	case !capacity.couldHoldAny(s, remaining):
		queue.impossible++
	case queue.unplaced >= maxUnplacedSteps:
		queue.failedTries++
		if advised {
			p.requestAdvice(s, remaining, capacity, false, now)
		}
	default:
		queue.unplaced++
		if advised {
			p.requestAdvice(s, remaining, capacity, queue.unplaced <= maxEagerSteps, now)
		}
		p.reserveOrEvict(s, remaining, capacity, now)
	}
}
