package schedule

import (
	"math"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/worker"
)

const (
	// chance is the probability with which a worker at the fleet's median
	// failure rate may be set aside for one run of failures.
	chance = 1e-6
	// leastRun is the shortest run of failures that counts.
	leastRun = 3
	// conclusiveRun is the number of failures in a row that blame a worker while
	// nothing is known of the same work elsewhere.
	conclusiveRun = 8
	// rateExcess is how far a worker's failure rate may lie above the median.
	rateExcess = 0.4
	// rateWeight is the weight of the newest outcome in a worker's rate, and
	// rateEnough the number of outcomes from which the rate counts.
	rateWeight, rateEnough = 1.0 / 16, 16
	// asidePart bounds the part of the workers that are set aside: when more
	// fail, the cause is not the workers.
	asidePart = 0.25
	// A worker that is set aside is probed after firstProbe, and after twice
	// the time for each failed probe up to lastProbe.
	firstProbe, lastProbe = 2 * time.Second, 2 * time.Minute
	// probePatience is how long a probe waits for work without a guaranteed
	// share before it takes any.
	probePatience = 5 * time.Second
	// survivalFactor is how many times longer than a failed task another one must
	// have run to count as well: long tasks end too late to tell.
	survivalFactor = 4
	// outcomesKept is the number of workers whose latest outcome is kept for
	// each service and team.
	outcomesKept = 16
	rateBuckets  = 21
)

// nodeHealth is what is known of a worker's failures.
type nodeHealth struct {
	run      int // failures since the last success that blame the worker
	raw      int // failures since the last success
	seen     int
	rate     float64
	aside    bool
	probing  bool // one task may be placed
	probeAt  time.Time
	backoff  time.Duration
	restored time.Time
}

// health compares the workers' failure rates.
type health struct {
	rates  [rateBuckets]int // workers by failure rate in steps of 5%
	count  int
	aside  map[string]*node
	probes []*node
	past   map[string]pastHealth
}

// pastHealth keeps what is known of a worker over the loss of its lease.
type pastHealth struct {
	incarnation string
	state       nodeHealth
}

func rateBucket(rate float64) int { return int(rate*(rateBuckets-1) + 0.5) }

// gained returns what is known of a worker.
func (h *health) gained(info worker.Info) nodeHealth {
	state := nodeHealth{}
	if p, ok := h.past[info.Name]; ok {
		if p.incarnation == info.Incarnation {
			state = p.state
			state.probing = false
		}
		delete(h.past, info.Name)
	}
	h.count++
	h.rates[rateBucket(state.rate)]++
	return state
}

// lost forgets a worker but for what counts if it comes back unchanged.
func (h *health) lost(n *node) {
	h.count--
	h.rates[rateBucket(n.state.rate)]--
	delete(h.aside, n.info.Name)
	if n.state.aside || n.state.run > 0 || n.state.rate > 0.2 {
		if h.past == nil {
			h.past = map[string]pastHealth{}
		}
		h.past[n.info.Name] = pastHealth{n.info.Incarnation, n.state}
	}
}

// median returns the median failure rate of the workers.
func (h *health) median() float64 {
	sum := 0
	for i, n := range h.rates {
		if sum += n; 2*sum >= h.count {
			return float64(i) / (rateBuckets - 1)
		}
	}
	return 0
}

// cost makes workers with unusual failures rank behind all others, so that
// one that fails fast and is always empty attracts no work.
func (h *health) cost(n *node) float64 {
	if n.state.aside {
		return 4
	}
	cost := 4 * max(n.state.rate-0.2, 0)
	if n.state.raw > 1 {
		cost += 2
	}
	return cost
}

// failures holds what became of a service and team on each of the workers
// that it ran on last.
type failures struct {
	on   [outcomesKept]trial
	next int
}

// trial is the latest outcome on one worker and the start of what runs there.
type trial struct {
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
func (f *failures) at(name string) *trial {
	for i := range f.on {
		if f.on[i].worker == name {
			return &f.on[i]
		}
	}
	t := &f.on[f.next]
	f.next = (f.next + 1) % outcomesKept
	*t = trial{worker: name}
	return t
}

// blames reports whether a failure after a time speaks against the worker:
// on most of the other workers that the same work ran on last it succeeded or
// has run much longer, or it ran on no other and raw failures in a row leave
// no doubt. Work that fails everywhere blames no worker.
func (f *failures) blames(name string, raw int, ran time.Duration, now time.Time) bool {
	failed, well := 0, 0
	for i := range f.on {
		switch t := &f.on[i]; {
		case t.worker == "" || t.worker == name:
		case !t.started.IsZero() && now.Sub(t.started) >= max(survivalFactor*ran, time.Second):
			well++
		case t.outcome == outcomeFailed:
			failed++
		case t.outcome == outcomeSucceeded:
			well++
		}
	}
	return well > failed || failed == 0 && raw >= conclusiveRun
}

// outcome learns from the end of a task.
func (s *Scheduler) outcome(n *node, c *charge, failed bool, now time.Time) {
	if n.state.raw++; !failed {
		n.state.raw = 0
	}
	f := &s.learned.record(c.service, c.team.name).failures
	blamed := failed && f.blames(n.info.Name, n.state.raw, now.Sub(c.start), now)
	f.at(n.info.Name).outcome = outcomeSucceeded
	if failed {
		f.at(n.info.Name).outcome = outcomeFailed
	}
	switch {
	case c.probe && n.state.aside:
		s.probed(n, failed, blamed, now)
	case n.state.aside || failed && !blamed:
	default:
		s.judge(n, failed, now)
	}
}

// judge counts an outcome for or against n and sets it aside if it fails more
// than chance explains.
func (s *Scheduler) judge(n *node, failed bool, now time.Time) {
	h, st := &s.health, &n.state
	h.rates[rateBucket(st.rate)]--
	value := 0.0
	if failed {
		value = 1
		st.run++
	} else {
		st.run = 0
	}
	st.seen++
	st.rate += rateWeight * (value - st.rate)
	h.rates[rateBucket(st.rate)]++
	if !failed {
		return
	}
	median := h.median()
	run := max(leastRun, math.Ceil(math.Log(chance)/math.Log(min(max(median, 0.01), 0.9))))
	if float64(st.run) < run && (st.seen < rateEnough || st.rate < median+rateExcess) {
		return
	}
	if float64(len(h.aside)+1) > max(1, asidePart*float64(h.count)) {
		return
	}
	st.backoff = firstProbe
	if !st.restored.IsZero() && now.Sub(st.restored) < 10*st.backoff {
		st.backoff = min(2*st.backoff, lastProbe)
	}
	s.setAside(n, now)
}

func (s *Scheduler) setAside(n *node, now time.Time) {
	if s.health.aside == nil {
		s.health.aside = map[string]*node{}
	}
	s.health.aside[n.info.Name] = n
	n.state.aside, n.state.probing = true, false
	n.state.probeAt = now.Add(n.state.backoff)
	n.index.update(n)
	s.gangs.lost(s, n)
}

// probed follows the outcome of a probe.
func (s *Scheduler) probed(n *node, failed, blamed bool, now time.Time) {
	if !failed {
		st := &n.state
		s.health.rates[rateBucket(st.rate)]--
		s.health.rates[0]++
		delete(s.health.aside, n.info.Name)
		n.state = nodeHealth{backoff: st.backoff, restored: now}
		n.index.update(n)
		return
	}
	if blamed {
		n.state.backoff = min(2*n.state.backoff, lastProbe)
	}
	n.state.probeAt = now.Add(n.state.backoff)
}

// probeUnused offers the probe again after its task was not started.
func (s *Scheduler) probeUnused(n *node, now time.Time) {
	if n.state.aside && !n.state.probing {
		n.state.probeAt = now
	}
}

// offerProbes lets one task onto each worker whose time has come. A worker
// that still runs the last probe waits for its outcome.
func (s *Scheduler) offerProbes(now time.Time) {
	for _, n := range s.health.aside {
		if n.state.probing || n.leaving || now.Before(n.state.probeAt) || n.probed() {
			continue
		}
		n.state.probing = true
		s.health.probes = append(s.health.probes, n)
		n.index.update(n)
	}
}

func (n *node) probed() bool {
	for _, c := range n.tasks {
		if c.probe {
			return true
		}
	}
	return false
}

// probe returns a worker that waits for its probe, or nil. Work with a
// guaranteed share is spared unless no other work comes.
func (s *Scheduler) probe(e *entry, now time.Time) *node {
	probes := s.health.probes
	for i := 0; i < len(probes); i++ {
		n := probes[i]
		if !n.state.probing || s.nodes[n.info.Name] != n {
			probes[i] = probes[len(probes)-1]
			probes = probes[:len(probes)-1]
			s.health.probes = probes
			i--
			continue
		}
		spared := e.profile.Queue.GuaranteedPercent > 0 && now.Sub(n.state.probeAt) < probePatience
		if !spared && e.job.Members == 1 && filters[0].feasible(n, e, now) {
			return n
		}
	}
	return nil
}
