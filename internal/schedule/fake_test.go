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
	// carried is the number of tasks on a worker before an adoption or a
	// usage report, which alone may bring it over its capacity.
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
	f.Gained(worker.Info{Name: name, Rack: "rack-" + name[:2], FailureDomain: "a", Incarnation: "1"}, c, tasks)
}

// alter changes a profile in force.
func (f *fixture) changeProfile(name string, change func(*contract.Profile)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.config.profiles[name]
	change(&p)
	f.config.profiles[name] = p
}

// result is where a submitted job's outcome goes.
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

// check compares the ledger, the index and the counters with a fresh
// count, and every worker's charge with its capacity.
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
		require.Equal(t, sum, w.allocated, "charge of %s", w.info.Name)
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
		require.Equal(t, want, w.index.tree[0][w.leaf], "index of %s", w.info.Name)
	}
	require.Equal(t, all, s.allPool.allocated)
	queued := 0
	for _, tm := range s.teams {
		require.Equal(t, teams[tm], tm.used, "use of %s", tm.name)
		queued += tm.queuedMembers
	}
	for _, p := range s.profileOrder {
		require.Equal(t, profiles[p], p.running, "running of %s", p.name)
		require.Equal(t, long[p], p.runningLong, "long work of %s", p.name)
		for _, b := range p.backlogs {
			profiles[p] -= b.running
		}
		require.Zero(t, profiles[p], "running of the teams of %s", p.name)
	}
	for _, x := range []*index{s.plainWorkers, s.accelWorkers} {
		for depth := 1; depth < len(x.tree); depth++ {
			for i, m := range x.tree[depth] {
				below := x.tree[depth-1]
				require.Equal(t, maxOf(below[i*fanOut:min(i*fanOut+fanOut, len(below))]), m)
			}
		}
	}
	// No job waits while a worker has room for it, the limits of shares and of
	// a reservation aside.
	for _, l := range s.openLanes {
		require.True(t, l.profile.cappedAtGuarantee(), "a lane was left open")
	}
	for _, l := range s.closedLanes {
		if l.closedByLimit || l.key.mixedSizes {
			continue
		}
		e := l.next().head
		plain, accel := s.eligibleKinds(e)
		for _, w := range s.workers {
			if (plain && w.index == s.plainWorkers || accel && w.index == s.accelWorkers) && w.reservation == nil {
				require.False(t, feasible(w, e, f.now), "%s waits although %s has room", e.job.ID, w.info.Name)
			}
		}
	}
	for _, r := range s.history.list {
		for _, trial := range r.outcomes.workers {
			require.True(t, trial.started.IsZero() || s.profiles[s.services[r.key.service].Profile].backlogs[s.teams[r.key.team]].running > 0,
				"%v counts as running on %s", r.key, trial.worker)
		}
	}
	if queued == 0 {
		require.Empty(t, s.lanes)
		require.Empty(t, s.openLanes)
		require.Empty(t, s.closedLanes)
		require.Nil(t, s.gangs.reservation)
	}
}
