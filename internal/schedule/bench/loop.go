// Package bench drives the scheduler on a simulated clock and prints its
// figures beside those of plain baselines on the same seeded input.
package bench

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/schedule"
)

// tick is the interval of schedule.Scheduler.Tick.
const tick = 100 * time.Millisecond

// event is something that happens at a simulated time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// loop is a simulated clock with its events.
type loop struct {
	now    time.Duration
	seq    int
	events []event
}

func (l *loop) Len() int { return len(l.events) }
func (l *loop) Less(i, j int) bool {
	a, b := &l.events[i], &l.events[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}
func (l *loop) Swap(i, j int) { l.events[i], l.events[j] = l.events[j], l.events[i] }
func (l *loop) Push(x any)    { l.events = append(l.events, x.(event)) }
func (l *loop) Pop() any {
	e := l.events[len(l.events)-1]
	l.events[len(l.events)-1] = event{}
	l.events = l.events[:len(l.events)-1]
	return e
}

var epoch = time.Unix(1_700_000_000, 0)

func (l *loop) time() time.Time { return epoch.Add(l.now) }

func (l *loop) after(d time.Duration, run func()) {
	l.seq++
	heap.Push(l, event{l.now + d, l.seq, run})
}

func (l *loop) until(end time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= end {
		e := heap.Pop(l).(event)
		l.now = e.at
		e.run()
	}
	l.now = end
}

// grant is a placement of the system under test.
type grant struct {
	workers []string
	release func(member int, r schedule.TaskResult)
}

// system is the scheduler or a baseline. report is called once.
type system interface {
	submit(job schedule.Job, report func(*grant, error)) (cancel func() bool)
	tick()
}

// real drives the scheduler.
type real struct{ s *schedule.Scheduler }

func (r real) submit(job schedule.Job, report func(*grant, error)) func() bool {
	return r.s.Submit(job, func(p *schedule.Placement, err error) {
		if err != nil {
			report(nil, err)
			return
		}
		g := &grant{release: p.Release}
		for _, m := range p.Members {
			g.workers = append(g.workers, m.Worker)
		}
		report(g, nil)
	})
}

func (r real) tick() { r.s.Tick() }

// configuration is a fixed configuration.
type configuration struct {
	profiles map[string]contract.Profile
	services map[string]contract.Service
	quota    contract.Quota
	changed  string // a team with twice the quota
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
	if team == c.changed {
		q.Slots *= 2
	}
	return q, true
}

func newReal(l *loop, seed uint64, ms []machine, c *configuration) *schedule.Scheduler {
	s := schedule.New(schedule.Options{Now: l.time, Seed: seed, Configuration: func() schedule.Configuration { return c }})
	for _, m := range ms {
		s.LeaseAcquired(m.info, m.capacity, nil)
	}
	return s
}

func generator(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 42)) }
