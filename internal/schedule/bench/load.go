package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/schedule"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// usualTeams is the number of teams of the usual load. A surge comes from a team
// of its own unless surgeSharesTeams is set.
const usualTeams = 20

// scenario is one simulation run. Loads are fractions of the capacity; 1 is the
// whole capacity.
type scenario struct {
	deployment       deployment
	system           string // name of a baseline, "" for the scheduler
	seed             uint64
	load             float64 // usual load
	warmUp           time.Duration
	duration         time.Duration
	surgeWorkload    string        // name of the surge's workload, "" for none
	surgeLoad        float64       // load of the surge
	surgeSharesTeams bool          // the surge comes from the teams of the usual load
	failingWorker    string        // worker that fails every task immediately
	onlyWorkload     string        // the only workload that arrives; no share of the slots is guaranteed then
	startsFilled     bool          // starts with the mean number of tasks running
	burstLoad        float64       // load that arrives within the first second
	surgeRunTime     time.Duration // mean run time of the surge, 0 for that of its workload
	wrapSystem       func(*eventLoop, system) system
}

// jobStats counts what became of the jobs of one workload, without the surge.
type jobStats struct {
	waits                      []time.Duration
	arrived, started, rejected int
	failedTasks                int
	coreSeconds                float64 // completed after the warm-up
}

// percentile returns quantile q of the waits in milliseconds. Jobs that were
// refused or expired count as infinite waits; an infinite quantile is returned
// as -1.
func (c *jobStats) percentile(q float64) float64 {
	at := int(q * float64(len(c.waits)+c.rejected))
	if at >= len(c.waits) {
		return -1
	}
	sort.Slice(c.waits, func(i, j int) bool { return c.waits[i] < c.waits[j] })
	return float64(c.waits[at]) / float64(time.Millisecond)
}

// arrival generates the jobs of one workload at random times.
type arrival struct {
	workload    *workload
	rate        float64 // jobs per second
	meanRunTime time.Duration
	team        func(*rand.Rand) string
	stats       *jobStats // nil for the surge
}

// run simulates the scenario and returns the statistics by workload for the time
// after the warm-up.
func (sc scenario) run() map[string]*jobStats {
	l := &eventLoop{}
	workloads := slices.Clone(sc.deployment.workloads)
	for i := range workloads {
		if sc.onlyWorkload != "" {
			workloads[i].profile.Queue.GuaranteedPercent = 0
		}
	}
	config := newConfiguration(workloads)
	specs := sc.deployment.workers
	var sys system
	if sc.system == "" {
		sys = realScheduler{newScheduler(l, sc.seed, specs, config)}
	} else {
		sys = newBaseline(sc.system, l, sc.seed, specs, config)
	}
	if sc.wrapSystem != nil {
		sys = sc.wrapSystem(l, sys)
	}
	slots := sc.deployment.slots()
	team := func(r *rand.Rand) string { return fmt.Sprint("team", r.IntN(sc.deployment.teams)) }
	stats := map[string]*jobStats{}
	id := 0
	start := func(a arrival, rng *rand.Rand) {
		var next func()
		next = func() {
			id++
			sc.submitJob(l, sys, a, rng, id)
			l.after(exponential(rng, 1/a.rate), next)
		}
		l.after(exponential(rng, 1/a.rate), next)
	}
	for i := range workloads {
		wl := &workloads[i]
		stats[wl.name] = &jobStats{}
		if sc.onlyWorkload != "" && sc.onlyWorkload != wl.name {
			continue
		}
		mean := wl.slotShare * slots // running jobs at full load
		if wl.maxMembers > 0 {
			mean /= 0.75 * float64(wl.maxMembers)
		}
		a, rng := arrival{wl, sc.load * mean / wl.meanRunTime.Seconds(), wl.meanRunTime, team, stats[wl.name]}, newRand(sc.seed+uint64(i))
		if sc.startsFilled {
			// Exponential run times are memoryless, so this is the steady state.
			for range int(sc.load * mean) {
				id++
				sc.submitJob(l, sys, a, rng, id)
			}
		}
		for range int(sc.burstLoad * mean) {
			l.after(time.Duration(rng.Float64()*float64(time.Second)), func() {
				id++
				sc.submitJob(l, sys, a, rng, id)
			})
		}
		if a.rate > 0 {
			start(a, rng)
		}
		if sc.surgeWorkload == wl.name {
			surge := arrival{workload: wl, team: func(*rand.Rand) string { return "surge" }, meanRunTime: wl.meanRunTime}
			if sc.surgeSharesTeams {
				surge.team = team
			}
			if sc.surgeRunTime > 0 {
				surge.meanRunTime = sc.surgeRunTime
			}
			surge.rate = sc.surgeLoad * slots / surge.meanRunTime.Seconds()
			l.after(sc.warmUp, func() { start(surge, newRand(sc.seed+100)) })
		}
	}
	var tickAgain func()
	tickAgain = func() { sys.tick(); l.after(tickInterval, tickAgain) }
	l.after(tickInterval, tickAgain)
	l.runUntil(sc.warmUp + sc.duration)
	return stats
}

// exponential returns an exponentially distributed duration with the given mean
// in seconds.
func exponential(rng *rand.Rand, mean float64) time.Duration {
	return time.Duration(rng.ExpFloat64() * mean * float64(time.Second))
}

// submitJob submits one job and follows it to its end.
func (sc scenario) submitJob(l *eventLoop, sys system, a arrival, rng *rand.Rand, id int) {
	wl := a.workload
	job := schedule.Job{ID: fmt.Sprint(id), Team: a.team(rng), Service: wl.name, Deadline: l.time().Add(wl.deadline), Members: 1}
	if wl.maxMembers > 0 {
		job.Members = wl.maxMembers/2 + rng.IntN(wl.maxMembers/2+1)
	}
	if wl.variesSize {
		job.Resources = randomSize(wl, rng)
	}
	run := exponential(rng, a.meanRunTime.Seconds())
	arrived := l.now
	stats, throughput := a.stats, a.stats
	if l.now < sc.warmUp {
		stats = nil
	}
	if stats != nil {
		stats.arrived++
	}
	done := false
	cancel := sys.submit(job, func(placed *placement, err error) {
		done = true
		if err != nil {
			if stats != nil {
				stats.rejected++
			}
			return
		}
		if stats != nil {
			stats.waits = append(stats.waits, l.now-arrived)
			stats.started++
		}
		for member, name := range placed.workers {
			r := schedule.TaskResult{Ran: true, RunTime: run}
			if name == sc.failingWorker && sc.failingWorker != "" {
				r = schedule.TaskResult{Ran: true, Failed: true, RunTime: time.Millisecond}
				if stats != nil {
					stats.failedTasks++
				}
			}
			l.after(r.RunTime, func() {
				if throughput != nil && l.now >= sc.warmUp {
					throughput.coreSeconds += run.Seconds() * float64(job.Resources.MilliCPU) / 1000
				}
				placed.release(member, r)
			})
		}
	})
	if !done {
		l.after(wl.deadline, func() {
			if !done {
				cancel()
			}
		})
	}
}

// randomSize returns a size between half and twice the declared one.
func randomSize(wl *workload, rng *rand.Rand) worker.Resources {
	f := 0.5 + 1.5*rng.Float64()
	r := wl.service.Resources
	r.MilliCPU = int64(float64(r.MilliCPU)*f) / 500 * 500
	r.MemoryMiB = int64(float64(r.MemoryMiB)*f) / 512 * 512
	return r
}

// maxCoreThroughput returns the core seconds per second of batch work that a
// single worker with the capacity of all would complete. The resource that runs
// out first decides.
func maxCoreThroughput(s deployment) float64 {
	wl := s.workloads[3]
	var cores, memory, slots float64
	for _, m := range s.workers {
		cores += float64(m.capacity.MilliCPU) / 1000
		memory += float64(m.capacity.MemoryMiB)
		slots += float64(m.capacity.Slots)
	}
	const meanFactor = 1.25 // mean of a size that varies between half and twice the declared one
	meanCores := meanFactor * float64(wl.service.Resources.MilliCPU) / 1000
	meanMemory := meanFactor * float64(wl.service.Resources.MemoryMiB)
	tasks := min(cores/meanCores, memory/meanMemory, slots)
	return tasks * meanCores
}
