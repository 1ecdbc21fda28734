package pool

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/lead"
	"github.com/laburnumpass/laburnumpass/internal/shard"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// overloadedPool returns a scheduler with full workers and more waiting jobs
// than a pass can place, which makes a pass most expensive.
func overloadedPool(workers, jobs int) *Pool {
	p := New(Options{Shard: shard.Whole(testService), Log: logr.Discard(), MaxLease: testMaxLease, Hosts: func() []string { return nil }}, lead.NewTerm(1, func() {}))
	p.ctx = context.Background()
	now := time.Now()
	for n := range workers {
		id := fmt.Sprintf("w%03d", n)
		p.nodes[id] = &node{
			entry: cell.WorkerEntry{
				ID: id, Service: testService, Capacity: worker.Resources{MilliCPU: 64_000, MemoryMiB: 131_072},
				Labels: []string{"kind", fmt.Sprintf("rack-%d", n/8)},
			},
			listed: true, hasReplied: true, repliedAt: now.Add(time.Hour),
			runs: make(map[string]*run), runsPerStep: make(map[*step]int),
		}
	}
	queues := []cell.Queue{
		{Name: "quick", Service: testService, Stretch: 1.5, TargetLatency: 400 * time.Millisecond},
		{Name: "batch", Service: testService, Stretch: 4, TargetLatency: 3 * time.Second, Priority: 2},
		{Name: "watch", Service: testService, Stretch: 2.2, TargetLatency: 2500 * time.Millisecond, Priority: 1},
	}
	// Each worker has less capacity left than any waiting task needs.
	running := newJob("running", queues[1], "", &api.Job{Steps: []api.Step{{Count: 5 * workers, MilliCPU: 12_000, MemoryMiB: 20_000, Checkpointable: true}}}, now)
	tasks := running.occurrence(0).steps[0].tasks
	for _, n := range p.nodes {
		for range 5 {
			// The search for evictable runs inspects these without success.
			tasks[0].evictions = maxEvictions
			n.addRun(tasks[0], 1, runActive).startedAt = now
			tasks = tasks[1:]
		}
	}
	for n := range jobs {
		cpu := int64(8000 + n*97%20_000)
		spec := &api.Job{Steps: []api.Step{
			{Count: 10, MilliCPU: cpu, MemoryMiB: 15_000, EstimateMS: 700, MaxPerWorker: 3},
			{Count: 10, MilliCPU: cpu, MemoryMiB: 15_000, EstimateMS: 700, DependsOn: []int{0}},
		}}
		id := fmt.Sprintf("%016x", n)
		j := newJob(id, queues[n%len(queues)], "", spec, now.Add(-time.Duration(n)*time.Millisecond))
		p.jobs[id], p.openJobs[id] = j, j
	}
	return p
}

// BenchmarkPass measures a pass over the queue of a large deployment under
// overload. On a host's share of a core it must stay far below 1.9 s, the time
// without a renewal after which another host takes over.
func BenchmarkPass(b *testing.B) {
	for _, jobs := range []int{100, 500, 2000} {
		b.Run(fmt.Sprintf("250_workers_%d_jobs", jobs), func(b *testing.B) {
			p := overloadedPool(250, jobs)
			now := time.Now()
			p.schedule(now)
			b.ResetTimer()
			for range b.N {
				p.schedule(now.Add(time.Second))
			}
		})
	}
}

// BenchmarkPassBesideFreeWorkers measures a pass over steps that cannot be placed although
// most workers have capacity: they wait for advice, or for a kind of which all workers are
// full, each with another need, alone or all at once.
func BenchmarkPassBesideFreeWorkers(b *testing.B) {
	for _, kind := range []string{"advice", "scarce", "gangs"} {
		for _, jobs := range []int{100, 2000} {
			b.Run(fmt.Sprintf("%s_250_workers_%d_jobs", kind, jobs), func(b *testing.B) {
				p := overloadedPool(250, jobs)
				freed := 0
				for _, n := range p.nodes {
					if freed++; freed > 200 {
						n.entry.Labels = append(n.entry.Labels, "scarce")
						continue
					}
					for _, r := range n.runs {
						n.removeRun(r)
					}
				}
				for _, j := range p.openJobs {
					for i := range j.spec.Steps {
						j.spec.Steps[i].MemoryMiB = 15_000 - j.spec.Steps[i].MilliCPU/2
						if kind != "advice" {
							j.spec.Steps[i].RequiredLabel = "scarce"
						}
						j.spec.Steps[i].Gang = kind == "gangs"
					}
					if kind == "advice" {
						j.queue.Policy = &cell.PolicyTiming{DecisionTime: time.Second, TicketLifetime: 2 * time.Second}
					}
				}
				now := time.Now()
				p.schedule(now)
				b.ResetTimer()
				for n := range b.N {
					p.schedule(now.Add(2*time.Second + time.Duration(n)))
				}
			})
		}
	}
}

// Guards against a known shortage that hides capacity for smaller needs or
// other labels: such a step would wait although there is capacity for it.
func TestShortages(t *testing.T) {
	for _, c := range []struct {
		name         string
		first, later api.Step
		full         bool
	}{
		{"the same need", api.Step{MilliCPU: 8000}, api.Step{MilliCPU: 8000}, true},
		{"more of it", api.Step{MilliCPU: 8000}, api.Step{MilliCPU: 9000, MemoryMiB: 10}, true},
		{"less of it", api.Step{MilliCPU: 8000}, api.Step{MilliCPU: 4000}, false},
		{"more of something else", api.Step{MilliCPU: 8000}, api.Step{MilliCPU: 1000, MemoryMiB: 10}, false},
		{"a label on top", api.Step{MilliCPU: 8000}, api.Step{MilliCPU: 8000, RequiredLabel: "kind"}, true},
		{"without the label", api.Step{MilliCPU: 4000, RequiredLabel: "none"}, api.Step{MilliCPU: 4000}, false},
		{"a filler takes no processor time", api.Step{MilliCPU: 8000}, api.Step{MilliCPU: 4000, Filler: true}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			// Each worker has 4,000 thousandths of a core and 31,072 MiB free.
			p := overloadedPool(2, 0)
			capacity := p.newCapacityTracker(time.Now())
			c.first.Count, c.later.Count = 1, 1
			j := newJob("j", cell.Queue{}, "", &api.Job{Steps: []api.Step{c.first, c.later}}, time.Now())
			steps := j.occurrence(0).steps
			require.True(t, capacity.full(steps[0]))
			require.Equal(t, c.full, capacity.full(steps[1]))
			if !c.full {
				require.NotEmpty(t, p.reservationCandidates(steps[1], false, false, capacity))
			}
		})
	}
}

// Guards against a gang for which no capacity is kept because other steps have
// reserved some on the same workers: the bound for each worker counts its own tasks.
func TestReservationForGangCountsItsOwnTasks(t *testing.T) {
	p := overloadedPool(2, 0)
	capacity := p.newCapacityTracker(time.Now())
	need := worker.Resources{MilliCPU: 1000, MemoryMiB: 100}
	for _, n := range capacity.nodes {
		capacity.reserved[n] = need
	}
	j := newJob("g", cell.Queue{}, "", &api.Job{Steps: []api.Step{{Count: 2, MilliCPU: 1000, MemoryMiB: 100, Gang: true, MaxPerWorker: 1}}}, time.Now())
	capacity.reserveForGang(j.occurrence(0).steps[0], capacity.nodes, 2)
	for _, n := range capacity.nodes {
		require.Equal(t, need.Add(need), capacity.reserved[n])
	}
}

// Guards against a gang that is dismissed because of another one that needs more, or may use
// fewer workers.
func TestGangShortages(t *testing.T) {
	gang := func(count int, milliCPU int64, maxPerWorker int) api.Step {
		return api.Step{Count: count, MilliCPU: milliCPU, MaxPerWorker: maxPerWorker, Gang: true}
	}
	for _, c := range []struct {
		name         string
		first, later api.Step
		known        bool
	}{
		{"the same", gang(5, 1000, 0), gang(5, 1000, 0), true},
		{"more tasks", gang(5, 1000, 0), gang(6, 1000, 0), true},
		{"larger tasks", gang(5, 1000, 0), gang(5, 1001, 0), true},
		{"fewer tasks", gang(5, 1000, 0), gang(4, 1000, 0), false},
		{"smaller tasks", gang(5, 1000, 0), gang(5, 999, 0), false},
		{"a bound for each worker on top", gang(5, 1000, 0), gang(5, 1000, 1), true},
		{"without the bound", gang(5, 1000, 1), gang(5, 1000, 0), false},
		{"a wider bound", gang(5, 1000, 1), gang(5, 1000, 2), false},
		{"no gang", gang(5, 1000, 0), api.Step{Count: 5, MilliCPU: 1000}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			capacity := overloadedPool(1, 0).newCapacityTracker(time.Now())
			steps := newJob("j", cell.Queue{}, "", &api.Job{Steps: []api.Step{c.first, c.later}}, time.Now()).occurrence(0).steps
			capacity.noteGangShortage(steps[0], len(steps[0].tasks))
			require.Equal(t, c.known, capacity.knownGangShortage(steps[1]))
		})
	}
}
