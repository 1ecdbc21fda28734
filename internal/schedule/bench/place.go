package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"sort"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/schedule"
)

// designTeams is the number of teams at the design size.
const designTeams = 570

// placementCost is the measured real time of placements in a cell of one size.
type placementCost struct {
	p50, p99 time.Duration
	mean     time.Duration // of a placement and the release before it
}

// measurePlacement fills the cell up to the given number of running tasks and
// then alternately ends and starts tasks. The clock advances only by a
// millisecond for each start.
func measurePlacement(name string, seed uint64, workers, running, starts int) placementCost {
	l := &eventLoop{}
	workloads := usualWorkloads()
	config := newConfiguration(workloads)
	specs := newWorkers(workers*35/48, workers-workers*35/48)
	var sys system
	if name == "" {
		sys = realScheduler{newScheduler(l, seed, specs, config)}
	} else {
		sys = newBaseline(name, l, seed, specs, config)
	}
	rng := newRand(seed)
	var placements []*placement
	id := 0
	start := func() {
		id++
		wl := &workloads[3]
		if rng.IntN(100) < 30 {
			wl = &workloads[rng.IntN(2)]
		}
		job := schedule.Job{ID: fmt.Sprint(id), Team: fmt.Sprint("team", rng.IntN(designTeams)), Service: wl.name}
		sys.submit(job, func(placed *placement, err error) {
			if err == nil {
				placements = append(placements, placed)
			}
		})
	}
	for i := 0; len(placements) < running && i < 2*running; i++ {
		start()
	}
	times := make([]time.Duration, 0, starts)
	var total time.Duration
	for range starts {
		l.now += time.Millisecond
		if len(placements) > 0 {
			i := rng.IntN(len(placements))
			placed := placements[i]
			placements[i] = placements[len(placements)-1]
			placements = placements[:len(placements)-1]
			began := time.Now()
			placed.release(0, schedule.TaskResult{Ran: true, RunTime: time.Second})
			total += time.Since(began)
		}
		began := time.Now()
		start()
		d := time.Since(began)
		times = append(times, d)
		total += d
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return placementCost{p50: times[len(times)/2], p99: times[len(times)*99/100], mean: total / time.Duration(starts)}
}

// measureSaturated returns the mean time to end a task and start a queued one in
// its place, in a full cell in which all teams have queued jobs.
func measureSaturated(seed uint64, workers, queued, ends int) time.Duration {
	l := &eventLoop{}
	workloads := usualWorkloads()
	for i := range workloads {
		workloads[i].profile.Queue.Limit, workloads[i].profile.Refusal.Early = 100_000, false
	}
	sys := realScheduler{newScheduler(l, seed, newWorkers(workers*35/48, workers-workers*35/48), newConfiguration(workloads))}
	rng := newRand(seed)
	var placements []*placement
	for i := range 8*workers + queued {
		wl := &workloads[[]int{0, 1, 3}[rng.IntN(3)]]
		job := schedule.Job{ID: fmt.Sprint(i), Team: fmt.Sprint("team", rng.IntN(designTeams)), Service: wl.name}
		if wl.variesSize {
			job.Resources = randomSize(wl, rng)
		}
		sys.submit(job, func(placed *placement, err error) {
			if err == nil {
				placements = append(placements, placed)
			}
		})
	}
	began := time.Now()
	for range ends {
		l.now += time.Millisecond
		i := rng.IntN(len(placements))
		placed := placements[i]
		placements[i] = placements[len(placements)-1]
		placements = placements[:len(placements)-1]
		placed.release(0, schedule.TaskResult{Ran: true, RunTime: time.Second})
	}
	return time.Since(began) / time.Duration(ends)
}

// measureQueueChanges returns the time to apply a change of one team's quota and
// of a profile while jobs are queued, and the mean time to cancel one of the
// jobs.
func measureQueueChanges(seed uint64, queued int) (quota, profile, cancel time.Duration) {
	l := &eventLoop{}
	workloads := usualWorkloads()
	for i := range workloads {
		workloads[i].profile.Queue.Limit, workloads[i].profile.Refusal.Early = 100_000, false
	}
	config := newConfiguration(workloads)
	s := newScheduler(l, seed, newWorkers(35, 13), config)
	cancels := submitBatchJobs(s, newRand(seed), queued, 0)
	timeConfigurationChange := func() time.Duration {
		began := time.Now()
		s.ConfigurationChanged()
		return time.Since(began)
	}
	config.doubledTeam = "team7"
	quota = timeConfigurationChange()
	p := config.profiles["batch"]
	p.Queue.Priority++
	p.Queue.MaxWaitMS-- // also makes the scheduler recompute the deadlines
	config.profiles["batch"] = p
	profile = timeConfigurationChange()
	rng := newRand(seed)
	rng.Shuffle(len(cancels), func(i, j int) { cancels[i], cancels[j] = cancels[j], cancels[i] })
	began := time.Now()
	for _, c := range cancels {
		c()
	}
	return quota, profile, time.Since(began) / time.Duration(queued)
}

// growthExponent returns the exponent with which a cost grows from the small to
// the large size.
func growthExponent(small, large int, costSmall, costLarge time.Duration) float64 {
	return math.Log(float64(costLarge)/float64(costSmall)) / math.Log(float64(large)/float64(small))
}

// measureMemory returns the heap bytes of one held worker with 7 tasks and of
// one queued job.
func measureMemory(seed uint64) (perWorker, perJob float64) {
	const workers, jobs = 2000, 50_000
	l := &eventLoop{}
	workloads := usualWorkloads()
	for i := range workloads {
		workloads[i].profile.Queue.Limit = 100_000
	}
	config := newConfiguration(workloads)
	rng := newRand(seed)
	specs := newWorkers(workers, 0)
	before := heapBytes()
	s := newScheduler(l, seed, specs, config)
	held := submitBatchJobs(s, rng, workers*7, 0)
	middle := heapBytes()
	held = append(held, submitBatchJobs(s, rng, workers*8, workers*7)...)
	full := heapBytes()
	queued := submitBatchJobs(s, rng, jobs, workers*8)
	after := heapBytes()
	runtime.KeepAlive(s)
	runtime.KeepAlive(held)
	runtime.KeepAlive(queued)
	runtime.KeepAlive(specs)
	return float64(middle-before) / workers, float64(after-full) / jobs
}

// submitBatchJobs submits n batch jobs with IDs from the given number on and
// returns their cancel functions.
func submitBatchJobs(s *schedule.Scheduler, rng *rand.Rand, n, from int) []func() bool {
	cancels := make([]func() bool, 0, n)
	for i := range n {
		job := schedule.Job{ID: fmt.Sprint(from + i), Team: fmt.Sprint("team", rng.IntN(designTeams)), Service: "batch"}
		cancels = append(cancels, s.Submit(job, func(*schedule.Placement, error) {}))
	}
	return cancels
}

// heapBytes returns the size of the live heap in bytes.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
