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

// teams is the number of teams of the usual load; the surge has its own.
const teams = 20

// scenario is one run of the event loop.
type scenario struct {
	site     site
	name     string // "" is the scheduler, else a baseline
	seed     uint64
	load     float64 // part of the capacity
	warm     time.Duration
	length   time.Duration
	flood    string        // kind of the surge, "" for none
	overload float64       // of the whole capacity
	shared   bool          // the surge comes from the teams of the usual load
	bad      string        // worker that fails everything at once
	only     string        // the only kind that arrives; nothing is guaranteed then
	filled   bool          // starts with the mean number of tasks running
	herd     float64       // part of the capacity that arrives in the first second, and nothing else
	rush     time.Duration // run time of the surge, 0 for that of its kind
	wrap     func(*loop, system) system
}

// count is what became of the jobs of one kind, the surge left out.
type count struct {
	waits               []time.Duration
	arrived, good, lost int
	failed              int
	work                float64 // core seconds that were completed
}

// percentile returns quantile q of the waits in milliseconds. Work that was
// refused or expired counts as infinite and is reported as -1.
func (c *count) percentile(q float64) float64 {
	at := int(q * float64(len(c.waits)+c.lost))
	if at >= len(c.waits) {
		return -1
	}
	sort.Slice(c.waits, func(i, j int) bool { return c.waits[i] < c.waits[j] })
	return float64(c.waits[at]) / float64(time.Millisecond)
}

// arrival draws jobs of one kind.
type arrival struct {
	k    *kind
	rate float64       // jobs a second
	run  time.Duration // mean
	team func(*rand.Rand) string
	c    *count // nil for the surge
}

// run drives the scenario on its site and returns the counts by kind for the
// time after the warm-up.
func (sc scenario) run() map[string]*count {
	l := &loop{}
	ks := slices.Clone(sc.site.kinds)
	for i := range ks {
		if sc.only != "" {
			ks[i].profile.Queue.GuaranteedPercent = 0
		}
	}
	config := configure(ks)
	ms := sc.site.machines
	var sys system
	if sc.name == "" {
		sys = real{newReal(l, sc.seed, ms, config)}
	} else {
		sys = newPlain(sc.name, l, sc.seed, ms, config)
	}
	if sc.wrap != nil {
		sys = sc.wrap(l, sys)
	}
	slots := sc.site.slots()
	team := func(r *rand.Rand) string { return fmt.Sprint("team", r.IntN(sc.site.teams)) }
	counts := map[string]*count{}
	id := 0
	start := func(a arrival, rng *rand.Rand) {
		var next func()
		next = func() {
			id++
			sc.arrive(l, sys, a, rng, id)
			l.after(exponential(rng, 1/a.rate), next)
		}
		l.after(exponential(rng, 1/a.rate), next)
	}
	for i := range ks {
		k := &ks[i]
		counts[k.name] = &count{}
		if sc.only != "" && sc.only != k.name {
			continue
		}
		mean := k.slots * slots // running jobs at full load
		if k.members > 0 {
			mean /= 0.75 * float64(k.members)
		}
		a, rng := arrival{k, sc.load * mean / k.run.Seconds(), k.run, team, counts[k.name]}, generator(sc.seed+uint64(i))
		if sc.filled {
			// Exponential run times have no memory, so this is the steady state.
			for range int(sc.load * mean) {
				id++
				sc.arrive(l, sys, a, rng, id)
			}
		}
		for range int(sc.herd * mean) {
			l.after(time.Duration(rng.Float64()*float64(time.Second)), func() {
				id++
				sc.arrive(l, sys, a, rng, id)
			})
		}
		if a.rate > 0 {
			start(a, rng)
		}
		if sc.flood == k.name {
			surge := arrival{k: k, team: func(*rand.Rand) string { return "surge" }, run: k.run}
			if sc.shared {
				surge.team = team
			}
			if sc.rush > 0 {
				surge.run = sc.rush
			}
			surge.rate = sc.overload * slots / surge.run.Seconds()
			l.after(sc.warm, func() { start(surge, generator(sc.seed+100)) })
		}
	}
	var again func()
	again = func() { sys.tick(); l.after(tick, again) }
	l.after(tick, again)
	l.until(sc.warm + sc.length)
	return counts
}

func exponential(rng *rand.Rand, mean float64) time.Duration {
	return time.Duration(rng.ExpFloat64() * mean * float64(time.Second))
}

// arrive submits one job and follows it to its end.
func (sc scenario) arrive(l *loop, sys system, a arrival, rng *rand.Rand, id int) {
	k := a.k
	job := schedule.Job{ID: fmt.Sprint(id), Team: a.team(rng), Service: k.name, Deadline: l.time().Add(k.deadline), Members: 1}
	if k.members > 0 {
		job.Members = k.members/2 + rng.IntN(k.members/2+1)
	}
	if k.vary {
		job.Resources = varied(k, rng)
	}
	run := exponential(rng, a.run.Seconds())
	arrived := l.now
	c, all := a.c, a.c
	if l.now < sc.warm {
		c = nil
	}
	if c != nil {
		c.arrived++
	}
	done := false
	cancel := sys.submit(job, func(g *grant, err error) {
		done = true
		if err != nil {
			if c != nil {
				c.lost++
			}
			return
		}
		if c != nil {
			c.waits = append(c.waits, l.now-arrived)
			c.good++
		}
		for member, name := range g.workers {
			r := schedule.TaskResult{Ran: true, RunTime: run}
			if name == sc.bad && sc.bad != "" {
				r = schedule.TaskResult{Ran: true, Failed: true, RunTime: time.Millisecond}
				if c != nil {
					c.failed++
				}
			}
			l.after(r.RunTime, func() {
				if all != nil && l.now >= sc.warm {
					all.work += run.Seconds() * float64(job.Resources.MilliCPU) / 1000
				}
				g.release(member, r)
			})
		}
	})
	if !done {
		l.after(k.deadline, func() {
			if !done {
				cancel()
			}
		})
	}
}

// varied returns a size between a half and twice the declared one.
func varied(k *kind, rng *rand.Rand) worker.Resources {
	f := 0.5 + 1.5*rng.Float64()
	r := k.service.Resources
	r.MilliCPU = int64(float64(r.MilliCPU)*f) / 500 * 500
	r.MemoryMiB = int64(float64(r.MemoryMiB)*f) / 512 * 512
	return r
}

// packingBound returns the core seconds a second that one worker with the
// capacity of all would complete of the work of kind batch: the dimension
// that runs out first decides.
func packingBound(s site) float64 {
	k := s.kinds[3]
	var cores, memory, slots float64
	for _, m := range s.machines {
		cores += float64(m.capacity.MilliCPU) / 1000
		memory += float64(m.capacity.MemoryMiB)
		slots += float64(m.capacity.Slots)
	}
	const meanFactor = 1.25 // of a size that varies between a half and twice
	meanCores := meanFactor * float64(k.service.Resources.MilliCPU) / 1000
	meanMemory := meanFactor * float64(k.service.Resources.MemoryMiB)
	tasks := min(cores/meanCores, memory/meanMemory, slots)
	return tasks * meanCores
}
