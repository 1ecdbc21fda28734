// Package bench drives the scheduler on a simulated clock and prints its
// figures beside those of plain baselines on the same seeded input.
package bench

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/schedule"
	"github.com/laburnumpass/laburnumpass/internal/worker"
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
	release func(member int, r schedule.Result)
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

// kind is a kind of work and how it arrives.
type kind struct {
	name     string
	service  contract.Service
	profile  contract.Profile
	run      time.Duration // mean
	deadline time.Duration
	members  int     // most members; each job has half of them at least
	slots    float64 // part of the slots that it uses at 100% load
	vary     bool    // sizes vary between a half and twice the declared size
}

func resources(cores, gib, accelerators int64) worker.Resources {
	return worker.Resources{MilliCPU: cores * 1000, MemoryMiB: gib * 1024, Accelerators: accelerators}
}

// kinds are the kinds of work of the two users, in the order of urgency.
func kinds() []kind {
	profile := func(s contract.Strategy, priority, guaranteed int) contract.Profile {
		return contract.Profile{
			Placement: contract.Placement{Strategy: s, KeepAccelerators: true},
			Queue: contract.Queue{Priority: priority, Limit: 5000, MaxWaitMS: 600_000, AgeingMS: 1000,
				GuaranteedPercent: guaranteed, Borrow: true},
			Refusal: contract.Refusal{Early: true, RetryAfterMS: 200, JitterPercent: 50},
		}
	}
	return []kind{
		{name: "desk", run: 100 * time.Millisecond, deadline: 2 * time.Second, slots: 0.25,
			service: contract.Service{Kind: contract.ServiceRequest, Resources: resources(3, 6, 0)},
			profile: profile(contract.LeastLoaded, 90, 30)},
		{name: "inspection", run: 2 * time.Second, deadline: 20 * time.Second, slots: 0.25,
			service: contract.Service{Kind: contract.ServiceRequest, Resources: resources(7, 14, 1)},
			profile: profile(contract.SpreadRacks, 60, 25)},
		{name: "gang", run: 10 * time.Second, deadline: 60 * time.Second, members: 16, slots: 0.1,
			service: contract.Service{Kind: contract.ServiceGang, Resources: resources(4, 7, 0)},
			profile: profile(contract.Pack, 40, 10)},
		{name: "batch", run: 10 * time.Second, deadline: 60 * time.Second, slots: 0.35, vary: true,
			service: contract.Service{Kind: contract.ServiceBatch, Resources: resources(4, 7, 0)},
			profile: profile(contract.Pack, 10, 25)},
	}
}

func configure(ks []kind) *configuration {
	c := &configuration{map[string]contract.Profile{}, map[string]contract.Service{}, contract.Quota{Slots: 100_000, Weight: 1}, ""}
	for _, k := range ks {
		k.service.Profile, k.service.RunTimeMS = k.name, int(k.run/time.Millisecond)
		c.profiles[k.name], c.services[k.name] = k.profile, k.service
	}
	return c
}

// machine is a worker of a shape.
type machine struct {
	info     worker.Info
	capacity worker.Capacity
}

// shape returns plain workers of 32 cores, five a rack, and workers of 64
// cores with 8 accelerators, three a rack.
func shape(plain, accelerated int) []machine {
	var ms []machine
	add := func(name string, perRack, i int, r worker.Resources) {
		ms = append(ms, machine{
			worker.Info{Name: fmt.Sprint(name, i), Rack: fmt.Sprint(name, i/perRack), FailureDomain: fmt.Sprint("domain", i%3), Incarnation: "1"},
			worker.Capacity{Resources: r, Slots: 8, Connections: 64},
		})
	}
	for i := range plain {
		add("plain", 5, i, resources(32, 64, 0))
	}
	for i := range accelerated {
		add("accelerated", 3, i, resources(64, 128, 8))
	}
	return ms
}

func newReal(l *loop, seed uint64, ms []machine, c *configuration) *schedule.Scheduler {
	s := schedule.New(schedule.Options{Now: l.time, Seed: seed, Configuration: func() schedule.Configuration { return c }})
	for _, m := range ms {
		s.Gained(m.info, m.capacity, nil)
	}
	return s
}

func generator(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 42)) }
