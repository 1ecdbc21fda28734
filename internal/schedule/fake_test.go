package schedule

import (
	"fmt"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// fakeConfiguration is a configuration in memory.
type fakeConfiguration struct {
	profiles map[string]contract.Profile
	services map[string]contract.Service
	quotas   map[string]contract.Quota
}

func (f *fakeConfiguration) Profile(n string) (p contract.Profile, ok bool) {
	p, ok = f.profiles[n]
	return
}
func (f *fakeConfiguration) Service(n string) (s contract.Service, ok bool) {
	s, ok = f.services[n]
	return
}
func (f *fakeConfiguration) Quota(n string) (q contract.Quota, ok bool) { q, ok = f.quotas[n]; return }

func (f *fakeConfiguration) service(name string, s contract.Service, p contract.Profile) {
	s.Profile = name
	if p.Queue.Limit == 0 {
		p.Queue.Limit = 10000
	}
	if p.Queue.MaxWaitMS == 0 {
		p.Queue.MaxWaitMS = 600000
	}
	f.profiles[name], f.services[name] = p, s
}

// fixture is a Scheduler with a settable clock and configuration.
type fixture struct {
	*Scheduler
	now    time.Time
	config *fakeConfiguration
	// carried is the number of tasks on a worker before an adoption or a
	// usage report, which alone may bring it over its capacity.
	carried map[string]int
}

func newFixture() *fixture {
	b := &fixture{now: time.Unix(1000, 0), carried: map[string]int{}, config: &fakeConfiguration{
		map[string]contract.Profile{}, map[string]contract.Service{}, map[string]contract.Quota{}}}
	b.Scheduler = New(Options{
		Now: func() time.Time { return b.now }, Seed: 1,
		Configuration: func() Configuration { return b.config },
		ProfileNames:  func() []string { return []string{"desk"} },
	})
	for i := range 4 {
		b.config.quotas[fmt.Sprint("team", i)] = contract.Quota{Slots: 1000, Weight: 1}
	}
	b.config.service("desk", contract.Service{Kind: contract.ServiceRequest, Resources: cores(1), RunTimeMS: 50}, contract.Profile{
		Placement: contract.Placement{Strategy: contract.Pack, KeepAccelerators: true}, Queue: contract.Queue{Borrow: true, Priority: 50}})
	b.config.service("batch", contract.Service{Kind: contract.ServiceBatch, Resources: cores(4), RunTimeMS: 10000}, contract.Profile{
		Placement: contract.Placement{Strategy: contract.LeastLoaded}, Queue: contract.Queue{Borrow: true}})
	b.config.service("gang", contract.Service{Kind: contract.ServiceGang, Resources: cores(8), RunTimeMS: 10000}, contract.Profile{
		Placement: contract.Placement{Strategy: contract.SpreadRacks}, Queue: contract.Queue{Borrow: true}})
	return b
}

func cores(n int64) worker.Resources {
	return worker.Resources{MilliCPU: n * 1000, MemoryMiB: n * 1024}
}

func capacity(n int64, accelerators int64) worker.Capacity {
	c := worker.Capacity{Resources: cores(n), Slots: 8, Connections: 64}
	c.Accelerators = accelerators
	return c
}

func (b *fixture) gain(name string, c worker.Capacity, tasks ...worker.Task) {
	b.Gained(worker.Info{Name: name, Rack: "rack-" + name[:2], FailureDomain: "a", Incarnation: "1"}, c, tasks)
}

// alter changes a profile in force.
func (b *fixture) alter(name string, change func(*contract.Profile)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.config.profiles[name]
	change(&p)
	b.config.profiles[name] = p
}

// result is where a submitted job's outcome goes.
type result struct {
	placement *Placement
	err       error
	cancel    func() bool
}

func (b *fixture) submit(job Job) *result {
	r := &result{}
	r.cancel = b.Submit(job, func(p *Placement, err error) { r.placement, r.err = p, err })
	return r
}

// check compares the ledger, the index and the counters with a fresh
// count, and every worker's charge with its capacity.
func (b *fixture) check(t require.TestingT) {
	s := b.Scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	var all amount
	teams, profiles, long := map[*team]amount{}, map[*profile]int{}, map[*profile]int{}
	for _, n := range s.nodes {
		var sum amount
		for _, c := range n.tasks {
			require.Same(t, n, c.node)
			sum = sum.add(c.amount, 1)
			teams[c.team] = teams[c.team].add(c.amount, 1)
			profiles[c.profile]++
			if c.long {
				long[c.profile]++
			}
		}
		require.Equal(t, sum, n.charged, "charge of %s", n.info.Name)
		all = all.add(sum.Resources, sum.slots)
		if n.charged.slots > n.capacity.Slots || !n.charged.Fits(n.capacity.Resources) {
			require.LessOrEqual(t, len(n.tasks), b.carried[n.info.Name], "%s was loaded beyond its capacity", n.info.Name)
		} else {
			delete(b.carried, n.info.Name)
		}
		want := closedVector
		if slots := n.offered(); slots > 0 {
			free := n.free()
			free.slots = slots
			want = vectorOf(free)
		}
		require.Equal(t, want, n.index.tree[0][n.pos], "index of %s", n.info.Name)
	}
	require.Equal(t, all, s.all.charged)
	queued := 0
	for _, tm := range s.teams {
		require.Equal(t, teams[tm], tm.used, "use of %s", tm.name)
		queued += tm.queued
	}
	for _, p := range s.order {
		require.Equal(t, profiles[p], p.running, "running of %s", p.name)
		require.Equal(t, long[p], p.long, "long work of %s", p.name)
		for _, b := range p.backlogs {
			profiles[p] -= b.running
		}
		require.Zero(t, profiles[p], "running of the teams of %s", p.name)
	}
	for _, x := range []*index{s.plain, s.accel} {
		for depth := 1; depth < len(x.tree); depth++ {
			for i, m := range x.tree[depth] {
				below := x.tree[depth-1]
				require.Equal(t, maxOf(below[i*fanOut:min(i*fanOut+fanOut, len(below))]), m)
			}
		}
	}
	// No job waits while a worker has room for it, the limits of shares and of
	// a reservation aside.
	for _, l := range s.open {
		require.True(t, l.profile.limited(), "a lane was left open")
	}
	for _, l := range s.closed {
		if l.byLimit || l.key.mixed {
			continue
		}
		e := l.next().head
		plain, accel := s.admits(e)
		for _, n := range s.nodes {
			if (plain && n.index == s.plain || accel && n.index == s.accel) && n.reserved == nil {
				require.False(t, feasible(n, e, b.now), "%s waits although %s has room", e.job.ID, n.info.Name)
			}
		}
	}
	for _, r := range s.learned.list {
		for _, trial := range r.failures.on {
			require.True(t, trial.started.IsZero() || s.profiles[s.services[r.key.service].Profile].backlogs[s.teams[r.key.team]].running > 0,
				"%v counts as running on %s", r.key, trial.worker)
		}
	}
	if queued == 0 {
		require.Empty(t, s.lanes)
		require.Empty(t, s.open)
		require.Empty(t, s.closed)
		require.Nil(t, s.gangs.held)
	}
}
