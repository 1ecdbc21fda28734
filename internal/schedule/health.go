package schedule

import (
	"math"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/worker"
)

const (
	// falsePositiveRate is the accepted probability that a worker with the
	// median failure rate is quarantined for one run of failures without a
	// success in between.
	falsePositiveRate = 1e-6
	// minBlamedRun is the minimum number of failures blamed on a worker, without
	// a success in between, that quarantines it regardless of its failure rate.
	// The higher the median failure rate, the more are required.
	minBlamedRun = 3
	// conclusiveFailureRun is the number of failures without a success in
	// between from which a failure is blamed on a worker although no outcome of
	// the same work on other workers is known.
	conclusiveFailureRun = 8
	// maxRateExcess is how far the failure rate of a worker may lie above the
	// median before the worker is quarantined.
	maxRateExcess = 0.4
	// rateWeight is the weight of the newest outcome in the failure rate of a
	// worker, minRateOutcomes the number of outcomes from which the rate is used.
	rateWeight, minRateOutcomes = 1.0 / 16, 16
	// maxQuarantinedFraction bounds the fraction of the workers that are
	// quarantined: when more of them fail, the cause is not the workers.
	maxQuarantinedFraction = 0.25
	// A quarantined worker is probed after minProbeBackoff. Each failed probe
	// that is blamed on it doubles the backoff, up to maxProbeBackoff.
	minProbeBackoff, maxProbeBackoff = 2 * time.Second, 2 * time.Minute
	// guaranteedProbeDelay is how long a probe waits for a job of a profile
	// without a guaranteed share before it accepts any job.
	guaranteedProbeDelay = 5 * time.Second
	// survivalFactor is how many times longer than a failed task a running task
	// of the same work must have run to count as a success: waiting for the end
	// of a long task would delay the verdict.
	survivalFactor = 4
	// outcomesKept is the number of workers whose latest outcome is kept for
	// each combination of service and team.
	outcomesKept = 16
	// rateBuckets is the number of buckets of the histogram of failure rates.
	rateBuckets = 21
)

// workerHealth is the failure state of one worker.
type workerHealth struct {
	blamedRun    int // failures since the last success that are blamed on the worker
	failureRun   int // all failures since the last success
	outcomes     int // successes and blamed failures in failureRate
	failureRate  float64
	quarantined  bool
	probeOffered bool // one probe task may be placed
	probeAt      time.Time
	probeBackoff time.Duration
	restoredAt   time.Time // end of the last quarantine
}

// healthTracker tracks the failure rates of all held workers and the quarantine.
type healthTracker struct {
	rateCounts    [rateBuckets]int // number of workers by failure rate in steps of 5%
	workerCount   int
	quarantined   map[string]*heldWorker
	offeredProbes []*heldWorker
	lostWorkers   map[string]savedHealth // by name
}

// savedHealth keeps the failure state of a worker whose lease was lost.
type savedHealth struct {
	incarnation string
	health      workerHealth
}

func rateBucket(rate float64) int { return int(rate*(rateBuckets-1) + 0.5) }

// addWorker counts a worker and returns its failure state, which is restored if
// the worker was held before with the same incarnation.
func (h *healthTracker) addWorker(info worker.Info) workerHealth {
	state := workerHealth{}
	if saved, ok := h.lostWorkers[info.Name]; ok {
		if saved.incarnation == info.Incarnation {
			state = saved.health
			state.probeOffered = false
		}
		delete(h.lostWorkers, info.Name)
	}
	h.workerCount++
	h.rateCounts[rateBucket(state.failureRate)]++
	return state
}

// removeWorker removes a worker. A state with failures is saved in case the worker
// comes back with the same incarnation.
func (h *healthTracker) removeWorker(w *heldWorker) {
	h.workerCount--
	h.rateCounts[rateBucket(w.health.failureRate)]--
	delete(h.quarantined, w.info.Name)
	if w.health.quarantined || w.health.blamedRun > 0 || w.health.failureRate > 0.2 {
		if h.lostWorkers == nil {
			h.lostWorkers = map[string]savedHealth{}
		}
		h.lostWorkers[w.info.Name] = savedHealth{w.info.Incarnation, w.health}
	}
}

// medianRate returns the median failure rate of the workers.
func (h *healthTracker) medianRate() float64 {
	sum := 0
	for i, n := range h.rateCounts {
		if sum += n; 2*sum >= h.workerCount {
			return float64(i) / (rateBuckets - 1)
		}
	}
	return 0
}

// penalty is added to the cost of a worker. It ranks workers with unusually many
// failures behind all others, so that a worker that fails its tasks fast, and is
// therefore always empty, does not attract work.
func (h *healthTracker) penalty(w *heldWorker) float64 {
	if w.health.quarantined {
		return 4
	}
	cost := 4 * max(w.health.failureRate-0.2, 0)
	if w.health.failureRun > 1 {
		cost += 2
	}
	return cost
}

// outcomeHistory holds, for one service and team, the latest outcome on each of
// the workers on which its tasks ran last.
type outcomeHistory struct {
	workers [outcomesKept]workerOutcome
	oldest  int // index of the entry to replace next
}

// workerOutcome is the latest outcome on one worker and the start time of the
// task that runs there.
type workerOutcome struct {
	worker  string
	outcome outcome
	started time.Time // zero if no task runs
}

type outcome int8

const (
	outcomeUnknown outcome = iota
	outcomeSucceeded
	outcomeFailed
)

// forWorker returns the entry of a worker. For a new worker it replaces the oldest
// entry.
func (h *outcomeHistory) forWorker(name string) *workerOutcome {
	for i := range h.workers {
		if h.workers[i].worker == name {
			return &h.workers[i]
		}
	}
	t := &h.workers[h.oldest]
	h.oldest = (h.oldest + 1) % outcomesKept
	*t = workerOutcome{worker: name}
	return t
}

// blamesWorker reports whether a failure after the run time ran is blamed on the
// worker. It is if the same work succeeded or has run much longer on most
// of the other workers on which it ran last, or if it failed on no other worker
// and failureRun is at least conclusiveFailureRun. Failures of work that fails
// everywhere are blamed on no worker.
func (h *outcomeHistory) blamesWorker(name string, failureRun int, ran time.Duration, now time.Time) bool {
	failed, succeeded := 0, 0
	for i := range h.workers {
		switch t := &h.workers[i]; {
		case t.worker == "" || t.worker == name:
		case !t.started.IsZero() && now.Sub(t.started) >= max(survivalFactor*ran, time.Second):
			succeeded++
		case t.outcome == outcomeFailed:
			failed++
		case t.outcome == outcomeSucceeded:
			succeeded++
		}
	}
	return succeeded > failed || failed == 0 && failureRun >= conclusiveFailureRun
}

// recordOutcome updates the outcome history and the health of w when a task ends.
func (s *Scheduler) recordOutcome(w *heldWorker, a *allocation, failed bool, now time.Time) {
	if w.health.failureRun++; !failed {
		w.health.failureRun = 0
	}
	h := &s.history.forWorkload(a.service, a.team.name).outcomes
	blamed := failed && h.blamesWorker(w.info.Name, w.health.failureRun, now.Sub(a.start), now)
	h.forWorker(w.info.Name).outcome = outcomeSucceeded
	if failed {
		h.forWorker(w.info.Name).outcome = outcomeFailed
	}
	switch {
	case a.probe && w.health.quarantined:
		s.finishProbe(w, failed, blamed, now)
	case w.health.quarantined || failed && !blamed:
	default:
		s.updateFailureRate(w, failed, now)
	}
}

// updateFailureRate adds a success or a blamed failure to the failure rate of w
// and quarantines w if it fails significantly more than the median worker.
func (s *Scheduler) updateFailureRate(w *heldWorker, failed bool, now time.Time) {
	h, st := &s.health, &w.health
	h.rateCounts[rateBucket(st.failureRate)]--
	value := 0.0
	if failed {
		value = 1
		st.blamedRun++
	} else {
		st.blamedRun = 0
	}
	st.outcomes++
	st.failureRate += rateWeight * (value - st.failureRate)
	h.rateCounts[rateBucket(st.failureRate)]++
	if !failed {
		return
	}
	median := h.medianRate()
	minRun := max(minBlamedRun, math.Ceil(math.Log(falsePositiveRate)/math.Log(min(max(median, 0.01), 0.9))))
	if float64(st.blamedRun) < minRun && (st.outcomes < minRateOutcomes || st.failureRate < median+maxRateExcess) {
		return
	}
	if float64(len(h.quarantined)+1) > max(1, maxQuarantinedFraction*float64(h.workerCount)) {
		return
	}
	st.probeBackoff = minProbeBackoff
	if !st.restoredAt.IsZero() && now.Sub(st.restoredAt) < 10*st.probeBackoff {
		st.probeBackoff = min(2*st.probeBackoff, maxProbeBackoff)
	}
	s.quarantine(w, now)
}

// quarantine excludes w from all work except probes.
func (s *Scheduler) quarantine(w *heldWorker, now time.Time) {
	if s.health.quarantined == nil {
		s.health.quarantined = map[string]*heldWorker{}
	}
	s.health.quarantined[w.info.Name] = w
	w.health.quarantined, w.health.probeOffered = true, false
	w.health.probeAt = now.Add(w.health.probeBackoff)
	w.index.update(w)
	s.gangs.workerUnavailable(s, w)
}

// finishProbe ends the quarantine after a successful probe and schedules the next
// probe after a failed one.
func (s *Scheduler) finishProbe(w *heldWorker, failed, blamed bool, now time.Time) {
	if !failed {
		st := &w.health
		s.health.rateCounts[rateBucket(st.failureRate)]--
		s.health.rateCounts[0]++
		delete(s.health.quarantined, w.info.Name)
		w.health = workerHealth{probeBackoff: st.probeBackoff, restoredAt: now}
		w.index.update(w)
		return
	}
	if blamed {
		w.health.probeBackoff = min(2*w.health.probeBackoff, maxProbeBackoff)
	}
	w.health.probeAt = now.Add(w.health.probeBackoff)
}

// reofferProbe makes the probe due at the next Tick, since its task was not started.
func (s *Scheduler) reofferProbe(w *heldWorker, now time.Time) {
	if w.health.quarantined && !w.health.probeOffered {
		w.health.probeAt = now
	}
}

// offerProbes allows one task on each quarantined worker whose probe is due. A
// worker that still runs a probe is skipped until its outcome is known.
func (s *Scheduler) offerProbes(now time.Time) {
	for _, w := range s.health.quarantined {
		if w.health.probeOffered || w.leaving || now.Before(w.health.probeAt) || w.runsProbe() {
			continue
		}
		w.health.probeOffered = true
		s.health.offeredProbes = append(s.health.offeredProbes, w)
		w.index.update(w)
	}
}

func (w *heldWorker) runsProbe() bool {
	for _, a := range w.tasks {
		if a.probe {
			return true
		}
	}
	return false
}

// workerToProbe returns a worker whose probe e may be, or nil. Jobs of profiles
// with a guaranteed share become probes only after guaranteedProbeDelay without
// other jobs.
func (s *Scheduler) workerToProbe(e *queueEntry, now time.Time) *heldWorker {
	probes := s.health.offeredProbes
	for i := 0; i < len(probes); i++ {
		w := probes[i]
		if !w.health.probeOffered || s.workers[w.info.Name] != w {
			probes[i] = probes[len(probes)-1]
			probes = probes[:len(probes)-1]
			s.health.offeredProbes = probes
			i--
			continue
		}
		deferred := e.profile.Queue.GuaranteedPercent > 0 && now.Sub(w.health.probeAt) < guaranteedProbeDelay
		if !deferred && e.job.Members == 1 && filters[0].feasible(w, e, now) {
			return w
		}
	}
	return nil
}
