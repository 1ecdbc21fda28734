package bench

import (
	"fmt"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

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
	under    string  // profile of another kind that it uses, "" for its own
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
		if k.under != "" {
			k.service.Profile = k.under
		} else {
			c.profiles[k.name] = k.profile
		}
		c.services[k.name] = k.service
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
	return shapeOf(resources(32, 64, 0), plain, accelerated)
}

// shapeOf is shape with plain workers of another size.
func shapeOf(size worker.Resources, plain, accelerated int) []machine {
	var ms []machine
	add := func(name string, perRack, i int, r worker.Resources) {
		ms = append(ms, machine{
			worker.Info{Name: fmt.Sprint(name, i), Rack: fmt.Sprint(name, i/perRack), FailureDomain: fmt.Sprint("domain", i%3), Incarnation: "1"},
			worker.Capacity{Resources: r, Slots: 8, Connections: 64},
		})
	}
	for i := range plain {
		add("plain", 5, i, size)
	}
	for i := range accelerated {
		add("accelerated", 3, i, resources(64, 128, 8))
	}
	return ms
}

// site is a set of workers and the kinds of work that they do.
type site struct {
	suffix   string // of the names of its figures
	machines []machine
	kinds    []kind
	teams    int
}

// slots returns the slots of all workers.
func (s site) slots() float64 {
	sum := 0.0
	for _, m := range s.machines {
		sum += float64(m.capacity.Slots)
	}
	return sum
}

// cooperative is the co-operative's order desk and inspection.
func cooperative() site {
	return site{machines: shape(35, 13), kinds: kinds(), teams: teams}
}

// regie is the régie's spares desk and die imaging. Its plain workers are
// twice as large, and so is its work without accelerators: the kinds keep
// their names and their part of a worker.
func regie() site {
	ks := kinds()
	for i := range ks {
		if r := &ks[i].service.Resources; r.Accelerators == 0 {
			*r = r.Add(*r)
		}
	}
	return site{suffix: ".spares", machines: shapeOf(resources(64, 128, 0), 35, 13), kinds: ks, teams: teams}
}

// sites are the two users' shapes.
func sites() []site { return []site{cooperative(), regie()} }

// designLoad is the part of the slots that the 34,000 running tasks of the
// design size use on 5,100 workers.
const designLoad = 34000.0 / (5100 * 8)

// design is the design size: 5,100 workers with 7,200 accelerators. The run
// times and parts make 3,100 starts a second of 34,000 running tasks, a fifth
// of which run for hours under the profile of batch work. The guaranteed
// shares of urgent work and of work with accelerators are twice their usual
// use or more; with those of the users' sites 34,000 tasks could not run.
func design() site {
	ks := kinds()
	for i, c := range []struct {
		slots      float64
		run        time.Duration
		guaranteed int
	}{
		{0.004, 100 * time.Millisecond, 5},
		{0.036, 2 * time.Second, 6},
		{0.06, 23 * time.Second, 5},
		{0.70, 23 * time.Second, 60},
	} {
		ks[i].slots, ks[i].run, ks[i].profile.Queue.GuaranteedPercent = c.slots, c.run, c.guaranteed
	}
	long := kind{name: "long", run: 3 * time.Hour, deadline: time.Minute, slots: 0.2, under: "batch",
		service: contract.Service{Kind: contract.ServiceBatch, Resources: resources(4, 7, 0)}}
	return site{suffix: ".5100", machines: shape(4200, 900), kinds: append(ks, long), teams: designTeams}
}
