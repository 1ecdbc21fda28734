package schedule

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// TestSharesRandom guards the weighted max-min shares by dominant resource: no
// team that started work is ahead of a waiting team by more than one task.
func TestSharesRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newFixture()
		teams := rapid.IntRange(2, 8).Draw(t, "teams")
		sizes := make([]worker.Resources, teams)
		for i := range teams {
			name := fmt.Sprint("t", i)
			b.config.quotas[name] = contract.Quota{Slots: rapid.SampledFrom([]int{10, 1000}).Draw(t, "quota"), Weight: rapid.IntRange(1, 5).Draw(t, "weight")}
			// Memory may be the dominant resource but never the first to run out.
			sizes[i] = worker.Resources{MilliCPU: 1000, MemoryMiB: rapid.Int64Range(1, 8).Draw(t, "memory") * 1024}
			for k := range rapid.IntRange(0, 200).Draw(t, "jobs") {
				b.submit(Job{ID: fmt.Sprint(i, "-", k), Team: name, Service: "desk", Resources: sizes[i]})
			}
		}
		for w := range 4 {
			b.gain(fmt.Sprint("w", w), worker.Capacity{Resources: worker.Resources{MilliCPU: 25000, MemoryMiB: 25 * 8 * 1024}, Slots: 100})
		}
		b.check(t)
		share := func(i int) float64 {
			d := b.Demand()[fmt.Sprint("t", i)]
			return float64(d.Running) * max(1.0/100, float64(sizes[i].MemoryMiB)/(800*1024)) / float64(b.config.quotas[fmt.Sprint("t", i)].Weight)
		}
		for i := range teams {
			quota := b.config.quotas[fmt.Sprint("t", i)]
			require.LessOrEqual(t, b.Demand()[fmt.Sprint("t", i)].Running, quota.Slots)
			for j := range teams {
				d := b.Demand()[fmt.Sprint("t", j)]
				if d.Queued == 0 || d.Running >= b.config.quotas[fmt.Sprint("t", j)].Slots {
					continue
				}
				one := max(1.0/100, float64(sizes[i].MemoryMiB)/(800*1024)) / float64(quota.Weight)
				require.LessOrEqual(t, share(i), share(j)+one+1e-9, "t%d is ahead of t%d, which waits", i, j)
			}
		}
	})
}

// TestGuaranteedShare guards what is guaranteed to desk (25% of 16 slots)
// against a surge of work of any priority.
func TestGuaranteedShare(t *testing.T) {
	for name, c := range map[string]struct {
		run      int // of the surge's tasks in milliseconds, as learned; 0 if it is not
		declared int // the same as declared, if it differs
		priority int
		limited  bool // the surge's profile has 25% and may not borrow
		running  int  // of the surge before desk comes
	}{
		"short urgent work borrows":      {run: 100, priority: 100, running: 16},
		"long work leaves the share":     {run: 10000, priority: 0, running: 12},
		"long urgent work leaves it too": {run: 10000, priority: 100, running: 12},
		"long work declared short":       {run: 10000, declared: 100, priority: 100, running: 12},
		"unknown work declared short":    {declared: 100, priority: 100, running: 12},
		"no borrowing":                   {run: 100, priority: 100, limited: true, running: 4},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture()
			b.config.service("surge", contract.Service{Resources: cores(4), RunTimeMS: cmp.Or(c.declared, c.run)}, contract.Profile{
				Queue: contract.Queue{Priority: c.priority, Borrow: !c.limited}})
			if c.limited {
				b.alter("surge", func(p *contract.Profile) { p.Queue.GuaranteedPercent = 25 })
			}
			b.alter("desk", func(p *contract.Profile) { p.Queue.GuaranteedPercent = 25 })
			b.gain("w0", capacity(32, 0))
			b.gain("w1", capacity(32, 0))
			b.ConfigurationChanged()
			for i := 0; i < enough && c.run > 0; i++ {
				b.learned.ran("surge", "team0", time.Duration(c.run)*time.Millisecond)
			}
			var surge []*result
			for i := range 40 {
				surge = append(surge, b.submit(Job{ID: fmt.Sprint(i), Team: "team0", Service: "surge"}))
			}
			require.Equal(t, c.running, b.Demand()["team0"].Running)
			var desk []*result
			for i := range 8 {
				desk = append(desk, b.submit(Job{ID: fmt.Sprint("d", i), Team: "team0", Service: "desk"}))
			}
			// Each end of a surge task goes to desk until it has its share.
			for i := range 4 {
				if desk[i].placement == nil {
					surge[i].placement.Release(0, TaskResult{Ran: true})
				}
				require.NotNil(t, desk[i].placement, "desk is below its share and job %d waits", i)
			}
		})
	}
}

// TestGuaranteedTeams guards the order within a guaranteed share: a team's
// other work does not put it behind, and a weight counts.
func TestGuaranteedTeams(t *testing.T) {
	for name, size := range map[string]func(team int64) worker.Resources{
		"one size":       func(int64) worker.Resources { return cores(2) },
		"a size of each": func(team int64) worker.Resources { return cores(1 + team) },
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture()
			b.alter("desk", func(p *contract.Profile) { p.Queue.GuaranteedPercent, p.Queue.Borrow = 75, false })
			b.config.quotas["team2"] = contract.Quota{Slots: 100, Weight: 2}
			b.ConfigurationChanged()
			for i := range 60 {
				b.submit(Job{ID: fmt.Sprint(i), Team: fmt.Sprint("team", i%3), Service: "desk", Resources: size(int64(i % 3))})
			}
			b.gain("w0", worker.Capacity{Resources: cores(64), Slots: 16},
				worker.Task{ID: "other", State: worker.TaskRunning, Team: "team0", Service: "gang", Resources: cores(30)})
			running := map[string]int{}
			for _, bl := range b.profiles["desk"].backlogs {
				running[bl.team.name] = bl.running
			}
			require.Equal(t, map[string]int{"team0": 3, "team1": 3, "team2": 6}, running)
		})
	}
}

// TestGuaranteedKinds guards guarantees to work with and without accelerators
// against long work on workers of the one kind or the other: 16 slots, half of
// them on a worker with accelerators.
func TestGuaranteedKinds(t *testing.T) {
	for name, c := range map[string]struct {
		desk, gpu int // guaranteed in percent
		running   int // of long work at most
	}{
		"without accelerators":                {desk: 25, running: 12},
		"with accelerators":                   {gpu: 25, running: 12},
		"both":                                {desk: 25, gpu: 25, running: 8},
		"more than the workers without carry": {desk: 75, running: 4},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture()
			gpu := worker.Resources{MilliCPU: 1000, MemoryMiB: 1024, Accelerators: 1}
			b.config.service("gpu", contract.Service{Resources: gpu, RunTimeMS: 5000}, contract.Profile{
				Queue: contract.Queue{GuaranteedPercent: c.gpu, Borrow: true}})
			b.alter("desk", func(p *contract.Profile) { p.Queue.GuaranteedPercent = c.desk })
			b.ConfigurationChanged()
			b.gain("w0", capacity(32, 0))
			b.gain("w1", capacity(32, 8))
			b.submit(Job{ID: "g", Team: "team0", Service: "gpu"}).placement.Release(0, TaskResult{})
			for i := range 40 {
				b.submit(Job{ID: fmt.Sprint(i), Team: "team0", Service: "batch"})
			}
			require.Equal(t, c.running, b.Demand()["team0"].Running)
			for service, percent := range map[string]int{"gpu": c.gpu, "desk": c.desk} {
				for i := range 16 * percent / 100 {
					r := b.submit(Job{ID: fmt.Sprint(service, i), Team: "team1", Service: service})
					require.NotNil(t, r.placement, "%s job %d", service, i)
				}
			}
		})
	}
}

// TestGuaranteedReturn guards a guarantee to work with accelerators when one of
// its tasks ends: long work that waits must not take its place.
func TestGuaranteedReturn(t *testing.T) {
	b := newFixture()
	gpu := worker.Resources{MilliCPU: 1000, MemoryMiB: 1024, Accelerators: 1}
	b.config.service("gpu", contract.Service{Resources: gpu, RunTimeMS: 5000}, contract.Profile{
		Queue: contract.Queue{GuaranteedPercent: 25, Borrow: true}})
	// Without accelerators there are free slots, but memory for one task.
	b.gain("w0", worker.Capacity{Resources: worker.Resources{MilliCPU: 32000, MemoryMiB: 4096}, Slots: 8})
	b.gain("w1", capacity(32, 8))
	var running []*result
	for i := range 4 {
		running = append(running, b.submit(Job{ID: fmt.Sprint("g", i), Team: "team1", Service: "gpu"}))
	}
	for i := range 20 {
		b.submit(Job{ID: fmt.Sprint(i), Team: "team0", Service: "batch"})
	}
	require.Equal(t, 5, b.Demand()["team0"].Running)
	running[0].placement.Release(0, TaskResult{Ran: true})
	require.Equal(t, 5, b.Demand()["team0"].Running)
	require.NotNil(t, b.submit(Job{ID: "g", Team: "team1", Service: "gpu"}).placement)
}

// TestKeepForWaiting guards work that waits for accelerators against long work
// that keeps off them unless they are idle.
func TestKeepForWaiting(t *testing.T) {
	b := newFixture()
	b.alter("batch", func(p *contract.Profile) { p.Placement.KeepAccelerators = true })
	gpu := worker.Resources{MilliCPU: 1000, MemoryMiB: 1024, Accelerators: 8}
	b.config.service("gpu", contract.Service{Resources: gpu}, contract.Profile{Queue: contract.Queue{Borrow: true}})
	b.gain("w1", capacity(32, 8))
	b.submit(Job{ID: "0", Team: "team0", Service: "gpu"})
	waiting := b.submit(Job{ID: "1", Team: "team0", Service: "gpu"})
	batch := b.submit(Job{ID: "2", Team: "team1", Service: "batch"})
	require.Nil(t, batch.placement)
	waiting.cancel()
	b.Tick()
	require.NotNil(t, batch.placement)
}

// TestNoBorrowing guards the guarantee as a bound for a profile that may not
// borrow, also towards another host's coordinator.
func TestNoBorrowing(t *testing.T) {
	b := newFixture()
	b.alter("gang", func(p *contract.Profile) { p.Queue.GuaranteedPercent, p.Queue.Borrow = 50, false })
	b.gain("w0", capacity(64, 0))
	r, ok := b.TryReserve(Job{ID: "1", Team: "team0", Service: "gang"}, 8)
	require.True(t, ok)
	require.Len(t, r.Members, 4)
	require.Nil(t, b.submit(Job{ID: "2", Team: "team0", Service: "gang", Members: 2}).placement)
}

// TestOrder guards priority with ageing inside a share.
func TestOrder(t *testing.T) {
	for name, c := range map[string]struct {
		ageing int
		wait   time.Duration
		first  string
	}{
		"priority":              {first: "desk", wait: 100 * time.Second},
		"ageing not yet enough": {ageing: 1000, first: "desk", wait: 40 * time.Second},
		"ageing":                {ageing: 1000, first: "batch", wait: 60 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture()
			b.alter("batch", func(p *contract.Profile) { p.Queue.AgeingMS = c.ageing })
			b.gain("w0", capacity(4, 0))
			running := b.submit(Job{ID: "0", Team: "team0", Service: "batch"})
			waiting := map[string]*result{"batch": b.submit(Job{ID: "1", Team: "team0", Service: "batch"})}
			b.now = b.now.Add(c.wait)
			waiting["desk"] = b.submit(Job{ID: "2", Team: "team0", Service: "desk", Resources: cores(4)})
			running.placement.Release(0, TaskResult{Ran: true})
			require.NotNil(t, waiting[c.first].placement)
		})
	}
}

// TestSmallBesideLarge guards against a small job that waits behind a large
// one of the same profile although a worker has room for it.
func TestSmallBesideLarge(t *testing.T) {
	b := newFixture()
	b.gain("w0", capacity(32, 0))
	b.submit(Job{ID: "0", Team: "team0", Service: "batch", Resources: cores(20)})
	large := b.submit(Job{ID: "1", Team: "team0", Service: "batch", Resources: cores(20)})
	require.Nil(t, large.placement)
	require.NotNil(t, b.submit(Job{ID: "2", Team: "team1", Service: "batch", Resources: cores(12)}).placement)
}

// TestManySizes guards the bound on queues by size: work beyond it still starts
// when there is room.
func TestManySizes(t *testing.T) {
	b := newFixture()
	var running []*Placement
	count := 3 * maxLanes
	for i := range count {
		size := worker.Resources{MilliCPU: int64(1000 + i), MemoryMiB: 100}
		b.Submit(Job{ID: fmt.Sprint(i), Team: fmt.Sprint("team", i%4), Service: "batch", Resources: size}, func(p *Placement, err error) {
			require.NoError(t, err)
			running = append(running, p)
		})
	}
	require.Len(t, b.lanes, maxLanes+1)
	b.gain("w0", capacity(8, 0))
	for i := 0; i < len(running); i++ {
		running[i].Release(0, TaskResult{Ran: true})
		b.check(t)
	}
	require.Len(t, running, count)
}

// TestQuotaParts guards the sum over hosts: a host keeps to its part, and
// work that waits for the quota starts as soon as the part grows.
func TestQuotaParts(t *testing.T) {
	b := newFixture()
	b.config.quotas["team0"] = contract.Quota{Slots: 6, Weight: 1}
	b.gain("w0", capacity(32, 0))
	for i := range 8 {
		b.submit(Job{ID: fmt.Sprint(i), Team: "team0", Service: "desk"})
	}
	steps := []struct {
		part, running int
		configured    int
	}{{-1, 6, 6}, {3, 6, 6}, {7, 6, 6}, {7, 7, 10}, {-1, 8, 10}}
	for _, step := range steps {
		b.config.quotas["team0"] = contract.Quota{Slots: step.configured, Weight: 1}
		b.ConfigurationChanged()
		b.SetLocalQuota("team0", step.part)
		require.Equal(t, Demand{Running: step.running, Queued: 8 - step.running}, b.Demand()["team0"], "part %d", step.part)
	}
	require.Equal(t, []ServiceLoad{{Service: "desk", FreeSlots: 0}}, b.Load())
}

// TestLongestWaitChanged guards queued work, also that of a team at its quota,
// against the deadline of a former profile, and its order against a change of
// the profile.
func TestLongestWaitChanged(t *testing.T) {
	for name, c := range map[string]struct{ longest, deadline, want time.Duration }{
		"shorter":              {longest: 2 * time.Second, want: 2 * time.Second},
		"longer":               {longest: time.Hour, want: time.Hour},
		"the job's is earlier": {longest: time.Hour, deadline: time.Minute, want: time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture()
			b.config.quotas["team1"] = contract.Quota{Slots: 1, Weight: 1}
			b.gain("w0", capacity(8, 0))
			for i := range 10 {
				job := Job{ID: fmt.Sprint(i), Team: fmt.Sprint("team", i%2), Service: "batch"}
				if c.deadline > 0 {
					job.Deadline = b.now.Add(c.deadline)
				}
				require.NoError(t, b.submit(job).err)
			}
			require.True(t, b.teams["team1"].capped)
			b.alter("batch", func(p *contract.Profile) { p.Queue.MaxWaitMS = int(c.longest.Milliseconds()) })
			b.ConfigurationChanged()
			b.check(t)
			var ids []string
			for _, name := range []string{"team0", "team1"} {
				for _, sh := range b.teams[name].shares {
					for e := sh.head; e != nil; e = e.next {
						require.Equal(t, b.now.Add(c.want), e.deadline, e.job.ID)
						ids = append(ids, e.job.ID)
					}
				}
			}
			require.Equal(t, []string{"2", "4", "6", "8", "3", "5", "7", "9"}, ids)
		})
	}
}

// TestConfigurationChanged guards queued work against the configuration that
// it was queued under.
func TestConfigurationChanged(t *testing.T) {
	b := newFixture()
	b.gain("w0", capacity(4, 0))
	running := b.submit(Job{ID: "0", Team: "team0", Service: "batch"})
	desk := b.submit(Job{ID: "1", Team: "team0", Service: "desk"})
	batch := b.submit(Job{ID: "2", Team: "team0", Service: "batch"})
	gone := b.submit(Job{ID: "3", Team: "team3", Service: "batch"})
	large := b.submit(Job{ID: "4", Team: "team0", Service: "batch", Resources: cores(3)})
	b.alter("batch", func(p *contract.Profile) { p.Queue.Priority = 100 })
	s := b.config.services["batch"]
	s.Resources = cores(1)
	b.config.services["batch"] = s
	delete(b.config.quotas, "team3")
	b.ConfigurationChanged()
	b.check(t)
	require.Equal(t, api.ReasonQuota, gone.err.(*Refusal).Reason)
	running.placement.Release(0, TaskResult{Ran: true})
	require.NotNil(t, batch.placement, "the new priority is in force")
	require.NotNil(t, large.placement, "the new size left room for the next job")
	require.Nil(t, desk.placement)
}
