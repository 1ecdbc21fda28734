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

// TestSharesRandom checks weighted dominant resource fairness: the weighted dominant
// share of a team exceeds that of a team with waiting work by at most one task.
func TestSharesRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		teams := rapid.IntRange(2, 8).Draw(t, "teams")
		sizes := make([]worker.Resources, teams)
		for i := range teams {
			name := fmt.Sprint("t", i)
			f.config.quotas[name] = contract.Quota{Slots: rapid.SampledFrom([]int{10, 1000}).Draw(t, "quota"), Weight: rapid.IntRange(1, 5).Draw(t, "weight")}
			// Memory may be the dominant resource but never runs out first.
			sizes[i] = worker.Resources{MilliCPU: 1000, MemoryMiB: rapid.Int64Range(1, 8).Draw(t, "memory") * 1024}
			for k := range rapid.IntRange(0, 200).Draw(t, "jobs") {
				f.submit(Job{ID: fmt.Sprint(i, "-", k), Team: name, Service: "desk", Resources: sizes[i]})
			}
		}
		for w := range 4 {
			f.gain(fmt.Sprint("w", w), worker.Capacity{Resources: worker.Resources{MilliCPU: 25000, MemoryMiB: 25 * 8 * 1024}, Slots: 100})
		}
		f.checkInvariants(t)
		share := func(i int) float64 {
			d := f.Demand()[fmt.Sprint("t", i)]
			return float64(d.Running) * max(1.0/100, float64(sizes[i].MemoryMiB)/(800*1024)) / float64(f.config.quotas[fmt.Sprint("t", i)].Weight)
		}
		for i := range teams {
			quota := f.config.quotas[fmt.Sprint("t", i)]
			require.LessOrEqual(t, f.Demand()[fmt.Sprint("t", i)].Running, quota.Slots)
			for j := range teams {
				d := f.Demand()[fmt.Sprint("t", j)]
				if d.Queued == 0 || d.Running >= f.config.quotas[fmt.Sprint("t", j)].Slots {
					continue
				}
				one := max(1.0/100, float64(sizes[i].MemoryMiB)/(800*1024)) / float64(quota.Weight)
				require.LessOrEqual(t, share(i), share(j)+one+1e-9, "t%d is ahead of t%d, which waits", i, j)
			}
		}
	})
}

// TestGuaranteedShare checks that the profile desk gets its guaranteed share (25%
// of 16 slots) during a surge of another profile with any priority.
func TestGuaranteedShare(t *testing.T) {
	for name, c := range map[string]struct {
		observedRunMS     int // observed run time of the surge's tasks in milliseconds; 0 if none
		declaredRunMS     int // declared run time in milliseconds; 0 if the same as observed
		priority          int
		cappedAtGuarantee bool // the profile of the surge has 25% guaranteed and may not borrow
		running           int  // tasks of the surge before the first desk job
	}{
		"short urgent work borrows":      {observedRunMS: 100, priority: 100, running: 16},
		"long work leaves the share":     {observedRunMS: 10000, priority: 0, running: 12},
		"long urgent work leaves it too": {observedRunMS: 10000, priority: 100, running: 12},
		"long work declared short":       {observedRunMS: 10000, declaredRunMS: 100, priority: 100, running: 12},
		"unknown work declared short":    {declaredRunMS: 100, priority: 100, running: 12},
		"no borrowing":                   {observedRunMS: 100, priority: 100, cappedAtGuarantee: true, running: 4},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.config.addService("surge", contract.Service{Resources: cores(4), RunTimeMS: cmp.Or(c.declaredRunMS, c.observedRunMS)}, contract.Profile{
				Queue: contract.Queue{Priority: c.priority, Borrow: !c.cappedAtGuarantee}})
			if c.cappedAtGuarantee {
				f.changeProfile("surge", func(p *contract.Profile) { p.Queue.GuaranteedPercent = 25 })
			}
			f.changeProfile("desk", func(p *contract.Profile) { p.Queue.GuaranteedPercent = 25 })
			f.gain("w0", capacity(32, 0))
			f.gain("w1", capacity(32, 0))
			f.ConfigurationChanged()
			for i := 0; i < minObservations && c.observedRunMS > 0; i++ {
				f.history.observeRunTime("surge", "team0", time.Duration(c.observedRunMS)*time.Millisecond)
			}
			var surge []*submission
			for i := range 40 {
				surge = append(surge, f.submit(Job{ID: fmt.Sprint(i), Team: "team0", Service: "surge"}))
			}
			require.Equal(t, c.running, f.Demand()["team0"].Running)
			var desk []*submission
			for i := range 8 {
				desk = append(desk, f.submit(Job{ID: fmt.Sprint("d", i), Team: "team0", Service: "desk"}))
			}
			// Each slot that a surge task frees goes to desk until desk has its share.
			for i := range 4 {
				if desk[i].placement == nil {
					surge[i].placement.Release(0, TaskResult{Ran: true})
				}
				require.NotNil(t, desk[i].placement, "desk is below its guaranteed share but its job %d waits", i)
			}
		})
	}
}

// TestGuaranteedTeams checks the order of teams within a guaranteed share: other
// work of a team has no effect on it, the weight of the team has.
func TestGuaranteedTeams(t *testing.T) {
	for name, size := range map[string]func(team int64) worker.Resources{
		"one size":       func(int64) worker.Resources { return cores(2) },
		"a size of each": func(team int64) worker.Resources { return cores(1 + team) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.changeProfile("desk", func(p *contract.Profile) { p.Queue.GuaranteedPercent, p.Queue.Borrow = 75, false })
			f.config.quotas["team2"] = contract.Quota{Slots: 100, Weight: 2}
			f.ConfigurationChanged()
			for i := range 60 {
				f.submit(Job{ID: fmt.Sprint(i), Team: fmt.Sprint("team", i%3), Service: "desk", Resources: size(int64(i % 3))})
			}
			f.gain("w0", worker.Capacity{Resources: cores(64), Slots: 16},
				worker.Task{ID: "other", State: worker.TaskRunning, Team: "team0", Service: "gang", Resources: cores(30)})
			running := map[string]int{}
			for _, backlog := range f.profiles["desk"].backlogs {
				running[backlog.team.name] = backlog.running
			}
			require.Equal(t, map[string]int{"team0": 3, "team1": 3, "team2": 6}, running)
		})
	}
}

// TestGuaranteedKinds checks that long work, which may use the workers of either
// kind, leaves free what is guaranteed to work with and without accelerators: 16
// slots, half of them on a worker with accelerators.
func TestGuaranteedKinds(t *testing.T) {
	for name, c := range map[string]struct {
		desk, gpu int // guaranteed percentage
		running   int // expected tasks of long work
	}{
		"without accelerators": {desk: 25, running: 12},
		"with accelerators":    {gpu: 25, running: 12},
		"both":                 {desk: 25, gpu: 25, running: 8},
		"guarantee exceeds workers without accelerators": {desk: 75, running: 4},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			gpu := worker.Resources{MilliCPU: 1000, MemoryMiB: 1024, Accelerators: 1}
			f.config.addService("gpu", contract.Service{Resources: gpu, RunTimeMS: 5000}, contract.Profile{
				Queue: contract.Queue{GuaranteedPercent: c.gpu, Borrow: true}})
			f.changeProfile("desk", func(p *contract.Profile) { p.Queue.GuaranteedPercent = c.desk })
			f.ConfigurationChanged()
			f.gain("w0", capacity(32, 0))
			f.gain("w1", capacity(32, 8))
			f.submit(Job{ID: "g", Team: "team0", Service: "gpu"}).placement.Release(0, TaskResult{})
			for i := range 40 {
				f.submit(Job{ID: fmt.Sprint(i), Team: "team0", Service: "batch"})
			}
			require.Equal(t, c.running, f.Demand()["team0"].Running)
			for service, percent := range map[string]int{"gpu": c.gpu, "desk": c.desk} {
				for i := range 16 * percent / 100 {
					r := f.submit(Job{ID: fmt.Sprint(service, i), Team: "team1", Service: service})
					require.NotNil(t, r.placement, "%s job %d", service, i)
				}
			}
		})
	}
}

// TestGuaranteedSlotFreed checks a guarantee to work with accelerators when one of
// its tasks ends: long work that waits must not take the freed slot.
func TestGuaranteedSlotFreed(t *testing.T) {
	f := newFixture()
	gpu := worker.Resources{MilliCPU: 1000, MemoryMiB: 1024, Accelerators: 1}
	f.config.addService("gpu", contract.Service{Resources: gpu, RunTimeMS: 5000}, contract.Profile{
		Queue: contract.Queue{GuaranteedPercent: 25, Borrow: true}})
	// The worker without accelerators has free slots but memory for one task only.
	f.gain("w0", worker.Capacity{Resources: worker.Resources{MilliCPU: 32000, MemoryMiB: 4096}, Slots: 8})
	f.gain("w1", capacity(32, 8))
	var running []*submission
	for i := range 4 {
		running = append(running, f.submit(Job{ID: fmt.Sprint("g", i), Team: "team1", Service: "gpu"}))
	}
	for i := range 20 {
		f.submit(Job{ID: fmt.Sprint(i), Team: "team0", Service: "batch"})
	}
	require.Equal(t, 5, f.Demand()["team0"].Running)
	running[0].placement.Release(0, TaskResult{Ran: true})
	require.Equal(t, 5, f.Demand()["team0"].Running)
	require.NotNil(t, f.submit(Job{ID: "g", Team: "team1", Service: "gpu"}).placement)
}

// TestAcceleratorsKeptForWaitingJobs guards against long work with KeepAccelerators
// that uses a worker with accelerators while jobs that need accelerators wait.
func TestAcceleratorsKeptForWaitingJobs(t *testing.T) {
	f := newFixture()
	f.changeProfile("batch", func(p *contract.Profile) { p.Placement.KeepAccelerators = true })
	gpu := worker.Resources{MilliCPU: 1000, MemoryMiB: 1024, Accelerators: 8}
	f.config.addService("gpu", contract.Service{Resources: gpu}, contract.Profile{Queue: contract.Queue{Borrow: true}})
	f.gain("w1", capacity(32, 8))
	f.submit(Job{ID: "0", Team: "team0", Service: "gpu"})
	waiting := f.submit(Job{ID: "1", Team: "team0", Service: "gpu"})
	batch := f.submit(Job{ID: "2", Team: "team1", Service: "batch"})
	require.Nil(t, batch.placement)
	waiting.cancel()
	f.Tick()
	require.NotNil(t, batch.placement)
}

// TestNoBorrowing checks that a profile that may not borrow stays within its
// guarantee, also for reservations by a coordinator on another host.
func TestNoBorrowing(t *testing.T) {
	f := newFixture()
	f.changeProfile("gang", func(p *contract.Profile) { p.Queue.GuaranteedPercent, p.Queue.Borrow = 50, false })
	f.gain("w0", capacity(64, 0))
	r, ok := f.TryReserve(Job{ID: "1", Team: "team0", Service: "gang"}, 8)
	require.True(t, ok)
	require.Len(t, r.Members, 4)
	require.Nil(t, f.submit(Job{ID: "2", Team: "team0", Service: "gang", Members: 2}).placement)
}

// TestOrder checks the order by priority and ageing among jobs of one team.
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
			f := newFixture()
			f.changeProfile("batch", func(p *contract.Profile) { p.Queue.AgeingMS = c.ageing })
			f.gain("w0", capacity(4, 0))
			running := f.submit(Job{ID: "0", Team: "team0", Service: "batch"})
			waiting := map[string]*submission{"batch": f.submit(Job{ID: "1", Team: "team0", Service: "batch"})}
			f.now = f.now.Add(c.wait)
			waiting["desk"] = f.submit(Job{ID: "2", Team: "team0", Service: "desk", Resources: cores(4)})
			running.placement.Release(0, TaskResult{Ran: true})
			require.NotNil(t, waiting[c.first].placement)
		})
	}
}

// TestSmallBesideLarge guards against a small job that waits behind a large job
// of the same profile although a worker has room for it.
func TestSmallBesideLarge(t *testing.T) {
	f := newFixture()
	f.gain("w0", capacity(32, 0))
	f.submit(Job{ID: "0", Team: "team0", Service: "batch", Resources: cores(20)})
	large := f.submit(Job{ID: "1", Team: "team0", Service: "batch", Resources: cores(20)})
	require.Nil(t, large.placement)
	require.NotNil(t, f.submit(Job{ID: "2", Team: "team1", Service: "batch", Resources: cores(12)}).placement)
}

// TestManySizes checks the maximum number of lanes: jobs of further sizes still
// start when there is room.
func TestManySizes(t *testing.T) {
	f := newFixture()
	var running []*Placement
	count := 3 * maxLanes
	for i := range count {
		size := worker.Resources{MilliCPU: int64(1000 + i), MemoryMiB: 100}
		f.Submit(Job{ID: fmt.Sprint(i), Team: fmt.Sprint("team", i%4), Service: "batch", Resources: size}, func(p *Placement, err error) {
			require.NoError(t, err)
			running = append(running, p)
		})
	}
	require.Len(t, f.lanes, maxLanes+1)
	f.gain("w0", capacity(8, 0))
	for i := 0; i < len(running); i++ {
		running[i].Release(0, TaskResult{Ran: true})
		f.checkInvariants(t)
	}
	require.Len(t, running, count)
}

// TestLocalQuota checks the quota over all hosts: a host stays within its local
// quota, and jobs that wait for it start as soon as it grows.
func TestLocalQuota(t *testing.T) {
	f := newFixture()
	f.config.quotas["team0"] = contract.Quota{Slots: 6, Weight: 1}
	f.gain("w0", capacity(32, 0))
	for i := range 8 {
		f.submit(Job{ID: fmt.Sprint(i), Team: "team0", Service: "desk"})
	}
	steps := []struct {
		localQuota, running int
		quota               int
	}{{-1, 6, 6}, {3, 6, 6}, {7, 6, 6}, {7, 7, 10}, {-1, 8, 10}}
	for _, step := range steps {
		f.config.quotas["team0"] = contract.Quota{Slots: step.quota, Weight: 1}
		f.ConfigurationChanged()
		f.SetLocalQuota("team0", step.localQuota)
		require.Equal(t, Demand{Running: step.running, Queued: 8 - step.running}, f.Demand()["team0"], "local quota %d", step.localQuota)
	}
	require.Equal(t, []ServiceLoad{{Service: "desk", FreeSlots: 0}}, f.Load())
}

// TestMaxWaitChanged guards against queued jobs that keep the deadline of a
// former maximum wait, also those of a team at its quota, and against a change of
// their order when the profile changes.
func TestMaxWaitChanged(t *testing.T) {
	for name, c := range map[string]struct{ maxWait, deadline, want time.Duration }{
		"shorter":              {maxWait: 2 * time.Second, want: 2 * time.Second},
		"longer":               {maxWait: time.Hour, want: time.Hour},
		"the job's is earlier": {maxWait: time.Hour, deadline: time.Minute, want: time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.config.quotas["team1"] = contract.Quota{Slots: 1, Weight: 1}
			f.gain("w0", capacity(8, 0))
			for i := range 10 {
				job := Job{ID: fmt.Sprint(i), Team: fmt.Sprint("team", i%2), Service: "batch"}
				if c.deadline > 0 {
					job.Deadline = f.now.Add(c.deadline)
				}
				require.NoError(t, f.submit(job).err)
			}
			require.True(t, f.teams["team1"].atQuota)
			f.changeProfile("batch", func(p *contract.Profile) { p.Queue.MaxWaitMS = int(c.maxWait.Milliseconds()) })
			f.ConfigurationChanged()
			f.checkInvariants(t)
			var ids []string
			for _, name := range []string{"team0", "team1"} {
				for _, q := range f.teams[name].queues {
					for e := q.head; e != nil; e = e.next {
						require.Equal(t, f.now.Add(c.want), e.deadline, e.job.ID)
						ids = append(ids, e.job.ID)
					}
				}
			}
			require.Equal(t, []string{"2", "4", "6", "8", "3", "5", "7", "9"}, ids)
		})
	}
}

// TestConfigurationChanged guards against queued jobs that are still handled by
// the configuration under which they were queued.
func TestConfigurationChanged(t *testing.T) {
	f := newFixture()
	f.gain("w0", capacity(4, 0))
	running := f.submit(Job{ID: "0", Team: "team0", Service: "batch"})
	desk := f.submit(Job{ID: "1", Team: "team0", Service: "desk"})
	batch := f.submit(Job{ID: "2", Team: "team0", Service: "batch"})
	gone := f.submit(Job{ID: "3", Team: "team3", Service: "batch"})
	large := f.submit(Job{ID: "4", Team: "team0", Service: "batch", Resources: cores(3)})
	f.changeProfile("batch", func(p *contract.Profile) { p.Queue.Priority = 100 })
	s := f.config.services["batch"]
	s.Resources = cores(1)
	f.config.services["batch"] = s
	delete(f.config.quotas, "team3")
	f.ConfigurationChanged()
	f.checkInvariants(t)
	require.Equal(t, api.ReasonQuota, gone.err.(*Refusal).Reason)
	running.placement.Release(0, TaskResult{Ran: true})
	require.NotNil(t, batch.placement, "the new priority has no effect")
	require.NotNil(t, large.placement, "the new size of the service left no room for the next job")
	require.Nil(t, desk.placement)
}
