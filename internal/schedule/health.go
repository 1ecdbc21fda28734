package schedule

import (
	"math"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/worker"
)

const (
	// chance is the probability with which a worker at the fleet's median
	// failure rate may be set aside for one run of failures.
	falsePositiveRate = 1e-6
	// leastRun is the shortest run of failures that counts.
	minFailureRun = 3
	// conclusiveRun is the number of failures in a row that blame a worker while
	// nothing is known of the same work elsewhere.
	conclusiveFailureRun = 8
	// rateExcess is how far a worker's failure rate may lie above the median.
	maxRateExcess = 0.4
	// rateWeight is the weight of the newest outcome in a worker's rate, and
	// rateEnough the number of outcomes from which the rate counts.
	rateWeight, minRateOutcomes = 1.0 / 16, 16
	// asidePart bounds the part of the workers that are set aside: when more
	// fail, the cause is not the workers.
	maxQuarantinedFraction = 0.25
	// A worker that is set aside is probed after firstProbe, and after twice
	// the time for each failed probe up to lastProbe.
	minProbeBackoff, maxProbeBackoff = 2 * time.Second, 2 * time.Minute
	// probePatience is how long a probe waits for work without a guaranteed
	// share before it takes any.
	guaranteedProbeDelay = 5 * time.Second
	// survivalFactor is how many times longer than a failed task another one must
	// have run to count as well: long tasks end too late to tell.
	survivalFactor = 4
	// outcomesKept is the number of workers whose latest outcome is kept for
	// each service and team.
	outcomesKept = 16
	rateBuckets  = 21
)

// nodeHealth is what is known of a worker's failures.
type workerHealth struct {
	blamedRun    int // failures since the last success that blame the worker
	failureRun   int // failures since the last success
	outcomes     int
	failureRate  float64
	quarantined  bool
	probeOffered bool // one task may be placed
	probeAt      time.Time
	probeBackoff time.Duration
	restoredAt   time.Time
}

// health compares the workers' failure rates.
type healthTracker struct {
	rateCounts    [rateBuckets]int // workers by failure rate in steps of 5%
	workerCount   int
	quarantined   map[string]*heldWorker
	offeredProbes []*heldWorker
	lostWorkers   map[string]savedHealth
}

// pastHealth keeps what is known of a worker over the loss of its lease.
type savedHealth struct {
	incarnation string
	health      workerHealth
}

func rateBucket(rate float64) int { return int(rate*(rateBuckets-1) + 0.5) }

// gained returns what is known of a worker.
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

// lost forgets a worker but for what counts if it comes back unchanged.
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

// median returns the median failure rate of the workers.
func (h *healthTracker) medianRate() float64 {
	sum := 0
	for i, n := range h.rateCounts {
		if sum += n; 2*sum >= h.workerCount {
			return float64(i) / (rateBuckets - 1)
		}
	}
	return 0
}

// cost makes workers with unusual failures rank behind all others, so that
// one that fails fast and is always empty attracts no work.
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

// failures holds what became of a service and team on each of the workers
// that it ran on last.
type outcomeHistory struct {
	workers [outcomesKept]workerOutcome
	oldest  int
}

// trial is the latest outcome on one worker and the start of what runs there.
type workerOutcome struct {
	worker  string
	outcome outcome
	started time.Time // zero if nothing runs
}

type outcome int8

const (
	outcomeUnknown outcome = iota
	outcomeSucceeded
	outcomeFailed
)

// at returns the trial of a worker, in place of the oldest one if it is new.
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

// blames reports whether a failure after a time speaks against the worker:
// on most of the other workers that the same work ran on last it succeeded or
// has run much longer, or it ran on no other and raw failures in a row leave
// no doubt. Work that fails everywhere blames no worker.
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

// outcome learns from the end of a task.
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

// judge counts an outcome for or against n and sets it aside if it fails more
// than chance explains.
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
	minRun := max(minFailureRun, math.Ceil(math.Log(falsePositiveRate)/math.Log(min(max(median, 0.01), 0.9))))
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

// probed follows the outcome of a probe.
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

// probeUnused offers the probe again after its task was not started.
func (s *Scheduler) reofferProbe(w *heldWorker, now time.Time) {
	if w.health.quarantined && !w.health.probeOffered {
		w.health.probeAt = now
	}
}

// offerProbes lets one task onto each worker whose time has come. A worker
// that still runs the last probe waits for its outcome.
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

// probe returns a worker that waits for its probe, or nil. Work with a
// guaranteed share is spared unless no other work comes.
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
		spared := e.profile.Queue.GuaranteedPercent > 0 && now.Sub(w.health.probeAt) < guaranteedProbeDelay
		if !spared && e.job.Members == 1 && filters[0].feasible(w, e, now) {
			return w
		}
	}
	return nil
}
