package schedule

import (
	"fmt"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// fakeConfiguration is an in-memory Configuration.
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

func (f *fakeConfiguration) addService(name string, s contract.Service, p contract.Profile) {
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
	// overloadLimit is, by worker, the maximum number of tasks that the last
	// adoption or usage report can have left on it. Only these two events may
	// exceed the capacity, so an overloaded worker must not have more tasks.
	overloadLimit map[string]int
}

func newFixture() *fixture {
	f := &fixture{now: time.Unix(1000, 0), overloadLimit: map[string]int{}, config: &fakeConfiguration{
		map[string]contract.Profile{}, map[string]contract.Service{}, map[string]contract.Quota{}}}
	f.Scheduler = New(Options{
		Now: func() time.Time { return f.now }, Seed: 1,
		Configuration: func() Configuration { return f.config },
		ProfileNames:  func() []string { return []string{"desk"} },
	})
	for i := range 4 {
		f.config.quotas[fmt.Sprint("team", i)] = contract.Quota{Slots: 1000, Weight: 1}
	}
	f.config.addService("desk", contract.Service{Kind: contract.ServiceRequest, Resources: cores(1), RunTimeMS: 50}, contract.Profile{
		Placement: contract.Placement{Strategy: contract.Pack, KeepAccelerators: true}, Queue: contract.Queue{Borrow: true, Priority: 50}})
	f.config.addService("batch", contract.Service{Kind: contract.ServiceBatch, Resources: cores(4), RunTimeMS: 10000}, contract.Profile{
		Placement: contract.Placement{Strategy: contract.LeastLoaded}, Queue: contract.Queue{Borrow: true}})
	f.config.addService("gang", contract.Service{Kind: contract.ServiceGang, Resources: cores(8), RunTimeMS: 10000}, contract.Profile{
		Placement: contract.Placement{Strategy: contract.SpreadRacks}, Queue: contract.Queue{Borrow: true}})
	return f
}

func cores(n int64) worker.Resources {
	return worker.Resources{MilliCPU: n * 1000, MemoryMiB: n * 1024}
}

func capacity(n int64, accelerators int64) worker.Capacity {
	c := worker.Capacity{Resources: cores(n), Slots: 8, Connections: 64}
	c.Accelerators = accelerators
	return c
}

func (f *fixture) gain(name string, c worker.Capacity, tasks ...worker.Task) {
	f.LeaseAcquired(worker.Info{Name: name, Rack: "rack-" + name[:2], FailureDomain: "a", Incarnation: "1"}, c, tasks)
}

// changeProfile changes a profile of the configuration in force.
func (f *fixture) changeProfile(name string, change func(*contract.Profile)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.config.profiles[name]
	change(&p)
	f.config.profiles[name] = p
}

// submission receives the outcome of a submitted job.
type submission struct {
	placement *Placement
	err       error
	cancel    func() bool
}

func (f *fixture) submit(job Job) *submission {
	r := &submission{}
	r.cancel = f.Submit(job, func(p *Placement, err error) { r.placement, r.err = p, err })
	return r
}

// checkInvariants recomputes the allocated capacity, the index and the counters
// from the allocations and compares them with the stored values. It also checks
// that no worker is allocated beyond its capacity, except by an adoption or a usage
// report (see overloadLimit), and that no job waits while a worker has room for it.
func (f *fixture) checkInvariants(t require.TestingT) {
	s := f.Scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	var all amount
	teams, profiles, long := map[*team]amount{}, map[*profile]int{}, map[*profile]int{}
	for _, w := range s.workers {
		var sum amount
		for _, a := range w.tasks {
			require.Same(t, w, a.worker)
			sum = sum.add(a.size, 1)
			teams[a.team] = teams[a.team].add(a.size, 1)
			profiles[a.profile]++
			if a.long {
				long[a.profile]++
			}
		}
		require.Equal(t, sum, w.allocated, "allocated capacity of %s", w.info.Name)
		all = all.add(sum.Resources, sum.slots)
		if w.allocated.slots > w.capacity.Slots || !w.allocated.Fits(w.capacity.Resources) {
			require.LessOrEqual(t, len(w.tasks), f.overloadLimit[w.info.Name], "%s was loaded beyond its capacity", w.info.Name)
		} else {
			delete(f.overloadLimit, w.info.Name)
		}
		want := noCapacity
		if slots := w.offeredSlots(); slots > 0 {
			free := w.free()
			free.slots = slots
			want = vectorOf(free)
		}
		require.Equal(t, want, w.index.tree[0][w.leaf], "index entry of %s", w.info.Name)
	}
	require.Equal(t, all, s.allPool.allocated)
	queuedMembers := 0
	for _, tm := range s.teams {
		require.Equal(t, teams[tm], tm.used, "usage of team %s", tm.name)
		queuedMembers += tm.queuedMembers
	}
	for _, p := range s.profileOrder {
		require.Equal(t, profiles[p], p.running, "running tasks of profile %s", p.name)
		require.Equal(t, long[p], p.runningLong, "running long tasks of profile %s", p.name)
		for _, b := range p.backlogs {
			profiles[p] -= b.running
		}
		require.Zero(t, profiles[p], "running tasks of profile %s differ from the sum over its teams", p.name)
	}
	for _, x := range []*index{s.plainWorkers, s.accelWorkers} {
		for depth := 1; depth < len(x.tree); depth++ {
			for i, m := range x.tree[depth] {
				below := x.tree[depth-1]
				require.Equal(t, maxOf(below[i*fanOut:min(i*fanOut+fanOut, len(below))]), m)
			}
		}
	}
	// No job waits while a worker has room for it, unless a guaranteed share, the
	// reservation or waiting jobs that need accelerators keep it waiting.
	for _, l := range s.openLanes {
		require.True(t, l.profile.cappedAtGuarantee(), "a lane with ready jobs stayed open after dispatch")
	}
	for _, l := range s.closedLanes {
		if l.closedByPolicy || l.key.mixedSizes {
			continue
		}
		e := l.peek().head
		plain, accel := s.eligibleKinds(e)
		for _, w := range s.workers {
			if (plain && w.index == s.plainWorkers || accel && w.index == s.accelWorkers) && w.reservation == nil {
				require.False(t, feasible(w, e, f.now), "%s waits although %s has room", e.job.ID, w.info.Name)
			}
		}
	}
	for _, r := range s.history.list {
		for _, latest := range r.outcomes.workers {
			require.True(t, latest.started.IsZero() || s.profiles[s.services[r.key.service].Profile].backlogs[s.teams[r.key.team]].running > 0,
				"%v counts as running on %s", r.key, latest.worker)
		}
	}
	if queuedMembers == 0 {
		require.Empty(t, s.lanes)
		require.Empty(t, s.openLanes)
		require.Empty(t, s.closedLanes)
		require.Nil(t, s.gangs.reservation)
	}
}
