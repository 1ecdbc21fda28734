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

// timing is the measured cost of placements on one size of cell.
type timing struct {
	p50, p99 time.Duration
	mean     time.Duration // of a placement and the release that follows it
}

// place fills the cell and then starts and ends tasks in turn. The clock
// stands still apart from a millisecond for each start.
func place(name string, seed uint64, workers, running, starts int) timing {
	l := &loop{}
	ks := kinds()
	config := configure(ks)
	ms := shape(workers*35/48, workers-workers*35/48)
	var sys system
	if name == "" {
		sys = real{newReal(l, seed, ms, config)}
	} else {
		sys = newPlain(name, l, seed, ms, config)
	}
	rng := generator(seed)
	var grants []*grant
	id := 0
	start := func() {
		id++
		k := &ks[3]
		if rng.IntN(100) < 30 {
			k = &ks[rng.IntN(2)]
		}
		job := schedule.Job{ID: fmt.Sprint(id), Team: fmt.Sprint("team", rng.IntN(designTeams)), Service: k.name}
		sys.submit(job, func(g *grant, err error) {
			if err == nil {
				grants = append(grants, g)
			}
		})
	}
	for i := 0; len(grants) < running && i < 2*running; i++ {
		start()
	}
	times := make([]time.Duration, 0, starts)
	var total time.Duration
	for range starts {
		l.now += time.Millisecond
		if len(grants) > 0 {
			i := rng.IntN(len(grants))
			g := grants[i]
			grants[i] = grants[len(grants)-1]
			grants = grants[:len(grants)-1]
			began := time.Now()
			g.release(0, schedule.TaskResult{Ran: true, RunTime: time.Second})
			total += time.Since(began)
		}
		began := time.Now()
		start()
		d := time.Since(began)
		times = append(times, d)
		total += d
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return timing{p50: times[len(times)/2], p99: times[len(times)*99/100], mean: total / time.Duration(starts)}
}

// saturated returns the mean cost of the end of a task that lets a queued one
// start, in a full cell with queues of all teams.
func saturated(seed uint64, workers, queued, ends int) time.Duration {
	l := &loop{}
	ks := kinds()
	for i := range ks {
		ks[i].profile.Queue.Limit, ks[i].profile.Refusal.Early = 100_000, false
	}
	sys := real{newReal(l, seed, shape(workers*35/48, workers-workers*35/48), configure(ks))}
	rng := generator(seed)
	var grants []*grant
	for i := range 8*workers + queued {
		k := &ks[[]int{0, 1, 3}[rng.IntN(3)]]
		job := schedule.Job{ID: fmt.Sprint(i), Team: fmt.Sprint("team", rng.IntN(designTeams)), Service: k.name}
		if k.vary {
			job.Resources = varied(k, rng)
		}
		sys.submit(job, func(g *grant, err error) {
			if err == nil {
				grants = append(grants, g)
			}
		})
	}
	began := time.Now()
	for range ends {
		l.now += time.Millisecond
		i := rng.IntN(len(grants))
		g := grants[i]
		grants[i] = grants[len(grants)-1]
		grants = grants[:len(grants)-1]
		g.release(0, schedule.TaskResult{Ran: true, RunTime: time.Second})
	}
	return time.Since(began) / time.Duration(ends)
}

// queueing returns the time of a change of one team's quota and of a profile
// while jobs are queued, and the mean time to cancel one of them.
func queueing(seed uint64, queued int) (quota, profile, cancel time.Duration) {
	l := &loop{}
	ks := kinds()
	for i := range ks {
		ks[i].profile.Queue.Limit, ks[i].profile.Refusal.Early = 100_000, false
	}
	config := configure(ks)
	s := newReal(l, seed, shape(35, 13), config)
	cancels := fill(s, generator(seed), queued, 0)
	timed := func() time.Duration {
		began := time.Now()
		s.ConfigurationChanged()
		return time.Since(began)
	}
	config.changed = "team7"
	quota = timed()
	p := config.profiles["batch"]
	p.Queue.Priority++
	p.Queue.MaxWaitMS-- // also sets the deadlines anew
	config.profiles["batch"] = p
	profile = timed()
	rng := generator(seed)
	rng.Shuffle(len(cancels), func(i, j int) { cancels[i], cancels[j] = cancels[j], cancels[i] })
	began := time.Now()
	for _, c := range cancels {
		c()
	}
	return quota, profile, time.Since(began) / time.Duration(queued)
}

// slope is the exponent with which a cost grows from one size to another.
func slope(small, large int, costSmall, costLarge time.Duration) float64 {
	return math.Log(float64(costLarge)/float64(costSmall)) / math.Log(float64(large)/float64(small))
}

// state returns the heap bytes of one held worker with 7 tasks and of one
// queued job.
func state(seed uint64) (perWorker, perJob float64) {
	const workers, jobs = 2000, 50_000
	l := &loop{}
	ks := kinds()
	for i := range ks {
		ks[i].profile.Queue.Limit = 100_000
	}
	config := configure(ks)
	rng := generator(seed)
	ms := shape(workers, 0)
	before := heapBytes()
	s := newReal(l, seed, ms, config)
	held := fill(s, rng, workers*7, 0)
	middle := heapBytes()
	held = append(held, fill(s, rng, workers*8, workers*7)...)
	full := heapBytes()
	queued := fill(s, rng, jobs, workers*8)
	after := heapBytes()
	runtime.KeepAlive(s)
	runtime.KeepAlive(held)
	runtime.KeepAlive(queued)
	runtime.KeepAlive(ms)
	return float64(middle-before) / workers, float64(after-full) / jobs
}

// fill submits small jobs and returns their cancel functions.
func fill(s *schedule.Scheduler, rng *rand.Rand, n, from int) []func() bool {
	cancels := make([]func() bool, 0, n)
	for i := range n {
		job := schedule.Job{ID: fmt.Sprint(from + i), Team: fmt.Sprint("team", rng.IntN(designTeams)), Service: "batch"}
		cancels = append(cancels, s.Submit(job, func(*schedule.Placement, error) {}))
	}
	return cancels
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
