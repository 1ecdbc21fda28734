package bench

import (
	"fmt"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// workload is a kind of work and how its jobs arrive.
type workload struct {
	name        string
	service     contract.Service
	profile     contract.Profile
	meanRunTime time.Duration // run times are exponentially distributed
	deadline    time.Duration
	maxMembers  int     // most members of a job; each job has at least half of them. 0 means 1
	slotShare   float64 // fraction of the slots that it uses at full load
	variesSize  bool    // sizes vary between half and twice the declared size
	profileOf   string  // name of the workload whose profile it uses, "" for its own
}

// resources returns the resources of whole cores, GiB of memory and
// accelerators.
func resources(cores, gib, accelerators int64) worker.Resources {
	return worker.Resources{MilliCPU: cores * 1000, MemoryMiB: gib * 1024, Accelerators: accelerators}
}

// usualWorkloads returns the workloads of the two sample deployments, the order
// desk's and the spares desk's, most urgent first.
func usualWorkloads() []workload {
	profile := func(s contract.Strategy, priority, guaranteed int) contract.Profile {
		return contract.Profile{
			Placement: contract.Placement{Strategy: s, KeepAccelerators: true},
			Queue: contract.Queue{Priority: priority, Limit: 5000, MaxWaitMS: 600_000, AgeingMS: 1000,
				GuaranteedPercent: guaranteed, Borrow: true},
			Refusal: contract.Refusal{Early: true, RetryAfterMS: 200, JitterPercent: 50},
		}
	}
	return []workload{
		{name: "desk", meanRunTime: 100 * time.Millisecond, deadline: 2 * time.Second, slotShare: 0.25,
			service: contract.Service{Kind: contract.ServiceRequest, Resources: resources(3, 6, 0)},
			profile: profile(contract.LeastLoaded, 90, 30)},
		{name: "inspection", meanRunTime: 2 * time.Second, deadline: 20 * time.Second, slotShare: 0.25,
			service: contract.Service{Kind: contract.ServiceRequest, Resources: resources(7, 14, 1)},
			profile: profile(contract.SpreadRacks, 60, 25)},
		{name: "gang", meanRunTime: 10 * time.Second, deadline: 60 * time.Second, maxMembers: 16, slotShare: 0.1,
			service: contract.Service{Kind: contract.ServiceGang, Resources: resources(4, 7, 0)},
			profile: profile(contract.Pack, 40, 10)},
		{name: "batch", meanRunTime: 10 * time.Second, deadline: 60 * time.Second, slotShare: 0.35, variesSize: true,
			service: contract.Service{Kind: contract.ServiceBatch, Resources: resources(4, 7, 0)},
			profile: profile(contract.Pack, 10, 25)},
	}
}

// newConfiguration returns a configuration with a service for each workload and a
// profile for each workload that doesn't use another's.
func newConfiguration(workloads []workload) *configuration {
	c := &configuration{map[string]contract.Profile{}, map[string]contract.Service{}, contract.Quota{Slots: 100_000, Weight: 1}, ""}
	for _, wl := range workloads {
		wl.service.Profile, wl.service.RunTimeMS = wl.name, int(wl.meanRunTime/time.Millisecond)
		if wl.profileOf != "" {
			wl.service.Profile = wl.profileOf
		} else {
			c.profiles[wl.name] = wl.profile
		}
		c.services[wl.name] = wl.service
	}
	return c
}

// workerSpec is a worker of a deployment.
type workerSpec struct {
	info     worker.Info
	capacity worker.Capacity
}

// newWorkers returns plain workers with 32 cores, five per rack, and workers
// with 64 cores and 8 accelerators, three per rack.
func newWorkers(plain, accelerated int) []workerSpec {
	return newWorkersOfSize(resources(32, 64, 0), plain, accelerated)
}

// newWorkersOfSize is newWorkers with another size of the plain workers.
func newWorkersOfSize(size worker.Resources, plain, accelerated int) []workerSpec {
	var specs []workerSpec
	add := func(name string, perRack, i int, r worker.Resources) {
		specs = append(specs, workerSpec{
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
	return specs
}

// deployment is a set of workers and the workloads that run on them.
type deployment struct {
	figureSuffix string // suffix of the names of its figures
	workers      []workerSpec
	workloads    []workload
	teams        int
}

// slots returns the number of slots of all workers.
func (d deployment) slots() float64 {
	sum := 0.0
	for _, spec := range d.workers {
		sum += float64(spec.capacity.Slots)
	}
	return sum
}

// orderDesk returns the deployment that runs the order desk and inspection.
func orderDesk() deployment {
	return deployment{workers: newWorkers(35, 13), workloads: usualWorkloads(), teams: usualTeams}
}

// sparesDesk returns the deployment that runs the spares desk and die imaging.
// Its plain workers are twice as large, and so is its work without accelerators:
// the workloads keep their names and their fraction of a worker.
func sparesDesk() deployment {
	workloads := usualWorkloads()
	for i := range workloads {
		if r := &workloads[i].service.Resources; r.Accelerators == 0 {
			*r = r.Add(*r)
		}
	}
	return deployment{figureSuffix: ".spares", workers: newWorkersOfSize(resources(64, 128, 0), 35, 13), workloads: workloads, teams: usualTeams}
}

// sampleDeployments returns the two sample deployments.
func sampleDeployments() []deployment { return []deployment{orderDesk(), sparesDesk()} }

// designLoad is the fraction of the slots of 5,100 workers that the 34,000
// running tasks of the design size use.
const designLoad = 34000.0 / (5100 * 8)

// designSize returns the deployment of the design size: 5,100 workers with 7,200
// accelerators. The run times and slot shares yield 3,100 starts per second with
// 34,000 running tasks, a fifth of which run for hours under the profile of
// batch work. The guaranteed shares of urgent work and of work with accelerators
// are at least twice their usual use; with those of the sample deployments,
// 34,000 tasks could not run.
func designSize() deployment {
	workloads := usualWorkloads()
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
		workloads[i].slotShare, workloads[i].meanRunTime, workloads[i].profile.Queue.GuaranteedPercent = c.slots, c.run, c.guaranteed
	}
	long := workload{name: "long", meanRunTime: 3 * time.Hour, deadline: time.Minute, slotShare: 0.2, profileOf: "batch",
		service: contract.Service{Kind: contract.ServiceBatch, Resources: resources(4, 7, 0)}}
	return deployment{figureSuffix: ".5100", workers: newWorkers(4200, 900), workloads: append(workloads, long), teams: designTeams}
}
