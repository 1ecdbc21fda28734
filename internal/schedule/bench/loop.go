// Package bench runs the scheduler on a simulated clock and prints its figures
// beside those of simple baselines on the same seeded input.
package bench

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/schedule"
)

// tickInterval is the interval at which schedule.Scheduler.Tick is called.
const tickInterval = 100 * time.Millisecond

// event is a callback that is due at a simulated time. seq keeps the order of
// events at the same time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// eventLoop is a simulated clock with its pending events, which form a heap.
type eventLoop struct {
	now    time.Duration
	seq    int
	events []event
}

func (l *eventLoop) Len() int { return len(l.events) }
func (l *eventLoop) Less(i, j int) bool {
	a, b := &l.events[i], &l.events[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}
func (l *eventLoop) Swap(i, j int) { l.events[i], l.events[j] = l.events[j], l.events[i] }
func (l *eventLoop) Push(x any)    { l.events = append(l.events, x.(event)) }
func (l *eventLoop) Pop() any {
	e := l.events[len(l.events)-1]
	l.events[len(l.events)-1] = event{}
	l.events = l.events[:len(l.events)-1]
	return e
}

// simulationStart is the wall clock time at simulated time 0.
var simulationStart = time.Unix(1_700_000_000, 0)

func (l *eventLoop) time() time.Time { return simulationStart.Add(l.now) }

// after schedules run at d from now.
func (l *eventLoop) after(d time.Duration, run func()) {
	l.seq++
	heap.Push(l, event{l.now + d, l.seq, run})
}

// runUntil runs the events up to end and sets the clock to it.
func (l *eventLoop) runUntil(end time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= end {
		e := heap.Pop(l).(event)
		l.now = e.at
		e.run()
	}
	l.now = end
}

// placement is a job placed by the system under test.
type placement struct {
	workers []string
	release func(member int, r schedule.TaskResult)
}

// system is the scheduler or a baseline. submit calls report once.
type system interface {
	submit(job schedule.Job, report func(*placement, error)) (cancel func() bool)
	tick()
}

// realScheduler adapts the scheduler to the system interface.
type realScheduler struct{ s *schedule.Scheduler }

func (r realScheduler) submit(job schedule.Job, report func(*placement, error)) func() bool {
	return r.s.Submit(job, func(p *schedule.Placement, err error) {
		if err != nil {
			report(nil, err)
			return
		}
		placed := &placement{release: p.Release}
		for _, m := range p.Members {
			placed.workers = append(placed.workers, m.Worker)
		}
		report(placed, nil)
	})
}

func (r realScheduler) tick() { r.s.Tick() }

// configuration is a fixed configuration in which all teams have the same quota.
type configuration struct {
	profiles    map[string]contract.Profile
	services    map[string]contract.Service
	quota       contract.Quota
	doubledTeam string // the team with twice the slots, "" for none
}

func (c *configuration) Profile(n string) (contract.Profile, bool) {
	p, ok := c.profiles[n]
	return p, ok
}

func (c *configuration) Service(n string) (contract.Service, bool) {
	s, ok := c.services[n]
	return s, ok
}

func (c *configuration) Quota(team string) (contract.Quota, bool) {
	q := c.quota
	if team == c.doubledTeam {
		q.Slots *= 2
	}
	return q, true
}

func newScheduler(l *eventLoop, seed uint64, specs []workerSpec, c *configuration) *schedule.Scheduler {
	s := schedule.New(schedule.Options{Now: l.time, Seed: seed, Configuration: func() schedule.Configuration { return c }})
	for _, spec := range specs {
		s.LeaseAcquired(spec.info, spec.capacity, nil)
	}
	return s
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 42)) }
